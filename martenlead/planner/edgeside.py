"""The edge's end of the link on sockets: beside the dispatcher, in its event loop, never on a task's path."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from random import Random
from time import monotonic_ns
from typing import Any

import anyio
import structlog
from anyio.abc import SocketStream

from martenlead.capture import events as ev
from martenlead.capture.tape import Tape, module_hash
from martenlead.config.edge import Address, Edge, PlannerLink, ns
from martenlead.edge.dispatcher import Dispatcher
from martenlead.planner import frames as fr
from martenlead.planner.link import Broken, EdgeEnd, Limits
from martenlead.planner.snapshot import take
from martenlead.policy.policy import Policy
from martenlead.policy.types import FunctionFacts, Settings, Tenant, WorkerFacts

LOOK = 50_000_000  # ns between two looks at who decides
GONE = (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class LinkTape(Tape):
    """A tape that also finds objects by their numbers, and writes all that the module knows."""

    def __init__(self, sink: Callable[[ev.Event], None], edge: str, most: int) -> None:
        """`most` models are written in a state."""
        super().__init__(sink, edge)
        self.most = most
        self.by_number: tuple[list[Any], list[Any]] = ([], [])
        self.names: tuple[dict[Any, str], dict[Any, str]] = ({}, {})
        self.started: ev.Start | None = None

    def start(
        self, t: int, settings: Settings, seed: int, names: list[str], customers: dict[str, Tenant]
    ) -> None:
        found: list[Any] = []
        sink = self.sink
        self.sink = found.append
        super().start(t, settings, seed, names, customers)
        self.sink = sink
        (self.started,) = found

    def runner(self, t: int, runner: Any, facts: WorkerFacts, name: str) -> None:
        self.by_number[0].append(runner)
        self.names[0][runner] = name
        super().runner(t, runner, facts, name)

    def model(self, t: int, model: Any, facts: FunctionFacts, name: str) -> None:
        self.by_number[1].append(model)
        self.names[1][model] = name
        super().model(t, model, facts, name)

    def state(self, policy: Policy, _now: int) -> tuple[dict[str, Any], set[int]]:
        """All that the module knows, and which models are in it."""
        assert self.started is not None
        told = take(
            policy, self.started, self.runners, self.models, self.tasks, self.customers, self.names, self.most
        )
        return told, {model[0] for model in told["models"]}


class EdgeSide:
    """`tape` is to be given to the dispatcher's border; `run` runs beside the dispatcher."""

    def __init__(self, edge: Edge, link: PlannerLink, clock: Callable[[], int] = monotonic_ns) -> None:
        self.edge, self.link, self.clock = edge, link, clock
        chance = Random(edge.seed) if edge.seed is not None else Random()
        self.pick = chance.random
        life = f"{Random().getrandbits(64):016x}"
        limits = Limits(ns(link.lease_ms), link.outbox_bytes, ns(link.snapshot_ms), link.speaks)
        self.end = EdgeEnd(edge.name, life, module_hash(), clock, self._state, limits)
        self.tape = LinkTape(self.end.put, edge.name, link.snapshot_models)
        self.dispatcher: Dispatcher
        self.plans = edge.models.orders  # whether this process decides on copies at present
        self.counts: Counter[str] = Counter()
        self.log = structlog.get_logger().bind(edge=edge.name)
        self._leased = -1 << 62  # the last moment that a planner had the lease
        self._held: set[tuple[int, int]] = set()  # as planners said, by numbers

    def _state(self) -> tuple[dict[str, Any], set[int]]:
        told: tuple[dict[str, Any], set[int]] = self.dispatcher.border.look(self.tape.state)
        return told

    async def run(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        dispatcher.about_planner = self.told
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch)
            group.start_soon(self._keep_linked)

    def told(self) -> dict[str, Any]:
        return {**self.end.told(), "plans_itself": self.plans, **self.counts}

    async def _watch(self) -> None:
        while self.edge.models.orders:
            self.look()
            await anyio.sleep(LOOK / 1e9)

    def look(self) -> None:
        """Who decides on copies: the planner while it has the lease, this process once there was none for
        `alone_ms`, and nobody in between."""
        now = self.clock()
        if self.end.leased():
            self._leased = now
            if self.plans:
                self._decide_here(False)
        elif not self.plans and now - self._leased > ns(self.link.alone_ms):
            self._decide_here(True)

    def _decide_here(self, on: bool) -> None:
        self.plans = on
        self.dispatcher.border.plans(on)
        self.counts["took over" if on else "handed over"] += 1
        self.log.info("plans itself" if on else "is planned for", planner=self.end.planner)

    async def _keep_linked(self) -> None:
        at, wait = 0, self.link.retry_ms / 1000
        while True:
            address = self.link.at[at % len(self.link.at)]
            try:
                await self._linked(address)
                why = "the planner closed the connection"
            except* (Broken, fr.BadFrame) as errors:
                why = str(errors.exceptions[0])
            except* GONE as errors:
                why = f"{type(errors.exceptions[0]).__name__} {errors.exceptions[0]}".strip()
            except* Exception as errors:  # of the event loop or ours: the edge goes on without a planner
                self.dispatcher.fault(errors)
                why = "a fault of ours"
            proven = self.end.proven()
            self.end.lost()
            self.counts["links lost"] += 1
            self.log.warning("no planner", why=why, host=address.host, port=address.port)
            if proven:
                wait = self.link.retry_ms / 1000  # it may be back at once
            else:
                at += 1
                wait = min(2 * wait, self.link.retry_ms / 100)
            await anyio.sleep(wait * (0.5 + self.pick()))

    async def _linked(self, address: Address) -> None:
        with anyio.fail_after(self.link.lease_ms / 1000):
            stream = await anyio.connect_tcp(address.host, address.port)
        try:
            self.end.connected()
            async with anyio.create_task_group() as group:
                group.start_soon(self._write, stream)
                await self._read(stream)
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _write(self, stream: SocketStream) -> None:
        every, longest = self.link.flush_ms / 1000, self.link.lease_ms / 1000
        while True:
            data = self.end.next()
            if data is None:
                await anyio.sleep(every)
                continue
            with anyio.fail_after(longest):  # one that does not read is as one that does not answer
                await stream.send(data)

    async def _read(self, stream: SocketStream) -> None:
        reader = fr.Reader()
        while True:
            with suppress(anyio.EndOfStream):
                data = await stream.receive()
                for message in reader.feed(data):
                    self.end.received(message)
                self.apply()
                continue
            return

    def apply(self) -> None:
        while self.end.decided:
            message = self.end.decided.popleft()
            if isinstance(message, fr.Recall):
                self.dispatcher.recall(message.copies)
                continue
            runners, models = self.tape.by_number
            try:
                held = [(runners[r], models[m], on) for r, m, on in message.held]
                orders = [(number, runners[r], models[m]) for number, r, m in message.orders]
            except IndexError:
                raise Broken("it decided on what there is not") from None
            if message.whole:
                named = {(r, m) for r, m, _ in message.held}
                held += [(runners[r], models[m], False) for r, m in sorted(self._held - named)]
                self._held = named
            for r, m, on in message.held:
                (self._held.add if on else self._held.discard)((r, m))
            given, refused = self.dispatcher.decided(orders, held)
            self.counts["orders"] += given
            self.counts["orders refused"] += refused
