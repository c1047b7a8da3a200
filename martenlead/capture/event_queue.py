"""The bounded queue of events between the event loop and the writer's thread."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from martenlead.capture.events import CaptureEvent, Gap, InputEvent

QUEUE_FULL = "the queue to the disk was full"


@dataclass(slots=True)
class Loss:
    """Consecutive events that were dropped because the queue was full."""

    first_ns: int
    last_ns: int
    events: int = 0


class EventQueue:
    """Never blocks: events that do not fit are counted, and a `Gap` replaces them."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._loss: Loss | None = None
        self.events: deque[CaptureEvent] = deque()
        self.dropped = 0

    def __len__(self) -> int:
        """The number of queued events."""
        return len(self.events)

    def put(self, event: CaptureEvent) -> None:
        """Appends an event, preceded by a gap if events before it were dropped."""
        events = self.events
        if len(events) < self._limit:
            if self._loss is not None:
                loss, self._loss = self._loss, None
                events.append(Gap(loss.first_ns, loss.last_ns, loss.events, QUEUE_FULL))
            events.append(event)
            return
        self._drop(event)

    def _drop(self, event: CaptureEvent) -> None:
        if isinstance(event, InputEvent):
            time_ns = event.time_ns
        else:
            time_ns = self._loss.last_ns if self._loss is not None else 0
        if self._loss is None:
            self._loss = Loss(time_ns, time_ns)
        self._loss.last_ns = time_ns
        self._loss.events += 1
        self.dropped += 1

    def take(self, limit: int) -> list[CaptureEvent]:
        """Removes and returns at most `limit` events, the oldest first."""
        batch: list[CaptureEvent] = []
        while self.events and len(batch) < limit:
            batch.append(self.events.popleft())
        return batch

    def put_back(self, batch: list[CaptureEvent]) -> None:
        """Returns the batch that was taken last to the front of the queue."""
        self.events.extendleft(reversed(batch))
