"""Tenants' shares: which requests count as beyond the rate limit of who sent them.

docs/design.md, "Rate limits and retries of clients". Rates are requests a second here.
"""

from __future__ import annotations

from martenlead.policy.latency import SECOND
from martenlead.policy.state import State
from martenlead.policy.types import Tenant


class TenantShares:
    """The tenants' rates at this dispatcher."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.requests_in_period: dict[Tenant, int] = {}
        self.requests_per_second: dict[Tenant, float] = {}

    def record_request(self, tenant: Tenant) -> None:
        """Counts a request of this period."""
        self.requests_in_period[tenant] = self.requests_in_period.get(tenant, 0) + 1

    def end_period(self, period_ns: int) -> None:
        """Takes the requests of the period into the rates."""
        for tenant, requests in self.requests_in_period.items():
            before = self.requests_per_second.get(tenant, 0.0)
            self.requests_per_second[tenant] = (before + requests * SECOND / period_ns) / 2
            self.requests_in_period[tenant] = 0

    def is_over(self, tenant: Tenant | None) -> bool:
        """Counts the part of a tenant's requests beyond its rate limit as over its share."""
        if tenant is None or self.state.settings.over_share >= 1:
            return False
        peers = self.state.traffic.equivalent_dispatchers
        per_second = self.requests_per_second.get(tenant, 0.0) * peers
        return per_second > 0 and self.state.random() > tenant.rate_limit_per_second / per_second
