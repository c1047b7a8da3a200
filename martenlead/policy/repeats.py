"""Rule 2, no effect twice: where a request may be sent again that may have run already.

Asked before each attempt and before a request is rejected, since a rejected client comes back.
"""

from __future__ import annotations

from martenlead.policy.state import State, Worker
from martenlead.policy.types import NEVER_RAN, Effect, Group, HandOff, Task

WINDOW_MARGIN_TICKS = 4  # a repeat has to begin, and not only to leave, inside the idempotency window


class RepeatGuard:
    """What a request's kind and its attempts so far allow."""

    def __init__(self, state: State) -> None:
        self.state = state

    def may_send(self, request: Task, worker: Worker) -> bool:
        """Whether an attempt there causes no effect twice, and no forbidden second one in flight."""
        may_have_run = [a for a in request.hand_offs if a.result not in NEVER_RAN]
        if not self.state.settings.twice_out and any(a.result is None for a in may_have_run):
            return False
        request_class = request.offering
        if not may_have_run or request_class.effect is Effect.IDEMPOTENT:
            return True
        if self.state.now_ns >= self.begin_by_ns(request) or request_class.effect is Effect.UNREPEATABLE:
            return False
        first, other = may_have_run[0].runner.facts, worker.facts
        is_same = first.zone == other.zone and (first.cell == other.cell or request_class.group is Group.ZONE)
        return is_same or request_class.group is Group.ALL

    def begin_by_ns(self, request: Task) -> int:
        """Until when an attempt may begin.

        A repeat of what may have run is dropped as one inside its idempotency window only.
        """
        if request.offering.effect is Effect.IDEMPOTENT:
            return request.give_up
        first = first_that_may_have_run(request)
        if first is None:
            return request.give_up
        return first.sent + request.offering.window - WINDOW_MARGIN_TICKS * self.state.settings.tick

    def may_reject(self, request: Task) -> bool:
        """Whether the client may send it again: nothing ran, or the repeat is dropped wherever it goes."""
        effect = request.offering.effect
        if effect is Effect.IDEMPOTENT or first_that_may_have_run(request) is None:
            return True
        return effect is Effect.DEDUPLICATED and request.offering.group is Group.ALL


def first_that_may_have_run(request: Task) -> HandOff | None:
    """The first attempt of which it is not sure that it never ran."""
    return next((a for a in request.hand_offs if a.result not in NEVER_RAN), None)
