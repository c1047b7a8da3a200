"""The simulator's messages: the words of its protocol, and the fields of events and replies.

A batch of events is one line of JSON, and so is the list of replies to it. An event is a map of
which nothing is certain: a field that is absent, or is of another type, says nothing.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from martenlead.policy.types import Result, Warmth, WorkerState

RESULTS = {
    "served": Result.SUCCEEDED,
    "server_error": Result.ERROR,
    "turned_away": Result.AT_CAPACITY,
    "no_answer": Result.NO_RESPONSE,
    "no_connection": Result.UNREACHABLE,
    "connection_lost": Result.CONNECTION_LOST,
    "called_off": Result.CANCELLED,
    "not_sent": Result.NOT_SENT,
    "not_stored": Result.FUNCTION_MISSING,
}
WARMTHS = {
    1: Warmth.WARM,
    2: Warmth.STARTED_LOAD,
    3: Warmth.AWAITED_LOAD,
    4: Warmth.LOAD_FAILED,
}
WARMTH_MODULUS = 8  # of a note: what is above it says nothing of warmth
WORKER_STATES = {"U": WorkerState.UP, "L": WorkerState.DRAINING, "D": WorkerState.GONE}
HELLO, EXIT = "hello", "exit"  # events that begin and end an instance
COMPLETE_FORMS = ("F", "C")  # of a worker list: all workers there are
EMPTY_FORM = "X"  # of a worker list that says nothing
TIMER_TAG = "check"
MAX_NUMBER = 1e15  # of any number in an event: beyond, a time in ns may have no end

# as JSON decodes it: no field's type is certain
EventFields = dict[str, Any]


class Batch(msgspec.Struct):
    """What has happened by one moment, in seconds of the simulated clock."""

    clock: float
    happened: list[EventFields]


def read_number(value: object) -> float:
    """The value of a field that holds a number, 0 where it holds none that can be right."""
    if isinstance(value, (int, float)) and 0 <= value <= MAX_NUMBER:
        return value
    return 0


def read_text(value: object) -> str:
    """The value of a field that holds a text, an empty one where it holds none."""
    return value if isinstance(value, str) else ""


def read_result(event: EventFields) -> Result:
    """How an attempt or a load request ended.

    A reason that is not known proves nothing: the request may have run.
    """
    return RESULTS.get(read_text(event.get("reason")), Result.ERROR)


def read_warmth(event: EventFields) -> Warmth:
    """What the end of an attempt says of the replica."""
    note = int(read_number(event.get("note")))
    return WARMTHS.get(note % WARMTH_MODULUS, Warmth.UNKNOWN)


def read_worker_state(worker: EventFields) -> WorkerState:
    """What a worker list says of a worker; an unknown status does not prove that it is up."""
    return WORKER_STATES.get(read_text(worker.get("status", "U")), WorkerState.DRAINING)


def listed_workers(event: EventFields) -> Iterator[tuple[str, EventFields]]:
    """The id and the fields of each worker that a list names."""
    for worker in event.get("items") or []:
        if isinstance(worker, dict) and (worker_id := read_text(worker.get("runner"))):
            yield worker_id, worker


class Reply(msgspec.Struct, tag_field="msg"):
    """Anything that an instance wants done, with the simulator's name for the instance."""

    dispatcher: object


class SendAttempt(Reply, tag="issue"):
    """Send a request to a worker."""

    request_id: str = msgspec.field(name="ref")
    worker_id: str = msgspec.field(name="runner")
    timeout_seconds: float = msgspec.field(name="within")


class RejectRequest(Reply, tag="say-no"):
    """Reject a request, which may come again after a while."""

    request_id: str = msgspec.field(name="ref")
    retry_after_seconds: float = msgspec.field(name="wait")


class FailRequest(Reply, tag="finish-error"):
    """End a request with an error."""

    request_id: str = msgspec.field(name="ref")


class CancelAttempt(Reply, tag="stop-attempt"):
    """Cancel an attempt in flight."""

    request_id: str = msgspec.field(name="ref")
    attempt_index: int = msgspec.field(name="hop")


class LoadFunction(Reply, tag="load"):
    """Ask a worker to load that many replicas."""

    worker_id: str = msgspec.field(name="runner")
    function_id: str = msgspec.field(name="fn")
    replicas: int = msgspec.field(name="number")


class WatchWorkers(Reply, tag="stream-changes"):
    """Send changes of the worker list from now on."""

    is_enabled: bool = msgspec.field(name="want", default=True)


class SetTimer(Reply, tag="remind"):
    """Send an event with this tag after a while."""

    after_seconds: float = msgspec.field(name="after")
    event_tag: str = msgspec.field(name="tag", default=TIMER_TAG)


class Panic(Reply, tag="panic"):
    """The instance cannot go on, or an event could not be handled."""

    reason: str = msgspec.field(name="reason-text")


class ReplyBatch(msgspec.Struct):
    """All that the instances want done after one batch of events."""

    replies: list[Reply] = msgspec.field(name="out")
