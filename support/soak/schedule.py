"""What happens in a run, chosen from its seed alone."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from random import Random
from typing import Any

RUN_SECONDS = 10.0
NODES = 2
WORKERS = ("a", "b", "c", "d")
CLIENTS_PER_NODE = 3
DEADLINES_SECONDS = (0.3, 1.0, 2.0)  # for all request classes; it sets the time of the kill after SIGTERM
CROWD_SHARE = 1 / 3  # share of the runs that have a crowd

RESTART_SIGNALS = (
    ("TERM",),
    ("TERM", "TERM"),
    ("HUP", "TERM"),
    ("HUP", "HUP", "TERM"),
    ("TERM", "HUP"),
)
RELOADS = ("moved", "unreadable", "twice")
WORKER_TROUBLES = ("drains", "vanishes", "hangs", "answers late", "answers twice", "resets idle", "is full")
JOURNAL_TROUBLES = ("silent", "cut inside an event", "away")
EARLIEST_SECONDS, LATEST_SECONDS = 1.0, 6.0  # time in which troubles begin


@dataclass(frozen=True)
class Restart:
    """SIGTERM, with other signals around it, and then a new process. A process that does not end is killed at
    the earliest time that the protocol allows."""

    at_seconds: float
    node: int
    signals: tuple[str, ...]
    is_stopped_when_ready: bool  # the new process gets SIGTERM as soon as it is ready


@dataclass(frozen=True)
class Reload:
    """A new configuration and SIGHUP."""

    at_seconds: float
    node: int
    kind: str


@dataclass(frozen=True)
class WorkerTrouble:
    """A fault of a worker, for a while."""

    at_seconds: float
    worker: str
    kind: str
    seconds: float


@dataclass(frozen=True)
class JournalTrouble:
    """A fault of a node's journal service, for a while."""

    at_seconds: float
    node: int
    kind: str
    seconds: float


@dataclass(frozen=True)
class Schedule:
    """All random choices of a run, made before it begins."""

    seed: int
    deadline_seconds: float
    has_crowd: bool
    restarts: tuple[Restart, ...]
    reloads: tuple[Reload, ...]
    worker_troubles: tuple[WorkerTrouble, ...]
    journal_troubles: tuple[JournalTrouble, ...]

    def to_json_object(self) -> dict[str, Any]:
        """Returns the schedule as the report has it."""
        return asdict(self)


def draw_schedule(seed: int) -> Schedule:
    """Returns the schedule of a seed, the same one each time."""
    random = Random(seed)

    def moment() -> float:
        return round(random.uniform(EARLIEST_SECONDS, LATEST_SECONDS), 3)

    restarts = tuple(
        Restart(moment(), node, random.choice(RESTART_SIGNALS), random.random() < 1 / 4)
        for node in range(NODES)
    )
    reloads = tuple(Reload(moment(), node, random.choice(RELOADS)) for node in range(NODES))
    troubled = random.sample(WORKERS, k=len(WORKERS) - 1)  # one worker stays without a fault
    worker_troubles = tuple(
        WorkerTrouble(moment(), worker, random.choice(WORKER_TROUBLES), round(random.uniform(0.5, 3), 3))
        for worker in troubled
    )
    journal_troubles = tuple(
        JournalTrouble(moment(), node, random.choice(JOURNAL_TROUBLES), round(random.uniform(0.5, 3), 3))
        for node in range(NODES)
    )
    return Schedule(
        seed=seed,
        deadline_seconds=random.choice(DEADLINES_SECONDS),
        has_crowd=random.random() < CROWD_SHARE,
        restarts=restarts,
        reloads=reloads,
        worker_troubles=worker_troubles,
        journal_troubles=journal_troubles,
    )
