"""Frames of the link between an edge and its planner: lengths, checksums, versions, messages.

A frame is a length (4 bytes, big endian), the CRC-32 of the payload (4 bytes) and the payload: one
message in MessagePack. A message is an array whose first element is its tag number; field names are
not sent. docs/protocol-plan.md describes every message. The module does no I/O.
"""

from __future__ import annotations

from typing import NamedTuple
from zlib import crc32

import msgspec

from martenlead.capture import events as ev
from martenlead.system.decode_errors import DECODE_ERRORS

LOWEST_VERSION = 1
HIGHEST_VERSION = 2
RESTORE_VERSION = 2  # first version with `RestoreReplicas`
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024
LENGTH_BYTES = 4
HEADER_BYTES = 8  # length and checksum


class FrameError(Exception):
    """The received bytes are not a frame of this protocol; the message gives the reason."""


class PlannedLoad(NamedTuple):
    """A load request of a planner; `number` is assigned by the planner."""

    number: int
    worker: int
    function: int


class RetentionChange(NamedTuple):
    """A replica that is retained or released from now on."""

    worker: int
    function: int
    is_retained: bool


class RetainedReplica(NamedTuple):
    """A replica that an earlier incarnation of an edge retained, identified by names."""

    worker: str
    function: str
    lanes: int
    memory_mb: float
    idle_ms: float


class Message(msgspec.Struct, array_like=True, tag_field="k", frozen=True):
    """The base of all messages."""


class Hello(Message, frozen=True, tag=0):
    """The edge's first message.

    `incarnation` identifies the run of its process, `policy_hash` the source code of its policy.
    """

    lowest_version: int
    highest_version: int
    edge_name: str
    incarnation: str
    policy_hash: str


class Welcome(Message, frozen=True, tag=1):
    """The planner's answer to `Hello`.

    `last_sequence` is the sequence number of the last events that it received from this incarnation
    of the edge, -1 for none.
    """

    version: int
    planner_name: str
    incarnation: str
    last_sequence: int


class Lease(Message, frozen=True, tag=2):
    """From the edge: it executes load requests of this epoch until the lease expires.

    Each `Heartbeat` renews the lease for `duration_ms`. If it is resumed, events continue after the
    last ones that the planner has; otherwise a `Snapshot` is sent first.
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
    """From the edge: inputs and decisions of its policy since the previous events.

    An empty list is a keep-alive message.
    """

    sequence: int
    edge_time_ns: int
    events: list[ev.AnyEvent]


class Heartbeat(Message, frozen=True, tag=5):
    """From the planner: it is alive and has received the events up to `sequence`."""

    epoch: int
    sequence: int


class PlanUpdate(Message, frozen=True, tag=6):
    """From the planner: its decisions, based on the events up to `sequence`.

    If the update is complete, `retained` lists every retained replica.
    """

    epoch: int
    sequence: int
    load_requests: list[PlannedLoad]
    retained: list[RetentionChange]
    is_complete: bool = False


class ResyncRequest(Message, frozen=True, tag=7):
    """From the planner: it lacks events or is out of sync and needs a new `Snapshot`."""

    reason: str


class RestoreReplicas(Message, frozen=True, tag=8):
    """From the planner, to an edge that has just started: replicas retained by its predecessor."""

    epoch: int
    replicas: list[RetainedReplica]


class LinkRefused(Message, frozen=True, tag=9):
    """From either end, as its last message: the reason why it ends the link."""

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
    """Returns the frame of a message."""
    payload = _encode(message)
    length = len(payload).to_bytes(LENGTH_BYTES, "big")
    return length + crc32(payload).to_bytes(HEADER_BYTES - LENGTH_BYTES, "big") + payload


class FrameReader:
    """Decodes the byte stream of one connection into messages.

    The first payload may have `first_payload_bytes`, all others `max_payload_bytes`.
    """

    def __init__(
        self,
        max_payload_bytes: int = MAX_PAYLOAD_BYTES,
        first_payload_bytes: int | None = None,
    ) -> None:
        self.max_payload_bytes = max_payload_bytes
        self._allowed_bytes = first_payload_bytes or max_payload_bytes  # of the next payload
        self._unread = bytearray()

    @property
    def unread_bytes(self) -> int:
        """The size of what has come of an incomplete frame."""
        return len(self._unread)

    def feed(self, data: bytes) -> list[AnyMessage]:
        """Returns the messages that are completed by these bytes.

        Raises:
            FrameError: the stream is invalid and cannot be read any further.
        """
        self._unread += data
        messages: list[AnyMessage] = []
        while (payload := self._next_payload()) is not None:
            try:
                messages.append(_decode(payload))
            except (*DECODE_ERRORS, ValueError) as error:
                reason = f"not a message of this protocol: {error}"
                raise FrameError(reason) from None
        return messages

    def _next_payload(self) -> bytes | None:
        if len(self._unread) < HEADER_BYTES:
            return None
        size = int.from_bytes(self._unread[:LENGTH_BYTES], "big")
        if size > self._allowed_bytes:
            reason = f"payload of {size} bytes, at most {self._allowed_bytes} are allowed"
            raise FrameError(reason)
        end = HEADER_BYTES + size
        if len(self._unread) < end:
            return None
        payload = bytes(self._unread[HEADER_BYTES:end])
        if crc32(payload) != int.from_bytes(self._unread[LENGTH_BYTES:HEADER_BYTES], "big"):
            reason = "frame checksum mismatch"
            raise FrameError(reason)
        del self._unread[:end]
        self._allowed_bytes = self.max_payload_bytes
        return payload
