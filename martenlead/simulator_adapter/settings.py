"""Reads the settings that an instance is handed into the module's types. What can't be used is refused as a
whole: a day played on a guess costs more than a start that says what is wrong."""

from __future__ import annotations

import math
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from martenlead.policy.types import DeduplicationScope, Effect, RequestClass, Settings, Tenant

MAX_SECONDS = 1e9  # s: in ns it still has room in 64 bits
Seconds = Annotated[float, Meta(ge=0, le=MAX_SECONDS)]
Positive = Annotated[float, Meta(gt=0, le=MAX_SECONDS)]
Number = Annotated[float, Meta(ge=0, le=1e15)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
EFFECTS = {
    "read_like": Effect.IDEMPOTENT,
    "idempotency_key": Effect.WITH_IDEMPOTENCY_KEY,
    "non_idempotent": Effect.NON_IDEMPOTENT,
}


class SettingsError(ValueError):
    """Nothing can be served with them; says why, and where."""


class SettingsPart(msgspec.Struct, rename="kebab", frozen=True):
    """What has a default may be absent or null: the feature is, then. Keys that are not known are passed
    over, as sites add some."""


class RequestClassSettings(SettingsPart, frozen=True):
    name: str
    effect: Literal["read_like", "idempotency_key", "non_idempotent"]
    on_time: Positive
    give_up: Positive | None = None  # the wire tells it with each task
    group: Literal["all", "zone", "cell", ""] | None = None
    dedup_window: Seconds | None = None
    late_value: Number | None = None


class TenantSettings(SettingsPart, frozen=True):
    name: str
    quota_per_s: Number


class DispatcherLimits(SettingsPart, frozen=True):
    attempts_cap: Count
    may_duplicate: bool | None = None
    cancel: bool | None = None
    retry_after: bool | None = None
    max_retry_after: Seconds | None = None
    streams_per_conn: Annotated[int, Meta(ge=0)] | None = None
    connect_timeout: Seconds | None = None
    conn_idle: Seconds | None = None


class SlowStartSettings(SettingsPart, frozen=True):
    cold_from: Annotated[float, Meta(ge=0, le=1)]
    cold: Seconds
    fall_multiple: Annotated[float, Meta(gt=0, le=1e6)]
    ask_every: Seconds | None = None


class FunctionSettings(SettingsPart, frozen=True):
    kind_memory_mb: list[Positive] | None = None
    placement_calls: bool | None = None
    tells_warm: bool | None = None
    if_cold: Literal["load", "miss"] | None = None
    linger_idle: Seconds | None = None
    load_period: Seconds | None = None
    loads_anyway: Number | None = None
    loads_per_request: Number | None = None
    memory_price: Number | None = None
    order_limit: Seconds | None = None


class Prices(SettingsPart, frozen=True):
    origin: Number | None = None


class SimulatorSettings(SettingsPart, frozen=True):
    allowed: DispatcherLimits
    rules: SlowStartSettings
    classes: Annotated[list[RequestClassSettings], Meta(min_length=1)]
    balancers: Count
    granularity: Seconds
    family_info: FunctionSettings | None = None
    orgs: list[TenantSettings] | None = None
    azs: list[str] | None = None
    skus: list[str] | None = None
    weights: Literal["silent", "nominal", "rough", "live"] | None = None
    over_share_worth: Number | None = None
    prices: Prices | None = None
    registry_mode: Literal["pushed", "on_request"] | None = None


def seconds_to_ns(seconds: float) -> int:
    return round(seconds * 1e9)


class Profile:
    """The decoded settings, with the objects that their names stand for."""

    def __init__(self, told: Any) -> None:
        """Raises BadSettings."""
        try:
            self.decoded = read = msgspec.convert(told, SimulatorSettings)
        except (msgspec.ValidationError, RecursionError) as error:
            raise SettingsError(str(error)) from None
        allowed, rules = read.allowed, read.rules
        family = read.family_info or FunctionSettings()
        memory, self.machine_kinds = family.kind_memory_mb or [], read.skus or []
        if memory and len(memory) != len(self.machine_kinds):
            raise SettingsError(
                f"{len(self.machine_kinds)} kinds of machine, and the memory of {len(memory)}"
            )
        self.request_classes = {
            c.name: RequestClass(
                latency_objective_ns=seconds_to_ns(c.on_time),
                effect=EFFECTS[c.effect],
                deduplication_scope=DeduplicationScope(c.group or "all"),
                idempotency_window_ns=seconds_to_ns(c.dedup_window or 0),
            )
            for c in read.classes
        }
        self.deadlines_ns = {c.name: seconds_to_ns(c.give_up) for c in read.classes if c.give_up}
        self.load_timeout_seconds = family.order_limit
        self.tenants = {o.name: Tenant(o.quota_per_s) for o in read.orgs or []}
        self.memory_mb_by_kind = dict(zip(self.machine_kinds, memory, strict=False))
        self.has_silent_weights = (read.weights or "silent") == "silent"
        self.settings = Settings(
            dispatchers=read.balancers,
            tick_ns=seconds_to_ns(read.granularity),
            attempt_limit=allowed.attempts_cap,
            may_hedge=bool(allowed.may_duplicate),
            may_cancel=bool(allowed.cancel),
            may_request_loads=bool(family.placement_calls),
            tells_warmth=bool(family.tells_warm),
            loads_on_miss=(family.if_cold or "load") == "load",
            retry_after_limit_ns=seconds_to_ns(allowed.max_retry_after or 0) if allowed.retry_after else 0,
            keep_alive_ns=seconds_to_ns(family.linger_idle or 0),
            connect_timeout_ns=seconds_to_ns(allowed.connect_timeout or 0),
            load_window_ns=seconds_to_ns(family.load_period or 0),
            free_loads_per_window=family.loads_anyway or 0,
            loads_per_request=family.loads_per_request or 0,
            slow_start_share=rules.cold_from,
            slow_start_ns=seconds_to_ns(rules.cold),
            slow_start_multiple=rules.fall_multiple,
            rate_limit_per_second=sum(c.rate_limit_per_second for c in self.tenants.values()) or math.inf,
            over_share=1.0 if read.over_share_worth is None else read.over_share_worth,
            memory_price=family.memory_price or 0.0,
            late_value=min(c.late_value or 0.0 for c in read.classes),
            load_price=(read.prices or Prices()).origin or 0.0,
            lists_workers=read.registry_mode == "on_request",
            list_interval_ns=seconds_to_ns(rules.ask_every or 10),
            request_classes=list(self.request_classes.values()),
        )
