"""What the dispatcher asks of a link to workers and of a source of membership; each protocol has its own."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from martenlead.edge.records import Box, Known, Out
from martenlead.runnerlink.heard import Heard
from martenlead.runnerlink.roster import Line, List

if TYPE_CHECKING:
    from martenlead.edge.dispatcher import Dispatcher


class Way(Protocol):
    """Connections that a link has open to one worker, and has opened in all."""

    @property
    def open(self) -> int: ...
    @property
    def opened(self) -> int: ...


class Link(Protocol):
    """Carries attempts and load requests to workers. Each has exactly one end: of an attempt by
    `Dispatcher.ended`, of a load request by the callback given with it. Ends may be told at any time, from
    within these calls too."""

    def use(self, dispatcher: Dispatcher) -> None:
        """Before all else: who is told."""

    async def run(self) -> None:
        """Until cancelled."""

    def way(self, line: Line) -> Any:
        """To a runner at this address; nothing is opened yet. A `Way`."""

    def leave(self, way: Any) -> None:
        """Nothing new will be sent there; what is open ends as it would."""

    def hand_off(self, out: Out) -> None: ...

    def call_off(self, out: Out) -> None:
        """It still has its one end, be it an answer that was on its way."""

    def order(self, box: Box, known: Known, copies: int, told: Callable[[Heard], None]) -> None: ...


class Source(Protocol):
    """Where membership snapshots and deltas come from."""

    list: List

    async def run(self, dispatcher: Dispatcher) -> None:
        """Tells `Dispatcher.news` until cancelled."""
