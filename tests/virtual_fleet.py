"""Many dispatchers and workers in virtual time, without sockets: each dispatcher is a `PolicyBoundary`.

Workers are stubs. They answer an attempt after `RUN_NS`, or after a load first if they have no replica, and
end a load request after `LOAD_NS`. Workers that are down answer nothing.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from heapq import heappop, heappush
from typing import Any

from martenlead.edge.policy_boundary import PolicyBoundary, Recorder
from martenlead.policy import types
from tests.play import IDEMPOTENT, MS, SETTINGS

SECOND = 1000 * MS
RUN_NS, LOAD_NS = 20 * MS, 200 * MS
REQUEST_TIMEOUT = 4 * SECOND


def worker_facts(
    mark: int, state: types.WorkerState = types.WorkerState.UP, started_ns: int = 0, weight: float = 1.0
) -> types.WorkerFacts:
    """What discovery reports of one worker."""
    return types.WorkerFacts(mark, f"zone-{mark % 10}", 0, 50_000.0, weight, state, started_ns)


def facts_of_workers(
    marks: Iterable[int], state: types.WorkerState = types.WorkerState.UP, started_ns: int = 0
) -> list[types.WorkerFacts]:
    """What discovery reports of several workers in the same state."""
    return [worker_facts(mark, state, started_ns) for mark in marks]


class SentAttempt:
    """An attempt that a dispatcher sent, with its time, its function and the mark of its worker."""

    def __init__(self, time_ns: int, function: int, mark: int, attempt: types.Attempt) -> None:
        self.time_ns, self.function, self.mark, self.attempt = time_ns, function, mark, attempt


class Dispatcher:
    """One dispatcher of a fleet. Records its attempts, load requests, requests and final responses."""

    def __init__(self, fleet: Fleet, seed: int, recorder: Recorder | None = None, **changes: Any) -> None:
        """Joins the fleet; `changes` are settings that differ from SETTINGS."""
        self.fleet = fleet
        self.settings = replace(SETTINGS, **changes)
        names = (["check", "post", "once"], dict[str, types.Tenant]())
        self.boundary = PolicyBoundary(self.settings, seed, lambda: fleet.now, self._outlet, recorder, names)
        self.policy = self.boundary.inspect(lambda policy, _: policy)
        self.workers: dict[int, Any] = {}
        self.functions: dict[int, Any] = {}
        self.attempts: list[SentAttempt] = []
        self.load_requests: list[tuple[int, int, int]] = []  # time, function, worker
        self.call_times_ns: list[int] = []
        self.final_responses: Counter[str] = Counter()
        self.ended_requests: set[types.Request] = set()
        fleet.dispatchers.append(self)

    def update_workers(self, updates: list[types.WorkerFacts], is_snapshot: bool = False) -> None:
        """Applies a report of discovery; a worker that is named for the first time gets its object."""
        for facts in updates:
            if facts.mark not in self.workers:
                self.workers[facts.mark] = self.boundary.add_worker(facts, f"w{facts.mark}")
        self.boundary.update_workers([(self.workers[facts.mark], facts) for facts in updates], is_snapshot)

    def start(self) -> Dispatcher:
        """Starts the policy's background generators; returns the dispatcher itself."""
        self.boundary.start()
        return self

    def function(self, number: int) -> Any:
        """The object of a function, created when it is named for the first time."""
        if number not in self.functions:
            function = self.boundary.add_function(types.FunctionFacts(number, 2, 3000.0), f"f{number}")
            self.functions[number] = function
        return self.functions[number]

    def call(self, number: int, request_class: types.RequestClass = IDEMPOTENT) -> int | None:
        """Sends a request; returns the worker of an attempt made at once, or None if there is none."""
        self.call_times_ns.append(self.fleet.now)
        accepted: list[types.Request] = []
        before = len(self.attempts)
        deadline_ns = self.fleet.now + REQUEST_TIMEOUT
        self.boundary.accept_request(
            self.function(number), request_class, None, deadline_ns, False, 0.0, accepted.append
        )
        return self.attempts[before].mark if len(self.attempts) > before else None

    def _outlet(self, action: types.Action) -> None:
        match action:
            case types.Attempt(worker=worker, request=request):
                mark, function = worker.facts.mark, request.function.facts.mark
                self.attempts.append(SentAttempt(self.fleet.now, function, mark, action))
                self.fleet.start_attempt(self, action, mark, function)
            case types.LoadRequest(worker=worker, function=loaded):
                mark, function = worker.facts.mark, loaded.facts.mark
                self.load_requests.append((self.fleet.now, function, mark))
                self.fleet.start_load(self, action, mark, function)
            case types.Reject(request=request):
                self._end_request(request, "rejected")
            case types.Fail(request=request):
                self._end_request(request, "dropped")

    def _end_request(self, request: types.Request, outcome: str) -> None:
        assert request not in self.ended_requests, "a second final response"
        self.ended_requests.add(request)
        self.final_responses[outcome] += 1
        self.fleet.schedule(0, lambda: self.boundary.close_request(request, outcome))

    def end_attempt(self, attempt: types.Attempt, result: types.Result, warmth: types.Warmth) -> None:
        """Gives the policy the result of an attempt; the first success of a request ends it."""
        latency_ns = self.fleet.now - attempt.sent_ns
        is_final = result is types.Result.SUCCEEDED and attempt.request not in self.ended_requests
        self.boundary.record_result(types.AttemptResult(attempt, result, is_final, warmth, latency_ns))
        if is_final:
            self._end_request(attempt.request, "satisfied")


class Fleet:
    """The clock and its scheduled actions, and which workers are up and have which functions loaded."""

    def __init__(self, marks: Iterable[int]) -> None:
        self.now = 0
        self.dispatchers: list[Dispatcher] = []
        self.up = set(marks)
        self.replicas: dict[int, set[int]] = {}  # functions by worker
        self.run_time: dict[int, int] = {}  # run time of functions that do not take RUN_NS
        self._due: list[tuple[int, int, Callable[[], Any]]] = []
        self._count = 0

    def schedule(self, delay_ns: int, action: Callable[[], Any]) -> None:
        """Has an action run after a delay."""
        self._count += 1
        heappush(self._due, (self.now + delay_ns, self._count, action))

    def start_attempt(self, dispatcher: Dispatcher, attempt: types.Attempt, mark: int, function: int) -> None:
        """Runs an attempt at a worker, which loads the function first if needed."""
        if mark not in self.up:
            self.schedule(
                RUN_NS,
                lambda: dispatcher.end_attempt(attempt, types.Result.UNREACHABLE, types.Warmth.UNKNOWN),
            )
            return
        loaded = self.replicas.setdefault(mark, set())
        warmth = types.Warmth.WARM if function in loaded else types.Warmth.STARTED_LOAD
        loaded.add(function)
        duration_ns = self.run_time.get(function, RUN_NS) + (0 if warmth is types.Warmth.WARM else LOAD_NS)
        self.schedule(duration_ns, lambda: dispatcher.end_attempt(attempt, types.Result.SUCCEEDED, warmth))

    def start_load(self, dispatcher: Dispatcher, load: types.LoadRequest, mark: int, function: int) -> None:
        """Loads a function at a worker, if it is up."""
        result = types.Result.SUCCEEDED if mark in self.up else types.Result.UNREACHABLE
        if mark in self.up:
            self.replicas.setdefault(mark, set()).add(function)
        self.schedule(
            LOAD_NS, lambda: dispatcher.boundary.record_load_end(load, result, int(mark in self.up))
        )

    def stop_workers(self, marks: Iterable[int]) -> None:
        """Ends the processes of workers, which lose their replicas."""
        for mark in marks:
            self.up.discard(mark)
            self.replicas.pop(mark, None)

    def run_until(self, end_ns: int) -> None:
        """Moves the clock, running whatever is due."""
        while True:
            dues = [due for d in self.dispatchers if (due := d.boundary.next_due_ns()) is not None]
            next_at = min([*dues, *(entry[0] for entry in self._due[:1])], default=end_ns + 1)
            if next_at > end_ns:
                break
            self.now = max(self.now, next_at)
            while self._due and self._due[0][0] <= self.now:
                heappop(self._due)[2]()
            for dispatcher in self.dispatchers:
                dispatcher.boundary.advance()
        self.now = max(self.now, end_ns)

    def run_for(self, duration_ns: int) -> None:
        """Moves the clock by a time, running whatever is due."""
        self.run_until(self.now + duration_ns)
