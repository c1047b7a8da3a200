"""The shared model of the workers: which instances stand where, what a call meets and how long it takes.

A worker holds a bounded number of instances and drops the idle one that was used longest ago when a new one
needs its place; idle instances lapse after the keep-alive. Times are virtual nanoseconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from random import Random

from benchmarks.scale.sizes import Assumptions, FleetSize

SECOND_NS = 1_000_000_000
SAME_ZONE_NS = 500_000
SAME_REGION_NS = 1_500_000
OTHER_REGION_NS = 30_000_000


class Met(Enum):
    """What a call found at a worker; the values are the notes that workers write into answers."""

    WARM = "resident"
    BEGAN_LOAD = "booted"
    WAITED_FOR_LOAD = "rode"
    NO_ROOM = ""


@dataclass(slots=True)
class Instance:
    ready: int
    last_used: int
    running: int = 0


class Worker:
    """One worker; `instances` are ordered by their last use."""

    __slots__ = ("instances",)

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}


class WorkerFleet:
    """All workers. A worker's object is made when it is first used."""

    def __init__(self, size: FleetSize, assumptions: Assumptions, seed: int) -> None:
        self.size, self.assumptions = size, assumptions
        self.random = Random(seed)
        self.workers: dict[int, Worker] = {}
        self.loads = 0
        self.evictions = 0
        self.keep_alive = round(assumptions.keep_alive * SECOND_NS)

    def _load_time(self, function: int) -> int:
        """A function's own load time, spread evenly between the shortest and the longest."""
        low, high = self.assumptions.load_shortest, self.assumptions.load_longest
        return round((low + (high - low) * (function * 7_919 % 1_000) / 1_000) * SECOND_NS)

    def _run_time(self, function: int) -> int:
        low, high = self.assumptions.run_shortest, self.assumptions.run_longest
        usual = low + (high - low) * (function * 104_729 % 1_000) / 1_000
        return round(usual * self.random.uniform(0.8, 1.2) * SECOND_NS)

    def round_trip(self, dispatcher: int, worker: int) -> int:
        """Network time there and back, ns."""
        zones, regions = self.size.zones, self.size.regions
        one, other = dispatcher % zones, worker % zones
        if one == other:
            return SAME_ZONE_NS
        return SAME_REGION_NS if one % regions == other % regions else OTHER_REGION_NS

    def _find(self, number: int, function: int, now: int) -> tuple[Instance | None, bool]:
        """The instance, loaded if need be, and whether this began its load; None where there is no room."""
        worker = self.workers.get(number)
        if worker is None:
            worker = self.workers[number] = Worker()
        found = worker.instances.pop(function, None)
        if found is not None and not found.running and now - found.last_used > self.keep_alive:
            found = None
        began = found is None
        if found is None:
            if len(worker.instances) >= self.size.instances_per_worker and not self._evict(worker, now):
                return None, False
            found = Instance(now + self._load_time(function), now)
            self.loads += 1
        worker.instances[function] = found
        return found, began

    def _evict(self, worker: Worker, now: int) -> bool:
        for function, instance in worker.instances.items():
            if not instance.running and instance.ready <= now:
                del worker.instances[function]
                self.evictions += 1
                return True
        return False

    def call(self, number: int, function: int, now: int) -> tuple[Met, int, Instance | None]:
        """A call arrives; what it met, the ns until its answer leaves, and the instance it occupies."""
        instance, began = self._find(number, function, now)
        if instance is None or instance.running >= self.assumptions.concurrency_per_instance:
            return Met.NO_ROOM, 0, None
        instance.running += 1
        waits = max(0, instance.ready - now)
        met = Met.BEGAN_LOAD if began else Met.WAITED_FOR_LOAD if waits else Met.WARM
        return met, waits + self._run_time(function), instance

    def release(self, instance: Instance, now: int) -> None:
        """A call's answer has left."""
        instance.running -= 1
        instance.last_used = now

    def load(self, number: int, function: int, now: int) -> tuple[bool, int]:
        """A load request arrives; whether an instance will stand, and the ns until it does."""
        instance, _ = self._find(number, function, now)
        if instance is None:
            return False, 0
        instance.last_used = max(instance.last_used, now)
        return True, max(0, instance.ready - now)

    def replicas(self, now: int) -> Counter[int]:
        """How many instances of each function stand."""
        return Counter(
            function
            for worker in self.workers.values()
            for function, instance in worker.instances.items()
            if instance.running or now - instance.last_used <= self.keep_alive
        )
