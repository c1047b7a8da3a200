"""What may be asked of the connection that a request came over, between two turns of the event loop."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from martenlead.edge.records import PendingRequest


class UnreadInput(Enum):
    """What the machine has received on a connection and the event loop has not read yet."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"


class CancellationSource(Protocol):
    """A client's connection. A busy event loop reads it late, and a client that has closed or cancelled must
    get no further attempt: so each attempt asks it before its line leaves."""

    def peek_input(self) -> UnreadInput: ...

    def read_unread_input(self) -> bool:
        """Processes what is pending now, up to a bound; whether nothing is pending any more, be it because it
        has ended. Not to be called in the middle of a decision or of a read."""

    def handle_disconnect(self, held: PendingRequest) -> None:
        """Ends this request and all others of the connection: it has ended. May be called at any time."""
