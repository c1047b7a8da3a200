"""What a dispatcher's policy was notified of and what it decided, as captures store it.

Each type is one kind of event. Inputs carry the time (monotonic ns) of the notification. A decision
carries none: it is made in the course of the input before it. Numbers stand for objects, in the
order in which these came; names stand where a number is given out. docs/format-capture.md has every
field, by the stored names.
"""

from __future__ import annotations

from typing import Any

import msgspec

from martenlead.capture.setting_names import SETTING_FIELDS
from martenlead.policy.types import (
    DeduplicationScope,
    Effect,
    FunctionFacts,
    RequestClass,
    Settings,
    Tenant,
    WorkerFacts,
    WorkerState,
)


class CaptureEvent(msgspec.Struct, array_like=True, tag_field="k", frozen=True):
    """Anything that a capture stores."""


class InputEvent(CaptureEvent, frozen=True):
    """Something that the policy was notified of."""

    time_ns: int = msgspec.field(name="t")


class PackedWorkerFacts(msgspec.Struct, array_like=True, frozen=True):
    """`WorkerFacts`, the mark in hexadecimal: it may be longer than an integer of the format."""

    mark: str
    zone: str
    cell: int
    memory_mb: float = msgspec.field(name="memory")
    weight: float
    state: str
    started_ns: int = msgspec.field(name="since")


class RunStarted(InputEvent, frozen=True, tag=0):
    """The policy was made, with these settings and this seed."""

    wall_seconds: float = msgspec.field(name="wall")  # since 1970, of the same moment
    edge: str
    policy_hash: str = msgspec.field(name="module")  # of the policy's text
    program_version: str = msgspec.field(name="program")
    python_version: str = msgspec.field(name="python")
    seed: int
    settings: dict[str, Any]  # by stored names, with values of many types
    request_classes: list[str] = msgspec.field(name="offerings")
    tenants: list[tuple[str, float]] = msgspec.field(name="customers")  # name, quota


class EngineStarted(InputEvent, frozen=True, tag=1):
    """What runs as long as the dispatcher does began."""


class TickChanged(InputEvent, frozen=True, tag=2):
    """The event loop achieves another tick."""

    tick_ns: int = msgspec.field(name="tick")


class WorkerAdded(InputEvent, frozen=True, tag=3):
    """A worker was named for the first time, and got a number."""

    worker: int = msgspec.field(name="runner")
    name: str
    facts: PackedWorkerFacts


class FunctionAdded(InputEvent, frozen=True, tag=4):
    """A function was named for the first time, and got a number."""

    function: int = msgspec.field(name="model")
    name: str
    mark: str
    lanes: int
    memory_mb: float = msgspec.field(name="memory")


class WorkersUpdated(InputEvent, frozen=True, tag=5):
    """What discovery said of some workers, or of all where it is complete."""

    is_complete: bool = msgspec.field(name="whole")
    workers: list[tuple[int, PackedWorkerFacts]] = msgspec.field(name="lines")


class RequestAccepted(InputEvent, frozen=True, tag=6):
    """A request arrived, and got a number."""

    request: int = msgspec.field(name="task")
    name: str
    function: int = msgspec.field(name="model")
    request_class: int = msgspec.field(name="offering")
    tenant: int = msgspec.field(name="customer")  # -1: none
    deadline_ns: int = msgspec.field(name="give_up")
    is_retry: bool = msgspec.field(name="again")
    cost: float


class AttemptEnded(InputEvent, frozen=True, tag=7):
    """An attempt had its result."""

    request: int = msgspec.field(name="task")
    attempt: int = msgspec.field(name="hand_off")
    result: str
    is_final: bool = msgspec.field(name="final")
    warmth: str
    latency_ns: int = msgspec.field(name="lag")


class LoadEnded(InputEvent, frozen=True, tag=8):
    """A load request ended, and so many replicas are loaded at its worker."""

    load_request: int = msgspec.field(name="order")
    result: str
    replicas: int = msgspec.field(name="copies")


class RequestClosed(InputEvent, frozen=True, tag=9):
    """A request had its final response, or its client left."""

    request: int = msgspec.field(name="task")
    outcome: str = msgspec.field(name="final")


class Advance(InputEvent, frozen=True, tag=10):
    """Timers that were due fired."""


class Gap(InputEvent, frozen=True, tag=11):
    """So many events are missing between two times: nothing behind it can be replayed."""

    until_ns: int = msgspec.field(name="until")
    dropped: int
    reason: str = msgspec.field(name="why")


class RetentionChanged(InputEvent, frozen=True, tag=13):
    """A planner decided whether a replica is retained."""

    worker: int = msgspec.field(name="runner")
    function: int = msgspec.field(name="model")
    is_retained: bool = msgspec.field(name="held")


class LoadPlanned(InputEvent, frozen=True, tag=14):
    """A planner decided on a load request; `LoadRequested` follows if the budget allows it."""

    plan_number: int = msgspec.field(name="plan")
    worker: int = msgspec.field(name="runner")
    function: int = msgspec.field(name="model")


class LoadRequestsAllowed(InputEvent, frozen=True, tag=15):
    """Whether the dispatcher decides on replicas itself from here on."""

    is_allowed: bool = msgspec.field(name="on")


class ReplicaConfirmed(InputEvent, frozen=True, tag=16):
    """The answer to the question after a replica of an earlier run."""

    worker: int = msgspec.field(name="runner")
    function: int = msgspec.field(name="model")
    result: str
    replicas: int = msgspec.field(name="copies")
    last_used_ns: int = msgspec.field(name="touched")


class WorkerChoiceRequested(InputEvent, frozen=True, tag=17):
    """Admission asked which worker would have such a request now.

    The choice draws from the policy's random numbers, so a replay has to make it too.
    """

    function: int = msgspec.field(name="model")
    request_class: int = msgspec.field(name="offering")
    is_deferrable: bool = msgspec.field(name="spare")
    cost: float


class KnowledgeRestored(InputEvent, frozen=True, tag=18):
    """What an earlier run had learnt.

    A function is its number and the other fields of `EarlierFunction` in their order, a worker its
    number, concurrency limit and weight.
    """

    succeeded_per_second: float = msgspec.field(name="rate")
    new_requests_per_second: float = msgspec.field(name="asked")
    weight: float = msgspec.field(name="worth")
    # lists of numbers, and of lists of numbers
    functions: list[list[Any]] = msgspec.field(name="models")
    workers: list[list[Any]] = msgspec.field(name="runners")
    load_ages_ns: list[int] = msgspec.field(name="orders")


class AttemptStarted(CaptureEvent, frozen=True, tag=32):
    """The policy sent an attempt of a request to a worker."""

    request: int = msgspec.field(name="task")
    attempt: int = msgspec.field(name="hand_off")
    worker: int = msgspec.field(name="runner")
    timeout_ns: int = msgspec.field(name="patience")


class RequestRejected(CaptureEvent, frozen=True, tag=33):
    """The policy rejected a request, which may come again after a while."""

    request: int = msgspec.field(name="task")
    retry_after_ns: int = msgspec.field(name="wait")


class RequestFailed(CaptureEvent, frozen=True, tag=34):
    """The policy failed a request."""

    request: int = msgspec.field(name="task")


class AttemptCancelled(CaptureEvent, frozen=True, tag=35):
    """The policy cancelled an attempt in flight."""

    request: int = msgspec.field(name="task")
    attempt: int = msgspec.field(name="hand_off")


class LoadRequested(CaptureEvent, frozen=True, tag=36):
    """The policy asked a worker for replicas; the load request got a number."""

    load_request: int = msgspec.field(name="order")
    worker: int = msgspec.field(name="runner")
    function: int = msgspec.field(name="model")
    replicas: int = msgspec.field(name="copies")


class WorkerListRequested(CaptureEvent, frozen=True, tag=37):
    """The policy asked discovery for changes of the worker list."""


AnyEvent = (
    RunStarted
    | EngineStarted
    | TickChanged
    | WorkerAdded
    | FunctionAdded
    | WorkersUpdated
    | RequestAccepted
    | AttemptEnded
    | LoadEnded
    | RequestClosed
    | Advance
    | Gap
    | RetentionChanged
    | LoadPlanned
    | LoadRequestsAllowed
    | ReplicaConfirmed
    | WorkerChoiceRequested
    | KnowledgeRestored
    | AttemptStarted
    | RequestRejected
    | RequestFailed
    | AttemptCancelled
    | LoadRequested
    | WorkerListRequested
)
DECISIONS = (
    AttemptStarted,
    RequestRejected,
    RequestFailed,
    AttemptCancelled,
    LoadRequested,
    WorkerListRequested,
)
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(list[AnyEvent]).decode


def request_number(event: CaptureEvent) -> int | None:
    """The number of the request that an event is about, None where it is about none."""
    return getattr(event, "request", None)


def pack_facts(facts: WorkerFacts) -> PackedWorkerFacts:
    """The stored form of what discovery said of a worker."""
    return PackedWorkerFacts(
        f"{facts.mark:x}",
        facts.zone,
        facts.cell,
        facts.memory_mb,
        facts.weight,
        facts.state.value,
        facts.started_ns,
    )


def unpack_facts(packed: PackedWorkerFacts) -> WorkerFacts:
    """What discovery said of a worker."""
    return WorkerFacts(
        int(packed.mark, 16),
        packed.zone,
        packed.cell,
        packed.memory_mb,
        packed.weight,
        WorkerState(packed.state),
        packed.started_ns,
    )


def unpack_function_facts(event: FunctionAdded) -> FunctionFacts:
    """What was stated of a function."""
    return FunctionFacts(int(event.mark, 16), event.lanes, event.memory_mb)


def pack_settings(settings: Settings) -> dict[str, object]:
    """The stored form of all settings.

    Request classes are lists of their fields, and a rate limit is text, since not every format has
    infinity.
    """
    stored_settings: dict[str, object] = {
        stored: getattr(settings, name) for stored, name in SETTING_FIELDS.items()
    }
    stored_settings["offerings"] = [
        [
            o.latency_objective_ns,
            o.effect.value,
            o.deduplication_scope.value,
            o.idempotency_window_ns,
        ]
        for o in settings.request_classes
    ]
    stored_settings["quota"] = str(settings.rate_limit_per_second)
    return stored_settings


def unpack_settings(stored_settings: dict[str, Any]) -> Settings:
    """The settings of a run, from values of many types.

    A field that this version does not have is passed over; one that the writer lacked is absent.
    """
    known = {
        SETTING_FIELDS[stored]: value
        for stored, value in stored_settings.items()
        if stored in SETTING_FIELDS
    }
    known["request_classes"] = [
        RequestClass(objective_ns, Effect(effect), DeduplicationScope(scope), window_ns)
        for objective_ns, effect, scope, window_ns in stored_settings["offerings"]
    ]
    known["rate_limit_per_second"] = float(stored_settings["quota"])
    return Settings(**known)


def unpack_tenants(start: RunStarted) -> list[Tenant]:
    """The tenants of a run, in their order."""
    return [Tenant(rate_limit_per_second) for _, rate_limit_per_second in start.tenants]


KIND_NAMES: dict[type[CaptureEvent], str] = {
    RunStarted: "Start",
    EngineStarted: "Begin",
    TickChanged: "Tick",
    WorkerAdded: "NewRunner",
    FunctionAdded: "NewModel",
    WorkersUpdated: "Roster",
    RequestAccepted: "Take",
    AttemptEnded: "Answered",
    LoadEnded: "OrderEnded",
    RequestClosed: "Closed",
    RetentionChanged: "Hold",
    LoadPlanned: "Carry",
    LoadRequestsAllowed: "Plans",
    ReplicaConfirmed: "Recalled",
    WorkerChoiceRequested: "Room",
    KnowledgeRestored: "Remembered",
    AttemptStarted: "HandedOff",
    RequestRejected: "TurnedBack",
    RequestFailed: "Scrapped",
    AttemptCancelled: "CalledOff",
    LoadRequested: "Ordered",
    WorkerListRequested: "Asked",
}
"""The names of kinds that the command line prints, where they are not the classes' own."""


def kind_name(event: CaptureEvent) -> str:
    """The documented name of an event's kind."""
    return KIND_NAMES.get(type(event), type(event).__name__)
