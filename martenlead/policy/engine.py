"""Runs the policy's generators: resumes them with results, or with None when a wait is over.

The same engine serves every program. It has neither a wire format nor a clock: it passes the
policy's actions to an outlet, and its caller gives it the time in ns.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from martenlead.policy.policy import Policy
from martenlead.policy.state import Function, Worker
from martenlead.policy.types import (
    Action,
    AttemptResult,
    EarlierRun,
    LoadRequest,
    Request,
    Result,
    Steps,
    Wait,
)


class Process:
    """A running generator and its current wait; `turn` counts how often it was resumed."""

    __slots__ = ("alive", "steps", "turn")

    def __init__(self, steps: Steps) -> None:
        self.steps = steps
        self.turn = 0
        self.alive = True


class Engine:
    """A policy, its running generators and their timers.

    The caller sets the policy's clock before each call.
    """

    def __init__(self, policy: Policy, outlet: Callable[[Action], None]) -> None:
        self.policy = policy
        self.outlet = outlet
        self._due: list[tuple[int, int, Process, int]] = []
        self._count = 0

    def start(self) -> None:
        """Starts the background generators, which run as long as the dispatcher does."""
        for steps in self.policy.background():
            self._resume(Process(steps), None)

    def handle_request(self, request: Request) -> None:
        """Starts to handle a request that has arrived."""
        request.process = Process(self.policy.handle_request(request))
        self._resume(request.process, None)

    def record_result(self, answer: AttemptResult) -> None:
        """Records the end of an attempt, and resumes its request if that is waiting."""
        self.policy.record_result(answer)
        self._resume(answer.attempt.request.process, answer)

    def record_load_end(self, load: LoadRequest, result: Result, replicas: int) -> None:
        """Records the end of a load request and the number of replicas loaded at its worker."""
        self.policy.record_load_end(load, result, replicas)

    def choose_worker(self, request: Request) -> Worker | None:
        """The worker that this request would be sent to now, or None.

        The choice is the same as for an attempt, but none is started.
        """
        return self.policy.placement.choose_worker(request, set())

    def set_retained(self, worker: Worker, function: Function, is_retained: bool) -> None:
        """Sets whether a replica is retained, as another instance of the policy decided."""
        self.policy.state.replica(function, worker).is_retained = is_retained

    def request_load(self, worker: Worker, function: Function) -> LoadRequest | None:
        """Makes a load request that another policy instance decided on; None if not allowed.

        This instance's budget decides: it counts all load requests, whoever decided on them.
        """
        if not self.policy.load_budget.allows(worker):
            return None
        replica = self.policy.state.replica(function, worker)
        replica.is_retained = True
        load = self.policy.scaling.request_load(replica)
        self.outlet(load)
        return load

    def restore(self, earlier: EarlierRun) -> None:
        """Restores what an earlier run of this dispatcher had learnt."""
        self.policy.restore(earlier)

    def confirm_replica(
        self, worker: Worker, function: Function, result: Result, replicas: int, last_used_ns: int
    ) -> None:
        """Records the load state of a replica that was retained before this run began."""
        self.policy.record_load_end(LoadRequest(worker, function, 0), result, replicas)
        replica = self.policy.state.replica(function, worker)
        if replica.is_loaded:
            replica.is_retained, replica.last_used_ns = (
                True,
                max(replica.last_used_ns, last_used_ns),
            )

    def close_request(self, request: Request) -> None:
        """Closes a request that has its final response, or whose client has left."""
        is_cancelled = request.process.alive  # the policy has not finished it
        if is_cancelled:
            request.process.alive = False
            request.process.steps.close()
        for action in self.policy.close_request(request, is_cancelled):
            self.outlet(action)

    def next_due_ns(self) -> int | None:
        """When `advance` has to be called next, or None if nothing is waiting."""
        while self._due and not self._waiting(self._due[0]):
            heappop(self._due)
        return self._due[0][0] if self._due else None

    def advance(self, now: int) -> None:
        """Resumes all generators whose wait is over."""
        while self._due and self._due[0][0] <= now:
            entry = heappop(self._due)
            if self._waiting(entry):
                self._resume(entry[2], None)

    @staticmethod
    def _waiting(entry: tuple[int, int, Process, int]) -> bool:
        return entry[2].alive and entry[2].turn == entry[3]

    def _resume(self, process: Process, value: AttemptResult | None) -> None:
        if not process.alive:
            return
        process.turn += 1
        try:
            action = process.steps.send(value) if process.turn > 1 else next(process.steps)
            while not isinstance(action, Wait):
                self.outlet(action)
                action = process.steps.send(None)
        except StopIteration:
            process.alive = False
            return
        self._count += 1
        heappush(self._due, (action.until_ns, self._count, process, process.turn))
