"""The settings of the edge program. Times are ms, as their names say; they become ns where they are read."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from martenlead.config.load import ConfigError, decode, evaluate
from martenlead.policy.types import DeduplicationScope, Effect, RequestClass, Settings, Tenant

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]


class SettingsGroup(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A group of settings; unknown names are refused."""


class Address(SettingsGroup, frozen=True, kw_only=True):
    host: Name = "127.0.0.1"
    port: Port = 0


class EndpointListSettings(SettingsGroup, frozen=True, kw_only=True):
    host: Name = "127.0.0.1"
    port: Annotated[int, Meta(ge=1, le=65535)]
    kept: str | None = None  # file that the last list is kept in
    quiet_ms: Positive = 3000  # without a line for so long the stream is taken to be dead
    retry_ms: Positive = 100  # first wait before it is asked again; doubled up to twenty times that


class RequestClassSettings(SettingsGroup, frozen=True, kw_only=True):
    name: Name
    soft_limit_ms: Positive
    hard_limit_ms: Positive
    effect: Literal["idempotent", "deduplicated", "unrepeatable"]
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: NotNegative = 0
    value: NotNegative = msgspec.field(default=1, name="revenue")
    late_value: Share = msgspec.field(default=0, name="late_revenue")


class TenantSettings(SettingsGroup, frozen=True, kw_only=True):
    name: Name
    quota_per_s: Positive
    weight: Positive = 1  # of its work at the door, where tasks wait


class QueueSettings(SettingsGroup, frozen=True, kw_only=True):
    """What may wait at the door while the module has no room; none: nothing waits there."""

    waiting: Count = 2000
    bytes: Count = 67_108_864
    secret: Annotated[str, Meta(min_length=16, max_length=200)] | None = None  # the same at all doors: an
    # appointment that one of them gave is kept by the others


class AttemptSettings(SettingsGroup, frozen=True, kw_only=True):
    attempt_limit: Annotated[int, Meta(ge=1, le=16)] = msgspec.field(default=3, name="hand_offs")
    may_hedge: bool = msgspec.field(default=False, name="twice_out")
    may_cancel: bool = msgspec.field(default=True, name="call_off")
    retry_after_limit_ms: NotNegative = msgspec.field(default=500, name="turn_back_wait_ms")


class HealthCheckSettings(SettingsGroup, frozen=True, kw_only=True):
    every_ms: Positive = 1000


class LoadBudgetSettings(SettingsGroup, frozen=True, kw_only=True):
    window_ms: Positive
    free: NotNegative
    share: NotNegative


class FunctionSettings(SettingsGroup, frozen=True, kw_only=True):
    may_request_loads: bool = msgspec.field(default=True, name="orders")
    tells_warm: bool = True
    loads_on_miss: bool = True
    keep_ms: Positive = 10_000
    load_timeout_ms: Positive = msgspec.field(default=10_000, name="order_limit_ms")
    load_budget: LoadBudgetSettings | None = msgspec.field(default=None, name="ration")
    memory_price: NotNegative = 0
    load_price: NotNegative = msgspec.field(default=0, name="fetch_price")


class SlowStartSettings(SettingsGroup, frozen=True, kw_only=True):
    share: Annotated[float, Meta(gt=0, le=1)] = 0.2
    time_ms: Positive = 15_000
    fall_multiple: Positive = 2.5
    fall_ms: Positive = 2000
    drain_grace_ms: NotNegative = 250


class LimitSettings(SettingsGroup, frozen=True, kw_only=True):
    open_requests: Count = msgspec.field(
        default=4000, name="open_tasks"
    )  # beyond: 503, and nothing was begun
    connections: Count = 4096  # of clients; beyond: 503 and closed
    pipelined: Count = 32
    worker_connections: Count = msgspec.field(
        default=256, name="runner_connections"
    )  # to one runner; beyond: the hand-off is not sent
    head_bytes: Count = 16_384
    body_bytes: Count = 1_048_576
    pending_bytes: Count = msgspec.field(
        default=268_435_456, name="held_bytes"
    )  # of all bodies held; beyond: 503
    known_functions: Count = msgspec.field(
        default=100_000, name="known_models"
    )  # beyond: 503 for a model never seen
    idle_ms: Positive = 60_000
    slow_ms: Positive = 10_000
    connect_ms: Positive = 250
    drain_ms: Positive = 30_000  # SIGTERM: the longest that held tasks are waited for


class LogSettings(SettingsGroup, frozen=True, kw_only=True):
    level: Literal["debug", "info", "warning", "error"] = "info"
    decisions: bool = False  # a line a decision


class CaptureSettings(SettingsGroup, frozen=True, kw_only=True):
    """Where and how what the dispatcher was told and decided is kept."""

    folder: Name
    segment_bytes: Count = 16_777_216
    segment_s: Positive = 600
    total_bytes: Count = 1_073_741_824  # of this edge's; the oldest segments go first
    queue: Count = 100_000  # events that may wait for the disk; beyond, a gap stands in their place
    flush_ms: Positive = 50
    sync: Literal["never", "segment", "flush"] = "segment"


class DurableStateSettings(SettingsGroup, frozen=True, kw_only=True):
    """Where what the dispatcher knows is kept over its lives, in a folder of its name."""

    folder: Name
    deployment: Name = "martenlead"  # what another one kept is not read
    every_ms: Positive = 1000
    bytes: Count = 64_000_000


class PlannerLinkSettings(SettingsGroup, frozen=True, kw_only=True):
    """Who decides on copies in this edge's place. The first of `at` that answers does, until it fails."""

    at: Annotated[list[Address], Meta(min_length=1)]
    lease_ms: Positive = 1500  # without a beat for so long a planner has lost its word
    alone_ms: NotNegative = 5000  # without a planner for so long the edge plans itself
    flush_ms: Positive = 5
    outbox_bytes: Count = 8_388_608  # told and not yet acknowledged; beyond, all is told anew
    snapshot_ms: Positive = 500  # the least time between two of all that is known
    snapshot_functions: Count = msgspec.field(
        default=2000, name="snapshot_models"
    )  # in it; writing them holds up the edge's event loop
    retry_ms: Positive = 100
    speaks: Annotated[int, Meta(ge=1, le=2)] = 2  # the latest version of the link that is spoken


class EdgeSettings(SettingsGroup, frozen=True, kw_only=True):
    """The settings of one edge process, which is one dispatcher."""

    name: Name = "edge"
    listen: Address = Address()
    admin: Address | None = None  # GET /metrics, GET /state
    endpoint_list: EndpointListSettings = msgspec.field(name="roster")
    dispatchers: Count = 1
    number: Annotated[int, Meta(ge=0)] = 0
    seed: int | None = None
    margin_ms: NotNegative = 10  # the way from a client and back, taken off the time that it says is left
    tick_ms: Annotated[float, Meta(ge=0.5, le=100)] = 5  # the least; grows with what the event loop achieves
    request_classes: Annotated[list[RequestClassSettings], Meta(min_length=1)] = msgspec.field(
        name="offerings"
    )
    tenants: list[TenantSettings] = msgspec.field(default_factory=list, name="customers")
    over_share: Share = 1  # revenue of a task over its customer's share, as a part
    allowed: AttemptSettings = AttemptSettings()
    probes: HealthCheckSettings | None = None
    functions: FunctionSettings = msgspec.field(default_factory=FunctionSettings, name="models")
    cold: SlowStartSettings = SlowStartSettings()
    limits: LimitSettings = LimitSettings()
    log: LogSettings = LogSettings()
    capture: CaptureSettings | None = None
    queues: QueueSettings | None = None
    durable_state: DurableStateSettings | None = msgspec.field(
        default=None, name="lasting"
    )  # none: each life begins from nothing
    planner: PlannerLinkSettings | None = None  # none: this process decides on copies too
    uvloop: bool = True


def read_edge_settings(path: Path) -> EdgeSettings:
    """The edge's settings from a Jsonnet file. Raises `BadConfig`."""
    return check_edge_settings(decode(evaluate(path), EdgeSettings, str(path)), str(path))


def check_edge_settings(edge: EdgeSettings, source: str) -> EdgeSettings:
    """What a schema cannot say. Raises `BadConfig`."""
    lists = {"offerings": [o.name for o in edge.request_classes], "customers": [c.name for c in edge.tenants]}
    for kind, names in lists.items():
        for at, name in enumerate(names):
            if name in names[:at]:
                raise ConfigError(f"{source}: $.{kind}[{at}].name: {name!r} stands there twice")
    for at, offering in enumerate(edge.request_classes):
        where = f"{source}: $.offerings[{at}]"
        if offering.hard_limit_ms < offering.soft_limit_ms:
            raise ConfigError(f"{where}.hard_limit_ms: at least soft_limit_ms was expected")
        if offering.effect == "deduplicated" and not offering.window_ms:
            raise ConfigError(
                f"{where}.window_ms: a deduplicated offering needs the time that repeats are dropped for"
            )
    return edge


def ms_to_ns(ms: float) -> int:
    return round(ms * 1e6)


def build_policy_settings(edge: EdgeSettings) -> tuple[Settings, dict[str, RequestClass], dict[str, Tenant]]:
    """The module's settings, and the objects that offerings' and customers' names stand for."""
    offerings = {
        o.name: RequestClass(
            ms_to_ns(o.soft_limit_ms), Effect(o.effect), DeduplicationScope(o.group), ms_to_ns(o.window_ms)
        )
        for o in edge.request_classes
    }
    customers = {c.name: Tenant(c.quota_per_s) for c in edge.tenants}
    allowed, models, cold = edge.allowed, edge.functions, edge.cold
    ration = models.load_budget
    return (
        Settings(
            dispatchers=edge.dispatchers,
            tick_ns=ms_to_ns(edge.tick_ms),
            attempt_limit=allowed.attempt_limit,
            may_hedge=allowed.may_hedge,
            may_cancel=allowed.may_cancel,
            may_request_loads=models.may_request_loads,
            tells_warmth=models.tells_warm,
            loads_on_miss=models.loads_on_miss,
            retry_after_limit_ns=ms_to_ns(allowed.retry_after_limit_ms),
            keep_alive_ns=ms_to_ns(models.keep_ms),
            connect_timeout_ns=ms_to_ns(edge.limits.connect_ms),
            load_window_ns=ms_to_ns(ration.window_ms) if ration else 0,
            free_loads_per_window=ration.free if ration else 0,
            loads_per_request=ration.share if ration else 0,
            slow_start_share=cold.share,
            slow_start_ns=ms_to_ns(cold.time_ms),
            slow_start_multiple=cold.fall_multiple,
            over_share=edge.over_share,
            rate_limit_per_second=sum(c.rate_limit_per_second for c in customers.values()) or math.inf,
            memory_price=models.memory_price,
            late_value=min(o.late_value for o in edge.request_classes),
            load_price=models.load_price,
            lists_workers=False,
            list_interval_ns=ms_to_ns(10_000),
            request_classes=list(offerings.values()),
        ),
        offerings,
        customers,
    )
