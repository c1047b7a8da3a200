"""Rule 2, no effect twice: where a request that may have run already may be sent again.

Checked before each attempt, and before a request is rejected, since its client then retries.
"""

from __future__ import annotations

from collections.abc import Collection

from martenlead.policy.state import State, Worker
from martenlead.policy.types import (
    NEVER_RAN,
    Attempt,
    DeduplicationScope,
    Effect,
    Request,
    RequestClass,
)

# A repeat has to begin, and not only be sent, within the idempotency window.
WINDOW_MARGIN_TICKS = 4


class RepeatGuard:
    """Decides by a request's class and attempts whether it may be sent again or rejected."""

    def __init__(self, state: State) -> None:
        self.state = state

    def may_send(self, request: Request, worker: Worker) -> bool:
        """Whether an attempt there repeats no effect and is no forbidden hedged request."""
        may_have_run = [a for a in request.attempts if a.result not in NEVER_RAN]
        if not self.state.settings.may_hedge and any(a.result is None for a in may_have_run):
            return False
        request_class = request.request_class
        if not may_have_run or request_class.effect is Effect.IDEMPOTENT:
            return True
        if (
            self.state.now_ns >= self.begin_by_ns(request)
            or request_class.effect is Effect.NON_IDEMPOTENT
        ):
            return False
        first, other = may_have_run[0].worker.facts, worker.facts
        is_same_scope = first.zone == other.zone and (
            first.cell == other.cell or request_class.deduplication_scope is DeduplicationScope.ZONE
        )
        return is_same_scope or request_class.deduplication_scope is DeduplicationScope.ALL

    def begin_by_ns(self, request: Request) -> int:
        """The latest time at which an attempt may begin.

        Workers drop a repeat of a request that may have run only within its idempotency window.
        """
        if request.request_class.effect is Effect.IDEMPOTENT:
            return request.deadline_ns
        first = first_that_may_have_run(request)
        if first is None:
            return request.deadline_ns
        return (
            first.sent_ns
            + request.request_class.idempotency_window_ns
            - WINDOW_MARGIN_TICKS * self.state.settings.tick_ns
        )

    def may_reject(self, request: Request, unsent: Collection[Attempt] = ()) -> bool:
        """Whether the client may retry: no attempt ran, or every worker drops the repeat.

        `unsent` are attempts without a result of which no byte was or will be sent.
        """
        is_harmless = is_repeat_harmless(request.request_class)
        return is_harmless or first_that_may_have_run(request, unsent) is None


def is_repeat_harmless(request_class: RequestClass) -> bool:
    """Whether a repeat by the client has no second effect, whatever has run before."""
    if request_class.effect is Effect.WITH_IDEMPOTENCY_KEY:
        return request_class.deduplication_scope is DeduplicationScope.ALL
    return request_class.effect is Effect.IDEMPOTENT


def first_that_may_have_run(request: Request, unsent: Collection[Attempt] = ()) -> Attempt | None:
    """The first attempt that is not known never to have run."""
    may_have_run = (a for a in request.attempts if a.result not in NEVER_RAN and a not in unsent)
    return next(may_have_run, None)
