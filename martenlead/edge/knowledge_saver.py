"""Keeps what the dispatcher knows in a folder, beside it, and gives it back at the next start.

Never on a task's path: what is known is read in the event loop, seldom enough to take less than a
hundredth of it, and written in a thread. A folder that cannot be used, or a disk that is full, costs one log
line, and one more when it is well again; in between serving goes on and the newest state is tried again with
exponential backoff.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import anyio
import anyio.to_thread
import msgspec
import structlog

from martenlead.config.edge import DurableStateSettings, EdgeSettings, ms_to_ns
from martenlead.durable_state import knowledge as kn
from martenlead.durable_state.disk import StateFolder
from martenlead.durable_state.store import FolderInUseError, StateKind, StateStore, StateTooLargeError
from martenlead.edge.dispatcher import Dispatcher
from martenlead.system import clocks
from martenlead.system.durable_file import Backoff
from martenlead.system.state_saver import SaveHealth

KNOWLEDGE = StateKind("knowledge")
ASK_WITHIN = 0.25  # s after a start in which copies are asked for, so that dispatchers do not ask in step
SHARE = 100  # times what one reading of the module takes, until the next
READ_OPENINGS = 5  # openings in a row whose state may fail to be read before it is done without
RESTORE_WITHIN_SECONDS = 60.0  # of the start; what was learnt since then is worth more than what was kept


class KnowledgeSaver:
    def __init__(
        self, edge: EdgeSettings, told: DurableStateSettings, wall: Callable[[], int] = clocks.wall_ns
    ) -> None:
        self.settings, self.wall_clock_ns = told, wall
        self.name = edge.name
        self.log = structlog.get_logger().bind(edge=edge.name)
        self.store: StateStore | None = None
        self.last_gathered: tuple[int, kn.SavedKnowledge] | None = None
        self.earlier_knowledge: tuple[kn.SavedKnowledge, int] | None = None  # and its age, ns
        self._openings = 0
        self._started = time.monotonic()
        self._counter: Callable[[str, str], None] | None = None
        # seeded by the name: edges that share a disk do not try in step
        self.health = SaveHealth("knowledge", self.log, Backoff(Random(edge.name)), count=self._count)
        self._first_wait: float | None = None
        try:
            self._open()
        except (OSError, FolderInUseError) as error:
            self._first_wait = self.health.failure(str(error))

    @property
    def counts(self) -> dict[str, int]:
        return {"saved": self.health.saved, "failed": self.health.failed}

    def _count(self, event: str, state: str) -> None:
        if self._counter is not None:
            self._counter(event, state)

    def _open(self) -> None:
        """Takes the folder, and reads what an earlier life kept there. Raises OSError and `InUse`."""
        folder = StateFolder(Path(self.settings.folder) / self.name)
        store = StateStore(folder, self.settings.deployment, self.wall_clock_ns, self.settings.bytes)
        self._openings += 1
        state = store.read(KNOWLEDGE)
        if state is None and store.read_errors and self._openings < READ_OPENINGS:
            store.close()
            raise OSError(errno.EIO, "; ".join(store.problems))
        if state is not None:
            try:
                known = msgspec.convert(state.value, kn.SavedKnowledge)
                age = kn.compute_age_ns(
                    known, state.saved_ns, self.wall_clock_ns(), clocks.boot_id(), clocks.uptime_ns()
                )
                self.earlier_knowledge = known, age
            except msgspec.ValidationError as error:
                store.problems.append(f"knowledge: {error}")
        for problem in store.problems:
            self.log.warning("a state is lost", why=problem)
        store.problems.clear()
        self.store = store

    async def run(self, dispatcher: Dispatcher) -> None:
        """As long as the dispatcher; what is known is saved once more as it ends."""
        self._counter = lambda event, state: dispatcher.counts.update([(event, state)])
        if self._first_wait is not None:  # told before there was a dispatcher to count it
            self._count("state_save_failed", self.health.state)
        await dispatcher.snapshot_received.wait()
        try:
            await anyio.sleep(self._first_wait or 0.0)
            while True:
                await anyio.sleep(await self._attempt(dispatcher))
        finally:
            with suppress(Exception):  # told when it was met first
                for _ in self._gathering(dispatcher):
                    pass
            if self.store is not None or self._is_past_restoring():
                with suppress(Exception):
                    self._save()
            if self.store is not None:
                self.store.close()

    async def _attempt(self, dispatcher: Dispatcher) -> float:
        """One attempt at all that is to do, and the seconds until the next. What is kept must cost no task
        anything: an error of the disk and a fault of ours alike are told once, and it is tried again."""
        try:
            if self.store is None:
                await anyio.to_thread.run_sync(self._open)
            if self.earlier_knowledge is not None:
                await self._restore(dispatcher)
            took = await self._gather(dispatcher)
            await anyio.to_thread.run_sync(self._save)
        except (OSError, FolderInUseError, StateTooLargeError) as error:
            return self.health.failure(str(error))
        except Exception as error:
            if not self.health.is_failing:
                self.log.error("a fault of ours", exc_info=error)
            return self.health.failure(repr(error))
        self.health.success()
        return max(ms_to_ns(self.settings.every_ms) / 1e9, SHARE * took)

    async def _gather(self, dispatcher: Dispatcher) -> float:
        """Reads what is known; the seconds of the event loop that this took."""
        took = 0.0
        steps = self._gathering(dispatcher)
        more: bool | None = True
        while more:
            begun = time.perf_counter()
            more = next(steps, None)
            took += time.perf_counter() - begun
            await anyio.sleep(0)
        return took

    def _is_past_restoring(self) -> bool:
        """Whether what this life has learnt is worth more than what an earlier one kept."""
        return time.monotonic() - self._started > RESTORE_WITHIN_SECONDS

    async def _restore(self, dispatcher: Dispatcher) -> None:
        """Once, whatever comes of it: a part of it must not count twice."""
        assert self.earlier_knowledge is not None
        known, age = self.earlier_knowledge
        self.earlier_knowledge = None
        if self._is_past_restoring():
            return
        runners = self._runners(dispatcher)
        most = dispatcher.settings.function_limit
        models = {
            m.name: dispatcher.find_or_add_function(m.name, m.lanes, m.memory_mb).policy_function
            for m in known.functions[: max(0, most - len(dispatcher.functions_by_name))]
        }
        settings = dispatcher.policy_boundary.inspect(lambda policy, _: policy.settings)
        dispatcher.policy_boundary.restore(
            kn.build_earlier_run(known, age, models, runners, settings.load_window_ns)
        )
        for name in kn.list_draining_workers(known, runners):
            dispatcher.mark_draining(dispatcher.workers[name])
        asks = kn.list_reloads(known, age, settings.keep_alive_ns, runners)
        self.log.info(
            "remembers",
            models=len(models),
            copies=len(asks),
            age_ms=age / 1e6,
            worth=round(kn.mean_confidence(known, age), 3),
        )
        for ask in asks:
            await anyio.sleep(dispatcher.random.random() * 2 * ASK_WITHIN / len(asks))
            dispatcher.confirm_replicas([ask])

    @staticmethod
    def _runners(dispatcher: Dispatcher) -> dict[str, tuple[Any, str]]:
        up = dispatcher.endpoint_list.endpoints
        return {
            n: (box.policy_worker, box.endpoint.incarnation)
            for n, box in dispatcher.workers.items()
            if n in up
        }

    def _gathering(self, dispatcher: Dispatcher) -> Iterator[bool]:
        """Some models at a time: whoever runs it lets others go on in between."""
        boxes = {
            box.policy_worker: (
                name,
                box.endpoint.incarnation,
                bool(box.draining_incarnation) and box.draining_incarnation == box.endpoint.incarnation,
            )
            for name, box in dispatcher.workers.items()
        }
        names = {model: known.name for model, known in dispatcher.by_policy_function.items()}
        before = self.last_gathered
        steps = dispatcher.policy_boundary.inspect(
            lambda policy, now: kn.gather_in_steps(policy, now, names, boxes, before)
        )
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                told: kn.SavedKnowledge = stop.value
                break
            yield True
        told.boot_id, told.uptime_ns = clocks.boot_id(), clocks.uptime_ns()
        self.last_gathered = dispatcher.clock(), told

    def _save(self) -> None:
        """In a thread: encodes and writes what was gathered last. Raises OSError, `InUse` and `TooLarge`."""
        if self.store is None:
            self._open()
        if self.store is not None and self.last_gathered is not None:
            self.store.write(KNOWLEDGE, self.last_gathered[1])
