"""What is spoken with runners: one JSON object a line. No I/O; a line's length is bounded."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from martenlead.node.client_protocol import is_base64
from martenlead.policy.types import Result, Warmth

LINE_BYTES_LIMIT = 131_072  # bytes of a line

RESULT_BY_WORD = {
    "DONE": Result.SUCCEEDED,
    "LACK": Result.FUNCTION_MISSING,
    "WAIT": Result.AT_CAPACITY,
    "BROKE": Result.ERROR,
    # its time was over before it was begun, which proves that it did not run and that the runner is alive
    "PAST": Result.AT_CAPACITY,
}
"""Answer words. Ends without one: a connection that never came up is UNREACHED, and a line that was never
written, or for whose connection we lack descriptors, memory or ports, NOT_SENT, both of which prove that
nothing ran; a connection that ended or brought what cannot be read
is BROKEN, one that stayed silent SILENT, and a hand-off taken back CALLED_OFF: all may have run."""

WARMTH_BY_NOTE = {
    "resident": Warmth.WARM,
    "booted": Warmth.STARTED_LOAD,
    "rode": Warmth.AWAITED_LOAD,
    "boot_error": Warmth.LOAD_FAILED,
}


class InvalidLineError(Exception):
    """Nothing on that connection can be trusted any more. `done` came whole before."""

    def __init__(self, detail: str, done: list[bytes]) -> None:
        super().__init__(detail)
        self.complete_lines = done


class LineDecoder:
    """Bytes in, whole lines out."""

    def __init__(self, longest: int = LINE_BYTES_LIMIT) -> None:
        self.longest = longest
        self._held: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Raises BadLine."""
        *done, rest = data.split(b"\n")
        if done and self._held:
            done[0] = b"".join([*self._held, done[0]])
            self._held, self._size = [], 0
        for at, line in enumerate(done):
            if len(line) > self.longest:
                raise InvalidLineError("a line that is too long", done[:at])
        if rest:
            self._held.append(rest)
            self._size += len(rest)
            if self._size > self.longest:
                raise InvalidLineError("a line without an end", done)
        return done


class _Props(msgspec.Struct):
    why: str = ""
    instances: int | float | str = 0


class _Line(msgspec.Struct):
    m: str
    txn: str | int = ""
    props: _Props = msgspec.field(default_factory=_Props)
    raw: str = ""


@dataclass(slots=True)
class WorkerResponse:
    """An answer: its word, under which id, its note, how many copies stand, and the body in base64."""

    word: str
    call_id: str
    note: str
    replicas: int
    body_base64: str


_decode = msgspec.json.Decoder(_Line).decode


def parse_response(line: bytes, body: int) -> WorkerResponse:
    """Raises BadLine for what is no answer at all. Bodies of at most `body` bytes are taken."""
    try:
        told = _decode(line)
        copies = int(float(told.props.instances))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, ValueError, OverflowError) as error:
        raise InvalidLineError(str(error)[:200], []) from None
    if told.m not in RESULT_BY_WORD and told.m != "FIT":
        raise InvalidLineError("an unknown word", [])
    if not is_base64(told.raw, body):
        raise InvalidLineError("a body that is no base64", [])
    return WorkerResponse(told.m, str(told.txn), told.props.why, max(0, copies), told.raw)


def encode_attempt(txn: str, offering: str, model: str, ttl: int, once: str | None, raw: str) -> bytes:
    """Hands a task off. `ttl` in ms. Id, names and body were checked at the door: none needs an escape but
    the offering, which is the settings' own."""
    dedupe = b"" if once is None else b',"dedupe":"%b"' % once.encode()
    return b'{"m":"DO","txn":"%b","props":{"lane":%b,"name":"%b","ttl":%d%b},"raw":"%b"}\n' % (
        txn.encode(),
        msgspec.json.encode(offering),
        model.encode(),
        ttl,
        dedupe,
        raw.encode(),
    )


def encode_cancel(txn: str) -> bytes:
    return b'{"m":"UNDO","txn":"%b"}\n' % txn.encode()


def encode_load_request(txn: str, model: str, copies: int) -> bytes:
    return b'{"m":"PIN","txn":"%b","props":{"name":"%b","instances":%d}}\n' % (
        txn.encode(),
        model.encode(),
        copies,
    )
