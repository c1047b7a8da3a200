"""The configurable bounds of admission control."""

from __future__ import annotations

from dataclasses import dataclass, field

DEFAULT_TENANT_WEIGHT = 1.0


@dataclass(slots=True, frozen=True)
class AdmissionLimits:
    """Limits of the queues and weights of the tenants; the admin API uses these field names."""

    waiting: int = 2000  # Number of waiting requests
    bytes: int = 64 * 1024 * 1024  # Total size of waiting requests
    weights: dict[str, float] = field(default_factory=dict)  # Weights by tenant

    def weight_of(self, tenant: str) -> float:
        """The weight of a tenant, whether or not the settings name it."""
        return self.weights.get(tenant, DEFAULT_TENANT_WEIGHT)

    def allow(self, waiting_requests: int, waiting_bytes: int) -> bool:
        """Whether so many requests and bytes may wait."""
        return waiting_requests <= self.waiting and waiting_bytes <= self.bytes
