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


class Line(msgspec.Struct, omit_defaults=True):
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
    start: str = ""
    age_ms: float | None = None
    layers: int = 0


class News(msgspec.Struct, omit_defaults=True):
    version: int
    whole: bool = False
    runners: list[Line] | None = None


class Kept(msgspec.Struct):
    """The list as it lies on disk, with the time of its writing: by the wall clock (s), for people, and by
    the boot clock (`uptime`, ns, of the machine's start `boot`). Older files have no boot clock."""

    version: int
    saved: float
    runners: list[Line]
    boot: str = ""
    uptime: int = 0


decode = msgspec.json.Decoder(News).decode
encode = msgspec.json.encode


class Gap(Exception):
    """A version is missing: the whole list has to be asked for."""


class List:
    """The list of one subscriber, from the news that it is told in order."""

    def __init__(self) -> None:
        self.version = 0
        self.lines: dict[str, Line] = {}

    def told(self, news: News) -> bool:
        """Takes news in; true where there is something to tell on. Raises `Gap` for one missed version or
        more."""
        if news.runners is None:
            if news.version != self.version:
                raise Gap(f"at {self.version}, the roster is at {news.version}")
            return False
        if news.whole:
            self.lines = {line.id: line for line in news.runners if line.state != "gone"}
        else:
            if news.version != self.version + 1:
                raise Gap(f"at {self.version}, told of {news.version}")
            for line in news.runners:
                if line.state == "gone":
                    self.lines.pop(line.id, None)
                else:
                    self.lines[line.id] = line
        self.version = news.version
        return True


def keep(path: Path, kept: Kept) -> None:
    """Durable when it returns. Raises OSError."""
    replace_file(path, encode(kept))


def dated(version: int, runners: list[Line]) -> Kept:
    """A list to be kept, as of now."""
    now = clocks.moment()
    return Kept(version, now.wall / 1e9, runners, now.boot, now.uptime)


def kept(path: Path) -> Kept | None:
    """The list that an earlier life kept, its ages grown by the time that has certainly passed since; None
    where there is none, or what is there is no list. The wall clock has no part in it: a step forward would
    make workers that have just started look warm. A worker that is taken for younger than it is has its share
    a slow start later at most. Raises OSError for a file that cannot be read now."""
    try:
        found = msgspec.json.decode(path.read_bytes(), type=Kept)
    except (FileNotFoundError, msgspec.DecodeError):
        return None
    saved = Moment(round(found.saved * 1e9), found.boot, found.uptime)
    passed = clocks.certainly_passed(saved, clocks.moment()) / 1e6
    for line in found.runners:
        if line.age_ms is not None:
            line.age_ms += passed
    return found
