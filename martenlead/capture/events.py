"""The stored form of a policy's inputs and decisions.

Each type is one kind of event. Inputs carry the time (monotonic ns) of the notification. A decision
carries none: the policy made it while it handled the input before it. Objects are referred to by
number, in the order of their first appearance; the event that assigns a number also has the name.
docs/format-capture.md describes every field by its stored name.
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
    """The base of all stored events."""


class InputEvent(CaptureEvent, frozen=True):
    """An input of the policy."""

    time_ns: int = msgspec.field(name="t")


class PackedWorkerFacts(msgspec.Struct, array_like=True, frozen=True):
    """`WorkerFacts` with a hexadecimal mark, which may not fit an integer of the format."""

    mark: str
    zone: str
    cell: int
    memory_mb: float = msgspec.field(name="memory")
    weight: float
    state: str
    started_ns: int = msgspec.field(name="since")


class RunStarted(InputEvent, frozen=True, tag=0):
    """The policy was created with these settings and this seed."""

    wall_seconds: float = msgspec.field(name="wall")  # Unix time of the same moment
    edge: str
    policy_hash: str = msgspec.field(name="module")  # hash of the policy's source code
    program_version: str = msgspec.field(name="program")
    python_version: str = msgspec.field(name="python")
    seed: int
    settings: dict[str, Any]  # stored name -> value
    request_classes: list[str] = msgspec.field(name="offerings")
    tenants: list[tuple[str, float]] = msgspec.field(name="customers")  # name, rate limit


class EngineStarted(InputEvent, frozen=True, tag=1):
    """The engine started its background processes."""


class TickChanged(InputEvent, frozen=True, tag=2):
    """The tick that the event loop achieves has changed."""

    tick_ns: int = msgspec.field(name="tick")


class WorkerAdded(InputEvent, frozen=True, tag=3):
    """A worker appeared for the first time and was assigned a number."""

    worker: int = msgspec.field(name="runner")
    name: str
    facts: PackedWorkerFacts


class FunctionAdded(InputEvent, frozen=True, tag=4):
    """A function appeared for the first time and was assigned a number."""

    function: int = msgspec.field(name="model")
    name: str
    mark: str
    lanes: int
    memory_mb: float = msgspec.field(name="memory")


class WorkersUpdated(InputEvent, frozen=True, tag=5):
    """Discovery reported some workers, or all of them if the update is complete."""

    is_complete: bool = msgspec.field(name="whole")
    workers: list[tuple[int, PackedWorkerFacts]] = msgspec.field(name="lines")


class RequestAccepted(InputEvent, frozen=True, tag=6):
    """A request arrived and was assigned a number."""

    request: int = msgspec.field(name="task")
    name: str
    function: int = msgspec.field(name="model")
    request_class: int = msgspec.field(name="offering")
    tenant: int = msgspec.field(name="customer")  # -1 without a tenant
    deadline_ns: int = msgspec.field(name="give_up")
    is_retry: bool = msgspec.field(name="again")
    cost: float


class AttemptEnded(InputEvent, frozen=True, tag=7):
    """An attempt ended with a result."""

    request: int = msgspec.field(name="task")
    attempt: int = msgspec.field(name="hand_off")
    result: str
    is_final: bool = msgspec.field(name="final")
    warmth: str
    latency_ns: int = msgspec.field(name="lag")


class LoadEnded(InputEvent, frozen=True, tag=8):
    """A load request ended; `replicas` are now loaded at its worker."""

    load_request: int = msgspec.field(name="order")
    result: str
    replicas: int = msgspec.field(name="copies")


class RequestClosed(InputEvent, frozen=True, tag=9):
    """A request got its final response, or its client disconnected."""

    request: int = msgspec.field(name="task")
    outcome: str = msgspec.field(name="final")


class Advance(InputEvent, frozen=True, tag=10):
    """Due timers fired."""


class Gap(InputEvent, frozen=True, tag=11):
    """Events are missing between two times, so no later event can be replayed."""

    until_ns: int = msgspec.field(name="until")
    dropped: int
    reason: str = msgspec.field(name="why")


class RetentionChanged(InputEvent, frozen=True, tag=13):
    """A planner decided whether a replica is retained."""

    worker: int = msgspec.field(name="runner")
    function: int = msgspec.field(name="model")
    is_retained: bool = msgspec.field(name="held")


class LoadPlanned(InputEvent, frozen=True, tag=14):
    """A planner planned a load request; `LoadRequested` follows if the load budget allows it."""

    plan_number: int = msgspec.field(name="plan")
    worker: int = msgspec.field(name="runner")
    function: int = msgspec.field(name="model")


class LoadRequestsAllowed(InputEvent, frozen=True, tag=15):
    """The dispatcher itself was allowed, or forbidden, to decide on load requests."""

    is_allowed: bool = msgspec.field(name="on")


class ReplicaConfirmed(InputEvent, frozen=True, tag=16):
    """A worker confirmed whether a replica of an earlier run still exists."""

    worker: int = msgspec.field(name="runner")
    function: int = msgspec.field(name="model")
    result: str
    replicas: int = msgspec.field(name="copies")
    last_used_ns: int = msgspec.field(name="touched")


class WorkerChoiceRequested(InputEvent, frozen=True, tag=17):
    """Admission asked which worker would get such a request now.

    The choice draws from the policy's random numbers, so a replay has to repeat it.
    """

    function: int = msgspec.field(name="model")
    request_class: int = msgspec.field(name="offering")
    is_deferrable: bool = msgspec.field(name="spare")
    cost: float


class KnowledgeRestored(InputEvent, frozen=True, tag=18):
    """The knowledge of an earlier run was restored.

    A function is stored as its number and the other fields of `EarlierFunction` in their order, a
    worker as its number, concurrency limit and weight.
    """

    succeeded_per_second: float = msgspec.field(name="rate")
    new_requests_per_second: float = msgspec.field(name="asked")
    weight: float = msgspec.field(name="worth")
    # lists of numbers and of nested lists of numbers
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
    """The policy rejected a request, with the time after which the client may retry."""

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
    """The policy sent a load request to a worker; the load request was assigned a number."""

    load_request: int = msgspec.field(name="order")
    worker: int = msgspec.field(name="runner")
    function: int = msgspec.field(name="model")
    replicas: int = msgspec.field(name="copies")


class WorkerListRequested(CaptureEvent, frozen=True, tag=37):
    """The policy requested changes of the worker list from discovery."""


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
    """The number of the request that an event refers to, or None."""
    return getattr(event, "request", None)


def pack_facts(facts: WorkerFacts) -> PackedWorkerFacts:
    """Converts the facts of a worker to their stored form."""
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
    """Reads the facts of a worker from their stored form."""
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
    """Reads the facts of a function from the event that introduced it."""
    return FunctionFacts(int(event.mark, 16), event.lanes, event.memory_mb)


def pack_settings(settings: Settings) -> dict[str, object]:
    """Converts the settings to their stored form.

    Request classes are stored as lists of their fields, and the rate limit as text, since not every
    format can represent infinity.
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
    """Reads the settings of a run from their stored form.

    Ignores fields that this version does not know; fields that the writer lacked get defaults.
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
    """The tenants of a run, in stored order."""
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
"""The documented names of event kinds that differ from the names of their classes."""


def kind_name(event: CaptureEvent) -> str:
    """The documented name of an event's kind, as the command line prints it."""
    return KIND_NAMES.get(type(event), type(event).__name__)
