"""Tenants' shares: which requests count as over the rate limit of their tenant.

See docs/design.md, "Rate limits and retries of clients". Rates are requests per second.
"""

from __future__ import annotations

from martenlead.policy.latency import SECOND
from martenlead.policy.state import State
from martenlead.policy.types import Tenant


class TenantShares:
    """Tracks the request rates of the tenants at this dispatcher."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.requests_in_period: dict[Tenant, int] = {}
        self.requests_per_second: dict[Tenant, float] = {}

    def record_request(self, tenant: Tenant) -> None:
        """Counts a request in this period."""
        self.requests_in_period[tenant] = self.requests_in_period.get(tenant, 0) + 1

    def end_period(self, period_ns: int) -> None:
        """Updates the rates by the requests of the period."""
        for tenant, requests in self.requests_in_period.items():
            before = self.requests_per_second.get(tenant, 0.0)
            self.requests_per_second[tenant] = (before + requests * SECOND / period_ns) / 2
            self.requests_in_period[tenant] = 0

    def is_over(self, tenant: Tenant | None) -> bool:
        """Whether a request counts as over its tenant's share.

        Chosen at random, for the part of the tenant's requests that exceeds its rate limit.
        """
        if tenant is None or self.state.settings.over_share >= 1:
            return False
        peers = self.state.traffic.equivalent_dispatchers
        per_second = self.requests_per_second.get(tenant, 0.0) * peers
        return per_second > 0 and self.state.random() > tenant.rate_limit_per_second / per_second
