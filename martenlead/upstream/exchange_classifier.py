"""One table from how an exchange with a runner ended to the module's `Result`, and why.

The question in every line is rule 2's: does this prove that the task never ran? Proof is either that not one
byte of the task left this machine, or the runner's own word. Everything else may have run.
"""

from __future__ import annotations

from martenlead.events.client import Exchange, ExchangeEnd
from martenlead.events.http import Message
from martenlead.policy.types import Result, Warmth
from martenlead.upstream.outcome import UpstreamOutcome

NEVER_RAN_HEADER = (
    b"martenlead-never-ran"  # the runner's word, on a 503 or 404: it has not begun the task and will not
)
REPLICA_HEADER = b"martenlead-copy"  # what the task met
STATE_HEADER = b"martenlead-state"  # draining: the runner takes nothing new
LOAD_FAILURE_HEADER = (
    b"martenlead-load-failure"  # why a load failed, as `layers` names it: vault-away, no-room, ...
)
LOAD_REPORT_HEADER = b"martenlead-report"  # load report, name=value pairs with commas

WARMTH_BY_HEADER_VALUE = {
    b"warm": Warmth.WARM,
    b"began": Warmth.STARTED_LOAD,
    b"waited": Warmth.AWAITED_LOAD,
    b"load-failed": Warmth.LOAD_FAILED,
}

RESULT_BY_END = {
    # nothing was written: the connection was never there
    ExchangeEnd.REFUSED: Result.UNREACHABLE,
    ExchangeEnd.CONNECT_TIMEOUT: Result.UNREACHABLE,
    # nothing was written, and it says nothing of the runner: the bound is ours
    ExchangeEnd.NO_SLOT: Result.NOT_SENT,
    ExchangeEnd.WITHHELD: Result.NOT_SENT,
    # the request may have been read before the end; also where a pooled connection closed just as it was
    # written
    ExchangeEnd.CLOSED: Result.CONNECTION_LOST,
    # an answer had begun, so the task had most likely ended; its content is lost
    ExchangeEnd.CUT: Result.CONNECTION_LOST,
    # something answers there that is no runner, or one gone mad; the task may have run
    ExchangeEnd.GARBAGE: Result.CONNECTION_LOST,
}
"""Ends without an answer. Two more come from our own side, `without_answer`. A task whose time was over
before a connection was asked for is NOT_SENT."""


def classify_attempt(exchange: Exchange) -> UpstreamOutcome:
    """Reads an exchange of a hand-off. Every one maps to exactly one `Result`."""
    message = exchange.message
    if message is None or exchange.end is not ExchangeEnd.ANSWERED:
        return UpstreamOutcome(
            RESULT_BY_END.get(exchange.end, Result.CONNECTION_LOST),
            reason=exchange.detail or exchange.end.value,
        )
    drains = message.header(STATE_HEADER) == b"draining"
    warmth = WARMTH_BY_HEADER_VALUE.get(message.header(REPLICA_HEADER) or b"", Warmth.UNKNOWN)
    if 200 <= message.status < 300:
        return UpstreamOutcome(Result.SUCCEEDED, warmth, drains, message)
    proof = message.header(NEVER_RAN_HEADER) is not None
    failure = parse_load_failure(message)
    if failure and proof and message.status in (404, 503):
        # there is no copy, as on any 404; a box without room is full, as on any 503
        result = Result.AT_CAPACITY if message.status == 503 else Result.FUNCTION_MISSING
        return UpstreamOutcome(result, warmth, drains, message, f"load failed: {failure}", failure)
    if message.status in (429, 503) and proof:
        return UpstreamOutcome(Result.AT_CAPACITY, warmth, drains, message, "turned away")
    if message.status == 404 and proof:
        return UpstreamOutcome(Result.FUNCTION_MISSING, warmth, drains, message, "no copy stands there")
    # an error, or a refusal without the runner's word that nothing ran: a relay between could have said it
    return UpstreamOutcome(Result.ERROR, warmth, drains, message, f"status {message.status}")


def classify_unanswered_attempt(*, is_cancelled: bool, has_written: bool) -> UpstreamOutcome:
    """An exchange that our side ended: by its time-out, or called off. `wrote`: a byte may have left."""
    if is_cancelled:
        return UpstreamOutcome(Result.CANCELLED if has_written else Result.NOT_SENT, reason="called off")
    # not connected within the whole patience says the same of the runner as a time-out of the connect
    return UpstreamOutcome(
        Result.NO_RESPONSE if has_written else Result.UNREACHABLE, reason="no answer in time"
    )


def parse_load_failure(message: Message) -> str:
    """Why a load failed; "" where nothing is told. A name that is long or odd is cut to one that can be
    counted."""
    told = (message.header(LOAD_FAILURE_HEADER) or b"").decode("latin-1")
    return told if not told or (len(told) <= 20 and told.replace("-", "").isalpha()) else "unknown"


def classify_load_request(exchange: Exchange) -> tuple[Result, str]:
    """Reads an exchange of an order; the copies that stand are in the answer's body."""
    message = exchange.message
    if message is None or exchange.end is not ExchangeEnd.ANSWERED:
        return RESULT_BY_END.get(exchange.end, Result.CONNECTION_LOST), exchange.detail or exchange.end.value
    if message.status == 200:
        return Result.SUCCEEDED, ""
    failure = parse_load_failure(message)
    if message.status in (429, 503):
        return (
            Result.AT_CAPACITY,
            f"load failed: {failure}" if failure else "no room, too many loads, or draining",
        )
    return Result.ERROR, f"load failed: {failure}" if failure else f"status {message.status}"
