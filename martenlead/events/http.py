"""HTTP/1.1 messages (RFC 9112) without I/O: bytes in, whole messages or one `BadMessage` out.

The parser is httptools (llhttp); docs/design/edge.md weighs it against h11. What the parser leaves open is
bound here: sizes, versions, and every case in which two readers of the same bytes could see different
messages.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol

import httptools

Headers = list[tuple[bytes, bytes]]
CONTROL_BYTES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding", b"host", b"expect"})


class InvalidMessageError(Exception):
    """The bytes are no message that may be acted on. `status` is what the peer is to be told."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status, self.detail = status, detail


@dataclass(slots=True, frozen=True)
class MessageLimits:
    """Bytes that one message may hold; beyond them the peer is told 431 or 413 and the connection ends."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    header_lines: int = 100


class Peer(Protocol):
    """Whoever sent a request, as the connection that it came over knows it."""

    def has_left(self) -> bool:
        """Asks the machine, which may know of an end that the event loop has not read yet."""

    def end(self) -> None:
        """Ends the connection and cancels all its requests, in a later turn of the event loop."""


@dataclass(slots=True)
class Message:
    """A request (`method`, `target`) or a response (`status`), whole. A server says who asks."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    peer: Peer | None = field(default=None, compare=False, repr=False)

    def header(self, name: bytes) -> bytes | None:
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Reader:
    """Feeds one direction of one connection to the parser. After a `BadMessage` it takes nothing more."""

    def __init__(self, limits: MessageLimits, *, requests: bool) -> None:
        self.limits = limits
        self.requests = requests
        self.completed: list[Message] = []
        self.expects_continue = False  # the peer waits for a 100 before it sends the body
        self.in_head = self.in_message = False
        self._head = 0
        self._size = 0
        self._chunks: list[bytes] = []
        self._message = Message()
        self._bad: InvalidMessageError | None = None
        kind = httptools.HttpRequestParser if requests else httptools.HttpResponseParser
        self._parser: Any = kind(self)

    def feed(self, data: bytes) -> list[Message]:
        """Whole messages that these bytes ended, oldest first. Raises `BadMessage`; those before it stay in
        `done`."""
        if self._bad:
            raise self._bad
        self.completed = []
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._bad = InvalidMessageError(501, "upgrades are not offered here")
        except httptools.HttpParserCallbackError:
            self._bad = self._bad or InvalidMessageError(400, "the message could not be read")
        except httptools.HttpParserError as error:
            self._bad = self._bad or InvalidMessageError(400, f"not HTTP/1.1: {error}")
        if not self._bad and self.in_head:
            self._head += len(data)
            if self._head > self.limits.head_bytes:
                self._bad = InvalidMessageError(431, f"the header is over {self.limits.head_bytes} bytes")
        if self._bad:
            raise self._bad
        return self.completed

    def _stop(self, bad: InvalidMessageError) -> None:
        self._bad = self._bad or bad
        raise bad

    # -- the parser's calls

    def on_message_begin(self) -> None:
        self._message = Message()
        self._head = self._size = 0
        self._chunks = []
        self.in_head = self.in_message = True
        self.expects_continue = False

    def on_url(self, url: bytes) -> None:
        self._message.target += url

    def on_status(self, status: bytes) -> None:
        self._message.status = self._parser.get_status_code()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._message.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """All checks in one pass: this is called for every message, and its parts for every line of one."""
        message, parser, limits = self._message, self._parser, self.limits
        self.in_head = False
        version = parser.get_http_version()
        if version != "1.1":
            self._stop(InvalidMessageError(505, f"HTTP/{version} is not spoken here; HTTP/1.1 is"))
        headers = message.headers
        framing: dict[bytes, bytes] = {}
        size = 0
        for name, value in headers:
            size += len(name) + len(value)
            if name in FRAMING_HEADERS:
                if name in framing:
                    self._stop(InvalidMessageError(400, f"{name.decode()} is told twice"))
                framing[name] = value
        if size > limits.head_bytes or len(headers) > limits.header_lines:
            self._stop(
                InvalidMessageError(
                    431, f"the header is over {limits.head_bytes} bytes or {limits.header_lines} lines"
                )
            )
        if CONTROL_BYTES.search(b"".join([value for _, value in headers])):
            self._stop(InvalidMessageError(400, "a header holds a control byte"))
        coding, length = framing.get(b"transfer-encoding"), framing.get(b"content-length")
        if coding is not None:
            if length is not None:
                self._stop(InvalidMessageError(400, "both Content-Length and Transfer-Encoding"))
            if coding.strip().lower() != b"chunked":
                self._stop(InvalidMessageError(501, "Transfer-Encoding other than chunked"))
        elif length is not None and int(length) > limits.body_bytes:
            self._stop(InvalidMessageError(413, f"the body is over {limits.body_bytes} bytes"))
        message.keep_alive = parser.should_keep_alive()
        if not self.requests:
            message.status = parser.get_status_code()
            return
        message.method = parser.get_method()
        if b"host" not in framing:
            self._stop(InvalidMessageError(400, "exactly one Host header is expected"))
        expect = framing.get(b"expect")
        if expect is not None:
            if expect.lower() != b"100-continue":
                self._stop(InvalidMessageError(417, "only 100-continue can be expected"))
            self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > self.limits.body_bytes:
            self._stop(InvalidMessageError(413, f"the body is over {self.limits.body_bytes} bytes"))
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        message = self._message
        message.body = b"".join(self._chunks)
        self._chunks = []
        self.in_head = self.in_message = self.expects_continue = False
        if not self.requests and 100 <= message.status < 200:
            return
        self.completed.append(message)


def _head(first: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes | None) -> bytes:
    lines = [first]
    lines += [b"%b: %b" % pair for pair in headers]
    if body is not None:
        lines.append(b"content-length: %d" % len(body))
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + (body or b"")


def request(
    method: bytes, target: bytes, host: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b""
) -> bytes:
    """A request with a sized body."""
    return _head(b"%b %b HTTP/1.1\r\nhost: %b" % (method, target, host), headers, body)


REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def response(status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes | None = b"") -> bytes:
    """A response with a sized body; with None the body follows as the caller's headers say."""
    return _head(b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b"")), headers, body)


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body; empty data is the last chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)
