"""What the dispatcher asks of a link to workers and of a source of membership; each protocol has its own."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from martenlead.edge.records import FunctionEntry, InFlightAttempt, UpstreamWorker
from martenlead.upstream.endpoints import Endpoint, EndpointList
from martenlead.upstream.outcome import UpstreamOutcome

if TYPE_CHECKING:
    from martenlead.edge.dispatcher import Dispatcher


class ConnectionStats(Protocol):
    """Connections that a link has open to one worker, and has opened in all."""

    @property
    def open_connections(self) -> int: ...
    @property
    def connections_opened(self) -> int: ...


class UpstreamLink(Protocol):
    """Carries attempts and load requests to workers. Each has exactly one end: of an attempt by
    `Dispatcher.ended`, of a load request by the callback given with it. Ends may be told at any time, from
    within these calls too."""

    def attach(self, dispatcher: Dispatcher) -> None:
        """Before all else: who is told."""

    async def run(self) -> None:
        """Until cancelled."""

    def create_connections(self, line: Endpoint) -> Any:
        """To a runner at this address; nothing is opened yet. A `Way`."""

    def retire_connections(self, way: Any) -> None:
        """Nothing new will be sent there; what is open ends as it would."""

    def send_attempt(self, out: InFlightAttempt) -> None: ...

    def cancel_attempt(self, out: InFlightAttempt) -> None:
        """It still has its one end, be it an answer that was on its way."""

    def send_load_request(
        self, box: UpstreamWorker, known: FunctionEntry, copies: int, told: Callable[[UpstreamOutcome], None]
    ) -> None: ...


class MembershipSource(Protocol):
    """Where membership snapshots and deltas come from."""

    endpoint_list: EndpointList

    async def run(self, dispatcher: Dispatcher) -> None:
        """Tells `Dispatcher.news` until cancelled."""
