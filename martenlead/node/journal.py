"""Events of the journal service: frames of binary records, and the same events as JSON.

This codec does no I/O. A frame is a big-endian length, an event number and a kind, and a record for
each worker. The structs of the configuration's `known` have the field names of the file.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum
from socket import inet_ntoa
from typing import Any

import msgspec

from martenlead.upstream.endpoints import Endpoint, EndpointUpdate

EVENT_NUMBER = struct.Struct(">Q")  # what a subscriber sends: the last event that it has
WORKER_STATES = ("up", "draining", "gone")  # by their numbers in records
STATE_BY_PHASE = {"in_service": "up", "terminating": "draining", "terminated": "gone"}

_LENGTH_BYTES = 4
_HEAD = struct.Struct(">IQB")  # length, event number, kind
_RECORD = struct.Struct(">I4sHBBBHIQ")
_LEAST_LENGTH = _HEAD.size - _LENGTH_BYTES  # of a frame without records
_RECORDS_LIMIT = 20_000
FRAME_BYTES_LIMIT = _LEAST_LENGTH + _RECORD.size * _RECORDS_LIMIT


class EventKind(IntEnum):
    """What an event is, by its number on the wire."""

    HEARTBEAT = 0
    SNAPSHOT = 1
    DELTA = 2


class JournalFrameError(Exception):
    """The stream cannot be read on from here."""


@dataclass(slots=True)
class JournalTables:
    """The lists of the settings that records point into, and the memory by kind of machine.

    Where `hides_weights`, the weights of workers are not said.
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
        state: Any,  # noqa: ANN401 - one of `WORKER_STATES`, which a table gives as a string
        started_unix_ms: int,
    ) -> Endpoint:
        """Makes an endpoint with the worker's start as its incarnation.

        The start is by the clock of the source, 0 for long past; `worker_age.WorkerAges` makes an
        age of it.
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
    """Splits received bytes into updates; a heartbeat is an update without endpoints."""

    def __init__(self, tables: JournalTables) -> None:
        self.tables = tables
        self._buffer = b""

    def feed(self, data: bytes) -> list[EndpointUpdate]:
        """Returns the updates that are complete now.

        Raises:
            JournalFrameError: what follows cannot be read.
        """
        buffer, start = self._buffer + data, 0
        updates: list[EndpointUpdate] = []
        while len(buffer) - start >= _LENGTH_BYTES:
            length = int.from_bytes(buffer[start : start + _LENGTH_BYTES], "big")
            if not _LEAST_LENGTH <= length <= FRAME_BYTES_LIMIT:
                detail = f"a frame of {length} bytes"
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
            detail = "an event that is none"
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
            detail = "a record that is none"
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
        """Returns the endpoint that a record would give."""
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
        """Returns the update that a frame would give."""
        if self.hosts is None:
            return EndpointUpdate(self.pos, endpoints=[])
        endpoints = [member.to_endpoint(tables) for member in self.hosts.members]
        return EndpointUpdate(self.pos, self.hosts.complete, endpoints)


class InitialMembership(msgspec.Struct):
    """`known` of the configuration: events up to the start of this process."""

    pos: int = 0
    entries: list[_Entry] = []

    def to_updates(self, tables: JournalTables) -> list[EndpointUpdate]:
        """Returns the events as the journal service's frames would give them."""
        return [entry.to_update(tables) for entry in self.entries]
