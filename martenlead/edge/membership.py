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
from martenlead.edge.interfaces import Link
from martenlead.edge.records import Box
from martenlead.policy.types import WorkerFacts, WorkerState
from martenlead.runnerlink.roster import Line, List

STATES = {"up": WorkerState.UP, "draining": WorkerState.DRAINING, "gone": WorkerState.GONE}
LOGGED_EACH = 64  # workers in one piece of news that get a log line each; of more, one line tells how many
UNKNOWN_WEIGHT = 1.0  # of a worker that tells neither weight nor memory


class Membership:
    """The workers, by id and by the policy's object."""

    def __init__(
        self,
        members: List,
        loop: DecisionLoop,
        link: Link,
        name: str,
    ) -> None:
        """`members` is the source's list; `name` is the dispatcher's, for the log."""
        self.members, self.loop, self.link = members, loop, link
        self.boxes: dict[str, Box] = {}
        self.by_runner: dict[Any, Box] = {}
        self.listed = anyio.Event()  # set once a whole list has come
        self.log = structlog.get_logger().bind(edge=name)

    def news(self, told: list[Line], whole: bool) -> None:
        """What a source was told, of changes or of the whole list. Of a list that is sent again only what
        differs reaches the policy: all of a long one would hold up the event loop."""
        first = not self.boxes
        logged = not first and len(told) <= LOGGED_EACH
        news: list[tuple[Any, WorkerFacts]] = []
        gone: list[Box] = []
        if whole and not first:
            listed = {line.id for line in told}
            gone = [box for name, box in self.boxes.items() if name not in listed]
            news = [(box.runner, box.facts(WorkerState.GONE, box.since, UNKNOWN_WEIGHT)) for box in gone]
        for line in told:
            box = None if self._is_known(line) else self._box_of(line)
            if box is None:
                continue
            if line.state == "gone":
                gone.append(box)
                box.gone = True  # at once: the same news may tell of the next process under that id
            else:
                box.line = line
            facts = self._facts(box, line)
            if box.runner is None:
                box.runner = self.loop.border.runner(facts, line.id)
                self.by_runner[box.runner] = box
            news.append((box.runner, facts))
            if logged:
                self.log.info("roster", runner=line.id, state=facts.state.value, version=self.members.version)
        self.loop.decide(self.loop.border.roster, news, whole and first)
        for box in gone:
            box.gone = True
            self.link.leave(box.way)
            self.forget(box)
        if whole or not logged:
            kind = "whole roster" if whole else "roster"
            self.log.info(kind, runners=len(told), news=len(news), version=self.members.version)
        if whole:
            self.listed.set()

    def _is_known(self, line: Line) -> bool:
        """Whether it tells nothing new; that a process has grown older is nothing new."""
        box = self.boxes.get(line.id)
        if box is None or box.gone:
            return False
        return box.line == line or box.line == msgspec.structs.replace(line, age_ms=box.line.age_ms)

    def _box_of(self, line: Line) -> Box | None:
        """The worker that a line is about, made where it is new; None where an unknown one is gone."""
        box = self.boxes.get(line.id)
        if line.state == "gone":
            return box
        if box is None or box.gone:  # else another process under that id: what is out is not its own
            box = self.boxes[line.id] = Box(line, self.link.way(line))
        elif (line.host, line.port) != (box.line.host, box.line.port):
            self.link.leave(box.way)
            box.way = self.link.way(line)
        return box

    def _facts(self, box: Box, line: Line) -> WorkerFacts:
        if not box.runner or line.start != box.started:
            box.since = self._since(line.age_ms)
            box.started = line.start
        state = STATES[line.state]
        if state is WorkerState.UP and box.drains and box.drains == line.start:
            state = WorkerState.DRAINING  # its own word is newer than the source's until it has started anew
        return box.facts(state, box.since, line.weight or line.memory_mb or UNKNOWN_WEIGHT)

    def _since(self, age_ms: float | None) -> int:
        """When a worker started, by our clock; 0 for long ago. None started later than now."""
        if age_ms is None:
            return 0
        age = max(0, round(age_ms * 1e6))
        return max(1, self.loop.clock() - age)

    def forget(self, box: Box) -> None:
        """Forgets a worker that is gone, once the last of what was sent there has ended."""
        if box.gone and not box.out:
            self.by_runner.pop(box.runner, None)
            if self.boxes.get(box.line.id) is box:
                del self.boxes[box.line.id]

    def drains(self, box: Box) -> None:
        """A worker's own word that it drains counts ahead of what the source has told."""
        if box.drains == box.line.start and box.drains:
            return
        box.drains = box.line.start
        facts = box.facts(
            WorkerState.DRAINING, box.since, box.line.weight or box.line.memory_mb or UNKNOWN_WEIGHT
        )
        if box.line.id in self.members.lines:
            self.loop.decide(self.loop.border.roster, [(box.runner, facts)], False)
            self.log.info("drains by its own word", runner=box.line.id)

    def report(self) -> list[dict[str, Any]]:
        """What operators see of each worker."""
        now = self.loop.clock()
        return [
            {
                "id": box.line.id,
                "state": box.runner.facts.state.value,
                "age_ms": (now - box.since) / 1e6 if box.since else None,
                "connections": box.way.open,
                "opened": box.way.opened,
                "report": box.reported,
            }
            for box in self.boxes.values()
        ]
