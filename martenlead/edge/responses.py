"""The responses to clients: final outcomes of requests, and errors for invalid messages.

Their texts and members are part of the protocol (docs/protocol.md).
"""

from __future__ import annotations

from martenlead.edge.records import FinalOutcome, PendingRequest
from martenlead.events import cloudevent
from martenlead.events.cloudevent import InvalidEventError
from martenlead.events.http import Headers
from martenlead.events.problem import problem
from martenlead.events.server import Reply
from martenlead.policy.types import Request, Result

OK, BAD_REQUEST, NOT_FOUND, METHOD_NOT_ALLOWED = 200, 400, 404, 405
CONFLICT = 409
CONTENT_TOO_LARGE, UNSUPPORTED_MEDIA_TYPE, TOO_MANY_REQUESTS = 413, 415, 429
INTERNAL_ERROR, BAD_GATEWAY, SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT = 500, 502, 503, 504

PASSED_ON_HEADERS = frozenset({b"content-type", b"traceparent", b"tracestate"})
INVALID_EVENT_TITLES = {
    BAD_REQUEST: "Bad task",
    NOT_FOUND: "No such path",
    METHOD_NOT_ALLOWED: "Only POST",
    CONFLICT: "Has come before",
    CONTENT_TOO_LARGE: "Too large",
    UNSUPPORTED_MEDIA_TYPE: "Not an event",
}
UNREADABLE_RETRY_AFTER_NS = 1_000_000_000
UNCERTAIN_RESULTS = (None, Result.NO_RESPONSE, Result.CANCELLED)


def final_response(request: PendingRequest) -> Reply:
    """Returns the response to a request that has its final outcome."""
    if request.outcome is FinalOutcome.SUCCEEDED and request.response is not None:
        headers: Headers = [
            (name, value)
            for name, value in request.response.headers
            if name.startswith(b"ce-") or name in PASSED_ON_HEADERS
        ]
        return Reply(OK, headers, request.response.body)
    if request.outcome is FinalOutcome.REJECTED:
        return _rejected(request)
    return _failed(request)


def _rejected(request: PendingRequest) -> Reply:
    policy_request = request.policy_request
    is_over_share = (
        policy_request is not None and policy_request.is_deferrable and not policy_request.is_retry
    )
    status, reason = SERVICE_UNAVAILABLE, "no runner may take it now"
    if is_over_share:
        status, reason = TOO_MANY_REQUESTS, "over the customer's share"
    return problem(
        status,
        "Turned back",
        request.reason or reason,
        retry_after_ns=request.retry_after_ns,
        final="turned back",
        hand_offs=len(_results(policy_request)),
    )


def _failed(request: PendingRequest) -> Reply:
    results = _results(request.policy_request)
    is_late = any(result in UNCERTAIN_RESULTS for result in results)
    return problem(
        GATEWAY_TIMEOUT if is_late else BAD_GATEWAY,
        "Scrapped",
        request.reason or "no runner had an answer",
        final="scrapped",
        hand_offs=len(results),
    )


def _results(policy_request: Request | None) -> list[Result | None]:
    return [attempt.result for attempt in policy_request.attempts] if policy_request else []


def rejected_before_acceptance(reason: str, retry_after_ns: int) -> Reply:
    """Returns a rejection made before the policy got the request, with a header that says so."""
    reply = problem(
        SERVICE_UNAVAILABLE,
        "Turned back",
        reason,
        retry_after_ns=retry_after_ns,
        final="turned back",
        hand_offs=0,
    )
    reply.headers.append((b"martenlead-door", b"1"))
    return reply


def no_such_path() -> Reply:
    """Returns the response to an unknown path."""
    return problem(NOT_FOUND, INVALID_EVENT_TITLES[NOT_FOUND], "tasks are posted to /")


def only_post() -> Reply:
    """Returns the response to a method other than POST."""
    title = INVALID_EVENT_TITLES[METHOD_NOT_ALLOWED]
    reply = problem(METHOD_NOT_ALLOWED, title, "tasks are posted to /")
    reply.headers.append((b"allow", b"POST"))
    return reply


def invalid_event(error: InvalidEventError) -> Reply:
    """Returns the response to an event that is no valid request."""
    title = INVALID_EVENT_TITLES[error.status]
    reply = problem(error.status, title, str(error), attribute=error.attribute)
    if error.status == UNSUPPORTED_MEDIA_TYPE:
        reply.headers.append((b"accept", cloudevent.ACCEPTED_MEDIA_TYPES))
    return reply


def unreadable_message(status: int, detail: str) -> Reply:
    """Returns the response to a malformed message, which also closes the connection."""
    retry_after_ns = UNREADABLE_RETRY_AFTER_NS if status == SERVICE_UNAVAILABLE else None
    reply = problem(status, "Not a message that is taken", detail, retry_after_ns=retry_after_ns)
    reply.close = True
    return reply


def internal_error() -> Reply:
    """Returns the response to a request whose handler failed."""
    detail = "the dispatcher failed on this task"
    return problem(INTERNAL_ERROR, "A fault of ours", detail, final="scrapped")
