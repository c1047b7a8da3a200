"""Frames of the link between an edge and its planner: lengths, checksums, versions, messages.

A frame is a length (4 bytes, big endian), the CRC-32 of the payload (4 bytes) and the payload: one
message in MessagePack. A message is an array whose first element is the message's number, so the
names of its fields are not sent. docs/protocol-plan.md describes every message. The module does no
I/O.
"""

from __future__ import annotations

from typing import NamedTuple
from zlib import crc32

import msgspec

from martenlead.capture import events as ev

LOWEST_VERSION = 1
HIGHEST_VERSION = 2
RESTORE_VERSION = 2  # the first version that has `RestoreReplicas`
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024
LENGTH_BYTES = 4
HEADER_BYTES = 8  # length and checksum


class FrameError(Exception):
    """The received bytes are no frame of this protocol; the text says why."""


class PlannedLoad(NamedTuple):
    """A load request that a planner decided on, by the planner's number."""

    number: int
    worker: int
    function: int


class RetentionChange(NamedTuple):
    """Whether a replica is retained from now on."""

    worker: int
    function: int
    is_retained: bool


class RetainedReplica(NamedTuple):
    """A replica that an earlier incarnation of an edge retained, by its names."""

    worker: str
    function: str
    lanes: int
    memory_mb: float
    idle_ms: float


class Message(msgspec.Struct, array_like=True, tag_field="k", frozen=True):
    """The base of all messages."""


class Hello(Message, frozen=True, tag=0):
    """The edge's first message.

    `incarnation` names one run of its process, `policy_hash` the source text of its policy.
    """

    lowest_version: int
    highest_version: int
    edge_name: str
    incarnation: str
    policy_hash: str


class Welcome(Message, frozen=True, tag=1):
    """The planner's answer to `Hello`.

    `last_sequence` is the sequence number of the last events that it has of this incarnation of the
    edge, -1 for none.
    """

    version: int
    planner_name: str
    incarnation: str
    last_sequence: int


class Lease(Message, frozen=True, tag=2):
    """From the edge: it carries out load requests of this epoch until the lease expires.

    The lease lasts `duration_ms` after each `Heartbeat`. If it is resumed, events continue after
    the last ones that the planner has; otherwise a `Snapshot` comes first.
    """

    epoch: int
    duration_ms: float
    is_resumed: bool = False


class Snapshot(Message, frozen=True, tag=3):
    """From the edge: the state of its policy after the events up to `sequence`.

    `state` is an encoded `PolicySnapshot`.
    """

    sequence: int
    edge_time_ns: int
    state: msgspec.Raw


class Events(Message, frozen=True, tag=4):
    """From the edge: what its policy received and decided since the previous events.

    An empty list only keeps the link alive.
    """

    sequence: int
    edge_time_ns: int
    events: list[ev.AnyEvent]


class Heartbeat(Message, frozen=True, tag=5):
    """From the planner: it is alive, and has the events up to `sequence`."""

    epoch: int
    sequence: int


class PlanUpdate(Message, frozen=True, tag=6):
    """From the planner: what it decided from the events up to `sequence`.

    If it is complete, `retained` names every replica that is retained.
    """

    epoch: int
    sequence: int
    load_requests: list[PlannedLoad]
    retained: list[RetentionChange]
    is_complete: bool = False


class ResyncRequest(Message, frozen=True, tag=7):
    """From the planner: events are missing, and a new `Snapshot` is needed."""

    reason: str


class RestoreReplicas(Message, frozen=True, tag=8):
    """From the planner, to an edge that has just started: what its last incarnation retained."""

    epoch: int
    replicas: list[RetainedReplica]


class LinkRefused(Message, frozen=True, tag=9):
    """From either end, its last message: why it ends the link."""

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
    """The frame of a message."""
    payload = _encode(message)
    length = len(payload).to_bytes(LENGTH_BYTES, "big")
    return length + crc32(payload).to_bytes(HEADER_BYTES - LENGTH_BYTES, "big") + payload


class FrameReader:
    """Takes the bytes of one connection and gives its messages."""

    def __init__(self, max_payload_bytes: int = MAX_PAYLOAD_BYTES) -> None:
        self.max_payload_bytes = max_payload_bytes
        self._unread = bytearray()

    def feed(self, data: bytes) -> list[AnyMessage]:
        """The messages that are complete with these bytes.

        Raises:
            FrameError: the connection cannot be read any further.
        """
        self._unread += data
        messages: list[AnyMessage] = []
        while (payload := self._next_payload()) is not None:
            try:
                messages.append(_decode(payload))
            except (msgspec.DecodeError, ValueError) as error:
                reason = f"no message of this protocol: {error}"
                raise FrameError(reason) from None
        return messages

    def _next_payload(self) -> bytes | None:
        if len(self._unread) < HEADER_BYTES:
            return None
        size = int.from_bytes(self._unread[:LENGTH_BYTES], "big")
        if size > self.max_payload_bytes:
            reason = f"a frame of {size} bytes, at most {self.max_payload_bytes} are allowed"
            raise FrameError(reason)
        end = HEADER_BYTES + size
        if len(self._unread) < end:
            return None
        payload = bytes(self._unread[HEADER_BYTES:end])
        if crc32(payload) != int.from_bytes(self._unread[LENGTH_BYTES:HEADER_BYTES], "big"):
            reason = "a frame with a wrong checksum"
            raise FrameError(reason)
        del self._unread[:end]
        return payload
