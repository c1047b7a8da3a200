"""The lines of a streamed HTTP/1.1 response, as discovery sends them.

Only the body is held, and of it no more than one incomplete line.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator
from http import HTTPStatus

import anyio
import httptools

from martenlead.events.http import InvalidMessageError

MAX_BYTES_WITHOUT_BODY = 64 * 1024  # in a row


async def read_lines(
    host: str, port: int, data: bytes, *, silence_timeout_seconds: float, max_line_bytes: int
) -> AsyncGenerator[bytes]:
    """Yields the lines of a chunked response that does not end, as they are received.

    Raises:
        OSError: The connection failed. A broken stream raises errors of anyio.
        TimeoutError: No connection was made, or no byte received, in `silence_timeout_seconds`.
        InvalidMessageError: The status is not 200, a line is longer than `max_line_bytes`, or
            `MAX_BYTES_WITHOUT_BODY` were received in a row that are no part of the body.
    """
    with anyio.fail_after(silence_timeout_seconds):
        stream = await anyio.connect_tcp(host, port)
    try:
        with anyio.fail_after(silence_timeout_seconds):
            await stream.send(data)
        unfinished = b""
        body = _StreamedBody()
        while True:
            with anyio.fail_after(silence_timeout_seconds):
                received = await stream.receive()
            unfinished += body.feed(received)
            if body.status not in (0, HTTPStatus.OK):
                raise InvalidMessageError(502, f"status {body.status}")
            *finished, unfinished = unfinished.split(b"\n")
            if len(unfinished) > max_line_bytes:
                raise InvalidMessageError(502, f"a line over {max_line_bytes} bytes")
            for line in finished:
                if line:
                    yield line
            if body.has_ended:
                return
    finally:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)


class _StreamedBody:
    """Parses the body of one response in parts, as they are received."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.status = 0  # 0 until the head is complete
        self.has_ended = False
        self.bytes_without_body = 0  # received since the last part of the body

    def on_headers_complete(self) -> None:
        """The head is complete; called by the parser."""
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """A part of the body; called by the parser."""
        self.parts.append(body)

    def on_message_complete(self) -> None:
        """The response is complete; called by the parser."""
        self.has_ended = True

    def feed(self, data: bytes) -> bytes:
        """The part of the body in these bytes. Raises `InvalidMessageError`."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise InvalidMessageError(502, f"not HTTP/1.1: {error}") from None
        body = b"".join(self.parts)
        self.parts.clear()
        self._count_bytes_without_body(0 if body else len(data))
        return body

    def _count_bytes_without_body(self, received: int) -> None:
        """Bounds a head, a chunk size or a trailer that does not end."""
        self.bytes_without_body = self.bytes_without_body + received if received else 0
        if self.bytes_without_body > MAX_BYTES_WITHOUT_BODY:
            reason = f"{self.bytes_without_body} bytes in a row are no part of the body"
            raise InvalidMessageError(502, reason)
