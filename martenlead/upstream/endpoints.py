"""The endpoint list that discovery streams: its JSON form, a subscriber's state, the file on disk.

`GET /roster?after=N` is answered with a stream of JSON objects, one a line. A line holds a
`version`. With `whole` it is a snapshot of the list, else a delta to the version before. A line
without `runners` only keeps the stream alive. A subscriber that has missed a version resyncs: it
asks again after 0 and gets a snapshot.
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

    `incarnation` names the present run of its process. `age_ms` is how long that run had lasted
    when the line was written; without it, the run started long ago. It is an age, as the clocks
    of two machines differ. `agent_port` belongs to the layers agent on the worker's machine, 0
    where there is none.
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
    """One line of the stream: a snapshot, a delta, or without endpoints a sign of life."""

    version: int
    is_snapshot: bool = msgspec.field(default=False, name="whole")
    endpoints: list[Endpoint] | None = msgspec.field(default=None, name="runners")


class CachedEndpoints(msgspec.Struct):
    """The list as it is cached on disk, with the time of its writing by two clocks.

    The wall clock's time is for people. Ages are computed with the boot clock: `uptime_ns` since
    the start of the machine that `boot_id` names. Files of earlier versions have no boot clock.
    """

    version: int
    saved_seconds: float = msgspec.field(name="saved")
    endpoints: list[Endpoint] = msgspec.field(name="runners")
    boot_id: str = msgspec.field(default="", name="boot")
    uptime_ns: int = msgspec.field(default=0, name="uptime")


decode_update = msgspec.json.Decoder(EndpointUpdate).decode
encode = msgspec.json.encode


class MissingVersionError(Exception):
    """An update does not follow the version that the subscriber has: it needs a snapshot."""


class EndpointList:
    """The endpoint list of one subscriber, built from the updates in their order."""

    def __init__(self) -> None:
        self.version = 0
        self.endpoints: dict[str, Endpoint] = {}

    def apply(self, update: EndpointUpdate) -> bool:
        """Applies an update; true where it holds endpoints.

        Raises:
            MissingVersionError: One or more versions before this one were missed.
        """
        if update.endpoints is None:
            if update.version != self.version:
                gap = f"at {self.version}, the roster is at {update.version}"
                raise MissingVersionError(gap)
            return False
        if update.is_snapshot:
            self.endpoints = {one.id: one for one in update.endpoints if one.state != "gone"}
        else:
            if update.version != self.version + 1:
                gap = f"at {self.version}, told of {update.version}"
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
    """The list with the present time of both clocks, to be saved."""
    now = clocks.moment()
    return CachedEndpoints(version, now.wall / 1e9, endpoints, now.boot, now.uptime)


def save_cached_endpoints(path: Path, cached: CachedEndpoints) -> None:
    """Writes the list to disk; it is durable on return. Raises OSError."""
    replace_file(path, encode(cached))


def load_cached_endpoints(path: Path) -> CachedEndpoints | None:
    """Reads the list that an earlier run saved, and adds the time since then to the ages.

    None where there is no file, or it holds no list. Only time that has certainly passed is
    added, so the wall clock is not asked: its step forward would make new workers look warm. An
    age that is too low costs a worker one slow start at most. Raises OSError for a file that
    cannot be read now.
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
