"""The configuration file of a dispatcher, read at startup and on each SIGHUP."""

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

# Functions tracked per MB of the memory limit; each takes a few KB with its replicas
FUNCTIONS_PER_MB = 20
FUNCTIONS_MINIMUM = 100
PORT_LIMIT = 1 << 16
DEFAULT_CONNECT_TIMEOUT_SECONDS = 0.25
DEFAULT_IDLE_TIMEOUT_SECONDS = 30.0
DEFAULT_LOAD_TIMEOUT_SECONDS = 10.0

_UNUSABLE_FILE_ERRORS = (
    OSError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class ConfigError(Exception):
    """The configuration cannot be used."""


class Limits(msgspec.Struct):
    """Resources that the platform grants the process, under the field names of the file."""

    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(gt=0, le=1e9)] = 192.0
    sockets: Annotated[int, Meta(gt=0)] = 1024


class ConfigFile(msgspec.Struct):
    """The configuration file, under its own field names."""

    name: str
    listen: str
    journal: str
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: InitialMembership = msgspec.field(default_factory=InitialMembership)
    settings: dict[str, Any] = {}  # validated by `Profile`


@dataclass(slots=True)
class ConnectionSettings:
    """Settings of the connections to workers."""

    calls_per_connection: int
    connect_timeout_ns: int
    idle_timeout_ns: int
    load_timeout_ns: int


@dataclass(slots=True)
class NodeConfig:
    """The configuration as the program uses it."""

    listen_address: tuple[str, int]
    journal_address: tuple[str, int]
    limits: Limits
    initial_updates: list[EndpointUpdate]
    dispatcher_settings: DispatcherSettings
    tables: JournalTables
    connection_settings: ConnectionSettings


def parse_address(text: str) -> tuple[str, int]:
    """Parses `host:port`; raises ConfigError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < PORT_LIMIT:
        detail = f"{text[:80]!r} is not a valid host:port address"
        raise ConfigError(detail)
    return host, int(port)


def read_config(path: Path) -> NodeConfig:
    """Reads the configuration file; raises ConfigError."""
    try:
        file = msgspec.json.decode(path.read_bytes(), type=ConfigFile)
        return _build(file, Profile(file.settings))
    except _UNUSABLE_FILE_ERRORS as error:
        detail = f"{type(error).__name__}: {error}"[:300]
        raise ConfigError(detail) from None


def _build(file: ConfigFile, profile: Profile) -> NodeConfig:
    if len(profile.deadlines_ns) < len(profile.request_classes):
        detail = "a class has no give-up"
        raise SettingsError(detail)
    tables = JournalTables(
        profile.decoded.azs or [],
        profile.machine_kinds,
        profile.memory_mb_by_kind,
        profile.has_silent_weights,
    )
    dispatcher_settings = DispatcherSettings(
        name=file.name,
        seed=int(file.seed, 16),
        policy_settings=profile.settings,
        request_classes=profile.request_classes,
        tenants=profile.tenants,
        deadlines_ns=profile.deadlines_ns,
        deadline_margin_ns=0,
        function_limit=max(FUNCTIONS_MINIMUM, int(file.limits.memory_mb * FUNCTIONS_PER_MB)),
    )
    initial_updates = file.known.to_updates(tables)
    return NodeConfig(
        parse_address(file.listen),
        parse_address(file.journal),
        file.limits,
        initial_updates,
        dispatcher_settings,
        tables,
        _connection_settings(profile),
    )


def _connection_settings(profile: Profile) -> ConnectionSettings:
    allowed = profile.decoded.allowed
    load_timeout_seconds = profile.load_timeout_seconds or DEFAULT_LOAD_TIMEOUT_SECONDS
    return ConnectionSettings(
        calls_per_connection=allowed.streams_per_conn or 1,
        connect_timeout_ns=seconds_to_ns(
            allowed.connect_timeout or DEFAULT_CONNECT_TIMEOUT_SECONDS
        ),
        idle_timeout_ns=seconds_to_ns(allowed.conn_idle or DEFAULT_IDLE_TIMEOUT_SECONDS),
        load_timeout_ns=seconds_to_ns(load_timeout_seconds),
    )
