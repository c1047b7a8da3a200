"""Codec of the client protocol: JSON-RPC 2.0 messages, each after a header with its length.

The codec does no I/O and bounds everything that it buffers for a peer. The structs that decode a
message use the field names of the wire; `Call` uses the names of the program.
"""

from __future__ import annotations

import math
import re
from binascii import Error as Base64Error
from binascii import a2b_base64
from dataclasses import dataclass, field
from typing import Any

import msgspec

HEADER_BYTES_LIMIT = 256  # a header has one field
BODY_BYTES_LIMIT = 16_384  # largest request body that the protocol allows
MESSAGE_BYTES_LIMIT = 65_536  # covers the body in base64 and the other fields
WAIT_LIMIT_MS = 3_600_000.0
LANES_LIMIT = 4096
MEMORY_MB_LIMIT = 1e9
COST_LIMIT_MS = 1e9
NUMBER_LIMIT = 1 << 53  # message numbers are below it, so that JSON represents them exactly

# Error codes of JSON-RPC, followed by the two of this protocol
PARSE_ERROR = -32700
INVALID_REQUEST = -32600
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602
REQUEST_FAILED = -32000
REQUEST_REJECTED = -32001

CONTROL_METHODS = frozenset({"ping", "abort"})

_HEADER_END = b"\r\n\r\n"
_LENGTH_FIELD = b"content-length:"
_LENGTH_LINE = re.compile(rb"content-length:[ \t]*([0-9]{1,10})[ \t]*", re.I)
_HEADER_LINE = re.compile(rb"[A-Za-z-]+:[\t\x20-\x7e]*")
_HEX16 = re.compile(r"[0-9a-f]{16}").fullmatch
_HEX32 = re.compile(r"[0-9a-f]{32}").fullmatch


class FramingError(Exception):
    """The stream can no longer be split into messages.

    `complete_messages` were received before the invalid part.
    """

    def __init__(self, complete_messages: list[bytes], detail: str) -> None:
        super().__init__(detail)
        self.complete_messages, self.detail = complete_messages, detail


class MessageDecoder:
    """Splits received bytes into message bodies."""

    def __init__(self, message_bytes_limit: int = MESSAGE_BYTES_LIMIT) -> None:
        self.message_bytes_limit = message_bytes_limit
        self._buffer = b""
        # Length of the body being received; negative until its header is complete.
        self._length = -1
        self.has_reached_limit = False  # further complete messages may have been received

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has begun whose rest was not received."""
        has_begun = bool(self._buffer) or self._length >= 0
        return has_begun and not self.has_reached_limit

    @property
    def kept_bytes(self) -> int:
        """The size of what was received behind the last message that was returned."""
        return len(self._buffer)

    def feed(self, data: bytes, limit: int | None = None) -> list[bytes]:
        """Adds received bytes, and returns the messages that are now complete.

        At most `limit` messages are returned; others may follow with the next call.

        Raises:
            FramingError: the rest of the stream cannot be split into messages.
        """
        buffer = self._buffer + data if self._buffer else data
        start = 0
        messages: list[bytes] = []
        while limit is None or len(messages) < limit:
            if self._length < 0:
                latest_end = start + HEADER_BYTES_LIMIT
                end = buffer.find(_HEADER_END, start, latest_end + len(_HEADER_END))
                if end < 0:
                    if len(buffer) > latest_end:
                        raise FramingError(messages, "a head without an end")
                    break
                self._length = self._parse_header(buffer[start:end], messages)
                start = end + len(_HEADER_END)
            if len(buffer) - start < self._length:
                break
            messages.append(buffer[start : start + self._length])
            start += self._length
            self._length = -1
        self._buffer = buffer[start:]
        self.has_reached_limit = len(messages) == limit and start < len(buffer)
        return messages

    def discard(self) -> None:
        """Drops an incomplete message, as its connection has ended or cannot be decoded."""
        self._buffer = b""
        self._length = -1
        self.has_reached_limit = False

    def _parse_header(self, header: bytes, messages: list[bytes]) -> int:
        """Returns the length of the body."""
        length = -1
        for line in header.split(b"\r\n"):
            found = _LENGTH_LINE.fullmatch(line)
            if found is not None and length < 0:
                length = int(found[1])
            elif found is not None or not _HEADER_LINE.fullmatch(line):
                raise FramingError(messages, "not a head")
            elif line[: len(_LENGTH_FIELD)].lower() == _LENGTH_FIELD:
                raise FramingError(messages, "a length that is none")
        if length < 0:
            raise FramingError(messages, "a head without a length")
        if length > self.message_bytes_limit:
            raise FramingError(messages, f"at most {self.message_bytes_limit} bytes are taken")
        return length


@dataclass(slots=True, frozen=True)
class Refusal:
    """The error response to a message that is not accepted.

    `number` is the message's, or None if it has no valid one.
    """

    code: int
    detail: str
    number: int | None = None


class InvalidCallError(Exception):
    """A message that is not accepted.

    Keep its `refusal` and not the error itself: the error's traceback refers to the frames that
    hold the message, and so to whoever keeps the error there.
    """

    def __init__(self, code: int, detail: str, number: int | None = None) -> None:
        super().__init__(detail)
        self.refusal = Refusal(code, detail, number)

    @property
    def number(self) -> int | None:
        """The number of the message, or None if it has no valid one."""
        return self.refusal.number


class _Params(msgspec.Struct):
    id: str | int = ""
    wait: float | None = None
    tenant: str | None = None
    retry: int | str | bool = 0
    once: str | None = None
    key: str = ""
    cost: float = 0.0
    props: str = ""
    blob: str = ""


class _Message(msgspec.Struct):
    method: str
    jsonrpc: str
    id: int | None = None
    params: _Params = msgspec.field(default_factory=_Params)


class _NumberOnly(msgspec.Struct):
    id: Any = None  # any JSON type


@dataclass(slots=True)
class Call:
    """A valid message: a request, a ping or a cancel.

    `used_connections` belongs to the worker client: upstream connections on which the request was
    sent. `cancelled_id` is the number or the id of the request that a cancel names.
    """

    number: int | None
    method: str
    request_id: str
    time_left_ns: int
    tenant: str | None
    is_retry: bool
    idempotency_key: str | None
    function: str
    cost_seconds: float
    lanes: int
    memory_mb: float
    body_base64: str
    used_connections: list[Any] = field(default_factory=list)
    cancelled_id: int | str | None = None


_decode_message = msgspec.json.Decoder(_Message).decode
_decode_number = msgspec.json.Decoder(_NumberOnly).decode
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def parse_call(message: bytes) -> Call:
    """Parses one message. The listener checks whether its method and its tenant are known.

    Raises:
        InvalidCallError: the message is malformed.
    """
    try:
        decoded = _decode_message(message)
    except _DECODE_ERRORS as error:
        raise _describe_undecodable(message, str(error)) from None
    number, params = decoded.id, decoded.params
    if decoded.jsonrpc != "2.0" or (number is not None and not 0 < number < NUMBER_LIMIT):
        raise InvalidCallError(INVALID_REQUEST, "not JSON-RPC 2.0")
    if decoded.method in CONTROL_METHODS:
        return _parse_control_call(decoded)
    if number is None:
        raise InvalidCallError(INVALID_REQUEST, "a task without a number")
    _check_params(params, number)
    lanes, memory_mb = _parse_props(params.props, number) if params.props else (1, 0.0)
    return Call(
        number,
        decoded.method,
        params.id,  # type: ignore[arg-type]  # `_check_params` has checked the type
        round(params.wait * 1e6),  # type: ignore[operator]  # likewise
        params.tenant,
        params.retry not in (0, "", "0", False),
        params.once,
        params.key,
        params.cost / 1000,
        lanes,
        memory_mb,
        params.blob,
    )


def _parse_control_call(decoded: _Message) -> Call:
    number, params = decoded.id, decoded.params
    cancelled_id: int | str | None = params.id if params.id != "" else number
    if isinstance(cancelled_id, str) and cancelled_id.isdecimal() and not _HEX16(cancelled_id):
        cancelled_id = int(cancelled_id[:16])
    return Call(
        number,
        decoded.method,
        "",
        0,
        None,
        False,
        None,
        "",
        0.0,
        1,
        0.0,
        "",
        cancelled_id=cancelled_id,
    )


def _check_params(params: _Params, number: int) -> None:
    """Raises InvalidCallError for the first invalid parameter."""
    if not isinstance(params.id, str) or not _HEX16(params.id):
        raise InvalidCallError(INVALID_PARAMS, "id: 16 hex digits were expected", number)
    if not _HEX16(params.key):
        raise InvalidCallError(INVALID_PARAMS, "key: 16 hex digits were expected", number)
    if params.once is not None and not _HEX32(params.once):
        raise InvalidCallError(INVALID_PARAMS, "once: 32 hex digits were expected", number)
    if params.wait is None or not 0 <= params.wait <= WAIT_LIMIT_MS:
        raise InvalidCallError(
            INVALID_PARAMS, "wait: a number of milliseconds was expected", number
        )
    if not 0 <= params.cost <= COST_LIMIT_MS:
        raise InvalidCallError(INVALID_PARAMS, "cost: a number was expected", number)
    if not is_base64(params.blob, BODY_BYTES_LIMIT):
        detail = f"blob: base64 of at most {BODY_BYTES_LIMIT} bytes was expected"
        raise InvalidCallError(INVALID_PARAMS, detail, number)


def is_base64(text: str, bytes_limit: int) -> bool:
    """Whether the text is base64 of at most `bytes_limit` bytes."""
    if len(text) > bytes_limit * 4 // 3 + 4:
        return False
    try:
        return len(a2b_base64(text, strict_mode=True)) <= bytes_limit
    except (Base64Error, ValueError):
        return False


def _parse_props(text: str, number: int) -> tuple[int, float]:
    """Returns the lanes of a replica, and its memory in MB."""
    lanes, memory_mb = 1.0, 0.0
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        try:
            figure = float(value)
        except ValueError:
            figure = math.nan
        if not 0 <= figure <= MEMORY_MB_LIMIT:
            detail = f"props: {name[:20]!r} is no number that is taken"
            raise InvalidCallError(INVALID_PARAMS, detail, number)
        if name == "lanes":
            lanes = figure
        elif name == "memory_mb":
            memory_mb = figure
    if not 1 <= lanes <= LANES_LIMIT:
        detail = f"props: lanes from 1 to {LANES_LIMIT} were expected"
        raise InvalidCallError(INVALID_PARAMS, detail, number)
    return int(lanes), memory_mb


def _describe_undecodable(message: bytes, detail: str) -> InvalidCallError:
    """Returns the error for a message that cannot be decoded, with its number if it has one."""
    try:
        number = _decode_number(message).id
    except _DECODE_ERRORS:
        return InvalidCallError(PARSE_ERROR, "not JSON")
    if type(number) is int and 0 < number < NUMBER_LIMIT:
        return InvalidCallError(INVALID_PARAMS, detail[:200], number)
    return InvalidCallError(INVALID_REQUEST, detail[:200])


def refuse_unparsed(message: bytes) -> Refusal:
    """Returns the refusal of a message that was not parsed because of a fault in this program.

    The message had no effect, so its client may send it again.
    """
    number = _describe_undecodable(message, "").number
    return Refusal(REQUEST_REJECTED, "a fault of the dispatcher", number)


def _encode_frame(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def encode_result(number: int, body_base64: str) -> bytes:
    """Encodes the response to a request that succeeded."""
    return _encode_frame(
        b'{"jsonrpc":"2.0","id":%d,"result":{"blob":"%b"}}' % (number, body_base64.encode())
    )


def encode_ping_result(number: int | None, is_ready: bool) -> bytes:
    """Encodes the response to a ping."""
    return _encode_frame(
        b'{"jsonrpc":"2.0","id":%b,"result":{"up":%b}}'
        % (b"null" if number is None else b"%d" % number, b"true" if is_ready else b"false")
    )


def encode_error(number: int | None, code: int, text: str, retry_after_ms: int = 0) -> bytes:
    """Encodes an error response; `retry_after_ms` is 0 for no Retry-After."""
    error: dict[str, Any] = {"code": code, "message": text}  # JSON values
    if retry_after_ms > 0:
        error["data"] = {"after": retry_after_ms}
    return _encode_frame(msgspec.json.encode({"jsonrpc": "2.0", "id": number, "error": error}))
