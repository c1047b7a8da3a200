"""The workers' protocol: one JSON object on each line.

This codec does no I/O, and the length of a line is bounded. The structs that decode a line have the
field names of the wire; `WorkerResponse` has the names of the program.
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
    # its time was over before it began: it did not run, and the worker is alive
    "PAST": Result.AT_CAPACITY,
}
"""Results by the word of a response.

Results without a response: `UNREACHABLE` for a connection that was not established, and `NOT_SENT`
for a line that was not written or for which this machine lacked descriptors, memory or ports. Both
prove that nothing ran. `CONNECTION_LOST` for a connection that ended or brought what cannot be
read, `NO_RESPONSE` for a silent one, and `CANCELLED`. After these three the attempt may have run.
"""

WARMTH_BY_NOTE = {
    "resident": Warmth.WARM,
    "booted": Warmth.STARTED_LOAD,
    "rode": Warmth.AWAITED_LOAD,
    "boot_error": Warmth.LOAD_FAILED,
}

FIT_WORD = "FIT"  # accepted, though no call of ours ends with it


class InvalidLineError(Exception):
    """Nothing on that connection can be trusted any more.

    `complete_lines` were read before the place that cannot be read.
    """

    def __init__(self, complete_lines: list[bytes], detail: str) -> None:
        super().__init__(detail)
        self.complete_lines = complete_lines


class LineDecoder:
    """Splits received bytes into lines."""

    def __init__(self, line_bytes_limit: int = LINE_BYTES_LIMIT) -> None:
        self.line_bytes_limit = line_bytes_limit
        self._parts: list[bytes] = []  # of the line that is not complete yet
        self._parts_bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines that are complete now.

        Raises:
            InvalidLineError: a line is too long.
        """
        *lines, rest = data.split(b"\n")
        if lines and self._parts:
            lines[0] = b"".join([*self._parts, lines[0]])
            self._parts, self._parts_bytes = [], 0
        for index, line in enumerate(lines):
            if len(line) > self.line_bytes_limit:
                raise InvalidLineError(lines[:index], "a line that is too long")
        if rest:
            self._parts.append(rest)
            self._parts_bytes += len(rest)
            if self._parts_bytes > self.line_bytes_limit:
                raise InvalidLineError(lines, "a line without an end")
        return lines


class _Props(msgspec.Struct):
    why: str = ""
    instances: int | float | str = 0


class _Line(msgspec.Struct):
    word: str = msgspec.field(name="m")
    txn: str | int = ""
    props: _Props = msgspec.field(default_factory=_Props)
    raw: str = ""


@dataclass(slots=True)
class WorkerResponse:
    """The end of the call `call_id`: its word and note, the loaded replicas, and the body."""

    word: str
    call_id: str
    note: str
    replicas: int
    body_base64: str


_decode_line = msgspec.json.Decoder(_Line).decode


def parse_response(line: bytes, body_bytes_limit: int) -> WorkerResponse:
    """Reads one line of a worker.

    Raises:
        InvalidLineError: it is no response, or its body is too long.
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
        raise InvalidLineError([], "an unknown word")
    if not is_base64(decoded.raw, body_bytes_limit):
        raise InvalidLineError([], "a body that is no base64")
    return WorkerResponse(
        decoded.word, str(decoded.txn), decoded.props.why, max(0, replicas), decoded.raw
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

    The listener has checked the id, the names and the body. None of them needs an escape but the
    request class, which comes from the settings.
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
    """Encodes the cancel of an attempt or of a load request."""
    return b'{"m":"UNDO","txn":"%b"}\n' % call_id.encode()


def encode_load_request(call_id: str, function: str, replicas: int) -> bytes:
    """Encodes a load request for so many replicas of a function."""
    return b'{"m":"PIN","txn":"%b","props":{"name":"%b","instances":%d}}\n' % (
        call_id.encode(),
        function.encode(),
        replicas,
    )
