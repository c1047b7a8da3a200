"""Clients that keep to the protocol, beside others that do not: their outcomes and how long they waited."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

PAUSE_SECONDS = 0.05
DEADLINE_SECONDS = 1.5  # `wait` and `timeleftms` of the usual requests
LOST_AFTER_SECONDS = DEADLINE_SECONDS + 0.5  # STANDING.md: a response later than that counts as lost


@dataclass
class UsualRequests:
    """The outcomes of the requests of clients that keep to the protocol."""

    outcomes: Counter[str] = field(default_factory=Counter)
    seconds: list[float] = field(default_factory=list)

    async def send(self, call: Callable[[], Awaitable[str]], until: float) -> None:
        """Sends one request after the other, up to a time of the event loop."""
        while anyio.current_time() < until:
            began = anyio.current_time()
            outcome = "no answer"
            with anyio.move_on_after(LOST_AFTER_SECONDS):
                outcome = await call()
            self.outcomes[outcome] += 1
            self.seconds.append(anyio.current_time() - began)
            if outcome == "no answer":
                return
            await anyio.sleep(PAUSE_SECONDS)

    def check(self, *allowed: str) -> None:
        """Checks that each request succeeded, or got another allowed response, in its time."""
        assert self.outcomes["satisfied"] and set(self.outcomes) <= {"satisfied", *allowed}, self.outcomes
        assert max(self.seconds) < DEADLINE_SECONDS
