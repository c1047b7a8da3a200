"""Tells the policy what happens and carries out what it decides. It decides nothing itself.

A request's way: `take` makes it known to the policy, whose generator asks for attempts through `_outlet`; the
link carries each to its worker and reports its end by `ended`, which goes back as an `Answer`; the final
response is set on `Held`, whose `done` tells the listener. Here stand the held requests and their attempts;
membership, functions, load requests and the decision loop are parts that the dispatcher holds. What is spoken
with clients, workers and discovery is known to the listeners, links and sources alone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from time import monotonic_ns
from typing import Any

import anyio

from martenlead.edge.border import Border, Tape
from martenlead.edge.client import ClientConnection
from martenlead.edge.decision_log import DecisionLog
from martenlead.edge.decision_loop import DecisionLoop
from martenlead.edge.event_loop_lag import EventLoopLag
from martenlead.edge.functions import Functions
from martenlead.edge.interfaces import Link, Source
from martenlead.edge.loads import Loads
from martenlead.edge.membership import Membership
from martenlead.edge.records import About, Box, Final, Held, Out, Wanted
from martenlead.policy.types import (
    Action,
    Attempt,
    AttemptResult,
    Cancel,
    Fail,
    ListWorkers,
    LoadRequest,
    Reject,
    Request,
    Result,
    Wait,
)
from martenlead.runnerlink.heard import Heard
from martenlead.runnerlink.roster import Line

FAULT_CHECK_SECONDS = 0.005  # after a fault, between two looks for requests past their time


class Dispatcher:
    """One policy engine and what is around it. `run` holds its task group; all else is called inside it."""

    def __init__(
        self,
        about: About,
        link: Link,
        source: Source,
        clock: Callable[[], int] = monotonic_ns,
        tape: Tape | None = None,
    ) -> None:
        self.about, self.link, self.source, self.clock = about, link, source, clock
        told = about.settings
        told.function_limit = about.models
        self.offerings, self.customers, self.hard = about.offerings, about.customers, about.hard
        self.margin = about.margin
        names = list(self.offerings), self.customers
        self.border = Border(told, about.seed, clock, self._outlet, tape, names)
        self.chance = Random(about.seed)
        self.counts: Counter[tuple[str, str]] = Counter()
        self.loop = DecisionLoop(self.border, clock, self.counts, about.name)
        # bound here, as `known` is below: a call of them passes no further layer
        self.later, self._decide, self._rearm = self.loop.later, self.loop.decide, self.loop.run_due
        self.lag = EventLoopLag(clock, told.tick_ns, lambda tick: self.border.tick(tick))
        self.membership = Membership(source.list, self.loop, link, about.name)
        self.boxes, self.by_runner = self.membership.boxes, self.membership.by_runner
        self.functions = Functions(self.loop, about.models)
        self.models, self.by_model = self.functions.by_name, self.functions.by_model
        self.known = self.functions.known
        self.held: dict[Request, Held] = {}
        self.bytes = 0
        self.list = source.list
        self.closest: int | None = None  # least time left at a final answer, ns
        self._out: dict[Attempt, Out] = {}
        self._decision_log: DecisionLog | None = None
        if about.decisions:
            self._decision_log = DecisionLog(about.name, self.by_runner, self.by_model, self.held)
        self.loads = Loads(link, self.loop, self.membership, self.functions, self._decision_log)
        self.listed = self.membership.listed
        self.about_planner: Callable[[], dict[str, Any]] | None = None
        self.about_door: Callable[[], dict[str, Any]] | None = None
        link.use(self)

    def use_border(self, border: Border) -> None:
        """Puts another border in the place of its own, such as one that measures; before `run`."""
        self.border = self.loop.border = border

    # -- life

    async def run(self) -> None:
        """Until cancelled."""
        async with anyio.create_task_group() as group:
            self.border.begin()
            group.start_soon(self.loop.run)
            group.start_soon(self.lag.run)
            group.start_soon(self._guard)
            group.start_soon(self.link.run)
            group.start_soon(self.source.run, self)

    def fault(self, error: Exception) -> None:
        """An exception where none should be. The request that it left without a wait is ended by `_guard`."""
        self.loop.fault(error)

    async def _guard(self) -> None:
        """After a fault: no request is held past its time, whatever became of its generator."""
        await self.loop.faulty.wait()
        while True:
            await anyio.sleep(FAULT_CHECK_SECONDS)
            late = self.clock() + self.lag.tick
            for task, held in list(self.held.items()):
                if late > task.deadline_ns and held.final is None:
                    held.why = "a fault of the dispatcher"
                    held.end(Final.TURNED_BACK if self.border.may_turn_back(task) else Final.SCRAPPED)
            self._rearm()

    # -- membership

    def news(self, told: list[Line], whole: bool) -> None:
        """What a source was told, of changes or of the whole list."""
        self.membership.news(told, whole)

    def drains(self, box: Box) -> None:
        """A worker's own word that it drains."""
        self.membership.drains(box)

    # -- requests

    def take(
        self,
        wanted: Wanted,
        arrived: int,
        content: Any = None,
        size: int = 0,
        again: bool | None = None,
        done: Callable[[Held], None] | None = None,
        client: ClientConnection | None = None,
    ) -> Held:
        """Makes a request known to the policy. The listener has checked the names and the limits, and calls
        `over` once the final answer, which `done` is told of, is on its way. `again` goes before what
        `wanted` says."""
        held = Held(wanted, arrived, content, size, done, client)
        known = self.known(wanted.model, wanted.lanes, wanted.memory_mb)
        limit = self.hard[wanted.offering]
        left = limit if wanted.left is None else min(wanted.left, limit)
        give_up = arrived + left - self.margin

        def note(task: Request) -> None:
            held.task = task
            self.held[task] = held
            self.bytes += size
            known.open += 1

        customer = self.customers.get(wanted.customer or "")
        offering, faults = self.offerings[wanted.offering], self.loop.faults
        again = wanted.again if again is None else again
        self._decide(
            self.border.take, known.model, offering, customer, give_up, again, wanted.cost, note, wanted.mark
        )
        if self.loop.faults > faults and (held.task is None or not held.task.attempts):
            held.why = "a fault of the dispatcher"  # nothing was sent: no need to wait for `_guard`
            held.end(Final.TURNED_BACK)
        return held

    async def settle(self, held: Held) -> None:
        """Waits for the final answer. Cancelled, the client has left."""
        try:
            if held.final is None:
                event = anyio.Event()
                held.done = lambda _: event.set()
                await event.wait()
        finally:
            held.end(Final.LEFT)
            self.over(held)

    def hasten(self) -> None:
        """Every held request gets its answer now."""
        for held in list(self.held.values()):
            if held.task is not None and held.final is None:
                back = self.border.may_turn_back(held.task)
                held.why = "the dispatcher stops"
                held.end(Final.TURNED_BACK if back else Final.SCRAPPED)

    def over(self, held: Held) -> None:
        """The final answer is on its way, or nobody waits for it: what is still out is cancelled."""
        task = held.task
        if task is None or self.held.pop(task, None) is None:
            return
        self.bytes -= held.size
        known = self.by_model.get(task.function)
        if known is not None:
            known.open -= 1
        if held.final is not None:
            self.counts["final", held.final.value] += 1
            if held.final is not Final.LEFT:
                left = task.deadline_ns - self.clock()
                self.closest = left if self.closest is None else min(self.closest, left)
        self._decide(self.border.closed, task, held.final.value if held.final else "")

    def _outlet(self, action: Action) -> None:
        """Carries out one decision. Nothing here calls the policy back: it is in the middle of deciding."""
        match action:
            case Attempt(request=task, worker=runner):
                box = self.by_runner[runner]
                out = self._out[action] = Out(action, self.held[task], box, len(task.attempts) - 1)
                box.out += 1
                self.link.hand_off(out)
            case Reject(request=task, retry_after_ns=wait):
                held = self.held[task]
                held.wait = wait
                held.end(Final.TURNED_BACK)
            case Fail(request=task):
                self.held[task].end(Final.SCRAPPED)
            case Cancel(attempt=hand_off):
                found = self._out.get(hand_off)
                if found is not None:
                    self.link.call_off(found)
            case LoadRequest():
                self.loads.send(action)
            case ListWorkers() | Wait():
                pass  # the roster is pushed; the engine keeps the waits
        if self._decision_log is not None:
            self._decision_log.decided(action)

    # -- ends of attempts

    def ended(self, out: Out, told: Heard) -> None:
        """From the link: the one end of an attempt."""
        self.later(self._ended, out, told, self.clock())

    def _ended(self, out: Out, told: Heard, now: int) -> None:
        hand_off, held, box = out.hand_off, out.held, out.box
        if self._out.pop(hand_off, None) is None:
            return
        box.out -= 1
        if told.drains:
            self.drains(box)
        box.reported.update(told.report)
        self.counts["hand-off", told.result.value] += 1
        if told.failure:
            self.counts["load failed", told.failure] += 1
        if held.final is None:
            held.why = told.why
        first = told.result is Result.SUCCEEDED and held.final is None
        final = first or held.final is not None
        if first:
            held.answer = told.content
            held.end(Final.SATISFIED)
        lag = max(0, now - hand_off.sent_ns)
        self._decide(self.border.answered, AttemptResult(hand_off, told.result, final, told.warmth, lag))
        self.membership.forget(box)
        if self._decision_log is not None:
            self._decision_log.attempt_ended(out, told)

    # -- what a planner decided

    def decided(
        self, orders: Iterable[tuple[int, Any, Any]], held: Iterable[tuple[Any, Any, bool]]
    ) -> tuple[int, int]:
        """Load requests by the planner's number, worker and function, and which replicas are held. Returns
        how many load requests were sent, and how many the budget had no room for."""
        given = refused = 0
        try:
            for runner, model, on in held:
                self.border.hold(runner, model, on)
            for number, runner, model in orders:
                if self.border.carry(number, runner, model) is None:
                    refused += 1
                else:
                    given += 1
        except Exception as error:
            self.fault(error)
        self._rearm()
        return given, refused

    def recall(self, copies: Iterable[tuple[str, str, int, float, float]]) -> None:
        """Asks workers for replicas of an incarnation before, as `Loads.recall`."""
        self.loads.recall(copies)

    # -- what operators see

    def state(self) -> dict[str, Any]:
        """Of the process, in plain values."""
        return {
            "edge": self.about.name,
            "roster": {"version": self.list.version, "runners": len(self.list.lines)},
            "planner": self.about_planner() if self.about_planner else None,
            "door": self.about_door() if self.about_door else None,
            "held": len(self.held),
            "held_bytes": self.bytes,
            "models": len(self.models),
            "tick_ms": self.lag.tick / 1e6,
            "worst_lag_ms": self.lag.worst / 1e6,
            "closest_answer_ms": None if self.closest is None else self.closest / 1e6,
            "counts": {f"{kind}/{name}": n for (kind, name), n in sorted(self.counts.items())},
            "runners": self.membership.report(),
        }
