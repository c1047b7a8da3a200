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


class Event(msgspec.Struct, array_like=True, tag_field="k", frozen=True):
    """Anything that is written down."""


class Input(Event, frozen=True):
    t: int


class Facts(msgspec.Struct, array_like=True, frozen=True):
    """`RunnerFacts`; the mark in hexadecimal, since it may be longer than an integer of the format."""

    mark: str
    zone: str
    cell: int
    memory: float
    weight: float
    state: str
    since: int


class Start(Input, frozen=True, tag=0):
    wall: float  # s since 1970, of the same moment
    edge: str
    module: str  # hash of the decision module's text
    program: str
    python: str
    seed: int
    settings: dict[str, Any]
    offerings: list[str]
    customers: list[tuple[str, float]]  # name, quota


class Begin(Input, frozen=True, tag=1):
    pass


class Tick(Input, frozen=True, tag=2):
    tick: int


class NewRunner(Input, frozen=True, tag=3):
    runner: int
    name: str
    facts: Facts


class NewModel(Input, frozen=True, tag=4):
    model: int
    name: str
    mark: str
    lanes: int
    memory: float


class Roster(Input, frozen=True, tag=5):
    whole: bool
    lines: list[tuple[int, Facts]]


class Take(Input, frozen=True, tag=6):
    task: int
    name: str
    model: int
    offering: int
    customer: int  # -1: none
    give_up: int
    again: bool
    cost: float


class Answered(Input, frozen=True, tag=7):
    task: int
    hand_off: int
    result: str
    final: bool
    warmth: str
    lag: int


class OrderEnded(Input, frozen=True, tag=8):
    order: int
    result: str
    copies: int


class Closed(Input, frozen=True, tag=9):
    task: int
    final: str


class Advance(Input, frozen=True, tag=10):
    pass


class Gap(Input, frozen=True, tag=11):
    """`dropped` events are missing between `t` and `until`: nothing behind it can be replayed."""

    until: int
    dropped: int
    why: str


class Hold(Input, frozen=True, tag=13):
    """A planner's word: whether a copy is held."""

    runner: int
    model: int
    held: bool


class Carry(Input, frozen=True, tag=14):
    """A planner's order, by the planner's number; followed by `Ordered` if it may be given."""

    plan: int
    runner: int
    model: int


class Plans(Input, frozen=True, tag=15):
    """Whether the dispatcher decides on copies itself from here on."""

    on: bool


class Recalled(Input, frozen=True, tag=16):
    """The answer to an ask for a copy that was held in a life before; `touched`: when it was last used."""

    runner: int
    model: int
    result: str
    copies: int
    touched: int


class Room(Input, frozen=True, tag=17):
    """The door asks whether a task like this would be handed off now; asking draws from the module's
    chance."""

    model: int
    offering: int
    spare: bool
    cost: float


class Remembered(Input, frozen=True, tag=18):
    """What was kept of an earlier life. A model: number, bins, sum of lags, worth of these, tasks, span, gap,
    idle, worth of these; a runner: number, width, worth; ages of orders."""

    rate: float
    asked: float
    worth: float
    models: list[list[Any]]
    runners: list[list[Any]]
    orders: list[int]


class HandedOff(Event, frozen=True, tag=32):
    task: int
    hand_off: int
    runner: int
    patience: int


class TurnedBack(Event, frozen=True, tag=33):
    task: int
    wait: int


class Scrapped(Event, frozen=True, tag=34):
    task: int


class CalledOff(Event, frozen=True, tag=35):
    task: int
    hand_off: int


class Ordered(Event, frozen=True, tag=36):
    order: int
    runner: int
    model: int
    copies: int


class Asked(Event, frozen=True, tag=37):
    pass


Any_ = (
    Start
    | Begin
    | Tick
    | NewRunner
    | NewModel
    | Roster
    | Take
    | Answered
    | OrderEnded
    | Closed
    | Advance
    | Gap
    | Hold
    | Carry
    | Plans
    | Recalled
    | Room
    | Remembered
    | HandedOff
    | TurnedBack
    | Scrapped
    | CalledOff
    | Ordered
    | Asked
)
DECISIONS = (HandedOff, TurnedBack, Scrapped, CalledOff, Ordered, Asked)
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(list[Any_]).decode


def task_of(event: Event) -> int | None:
    return getattr(event, "task", None)


def pack_facts(facts: WorkerFacts) -> Facts:
    return Facts(
        f"{facts.mark:x}",
        facts.zone,
        facts.cell,
        facts.memory_mb,
        facts.weight,
        facts.state.value,
        facts.started_ns,
    )


def facts_of(packed: Facts) -> WorkerFacts:
    p = packed
    return WorkerFacts(int(p.mark, 16), p.zone, p.cell, p.memory, p.weight, WorkerState(p.state), p.since)


def model_facts(event: NewModel) -> FunctionFacts:
    return FunctionFacts(int(event.mark, 16), event.lanes, event.memory)


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


def settings_of(told: dict[str, Any]) -> Settings:
    """A field that this version does not have is passed over; one that the writer did not have is absent."""
    known = {SETTING_FIELDS[stored]: value for stored, value in told.items() if stored in SETTING_FIELDS}
    known["request_classes"] = [
        RequestClass(soft, Effect(kind), DeduplicationScope(group), w)
        for soft, kind, group, w in told["offerings"]
    ]
    known["rate_limit_per_second"] = float(told["quota"])
    return Settings(**known)


def customers_of(start: Start) -> list[Tenant]:
    return [Tenant(quota) for _, quota in start.customers]
