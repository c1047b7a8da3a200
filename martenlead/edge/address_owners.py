"""Which worker has each address: of several at one address, the one that started last.

A worker may take the address of one that has gone before discovery reports that end. Whatever is
sent to the old one would reach the new one, as if that were as warm as the old one was.
"""

from __future__ import annotations

from martenlead.edge.records import UpstreamWorker
from martenlead.upstream.endpoints import Endpoint

Address = tuple[str, int]


class AddressOwners:
    """The known workers by their address. Times are in ns by the local clock, 0 for long ago."""

    def __init__(self) -> None:
        self._owners: dict[Address, UpstreamWorker] = {}

    def find_other(self, endpoint: Endpoint) -> UpstreamWorker | None:
        """Returns the worker at the address of an endpoint, unless it is the endpoint's own."""
        owner = self._owners.get(_address(endpoint))
        if owner is None or owner.is_gone or owner.endpoint.id == endpoint.id:
            return None
        has_moved = _address(owner.endpoint) != _address(endpoint)
        return None if has_moved else owner

    def has_later_owner(self, endpoint: Endpoint, started_ns: int) -> bool:
        """Whether a worker that started later than `started_ns` has the address of an endpoint."""
        other = self.find_other(endpoint)
        return other is not None and other.started_ns > started_ns

    def set_owner(self, worker: UpstreamWorker) -> None:
        """Records that a worker has the address of its endpoint."""
        self._owners[_address(worker.endpoint)] = worker

    def remove(self, worker: UpstreamWorker) -> None:
        """Forgets a worker that is gone."""
        address = _address(worker.endpoint)
        if self._owners.get(address) is worker:
            del self._owners[address]


def _address(endpoint: Endpoint) -> Address:
    return endpoint.host, endpoint.port
