"""What a dispatcher asks of a client's connection: whether the client has left."""

from __future__ import annotations

from enum import Enum
from typing import Protocol, TypeVar

RequestT_contra = TypeVar("RequestT_contra", contravariant=True)


class UnreadInput(Enum):
    """What the kernel has received on a connection and the event loop has not read yet."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"


class CancellationSource(Protocol[RequestT_contra]):
    """A client's connection, by which its requests may be cancelled.

    A busy event loop reads the connection late, and a client that has closed it or cancelled its
    request must get no further attempt. So each attempt asks the connection before it is sent. The
    type parameter is the dispatcher's record of a request.
    """

    def peek_input(self) -> UnreadInput:
        """Asks the kernel what waits to be read, without reading it."""

    def read_unread_input(self) -> bool:
        """Reads and processes what waits now, up to a bound.

        Returns whether nothing waits any more, also because the connection has ended. Must not be
        called in the middle of a decision or of a read.
        """

    def handle_disconnect(self, request: RequestT_contra) -> None:
        """Ends this request and all others of the connection, which has ended.

        May be called at any time.
        """
