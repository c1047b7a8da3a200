"""Saves the dispatcher's knowledge in a folder, and restores it at the next start.

Saving is not part of any request's path. The knowledge is read in the event loop, rarely enough to
take less than 1 % of its time, and written in a thread. If the folder cannot be used or the disk is
full, one log line reports the failure and another one the recovery. Meanwhile the edge continues to
serve, and saving the newest state is retried with exponential backoff.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from random import Random

import anyio
import anyio.lowlevel
import anyio.to_thread
import msgspec
import structlog

from martenlead.config.edge import DurableStateSettings, EdgeSettings
from martenlead.durable_state.disk import StateFolder
from martenlead.durable_state.knowledge import (
    SavedKnowledge,
    build_earlier_run,
    compute_age_ns,
    gather_in_steps,
    list_draining_workers,
    list_reloads,
    mean_confidence,
)
from martenlead.durable_state.store import (
    FolderInUseError,
    StateKind,
    StateStore,
    StateTooLargeError,
    StoredState,
)
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.records import PolicyFunction, PolicyWorker
from martenlead.system import clocks
from martenlead.system.durable_file import Backoff
from martenlead.system.state_saver import SaveHealth

KNOWLEDGE = StateKind("knowledge")
CONFIRM_SPREAD_SECONDS = 0.25  # mean time for all confirmations, so that edges do not ask in step
PAUSE_PER_GATHERING = 100  # pause after a gathering, as a multiple of its duration
READ_ATTEMPTS = 5  # openings that may fail to read the state before the edge starts without it
# Later than this after the start, newly learnt knowledge is worth more than the saved one.
RESTORE_WITHIN_SECONDS = 60.0
MS_PER_SECOND = 1000
NS_PER_MS = 1e6


class KnowledgeSaver:
    """Saves the knowledge of one dispatcher, and restores what an earlier run saved."""

    def __init__(
        self,
        edge_settings: EdgeSettings,
        settings: DurableStateSettings,
        wall_clock_ns: Callable[[], int] = clocks.wall_ns,
    ) -> None:
        self.settings, self.wall_clock_ns = settings, wall_clock_ns
        self.name = edge_settings.name
        self.log = structlog.get_logger().bind(edge=self.name)
        self.store: StateStore | None = None
        self.last_gathered: tuple[int, SavedKnowledge] | None = None  # (time in ns, knowledge)
        self.earlier_knowledge: tuple[SavedKnowledge, int] | None = None  # (knowledge, age in ns)
        self._openings = 0
        self._started_seconds = time.monotonic()
        self._counter: Callable[[str, str], None] | None = None
        # seeded by the name, so that edges that share a disk do not retry in step
        backoff = Backoff(Random(self.name))
        self.health = SaveHealth("knowledge", self.log, backoff, count=self._count)
        self._first_wait_seconds: float | None = None
        try:
            self._open()
        except (OSError, FolderInUseError) as error:
            self._first_wait_seconds = self.health.failure(str(error))

    @property
    def counts(self) -> dict[str, int]:
        """Numbers of saves that succeeded and that failed."""
        return {"saved": self.health.saved, "failed": self.health.failed}

    def _count(self, event: str, state: str) -> None:
        if self._counter is not None:
            self._counter(event, state)

    def _open(self) -> None:
        """Opens the folder, and reads the state that an earlier run saved there.

        Raises `OSError` and `FolderInUseError`.
        """
        folder = StateFolder(Path(self.settings.folder) / self.name)
        settings = self.settings
        store = StateStore(folder, settings.deployment, self.wall_clock_ns, settings.bytes)
        self._openings += 1
        state = store.read(KNOWLEDGE)
        if state is None and store.read_errors and self._openings < READ_ATTEMPTS:
            store.close()
            raise OSError(errno.EIO, "; ".join(store.problems))
        if state is not None:
            self._decode(state, store)
        for problem in store.problems:
            self.log.warning("state_discarded", reason=problem)
        store.problems.clear()
        self.store = store

    def _decode(self, state: StoredState, store: StateStore) -> None:
        try:
            knowledge = msgspec.convert(state.value, SavedKnowledge)
            now_ns = self.wall_clock_ns()
            boot_id, uptime_ns = clocks.boot_id(), clocks.uptime_ns()
            age_ns = compute_age_ns(knowledge, state.saved_ns, now_ns, boot_id, uptime_ns)
            self.earlier_knowledge = knowledge, age_ns
        except msgspec.ValidationError as error:
            store.problems.append(f"knowledge: {error}")

    async def run(self, dispatcher: Dispatcher) -> None:
        """Saves periodically until it is cancelled, and once more at the end."""
        self._counter = lambda event, state: dispatcher.counts.update([(event, state)])
        if self._first_wait_seconds is not None:  # failed in `__init__`, where there was no counter
            self._count("state_save_failed", self.health.state)
        await dispatcher.snapshot_received.wait()
        try:
            await anyio.sleep(self._first_wait_seconds or 0.0)
            while True:
                pause_seconds = await self._attempt(dispatcher)
                await anyio.sleep(pause_seconds)
        finally:
            self._save_at_end(dispatcher)

    def _save_at_end(self, dispatcher: Dispatcher) -> None:
        with suppress(Exception):  # reported by `_attempt` when it first happened
            for _ in self._gather_in_steps(dispatcher):
                pass
        if self.store is not None or self._is_past_restoring():
            with suppress(Exception):
                self._save()
        if self.store is not None:
            self.store.close()

    async def _attempt(self, dispatcher: Dispatcher) -> float:
        """Opens the folder and restores, if still due, and saves; returns the seconds to pause.

        Saving must not affect requests: disk errors and unexpected exceptions alike are reported
        once and retried.
        """
        try:
            if self.store is None:
                await anyio.to_thread.run_sync(self._open)
            if self.earlier_knowledge is not None:
                await self._restore(dispatcher)
            gathering_seconds = await self._gather(dispatcher)
            await anyio.to_thread.run_sync(self._save)
        except (OSError, FolderInUseError, StateTooLargeError) as error:
            return self.health.failure(str(error))
        except Exception as error:
            if not self.health.is_failing:
                self.log.exception("fault_recorded")
            return self.health.failure(repr(error))
        self.health.success()
        interval_seconds = self.settings.every_ms / MS_PER_SECOND
        return max(interval_seconds, PAUSE_PER_GATHERING * gathering_seconds)

    async def _gather(self, dispatcher: Dispatcher) -> float:
        """Reads the knowledge; returns the seconds that the event loop spent on it."""
        spent_seconds = 0.0
        steps = self._gather_in_steps(dispatcher)
        has_more: bool | None = True
        while has_more:
            began_seconds = time.perf_counter()
            has_more = next(steps, None)
            spent_seconds += time.perf_counter() - began_seconds
            await anyio.lowlevel.checkpoint()
        return spent_seconds

    def _is_past_restoring(self) -> bool:
        """Whether it is too late to restore the knowledge of an earlier run."""
        return time.monotonic() - self._started_seconds > RESTORE_WITHIN_SECONDS

    async def _restore(self, dispatcher: Dispatcher) -> None:
        """Restores the earlier knowledge, at most once: no part of it may count twice."""
        assert self.earlier_knowledge is not None
        knowledge, age_ns = self.earlier_knowledge
        self.earlier_knowledge = None
        if self._is_past_restoring():
            return
        workers = _listed_workers(dispatcher)
        functions = _find_functions(dispatcher, knowledge)
        boundary = dispatcher.policy_boundary
        settings = boundary.inspect(lambda policy, _: policy.settings)
        window_ns = settings.load_window_ns
        boundary.restore(build_earlier_run(knowledge, age_ns, functions, workers, window_ns))
        for worker_id in list_draining_workers(knowledge, workers):
            dispatcher.mark_draining(dispatcher.workers[worker_id])
        reloads = list_reloads(knowledge, age_ns, settings.keep_alive_ns, workers)
        self.log.info(
            "knowledge_restored",
            functions=len(functions),
            replicas=len(reloads),
            age_ms=age_ns / NS_PER_MS,
            confidence=round(mean_confidence(knowledge, age_ns), 3),
        )
        for reload in reloads:
            pause = dispatcher.random.random() * 2 * CONFIRM_SPREAD_SECONDS / len(reloads)
            await anyio.sleep(pause)
            dispatcher.confirm_replicas([reload])

    def _gather_in_steps(self, dispatcher: Dispatcher) -> Iterator[bool]:
        """Reads a few functions in each step, so that other tasks can run between steps."""
        workers = {
            worker.policy_worker: (
                worker_id,
                worker.endpoint.incarnation,
                worker.has_announced_draining,
            )
            for worker_id, worker in dispatcher.workers.items()
        }
        entries = dispatcher.by_policy_function.items()
        names = {policy_function: entry.name for policy_function, entry in entries}
        before = self.last_gathered
        steps = dispatcher.policy_boundary.inspect(
            lambda policy, now_ns: gather_in_steps(policy, now_ns, names, workers, before)
        )
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                knowledge: SavedKnowledge = stop.value
                break
            yield True
        knowledge.boot_id, knowledge.uptime_ns = clocks.boot_id(), clocks.uptime_ns()
        self.last_gathered = dispatcher.clock(), knowledge

    def _save(self) -> None:
        """Encodes and writes the last gathered knowledge; called in a thread.

        Raises `OSError`, `FolderInUseError` and `StateTooLargeError`.
        """
        if self.store is None:
            self._open()
        if self.store is not None and self.last_gathered is not None:
            self.store.write(KNOWLEDGE, self.last_gathered[1])


def _listed_workers(dispatcher: Dispatcher) -> dict[str, tuple[PolicyWorker, str]]:
    """Returns the policy's object and the incarnation of each listed worker, by id."""
    listed = dispatcher.endpoint_list.endpoints
    return {
        worker_id: (worker.policy_worker, worker.endpoint.incarnation)
        for worker_id, worker in dispatcher.workers.items()
        if worker_id in listed
    }


def _find_functions(dispatcher: Dispatcher, knowledge: SavedKnowledge) -> dict[str, PolicyFunction]:
    """Returns the policy's objects, by name, of the saved functions that fit into the limit."""
    room = max(0, dispatcher.settings.function_limit - len(dispatcher.functions_by_name))
    return {
        saved.name: dispatcher.find_or_add_function(
            saved.name, saved.lanes, saved.memory_mb
        ).policy_function
        for saved in knowledge.functions[:room]
    }
