"""The interfaces between a dispatcher, its links to workers and its membership sources.

Each wire protocol has its own implementations. The type parameter is the dispatcher, so that this
module need not import it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from martenlead.edge.records import (
    FunctionEntry,
    InFlightAttempt,
    OpaqueContent,
    UpstreamWorker,
)
from martenlead.upstream.endpoints import Endpoint, EndpointList
from martenlead.upstream.outcome import UpstreamOutcome

DispatcherT_contra = TypeVar("DispatcherT_contra", contravariant=True)


class ConnectionStats(Protocol):
    """Connection counts of one worker."""

    @property
    def open_connections(self) -> int:
        """Number of connections that are open now."""

    @property
    def connections_opened(self) -> int:
        """Number of connections opened since the worker became known."""


class ConnectionFactory(Protocol):
    """Creates and retires connections to workers: the part of a link that membership uses."""

    def create_connections(self, endpoint: Endpoint) -> OpaqueContent:
        """Creates the connections to a worker, a `ConnectionStats`, without opening one."""

    def retire_connections(self, connections: OpaqueContent) -> None:
        """Stops new use of connections; exchanges in flight complete normally."""


class LoadRequestSender(Protocol):
    """Sends load requests: the part of a link that load requests and confirmations use."""

    def send_load_request(
        self,
        worker: UpstreamWorker,
        function: FunctionEntry,
        replicas: int,
        on_outcome: Callable[[UpstreamOutcome], None],
    ) -> None:
        """Asks a worker to have `replicas` loaded; with 0 it only reports how many it has.

        `on_outcome` is called once, possibly from within this call.
        """


class UpstreamLink(ConnectionFactory, LoadRequestSender, Protocol[DispatcherT_contra]):
    """Sends attempts and load requests to workers.

    Each has exactly one end, reported by `Dispatcher.attempt_ended` or by the callback of the load
    request. An end may be reported at any time, even from within these calls.
    """

    def attach(self, dispatcher: DispatcherT_contra) -> None:
        """Sets the dispatcher that ends are reported to; called before any other method."""

    async def run(self) -> None:
        """Serves until it is cancelled."""

    def send_attempt(self, attempt: InFlightAttempt) -> None:
        """Sends an attempt to its worker."""

    def cancel_attempt(self, attempt: InFlightAttempt) -> None:
        """Cancels an attempt. Its end is still reported, possibly with a response in transit."""

    def end_overdue_attempts(self) -> None:
        """Reports the ends of attempts past their timeout that late timers have not ended yet."""

    def has_sent(self, attempt: InFlightAttempt) -> bool:
        """Whether a byte of an attempt in flight may have been sent."""


class MembershipSource(Protocol[DispatcherT_contra]):
    """A source of membership snapshots and deltas."""

    endpoint_list: EndpointList

    async def run(self, dispatcher: DispatcherT_contra) -> None:
        """Calls `Dispatcher.update_endpoints` until it is cancelled."""
