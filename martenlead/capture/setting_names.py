"""The names under which captures store the policy's settings.

`replay --set` accepts the same names.
"""

from __future__ import annotations

from dataclasses import fields

from martenlead.policy.types import Settings

# field of `Settings` -> stored name; other fields are stored under their own names
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
# stored name -> field of `Settings`
SETTING_FIELDS = {SETTING_NAMES.get(f.name, f.name): f.name for f in fields(Settings)}
