"""Rule 5, the load budget: limits the load requests in a window by the requests accepted in it.

The time at which a load request arrives is uncertain: a new connection may delay it. It is counted
against the requests before its arrival, with a margin of some ticks at both ends of the window. See
docs/design.md, the rows on the load budget.
"""

from __future__ import annotations

from collections import deque

from martenlead.policy.state import State, Worker
from martenlead.policy.types import LoadRequest

# Share of the budget for new replicas. Renewals need the rest, and the artifact store must not be
# overloaded.
NEW_REPLICAS_SHARE = 0.4


class LoadBudget:
    """Counts the load requests made and the requests accepted in the window."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.request_times_ns: deque[int] = deque()
        self.load_times_ns: deque[int] = deque()  # when made, or when arrived at the latest
        self.loads_in_flight: dict[LoadRequest, int] = {}  # when made; may still arrive

    def allows(self, worker: Worker, share: float = 1.0) -> bool:
        """Whether a load request may go to this worker now, by rule 3 and a share of the budget."""
        state, settings = self.state, self.state.settings
        if not settings.load_window_ns:
            return state.accepts_work(worker)
        since = state.now_ns - settings.load_window_ns
        self._forget_before(since)
        counted = len(self.load_times_ns)
        counted += sum(at < since - 2 * settings.tick_ns for at in self.loads_in_flight.values())
        budget = settings.free_loads_per_window + settings.loads_per_request * len(
            self.request_times_ns
        )
        return state.accepts_work(worker) and counted + 1 <= share * budget

    def _forget_before(self, since: int) -> None:
        settings = self.state.settings
        while self.load_times_ns and self.load_times_ns[0] < since - 2 * settings.tick_ns:
            self.load_times_ns.popleft()
        while self.loads_in_flight:
            oldest = next(iter(self.loads_in_flight))
            if self.loads_in_flight[oldest] >= since - settings.load_window_ns:
                break
            del self.loads_in_flight[oldest]  # no end was reported
        while (
            self.request_times_ns
            and self.request_times_ns[0]
            < since + settings.connect_timeout_ns + 2 * settings.tick_ns
        ):
            self.request_times_ns.popleft()

    def record_request(self) -> None:
        """Counts an accepted request, which raises the budget."""
        self.request_times_ns.append(self.state.now_ns)
        if not self.state.settings.load_window_ns and len(self.request_times_ns) > 1:
            self.request_times_ns.popleft()

    def withdraw_request(self, taken_ns: int) -> None:
        """Removes a request that its client cancelled, so that it does not raise the budget."""
        if taken_ns in self.request_times_ns:
            self.request_times_ns.remove(taken_ns)

    def record_load(self, load: LoadRequest) -> None:
        """Counts a load request that is made now."""
        if self.state.settings.load_window_ns:
            self.loads_in_flight[load] = self.state.now_ns
            self.load_times_ns.append(self.state.now_ns)

    def record_load_end(self, load: LoadRequest) -> None:
        """Records the end of a load request, which counts from now on.

        Answered or not, it may have arrived only now, if its worker could not be reached before.
        """
        made_ns = self.loads_in_flight.pop(load, None)
        if made_ns is not None:
            if made_ns in self.load_times_ns:
                self.load_times_ns.remove(made_ns)
            self.load_times_ns.append(self.state.now_ns)
