"""Classifies how an HTTP exchange with a worker ended, as a `Result` with a reason.

By rule 2, the question is whether an end proves that the request never ran. Only two things prove
it: no byte of the request has left this machine, or the worker states it. After any other end the
request may have run.
"""

from __future__ import annotations

from http import HTTPStatus

from martenlead.events.client import Exchange, ExchangeEnd
from martenlead.events.http import Message
from martenlead.policy.types import Result, Warmth
from martenlead.upstream.outcome import UpstreamOutcome

NEVER_RAN_HEADER = b"martenlead-never-ran"
"""On a 503, 429 or 404: the worker states that it has not begun the request and will not."""

REPLICA_HEADER = b"martenlead-copy"
"""State of the function when the attempt arrived, a key of `WARMTH_BY_HEADER_VALUE`."""

STATE_HEADER = b"martenlead-state"
"""`draining` if the worker accepts no new requests."""

LOAD_FAILURE_HEADER = b"martenlead-load-failure"
"""Why a load failed, by the names of the layers agent: vault-away, no-room, ..."""

LOAD_REPORT_HEADER = b"martenlead-report"
"""The worker's load report: comma-separated name=value pairs."""

WARMTH_BY_HEADER_VALUE = {
    b"warm": Warmth.WARM,
    b"began": Warmth.STARTED_LOAD,
    b"waited": Warmth.AWAITED_LOAD,
    b"load-failed": Warmth.LOAD_FAILED,
}

RESULT_BY_END = {
    # nothing was written: there was no connection
    ExchangeEnd.REFUSED: Result.UNREACHABLE,
    ExchangeEnd.CONNECT_TIMEOUT: Result.UNREACHABLE,
    # nothing was written, for a reason on this side that says nothing about the worker
    ExchangeEnd.NO_SLOT: Result.NOT_SENT,
    ExchangeEnd.WITHHELD: Result.NOT_SENT,
    # the worker may have read the request first, also on a pooled connection that closed as it
    # was written
    ExchangeEnd.CLOSED: Result.CONNECTION_LOST,
    # a response had begun, so the request has most likely ended; the response is lost
    ExchangeEnd.CUT: Result.CONNECTION_LOST,
    # another program, or a faulty worker, answers there; the request may have run
    ExchangeEnd.GARBAGE: Result.CONNECTION_LOST,
    # the response may be cut off, and nothing in it tells
    ExchangeEnd.OVERRUN: Result.CONNECTION_LOST,
}
"""Results of exchanges that ended without a response.

`classify_unanswered_attempt` covers the two ends that are caused on this side. A request that timed
out before a connection was requested is NOT_SENT.
"""

OK = HTTPStatus.OK.value
MULTIPLE_CHOICES = HTTPStatus.MULTIPLE_CHOICES.value  # first status after 2xx
NOT_FOUND = HTTPStatus.NOT_FOUND.value
AT_CAPACITY_STATUSES = (
    HTTPStatus.TOO_MANY_REQUESTS.value,
    HTTPStatus.SERVICE_UNAVAILABLE.value,
)
LOAD_FAILURE_STATUSES = (NOT_FOUND, HTTPStatus.SERVICE_UNAVAILABLE.value)
LOAD_FAILURES = frozenset({"vault-away", "corrupt", "missing", "no-room", "late", "agent-away"})
UNKNOWN_LOAD_FAILURE = "unknown"


def classify_attempt(exchange: Exchange) -> UpstreamOutcome:
    """Returns the outcome of an attempt whose exchange was not ended on this side."""
    message = exchange.message
    if message is None or exchange.end is not ExchangeEnd.ANSWERED:
        result, reason = _classify_end(exchange)
        return UpstreamOutcome(result, reason=reason)
    is_draining = message.header(STATE_HEADER) == b"draining"
    warmth = WARMTH_BY_HEADER_VALUE.get(message.header(REPLICA_HEADER) or b"", Warmth.UNKNOWN)
    outcome = UpstreamOutcome(Result.SUCCEEDED, warmth, is_draining, message)
    if not OK <= message.status < MULTIPLE_CHOICES:
        _classify_refusal(message, outcome)
    return outcome


def _classify_refusal(message: Message, outcome: UpstreamOutcome) -> None:
    """Sets the result and the reason of an attempt that got a response other than 2xx."""
    never_ran = message.header(NEVER_RAN_HEADER) is not None
    load_failure = parse_load_failure(message)
    if load_failure and never_ran and message.status in LOAD_FAILURE_STATUSES:
        # a 404 says that there is no replica, and a 503 that there is no room for one
        is_missing = message.status == NOT_FOUND
        outcome.result = Result.FUNCTION_MISSING if is_missing else Result.AT_CAPACITY
        outcome.reason, outcome.load_failure = f"load failed: {load_failure}", load_failure
    elif message.status in AT_CAPACITY_STATUSES and never_ran:
        outcome.result, outcome.reason = Result.AT_CAPACITY, "turned away"
    elif message.status == NOT_FOUND and never_ran:
        outcome.result, outcome.reason = Result.FUNCTION_MISSING, "no copy stands there"
    else:
        # An error, or a refusal without the never-ran header: a proxy may have sent it.
        outcome.result, outcome.reason = Result.ERROR, f"status {message.status}"


def classify_unanswered_attempt(*, is_cancelled: bool, has_written: bool) -> UpstreamOutcome:
    """Returns the outcome of an attempt that was ended on this side, by time-out or cancel.

    Args:
        is_cancelled: Whether it was cancelled; otherwise it timed out.
        has_written: Whether a byte of the request may have been sent.
    """
    if is_cancelled:
        result = Result.CANCELLED if has_written else Result.NOT_SENT
        return UpstreamOutcome(result, reason="called off")
    # No connection within the time of an attempt is equivalent to a connect time-out.
    result = Result.NO_RESPONSE if has_written else Result.UNREACHABLE
    return UpstreamOutcome(result, reason="no answer in time")


def parse_load_failure(message: Message) -> str:
    """Returns the name of the reason why a load failed, empty if the response states none.

    A name that the protocol does not have becomes `unknown`, since names are counted.
    """
    name = (message.header(LOAD_FAILURE_HEADER) or b"").decode("latin-1")
    return name if not name or name in LOAD_FAILURES else UNKNOWN_LOAD_FAILURE


def classify_load_request(exchange: Exchange) -> tuple[Result, str]:
    """Returns the result of a load request and the reason; the body has the replica count."""
    message = exchange.message
    if message is None or exchange.end is not ExchangeEnd.ANSWERED:
        return _classify_end(exchange)
    if message.status == OK:
        return Result.SUCCEEDED, ""
    load_failure = parse_load_failure(message)
    if message.status in AT_CAPACITY_STATUSES:
        reason = "no room, too many loads, or draining"
        return Result.AT_CAPACITY, f"load failed: {load_failure}" if load_failure else reason
    reason = f"status {message.status}"
    return Result.ERROR, f"load failed: {load_failure}" if load_failure else reason


def _classify_end(exchange: Exchange) -> tuple[Result, str]:
    """Returns the result and the reason of an exchange that ended without a response."""
    result = RESULT_BY_END.get(exchange.end, Result.CONNECTION_LOST)
    return result, exchange.detail or exchange.end.value
