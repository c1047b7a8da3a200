"""Settings of the stand-ins, checked when they are read.

Times are ms. `epoch_ns` is the start of the day on the monotonic clock: 0 waits for it on standard input,
None starts at once.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec


class Settings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Base class of groups of settings."""


class Address(Settings, frozen=True, kw_only=True):
    """Where a server listens."""

    host: str = "127.0.0.1"
    port: int


class RequestClassSettings(Settings, frozen=True, kw_only=True):
    """A request class as stand-ins need it: work and load of its requests, and how repeats are dropped."""

    name: str
    share: float = 1
    soft_limit_ms: float
    hard_limit_ms: float
    effect: Literal["idempotent", "deduplicated", "unrepeatable"] = "idempotent"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: float = 0
    revenue: float = 1
    late_revenue: float = 0
    work_ms: float = 60
    work_spread: float = 0.3
    load_ms: float = 800
    fetch_share: float = 0.6
    lanes: int = 4
    memory_mb: float = 3000
    models: int = 20
    zipf: float = 1.1


class Fault(Settings, frozen=True, kw_only=True):
    """A fault of one stand-in, from `at_ms` on for `for_ms`; the meaning of `size` depends on `kind`."""

    at_ms: float
    kind: str
    who: str = ""
    for_ms: float = 0
    size: float = 0
    part: float = 1
    models: list[str] = []


class WorkerSettings(Settings, frozen=True, kw_only=True):
    """One worker."""

    name: str
    port: int = 0
    zone: str = "zone"
    cell: int = 0
    cores: float = 4
    speed: float = 1
    memory_mb: float = 40_000
    queue: int = 64
    loads_at_once: int = 4
    keep_ms: float = 10_000
    cold_from: float = 0.2
    cold_ms: float = 15_000
    loads_on_miss: bool = True
    tells_warm: bool = True
    drops_waiting: bool = True
    connections: int = 1024
    agent: Address | None = None  # fetches functions through it


class WorkerHostSettings(Settings, frozen=True, kw_only=True):
    """A process that runs some workers."""

    epoch_ns: int | None = None
    seed: int = 1
    record: str | None = None
    vault: Address | None = None
    depot: Address | None = None  # workers without an agent fetch whole functions there
    offerings: list[RequestClassSettings]
    runners: list[WorkerSettings]
    faults: list[Fault] = []
    seconds: float = 3600


class ScheduledUpdate(Settings, frozen=True, kw_only=True):
    """A change of an endpoint that the list publishes at `at_ms`."""

    at_ms: float
    line: dict[str, Any]
    born_ms: float | None = None  # start of the endpoint's incarnation, from which its age follows


class EndpointServerSettings(Settings, frozen=True, kw_only=True):
    """The endpoint list's server: its first list, its updates, and its outages (`away`)."""

    epoch_ns: int | None = None
    record: str | None = None
    port: int = 0
    lines: list[dict[str, Any]]
    says: list[ScheduledUpdate] = []
    away: list[Fault] = []
    keep_alive_ms: float = 500
    seconds: float = 3600


class TimedStoreSettings(Settings, frozen=True, kw_only=True):
    """A store that serves `pace` fetches at once at full speed, more of them more slowly, and rejects fetches
    beyond `most`.
    """

    epoch_ns: int | None = None
    record: str | None = None
    port: int = 0
    pace: float = 8
    most: float = 40
    fall_multiple: float = 0
    fall_ms: float = 3000
    down_ms: float = 3000
    faults: list[Fault] = []
    seconds: float = 3600


class ArtifactStoreSettings(Settings, frozen=True, kw_only=True):
    """A store of images in a layout on disk.

    One fetch runs at `mb_s` at most, all together at `pace` times that; each waits `delay_ms` first. With
    `most` fetches under way the store rejects more, and after demand above `fall_multiple` times `pace`
    for `fall_ms` it stops for `down_ms`.
    """

    epoch_ns: int | None = None
    seed: int = 1
    record: str | None = None
    port: int = 0
    layout: str
    mb_s: float = 100
    delay_ms: float = 0
    pace: float = 8
    most: int = 24
    fall_multiple: float = 0
    fall_ms: float = 1000
    down_ms: float = 3000
    faults: list[Fault] = []
    seconds: float = 3600


class TenantSettings(Settings, frozen=True, kw_only=True):
    """A tenant and its share of the requests."""

    name: str
    share: float = 1


class TraceMapping(Settings, frozen=True, kw_only=True):
    """How a trace becomes requests.

    `speed` 60 plays an hour in a minute, `sample` is the share of the functions that are used, `durations`
    is a factor for their durations. `models` is the largest number of functions per request class, 0 for
    one per function of the trace.
    """

    from_s: float = 0
    until_s: float | None = None
    speed: Annotated[float, msgspec.Meta(gt=0)] = 1
    sample: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1
    durations: Annotated[float, msgspec.Meta(gt=0)] = 1
    least_ms: float = 1
    most_ms: float = 60_000
    models: Annotated[int, msgspec.Meta(ge=0)] = 0


class ClientsSettings(Settings, frozen=True, kw_only=True):
    """Open-loop clients: requests are sent at their own times, independent of earlier ones."""

    epoch_ns: int | None = None
    seed: int = 1
    record: str | None = None
    edges: list[Address]
    offerings: list[RequestClassSettings]
    customers: list[TenantSettings] = []
    seconds: float
    rate_per_s: float
    retries: int = 2
    backoff_ms: float = 50
    patience: tuple[float, float] = (0.5, 1.0)
    honours: float = 0.8
    slack_ms: float = 40
    structured: float = 0.2
    expiry: bool = True  # sends the absolute deadline beside the relative one
    trace: str | None = None  # requests come from this file, and `rate_per_s` is not used
    mapping: TraceMapping = TraceMapping()
    faults: list[Fault] = []
