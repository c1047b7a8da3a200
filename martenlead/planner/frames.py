"""Frames of the link between an edge and its planner: lengths, checksums, versions. No I/O, no decisions.

A frame is a length (4 bytes, big endian), the CRC-32 of the payload (4 bytes) and the payload: one message in
MessagePack. docs/protocol-plan.md has every message.
"""

from __future__ import annotations

from typing import Any
from zlib import crc32

import msgspec

from martenlead.capture import events as ev

LOWEST_VERSION, HIGHEST_VERSION = 1, 2  # versions that this program speaks; 2 has `Recall`
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024
HEADER_BYTES = 8


class FrameError(Exception):
    """What came is no frame of this protocol; says why."""


class Message(msgspec.Struct, array_like=True, tag_field="k", frozen=True):
    """Anything that is framed."""


class Hello(Message, frozen=True, tag=0):
    """The edge's first. `life` names this life of its process, `module` the text of its decisions."""

    lowest_version: int
    highest_version: int
    edge_name: str
    incarnation: str
    policy_hash: str


class Welcome(Message, frozen=True, tag=1):
    """The planner's answer. `last` is the number of the last events of this life of the edge that it has, -1
    for none."""

    version: int
    planner_name: str
    incarnation: str
    last_sequence: int


class Lease(Message, frozen=True, tag=2):
    """From the edge: until it says otherwise, orders of this epoch are carried out. It holds for `for_ms`
    after each `Beat`. With `resumes` events go on where the planner has them until, else a `Snapshot` comes
    first."""

    epoch: int
    duration_ms: float
    is_resumed: bool = False


class Snapshot(Message, frozen=True, tag=3):
    """All that the edge's module knows, as of after the events numbered `seq`."""

    sequence: int
    edge_time_ns: int
    state: dict[str, Any]


class Events(Message, frozen=True, tag=4):
    """What the edge's module was told and decided since the events before; none keeps the link alive. `t` is
    the edge's clock."""

    sequence: int
    edge_time_ns: int
    events: list[ev.AnyEvent]


class Heartbeat(Message, frozen=True, tag=5):
    """From the planner: it lives, and has the events up to `seq`."""

    epoch: int
    sequence: int


class PlanUpdate(Message, frozen=True, tag=6):
    """From the planner, on the events up to `seq`: orders by the planner's numbers, and which copies are held
    from now on and which no longer. With `whole` all that are held are named."""

    epoch: int
    sequence: int
    load_requests: list[tuple[int, int, int]]  # number, runner, model
    retained: list[tuple[int, int, bool]]  # runner, model
    is_complete: bool = False


class ResyncRequest(Message, frozen=True, tag=7):
    """From the planner: events are missing, send all that is known."""

    reason: str


RetainedReplica = tuple[str, str, int, float, float]


class RestoreReplicas(Message, frozen=True, tag=8):
    """From the planner, to an edge that has just started: copies that it held in its life before, to be asked
    for. Runner, model, lanes, memory_mb, ms since they were last used."""

    epoch: int
    replicas: list[RetainedReplica]


class LinkRefused(Message, frozen=True, tag=9):
    """Either's last: why it goes on with this link no further."""

    reason: str


AnyMessage = (
    Hello
    | Welcome
    | Lease
    | Snapshot
    | Events
    | Heartbeat
    | PlanUpdate
    | ResyncRequest
    | RestoreReplicas
    | LinkRefused
)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(AnyMessage).decode


def encode_frame(message: Message) -> bytes:
    payload = _encode(message)
    return len(payload).to_bytes(4, "big") + crc32(payload).to_bytes(4, "big") + payload


def choose_version(least: int, most: int) -> int | None:
    """The version to be spoken with one that speaks from `least` to `most`; None where there is none."""
    version = min(most, HIGHEST_VERSION)
    return version if version >= max(least, LOWEST_VERSION) else None


class FrameReader:
    """Bytes in, messages out."""

    def __init__(self, longest: int = MAX_PAYLOAD_BYTES) -> None:
        self.longest = longest
        self._left = bytearray()

    def feed(self, data: bytes) -> list[AnyMessage]:
        """Raises `BadFrame`; nothing more is to be read then."""
        self._left += data
        found: list[AnyMessage] = []
        while len(self._left) >= HEADER_BYTES:
            size = int.from_bytes(self._left[:4], "big")
            if size > self.longest:
                raise FrameError(f"a frame of {size} bytes, {self.longest} at most were expected")
            if len(self._left) < HEADER_BYTES + size:
                break
            payload = bytes(self._left[HEADER_BYTES : HEADER_BYTES + size])
            if crc32(payload) != int.from_bytes(self._left[4:8], "big"):
                raise FrameError("a frame whose checksum is another")
            del self._left[: HEADER_BYTES + size]
            try:
                found.append(_decode(payload))
            except (msgspec.DecodeError, ValueError) as error:
                raise FrameError(f"no message of this protocol: {error}") from None
        return found


__all__ = [
    "AnyMessage",
    "Events",
    "FrameError",
    "FrameReader",
    "Heartbeat",
    "Hello",
    "Lease",
    "LinkRefused",
    "PlanUpdate",
    "RestoreReplicas",
    "ResyncRequest",
    "RetainedReplica",
    "Snapshot",
    "Welcome",
    "choose_version",
    "encode_frame",
]
