"""What the platform tells a dispatcher at its start and at each SIGHUP."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from martenlead.edge.records import DispatcherSettings
from martenlead.node.journal import InitialMembership, JournalTables
from martenlead.simulator_adapter.settings import Profile, SettingsError, seconds_to_ns
from martenlead.upstream.endpoints import EndpointUpdate

FUNCTIONS_PER_MB = 20  # models known at once: some KB each, with their copies


class ConfigError(Exception):
    """Nothing can be served with it."""


class Limits(msgspec.Struct):
    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(gt=0, le=1e9)] = 192.0
    sockets: Annotated[int, Meta(gt=0)] = 1024


class ConfigFile(msgspec.Struct):
    name: str
    listen: str
    journal: str
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: InitialMembership = msgspec.field(default_factory=InitialMembership)
    settings: dict[str, Any] = {}


def parse_address(text: str) -> tuple[str, int]:
    """Raises BadConfig."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{text[:80]!r} is no address")
    return host, int(port)


@dataclass(slots=True)
class ConnectionSettings:
    """What the settings say of connections to runners. Times are ns."""

    calls_per_connection: int
    connect_timeout_ns: int
    idle_timeout_ns: int
    load_timeout_ns: int


@dataclass(slots=True)
class NodeConfig:
    listen_address: tuple[str, int]
    journal_address: tuple[str, int]
    limits: Limits
    initial_updates: list[EndpointUpdate]
    dispatcher_settings: DispatcherSettings
    tables: JournalTables
    connection_settings: ConnectionSettings


def read_config(path: Path) -> NodeConfig:
    """Raises BadConfig."""
    try:
        file = msgspec.json.decode(path.read_bytes(), type=ConfigFile)
        profile = Profile(file.settings)
        allowed = profile.decoded.allowed
        if len(profile.deadlines_ns) < len(profile.request_classes):
            raise SettingsError("a class has no give-up")
        places = JournalTables(
            profile.decoded.azs or [],
            profile.machine_kinds,
            profile.memory_mb_by_kind,
            profile.has_silent_weights,
        )
        about = DispatcherSettings(
            name=file.name,
            seed=int(file.seed, 16),
            policy_settings=profile.settings,
            request_classes=profile.request_classes,
            tenants=profile.tenants,
            deadlines_ns=profile.deadlines_ns,
            deadline_margin_ns=0,
            function_limit=max(100, int(file.limits.memory_mb * FUNCTIONS_PER_MB)),
        )
        conn = ConnectionSettings(
            allowed.streams_per_conn or 1,
            seconds_to_ns(allowed.connect_timeout or 0.25),
            seconds_to_ns(allowed.conn_idle or 30.0),
            seconds_to_ns(profile.load_timeout_seconds or 10.0),
        )
        known = file.known.to_updates(places)
        return NodeConfig(
            parse_address(file.listen), parse_address(file.journal), file.limits, known, about, places, conn
        )
    except (OSError, ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise ConfigError(f"{type(error).__name__}: {error}"[:300]) from None
