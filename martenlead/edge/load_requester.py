"""Load requests to workers, and questions about replicas that they had before: sent, and their ends told."""

from __future__ import annotations

from collections.abc import Iterable

from martenlead.edge.decision_log import DecisionLog
from martenlead.edge.decision_loop import DecisionLoop
from martenlead.edge.function_table import FunctionTable
from martenlead.edge.interfaces import UpstreamLink
from martenlead.edge.membership import Membership
from martenlead.edge.records import FunctionEntry, UpstreamWorker
from martenlead.policy.types import LoadRequest, Result
from martenlead.upstream.outcome import UpstreamOutcome

NS_PER_MS = 1e6


class LoadRequester:
    """Sends what the policy has decided to load. Each has one end, which the policy is told."""

    def __init__(
        self,
        link: UpstreamLink,
        loop: DecisionLoop,
        membership: Membership,
        functions: FunctionTable,
        log: DecisionLog | None,
    ) -> None:
        self._link, self._loop, self._membership, self._functions = link, loop, membership, functions
        self._log = log

    def send(self, order: LoadRequest) -> None:
        """Carries out a decision of the policy, in whose middle this is called."""
        box, known = (
            self._membership.by_policy_worker.get(order.worker),
            self._functions.by_policy_function.get(order.function),
        )
        if box is None or known is None:  # either was forgotten since
            self._loop.defer(
                self._loop.decide, self._loop.policy_boundary.record_load_end, order, Result.NOT_SENT, 0
            )
            return
        box.in_flight += 1

        def told(heard: UpstreamOutcome) -> None:
            self._loop.defer(self._end_load, order, box, heard)

        self._link.send_load_request(box, known, order.replicas, told)

    def _end_load(self, order: LoadRequest, box: UpstreamWorker, heard: UpstreamOutcome) -> None:
        box.in_flight -= 1
        if heard.is_draining:
            self._membership.mark_draining(box)
        if heard.load_failure:
            self._loop.counts["load failed", heard.load_failure] += 1
        self._loop.counts["order", heard.result.value] += 1
        self._loop.decide(self._loop.policy_boundary.record_load_end, order, heard.result, heard.replicas)
        self._membership.forget_if_gone(box)
        if self._log is not None:
            self._log.log_load_end(order, box, heard)

    def confirm_replicas(self, copies: Iterable[tuple[str, str, int, float, float]]) -> None:
        """Asks workers for replicas that were held in an incarnation before: worker, function, lanes, MB, ms
        since they were used. An ask loads nothing and takes none of the load budget."""
        for name, model, lanes, memory_mb, age_ms in copies:
            box = self._membership.workers.get(name)
            if (
                box is not None
                and box.endpoint.id in self._membership.endpoint_list.endpoints
                and box.endpoint.state == "up"
            ):
                if self._functions.is_full:
                    return
                known = self._functions.find_or_add(model, lanes, memory_mb)
                self._confirm(box, known, self._loop.clock() - round(age_ms * NS_PER_MS))

    def _confirm(self, box: UpstreamWorker, known: FunctionEntry, touched: int) -> None:
        def answered(heard: UpstreamOutcome) -> None:
            box.in_flight -= 1
            self._loop.counts["ask", heard.result.value] += 1
            self._loop.decide(
                self._loop.policy_boundary.confirm_replica,
                box.policy_worker,
                known.policy_function,
                heard.result,
                heard.replicas,
                touched,
            )
            self._membership.forget_if_gone(box)

        box.in_flight += 1
        self._link.send_load_request(box, known, 0, lambda heard: self._loop.defer(answered, heard))
