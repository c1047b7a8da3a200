"""What the disk did not take: counted, and noted in the capture as a gap. Retries back off."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from random import Random

from martenlead.capture.events import CaptureEvent, Gap, InputEvent
from martenlead.system.durable_file import Backoff

NOT_WRITTEN = "the disk did not take it"


class DiskFailures:
    """The state of the disk as the writer's thread sees it."""

    def __init__(self, name: str, log: Callable[[str, str], None]) -> None:
        """`name` seeds the backoff, so that dispatchers that share a disk do not try in step."""
        self._log = log
        self._backoff = Backoff(Random(name))
        self._failing_since: float | None = None  # by the monotonic clock, as all times here
        self._next_attempt = 0.0
        self._lost_since_ns = 0  # by the dispatcher's clock
        self._unnoted = 0  # lost events that no gap stands for yet
        self.lost_events = 0
        self.failures = 0
        self.recoveries = 0

    @property
    def is_attempt_due(self) -> bool:
        """Whether the disk may be tried now."""
        return time.monotonic() >= self._next_attempt

    @property
    def has_unnoted_loss(self) -> bool:
        """Whether a gap is still to be written."""
        return self._unnoted > 0

    def gap_before(self, batch: Sequence[CaptureEvent]) -> list[CaptureEvent]:
        """The gap that stands for what was lost before a batch, if anything was."""
        if not self._unnoted:
            return []
        times = (e.time_ns for e in batch if isinstance(e, InputEvent))
        until_ns = next(times, self._lost_since_ns)
        return [Gap(self._lost_since_ns or until_ns, until_ns, self._unnoted, NOT_WRITTEN)]

    def lose(self, batch: Sequence[CaptureEvent]) -> None:
        """Counts events that are in no file; a gap among them stands for events counted before."""
        if batch and not self._unnoted:
            times = (e.time_ns for e in batch if isinstance(e, InputEvent))
            self._lost_since_ns = next(times, 0)
        self._unnoted += sum(e.dropped if isinstance(e, Gap) else 1 for e in batch)
        self.lost_events += sum(not isinstance(e, Gap) for e in batch)

    def begin(self, error: Exception) -> None:
        """Notes that an attempt failed."""
        self.failures += 1
        now = time.monotonic()
        self._next_attempt = now + self._backoff.next_seconds()
        if self._failing_since is None:
            self._failing_since = now
            self._log("capture_write_failed", str(error))

    def end(self) -> None:
        """Notes that an attempt succeeded."""
        if self._failing_since is None:
            return
        seconds = time.monotonic() - self._failing_since
        self._log("capture_resumed", f"{self._unnoted} events were lost in {seconds:.1f} s")
        self._failing_since, self._next_attempt, self._unnoted = None, 0.0, 0
        self._backoff.reset()
        self.recoveries += 1
