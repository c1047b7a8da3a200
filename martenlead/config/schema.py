"""The settings of the edge program, as users write them.

`name=` gives the key in the file where it differs from the field. Times are in milliseconds, as the
names say; they are converted to nanoseconds where they are read.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from martenlead.events.head import HOST_PATTERN, TEXT_PATTERN

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Name = Annotated[str, Meta(min_length=1, max_length=200, pattern=TEXT_PATTERN)]
Host = Annotated[str, Meta(min_length=1, max_length=200, pattern=HOST_PATTERN)]
Secret = Annotated[str, Meta(min_length=16, max_length=200)]


class SettingsGroup(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A group of settings; unknown names are rejected."""


class Address(SettingsGroup, frozen=True, kw_only=True):
    """The address that a program listens on; port 0 selects any free port."""

    host: Host = "127.0.0.1"
    port: Port = 0


class EndpointListSettings(SettingsGroup, frozen=True, kw_only=True):
    """The connection to the endpoint list, which lists the workers."""

    host: Host = "127.0.0.1"
    port: Annotated[int, Meta(ge=1, le=65535)]
    kept: str | None = None  # file in which the last list is cached
    # a stream without a line for this long counts as broken
    silence_timeout_ms: Positive = msgspec.field(default=3000, name="quiet_ms")
    retry_ms: Positive = 100  # first backoff; doubles up to twenty times its length


class RequestClassSettings(SettingsGroup, frozen=True, kw_only=True):
    """A request class."""

    name: Name
    soft_limit_ms: Positive  # latency objective
    hard_limit_ms: Positive  # deadline
    effect: Literal["idempotent", "deduplicated", "unrepeatable"]
    group: Literal["all", "zone", "cell"] = "all"  # workers that share idempotency keys
    window_ms: NotNegative = 0  # time that the workers remember a key
    value: NotNegative = msgspec.field(default=1, name="revenue")
    late_value: Share = msgspec.field(default=0, name="late_revenue")  # share of `value`


class TenantSettings(SettingsGroup, frozen=True, kw_only=True):
    """A tenant, who pays for requests."""

    name: Name
    quota_per_s: Positive
    weight: Positive = 1  # weight of its work among waiting requests


class QueueSettings(SettingsGroup, frozen=True, kw_only=True):
    """Limits of the queue of requests that wait for admission."""

    waiting: Count = 2000  # requests
    bytes: Count = 67_108_864
    # shared by all dispatchers: a reservation that one of them granted is honored by the others
    secret: Secret | None = None


class AttemptSettings(SettingsGroup, frozen=True, kw_only=True):
    """Retries, hedging and cancellation of one request."""

    attempt_limit: Annotated[int, Meta(ge=1, le=16)] = msgspec.field(default=3, name="hand_offs")
    may_hedge: bool = msgspec.field(default=False, name="twice_out")
    may_cancel: bool = msgspec.field(default=True, name="call_off")
    retry_after_limit_ms: NotNegative = msgspec.field(default=500, name="turn_back_wait_ms")


class HealthCheckSettings(SettingsGroup, frozen=True, kw_only=True):
    """Active health checks of workers."""

    every_ms: Positive = 1000


class LoadBudgetSettings(SettingsGroup, frozen=True, kw_only=True):
    """Limit of load requests in any window."""

    window_ms: Positive
    free: NotNegative  # load requests allowed at any traffic
    share: NotNegative  # further load requests for each request accepted in the window


class FunctionSettings(SettingsGroup, frozen=True, kw_only=True):
    """How functions are loaded, and the costs of loading and memory."""

    may_request_loads: bool = msgspec.field(default=True, name="orders")
    tells_warm: bool = True  # responses say whether the function was loaded
    loads_on_miss: bool = True  # a worker loads a missing function while the request waits
    keep_ms: Positive = 10_000  # keep-alive
    load_timeout_ms: Positive = msgspec.field(default=10_000, name="order_limit_ms")
    load_budget: LoadBudgetSettings | None = msgspec.field(default=None, name="ration")
    memory_price: NotNegative = 0
    load_price: NotNegative = msgspec.field(default=0, name="fetch_price")


class SlowStartSettings(SettingsGroup, frozen=True, kw_only=True):
    """Slow start: a new worker gets a growing share of requests."""

    share: Annotated[float, Meta(gt=0, le=1)] = 0.2  # initial share
    time_ms: Positive = 15_000  # time until the worker gets its full share
    fall_multiple: Positive = 2.5  # multiple of its capacity in `fall_ms` at which it fails
    fall_ms: Positive = 2000
    drain_grace_ms: NotNegative = 250


class LimitSettings(SettingsGroup, frozen=True, kw_only=True):
    """Bounds of one process; a request beyond one of them is rejected with status 503."""

    open_requests: Count = msgspec.field(default=4000, name="open_tasks")
    connections: Count = 4096  # connections of clients; further ones are closed after a 503
    pipelined: Count = 32  # requests on one connection
    # connections to one worker; an attempt that needs a further one is not sent
    worker_connections: Count = msgspec.field(default=256, name="runner_connections")
    head_bytes: Count = 16_384
    body_bytes: Count = 1_048_576
    # total size of the bodies of all pending requests
    pending_bytes: Count = msgspec.field(default=268_435_456, name="held_bytes")
    # only requests for functions beyond this number are rejected
    known_functions: Count = msgspec.field(default=100_000, name="known_models")
    idle_ms: Positive = 60_000
    slow_ms: Positive = 10_000
    connect_ms: Positive = 250
    drain_ms: Positive = 30_000  # the longest that a shutdown waits for pending requests


class LogSettings(SettingsGroup, frozen=True, kw_only=True):
    """Settings of the log."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    decisions: bool = False  # one line for each decision


class CaptureSettings(SettingsGroup, frozen=True, kw_only=True):
    """Where and how the dispatcher's events and decisions are recorded."""

    folder: Name
    segment_bytes: Count = 16_777_216
    segment_s: Positive = 600
    total_bytes: Count = 1_073_741_824  # limit for this edge; oldest segments are removed first
    queue: Count = 100_000  # events waiting for the disk; further ones are recorded as a gap
    flush_ms: Positive = 50
    sync: Literal["never", "segment", "flush"] = "segment"


class DurableStateSettings(SettingsGroup, frozen=True, kw_only=True):
    """Where the dispatcher's durable state is saved: in a subfolder with the edge's name."""

    folder: Name
    deployment: Name = "martenlead"  # state of another deployment is not read
    every_ms: Positive = 1000
    bytes: Count = 64_000_000


class PlannerLinkSettings(SettingsGroup, frozen=True, kw_only=True):
    """The planner that decides on replicas in place of this edge.

    The first planner of `at` that responds is used until it fails.
    """

    at: Annotated[list[Address], Meta(min_length=1)]
    lease_ms: Positive = 1500  # a planner without a heartbeat for this long has lost its lease
    alone_ms: NotNegative = 5000  # without a planner for this long the edge decides itself
    flush_ms: Positive = 5
    outbox_bytes: Count = 8_388_608  # unacknowledged bytes; beyond it a snapshot is sent
    snapshot_ms: Positive = 500  # least time between two snapshots
    # functions in one snapshot; writing it blocks the event loop
    snapshot_functions: Count = msgspec.field(default=2000, name="snapshot_models")
    retry_ms: Positive = 100
    speaks: Annotated[int, Meta(ge=1, le=2)] = 2  # latest version of the link's protocol


class EdgeSettings(SettingsGroup, frozen=True, kw_only=True):
    """The settings of one edge process, which is one dispatcher."""

    name: Name = "edge"
    listen: Address = Address()
    admin: Address | None = None  # GET /metrics, GET /state
    endpoint_list: EndpointListSettings = msgspec.field(name="roster")
    dispatchers: Count = 1
    number: Annotated[int, Meta(ge=0)] = 0
    seed: int | None = None
    margin_ms: NotNegative = 10  # network round trip to a client, subtracted from its time left
    tick_ms: Annotated[float, Meta(ge=0.5, le=100)] = 5  # least lag assumed for the event loop
    request_classes: Annotated[list[RequestClassSettings], Meta(min_length=1)] = msgspec.field(
        name="offerings"
    )
    tenants: list[TenantSettings] = msgspec.field(default_factory=list, name="customers")
    over_share: Share = 1  # share of the value of a request over its tenant's rate limit
    allowed: AttemptSettings = AttemptSettings()
    probes: HealthCheckSettings | None = None
    functions: FunctionSettings = msgspec.field(default=FunctionSettings(), name="models")
    cold: SlowStartSettings = SlowStartSettings()
    limits: LimitSettings = LimitSettings()
    log: LogSettings = LogSettings()
    capture: CaptureSettings | None = None
    queues: QueueSettings | None = None  # if None, no request waits for admission
    # if None, each incarnation starts without saved state
    durable_state: DurableStateSettings | None = msgspec.field(default=None, name="lasting")
    planner: PlannerLinkSettings | None = None  # if None, this edge decides on replicas
    uvloop: bool = True
