"""Codec of the journal service's events: binary frames, and the same events as JSON.

The codec does no I/O. A frame consists of a big-endian length, an event number, a kind and one
record per worker. The structs of the configuration's `known` use the field names of the file.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum
from socket import inet_ntoa
from typing import Any

import msgspec

from martenlead.upstream.endpoints import Endpoint, EndpointUpdate

EVENT_NUMBER = struct.Struct(">Q")  # sent by a subscriber: the last event that it has
WORKER_STATES = ("up", "draining", "gone")  # indexed by the state number of a record
STATE_BY_PHASE = {"in_service": "up", "terminating": "draining", "terminated": "gone"}

_LENGTH_BYTES = 4
_HEAD = struct.Struct(">IQB")  # length, event number, kind
_RECORD = struct.Struct(">I4sHBBBHIQ")
_LEAST_LENGTH = _HEAD.size - _LENGTH_BYTES  # length field of a frame without records
_RECORDS_LIMIT = 20_000
FRAME_BYTES_LIMIT = _LEAST_LENGTH + _RECORD.size * _RECORDS_LIMIT


class EventKind(IntEnum):
    """Kinds of events, by their numbers on the wire."""

    HEARTBEAT = 0
    SNAPSHOT = 1
    DELTA = 2


class JournalFrameError(Exception):
    """A frame is invalid, so the rest of the stream cannot be decoded."""


@dataclass(slots=True)
class JournalTables:
    """The zones and machine kinds that records index, and the memory of each kind.

    With `hides_weights`, the weights of workers are not known and become 0.
    """

    zones: list[str]
    kinds: list[str]
    memory_mb: dict[str, float]
    hides_weights: bool

    def make_endpoint(
        self,
        worker_id: str,
        host: str,
        port: int,
        zone: str,
        kind: str,
        cell: int,
        weight: float,
        state: Any,  # noqa: ANN401 - one of `WORKER_STATES`, typed as a plain string
        started_unix_ms: int,
    ) -> Endpoint:
        """Returns an endpoint whose incarnation is the start time of the worker.

        The start time is by the clock of the source, 0 for long past; `worker_age.WorkerAges`
        computes an age from it.
        """
        return Endpoint(
            id=worker_id,
            host=host,
            port=port,
            zone=zone,
            cell=cell,
            kind=kind,
            memory_mb=self.memory_mb.get(kind, 1.0),
            weight=0.0 if self.hides_weights else weight,
            state=state,
            incarnation=str(started_unix_ms),
        )


class FrameDecoder:
    """Decodes received bytes into updates; a heartbeat is an update without endpoints."""

    def __init__(self, tables: JournalTables) -> None:
        self.tables = tables
        self._buffer = b""

    def feed(self, data: bytes) -> list[EndpointUpdate]:
        """Adds received bytes, and returns the updates that are now complete.

        Raises:
            JournalFrameError: a frame is invalid.
        """
        buffer, start = self._buffer + data, 0
        updates: list[EndpointUpdate] = []
        while len(buffer) - start >= _LENGTH_BYTES:
            length = int.from_bytes(buffer[start : start + _LENGTH_BYTES], "big")
            if not _LEAST_LENGTH <= length <= FRAME_BYTES_LIMIT:
                detail = f"invalid frame length: {length} bytes"
                raise JournalFrameError(detail)
            end = start + _LENGTH_BYTES + length
            if len(buffer) < end:
                break
            updates.append(self._parse_frame(buffer[start:end]))
            start = end
        self._buffer = buffer[start:]
        return updates

    def _parse_frame(self, frame: bytes) -> EndpointUpdate:
        _, number, kind = _HEAD.unpack_from(frame)
        if kind == EventKind.HEARTBEAT:
            return EndpointUpdate(number)
        is_known = kind in (EventKind.SNAPSHOT, EventKind.DELTA)
        if not is_known or (len(frame) - _HEAD.size) % _RECORD.size:
            detail = "event of unknown kind or with an incomplete record"
            raise JournalFrameError(detail)
        endpoints = [
            self._parse_record(*record) for record in _RECORD.iter_unpack(frame[_HEAD.size :])
        ]
        return EndpointUpdate(number, kind == EventKind.SNAPSHOT, endpoints)

    def _parse_record(
        self,
        worker_number: int,
        address: bytes,
        port: int,
        state: int,
        zone: int,
        kind: int,
        cell: int,
        weight_thousandths: int,
        started_unix_ms: int,
    ) -> Endpoint:
        tables = self.tables
        is_state = state < len(WORKER_STATES)
        if not is_state or zone >= len(tables.zones) or kind >= len(tables.kinds):
            detail = "record with an unknown state, zone or machine kind"
            raise JournalFrameError(detail)
        return tables.make_endpoint(
            f"s-{worker_number:08x}",
            inet_ntoa(address),
            port,
            tables.zones[zone],
            tables.kinds[kind],
            cell,
            weight_thousandths / 1000,
            WORKER_STATES[state],
            started_unix_ms,
        )


class _Member(msgspec.Struct):
    id: str
    host_port: str
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    phase: str = "in_service"
    size: float = 0.0
    up_since_ms: int = 0

    def to_endpoint(self, tables: JournalTables) -> Endpoint:
        """Returns the same endpoint as a binary record of this member."""
        host, _, port = self.host_port.rpartition(":")
        return tables.make_endpoint(
            self.id,
            host,
            int(port),
            self.locality,
            self.flavor,
            self.cell,
            self.size,
            STATE_BY_PHASE.get(self.phase, "up"),
            self.up_since_ms,
        )


class _Hosts(msgspec.Struct):
    members: list[_Member]
    complete: bool = False


class _Entry(msgspec.Struct):
    pos: int
    hosts: _Hosts | None = None

    def to_update(self, tables: JournalTables) -> EndpointUpdate:
        """Returns the same update as a binary frame of this event."""
        if self.hosts is None:
            return EndpointUpdate(self.pos, endpoints=[])
        endpoints = [member.to_endpoint(tables) for member in self.hosts.members]
        return EndpointUpdate(self.pos, self.hosts.complete, endpoints)


class InitialMembership(msgspec.Struct):
    """The configuration's `known`: events up to the start of this process."""

    pos: int = 0
    entries: list[_Entry] = []

    def to_updates(self, tables: JournalTables) -> list[EndpointUpdate]:
        """Returns the same updates as the journal service's frames of these events."""
        return [entry.to_update(tables) for entry in self.entries]
