"""The model of the workers: their instances, what a call encounters there and how long it takes.

A worker has a bounded number of instances and evicts the least recently used idle one to make room for a new
one; idle instances expire after the keep-alive. Times are virtual nanoseconds.
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
    """What a call encountered at a worker; the values are the notes that workers write in responses."""

    WARM = "resident"
    BEGAN_LOAD = "booted"
    WAITED_FOR_LOAD = "rode"
    NO_ROOM = ""


@dataclass(slots=True)
class Instance:
    """A loaded or loading instance of a function. Times are virtual ns."""

    ready: int
    last_used: int
    running: int = 0


class Worker:
    """One worker; `instances` are ordered by their last use."""

    __slots__ = ("instances",)

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}


class WorkerFleet:
    """All workers of a fleet. The state of a worker is created on its first use."""

    def __init__(self, size: FleetSize, assumptions: Assumptions, seed: int) -> None:
        self.size, self.assumptions = size, assumptions
        self.random = Random(seed)
        self.workers: dict[int, Worker] = {}
        self.loads = 0
        self.evictions = 0
        self.keep_alive = round(assumptions.keep_alive * SECOND_NS)

    def _load_time(self, function: int) -> int:
        """Returns a function's load time; functions are spread evenly from the shortest to the longest."""
        low, high = self.assumptions.load_shortest, self.assumptions.load_longest
        return round((low + (high - low) * (function * 7_919 % 1_000) / 1_000) * SECOND_NS)

    def _run_time(self, function: int) -> int:
        low, high = self.assumptions.run_shortest, self.assumptions.run_longest
        usual = low + (high - low) * (function * 104_729 % 1_000) / 1_000
        return round(usual * self.random.uniform(0.8, 1.2) * SECOND_NS)

    def round_trip(self, dispatcher: int, worker: int) -> int:
        """Returns the network round-trip time in ns."""
        zones, regions = self.size.zones, self.size.regions
        one, other = dispatcher % zones, worker % zones
        if one == other:
            return SAME_ZONE_NS
        return SAME_REGION_NS if one % regions == other % regions else OTHER_REGION_NS

    def _find(self, number: int, function: int, now: int) -> tuple[Instance | None, bool]:
        """Returns the instance, loading it if needed (None if there is no room), and whether a load began."""
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
        """Starts a call; returns what it encountered, the ns until its response, and its instance."""
        instance, began = self._find(number, function, now)
        if instance is None or instance.running >= self.assumptions.concurrency_per_instance:
            return Met.NO_ROOM, 0, None
        instance.running += 1
        waits = max(0, instance.ready - now)
        met = Met.BEGAN_LOAD if began else Met.WAITED_FOR_LOAD if waits else Met.WARM
        return met, waits + self._run_time(function), instance

    def release(self, instance: Instance, now: int) -> None:
        """Ends a call on an instance."""
        instance.running -= 1
        instance.last_used = now

    def load(self, number: int, function: int, now: int) -> tuple[bool, int]:
        """Processes a load request; returns whether there is room for the load, and the ns until it ends."""
        instance, _ = self._find(number, function, now)
        if instance is None:
            return False, 0
        instance.last_used = max(instance.last_used, now)
        return True, max(0, instance.ready - now)

    def replicas(self, now: int) -> Counter[int]:
        """Returns the number of loaded instances of each function."""
        return Counter(
            function
            for worker in self.workers.values()
            for function, instance in worker.instances.items()
            if instance.running or now - instance.last_used <= self.keep_alive
        )
