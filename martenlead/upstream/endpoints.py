"""The roster's stream: versions, whole lists and changes, one JSON object a line. No decisions.

`GET /roster?after=N` answers with lines that do not end. A line holds `version`; with `whole` it is the full
list, else what changed since the version before. A line without `runners` keeps the stream alive. Whoever
misses a version asks again after 0 and is sent the whole list.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

from martenlead.system import clocks
from martenlead.system.clocks import Moment
from martenlead.system.durable_file import replace_file


class Endpoint(msgspec.Struct, omit_defaults=True):
    """A runner. `start` names this life of its process; `age_ms` is how long that life had lasted when the
    line was written, absent for long past: an age and not a time, since the clocks of two machines differ.
    `layers` is the port of the agent on its box, 0 where there is none."""

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
    version: int
    is_snapshot: bool = msgspec.field(default=False, name="whole")
    endpoints: list[Endpoint] | None = msgspec.field(default=None, name="runners")


class CachedEndpoints(msgspec.Struct):
    """The list as it lies on disk, with the time of its writing: by the wall clock (s), for people, and by
    the boot clock (`uptime`, ns, of the machine's start `boot`). Older files have no boot clock."""

    version: int
    saved_seconds: float = msgspec.field(name="saved")
    endpoints: list[Endpoint] = msgspec.field(name="runners")
    boot_id: str = msgspec.field(default="", name="boot")
    uptime_ns: int = msgspec.field(default=0, name="uptime")


decode_update = msgspec.json.Decoder(EndpointUpdate).decode
encode = msgspec.json.encode


class MissingVersionError(Exception):
    """A version is missing: the whole list has to be asked for."""


class EndpointList:
    """The list of one subscriber, from the news that it is told in order."""

    def __init__(self) -> None:
        self.version = 0
        self.endpoints: dict[str, Endpoint] = {}

    def apply(self, news: EndpointUpdate) -> bool:
        """Takes news in; true where there is something to tell on. Raises `Gap` for one missed version or
        more."""
        if news.endpoints is None:
            if news.version != self.version:
                raise MissingVersionError(f"at {self.version}, the roster is at {news.version}")
            return False
        if news.is_snapshot:
            self.endpoints = {line.id: line for line in news.endpoints if line.state != "gone"}
        else:
            if news.version != self.version + 1:
                raise MissingVersionError(f"at {self.version}, told of {news.version}")
            for line in news.endpoints:
                if line.state == "gone":
                    self.endpoints.pop(line.id, None)
                else:
                    self.endpoints[line.id] = line
        self.version = news.version
        return True


def save_cached_endpoints(path: Path, load_cached_endpoints: CachedEndpoints) -> None:
    """Durable when it returns. Raises OSError."""
    replace_file(path, encode(load_cached_endpoints))


def make_cached_endpoints(version: int, runners: list[Endpoint]) -> CachedEndpoints:
    """A list to be kept, as of now."""
    now = clocks.moment()
    return CachedEndpoints(version, now.wall / 1e9, runners, now.boot, now.uptime)


def load_cached_endpoints(path: Path) -> CachedEndpoints | None:
    """The list that an earlier life kept, its ages grown by the time that has certainly passed since; None
    where there is none, or what is there is no list. The wall clock has no part in it: a step forward would
    make workers that have just started look warm. A worker that is taken for younger than it is has its share
    a slow start later at most. Raises OSError for a file that cannot be read now."""
    try:
        found = msgspec.json.decode(path.read_bytes(), type=CachedEndpoints)
    except (FileNotFoundError, msgspec.DecodeError):
        return None
    saved = Moment(round(found.saved_seconds * 1e9), found.boot_id, found.uptime_ns)
    passed = clocks.certainly_passed(saved, clocks.moment()) / 1e6
    for line in found.endpoints:
        if line.age_ms is not None:
            line.age_ms += passed
    return found
