"""What the platform tells a dispatcher at its start and at each SIGHUP."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from martenlead.benchlink.settings import BadSettings, Profile, ns
from martenlead.edge.records import About
from martenlead.node.journal import Known, Places
from martenlead.runnerlink.roster import News

MODELS_PER_MB = 20  # models known at once: some KB each, with their copies


class BadConfig(Exception):
    """Nothing can be served with it."""


class Limits(msgspec.Struct):
    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(gt=0, le=1e9)] = 192.0
    sockets: Annotated[int, Meta(gt=0)] = 1024


class File(msgspec.Struct):
    name: str
    listen: str
    journal: str
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: Known = msgspec.field(default_factory=Known)
    settings: dict[str, Any] = {}


def address(text: str) -> tuple[str, int]:
    """Raises BadConfig."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise BadConfig(f"{text[:80]!r} is no address")
    return host, int(port)


@dataclass(slots=True)
class Conn:
    """What the settings say of connections to runners. Times are ns."""

    streams: int
    connect: int
    idle: int
    order: int


@dataclass(slots=True)
class Config:
    listen: tuple[str, int]
    journal: tuple[str, int]
    limits: Limits
    known: list[News]
    about: About
    places: Places
    conn: Conn


def read(path: Path) -> Config:
    """Raises BadConfig."""
    try:
        file = msgspec.json.decode(path.read_bytes(), type=File)
        profile = Profile(file.settings)
        allowed = profile.told.allowed
        if len(profile.hard) < len(profile.offerings):
            raise BadSettings("a class has no give-up")
        places = Places(profile.told.azs or [], profile.kinds, profile.memory, profile.silent_weights)
        about = About(
            name=file.name,
            seed=int(file.seed, 16),
            settings=profile.settings,
            offerings=profile.offerings,
            customers=profile.customers,
            hard=profile.hard,
            margin=0,
            models=max(100, int(file.limits.memory_mb * MODELS_PER_MB)),
        )
        conn = Conn(
            allowed.streams_per_conn or 1,
            ns(allowed.connect_timeout or 0.25),
            ns(allowed.conn_idle or 30.0),
            ns(profile.order_limit or 10.0),
        )
        known = file.known.news(places)
        return Config(address(file.listen), address(file.journal), file.limits, known, about, places, conn)
    except (OSError, ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise BadConfig(f"{type(error).__name__}: {error}"[:300]) from None
