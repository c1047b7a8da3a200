"""The response to one request, and what a peer sent behind it, without I/O.

Bytes behind a response may be the rest of its body, if its Content-Length is too small (RFC 9112,
section 6.3). A response counts only if nothing came behind it, or nothing but further responses.
"""

from __future__ import annotations

from enum import Enum

from martenlead.events.http import InvalidMessageError, Message, Reader

NEWLINES = b"\r\n"
HEAD_END_BYTES = len(b"\r\n\r\n")
MAX_READS_BEHIND = 8  # a peer may send interim responses without end


class Surplus(Enum):
    """What came behind a complete response."""

    NONE = "nothing"
    RESPONSES = "further responses, of which the last one may lack a part of its body"
    OTHER = "something else"


class ResponseAssembler:
    """Takes what is received on a connection from one request until its response is complete."""

    __slots__ = (
        "_further_responses",
        "_last",
        "_newline_run",
        "_reader",
        "_reads_behind",
        "detail",
        "message",
    )

    def __init__(self, reader: Reader) -> None:
        self.message: Message | None = None  # the response, once it is complete
        self.detail = ""  # why the bytes behind the response are no HTTP
        self._reader = reader
        self._newline_run = 0  # CR and LF bytes at the end of what was received
        self._further_responses = 0
        self._reads_behind = 0  # reads since the response was complete
        self._last: Message | None = None  # the last complete message

    @property
    def is_decided(self) -> bool:
        """Whether further bytes would change nothing, or too many have come already."""
        is_known = bool(self.detail) or self._further_responses > 0
        return is_known or self._reads_behind >= MAX_READS_BEHIND

    def feed(self, data: bytes) -> None:
        """Adds received bytes.

        Raises:
            InvalidMessageError: The bytes are not a response, and none was complete before.
        """
        self._reads_behind += self.message is not None
        try:
            completed = self._reader.feed(data)
        except InvalidMessageError as error:
            if self.message is None and not self._reader.completed:
                raise
            completed = self._reader.completed
            self.detail = error.reason.detail
        newlines = count_newlines_at_end(data)
        self._newline_run = newlines + (self._newline_run if newlines == len(data) else 0)
        for message in completed:
            self._further_responses += self.message is not None
            self.message = self.message or message
            self._last = message

    def classify_surplus(self) -> Surplus:
        """What came behind the complete response so far."""
        if self._last is None:
            return Surplus.NONE
        if self.detail or self._reader.in_head:
            return Surplus.OTHER
        if self._reader.in_message:
            return Surplus.RESPONSES
        own_newlines = HEAD_END_BYTES
        if not self._reader.ends_with_interim:
            own_newlines = _count_own_newlines(self._last)
        if self._newline_run > own_newlines:
            return Surplus.OTHER  # the parser skips empty lines behind a message
        if self._further_responses or self._reader.ends_with_interim:
            return Surplus.RESPONSES
        return Surplus.NONE


def count_newlines_at_end(data: bytes) -> int:
    """Returns the number of CR and LF bytes that `data` ends with."""
    return len(data) - len(data.rstrip(NEWLINES))


def _count_own_newlines(message: Message) -> int:
    """Returns the number of CR and LF bytes that a message ends with as it was sent."""
    if message.header(b"transfer-encoding") is not None:
        return HEAD_END_BYTES  # behind the last chunk or the trailer
    newlines = count_newlines_at_end(message.body)
    return newlines if newlines < len(message.body) else newlines + HEAD_END_BYTES
