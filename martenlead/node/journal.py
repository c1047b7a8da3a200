"""The journal service's events: frames of binary records, and the same events as JSON. No I/O."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from socket import inet_ntoa
from typing import Any

import msgspec

from martenlead.upstream.endpoints import Endpoint, EndpointUpdate

_HEAD = struct.Struct(">IQB")
_RECORD = struct.Struct(">I4sHBBBHIQ")
EVENT_NUMBER = struct.Struct(">Q")
NOTHING, WHOLE, CHANGES = 0, 1, 2
WORKER_STATES = ("up", "draining", "gone")
STATE_BY_PHASE = {"in_service": "up", "terminating": "draining", "terminated": "gone"}
FRAME_BYTES_LIMIT = 9 + 27 * 20_000


class JournalFrameError(Exception):
    """The stream cannot be read on from here."""


@dataclass(slots=True)
class JournalTables:
    """The settings' lists that records point into, and MB by kind. `silent`: weights are not told."""

    zones: list[str]
    kinds: list[str]
    memory_mb: dict[str, float]
    hides_weights: bool

    def make_endpoint(
        self,
        id: str,
        host: str,
        port: int,
        zone: str,
        kind: str,
        cell: int,
        weight: float,
        state: Any,
        started: int,
    ) -> Endpoint:
        """`started` is a Unix ms of the source's clock, 0 for long past; it stands in `start`, and
        `worker_age.WorkerAges` turns it into an age."""
        return Endpoint(
            id=id,
            host=host,
            port=port,
            zone=zone,
            cell=cell,
            kind=kind,
            memory_mb=self.memory_mb.get(kind, 1.0),
            weight=0.0 if self.hides_weights else weight,
            state=state,
            incarnation=str(started),
        )


class FrameDecoder:
    """Bytes in, news out; the empty frame is news without runners."""

    def __init__(self, places: JournalTables) -> None:
        self.tables = places
        self._held = b""

    def feed(self, data: bytes) -> list[EndpointUpdate]:
        """Raises BadFrame."""
        held, at, told = self._held + data, 0, []
        while len(held) - at >= 4:
            length = int.from_bytes(held[at : at + 4], "big")
            if not 9 <= length <= FRAME_BYTES_LIMIT:
                raise JournalFrameError(f"a frame of {length} bytes")
            if len(held) - at - 4 < length:
                break
            told.append(self._read(held[at : at + 4 + length]))
            at += 4 + length
        self._held = held[at:]
        return told

    def _read(self, frame: bytes) -> EndpointUpdate:
        _, number, kind = _HEAD.unpack_from(frame)
        if kind == NOTHING:
            return EndpointUpdate(number)
        if kind not in (WHOLE, CHANGES) or (len(frame) - _HEAD.size) % _RECORD.size:
            raise JournalFrameError("an event that is none")
        lines = []
        places = self.tables
        for id, address, port, state, zone, kind_, cell, weight, started in _RECORD.iter_unpack(
            frame[_HEAD.size :]
        ):
            if state >= len(WORKER_STATES) or zone >= len(places.zones) or kind_ >= len(places.kinds):
                raise JournalFrameError("a record that is none")
            lines.append(
                places.make_endpoint(
                    f"s-{id:08x}",
                    inet_ntoa(address),
                    port,
                    places.zones[zone],
                    places.kinds[kind_],
                    cell,
                    weight / 1000,
                    WORKER_STATES[state],
                    started,
                )
            )
        return EndpointUpdate(number, kind == WHOLE, lines)


class _Member(msgspec.Struct):
    id: str
    host_port: str
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    phase: str = "in_service"
    size: float = 0.0
    up_since_ms: int = 0


class _Hosts(msgspec.Struct):
    members: list[_Member]
    complete: bool = False


class _Entry(msgspec.Struct):
    pos: int
    hosts: _Hosts | None = None


class InitialMembership(msgspec.Struct):
    """`known` of the configuration."""

    pos: int = 0
    entries: list[_Entry] = []

    def to_updates(self, places: JournalTables) -> list[EndpointUpdate]:
        told = []
        for entry in self.entries:
            lines = []
            for m in entry.hosts.members if entry.hosts is not None else ():
                host, _, port = m.host_port.rpartition(":")
                state = STATE_BY_PHASE.get(m.phase, "up")
                lines.append(
                    places.make_endpoint(
                        m.id, host, int(port), m.locality, m.flavor, m.cell, m.size, state, m.up_since_ms
                    )
                )
            told.append(EndpointUpdate(entry.pos, entry.hosts is not None and entry.hosts.complete, lines))
        return told
