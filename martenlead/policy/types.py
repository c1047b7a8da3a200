"""The types of the policy boundary: settings, facts, actions and results. Decides nothing.

Times and durations are whole nanoseconds. Ids stay outside: the caller of the policy keeps them and
passes the objects that the policy created for them. The fields that hold these objects are `Any`
here; in the policy's own modules they are workers, functions and processes.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Effect(Enum):
    """The effect of running a request a second time."""

    IDEMPOTENT = "idempotent"
    WITH_IDEMPOTENCY_KEY = "deduplicated"
    NON_IDEMPOTENT = "unrepeatable"


class DeduplicationScope(Enum):
    """The workers that drop repeats of a request with an idempotency key after one ran it."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WorkerState(Enum):
    """The state of a worker, as discovery reports it."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How an attempt or a load request ended."""

    SUCCEEDED = "satisfied"
    ERROR = "error"
    AT_CAPACITY = "full"
    NO_RESPONSE = "silent"
    UNREACHABLE = "unreached"
    CONNECTION_LOST = "broken"
    CANCELLED = "called off"
    NOT_SENT = "not sent"
    FUNCTION_MISSING = "missing"


NEVER_RAN = frozenset(
    {Result.AT_CAPACITY, Result.UNREACHABLE, Result.NOT_SENT, Result.FUNCTION_MISSING}
)


class Warmth(Enum):
    """The state in which a request found its replica, as the response reports it."""

    UNKNOWN = "untold"
    WARM = "warm"
    STARTED_LOAD = "began a load"
    AWAITED_LOAD = "waited for a load"
    LOAD_FAILED = "load failed"


@dataclass(slots=True, eq=False)
class RequestClass:
    """A kind of request: its latency objective and the effect of a repeat."""

    latency_objective_ns: int
    effect: Effect
    deduplication_scope: DeduplicationScope
    idempotency_window_ns: int


@dataclass(slots=True, eq=False)
class Tenant:
    """A sender of requests, and its rate limit over all dispatchers together."""

    rate_limit_per_second: float


@dataclass(slots=True, eq=False)
class Settings:
    """The settings that the policy reads at start. A feature that is not configured is absent."""

    dispatchers: int
    tick_ns: int  # events are batched by ticks; times may be off by one tick
    attempt_limit: int  # attempts per request
    may_hedge: bool  # second attempts while the first is in flight are allowed
    may_cancel: bool  # attempts in flight may be cancelled
    may_request_loads: bool  # replicas may be loaded ahead of requests
    tells_warmth: bool  # responses say whether the replica was warm
    loads_on_miss: bool  # workers load a function at its first request
    retry_after_limit_ns: int  # largest Retry-After that clients respect
    keep_alive_ns: int  # how long an idle replica stays loaded
    load_window_ns: int  # window of the load budget; 0 for no budget
    free_loads_per_window: float
    loads_per_request: float
    slow_start_share: float  # share of its requests that a worker may get at its start
    slow_start_ns: int
    slow_start_multiple: float  # the ramp is a share of this multiple of a worker's part
    over_share: float  # tenants have no shares if this is 1 or more
    rate_limit_per_second: float  # sum over all tenants
    memory_price: float  # all memory idle all day, relative to the value of all requests
    late_value: float  # value of a late response, relative to one in time
    load_price: float  # one load, relative to the value of one request
    lists_workers: bool  # discovery has to be asked for the list
    list_interval_ns: int
    request_classes: list[RequestClass] = field(default_factory=list)
    connect_timeout_ns: int = 0  # within which a connection to a worker opens or fails
    function_limit: int = 1 << 30  # largest number of functions known at once


@dataclass(slots=True)
class WorkerFacts:
    """What discovery reports of a worker. `mark` is the same number at every dispatcher."""

    mark: int
    zone: str
    cell: int
    memory_mb: float
    weight: float
    state: WorkerState
    started_ns: int


@dataclass(slots=True)
class FunctionFacts:
    """The properties of a function: a replica can run `lanes` requests at once."""

    mark: int
    lanes: int
    memory_mb: float


@dataclass(slots=True, eq=False)
class Request:
    """One call from a client, with exactly one final response."""

    function: Any
    request_class: RequestClass
    tenant: Tenant | None
    deadline_ns: int
    is_retry: bool  # marked by the client
    cost: float  # hint of the work, on any scale; 0 for none
    attempts: list[Attempt] = field(default_factory=list)
    is_deferrable: bool = False  # set by the policy: a retry, or over its tenant's share
    process: Any = None  # set by the engine


@dataclass(slots=True, eq=False)
class Attempt:
    """Sends a request to a worker. Resumed at once; a later Wait returns the result."""

    request: Request
    worker: Any
    timeout_ns: int
    sent_ns: int
    expects_warm: int = 0  # 1 if the worker is expected to have the function loaded
    result: Result | None = None
    begin_by_ns: int = 1 << 62  # a first byte sent later could repeat an effect


@dataclass(slots=True, eq=False)
class AttemptResult:
    """How an attempt ended; `is_final` if this gives the request its final response."""

    attempt: Attempt
    result: Result
    is_final: bool
    warmth: Warmth
    latency_ns: int


@dataclass(slots=True, eq=False)
class Wait:
    """Resumed with the next result of an attempt, or with None at `until_ns`."""

    until_ns: int


@dataclass(slots=True, eq=False)
class Reject:
    """The final response that the client may send the request again after `retry_after_ns`."""

    request: Request
    retry_after_ns: int


@dataclass(slots=True, eq=False)
class Fail:
    """The final response that the request failed, and may have run."""

    request: Request


@dataclass(slots=True, eq=False)
class Cancel:
    """Cancels an attempt in flight."""

    attempt: Attempt


@dataclass(slots=True, eq=False)
class LoadRequest:
    """Asks a worker to keep that many replicas loaded; 0 asks how many are loaded."""

    worker: Any
    function: Any
    replicas: int


@dataclass(slots=True, eq=False)
class ListWorkers:
    """Asks discovery for all changes from now on."""


@dataclass(slots=True, eq=False)
class EarlierFunction:
    """What an earlier run of this dispatcher knew of a function.

    `bins` and `latency_sum_ns` are those of a latency histogram; `requests` arrived within
    `span_ns`. The weights, in [0, 1], say how much the latencies and the demand still count.
    """

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
    """The concurrency limit that a worker had; `weight` says how much it still counts."""

    worker: Any
    concurrency_limit: float
    weight: float


@dataclass(slots=True, eq=False)
class EarlierRun:
    """What an earlier run had learnt, and the ages of the load requests that it made."""

    succeeded_per_second: float
    new_requests_per_second: float
    weight: float
    functions: list[EarlierFunction]
    workers: list[EarlierWorker]
    load_ages_ns: list[int]


Action = Attempt | Wait | Reject | Fail | Cancel | LoadRequest | ListWorkers
Steps = Generator[Action, Any, None]
