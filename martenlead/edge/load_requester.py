"""Sends load requests to workers, and confirms replicas that they had in an earlier run."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

from martenlead.edge.decision_log import DecisionLog
from martenlead.edge.decision_loop import DecisionLoop
from martenlead.edge.function_table import FunctionTable
from martenlead.edge.interfaces import LoadRequestSender
from martenlead.edge.membership import Membership
from martenlead.edge.records import FunctionEntry, UpstreamWorker
from martenlead.policy.types import LoadRequest, Result
from martenlead.upstream.outcome import UpstreamOutcome

NS_PER_MS = 1e6


class LoadRequester:
    """Sends the load requests that the policy decides on, and notifies it of their ends."""

    def __init__(
        self,
        sender: LoadRequestSender,
        decision_loop: DecisionLoop,
        membership: Membership,
        functions: FunctionTable,
        log: DecisionLog | None,
    ) -> None:
        self._sender, self._decision_loop = sender, decision_loop
        self._membership, self._functions, self._log = membership, functions, log

    def send(self, load_request: LoadRequest) -> None:
        """Sends a load request that the policy decides on; called during that decision."""
        worker = self._membership.by_policy_worker.get(load_request.worker)
        entry = self._functions.by_policy_function.get(load_request.function)
        loop = self._decision_loop
        if worker is None or entry is None:  # one of them has been removed since
            record_end = loop.policy_boundary.record_load_end
            loop.defer(loop.decide, record_end, load_request, Result.NOT_SENT, 0)
            return
        worker.in_flight += 1

        on_outcome = partial(loop.defer, self._end_load, load_request, worker)
        self._sender.send_load_request(worker, entry, load_request.replicas, on_outcome)

    def _end_load(
        self, load_request: LoadRequest, worker: UpstreamWorker, outcome: UpstreamOutcome
    ) -> None:
        loop = self._decision_loop
        worker.in_flight -= 1
        if outcome.is_draining:
            self._membership.mark_draining(worker)
        if outcome.load_failure:
            loop.counts["load failed", outcome.load_failure] += 1
        loop.counts["order", outcome.result.value] += 1
        record_end = loop.policy_boundary.record_load_end
        loop.decide(record_end, load_request, outcome.result, outcome.replicas)
        self._membership.forget_if_gone(worker)
        if self._log is not None:
            self._log.log_load_end(load_request, worker, outcome)

    def confirm_replicas(self, replicas: Iterable[tuple[str, str, int, float, float]]) -> None:
        """Asks workers whether they still have replicas of an earlier run.

        Each replica is given by its worker, its function, the function's lanes and MB, and the ms
        since its last use. The query loads nothing and does not count against the load budget.
        """
        for worker_id, function, lanes, memory_mb, idle_ms in replicas:
            worker = self._membership.workers.get(worker_id)
            if worker is None or not self._membership.is_listed_up(worker):
                continue
            if self._functions.is_full:
                return
            entry = self._functions.find_or_add(function, lanes, memory_mb)
            last_used_ns = self._decision_loop.clock() - round(idle_ms * NS_PER_MS)
            self._confirm(worker, entry, last_used_ns)

    def _confirm(self, worker: UpstreamWorker, entry: FunctionEntry, last_used_ns: int) -> None:
        defer = self._decision_loop.defer
        worker.in_flight += 1
        on_outcome = partial(defer, self._end_confirmation, worker, entry, last_used_ns)
        self._sender.send_load_request(worker, entry, 0, on_outcome)

    def _end_confirmation(
        self,
        worker: UpstreamWorker,
        entry: FunctionEntry,
        last_used_ns: int,
        outcome: UpstreamOutcome,
    ) -> None:
        loop = self._decision_loop
        worker.in_flight -= 1
        loop.counts["ask", outcome.result.value] += 1
        loop.decide(
            loop.policy_boundary.confirm_replica,
            worker.policy_worker,
            entry.policy_function,
            outcome.result,
            outcome.replicas,
            last_used_ns,
        )
        self._membership.forget_if_gone(worker)
