"""Saves of state that are retried after failures, with logs and counts of their outcomes."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

import anyio
import anyio.to_thread

from martenlead.system.durable_file import Backoff

State = TypeVar("State")


class Log(Protocol):
    """The part of a structured logger that is used here."""

    def warning(self, event: str, /, **fields: object) -> object:
        """Logs an event with its fields."""


class SaveHealth:
    """Tracks the outcomes of the saves of one state.

    Logs one line when saves begin to fail, and one when they succeed again.
    """

    def __init__(
        self,
        state: str,
        log: Log,
        backoff: Backoff,
        clock: Callable[[], float] = time.monotonic,
        count: Callable[[str, str], None] | None = None,
    ) -> None:
        """Initializes the tracker; `state` is the name in log lines and counters.

        `count` is called with (event, state) at each outcome; `clock` is monotonic, in seconds.
        """
        self.state = state
        self.saved = self.failed = self.recovered = 0
        self._log, self._backoff, self._clock = log, backoff, clock
        self._count = count or (lambda _event, _state: None)
        self._failing_since: float | None = None
        self._failures_in_a_row = 0

    @property
    def is_failing(self) -> bool:
        """Whether the last save failed."""
        return self._failing_since is not None

    def success(self) -> None:
        """Records a save that succeeded."""
        self.saved += 1
        self._count("state_saved", self.state)
        if self._failing_since is None:
            return
        self.recovered += 1
        self._count("state_save_recovered", self.state)
        self._log.warning(
            "state_save_recovered",
            state=self.state,
            failures=self._failures_in_a_row,
            seconds=round(self._clock() - self._failing_since, 3),
        )
        self._failing_since = None
        self._failures_in_a_row = 0
        self._backoff.reset()

    def failure(self, reason: str) -> float:
        """Records a save that failed; returns the seconds until the next attempt."""
        self.failed += 1
        self._failures_in_a_row += 1
        self._count("state_save_failed", self.state)
        if self._failing_since is None:
            self._failing_since = self._clock()
            self._log.warning("state_save_failed", state=self.state, reason=reason)
        return self._backoff.next_seconds()


class StateSaver(Generic[State]):
    """Saves the newest value of a state in a thread whenever it has changed.

    Changes during a save lead to one further save. A failed save is retried until it succeeds.
    """

    def __init__(
        self,
        snapshot: Callable[[], State],
        write: Callable[[State], None],
        health: SaveHealth,
        prepare: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """`snapshot` is called in the event loop before each attempt, `write` in a thread.

        `prepare` is awaited before both, to read what must be read before it is overwritten.
        `write` and `prepare` raise OSError for failures that may be temporary.
        """
        self.health = health
        self._snapshot, self._write, self._prepare = snapshot, write, prepare
        self._changed = anyio.Event()
        self._is_unsaved = False

    def changed(self) -> None:
        """Requests a save of the newest value. Never waits."""
        self._changed.set()

    async def run(self) -> None:
        """Saves changes until cancelled; a value not saved by then is tried once more."""
        try:
            while True:
                await self._changed.wait()
                self._changed = anyio.Event()
                self._is_unsaved = True
                # ASYNC110 does not apply: this is a backoff, not polling for an event
                while (wait := await self._attempt()) is not None:  # noqa: ASYNC110
                    await anyio.sleep(wait)
        finally:
            with anyio.CancelScope(shield=True):
                await self._finish()

    async def _finish(self) -> None:
        if self._changed.is_set() or self._is_unsaved:
            await self._attempt()

    async def _attempt(self) -> float | None:
        """Tries to save; returns the seconds until the next attempt, or None after a success."""
        try:
            if self._prepare is not None:
                await self._prepare()
            state = self._snapshot()
            await anyio.to_thread.run_sync(self._write, state)
        except OSError as error:
            return self.health.failure(str(error))
        self._is_unsaved = False
        self.health.success()
        return None
