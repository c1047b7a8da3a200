"""The types that cross the decision module's border, in the house's words. Nothing is decided here.

Times are whole nanoseconds. Ids stay at the door: whoever feeds the module keeps them and hands objects in.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Effect(Enum):
    """What a repeat of a task would do."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    UNREPEATABLE = "unrepeatable"


class Group(Enum):
    """The runners that drop repeats of a deduplicated task."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How a hand-off, an order or a probe ended."""

    SATISFIED = "satisfied"
    ERROR = "error"
    FULL = "full"
    SILENT = "silent"
    UNREACHED = "unreached"
    BROKEN = "broken"
    CALLED_OFF = "called off"
    NOT_SENT = "not sent"
    MISSING = "missing"


NEVER_RAN = frozenset({Result.FULL, Result.UNREACHED, Result.NOT_SENT, Result.MISSING})


class Warmth(Enum):
    """What an answer tells of the copy that the task met."""

    UNTOLD = "untold"
    WARM = "warm"
    BEGAN = "began a load"
    WAITED = "waited for a load"
    LOAD_FAILED = "load failed"


@dataclass(slots=True, eq=False)
class Offering:
    soft_limit: int
    effect: Effect
    group: Group
    window: int


@dataclass(slots=True, eq=False)
class Customer:
    quota: float  # tasks a second over all dispatchers


@dataclass(slots=True, eq=False)
class Settings:
    """What the module reads of what it is told at start; a feature that is not stated is absent."""

    front_ends: int
    tick: int
    hand_offs: int
    twice_out: bool
    call_off: bool
    orders: bool
    tells_warm: bool
    loads_on_miss: bool
    turn_back_wait: int
    keep: int
    ration_window: int
    ration_free: float
    ration_share: float
    cold_from: float
    cold: int
    fall_multiple: float
    over_share: float
    quota: float  # of all customers, tasks a second
    memory_price: float  # of all memory idle all day, in the revenue of all tasks
    late_revenue: float  # of a late answer, as a part
    fetch_price: float  # of one fetch, in the revenue of one task
    asks_roster: bool
    roster_every: int
    offerings: list[Offering] = field(default_factory=list)
    reach: int = 0  # until a connection to a runner is up, or given up
    functions: int = 1 << 30  # that may be known at once


@dataclass(slots=True)
class RunnerFacts:
    """One line of the roster. `mark` is the same number at every dispatcher."""

    mark: int
    zone: str
    cell: int
    memory: float
    weight: float
    state: State
    since: int


@dataclass(slots=True)
class ModelFacts:
    mark: int
    lanes: int
    memory: float


@dataclass(slots=True, eq=False)
class Task:
    model: Any
    offering: Offering
    customer: Customer | None
    give_up: int
    again: bool
    cost: float
    hand_offs: list[HandOff] = field(default_factory=list)
    spare: bool = False  # the module's: over its customer's share
    process: Any = None  # the engine's


@dataclass(slots=True, eq=False)
class HandOff:
    """Sends a task to a runner; resumed at once, its answer comes to a later Wait."""

    task: Task
    runner: Any
    patience: int
    sent: int
    expected: int = 0
    result: Result | None = None
    begin_by: int = 1 << 62  # the first byte may not leave later: the effect could come twice


@dataclass(slots=True, eq=False)
class Answer:
    hand_off: HandOff
    result: Result
    final: bool
    warmth: Warmth
    lag: int


@dataclass(slots=True, eq=False)
class Wait:
    """Resumed with the next answer, or with None at `until`."""

    until: int


@dataclass(slots=True, eq=False)
class TurnBack:
    task: Task
    wait: int


@dataclass(slots=True, eq=False)
class Scrap:
    task: Task


@dataclass(slots=True, eq=False)
class CallOff:
    hand_off: HandOff


@dataclass(slots=True, eq=False)
class Order:
    """Hold that many copies; none asks how many stand."""

    runner: Any
    model: Any
    copies: int


@dataclass(slots=True, eq=False)
class AskRoster:
    """Ask for roster changes from now on."""


@dataclass(slots=True, eq=False)
class PastModel:
    """What an earlier life of this dispatcher knew of a model. The `worths` are in [0, 1]: what latencies and
    demand still count for. `bins` and `lag` are a histogram's; `tasks` came within `span`."""

    model: Any
    bins: list[float]
    lag: float
    latency_worth: float
    tasks: float
    span: int
    gap: int
    idle: int
    demand_worth: float


@dataclass(slots=True, eq=False)
class PastRunner:
    runner: Any
    width: float
    worth: float


@dataclass(slots=True, eq=False)
class Past:
    """A stated start. `orders` are the ages of load orders that were given before it."""

    rate: float
    asked: float
    worth: float
    models: list[PastModel]
    runners: list[PastRunner]
    orders: list[int]


Action = HandOff | Wait | TurnBack | Scrap | CallOff | Order | AskRoster
Steps = Generator[Action, Any, None]
