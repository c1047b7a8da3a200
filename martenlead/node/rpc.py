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

HEAD = 256  # bytes of a head: it has one field
BODY = 16_384  # bytes of a task's body, by the protocol
MESSAGE = 65_536  # a whole message: the body in base64, and fields
LONGEST_WAIT = 3_600_000.0  # ms
MOST_LANES, MOST_MB, MOST_COST = 4096, 1e9, 1e9

PARSE, INVALID, NO_METHOD, PARAMS, FAILED, TURNED_BACK = -32700, -32600, -32601, -32602, -32000, -32001

_HEAD = re.compile(rb"content-length:[ \t]*([0-9]{1,10})[ \t]*", re.I)
_HEX16 = re.compile(r"[0-9a-f]{16}").fullmatch
_HEX32 = re.compile(r"[0-9a-f]{32}").fullmatch


class BadFrame(Exception):
    """What cannot be framed: nothing behind it on that connection can be read. `done` came whole before."""

    def __init__(self, detail: str, done: list[bytes]) -> None:
        super().__init__(detail)
        self.detail, self.done = detail, done


class Frames:
    """Bytes in, messages out."""

    def __init__(self, longest: int = MESSAGE) -> None:
        self.longest = longest
        self._held = b""
        self._length = -1

    @property
    def partial(self) -> bool:
        return bool(self._held) or self._length >= 0

    def feed(self, data: bytes) -> list[bytes]:
        """Raises BadFrame."""
        held = self._held + data if self._held else data
        at = 0
        done: list[bytes] = []
        while True:
            if self._length < 0:
                end = held.find(b"\r\n\r\n", at, at + HEAD + 4)
                if end < 0:
                    if len(held) - at > HEAD:
                        raise BadFrame("a head without an end", done)
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
                raise BadFrame("not a head", done)
            elif line[:15].lower() == b"content-length:":
                raise BadFrame("a length that is none", done)
        if length < 0:
            raise BadFrame("a head without a length", done)
        if length > self.longest:
            raise BadFrame(f"at most {self.longest} bytes are taken", done)
        return length


class BadCall(Exception):
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
    id: str
    wait: int
    tenant: str | None
    again: bool
    once: str | None
    key: str
    cost: float
    lanes: int
    memory_mb: float
    blob: str
    met: list[Any] = field(default_factory=list)  # the link's: connections that it was on
    about: int | str | None = None  # of what takes a task back: the task's number, or its id


_decode = msgspec.json.Decoder(_Message).decode
CONTROL = frozenset({"ping", "abort"})


def read(message: bytes) -> Call:
    """Raises BadCall. Whether names are known is the door's to say."""
    try:
        told = _decode(message)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _bad(message, str(error)) from None
    number, params = told.id, told.params
    if told.jsonrpc != "2.0" or (number is not None and not 0 < number < 1 << 53):
        raise BadCall(INVALID, "not JSON-RPC 2.0")
    if told.method in CONTROL:
        about: int | str | None = params.id if params.id != "" else number
        if isinstance(about, str) and about.isdecimal() and not _HEX16(about):
            about = int(about[:16])
        return Call(number, told.method, "", 0, None, False, None, "", 0.0, 1, 0.0, "", about=about)
    if number is None:
        raise BadCall(INVALID, "a task without a number")
    if not isinstance(params.id, str) or not _HEX16(params.id):
        raise BadCall(PARAMS, "id: 16 hex digits were expected", number)
    if not _HEX16(params.key):
        raise BadCall(PARAMS, "key: 16 hex digits were expected", number)
    if params.once is not None and not _HEX32(params.once):
        raise BadCall(PARAMS, "once: 32 hex digits were expected", number)
    if params.wait is None or not 0 <= params.wait <= LONGEST_WAIT:
        raise BadCall(PARAMS, "wait: a number of milliseconds was expected", number)
    if not 0 <= params.cost <= MOST_COST:
        raise BadCall(PARAMS, "cost: a number was expected", number)
    if not decoded(params.blob, BODY):
        raise BadCall(PARAMS, f"blob: base64 of at most {BODY} bytes was expected", number)
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


def decoded(text: str, most: int) -> bool:
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
        if not 0 <= figure <= MOST_MB:
            raise BadCall(PARAMS, f"props: {name[:20]!r} is no number that is taken", number)
        if name == "lanes":
            lanes = figure
        elif name == "memory_mb":
            memory_mb = figure
    if not 1 <= lanes <= MOST_LANES:
        raise BadCall(PARAMS, f"props: lanes from 1 to {MOST_LANES} were expected", number)
    return int(lanes), memory_mb


class _Numbered(msgspec.Struct):
    id: Any = None


def _bad(message: bytes, detail: str) -> BadCall:
    """Why it could not be read, under its own number if at least that can be."""
    try:
        number = msgspec.json.decode(message, type=_Numbered).id
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return BadCall(PARSE, "not JSON")
    usable = type(number) is int and 0 < number < 1 << 53
    return BadCall(PARAMS, detail[:200], number) if usable else BadCall(INVALID, detail[:200])


def unread(message: bytes) -> BadCall:
    """For a message that a fault of ours kept from being read: nothing was done for it, it may come again."""
    return BadCall(TURNED_BACK, "a fault of the dispatcher", _bad(message, "").number)


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
