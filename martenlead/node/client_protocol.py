"""Clients' messages: a head with a length, then JSON-RPC 2.0. No I/O; all that a peer can make us hold is
bounded."""

from __future__ import annotations

import math
import re
from binascii import Error as BadBase64
from binascii import a2b_base64
from dataclasses import dataclass, field
from typing import Any

import msgspec

HEADER_BYTES_LIMIT = 256  # bytes of a head: it has one field
BODY_BYTES_LIMIT = 16_384  # bytes of a task's body, by the protocol
MESSAGE_BYTES_LIMIT = 65_536  # a whole message: the body in base64, and fields
WAIT_LIMIT_MS = 3_600_000.0  # ms
LANES_LIMIT, MEMORY_MB_LIMIT, COST_LIMIT_MS = 4096, 1e9, 1e9

PARSE_ERROR, INVALID_REQUEST, METHOD_NOT_FOUND, INVALID_PARAMS, REQUEST_FAILED, REQUEST_REJECTED = (
    -32700,
    -32600,
    -32601,
    -32602,
    -32000,
    -32001,
)

_HEAD = re.compile(rb"content-length:[ \t]*([0-9]{1,10})[ \t]*", re.I)
_HEX16 = re.compile(r"[0-9a-f]{16}").fullmatch
_HEX32 = re.compile(r"[0-9a-f]{32}").fullmatch


class FramingError(Exception):
    """What cannot be framed: nothing behind it on that connection can be read. `done` came whole before."""

    def __init__(self, detail: str, done: list[bytes]) -> None:
        super().__init__(detail)
        self.detail, self.complete_messages = detail, done


class MessageDecoder:
    """Bytes in, messages out."""

    def __init__(self, longest: int = MESSAGE_BYTES_LIMIT) -> None:
        self.longest = longest
        self._held = b""
        self._length = -1

    @property
    def has_partial_message(self) -> bool:
        return bool(self._held) or self._length >= 0

    def feed(self, data: bytes) -> list[bytes]:
        """Raises BadFrame."""
        held = self._held + data if self._held else data
        at = 0
        done: list[bytes] = []
        while True:
            if self._length < 0:
                end = held.find(b"\r\n\r\n", at, at + HEADER_BYTES_LIMIT + 4)
                if end < 0:
                    if len(held) - at > HEADER_BYTES_LIMIT:
                        raise FramingError("a head without an end", done)
                    break
                self._length = self._read_head(held[at:end], done)
                at = end + 4
            if len(held) - at < self._length:
                break
            done.append(held[at : at + self._length])
            at += self._length
            self._length = -1
        self._held = held[at:]
        return done

    def _read_head(self, head: bytes, done: list[bytes]) -> int:
        length = -1
        for line in head.split(b"\r\n"):
            found = _HEAD.fullmatch(line)
            if found is not None and length < 0:
                length = int(found[1])
            elif found is not None or not re.fullmatch(rb"[A-Za-z-]+:[\t\x20-\x7e]*", line):
                raise FramingError("not a head", done)
            elif line[:15].lower() == b"content-length:":
                raise FramingError("a length that is none", done)
        if length < 0:
            raise FramingError("a head without a length", done)
        if length > self.longest:
            raise FramingError(f"at most {self.longest} bytes are taken", done)
        return length


class InvalidCallError(Exception):
    """A message that is read and not taken. `number` is its own where it has a usable one; `close` where
    answers could no longer be told apart."""

    def __init__(self, code: int, detail: str, number: int | None = None) -> None:
        super().__init__(detail)
        self.code, self.detail, self.number = code, detail, number


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


@dataclass(slots=True)
class Call:
    """A message that keeps the form. `wait` is ns; `cost` is seconds; `blob` is base64, as it came."""

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
    used_connections: list[Any] = field(default_factory=list)  # the link's: connections that it was on
    cancelled_id: int | str | None = None  # of what takes a task back: the task's number, or its id


_decode = msgspec.json.Decoder(_Message).decode
CONTROL_METHODS = frozenset({"ping", "abort"})


def parse_call(message: bytes) -> Call:
    """Raises BadCall. Whether names are known is the door's to say."""
    try:
        told = _decode(message)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _bad(message, str(error)) from None
    number, params = told.id, told.params
    if told.jsonrpc != "2.0" or (number is not None and not 0 < number < 1 << 53):
        raise InvalidCallError(INVALID_REQUEST, "not JSON-RPC 2.0")
    if told.method in CONTROL_METHODS:
        about: int | str | None = params.id if params.id != "" else number
        if isinstance(about, str) and about.isdecimal() and not _HEX16(about):
            about = int(about[:16])
        return Call(number, told.method, "", 0, None, False, None, "", 0.0, 1, 0.0, "", cancelled_id=about)
    if number is None:
        raise InvalidCallError(INVALID_REQUEST, "a task without a number")
    if not isinstance(params.id, str) or not _HEX16(params.id):
        raise InvalidCallError(INVALID_PARAMS, "id: 16 hex digits were expected", number)
    if not _HEX16(params.key):
        raise InvalidCallError(INVALID_PARAMS, "key: 16 hex digits were expected", number)
    if params.once is not None and not _HEX32(params.once):
        raise InvalidCallError(INVALID_PARAMS, "once: 32 hex digits were expected", number)
    if params.wait is None or not 0 <= params.wait <= WAIT_LIMIT_MS:
        raise InvalidCallError(INVALID_PARAMS, "wait: a number of milliseconds was expected", number)
    if not 0 <= params.cost <= COST_LIMIT_MS:
        raise InvalidCallError(INVALID_PARAMS, "cost: a number was expected", number)
    if not is_base64(params.blob, BODY_BYTES_LIMIT):
        raise InvalidCallError(
            INVALID_PARAMS, f"blob: base64 of at most {BODY_BYTES_LIMIT} bytes was expected", number
        )
    lanes, memory_mb = _props(params.props, number)
    again = params.retry not in (0, "", "0", False)
    return Call(
        number,
        told.method,
        params.id,
        round(params.wait * 1e6),
        params.tenant,
        again,
        params.once,
        params.key,
        params.cost / 1000,
        lanes,
        memory_mb,
        params.blob,
    )


def is_base64(text: str, most: int) -> bool:
    """Whether it is base64 of at most so many bytes."""
    if len(text) > most * 4 // 3 + 4:
        return False
    try:
        return len(a2b_base64(text, strict_mode=True)) <= most
    except (BadBase64, ValueError):
        return False


def _props(text: str, number: int) -> tuple[int, float]:
    lanes, memory_mb = 1.0, 0.0
    for pair in text.split(";") if text else ():
        name, _, value = pair.partition(":")
        try:
            figure = float(value)
        except ValueError:
            figure = math.nan
        if not 0 <= figure <= MEMORY_MB_LIMIT:
            raise InvalidCallError(INVALID_PARAMS, f"props: {name[:20]!r} is no number that is taken", number)
        if name == "lanes":
            lanes = figure
        elif name == "memory_mb":
            memory_mb = figure
    if not 1 <= lanes <= LANES_LIMIT:
        raise InvalidCallError(INVALID_PARAMS, f"props: lanes from 1 to {LANES_LIMIT} were expected", number)
    return int(lanes), memory_mb


class _Numbered(msgspec.Struct):
    id: Any = None


def _bad(message: bytes, detail: str) -> InvalidCallError:
    """Why it could not be read, under its own number if at least that can be."""
    try:
        number = msgspec.json.decode(message, type=_Numbered).id
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return InvalidCallError(PARSE_ERROR, "not JSON")
    usable = type(number) is int and 0 < number < 1 << 53
    return (
        InvalidCallError(INVALID_PARAMS, detail[:200], number)
        if usable
        else InvalidCallError(INVALID_REQUEST, detail[:200])
    )


def unparsed_call_error(message: bytes) -> InvalidCallError:
    """For a message that a fault of ours kept from being read: nothing was done for it, it may come again."""
    return InvalidCallError(REQUEST_REJECTED, "a fault of the dispatcher", _bad(message, "").number)


def _frame(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def result(number: int, blob: str) -> bytes:
    return _frame(b'{"jsonrpc":"2.0","id":%d,"result":{"blob":"%b"}}' % (number, blob.encode()))


def up(number: int | None, ready: bool) -> bytes:
    return _frame(
        b'{"jsonrpc":"2.0","id":%b,"result":{"up":%b}}'
        % (b"null" if number is None else b"%d" % number, b"true" if ready else b"false")
    )


def error(number: int | None, code: int, text: str, after: int = 0) -> bytes:
    """`after` in ms, 0 for none."""
    told: dict[str, Any] = {"code": code, "message": text}
    if after > 0:
        told["data"] = {"after": after}
    return _frame(msgspec.json.encode({"jsonrpc": "2.0", "id": number, "error": told}))
