"""Load requests to workers, and questions about replicas that they had before: sent, and their ends told."""

from __future__ import annotations

from collections.abc import Iterable

from martenlead.edge.decision_log import DecisionLog
from martenlead.edge.decision_loop import DecisionLoop
from martenlead.edge.functions import Functions
from martenlead.edge.interfaces import Link
from martenlead.edge.membership import Membership
from martenlead.edge.records import Box, Known
from martenlead.policy.types import LoadRequest, Result
from martenlead.runnerlink.heard import Heard

NS_PER_MS = 1e6


class Loads:
    """Sends what the policy has decided to load. Each has one end, which the policy is told."""

    def __init__(
        self,
        link: Link,
        loop: DecisionLoop,
        membership: Membership,
        functions: Functions,
        log: DecisionLog | None,
    ) -> None:
        self._link, self._loop, self._membership, self._functions = link, loop, membership, functions
        self._log = log

    def send(self, order: LoadRequest) -> None:
        """Carries out a decision of the policy, in whose middle this is called."""
        box, known = (
            self._membership.by_runner.get(order.worker),
            self._functions.by_model.get(order.function),
        )
        if box is None or known is None:  # either was forgotten since
            self._loop.later(self._loop.decide, self._loop.border.ordered, order, Result.NOT_SENT, 0)
            return
        box.out += 1

        def told(heard: Heard) -> None:
            self._loop.later(self._ended, order, box, heard)

        self._link.order(box, known, order.replicas, told)

    def _ended(self, order: LoadRequest, box: Box, heard: Heard) -> None:
        box.out -= 1
        if heard.drains:
            self._membership.drains(box)
        if heard.failure:
            self._loop.counts["load failed", heard.failure] += 1
        self._loop.counts["order", heard.result.value] += 1
        self._loop.decide(self._loop.border.ordered, order, heard.result, heard.copies)
        self._membership.forget(box)
        if self._log is not None:
            self._log.load_ended(order, box, heard)

    def recall(self, copies: Iterable[tuple[str, str, int, float, float]]) -> None:
        """Asks workers for replicas that were held in an incarnation before: worker, function, lanes, MB, ms
        since they were used. An ask loads nothing and takes none of the load budget."""
        for name, model, lanes, memory_mb, age_ms in copies:
            box = self._membership.boxes.get(name)
            if box is not None and box.line.id in self._membership.members.lines and box.line.state == "up":
                if self._functions.is_full:
                    return
                known = self._functions.known(model, lanes, memory_mb)
                self._ask(box, known, self._loop.clock() - round(age_ms * NS_PER_MS))

    def _ask(self, box: Box, known: Known, touched: int) -> None:
        def answered(heard: Heard) -> None:
            box.out -= 1
            self._loop.counts["ask", heard.result.value] += 1
            self._loop.decide(
                self._loop.border.recalled, box.runner, known.model, heard.result, heard.copies, touched
            )
            self._membership.forget(box)

        box.out += 1
        self._link.order(box, known, 0, lambda heard: self._loop.later(answered, heard))
