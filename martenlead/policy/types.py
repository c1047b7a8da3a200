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
    WITH_IDEMPOTENCY_KEY = "deduplicated"
    NON_IDEMPOTENT = "unrepeatable"


class DeduplicationScope(Enum):
    """The runners that drop repeats of a deduplicated task."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WorkerState(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How a hand-off, an order or a probe ended."""

    SUCCEEDED = "satisfied"
    ERROR = "error"
    AT_CAPACITY = "full"
    NO_RESPONSE = "silent"
    UNREACHABLE = "unreached"
    CONNECTION_LOST = "broken"
    CANCELLED = "called off"
    NOT_SENT = "not sent"
    FUNCTION_MISSING = "missing"


NEVER_RAN = frozenset({Result.AT_CAPACITY, Result.UNREACHABLE, Result.NOT_SENT, Result.FUNCTION_MISSING})


class Warmth(Enum):
    """What an answer tells of the copy that the task met."""

    UNKNOWN = "untold"
    WARM = "warm"
    STARTED_LOAD = "began a load"
    AWAITED_LOAD = "waited for a load"
    LOAD_FAILED = "load failed"


@dataclass(slots=True, eq=False)
class RequestClass:
    latency_objective_ns: int
    effect: Effect
    deduplication_scope: DeduplicationScope
    idempotency_window_ns: int


@dataclass(slots=True, eq=False)
class Tenant:
    rate_limit_per_second: float  # tasks a second over all dispatchers


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
    offerings: list[RequestClass] = field(default_factory=list)
    reach: int = 0  # until a connection to a runner is up, or given up
    functions: int = 1 << 30  # that may be known at once


@dataclass(slots=True)
class WorkerFacts:
    """One line of the roster. `mark` is the same number at every dispatcher."""

    mark: int
    zone: str
    cell: int
    memory_mb: float
    weight: float
    state: WorkerState
    started_ns: int


@dataclass(slots=True)
class FunctionFacts:
    mark: int
    lanes: int
    memory_mb: float


@dataclass(slots=True, eq=False)
class Request:
    function: Any
    request_class: RequestClass
    tenant: Tenant | None
    deadline_ns: int
    is_retry: bool
    cost: float
    attempts: list[Attempt] = field(default_factory=list)
    is_deferrable: bool = False  # the module's: over its customer's share
    process: Any = None  # the engine's


@dataclass(slots=True, eq=False)
class Attempt:
    """Sends a task to a runner; resumed at once, its answer comes to a later Wait."""

    request: Request
    worker: Any
    timeout_ns: int
    sent_ns: int
    expects_warm: int = 0
    result: Result | None = None
    begin_by_ns: int = 1 << 62  # the first byte may not leave later: the effect could come twice


@dataclass(slots=True, eq=False)
class AttemptResult:
    attempt: Attempt
    result: Result
    is_final: bool
    warmth: Warmth
    latency_ns: int


@dataclass(slots=True, eq=False)
class Wait:
    """Resumed with the next answer, or with None at `until`."""

    until_ns: int


@dataclass(slots=True, eq=False)
class Reject:
    request: Request
    retry_after_ns: int


@dataclass(slots=True, eq=False)
class Fail:
    request: Request


@dataclass(slots=True, eq=False)
class Cancel:
    attempt: Attempt


@dataclass(slots=True, eq=False)
class LoadRequest:
    """Hold that many copies; none asks how many stand."""

    worker: Any
    function: Any
    replicas: int


@dataclass(slots=True, eq=False)
class ListWorkers:
    """Ask for roster changes from now on."""


@dataclass(slots=True, eq=False)
class EarlierFunction:
    """What an earlier life of this dispatcher knew of a model. The `worths` are in [0, 1]: what latencies and
    demand still count for. `bins` and `lag` are a histogram's; `tasks` came within `span`."""

    function: Any
    bins: list[float]
    latency_sum_ns: float
    latency_weight: float
    requests: float
    span_ns: int
    mean_gap_ns: int
    idle_ns: int
    demand_weight: float


@dataclass(slots=True, eq=False)
class EarlierWorker:
    worker: Any
    concurrency_limit: float
    weight: float


@dataclass(slots=True, eq=False)
class EarlierRun:
    """A stated start. `orders` are the ages of load orders that were given before it."""

    succeeded_per_second: float
    new_requests_per_second: float
    weight: float
    functions: list[EarlierFunction]
    workers: list[EarlierWorker]
    load_ages_ns: list[int]


Action = Attempt | Wait | Reject | Fail | Cancel | LoadRequest | ListWorkers
Steps = Generator[Action, Any, None]
