"""Codec of the worker protocol: one JSON object per line.

The codec does no I/O, and bounds the length of a line. The structs that decode a line use the field
names of the wire; `WorkerResponse` uses the names of the program.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from martenlead.node.client_protocol import is_base64
from martenlead.policy.types import Result, Warmth

LINE_BYTES_LIMIT = 131_072

RESULT_BY_WORD = {
    "DONE": Result.SUCCEEDED,
    "LACK": Result.FUNCTION_MISSING,
    "WAIT": Result.AT_CAPACITY,
    "BROKE": Result.ERROR,
    # timed out before it started: it did not run, and the worker is alive
    "PAST": Result.AT_CAPACITY,
}
"""Results by the word of a response.

Results without a response: `UNREACHABLE` for a connection that was not established, and `NOT_SENT`
for a line that was not written or for which this machine lacked descriptors, memory or ports. Both
prove that nothing ran. `CONNECTION_LOST` for a connection that ended or received invalid data,
`NO_RESPONSE` for a silent one, and `CANCELLED`. After these three the attempt may have run.
"""

WARMTH_BY_NOTE = {
    "resident": Warmth.WARM,
    "booted": Warmth.STARTED_LOAD,
    "rode": Warmth.AWAITED_LOAD,
    "boot_error": Warmth.LOAD_FAILED,
}

FIT_WORD = "FIT"  # valid, although no call of this program ends with it


class InvalidLineError(Exception):
    """A line is invalid, so nothing on its connection can be trusted any more.

    `complete_lines` were received before the invalid part.
    """

    def __init__(self, complete_lines: list[bytes], detail: str) -> None:
        super().__init__(detail)
        self.complete_lines = complete_lines


class LineDecoder:
    """Splits received bytes into lines."""

    def __init__(self, line_bytes_limit: int = LINE_BYTES_LIMIT) -> None:
        self.line_bytes_limit = line_bytes_limit
        self._parts: list[bytes] = []  # received parts of an incomplete line
        self._parts_bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes, and returns the lines that are now complete.

        Raises:
            InvalidLineError: a line is too long.
        """
        *lines, rest = data.split(b"\n")
        if lines and self._parts:
            lines[0] = b"".join([*self._parts, lines[0]])
            self._parts, self._parts_bytes = [], 0
        for index, line in enumerate(lines):
            if len(line) > self.line_bytes_limit:
                raise InvalidLineError(lines[:index], "line too long")
        if rest:
            self._parts.append(rest)
            self._parts_bytes += len(rest)
            if self._parts_bytes > self.line_bytes_limit:
                raise InvalidLineError(lines, "incomplete line too long")
        return lines

    def discard(self) -> None:
        """Drops an incomplete line, as its connection has ended or cannot be decoded."""
        self._parts, self._parts_bytes = [], 0


class _Props(msgspec.Struct):
    why: str = ""
    instances: int | float | str = 0


class _Line(msgspec.Struct):
    word: str = msgspec.field(name="m")
    txn: str | int
    props: _Props = msgspec.field(default_factory=_Props)
    raw: str | msgspec.UnsetType = msgspec.UNSET


@dataclass(slots=True)
class WorkerResponse:
    """The response to the call `call_id`: its word and note, the loaded replicas, and the body.

    A body may be empty; `body_base64` is None if the line has none.
    """

    word: str
    call_id: str
    note: str
    replicas: int
    body_base64: str | None


_decode_line = msgspec.json.Decoder(_Line).decode


def parse_response(line: bytes, body_bytes_limit: int) -> WorkerResponse:
    """Parses one line of a worker.

    Raises:
        InvalidLineError: the line is not a response, or its body is too long.
    """
    try:
        decoded = _decode_line(line)
        replicas = int(float(decoded.props.instances))
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
        ValueError,
        OverflowError,
    ) as error:
        raise InvalidLineError([], str(error)[:200]) from None
    if decoded.word not in RESULT_BY_WORD and decoded.word != FIT_WORD:
        raise InvalidLineError([], "unknown response word")
    body_base64 = None if decoded.raw is msgspec.UNSET else decoded.raw
    if body_base64 is not None and not is_base64(body_base64, body_bytes_limit):
        raise InvalidLineError([], "body is not base64 or too long")
    return WorkerResponse(
        decoded.word, str(decoded.txn), decoded.props.why, max(0, replicas), body_base64
    )


def encode_attempt(
    call_id: str,
    request_class: str,
    function: str,
    time_left_ms: int,
    idempotency_key: str | None,
    body_base64: str,
) -> bytes:
    """Encodes an attempt.

    The listener has validated the id, the names and the body. Only the request class, which comes
    from the settings, may need escaping.
    """
    dedupe = b"" if idempotency_key is None else b',"dedupe":"%b"' % idempotency_key.encode()
    return b'{"m":"DO","txn":"%b","props":{"lane":%b,"name":"%b","ttl":%d%b},"raw":"%b"}\n' % (
        call_id.encode(),
        msgspec.json.encode(request_class),
        function.encode(),
        time_left_ms,
        dedupe,
        body_base64.encode(),
    )


def encode_cancel(call_id: str) -> bytes:
    """Encodes a cancel of an attempt or a load request."""
    return b'{"m":"UNDO","txn":"%b"}\n' % call_id.encode()


def encode_load_request(call_id: str, function: str, replicas: int) -> bytes:
    """Encodes a load request for `replicas` replicas of a function."""
    return b'{"m":"PIN","txn":"%b","props":{"name":"%b","instances":%d}}\n' % (
        call_id.encode(),
        function.encode(),
        replicas,
    )
