"""The settings that the simulator gives to an instance, converted to the policy's types.

Unusable settings are rejected as a whole: a run with guessed settings costs more than a start that
fails with the reason.
"""

from __future__ import annotations

import math
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from martenlead.policy.types import DeduplicationScope, Effect, RequestClass, Settings, Tenant

NS_PER_SECOND = 1e9
MAX_SECONDS = 1e9  # fits in 64 bits as ns
MAX_NUMBER = 1e15
MAX_COUNT = 1_000_000
MAX_SLOW_START_MULTIPLE = 1e6
Seconds = Annotated[float, Meta(ge=0, le=MAX_SECONDS)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=MAX_SECONDS)]
Number = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
PositiveNumber = Annotated[float, Meta(gt=0, le=MAX_SECONDS)]
Count = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
Share = Annotated[float, Meta(ge=0, le=1)]
EFFECTS = {
    "read_like": Effect.IDEMPOTENT,
    "idempotency_key": Effect.WITH_IDEMPOTENCY_KEY,
    "non_idempotent": Effect.NON_IDEMPOTENT,
}
DEFAULT_LIST_INTERVAL_SECONDS = 10


class SettingsError(ValueError):
    """The settings are unusable; the message says where and why."""


class SettingsPart(msgspec.Struct, rename="kebab", frozen=True):
    """A part of the settings, with the keys of the wire format.

    Fields with a default may be absent or null; their feature is absent then. Unknown keys are
    ignored, since sites add keys of their own.
    """


class RequestClassSettings(SettingsPart, frozen=True):
    """One request class."""

    name: str
    effect: Literal["read_like", "idempotency_key", "non_idempotent"]
    latency_objective: PositiveSeconds = msgspec.field(name="on-time")
    deadline: PositiveSeconds | None = msgspec.field(name="give-up", default=None)
    deduplication_scope: Literal["all", "zone", "cell", ""] | None = msgspec.field(
        name="group", default=None
    )
    idempotency_window: Seconds | None = msgspec.field(name="dedup-window", default=None)
    late_value: Number | None = None


class TenantSettings(SettingsPart, frozen=True):
    """One tenant and its rate limit."""

    name: str
    rate_limit_per_second: Number = msgspec.field(name="quota-per-s")


class DispatcherLimits(SettingsPart, frozen=True):
    """What a dispatcher is allowed to do with requests and connections."""

    attempt_limit: Count = msgspec.field(name="attempts-cap")
    may_hedge: bool | None = msgspec.field(name="may-duplicate", default=None)
    may_cancel: bool | None = msgspec.field(name="cancel", default=None)
    has_retry_after: bool | None = msgspec.field(name="retry-after", default=None)
    max_retry_after: Seconds | None = None
    streams_per_conn: Annotated[int, Meta(ge=0)] | None = None
    connect_timeout: Seconds | None = None
    conn_idle: Seconds | None = None


class SlowStartSettings(SettingsPart, frozen=True):
    """The ramp of a worker that has just started, and how often discovery is asked."""

    initial_share: Share = msgspec.field(name="cold-from")
    ramp: Seconds = msgspec.field(name="cold")
    multiple: Annotated[float, Meta(gt=0, le=MAX_SLOW_START_MULTIPLE)] = msgspec.field(
        name="fall-multiple"
    )
    list_interval: Seconds | None = msgspec.field(name="ask-every", default=None)


class FunctionSettings(SettingsPart, frozen=True):
    """How workers load functions, and what replicas cost."""

    memory_mb_of_kinds: list[PositiveNumber] | None = msgspec.field(
        name="kind-memory-mb", default=None
    )
    may_request_loads: bool | None = msgspec.field(name="placement-calls", default=None)
    tells_warmth: bool | None = msgspec.field(name="tells-warm", default=None)
    on_miss: Literal["load", "miss"] | None = msgspec.field(name="if-cold", default=None)
    keep_alive: Seconds | None = msgspec.field(name="linger-idle", default=None)
    load_window: Seconds | None = msgspec.field(name="load-period", default=None)
    free_loads_per_window: Number | None = msgspec.field(name="loads-anyway", default=None)
    loads_per_request: Number | None = None
    memory_price: Number | None = None
    load_timeout: Seconds | None = msgspec.field(name="order-limit", default=None)


class Prices(SettingsPart, frozen=True):
    """The prices of operations."""

    load: Number | None = msgspec.field(name="origin", default=None)


class SimulatorSettings(SettingsPart, frozen=True):
    """All settings of an instance."""

    allowed: DispatcherLimits
    slow_start: SlowStartSettings = msgspec.field(name="rules")
    request_classes: Annotated[list[RequestClassSettings], Meta(min_length=1)] = msgspec.field(
        name="classes"
    )
    dispatchers: Count = msgspec.field(name="balancers")
    tick: Seconds = msgspec.field(name="granularity")
    functions: FunctionSettings | None = msgspec.field(name="family-info", default=None)
    tenants: list[TenantSettings] | None = msgspec.field(name="orgs", default=None)
    azs: list[str] | None = None
    machine_kinds: list[str] | None = msgspec.field(name="skus", default=None)
    weights: Literal["silent", "nominal", "rough", "live"] | None = None
    over_share: Number | None = msgspec.field(name="over-share-worth", default=None)
    prices: Prices | None = None
    registry_mode: Literal["pushed", "on_request"] | None = None


def seconds_to_ns(seconds: float) -> int:
    """Converts seconds of the wire format to the policy's whole nanoseconds."""
    return round(seconds * NS_PER_SECOND)


class Profile:
    """The decoded settings, with the objects that their names refer to."""

    def __init__(self, settings: object) -> None:
        """Raises SettingsError. `settings` is decoded JSON."""
        try:
            self.decoded = decoded = msgspec.convert(settings, SimulatorSettings)
        except (msgspec.ValidationError, RecursionError) as error:
            raise SettingsError(str(error)) from None
        functions = decoded.functions or FunctionSettings()
        self.machine_kinds = decoded.machine_kinds or []
        self.memory_mb_by_kind = self._pair_kinds_and_memory(functions.memory_mb_of_kinds or [])
        self.request_classes = {c.name: _make_request_class(c) for c in decoded.request_classes}
        self.deadlines_ns = {
            c.name: seconds_to_ns(c.deadline) for c in decoded.request_classes if c.deadline
        }
        self.load_timeout_seconds = functions.load_timeout
        self.tenants = {t.name: Tenant(t.rate_limit_per_second) for t in decoded.tenants or []}
        self.has_silent_weights = (decoded.weights or "silent") == "silent"
        self.settings = self._make_settings(decoded.allowed, functions, decoded.slow_start)

    def _pair_kinds_and_memory(self, memory_mb: list[float]) -> dict[str, float]:
        kinds = self.machine_kinds
        if memory_mb and len(memory_mb) != len(kinds):
            error = f"{len(kinds)} kinds of machine, and the memory of {len(memory_mb)}"
            raise SettingsError(error)
        return dict(zip(kinds, memory_mb, strict=False))

    def _make_settings(
        self, allowed: DispatcherLimits, functions: FunctionSettings, slow_start: SlowStartSettings
    ) -> Settings:
        decoded = self.decoded
        retry_after_seconds = (allowed.max_retry_after or 0) if allowed.has_retry_after else 0
        list_interval_seconds = slow_start.list_interval or DEFAULT_LIST_INTERVAL_SECONDS
        rate_limits = [tenant.rate_limit_per_second for tenant in self.tenants.values()]
        return Settings(
            dispatchers=decoded.dispatchers,
            tick_ns=seconds_to_ns(decoded.tick),
            attempt_limit=allowed.attempt_limit,
            may_hedge=bool(allowed.may_hedge),
            may_cancel=bool(allowed.may_cancel),
            may_request_loads=bool(functions.may_request_loads),
            tells_warmth=bool(functions.tells_warmth),
            loads_on_miss=(functions.on_miss or "load") == "load",
            retry_after_limit_ns=seconds_to_ns(retry_after_seconds),
            keep_alive_ns=seconds_to_ns(functions.keep_alive or 0),
            connect_timeout_ns=seconds_to_ns(allowed.connect_timeout or 0),
            load_window_ns=seconds_to_ns(functions.load_window or 0),
            free_loads_per_window=functions.free_loads_per_window or 0,
            loads_per_request=functions.loads_per_request or 0,
            slow_start_share=slow_start.initial_share,
            slow_start_ns=seconds_to_ns(slow_start.ramp),
            slow_start_multiple=slow_start.multiple,
            rate_limit_per_second=sum(rate_limits) or math.inf,
            over_share=1.0 if decoded.over_share is None else decoded.over_share,
            memory_price=functions.memory_price or 0.0,
            late_value=min(c.late_value or 0.0 for c in decoded.request_classes),
            load_price=(decoded.prices or Prices()).load or 0.0,
            lists_workers=decoded.registry_mode == "on_request",
            list_interval_ns=seconds_to_ns(list_interval_seconds),
            request_classes=list(self.request_classes.values()),
        )


def _make_request_class(settings: RequestClassSettings) -> RequestClass:
    return RequestClass(
        latency_objective_ns=seconds_to_ns(settings.latency_objective),
        effect=EFFECTS[settings.effect],
        deduplication_scope=DeduplicationScope(settings.deduplication_scope or "all"),
        idempotency_window_ns=seconds_to_ns(settings.idempotency_window or 0),
    )
