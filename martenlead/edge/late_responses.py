"""Counts and logs final responses that are given after the deadline of their request."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import structlog

from martenlead.edge.records import FinalOutcome, PendingRequest
from martenlead.policy.types import Request

NS_PER_MS = 1_000_000
LOG_INTERVAL_NS = 100 * NS_PER_MS  # further late responses in this time are counted only


class LateResponses:
    """Tells which requests were answered late, after how many attempts, and at what lag."""

    def __init__(
        self, counts: Counter[tuple[str, str]], name: str, tick_ns: Callable[[], int]
    ) -> None:
        """`name` is the dispatcher's, for the log; `tick_ns` returns the event loop's lag."""
        self._counts, self._tick_ns = counts, tick_ns
        self._log = structlog.get_logger().bind(edge=name)
        self._logged_ns = -LOG_INTERVAL_NS

    def record(
        self, request: PendingRequest, policy_request: Request, outcome: FinalOutcome, now_ns: int
    ) -> None:
        """Records the final response of a request whose deadline is over."""
        self._counts["late", outcome.value] += 1
        if now_ns - self._logged_ns < LOG_INTERVAL_NS:
            return
        self._logged_ns = now_ns
        self._log.warning(
            "response_late",
            request=request.incoming.id,
            request_class=request.incoming.request_class,
            outcome=outcome.value,
            reason=request.reason,
            late_ms=(now_ns - policy_request.deadline_ns) // NS_PER_MS,
            pending_ms=(now_ns - request.arrived_ns) // NS_PER_MS,
            attempts=len(policy_request.attempts),
            lag_ms=self._tick_ns() // NS_PER_MS,
        )
