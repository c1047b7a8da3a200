"""Reads the settings that an instance is handed into the module's types."""

from __future__ import annotations

import math
from typing import Any

from martenlead.interface import Customer, Effect, Group, Offering, Settings


def ns(seconds: float) -> int:
    return round(seconds * 1e9)


class Profile:
    """The decoded settings, with the objects that their names stand for."""

    def __init__(self, told: dict[str, Any]) -> None:
        allowed, rules = told["allowed"], told["rules"]
        family = told.get("family-info", {})
        effects = {
            "read_like": Effect.IDEMPOTENT,
            "idempotency_key": Effect.DEDUPLICATED,
            "non_idempotent": Effect.UNREPEATABLE,
        }
        self.offerings = {
            c["name"]: Offering(
                soft_limit=ns(c["on-time"]),
                effect=effects[c["effect"]],
                group=Group(c.get("group") or "all"),
                window=ns(c.get("dedup-window") or 0),
            )
            for c in told["classes"]
        }
        self.customers = {o["name"]: Customer(o["quota-per-s"]) for o in told.get("orgs", [])}
        memory = family.get("kind-memory-mb") or []
        self.memory = dict(zip(told.get("skus", []), memory, strict=False))
        self.silent_weights = told.get("weights", "silent") == "silent"
        self.settings = Settings(
            front_ends=told["balancers"],
            tick=ns(told["granularity"]),
            hand_offs=allowed["attempts-cap"],
            twice_out=allowed.get("may-duplicate", False),
            call_off=allowed.get("cancel", False),
            orders=family.get("placement-calls", False),
            tells_warm=family.get("tells-warm", False),
            loads_on_miss=family.get("if-cold", "load") == "load",
            turn_back_wait=ns(allowed.get("max-retry-after", 0)) if allowed.get("retry-after") else 0,
            keep=ns(family.get("linger-idle", 0)),
            ration_window=ns(family.get("load-period", 0)),
            ration_free=family.get("loads-anyway", 0),
            ration_share=family.get("loads-per-request", 0),
            cold_from=rules["cold-from"],
            cold=ns(rules["cold"]),
            fall_multiple=rules["fall-multiple"],
            quota=sum(c.quota for c in self.customers.values()) or math.inf,
            over_share=told.get("over-share-worth", 1.0),
            memory_price=family.get("memory-price", 0.0),
            late_revenue=min((c.get("late-value", 0.0) for c in told["classes"]), default=0.0),
            fetch_price=told.get("prices", {}).get("origin", 0.0),
            asks_roster=told.get("registry-mode") == "on_request",
            roster_every=ns(rules.get("ask-every") or 10),
            offerings=list(self.offerings.values()),
        )
