"""What crosses the module's border, as it is written down: one structure for each call, and for each
decision.

Inputs carry `t`, the time (monotonic ns) at which the module was told. A decision carries none: it is made in
the course of the input before it. Objects are numbered in the order in which they came; names stand where a
number is given out. docs/format-capture.md has every field.
"""

from __future__ import annotations

from dataclasses import fields
from typing import Any

import msgspec

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
    """Anything that is written down."""


class InputEvent(CaptureEvent, frozen=True):
    time_ns: int = msgspec.field(name="t")


class PackedWorkerFacts(msgspec.Struct, array_like=True, frozen=True):
    """`RunnerFacts`; the mark in hexadecimal, since it may be longer than an integer of the format."""

    mark: str
    zone: str
    cell: int
    memory_mb: float = msgspec.field(name="memory")
    weight: float
    state: str
    started_ns: int = msgspec.field(name="since")


class RunStarted(InputEvent, frozen=True, tag=0):
    wall_seconds: float = msgspec.field(name="wall")  # s since 1970, of the same moment
    edge: str
    policy_hash: str = msgspec.field(name="module")  # hash of the decision module's text
    program_version: str = msgspec.field(name="program")
    python_version: str = msgspec.field(name="python")
    seed: int
    settings: dict[str, Any]
    request_classes: list[str] = msgspec.field(name="offerings")
    tenants: list[tuple[str, float]] = msgspec.field(name="customers")  # name, quota


class EngineStarted(InputEvent, frozen=True, tag=1):
    pass


class TickChanged(InputEvent, frozen=True, tag=2):
    tick_ns: int = msgspec.field(name="tick")


class WorkerAdded(InputEvent, frozen=True, tag=3):
    worker: int = msgspec.field(name="runner")
    name: str
    facts: PackedWorkerFacts


class FunctionAdded(InputEvent, frozen=True, tag=4):
    function: int = msgspec.field(name="model")
    name: str
    mark: str
    lanes: int
    memory_mb: float = msgspec.field(name="memory")


class WorkersUpdated(InputEvent, frozen=True, tag=5):
    is_complete: bool = msgspec.field(name="whole")
    workers: list[tuple[int, PackedWorkerFacts]] = msgspec.field(name="lines")


class RequestAccepted(InputEvent, frozen=True, tag=6):
    request: int = msgspec.field(name="task")
    name: str
    function: int = msgspec.field(name="model")
    request_class: int = msgspec.field(name="offering")
    tenant: int = msgspec.field(name="customer")  # -1: none
    deadline_ns: int = msgspec.field(name="give_up")
    is_retry: bool = msgspec.field(name="again")
    cost: float


class AttemptEnded(InputEvent, frozen=True, tag=7):
    request: int = msgspec.field(name="task")
    attempt: int = msgspec.field(name="hand_off")
    result: str
    is_final: bool = msgspec.field(name="final")
    warmth: str
    latency_ns: int = msgspec.field(name="lag")


class LoadEnded(InputEvent, frozen=True, tag=8):
    load_request: int = msgspec.field(name="order")
    result: str
    replicas: int = msgspec.field(name="copies")


class RequestClosed(InputEvent, frozen=True, tag=9):
    request: int = msgspec.field(name="task")
    outcome: str = msgspec.field(name="final")


class Advance(InputEvent, frozen=True, tag=10):
    pass


class Gap(InputEvent, frozen=True, tag=11):
    """`dropped` events are missing between `t` and `until`: nothing behind it can be replayed."""

    until_ns: int = msgspec.field(name="until")
    dropped: int
    reason: str = msgspec.field(name="why")


class RetentionChanged(InputEvent, frozen=True, tag=13):
    """A planner's word: whether a copy is held."""

    worker: int = msgspec.field(name="runner")
    function: int = msgspec.field(name="model")
    is_retained: bool = msgspec.field(name="held")


class LoadPlanned(InputEvent, frozen=True, tag=14):
    """A planner's order, by the planner's number; followed by `Ordered` if it may be given."""

    plan_number: int = msgspec.field(name="plan")
    worker: int = msgspec.field(name="runner")
    function: int = msgspec.field(name="model")


class LoadRequestsAllowed(InputEvent, frozen=True, tag=15):
    """Whether the dispatcher decides on copies itself from here on."""

    is_allowed: bool = msgspec.field(name="on")


class ReplicaConfirmed(InputEvent, frozen=True, tag=16):
    """The answer to an ask for a copy that was held in a life before; `touched`: when it was last used."""

    worker: int = msgspec.field(name="runner")
    function: int = msgspec.field(name="model")
    result: str
    replicas: int = msgspec.field(name="copies")
    last_used_ns: int = msgspec.field(name="touched")


class WorkerChoiceRequested(InputEvent, frozen=True, tag=17):
    """The door asks whether a task like this would be handed off now; asking draws from the module's
    chance."""

    function: int = msgspec.field(name="model")
    request_class: int = msgspec.field(name="offering")
    is_deferrable: bool = msgspec.field(name="spare")
    cost: float


class KnowledgeRestored(InputEvent, frozen=True, tag=18):
    """What was kept of an earlier life. A model: number, bins, sum of lags, worth of these, tasks, span, gap,
    idle, worth of these; a runner: number, width, worth; ages of orders."""

    succeeded_per_second: float = msgspec.field(name="rate")
    new_requests_per_second: float = msgspec.field(name="asked")
    weight: float = msgspec.field(name="worth")
    functions: list[list[Any]] = msgspec.field(name="models")
    workers: list[list[Any]] = msgspec.field(name="runners")
    load_ages_ns: list[int] = msgspec.field(name="orders")


class AttemptStarted(CaptureEvent, frozen=True, tag=32):
    request: int = msgspec.field(name="task")
    attempt: int = msgspec.field(name="hand_off")
    worker: int = msgspec.field(name="runner")
    timeout_ns: int = msgspec.field(name="patience")


class RequestRejected(CaptureEvent, frozen=True, tag=33):
    request: int = msgspec.field(name="task")
    retry_after_ns: int = msgspec.field(name="wait")


class RequestFailed(CaptureEvent, frozen=True, tag=34):
    request: int = msgspec.field(name="task")


class AttemptCancelled(CaptureEvent, frozen=True, tag=35):
    request: int = msgspec.field(name="task")
    attempt: int = msgspec.field(name="hand_off")


class LoadRequested(CaptureEvent, frozen=True, tag=36):
    load_request: int = msgspec.field(name="order")
    worker: int = msgspec.field(name="runner")
    function: int = msgspec.field(name="model")
    replicas: int = msgspec.field(name="copies")


class WorkerListRequested(CaptureEvent, frozen=True, tag=37):
    pass


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
    return getattr(event, "request", None)


def pack_facts(facts: WorkerFacts) -> PackedWorkerFacts:
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
    p = packed
    return WorkerFacts(
        int(p.mark, 16), p.zone, p.cell, p.memory_mb, p.weight, WorkerState(p.state), p.started_ns
    )


def unpack_function_facts(event: FunctionAdded) -> FunctionFacts:
    return FunctionFacts(int(event.mark, 16), event.lanes, event.memory_mb)


# by which captures store the policy's settings, and `replay --set` takes them
SETTING_NAMES = {
    "dispatchers": "front_ends",
    "tick_ns": "tick",
    "attempt_limit": "hand_offs",
    "may_hedge": "twice_out",
    "may_cancel": "call_off",
    "may_request_loads": "orders",
    "tells_warmth": "tells_warm",
    "retry_after_limit_ns": "turn_back_wait",
    "keep_alive_ns": "keep",
    "load_window_ns": "ration_window",
    "free_loads_per_window": "ration_free",
    "loads_per_request": "ration_share",
    "slow_start_share": "cold_from",
    "slow_start_ns": "cold",
    "slow_start_multiple": "fall_multiple",
    "rate_limit_per_second": "quota",
    "late_value": "late_revenue",
    "load_price": "fetch_price",
    "lists_workers": "asks_roster",
    "list_interval_ns": "roster_every",
    "request_classes": "offerings",
    "connect_timeout_ns": "reach",
    "function_limit": "functions",
}
# the fields of `Settings`, by the names under which they are stored
SETTING_FIELDS = {SETTING_NAMES.get(f.name, f.name): f.name for f in fields(Settings)}


def pack_settings(settings: Settings) -> dict[str, Any]:
    """All fields; offerings as lists of theirs, infinity as text, since not every format has it."""
    told = {stored: getattr(settings, name) for stored, name in SETTING_FIELDS.items()}
    told["offerings"] = [
        [o.latency_objective_ns, o.effect.value, o.deduplication_scope.value, o.idempotency_window_ns]
        for o in settings.request_classes
    ]
    told["quota"] = str(settings.rate_limit_per_second)
    return told


def unpack_settings(told: dict[str, Any]) -> Settings:
    """A field that this version does not have is passed over; one that the writer did not have is absent."""
    known = {SETTING_FIELDS[stored]: value for stored, value in told.items() if stored in SETTING_FIELDS}
    known["request_classes"] = [
        RequestClass(soft, Effect(kind), DeduplicationScope(group), w)
        for soft, kind, group, w in told["offerings"]
    ]
    known["rate_limit_per_second"] = float(told["quota"])
    return Settings(**known)


def unpack_tenants(start: RunStarted) -> list[Tenant]:
    return [Tenant(quota) for _, quota in start.tenants]


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
"""The names of kinds that `capture show`, `stats` and `replay` print, where they are not the classes' own."""


def kind_name(event: CaptureEvent) -> str:
    """The documented name of an event's kind."""
    return KIND_NAMES.get(type(event), type(event).__name__)
