"""Reads and checks the edge's settings, and converts them into those of the policy."""

from __future__ import annotations

import math
from pathlib import Path
from typing import NamedTuple

from martenlead.config.load import ConfigError, decode, evaluate
from martenlead.config.schema import (
    Address,
    DurableStateSettings,
    EdgeSettings,
    PlannerLinkSettings,
    RequestClassSettings,
)
from martenlead.policy.types import DeduplicationScope, Effect, RequestClass, Settings, Tenant

__all__ = [  # re-exports the groups of settings that other programs read
    "Address",
    "DurableStateSettings",
    "EdgeSettings",
    "PlannerLinkSettings",
    "PolicyConfiguration",
    "build_policy_settings",
    "check_edge_settings",
    "ms_to_ns",
    "read_edge_settings",
]

NS_PER_MS = 1e6
LIST_INTERVAL_MS = 10_000


class PolicyConfiguration(NamedTuple):
    """The configuration of the policy."""

    settings: Settings
    request_classes: dict[str, RequestClass]  # keyed by name
    tenants: dict[str, Tenant]  # keyed by name


def read_edge_settings(path: Path) -> EdgeSettings:
    """Reads the edge's settings from a Jsonnet file. Raises `ConfigError`."""
    return check_edge_settings(decode(evaluate(path), EdgeSettings, str(path)), str(path))


def check_edge_settings(edge: EdgeSettings, source: str) -> EdgeSettings:
    """Checks what a schema cannot express. Raises `ConfigError`; `source` is the file it names."""
    _check_unique([one.name for one in edge.request_classes], f"{source}: $.offerings")
    _check_unique([one.name for one in edge.tenants], f"{source}: $.customers")
    for index, request_class in enumerate(edge.request_classes):
        _check_request_class(request_class, f"{source}: $.offerings[{index}]")
    return edge


def _check_unique(names: list[str], where: str) -> None:
    for index, name in enumerate(names):
        if name in names[:index]:
            message = f"{where}[{index}].name: {name!r} is used twice"
            raise ConfigError(message)


def _check_request_class(request_class: RequestClassSettings, where: str) -> None:
    if request_class.hard_limit_ms < request_class.soft_limit_ms:
        message = f"{where}.hard_limit_ms: at least soft_limit_ms was expected"
        raise ConfigError(message)
    if request_class.effect == "deduplicated" and not request_class.window_ms:
        needed = "a deduplicated offering needs a time for which repeats are dropped"
        message = f"{where}.window_ms: {needed}"
        raise ConfigError(message)


def ms_to_ns(ms: float) -> int:
    """Converts milliseconds to whole nanoseconds."""
    return round(ms * NS_PER_MS)


def build_policy_settings(edge: EdgeSettings) -> PolicyConfiguration:
    """Builds the policy's settings, and its objects for request classes and tenants."""
    request_classes = {one.name: _build_request_class(one) for one in edge.request_classes}
    tenants = {one.name: Tenant(one.quota_per_s) for one in edge.tenants}
    allowed, functions, slow_start = edge.allowed, edge.functions, edge.cold
    budget = functions.load_budget
    settings = Settings(
        dispatchers=edge.dispatchers,
        tick_ns=ms_to_ns(edge.tick_ms),
        attempt_limit=allowed.attempt_limit,
        may_hedge=allowed.may_hedge,
        may_cancel=allowed.may_cancel,
        may_request_loads=functions.may_request_loads,
        tells_warmth=functions.tells_warm,
        loads_on_miss=functions.loads_on_miss,
        retry_after_limit_ns=ms_to_ns(allowed.retry_after_limit_ms),
        keep_alive_ns=ms_to_ns(functions.keep_ms),
        connect_timeout_ns=ms_to_ns(edge.limits.connect_ms),
        load_window_ns=ms_to_ns(budget.window_ms) if budget else 0,
        free_loads_per_window=budget.free if budget else 0,
        loads_per_request=budget.share if budget else 0,
        slow_start_share=slow_start.share,
        slow_start_ns=ms_to_ns(slow_start.time_ms),
        slow_start_multiple=slow_start.fall_multiple,
        over_share=edge.over_share,
        rate_limit_per_second=sum(t.rate_limit_per_second for t in tenants.values()) or math.inf,
        memory_price=functions.memory_price,
        late_value=min(one.late_value for one in edge.request_classes),
        load_price=functions.load_price,
        lists_workers=False,
        list_interval_ns=ms_to_ns(LIST_INTERVAL_MS),
        request_classes=list(request_classes.values()),
    )
    return PolicyConfiguration(settings, request_classes, tenants)


def _build_request_class(one: RequestClassSettings) -> RequestClass:
    return RequestClass(
        ms_to_ns(one.soft_limit_ms),
        Effect(one.effect),
        DeduplicationScope(one.group),
        ms_to_ns(one.window_ms),
    )
