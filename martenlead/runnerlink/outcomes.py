"""One table from how an exchange with a runner ended to the module's `Result`, and why.

The question in every line is rule 2's: does this prove that the task never ran? Proof is either that not one
byte of the task left this machine, or the runner's own word. Everything else may have run.
"""

from __future__ import annotations

from martenlead.events.client import End, Exchange
from martenlead.events.http import Message
from martenlead.policy.types import Result, Warmth
from martenlead.runnerlink.heard import Heard

NEVER_RAN = (
    b"martenlead-never-ran"  # the runner's word, on a 503 or 404: it has not begun the task and will not
)
COPY = b"martenlead-copy"  # what the task met
STATE = b"martenlead-state"  # draining: the runner takes nothing new
FAILURE = b"martenlead-load-failure"  # why a load failed, as `layers` names it: vault-away, no-room, ...
REPORT = b"martenlead-report"  # load report, name=value pairs with commas

WARMTH = {
    b"warm": Warmth.WARM,
    b"began": Warmth.STARTED_LOAD,
    b"waited": Warmth.AWAITED_LOAD,
    b"load-failed": Warmth.LOAD_FAILED,
}

SOCKET = {
    # nothing was written: the connection was never there
    End.REFUSED: Result.UNREACHABLE,
    End.CONNECT_TIMEOUT: Result.UNREACHABLE,
    # nothing was written, and it says nothing of the runner: the bound is ours
    End.NO_SLOT: Result.NOT_SENT,
    End.WITHHELD: Result.NOT_SENT,
    # the request may have been read before the end; also where a pooled connection closed just as it was
    # written
    End.CLOSED: Result.CONNECTION_LOST,
    # an answer had begun, so the task had most likely ended; its content is lost
    End.CUT: Result.CONNECTION_LOST,
    # something answers there that is no runner, or one gone mad; the task may have run
    End.GARBAGE: Result.CONNECTION_LOST,
}
"""Ends without an answer. Two more come from our own side, `without_answer`. A task whose time was over
before a connection was asked for is NOT_SENT."""


def heard(exchange: Exchange) -> Heard:
    """Reads an exchange of a hand-off. Every one maps to exactly one `Result`."""
    message = exchange.message
    if message is None or exchange.end is not End.ANSWERED:
        return Heard(
            SOCKET.get(exchange.end, Result.CONNECTION_LOST), why=exchange.detail or exchange.end.value
        )
    drains = message.header(STATE) == b"draining"
    warmth = WARMTH.get(message.header(COPY) or b"", Warmth.UNKNOWN)
    if 200 <= message.status < 300:
        return Heard(Result.SUCCEEDED, warmth, drains, message)
    proof = message.header(NEVER_RAN) is not None
    failure = failed(message)
    if failure and proof and message.status in (404, 503):
        # there is no copy, as on any 404; a box without room is full, as on any 503
        result = Result.AT_CAPACITY if message.status == 503 else Result.FUNCTION_MISSING
        return Heard(result, warmth, drains, message, f"load failed: {failure}", failure)
    if message.status in (429, 503) and proof:
        return Heard(Result.AT_CAPACITY, warmth, drains, message, "turned away")
    if message.status == 404 and proof:
        return Heard(Result.FUNCTION_MISSING, warmth, drains, message, "no copy stands there")
    # an error, or a refusal without the runner's word that nothing ran: a relay between could have said it
    return Heard(Result.ERROR, warmth, drains, message, f"status {message.status}")


def without_answer(*, called_off: bool, wrote: bool) -> Heard:
    """An exchange that our side ended: by its time-out, or called off. `wrote`: a byte may have left."""
    if called_off:
        return Heard(Result.CANCELLED if wrote else Result.NOT_SENT, why="called off")
    # not connected within the whole patience says the same of the runner as a time-out of the connect
    return Heard(Result.NO_RESPONSE if wrote else Result.UNREACHABLE, why="no answer in time")


def failed(message: Message) -> str:
    """Why a load failed; "" where nothing is told. A name that is long or odd is cut to one that can be
    counted."""
    told = (message.header(FAILURE) or b"").decode("latin-1")
    return told if not told or (len(told) <= 20 and told.replace("-", "").isalpha()) else "unknown"


def ordered(exchange: Exchange) -> tuple[Result, str]:
    """Reads an exchange of an order; the copies that stand are in the answer's body."""
    message = exchange.message
    if message is None or exchange.end is not End.ANSWERED:
        return SOCKET.get(exchange.end, Result.CONNECTION_LOST), exchange.detail or exchange.end.value
    if message.status == 200:
        return Result.SUCCEEDED, ""
    failure = failed(message)
    if message.status in (429, 503):
        return (
            Result.AT_CAPACITY,
            f"load failed: {failure}" if failure else "no room, too many loads, or draining",
        )
    return Result.ERROR, f"load failed: {failure}" if failure else f"status {message.status}"
