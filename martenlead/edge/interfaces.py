"""The protocols between a dispatcher and what speaks with workers and with discovery.

Each wire protocol has its own implementation of both. The type parameter is the dispatcher, so that
this module needs no import of it.
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
    """How many connections to one worker are open, and how many were opened in all."""

    @property
    def open_connections(self) -> int:
        """Connections that are open now."""

    @property
    def connections_opened(self) -> int:
        """Connections that were opened since the worker is known."""


class ConnectionFactory(Protocol):
    """Makes the connections to workers and gives them up: the part that membership needs."""

    def create_connections(self, endpoint: Endpoint) -> OpaqueContent:
        """The connections to a worker at this address, a `ConnectionStats`; none is opened yet."""

    def retire_connections(self, connections: OpaqueContent) -> None:
        """Sends nothing new over them; what is in flight ends as it would."""


class LoadRequestSender(Protocol):
    """Sends load requests. Load requests and confirmations need this part of a link."""

    def send_load_request(
        self,
        worker: UpstreamWorker,
        function: FunctionEntry,
        replicas: int,
        on_outcome: Callable[[UpstreamOutcome], None],
    ) -> None:
        """Asks a worker to have so many replicas loaded; with 0 it only tells how many it has.

        `on_outcome` is called once, possibly from within this call.
        """


class UpstreamLink(ConnectionFactory, LoadRequestSender, Protocol[DispatcherT_contra]):
    """Carries attempts and load requests to workers.

    Each has exactly one end, reported by `Dispatcher.attempt_ended` or by the callback of the load
    request. An end may be reported at any time, also from within these calls.
    """

    def attach(self, dispatcher: DispatcherT_contra) -> None:
        """Sets the dispatcher that ends are reported to; called before all else."""

    async def run(self) -> None:
        """Serves until it is cancelled."""

    def send_attempt(self, attempt: InFlightAttempt) -> None:
        """Sends an attempt to its worker."""

    def cancel_attempt(self, attempt: InFlightAttempt) -> None:
        """Cancels an attempt. It still has its one end, possibly a response that was on its way."""

    def end_overdue_attempts(self) -> None:
        """Reports the ends of attempts whose time is over, as far as timers are late to do it."""

    def has_sent(self, attempt: InFlightAttempt) -> bool:
        """Whether a byte of an attempt in flight may have left."""


class MembershipSource(Protocol[DispatcherT_contra]):
    """Where membership snapshots and deltas come from."""

    endpoint_list: EndpointList

    async def run(self, dispatcher: DispatcherT_contra) -> None:
        """Calls `Dispatcher.update_endpoints` until it is cancelled."""
