"""Rule 5, the load budget: how many load requests may go in a window, for the requests taken in it.

Counted with a tick to spare on both sides, as a load request may arrive, and against the requests
before that; a new connection may take its time. docs/design.md, the rows on the load budget.
"""

from __future__ import annotations

from collections import deque

from martenlead.policy.state import State, Worker
from martenlead.policy.types import LoadRequest

NEW_REPLICAS_SHARE = 0.4  # of the budget: renewals need the rest, and the artifact store its peace


class LoadBudget:
    """The load requests given and the requests taken in the window."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.request_times_ns: deque[int] = deque()
        self.load_times_ns: deque[int] = deque()  # when given, or arrived at the latest
        self.loads_in_flight: dict[LoadRequest, int] = {}  # since when: they may arrive at any time

    def allows(self, worker: Worker, share: float = 1.0) -> bool:
        """Whether a load request may go to this worker now, by the budget share and rule 3."""
        state, settings = self.state, self.state.settings
        if not settings.load_window_ns:
            return state.accepts_work(worker)
        since = state.now_ns - settings.load_window_ns
        self._forget_before(since)
        given = len(self.load_times_ns)
        given += sum(at < since - 2 * settings.tick_ns for at in self.loads_in_flight.values())
        budget = settings.free_loads_per_window + settings.loads_per_request * len(
            self.request_times_ns
        )
        return state.accepts_work(worker) and given + 1 <= share * budget

    def _forget_before(self, since: int) -> None:
        settings = self.state.settings
        while self.load_times_ns and self.load_times_ns[0] < since - 2 * settings.tick_ns:
            self.load_times_ns.popleft()
        while self.loads_in_flight:
            oldest = next(iter(self.loads_in_flight))
            if self.loads_in_flight[oldest] >= since - settings.load_window_ns:
                break
            del self.loads_in_flight[oldest]  # its end was never told
        while (
            self.request_times_ns
            and self.request_times_ns[0]
            < since + settings.connect_timeout_ns + 2 * settings.tick_ns
        ):
            self.request_times_ns.popleft()

    def record_request(self) -> None:
        """A request was taken: it makes room for load requests."""
        self.request_times_ns.append(self.state.now_ns)
        if not self.state.settings.load_window_ns and len(self.request_times_ns) > 1:
            self.request_times_ns.popleft()

    def withdraw_request(self, taken_ns: int) -> None:
        """Takes back a request that its client cancelled: it makes no room for load requests."""
        if taken_ns in self.request_times_ns:
            self.request_times_ns.remove(taken_ns)

    def record_load(self, load: LoadRequest) -> None:
        """A load request is given."""
        if self.state.settings.load_window_ns:
            self.loads_in_flight[load] = self.state.now_ns
            self.load_times_ns.append(self.state.now_ns)

    def record_load_end(self, load: LoadRequest) -> None:
        """A load request has ended.

        Answered or not, it may have arrived as late as now: its worker was cut off.
        """
        given = self.loads_in_flight.pop(load, None)
        if given is not None:
            if given in self.load_times_ns:
                self.load_times_ns.remove(given)
            self.load_times_ns.append(self.state.now_ns)
