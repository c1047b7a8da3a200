"""Failed writes of a capture: lost events are counted and recorded as a gap; retries back off."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from random import Random

from martenlead.capture.events import CaptureEvent, Gap, InputEvent
from martenlead.system.durable_file import Backoff

NOT_WRITTEN = "the disk did not take it"


class DiskFailures:
    """The failures of the disk as the writer's thread sees them, and the backoff of its retries."""

    def __init__(self, name: str, log: Callable[[str, str], None]) -> None:
        """`name` seeds the backoff, so that dispatchers that share a disk do not retry in step."""
        self._log = log
        self._backoff = Backoff(Random(name))
        self._failing_since: float | None = None  # monotonic clock
        self._next_attempt = 0.0  # monotonic clock
        self._lost_since_ns = 0  # the dispatcher's clock
        self._unrecorded = 0  # lost events that are not yet recorded in a gap
        self.lost_events = 0
        self.failures = 0
        self.recoveries = 0

    @property
    def is_attempt_due(self) -> bool:
        """Whether the next write may be attempted now."""
        return time.monotonic() >= self._next_attempt

    @property
    def has_unrecorded_loss(self) -> bool:
        """Whether lost events are still to be recorded in a gap."""
        return self._unrecorded > 0

    def gap_before(self, batch: Sequence[CaptureEvent]) -> list[CaptureEvent]:
        """The gap that records the events lost before a batch; empty if none were lost."""
        if not self._unrecorded:
            return []
        times = (e.time_ns for e in batch if isinstance(e, InputEvent))
        until_ns = next(times, self._lost_since_ns)
        return [Gap(self._lost_since_ns or until_ns, until_ns, self._unrecorded, NOT_WRITTEN)]

    def count_lost(self, batch: Sequence[CaptureEvent]) -> None:
        """Counts events that are in no file; those of a gap in the batch were counted before."""
        if batch and not self._unrecorded:
            times = (e.time_ns for e in batch if isinstance(e, InputEvent))
            self._lost_since_ns = next(times, 0)
        self._unrecorded += sum(e.dropped if isinstance(e, Gap) else 1 for e in batch)
        self.lost_events += sum(not isinstance(e, Gap) for e in batch)

    def record_failure(self, error: Exception) -> None:
        """Records a failed write and schedules the next attempt."""
        self.failures += 1
        now = time.monotonic()
        self._next_attempt = now + self._backoff.next_seconds()
        if self._failing_since is None:
            self._failing_since = now
            self._log("capture_write_failed", str(error))

    def record_success(self) -> None:
        """Records a successful write, which ends a series of failures."""
        if self._failing_since is None:
            return
        seconds = time.monotonic() - self._failing_since
        self._log("capture_resumed", f"{self._unrecorded} events were lost in {seconds:.1f} s")
        self._failing_since, self._next_attempt, self._unrecorded = None, 0.0, 0
        self._backoff.reset()
        self.recoveries += 1
