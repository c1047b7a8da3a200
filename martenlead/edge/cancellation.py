"""The interface by which a dispatcher detects that a client has disconnected."""

from __future__ import annotations

from enum import Enum
from typing import Protocol, TypeVar

RequestT_contra = TypeVar("RequestT_contra", contravariant=True)


class UnreadInput(Enum):
    """The input that the kernel has received on a connection and the event loop has not read."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"


class CancellationSource(Protocol[RequestT_contra]):
    """A client's connection, through which its requests may be cancelled.

    A busy event loop reads the connection late, and no further attempt may be sent for a client
    that has closed it or cancelled its request. So the connection is checked before each attempt is
    sent. The type parameter is the dispatcher's record of a request.
    """

    def peek_input(self) -> UnreadInput:
        """Returns what kind of input waits in the kernel, without reading it."""

    def read_unread_input(self) -> bool:
        """Reads and processes the waiting input, up to a bound.

        Returns whether no input is left, which is also true once the connection has ended. Must not
        be called during a decision of the policy or during another read.
        """

    def handle_disconnect(self, request: RequestT_contra) -> None:
        """Ends this request and all others of the connection, which is closed.

        May be called at any time.
        """
