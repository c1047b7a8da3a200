"""A day's script, and its plan: the settings of each process of the day.

All random choices are drawn here or in the stand-ins, from the day's seed.
"""

from __future__ import annotations

import zlib
from random import Random
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from martenlead.standins import settings as standin_settings
from martenlead.standins.settings import Settings

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=5000)]
MAX_ON_SOCKETS = 200  # workers, or edges: more of them do not fit on one machine

WORKER_FAULTS = [
    "slow",
    "pause",
    "ageing",
    "drain",
    "vanish",
    "zone_loss",
    "release",
    "answer_lost",
    "garbage",
    "deaf",
    "report_late",
]
CLIENT_FAULTS = ["burst", "hot_model", "hot_caller", "heavy_tail", "one_off", "give_up", "retry_abuse"]
DISPATCHER_FAULTS = ["dispatcher_crash", "dispatcher_roll"]
LAYER_FAULTS = [
    "agent_crash",
    "box_loss",
    "vault_slow",
    "vault_wrong",
    "vault_short",
    "vault_cut",
    "vault_old",
]
PLANNER_FAULTS = ["planner_crash", "planner_hang"]
FAULT_KINDS = [
    *PLANNER_FAULTS,
    *WORKER_FAULTS,
    *CLIENT_FAULTS,
    *DISPATCHER_FAULTS,
    "roster_away",
    "vault_stop",
    *LAYER_FAULTS,
]


class WorkerKind(Settings, frozen=True, kw_only=True):
    """A kind of worker; workers take the kinds in turn."""

    cores: Positive = 4
    speed: Positive = 1


class WorkersScript(Settings, frozen=True, kw_only=True):
    """The workers of a day."""

    count: Count = 8
    zones: Annotated[list[str], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["north", "south"]
    )
    cell_size: Count = 4
    kinds: Annotated[list[WorkerKind], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [WorkerKind()]
    )
    memory_mb: Positive = 40_000
    queue: Count = 64
    loads_at_once: Count = 4
    drops_waiting: bool = True


class ClientsScript(Settings, frozen=True, kw_only=True):
    """The clients of a day."""

    rate_per_s: Positive = 100
    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    backoff_ms: NotNegative = 50
    patience: tuple[float, float] = (0.5, 1.0)
    honours: Share = 0.8
    structured: Share = 0.2
    expiry: bool = True
    trace: str | None = None
    mapping: standin_settings.TraceMapping = standin_settings.TraceMapping()


class StoreScript(Settings, frozen=True, kw_only=True):
    """The artifact store that simulates fetches by their duration."""

    pace: Positive = 12
    most: Positive = 60
    fall_multiple: NotNegative = 0
    fall_ms: Positive = 3000
    down_ms: Positive = 3000


class LayersScript(Settings, frozen=True, kw_only=True):
    """Functions as real images of `model_mb` each, in an artifact store with an OCI layout.

    With `on` each machine has an agent; without, workers fetch each function whole. `share`: whether the
    agents know of each other.
    """

    on: bool = True
    share: bool = True
    model_mb: Positive = 2
    families: Count = 3
    tuned: Share = 0.03
    changed: Share = 0.05
    average_kb: Count = 64
    mb_s: Positive = 20
    delay_ms: NotNegative = 3
    pace: Positive = 4
    most: Positive = 24
    fall_multiple: NotNegative = 5
    fall_ms: Positive = 500
    down_ms: Positive = 2000
    cache_mb: Positive = 500
    agent: dict[str, Any] = msgspec.field(
        default_factory=dict
    )  # further settings of the agents, as `martenlead layers agent` takes them


class PlannersScript(Settings, frozen=True, kw_only=True):
    """Which processes plan replicas.

    `none`: each edge itself; `beside`: a planner for each edge; `one`: one for all edges. With `standby`
    there is a second planner for each.
    """

    kind: Literal["none", "beside", "one"] = "beside"
    standby: bool = False
    link: dict[str, Any] = msgspec.field(
        default_factory=dict
    )  # `planner` in an edge's settings, without `at`


class ScriptedFault(Settings, frozen=True, kw_only=True):
    """A fault of a day; `part` is the share of workers, dispatchers or functions that it concerns.

    `size` and `n` depend on the kind, as docs/days.md describes.
    """

    at_s: NotNegative
    kind: str
    for_s: NotNegative = 3
    part: Share = 0.25
    size: float = 0
    n: int = 1
    who: str = ""


class Day(Settings, frozen=True, kw_only=True):
    """A day's script."""

    name: str
    seconds: Annotated[float, Meta(gt=0, le=600)]
    seed: int = 1
    runners: WorkersScript = WorkersScript()
    edges: Count = 2
    clients: ClientsScript = ClientsScript()
    offerings: Annotated[list[standin_settings.RequestClassSettings], Meta(min_length=1)]
    customers: list[standin_settings.TenantSettings] = msgspec.field(default_factory=list)
    quota_per_s: NotNegative = 0
    edge: dict[str, Any] = msgspec.field(
        default_factory=dict
    )  # settings of the edges, as `martenlead edge` takes them
    cold_from: Share = 0.2
    cold_ms: Positive = 8000
    fall_multiple: Positive = 2.5
    fall_ms: Positive = 2000
    grace_ms: NotNegative = 250
    slack_ms: NotNegative = 20
    roster_lag_ms: tuple[float, float] = (200, 1500)
    vault: StoreScript = StoreScript()
    layers: LayersScript | None = None  # replaces the store that `vault` describes
    planners: PlannersScript = PlannersScript(kind="none")
    lasting: bool = False  # each edge keeps its durable state, in the day's folder
    capture: bool = False  # each edge writes captures, into the day's folder
    troubles: list[ScriptedFault] = msgspec.field(default_factory=list)


class EdgeEvent(msgspec.Struct):
    """A kill or start of an edge process, at a time of the day."""

    at_ms: float
    edge: int
    what: Literal["kill", "start"]


class PlannerEvent(msgspec.Struct):
    """A signal to a planner process or its start, at a time of the day."""

    at_ms: float
    planner: int
    what: Literal["kill", "start", "stop", "go"]


class AgentEvent(msgspec.Struct):
    """A kill or start of a machine's agent, at a time of the day; `wipe`: its disk is lost too."""

    at_ms: float
    box: str
    what: Literal["kill", "start"]
    wipe: bool = False


class Plan(msgspec.Struct):
    """The settings of each process of a day, and the events that are applied to processes from outside."""

    day: Day
    seed: int
    hosts: list[dict[str, Any]]
    roster: dict[str, Any]
    vault: dict[str, Any]
    clients: dict[str, Any]
    edges: list[dict[str, Any]]
    edge_events: list[EdgeEvent]
    samples: dict[str, Any] | None = None  # settings of `martenlead layers make`
    depot: dict[str, Any] | None = None
    agents: dict[str, dict[str, Any]] = msgspec.field(default_factory=dict)  # keyed by machine
    agent_events: list[AgentEvent] = msgspec.field(default_factory=list)
    planners: list[list[int]] = msgspec.field(
        default_factory=list
    )  # per edge: the numbers of its planners, in order
    planner_events: list[PlannerEvent] = msgspec.field(default_factory=list)


class _PlanBuilder:
    """Collects what the faults of a script mean for each process."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day, self.seed = day, seed
        self.random = Random(f"day:{seed}:{day.name}")
        self.worker_faults: list[dict[str, Any]] = []
        self.endpoint_updates: list[dict[str, Any]] = []
        self.client_faults: list[dict[str, Any]] = []
        self.store_faults: list[dict[str, Any]] = []
        self.list_outages: list[dict[str, Any]] = []
        self.edge_events: list[EdgeEvent] = []
        self.agent_events: list[AgentEvent] = []
        self.planner_events: list[PlannerEvent] = []
        self.releases = 0
        self.incarnations: dict[str, int] = {}
        self.workers = [self._make_worker(n) for n in range(day.runners.count)]

    def _make_worker(self, number: int) -> dict[str, Any]:
        """A worker's settings."""
        workers, day = self.day.runners, self.day
        kind = workers.kinds[number % len(workers.kinds)]
        zone = workers.zones[number % len(workers.zones)]
        replica_settings = day.edge.get("models", {})
        return {
            "name": f"runner-{number}",
            "zone": zone,
            "cell": number // len(workers.zones) // workers.cell_size,
            "cores": kind.cores,
            "speed": kind.speed,
            "memory_mb": workers.memory_mb,
            "queue": workers.queue,
            "loads_at_once": workers.loads_at_once,
            "keep_ms": replica_settings.get("keep_ms", 10_000),
            "cold_from": day.cold_from,
            "cold_ms": day.cold_ms,
            "loads_on_miss": replica_settings.get("loads_on_miss", True),
            "tells_warm": replica_settings.get("tells_warm", True),
            "drops_waiting": workers.drops_waiting,
        }

    def endpoint(self, number: int) -> dict[str, Any]:
        """A worker's entry in the endpoint list."""
        worker = self.workers[number]
        return {
            "id": worker["name"],
            "host": "127.0.0.1",
            "zone": worker["zone"],
            "cell": worker["cell"],
            "memory_mb": worker["memory_mb"],
            "weight": worker["cores"] * worker["speed"],
            "state": "up",
            "start": "0",
        }

    def list_lag_ms(self) -> float:
        """Draws how late the endpoint list publishes a change."""
        return self.random.uniform(*self.day.roster_lag_ms)

    def choose(self, share: float, count: int) -> list[int]:
        """Draws this share of the numbers below `count`, at least one."""
        return sorted(self.random.sample(range(count), max(1, min(count, round(share * count)))))

    def add_worker_fault(
        self, number: int, fault: ScriptedFault, at_ms: float, kind: str, **more: Any
    ) -> None:
        """Adds a fault of a worker."""
        name = self.workers[number]["name"]
        fields = {"at_ms": at_ms, "kind": kind, "who": name, "for_ms": fault.for_s * 1000, "size": fault.size}
        self.worker_faults.append(fields | more)

    def remove_endpoint(self, number: int, at_ms: float) -> None:
        """Publishes that a worker is gone."""
        name = self.workers[number]["name"]
        self.endpoint_updates.append(
            {"at_ms": at_ms + self.list_lag_ms(), "line": {"id": name, "state": "gone"}}
        )

    def restart_worker(self, number: int, fault: ScriptedFault, at_ms: float) -> None:
        """Starts a new incarnation of a worker, and publishes it."""
        name = self.workers[number]["name"]
        self.incarnations[name] = incarnation = self.incarnations.get(name, 0) + 1
        self.add_worker_fault(number, fault, at_ms, "start")
        update = {"born_ms": at_ms, "line": {**self.endpoint(number), "start": str(incarnation)}}
        self.endpoint_updates.append({"at_ms": at_ms + self.list_lag_ms(), **update})

    def add_fault(self, fault: ScriptedFault) -> None:
        """Adds the events of a fault to the processes that it concerns."""
        at_ms, span_ms, day = fault.at_s * 1000, fault.for_s * 1000, self.day
        count = day.runners.count
        match fault.kind:
            case "slow" | "answer_lost" | "garbage" | "deaf":
                size = fault.size or {"slow": 5.0, "answer_lost": 0.3, "garbage": 0.3, "deaf": 0}[fault.kind]
                for n in self.choose(fault.part, count):
                    self.add_worker_fault(n, fault, at_ms, fault.kind, size=size)
            case "pause":
                for n in self.choose(fault.part, count):
                    every_ms = at_ms
                    while every_ms < at_ms + span_ms:
                        self.add_worker_fault(n, fault, every_ms, "pause", for_ms=fault.size or 300)
                        every_ms += 1000 * self.random.uniform(0.8, 1.5)
            case "ageing":
                for n in self.choose(fault.part, count):
                    self.add_worker_fault(n, fault, at_ms, "ageing", size=fault.size or 6)
                    self.remove_endpoint(n, at_ms + span_ms)
                    self.restart_worker(n, fault, at_ms + span_ms + 1500)
            case "drain":
                for n in self.choose(fault.part, count):
                    self.add_worker_fault(n, fault, at_ms, "drain")
                    lag_ms = self.list_lag_ms()
                    name = self.workers[n]["name"]
                    self.endpoint_updates.append(
                        {"at_ms": at_ms + lag_ms, "line": {"id": name, "state": "draining"}}
                    )
                    self.add_worker_fault(n, fault, at_ms + span_ms, "vanish")
                    self.remove_endpoint(n, at_ms + span_ms)
                    self.restart_worker(n, fault, at_ms + span_ms + 1000)
            case "vanish" | "zone_loss":
                zone = fault.who or self.random.choice(day.runners.zones)
                lost = [n for n in range(count) if self.workers[n]["zone"] == zone]
                for n in lost if fault.kind == "zone_loss" else self.choose(fault.part, count):
                    self.add_worker_fault(n, fault, at_ms, "vanish")
                    self.remove_endpoint(n, at_ms)
                    self.restart_worker(n, fault, at_ms + span_ms)
            case "release":
                random = Random(f"release:{self.seed}:{fault.at_s}")
                functions = [f"{o.name}.{m}" for o in day.offerings for m in range(o.models)]
                functions = [m for m in functions if random.random() < fault.part]
                self.releases += 1
                # the store has the release a moment before the workers are told
                self.store_faults.append(
                    {"at_ms": max(0, at_ms - 50), "kind": "release", "models": functions}
                )
                for n in range(count):
                    self.add_worker_fault(n, fault, at_ms, "release", models=functions)
            case "report_late":
                for n in range(count):
                    self.add_worker_fault(n, fault, at_ms, "report_late", size=fault.size or 2)
            case "burst" | "hot_model" | "hot_caller" | "heavy_tail" | "one_off" | "give_up" | "retry_abuse":
                size = (
                    fault.size
                    or {
                        "burst": 2.0,
                        "hot_model": 0.2,
                        "hot_caller": 0.6,
                        "heavy_tail": 12.0,
                        "one_off": 0.15,
                        "give_up": 0.3,
                        "retry_abuse": 1.0,
                    }[fault.kind]
                )
                share = (
                    fault.n
                    if fault.kind == "hot_model"
                    else 0.02
                    if fault.kind == "heavy_tail"
                    else fault.part
                )
                target = fault.who or (day.customers[0].name if day.customers else "")
                fields = {"kind": fault.kind, "for_ms": span_ms, "size": size, "part": share, "who": target}
                self.client_faults.append({"at_ms": at_ms, **fields})
            case "dispatcher_crash":
                for n in self.choose(fault.part, day.edges):
                    self.edge_events.append(EdgeEvent(at_ms, n, "kill"))
                    self.edge_events.append(EdgeEvent(at_ms + span_ms, n, "start"))
            case "dispatcher_roll":
                for place, n in enumerate(self.choose(fault.part, day.edges)):
                    down_ms = at_ms + place * span_ms / max(1, day.edges)
                    self.edge_events.append(EdgeEvent(down_ms, n, "kill"))
                    self.edge_events.append(EdgeEvent(down_ms + (fault.size or 0.7) * 1000, n, "start"))
            case "roster_away":
                self.list_outages.append({"at_ms": at_ms, "kind": "away", "for_ms": span_ms})
            case "planner_crash" | "planner_hang":
                first, then = ("kill", "start") if fault.kind == "planner_crash" else ("stop", "go")
                every_ms, down_ms = (
                    (fault.size or span_ms / 1000) * 1000,
                    min(span_ms, 1000.0 if fault.size else span_ms),
                )
                for n in self.choose(fault.part, max(1, count_planners(day))):
                    when_ms = at_ms
                    while when_ms < at_ms + span_ms:
                        self.planner_events.append(PlannerEvent(when_ms, n, first))  # type: ignore[arg-type]
                        self.planner_events.append(PlannerEvent(when_ms + down_ms, n, then))  # type: ignore[arg-type]
                        when_ms += every_ms
            case "agent_crash" | "box_loss":
                for n in self.choose(fault.part, count):
                    name = self.workers[n]["name"]
                    wipe = fault.kind == "box_loss"
                    self.agent_events.append(AgentEvent(at_ms, name, "kill", wipe))
                    self.agent_events.append(AgentEvent(at_ms + span_ms, name, "start"))
                    if wipe:
                        self.add_worker_fault(n, fault, at_ms, "vanish")
                        self.remove_endpoint(n, at_ms)
                        self.restart_worker(n, fault, at_ms + span_ms)
            case "vault_slow" | "vault_wrong" | "vault_short" | "vault_cut" | "vault_old":
                fields = {"kind": fault.kind.removeprefix("vault_"), "for_ms": span_ms, "size": fault.size}
                self.store_faults.append({"at_ms": at_ms, **fields})
            case "vault_stop":
                self.store_faults.append({"at_ms": at_ms, "kind": "stop", "for_ms": span_ms})
            case _:
                raise ValueError(fault.kind)


def count_planners(day: Day) -> int:
    """The number of planner processes of a day."""
    groups = {"none": 0, "beside": day.edges, "one": 1}[day.planners.kind]
    return groups * (1 + day.planners.standby)


def planners_of(day: Day) -> list[list[int]]:
    """The planners of each edge, the standby last."""
    groups = {"none": 0, "beside": day.edges, "one": 1}[day.planners.kind]
    first = [n % groups for n in range(day.edges)] if groups else []
    return [[n, n + groups] if day.planners.standby else [n] for n in first]


def plan(day: Day, seed: int) -> Plan:
    """The settings of every process, except ports and paths. Raises ValueError for a script that makes no
    sense.
    """
    unknown = {fault.kind for fault in day.troubles} - set(FAULT_KINDS)
    if unknown:
        raise ValueError(f"$.troubles: {sorted(unknown)[0]!r} is no trouble; {', '.join(FAULT_KINDS)} are")
    builder = _PlanBuilder(day, seed)
    for fault in day.troubles:
        builder.add_fault(fault)
    if day.layers is None and any(fault.kind in LAYER_FAULTS for fault in day.troubles):
        raise ValueError("$.troubles: those of agents and of the vault's bytes need `layers`")
    request_classes = [msgspec.to_builtins(o) for o in day.offerings]
    by_zone = any(o.effect == "deduplicated" and o.group != "all" for o in day.offerings)
    shares_all = any(o.effect == "deduplicated" and o.group == "all" for o in day.offerings)
    groups: dict[Any, list[dict[str, Any]]] = {}
    for n, worker in enumerate(builder.workers):
        # workers that drop each other's repeats share a process, so that they share their knowledge
        key: Any = 0 if shares_all else worker["zone"] if by_zone else n // 5
        groups.setdefault(key, []).append(worker)
    hosts = []
    for members in groups.values():
        names = {m["name"] for m in members}
        faults = [f for f in builder.worker_faults if f["who"] in names]
        hosts.append({"seed": seed, "offerings": request_classes, "runners": members, "faults": faults})
    clients = msgspec.to_builtins(day.clients)
    store = msgspec.to_builtins(day.vault)
    edges = [_edge(day, n) for n in range(day.edges)]
    return Plan(
        day=day,
        seed=seed,
        hosts=hosts,
        roster={
            "lines": [builder.endpoint(n) for n in range(day.runners.count)],
            "says": builder.endpoint_updates,
            "away": builder.list_outages,
        },
        vault={**store, "faults": [f for f in builder.store_faults if f["kind"] == "stop"]},
        clients={
            **clients,
            "seed": seed,
            "offerings": request_classes,
            "customers": [msgspec.to_builtins(c) for c in day.customers],
            "seconds": day.seconds,
            "slack_ms": day.slack_ms,
            "faults": builder.client_faults,
        },
        edges=edges,
        edge_events=sorted(builder.edge_events, key=lambda e: e.at_ms),
        planners=planners_of(day),
        planner_events=sorted(builder.planner_events, key=lambda e: e.at_ms) if count_planners(day) else [],
        **(_layers(day, day.layers, builder, seed) if day.layers else {}),
    )


def _layers(day: Day, layers: LayersScript, builder: _PlanBuilder, seed: int) -> dict[str, Any]:
    """The settings of the images, the artifact store and the agents."""
    fields = ("mb_s", "delay_ms", "pace", "most", "fall_multiple", "fall_ms", "down_ms")
    return {
        "samples": {
            "models": [f"{o.name}.{m}" for o in day.offerings for m in range(o.models)],
            "mb": layers.model_mb,
            "families": layers.families,
            "tuned": layers.tuned,
            "changed": layers.changed,
            "average_kb": layers.average_kb,
            "releases": 1 + builder.releases,
            "whole": not layers.on,
            "seed": seed,
        },
        "depot": {**{f: getattr(layers, f) for f in fields}, "seed": seed, "faults": builder.store_faults},
        "agents": {
            r["name"]: {"name": r["name"], "cache_bytes": int(layers.cache_mb * 1e6), **layers.agent}
            for r in builder.workers
            if layers.on
        },
        "agent_events": sorted(builder.agent_events, key=lambda e: e.at_ms) if layers.on else [],
    }


def _edge(day: Day, number: int) -> dict[str, Any]:
    """An edge's settings: those in the script, and those that follow from the rest of the script."""
    total_share = sum(c.share for c in day.customers) or 1
    fields = (
        "name",
        "soft_limit_ms",
        "hard_limit_ms",
        "effect",
        "group",
        "window_ms",
        "revenue",
        "late_revenue",
    )
    derived = {
        "name": f"edge-{number}",
        "number": number,
        "seed": zlib.crc32(f"{day.seed}:{number}".encode()),
        "dispatchers": day.edges,
        "offerings": [{f: getattr(o, f) for f in fields} for o in day.offerings],
        "customers": [
            {"name": c.name, "quota_per_s": day.quota_per_s * c.share / total_share}
            for c in day.customers
            if day.quota_per_s
        ],
        "cold": {
            "share": day.cold_from,
            "time_ms": day.cold_ms,
            "fall_multiple": day.fall_multiple,
            "fall_ms": day.fall_ms,
            "drain_grace_ms": day.grace_ms,
        },
    }
    return {**derived, **day.edge}
