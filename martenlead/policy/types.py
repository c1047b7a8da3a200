"""The types of the policy boundary: settings, facts, actions and results. It decides nothing.

Times and durations are whole nanoseconds. Ids stay outside: whoever feeds the policy keeps them and
hands objects in, which the policy made for them; so the fields that hold these are `Any` here, and
workers, functions and processes in the policy's own modules.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Effect(Enum):
    """What a second run of a request would do."""

    IDEMPOTENT = "idempotent"
    WITH_IDEMPOTENCY_KEY = "deduplicated"
    NON_IDEMPOTENT = "unrepeatable"


class DeduplicationScope(Enum):
    """The workers that drop repeats of a request with an idempotency key after one ran it."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WorkerState(Enum):
    """What discovery says of a worker."""

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
    """What a response tells of the replica that the request met."""

    UNKNOWN = "untold"
    WARM = "warm"
    STARTED_LOAD = "began a load"
    AWAITED_LOAD = "waited for a load"
    LOAD_FAILED = "load failed"


@dataclass(slots=True, eq=False)
class RequestClass:
    """A kind of request: how soon it is wanted, and what a repeat would do."""

    latency_objective_ns: int
    effect: Effect
    deduplication_scope: DeduplicationScope
    idempotency_window_ns: int


@dataclass(slots=True, eq=False)
class Tenant:
    """Who sends requests, and how many a second over all dispatchers."""

    rate_limit_per_second: float


@dataclass(slots=True, eq=False)
class Settings:
    """What the policy reads of what it is told at start; a feature that is not stated is absent."""

    dispatchers: int
    tick_ns: int  # in which events come together, and by which times may be off
    attempt_limit: int  # of one request
    may_hedge: bool  # a second attempt while the first is in flight
    may_cancel: bool  # an attempt in flight
    may_request_loads: bool  # ahead of requests
    tells_warmth: bool  # responses say whether the replica was warm
    loads_on_miss: bool  # workers load a function at its first request
    retry_after_limit_ns: int  # that clients heed at most
    keep_alive_ns: int  # that an idle replica stays loaded for
    load_window_ns: int  # of the load budget; 0 for none
    free_loads_per_window: float
    loads_per_request: float
    slow_start_share: float  # of its requests, that a worker may get as it starts
    slow_start_ns: int
    slow_start_multiple: float  # of a worker's part, that the ramp is a share of
    over_share: float  # from 1 on tenants have no shares
    rate_limit_per_second: float  # of all tenants
    memory_price: float  # of all memory idle all day, in the value of all requests
    late_value: float  # of a late response, as a part
    load_price: float  # of one load, in the value of one request
    lists_workers: bool  # discovery has to be asked
    list_interval_ns: int
    request_classes: list[RequestClass] = field(default_factory=list)
    connect_timeout_ns: int = 0  # until a connection to a worker is up, or given up
    function_limit: int = 1 << 30  # that may be known at once


@dataclass(slots=True)
class WorkerFacts:
    """What discovery says of one worker. `mark` is the same number at every dispatcher."""

    mark: int
    zone: str
    cell: int
    memory_mb: float
    weight: float
    state: WorkerState
    started_ns: int


@dataclass(slots=True)
class FunctionFacts:
    """What is stated of a function: `lanes` requests may run at once in a replica."""

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
    is_retry: bool  # marked so by the client
    cost: float  # a hint of the work, on any scale; 0 for none
    attempts: list[Attempt] = field(default_factory=list)
    is_deferrable: bool = False  # the policy's: a retry, or over its tenant's share
    process: Any = None  # the engine's


@dataclass(slots=True, eq=False)
class Attempt:
    """Sends a request to a worker; resumed at once, its result comes to a later Wait."""

    request: Request
    worker: Any
    timeout_ns: int
    sent_ns: int
    expects_warm: int = 0  # 1 where the worker should have the function loaded
    result: Result | None = None
    begin_by_ns: int = 1 << 62  # the first byte may not leave later: the effect could come twice


@dataclass(slots=True, eq=False)
class AttemptResult:
    """How an attempt ended; `is_final` where the request has its final response by it."""

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
    """The final response that the client may send the request again, after a while."""

    request: Request
    retry_after_ns: int


@dataclass(slots=True, eq=False)
class Fail:
    """The final response that the request failed, and may have run."""

    request: Request


@dataclass(slots=True, eq=False)
class Cancel:
    """Takes back an attempt in flight."""

    attempt: Attempt


@dataclass(slots=True, eq=False)
class LoadRequest:
    """Asks a worker to hold that many replicas; with 0 it is asked how many are loaded."""

    worker: Any
    function: Any
    replicas: int


@dataclass(slots=True, eq=False)
class ListWorkers:
    """Asks discovery for changes from now on."""


@dataclass(slots=True, eq=False)
class EarlierFunction:
    """What an earlier run of this dispatcher knew of a function.

    The weights are in [0, 1]: what latencies and demand still count for. `bins` and
    `latency_sum_ns` are a histogram's; the requests came within `span_ns`.
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
    """The concurrency limit that a worker had, and what it still counts for."""

    worker: Any
    concurrency_limit: float
    weight: float


@dataclass(slots=True, eq=False)
class EarlierRun:
    """What an earlier run had learnt; load requests given then, by their ages."""

    succeeded_per_second: float
    new_requests_per_second: float
    weight: float
    functions: list[EarlierFunction]
    workers: list[EarlierWorker]
    load_ages_ns: list[int]


Action = Attempt | Wait | Reject | Fail | Cancel | LoadRequest | ListWorkers
Steps = Generator[Action, Any, None]
