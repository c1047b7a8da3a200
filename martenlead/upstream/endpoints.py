"""The endpoint list that discovery streams: JSON format, state of a subscriber, and cache file.

The response to `GET /roster?after=N` is a stream of JSON objects, one per line. Each line holds a
`version`. With `whole` it is a snapshot of the list, otherwise a delta to the preceding version. A
line without `runners` is a heartbeat. A subscriber that has missed a version resyncs: it requests
the stream after 0 and gets a snapshot.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

from martenlead.system import clocks
from martenlead.system.clocks import Moment
from martenlead.system.durable_file import replace_file


class Endpoint(msgspec.Struct, omit_defaults=True):
    """One worker as discovery lists it.

    `incarnation` identifies the current run of its process. `age_ms` is the age of that run when
    the line was written; without it, the run started long ago. An age is used instead of a start
    time because the clocks of two machines differ. `agent_port` is the port of the layers agent on
    the worker's machine, 0 if there is none.
    """

    id: str
    host: str = "127.0.0.1"
    port: int = 0
    zone: str = ""
    cell: int = 0
    kind: str = ""
    memory_mb: float = 0.0
    weight: float = 0.0
    state: Literal["up", "draining", "gone"] = "up"
    incarnation: str = msgspec.field(default="", name="start")
    age_ms: float | None = None
    agent_port: int = msgspec.field(default=0, name="layers")


class EndpointUpdate(msgspec.Struct, omit_defaults=True):
    """One line of the stream: a snapshot, a delta or, without endpoints, a heartbeat."""

    version: int
    is_snapshot: bool = msgspec.field(default=False, name="whole")
    endpoints: list[Endpoint] | None = msgspec.field(default=None, name="runners")


class CachedEndpoints(msgspec.Struct):
    """The list as cached on disk, with the time of writing by two clocks.

    The wall clock's time is for people. Ages are computed with the boot clock, which had counted
    `uptime_ns` since the boot with ID `boot_id`. Files of earlier versions have no boot clock.
    """

    version: int
    saved_seconds: float = msgspec.field(name="saved")
    endpoints: list[Endpoint] = msgspec.field(name="runners")
    boot_id: str = msgspec.field(default="", name="boot")
    uptime_ns: int = msgspec.field(default=0, name="uptime")


decode_update = msgspec.json.Decoder(EndpointUpdate).decode
encode = msgspec.json.encode


class MissingVersionError(Exception):
    """An update does not follow the subscriber's version, so the subscriber needs a snapshot."""


class EndpointList:
    """The endpoint list of one subscriber, built from the updates in their order."""

    def __init__(self) -> None:
        self.version = 0
        self.endpoints: dict[str, Endpoint] = {}

    def apply(self, update: EndpointUpdate) -> bool:
        """Applies an update; returns whether it holds endpoints.

        Raises:
            MissingVersionError: One or more versions before this one were missed.
        """
        if update.endpoints is None:
            if update.version != self.version:
                gap = f"at version {self.version}, the endpoint list is at {update.version}"
                raise MissingVersionError(gap)
            return False
        if update.is_snapshot:
            self.endpoints = {one.id: one for one in update.endpoints if one.state != "gone"}
        else:
            if update.version != self.version + 1:
                gap = f"at version {self.version}, received version {update.version}"
                raise MissingVersionError(gap)
            self._apply_delta(update.endpoints)
        self.version = update.version
        return True

    def _apply_delta(self, changed: list[Endpoint]) -> None:
        for endpoint in changed:
            if endpoint.state == "gone":
                self.endpoints.pop(endpoint.id, None)
            else:
                self.endpoints[endpoint.id] = endpoint


def make_cached_endpoints(version: int, endpoints: list[Endpoint]) -> CachedEndpoints:
    """Returns the list with the present time of both clocks, to be saved."""
    now = clocks.moment()
    return CachedEndpoints(version, now.wall / 1e9, endpoints, now.boot, now.uptime)


def save_cached_endpoints(path: Path, cached: CachedEndpoints) -> None:
    """Writes the list to disk; it is durable on return. Raises OSError."""
    replace_file(path, encode(cached))


def load_cached_endpoints(path: Path) -> CachedEndpoints | None:
    """Reads the list that an earlier run saved, and adds the time since then to the ages.

    Returns None if there is no file, or it holds no list. Only time that has certainly passed is
    added, so the wall clock is not used: a step forward would make new workers look warm. An age
    that is too low costs a worker one slow start at most. Raises OSError for a file that cannot
    be read now.
    """
    try:
        cached = msgspec.json.decode(path.read_bytes(), type=CachedEndpoints)
    except (FileNotFoundError, msgspec.DecodeError):
        return None
    saved = Moment(round(cached.saved_seconds * 1e9), cached.boot_id, cached.uptime_ns)
    passed_ms = clocks.certainly_passed(saved, clocks.moment()) / 1e6
    for endpoint in cached.endpoints:
        if endpoint.age_ms is not None:
            endpoint.age_ms += passed_ms
    return cached
