"""Keeps what the dispatcher knows in a folder, beside it, and gives it back at the next start.

Never on a task's path: what is known is read in the event loop, seldom enough to take less than a
hundredth of it, and written in a thread. A folder that cannot be used, or a disk that is full, is told
once; serving goes on.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import msgspec
import structlog

from martenlead.config.edge import Edge, Lasting, ns
from martenlead.edge.dispatcher import Dispatcher
from martenlead.lasting import knowledge as kn
from martenlead.lasting.disk import Folder
from martenlead.lasting.store import InUse, Kind, Store, TooLarge

KNOWLEDGE = Kind("knowledge")
ASK_WITHIN = 0.25  # s after a start in which copies are asked for, so that dispatchers do not ask in step
SHARE = 100  # times what one reading of the module takes, until the next


def boot() -> str:
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


def uptime() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class Keeper:
    def __init__(self, edge: Edge, told: Lasting, wall: Callable[[], int] = time.time_ns) -> None:
        self.told, self.wall = told, wall
        self.log = structlog.get_logger().bind(edge=edge.name)
        self.store: Store | None = None
        self.last: tuple[int, kn.Knowledge] | None = None
        self.counts = {"saved": 0, "failed": 0}
        self.found: tuple[kn.Knowledge, int] | None = None  # and its age, ns
        self._said = ""
        try:
            folder = Folder(Path(told.folder) / edge.name)
            self.store = Store(folder, told.deployment, wall, told.bytes)
        except (OSError, InUse) as error:
            self.log.warning("nothing is kept", why=str(error), folder=told.folder)
            return
        state = self.store.read(KNOWLEDGE)
        if state is not None:
            try:
                known = msgspec.convert(state.value, kn.Knowledge)
                age = kn.age(known, state.saved, wall(), boot(), uptime())
                self.found = known, age
            except msgspec.ValidationError as error:
                self.store.problems.append(f"knowledge: {error}")
        for problem in self.store.problems:
            self.log.warning("a state is lost", why=problem)
        self.store.problems.clear()

    async def run(self, dispatcher: Dispatcher) -> None:
        """As long as the dispatcher; what is known is saved once more as it ends."""
        await dispatcher.listed.wait()
        try:
            await self._safely(self._restore, dispatcher)
            while self.store is not None and await self._safely(self._once, dispatcher):
                pass
        finally:
            if self.store is not None:
                with suppress(Exception):  # told when it was met first
                    for _ in self._gathering(dispatcher):
                        pass
                self._save()
                self.store.close()

    async def _safely(self, work: Callable[[Dispatcher], Awaitable[None]], dispatcher: Dispatcher) -> bool:
        """What is kept must cost no task anything: a fault in it is told, and nothing more is kept."""
        try:
            await work(dispatcher)
        except Exception as error:
            self.log.error("a fault of ours: nothing more is kept", exc_info=error)
            return False
        return True

    async def _once(self, dispatcher: Dispatcher) -> None:
        """One saving, and the wait until the next."""
        took = 0.0
        steps = self._gathering(dispatcher)
        more: bool | None = True
        while more:
            begun = time.perf_counter()
            more = next(steps, None)
            took += time.perf_counter() - begun
            await anyio.sleep(0)
        await anyio.to_thread.run_sync(self._save)
        await anyio.sleep(max(ns(self.told.every_ms) / 1e9, SHARE * took))

    async def _restore(self, dispatcher: Dispatcher) -> None:
        if self.found is None:
            return
        known, age = self.found
        runners = self._runners(dispatcher)
        most = dispatcher.about.models
        models = {
            m.name: dispatcher.known(m.name, m.lanes, m.memory_mb).model
            for m in known.models[: max(0, most - len(dispatcher.models))]
        }
        settings = dispatcher.border.look(lambda policy, _: policy.settings)
        dispatcher.border.remember(kn.past(known, age, models, runners, settings.load_window_ns))
        for name in kn.drained(known, runners):
            dispatcher.drains(dispatcher.boxes[name])
        asks = kn.asks(known, age, settings.keep_alive_ns, runners)
        self.log.info(
            "remembers",
            models=len(models),
            copies=len(asks),
            age_ms=age / 1e6,
            worth=round(kn.mean_worth(known, age), 3),
        )
        for ask in asks:
            await anyio.sleep(dispatcher.chance.random() * 2 * ASK_WITHIN / len(asks))
            dispatcher.recall([ask])

    @staticmethod
    def _runners(dispatcher: Dispatcher) -> dict[str, tuple[Any, str]]:
        up = dispatcher.list.lines
        return {n: (box.runner, box.line.start) for n, box in dispatcher.boxes.items() if n in up}

    def _gathering(self, dispatcher: Dispatcher) -> Iterator[bool]:
        """Some models at a time: whoever runs it lets others go on in between."""
        boxes = {
            box.runner: (name, box.line.start, bool(box.drains) and box.drains == box.line.start)
            for name, box in dispatcher.boxes.items()
        }
        names = {model: known.name for model, known in dispatcher.by_model.items()}
        before = self.last
        steps = dispatcher.border.look(lambda policy, now: kn.gathering(policy, now, names, boxes, before))
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                told: kn.Knowledge = stop.value
                break
            yield True
        told.boot, told.at = boot(), uptime()
        self.last = dispatcher.clock(), told

    def _save(self) -> None:
        """In a thread: encodes and writes what was gathered last."""
        if self.store is None or self.last is None:
            return
        try:
            self.store.write(KNOWLEDGE, self.last[1])
            self.counts["saved"] += 1
            self._said = ""
        except (OSError, TooLarge) as error:
            self.counts["failed"] += 1
            if str(error) != self._said:
                self._said = str(error)
                self.log.warning("what is known is not kept", why=str(error))
