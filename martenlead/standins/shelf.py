"""A worker's replicas, lanes, memory and loads, without I/O: for stand-ins and the simulator.

Simplified: a request's duration is fixed when it begins, by its work, the worker's speed, the number of
requests that run beside it and how cold the worker is. So a fleet fits on one machine; how running
requests slow each other down later is left out. Times are ns, work is ms.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from martenlead.standins.settings import RequestClassSettings, WorkerSettings


class WaitingRequest:
    """A request in a worker's queue; `load_failure` says why it gets no lane."""

    __slots__ = ("is_settled", "load_failure", "wakeup")

    def __init__(self, wakeup: Any) -> None:
        self.wakeup = wakeup  # the owner of the cache wakes who waits for it
        self.is_settled = False  # True once the request has a lane or its load has failed
        self.load_failure = ""


class FunctionReplicas:
    """The replicas that a worker has of one function, and the requests that wait for them."""

    def __init__(
        self, function: str, request_class: RequestClassSettings, memory_mb: float, lanes: int, now_ns: int
    ) -> None:
        self.function, self.request_class, self.memory_mb, self.lanes = (
            function,
            request_class,
            memory_mb,
            lanes,
        )
        self.ready = self.loading = self.running = 0
        self.last_used_ns = now_ns
        self.queue: deque[WaitingRequest] = deque()
        self.failed_loads = 0
        self.last_failure = ""  # why the last load failed


class ReplicaCache:
    """A worker's replicas; the owner does the waiting and fetching.

    The owner gives `wake_request`, called with a request that has a lane or whose load failed, and
    `start_fetch`, called with a load that begins and its position among the active loads. It calls
    `finish_load` when the load has ended.
    """

    def __init__(
        self,
        settings: WorkerSettings,
        clock: Callable[[], int],
        random: Random,
        wake_request: Callable[[WaitingRequest], None],
        start_fetch: Callable[[FunctionReplicas, int], None],
    ) -> None:
        self.settings, self.clock, self.random = settings, clock, random
        self.wake_request, self.start_fetch = wake_request, start_fetch
        self.replicas: dict[str, FunctionReplicas] = {}
        self.active_loads = self.running_count = self.waiting_count = 0
        self.is_draining = False
        self.started_at = -1 << 62  # long ago: the worker is warm
        self.slow_factor = 1.0

    def reset(self, started_at: int) -> None:
        """Begins a new incarnation: cold and empty."""
        self.replicas.clear()
        self.active_loads = self.running_count = self.waiting_count = 0
        self.is_draining, self.slow_factor, self.started_at = False, 1.0, started_at

    def unload_idle(self) -> None:
        """Unloads functions that have been idle for the keep-alive time."""
        now = self.clock()
        for function, replicas in list(self.replicas.items()):
            if replicas.running or replicas.queue or replicas.loading:
                replicas.last_used_ns = now
            elif now - replicas.last_used_ns > self.settings.keep_ms * 1e6:
                del self.replicas[function]

    def speed_share(self) -> float:
        """Present share of the full speed: a worker that has just started is cold."""
        age = (self.clock() - self.started_at) / 1e6 / self.settings.cold_ms
        return 1.0 if age >= 1 else self.settings.cold_from + (1 - self.settings.cold_from) * age

    def work_duration_ms(self, work_ms: float) -> float:
        """How long a request of this work takes that begins now and is already counted as running."""
        load = max(1.0, self.running_count / self.settings.cores)
        duration_ms = work_ms * self.random.uniform(0.9, 1.1) * load
        return duration_ms * self.slow_factor / self.settings.speed / self.speed_share()

    def used_mb(self) -> float:
        """Memory of all replicas, also of those that are loading."""
        return sum(c.memory_mb * (c.ready + c.loading) for c in self.replicas.values())

    # -- requests

    def admit(
        self, function: str, request_class: RequestClassSettings, memory_mb: float, lanes: int
    ) -> tuple[FunctionReplicas | None, bytes, tuple[int, str] | None]:
        """Returns the replicas that a request may wait for or None, the state it found them in, and the
        rejection.
        """
        replicas = self.replicas.get(function)
        warmth = b"warm"
        if replicas is None or not replicas.ready:
            if replicas is not None and replicas.loading:
                warmth = b"waited"
            else:
                if not self.settings.loads_on_miss:
                    return None, warmth, (404, "missing")
                replicas = self.replicas_of(function, request_class, memory_mb, lanes)
                warmth = b"began"
                if not self.start_load(replicas):
                    return None, warmth, (503, "no room for a load")
        if self.waiting_count >= self.settings.queue:
            return None, warmth, (503, "full")
        return replicas, warmth, None

    def enqueue(self, replicas: FunctionReplicas, waiting: WaitingRequest) -> None:
        """Queues a request, and starts it if a lane is free."""
        replicas.queue.append(waiting)
        self.waiting_count += 1
        self.start_next(replicas)

    def dequeue(self, replicas: FunctionReplicas, waiting: WaitingRequest) -> None:
        """Removes a request that has not begun from the queue."""
        replicas.queue.remove(waiting)
        self.waiting_count -= 1

    def finish(self, replicas: FunctionReplicas) -> None:
        """Frees the lane of a request that has ended."""
        replicas.running -= 1
        self.running_count -= 1
        replicas.last_used_ns = self.clock()
        self.start_next(replicas)

    def start_next(self, replicas: FunctionReplicas) -> None:
        """Starts waiting requests while there are free lanes."""
        while replicas.queue and replicas.running < replicas.lanes * replicas.ready:
            replicas.running += 1
            self.running_count += 1
            self.waiting_count -= 1
            waiting = replicas.queue.popleft()
            waiting.is_settled = True
            self.wake_request(waiting)

    # -- replicas

    def replicas_of(
        self, function: str, request_class: RequestClassSettings, memory_mb: float, lanes: int
    ) -> FunctionReplicas:
        """The replicas of a function, created if there are none."""
        if function not in self.replicas:
            self.replicas[function] = FunctionReplicas(
                function, request_class, memory_mb, lanes, self.clock()
            )
        return self.replicas[function]

    def start_load(self, replicas: FunctionReplicas) -> bool:
        """Starts a load; returns False if memory or the number of loads doesn't allow it."""
        if self.active_loads >= 3 * self.settings.loads_at_once or not self.make_room(replicas.memory_mb):
            return False
        replicas.loading += 1
        self.active_loads += 1
        self.start_fetch(replicas, self.active_loads)
        return True

    def load_ms(self, replicas: FunctionReplicas, position: int) -> tuple[float, float]:
        """How long a load takes: its fetch at full speed, and the replica's start."""
        request_class = replicas.request_class
        spread = Random(f"{replicas.function}").uniform(0.8, 1.2)
        total_ms = request_class.load_ms * spread * max(1.0, position / self.settings.loads_at_once)
        return total_ms * request_class.fetch_share, total_ms * (1 - request_class.fetch_share)

    def make_room(self, memory_mb: float) -> bool:
        """Unloads the replicas that were unused for longest until the memory suffices; False if it can't."""
        idle = sorted(
            (c for c in self.replicas.values() if not c.running and not c.queue and c.ready),
            key=lambda c: c.last_used_ns,
        )
        used = self.used_mb()
        while used + memory_mb > self.settings.memory_mb:
            if not idle:
                return False
            oldest = idle.pop(0)
            used -= oldest.memory_mb * oldest.ready
            oldest.ready = 0
            if not oldest.loading:
                self.replicas.pop(oldest.function, None)
        return True

    def finish_load(self, replicas: FunctionReplicas, failure: str) -> None:
        """Ends a load; `failure` names why it failed, "" if it didn't."""
        self.active_loads -= 1
        replicas.loading -= 1
        if not failure:
            replicas.ready += 1
            replicas.last_used_ns = self.clock()
            self.start_next(replicas)
            return
        replicas.failed_loads += 1
        replicas.last_failure = failure
        if not replicas.ready and not replicas.loading:
            while replicas.queue:
                self.waiting_count -= 1
                waiting = replicas.queue.popleft()
                waiting.load_failure, waiting.is_settled = failure, True
                self.wake_request(waiting)
            self.replicas.pop(replicas.function, None)

    def unload(self, function: str) -> None:
        """Unloads a function that no request uses."""
        replicas = self.replicas.get(function)
        if replicas is not None and not replicas.running and not replicas.queue:
            replicas.ready = 0

    def invalidate(self, functions: list[str]) -> None:
        """Discards the replicas of functions that have a new release."""
        for function in functions:
            replicas = self.replicas.get(function)
            if replicas is not None and not replicas.loading:
                replicas.ready = 0
                if replicas.queue:
                    self.start_load(replicas)
                elif not replicas.running:
                    self.replicas.pop(function, None)
