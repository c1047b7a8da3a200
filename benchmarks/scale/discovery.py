"""Encodes what discovery and configuration send to a dispatcher, as on the wire.

The frames are those that `martenlead.node.journal` reads: a big-endian head (length, event number, kind) and
records of 27 bytes. The service that sends them is not part of the project; only its bytes are counted here.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum
from ipaddress import IPv4Address
from typing import Any

import msgspec

from benchmarks.scale.sizes import Assumptions, FleetSize

_HEAD = struct.Struct(">IQB")
_RECORD = struct.Struct(">IIHBBBHIQ")
FIRST_ADDRESS = int(IPv4Address("10.0.0.0"))
WORKER_PORT = 7_000
WEIGHT_THOUSANDTHS = 10_000
FUNCTION_MEMORY_MB = 1_000.0
REQUEST_CLASS = "read"


class EventKind(IntEnum):
    """Values of the kind byte of an event."""

    HEARTBEAT = 0
    SNAPSHOT = 1
    DELTA = 2


class WorkerState(IntEnum):
    """Values of the state byte of a record."""

    UP = 0
    DRAINING = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class Member:
    """A worker as discovery lists it. `started_ms` is a Unix time; 0 stands for a start long ago."""

    number: int
    zone: int
    state: WorkerState = WorkerState.UP
    started_ms: int = 0
    weight_thousandths: int = WEIGHT_THOUSANDTHS

    def record(self) -> bytes:
        """Encodes the worker as a record of 27 bytes."""
        address = FIRST_ADDRESS + self.number
        return _RECORD.pack(
            self.number,
            address,
            WORKER_PORT,
            self.state,
            self.zone,
            0,
            self.number % 64,
            self.weight_thousandths,
            self.started_ms,
        )


def members(size: FleetSize) -> list[Member]:
    """Returns all workers of a fleet, spread evenly over the zones."""
    return [Member(number, number % size.zones) for number in range(size.workers)]


def frame(number: int, kind: EventKind, listed: list[Member]) -> bytes:
    """Encodes one event of the membership stream."""
    body = b"".join(member.record() for member in listed)
    return _HEAD.pack(_HEAD.size - 4 + len(body), number, kind) + body


def zone_names(size: FleetSize) -> list[str]:
    """Returns the names of all zones, which are spread over the regions."""
    return [f"region{number % size.regions}-zone{number}" for number in range(size.zones)]


def settings(size: FleetSize, assumptions: Assumptions) -> dict[str, Any]:
    """Returns the settings section of a dispatcher's configuration file."""
    return {
        "balancers": size.dispatchers,
        "granularity": 0.001,
        "azs": zone_names(size),
        "skus": ["standard"],
        "weights": "nominal",
        "allowed": {
            "attempts-cap": 4,
            "cancel": True,
            "may-duplicate": False,
            "retry-after": True,
            "max-retry-after": 2.0,
            "connect-timeout": 0.25,
            "conn-idle": 30.0,
            "streams-per-conn": 32,
        },
        "rules": {"cold-from": 0.2, "cold": 10.0, "fall-multiple": 2.5},
        "family-info": {
            "if-cold": "load",
            "kind-memory-mb": [size.instances_per_worker * FUNCTION_MEMORY_MB],
            "linger-idle": assumptions.keep_alive,
            "tells-warm": True,
            "placement-calls": True,
            "load-period": 10.0,
            "loads-anyway": 5.0,
            "loads-per-request": 0.2,
        },
        "classes": [{"name": REQUEST_CLASS, "effect": "read_like", "on-time": 2.0, "give-up": 10.0}],
    }


def configuration(
    size: FleetSize, assumptions: Assumptions, name: str, seed: int, listed: list[Member]
) -> bytes:
    """Returns a dispatcher's configuration file with the complete list of workers."""
    zones = zone_names(size)
    known = [
        {
            "id": f"s-{member.number:08x}",
            "host_port": f"{IPv4Address(FIRST_ADDRESS + member.number)}:{WORKER_PORT}",
            "locality": zones[member.zone],
            "flavor": "standard",
            "cell": member.number % 64,
            "size": member.weight_thousandths / 1000,
            "up_since_ms": member.started_ms,
        }
        for member in listed
    ]
    return msgspec.json.encode(
        {
            "name": name,
            "listen": "127.0.0.1:0",
            "journal": "127.0.0.1:1",
            "seed": f"{seed:x}",
            "limits": {"memory_mb": assumptions.dispatcher_memory_limit_mb},
            "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"members": known, "complete": True}}]},
            "settings": settings(size, assumptions),
        }
    )
