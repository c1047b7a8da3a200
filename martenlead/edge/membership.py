"""Membership as this process knows it: which workers there are, in which state, and who tells the policy.

A source of membership calls `Membership.news`; a link that hears from a worker itself that it drains calls
`Membership.drains`. Only what changes reaches the policy.
"""

from __future__ import annotations

from typing import Any

import anyio
import msgspec
import structlog

from martenlead.edge.decision_loop import DecisionLoop
from martenlead.edge.interfaces import UpstreamLink
from martenlead.edge.records import UpstreamWorker
from martenlead.policy.types import WorkerFacts, WorkerState
from martenlead.upstream.endpoints import Endpoint, EndpointList

STATES = {"up": WorkerState.UP, "draining": WorkerState.DRAINING, "gone": WorkerState.GONE}
LOGGED_EACH = 64  # workers in one piece of news that get a log line each; of more, one line tells how many
UNKNOWN_WEIGHT = 1.0  # of a worker that tells neither weight nor memory


class Membership:
    """The workers, by id and by the policy's object."""

    def __init__(
        self,
        members: EndpointList,
        loop: DecisionLoop,
        link: UpstreamLink,
        name: str,
    ) -> None:
        """`members` is the source's list; `name` is the dispatcher's, for the log."""
        self.endpoint_list, self.decision_loop, self.link = members, loop, link
        self.workers: dict[str, UpstreamWorker] = {}
        self.by_policy_worker: dict[Any, UpstreamWorker] = {}
        self.snapshot_received = anyio.Event()  # set once a whole list has come
        self.log = structlog.get_logger().bind(edge=name)

    def update_endpoints(self, told: list[Endpoint], whole: bool) -> None:
        """What a source was told, of changes or of the whole list. Of a list that is sent again only what
        differs reaches the policy: all of a long one would hold up the event loop."""
        first = not self.workers
        logged = not first and len(told) <= LOGGED_EACH
        news: list[tuple[Any, WorkerFacts]] = []
        gone: list[UpstreamWorker] = []
        if whole and not first:
            listed = {line.id for line in told}
            gone = [box for name, box in self.workers.items() if name not in listed]
            news = [
                (box.policy_worker, box.build_facts(WorkerState.GONE, box.started_ns, UNKNOWN_WEIGHT))
                for box in gone
            ]
        for line in told:
            box = None if self._is_known(line) else self._find_or_add_worker(line)
            if box is None:
                continue
            if line.state == "gone":
                gone.append(box)
                box.is_gone = True  # at once: the same news may tell of the next process under that id
            else:
                box.endpoint = line
            facts = self._update_facts(box, line)
            if box.policy_worker is None:
                box.policy_worker = self.decision_loop.policy_boundary.add_worker(facts, line.id)
                self.by_policy_worker[box.policy_worker] = box
            news.append((box.policy_worker, facts))
            if logged:
                self.log.info(
                    "roster", runner=line.id, state=facts.state.value, version=self.endpoint_list.version
                )
        self.decision_loop.decide(self.decision_loop.policy_boundary.update_workers, news, whole and first)
        for box in gone:
            box.is_gone = True
            self.link.retire_connections(box.connections)
            self.forget_if_gone(box)
        if whole or not logged:
            kind = "whole roster" if whole else "roster"
            self.log.info(kind, runners=len(told), news=len(news), version=self.endpoint_list.version)
        if whole:
            self.snapshot_received.set()

    def _is_known(self, line: Endpoint) -> bool:
        """Whether it tells nothing new; that a process has grown older is nothing new."""
        box = self.workers.get(line.id)
        if box is None or box.is_gone:
            return False
        return box.endpoint == line or box.endpoint == msgspec.structs.replace(
            line, age_ms=box.endpoint.age_ms
        )

    def _find_or_add_worker(self, line: Endpoint) -> UpstreamWorker | None:
        """The worker that a line is about, made where it is new; None where an unknown one is gone."""
        box = self.workers.get(line.id)
        if line.state == "gone":
            return box
        if box is None or box.is_gone:  # else another process under that id: what is out is not its own
            box = self.workers[line.id] = UpstreamWorker(line, self.link.create_connections(line))
        elif (line.host, line.port) != (box.endpoint.host, box.endpoint.port):
            self.link.retire_connections(box.connections)
            box.connections = self.link.create_connections(line)
        return box

    def _update_facts(self, box: UpstreamWorker, line: Endpoint) -> WorkerFacts:
        if not box.policy_worker or line.incarnation != box.started_incarnation:
            box.started_ns = self._to_started_ns(line.age_ms)
            box.started_incarnation = line.incarnation
        state = STATES[line.state]
        if (
            state is WorkerState.UP
            and box.draining_incarnation
            and box.draining_incarnation == line.incarnation
        ):
            state = WorkerState.DRAINING  # its own word is newer than the source's until it has started anew
        return box.build_facts(state, box.started_ns, line.weight or line.memory_mb or UNKNOWN_WEIGHT)

    def _to_started_ns(self, age_ms: float | None) -> int:
        """When a worker started, by our clock; 0 for long ago. None started later than now."""
        if age_ms is None:
            return 0
        age = max(0, round(age_ms * 1e6))
        return max(1, self.decision_loop.clock() - age)

    def forget_if_gone(self, box: UpstreamWorker) -> None:
        """Forgets a worker that is gone, once the last of what was sent there has ended."""
        if box.is_gone and not box.in_flight:
            self.by_policy_worker.pop(box.policy_worker, None)
            if self.workers.get(box.endpoint.id) is box:
                del self.workers[box.endpoint.id]

    def mark_draining(self, box: UpstreamWorker) -> None:
        """A worker's own word that it drains counts ahead of what the source has told."""
        if box.draining_incarnation == box.endpoint.incarnation and box.draining_incarnation:
            return
        box.draining_incarnation = box.endpoint.incarnation
        facts = box.build_facts(
            WorkerState.DRAINING,
            box.started_ns,
            box.endpoint.weight or box.endpoint.memory_mb or UNKNOWN_WEIGHT,
        )
        if box.endpoint.id in self.endpoint_list.endpoints:
            self.decision_loop.decide(
                self.decision_loop.policy_boundary.update_workers, [(box.policy_worker, facts)], False
            )
            self.log.info("drains by its own word", runner=box.endpoint.id)

    def report_workers(self) -> list[dict[str, Any]]:
        """What operators see of each worker."""
        now = self.decision_loop.clock()
        return [
            {
                "id": box.endpoint.id,
                "state": box.policy_worker.facts.state.value,
                "age_ms": (now - box.started_ns) / 1e6 if box.started_ns else None,
                "connections": box.connections.open_connections,
                "opened": box.connections.connections_opened,
                "report": box.load_report,
            }
            for box in self.workers.values()
        ]
