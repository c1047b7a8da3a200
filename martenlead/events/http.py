"""Parsing and encoding of HTTP/1.1 messages (RFC 9112) without I/O.

The parser is httptools (llhttp); docs/design/edge.md compares it with h11. This module adds the
checks that the parser lacks: sizes, the version, and any framing that two parsers could interpret
differently.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, NoReturn, Protocol

import httptools

from martenlead.events.head import (
    CONTROL_BYTES,
    encode_field_lines,
    encode_request_head,
    encode_response_head,
)

Headers = list[tuple[bytes, bytes]]
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding", b"host", b"expect"})
CONTINUE = HTTPStatus.CONTINUE.value
OK = HTTPStatus.OK.value  # First status that is not interim


@dataclass(slots=True, frozen=True)
class InvalidMessage:
    """Why bytes are not a valid message; `status` is for the response to the peer."""

    status: int
    detail: str


class InvalidMessageError(Exception):
    """The bytes are not a valid message.

    Keep its `reason` and not the error itself: the error's traceback refers to the frames that hold
    the bytes, and so to whoever keeps the error there.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.reason = InvalidMessage(status, detail)


@dataclass(slots=True, frozen=True)
class MessageLimits:
    """Size limits of a message; a larger one gets 431 or 413 and ends its connection.

    `head_bytes` and `header_lines` cover the header and the trailer together. `head_bytes` also
    limits the bytes that are received without completing the head or adding to the body.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    header_lines: int = 100


class Peer(Protocol):
    """The client of a request, as seen by the connection that the request came on."""

    def has_left(self) -> bool:
        """Whether it has disconnected, even if only the kernel knows it so far."""

    def may_have_left(self) -> bool:
        """Whether so much is unread that the kernel may not know yet that it has disconnected."""

    def end(self) -> None:
        """Ends the connection and cancels its requests, in a later iteration of the event loop."""


@dataclass(slots=True)
class Message:
    """A complete request (`method`, `target`) or response (`status`).

    The server sets the `peer` of a request.
    """

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    peer: Peer | None = field(default=None, compare=False, repr=False)

    def header(self, name: bytes) -> bytes | None:
        """The value of a header by its lower-case name, or None if there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Reader:
    """Parses one direction of a connection; after an error it accepts no more bytes.

    Trailer fields count towards the limits and are dropped: RFC 9110, section 6.5.1, forbids to
    merge them into the header, and nothing here is defined as a trailer.

    It and its parser refer to each other: `close` releases both, with what was received.
    """

    def __init__(self, limits: MessageLimits, *, requests: bool) -> None:
        self.limits = limits
        self.requests = requests
        self.completed: list[Message] = []
        self.expects_continue = False  # the peer waits for `100 Continue` before it sends the body
        self.in_head = self.in_message = False
        self.ends_with_interim = False  # the last complete message was an interim response
        self._field_bytes = 0  # names and values of the header and the trailer
        self._trailer_lines = 0
        # Received since the message began, its head was complete or its body last grew
        self._bytes_without_progress = 0
        self._has_progressed = False  # during the current call of `feed`
        self._body = bytearray()
        self._message = Message()
        self._error: InvalidMessage | None = None
        parser_type = httptools.HttpRequestParser if requests else httptools.HttpResponseParser
        self._parser: Any = parser_type(self)  # `Any`: httptools has no types
        if not requests:
            # What follows a response with `Connection: close` is read, see `response.py`
            self._parser.set_dangerous_leniencies(lenient_keep_alive=True)

    def feed(self, data: bytes) -> list[Message]:
        """The messages that these bytes complete, oldest first.

        Raises:
            InvalidMessageError: The bytes are not HTTP/1.1, or exceed the limits. The messages that
                were complete before are in `completed`.
        """
        self._raise_error()
        self.completed = []
        self._has_progressed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._error = InvalidMessage(501, "upgrades are not offered here")
        except httptools.HttpParserCallbackError:
            self._error = self._error or InvalidMessage(400, "the message could not be read")
        except httptools.HttpParserError as error:
            self._error = self._error or InvalidMessage(400, f"not HTTP/1.1: {error}")
        if not self._error and self.in_message and not self._has_progressed:
            self._error = self._count_bytes_without_progress(len(data))
        self._raise_error()
        messages, self.completed = self.completed, []
        return messages

    @property
    def kept_bytes(self) -> int:
        """The size of what was received of an incomplete message, without overhead."""
        return len(self._body) + self._bytes_without_progress if self.in_message else 0

    def close(self) -> None:
        """Drops what was received and the parser; accepts no more bytes."""
        self._error = self._error or InvalidMessage(400, "the connection has ended")
        self._parser = None
        self._message = Message()
        self._body = bytearray()
        self._bytes_without_progress = 0
        self.completed = []

    def _count_bytes_without_progress(self, received: int) -> InvalidMessage | None:
        """Bounds what the parser holds of an incomplete target, field or chunk size."""
        self._bytes_without_progress += received
        limit = self.limits.head_bytes
        if self._bytes_without_progress <= limit:
            return None
        section = "header" if self.in_head else "trailer or a chunk size"
        return InvalidMessage(431, f"the {section} is over {limit} bytes")

    def _note_progress(self) -> None:
        self._has_progressed = True
        self._bytes_without_progress = 0

    def _raise_error(self) -> None:
        if self._error is not None:
            raise InvalidMessageError(self._error.status, self._error.detail)

    def _stop(self, status: int, detail: str) -> NoReturn:
        """Records an error unless one is recorded already, and raises it to stop the parser."""
        self._error = self._error or InvalidMessage(status, detail)
        raise InvalidMessageError(status, detail)

    # -- callbacks of the parser

    def on_message_begin(self) -> None:
        """A message begins."""
        self._message = Message()
        self._trailer_lines = self._bytes_without_progress = 0
        self.in_head = self.in_message = True
        self.expects_continue = False

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        self._message.target += url

    def on_status(self, status: bytes) -> None:
        """A part of the reason phrase."""
        self._message.status = self._parser.get_status_code()

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field of the header, or of the trailer, which is dropped."""
        if not self.in_head:
            self._count_trailer_field(len(name) + len(value))
            return
        headers = self._message.headers
        headers.append((name.lower(), value))
        if len(headers) > self.limits.header_lines:
            self._stop(431, f"the header is over {self.limits.header_lines} lines")

    def _count_trailer_field(self, field_bytes: int) -> None:
        limits = self.limits
        self._field_bytes += field_bytes
        self._trailer_lines += 1
        lines = len(self._message.headers) + self._trailer_lines
        if self._field_bytes > limits.head_bytes or lines > limits.header_lines:
            sizes = f"{limits.head_bytes} bytes or {limits.header_lines} lines"
            self._stop(431, f"the header and the trailer are over {sizes}")

    def on_headers_complete(self) -> None:  # noqa: C901 - one pass keeps the cost per message low
        """The head is complete; checks all of it."""
        message, parser, limits = self._message, self._parser, self.limits
        self.in_head = False
        self._note_progress()
        version = parser.get_http_version()
        if version != "1.1":
            self._stop(505, f"HTTP/{version} is not spoken here; HTTP/1.1 is")
        headers = message.headers
        framing: dict[bytes, bytes] = {}
        size = 0
        for name, value in headers:
            size += len(name) + len(value)
            if name in FRAMING_HEADERS:
                if name in framing:
                    self._stop(400, f"{name.decode()} is told twice")
                framing[name] = value
        self._field_bytes = size
        if size > limits.head_bytes:
            self._stop(431, f"the header is over {limits.head_bytes} bytes")
        if CONTROL_BYTES.search(b"".join([value for _, value in headers])):
            self._stop(400, "a header holds a control byte")
        coding, length = framing.get(b"transfer-encoding"), framing.get(b"content-length")
        if coding is not None:
            self._check_transfer_encoding(coding, length)
        elif length is not None and int(length) > limits.body_bytes:
            self._stop(413, f"the body is over {limits.body_bytes} bytes")
        message.keep_alive = parser.should_keep_alive()
        if not self.requests:
            message.status = parser.get_status_code()
            return
        message.method = parser.get_method()
        if b"host" not in framing:
            self._stop(400, "exactly one Host header is expected")
        expect = framing.get(b"expect")
        if expect is not None:
            if expect.lower() != b"100-continue":
                self._stop(417, "only 100-continue can be expected")
            self.expects_continue = True

    def _check_transfer_encoding(self, coding: bytes, length: bytes | None) -> None:
        if length is not None:
            self._stop(400, "both Content-Length and Transfer-Encoding")
        if coding.strip().lower() != b"chunked":
            self._stop(501, "Transfer-Encoding other than chunked")

    def on_body(self, body: bytes) -> None:
        """A part of the body."""
        self._note_progress()
        if len(self._body) + len(body) > self.limits.body_bytes:
            self._stop(413, f"the body is over {self.limits.body_bytes} bytes")
        self._body += body

    def on_message_complete(self) -> None:
        """A message is complete; interim responses are skipped."""
        self._note_progress()
        message = self._message
        message.body = bytes(self._body)
        self._body.clear()
        self._message = Message()
        self.in_head = self.in_message = self.expects_continue = False
        self.ends_with_interim = not self.requests and CONTINUE <= message.status < OK
        if self.ends_with_interim:
            return
        self.completed.append(message)


def request(
    method: bytes,
    target: bytes,
    host: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes = b"",
) -> bytes:
    """A request with Content-Length. Raises `InvalidHeadError`."""
    fields = encode_field_lines(headers)
    return encode_request_head(method, target, host, fields, len(body)) + body


def response(
    status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes | None = b""
) -> bytes:
    """A response with Content-Length; if `body` is None, the head alone of one in chunks.

    Raises `InvalidHeadError`.
    """
    fields = encode_field_lines(headers)
    if body is None:
        return encode_response_head(status, fields, None)
    return encode_response_head(status, fields, len(body)) + body
