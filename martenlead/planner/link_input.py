"""The bytes that a planner has received on one link, counted among those of all its links."""

from __future__ import annotations

from time import monotonic_ns

import anyio
from anyio.abc import SocketAttribute, SocketStream

from martenlead.planner import frames as fr
from martenlead.planner.link import LinkProtocolError
from martenlead.system.input_memory import InputMemory

HELLO_PAYLOAD_BYTES = 4096
# all links together: two frames of the largest size
INPUT_BYTES_LIMIT = 2 * fr.MAX_PAYLOAD_BYTES


class LinkInput:
    """Reads the messages of one link; `InputMemory` may refuse its incomplete frame."""

    def __init__(self, stream: SocketStream, memory: InputMemory) -> None:
        self._stream, self._memory = stream, memory
        self._reader = fr.FrameReader(first_payload_bytes=HELLO_PAYLOAD_BYTES)
        self._counted_bytes = 0
        self._scope = anyio.CancelScope()
        self._is_refused = False
        self._is_first = True  # no message has come
        self.partial_since_ns = 0
        address = stream.extra(SocketAttribute.remote_address, "")
        self.peer_address = ":".join(str(part) for part in address)

    @property
    def refusable_bytes(self) -> int:
        """The bytes of an incomplete frame."""
        return self._counted_bytes

    def refuse_input(self) -> None:
        """Drops an incomplete frame and ends the link."""
        self._is_refused = True
        self.release()
        self._scope.cancel()

    def release(self) -> None:
        """Drops what is kept."""
        self._reader = fr.FrameReader()
        self._count(begins_anew=True)

    async def receive(self) -> list[fr.AnyMessage]:
        """Returns the messages that are completed by the next bytes, if any.

        Raises:
            FrameError: the stream is invalid.
            LinkProtocolError: a second Hello came, or all links keep too much.
            anyio.EndOfStream: the peer has closed the connection; also other errors of streams.
        """
        messages: list[fr.AnyMessage] = []
        if not self._is_refused:
            with anyio.CancelScope() as self._scope:
                messages = self._reader.feed(await self._stream.receive())
                self._count(begins_anew=bool(messages))
        if self._is_refused:
            error = "frames that are incomplete take too much memory"
            raise LinkProtocolError(error)
        further = messages[1:] if self._is_first else messages
        if any(isinstance(message, fr.Hello) for message in further):
            error = "a Hello was expected first, and no further one"
            raise LinkProtocolError(error)
        self._is_first = self._is_first and not messages
        return messages

    def _count(self, begins_anew: bool) -> None:
        """Records how much is kept; the memory may call `refuse_input` then."""
        kept_bytes = self._reader.unread_bytes
        if begins_anew or not self._counted_bytes:
            self.partial_since_ns = monotonic_ns()
        difference_bytes = kept_bytes - self._counted_bytes
        self._counted_bytes = kept_bytes
        self._memory.change(difference_bytes)
