"""The simulator's messages: the names in its protocol, and the fields of events and replies.

A batch of events is one line of JSON, and so is the list of replies to it. Events are maps without
guaranteed fields: one that is absent or of another type is treated as unknown.
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
WARMTH_MODULUS = 8  # the warmth is in the lowest bits of a note
WORKER_STATES = {"U": WorkerState.UP, "L": WorkerState.DRAINING, "D": WorkerState.GONE}
HELLO, EXIT = "hello", "exit"  # events that start and end an instance
COMPLETE_FORMS = ("F", "C")  # forms of a worker list that names all workers
EMPTY_FORM = "X"  # form of a worker list without information
TIMER_TAG = "check"
# Largest number accepted in an event; a larger one, in ns, could become infinite.
MAX_NUMBER = 1e15

# decoded JSON, with fields of unchecked types
EventFields = dict[str, Any]


class Batch(msgspec.Struct):
    """The events up to a time, in seconds of the simulated clock."""

    clock: float
    happened: list[EventFields]


def read_number(value: object) -> float:
    """The number in a field, or 0 if it holds none that is valid."""
    if isinstance(value, (int, float)) and 0 <= value <= MAX_NUMBER:
        return value
    return 0


def read_text(value: object) -> str:
    """The text in a field, or an empty one if it holds none."""
    return value if isinstance(value, str) else ""


def read_result(event: EventFields) -> Result:
    """How an attempt or a load request ended.

    An unknown reason counts as an error, since the request may have run.
    """
    return RESULTS.get(read_text(event.get("reason")), Result.ERROR)


def read_warmth(event: EventFields) -> Warmth:
    """The state of the replica, as reported at the end of an attempt."""
    note = int(read_number(event.get("note")))
    return WARMTHS.get(note % WARMTH_MODULUS, Warmth.UNKNOWN)


def read_worker_state(worker: EventFields) -> WorkerState:
    """The listed state of a worker; draining if unknown, since it may not be up."""
    return WORKER_STATES.get(read_text(worker.get("status", "U")), WorkerState.DRAINING)


def listed_workers(event: EventFields) -> Iterator[tuple[str, EventFields]]:
    """Yields the id and the fields of each worker that a list names."""
    for worker in event.get("items") or []:
        if isinstance(worker, dict) and (worker_id := read_text(worker.get("runner"))):
            yield worker_id, worker


class Reply(msgspec.Struct, tag_field="msg"):
    """An action of an instance, with the simulator's name for the instance."""

    dispatcher: object


class SendAttempt(Reply, tag="issue"):
    """Send a request to a worker."""

    request_id: str = msgspec.field(name="ref")
    worker_id: str = msgspec.field(name="runner")
    timeout_seconds: float = msgspec.field(name="within")


class RejectRequest(Reply, tag="say-no"):
    """Reject a request, which the client may send again after a while."""

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
    """The instance cannot continue, or an event could not be handled."""

    reason: str = msgspec.field(name="reason-text")


class ReplyBatch(msgspec.Struct):
    """All replies to one batch of events."""

    replies: list[Reply] = msgspec.field(name="out")
