"""The tick that follows from the lag of the event loop, in virtual time: single stalls hardly count."""

from __future__ import annotations

from typing import Any

import pytest

from martenlead.edge.event_loop_lag import SAMPLE_INTERVAL_NS, EventLoopLag

NS_PER_MS = 1_000_000
LEAST_TICK_MS = 5
ON_TIME_LAGS = [0] * 150  # in ms, of samples over more than a second

# All in ms: the lags of the samples, the longest tick, and the longest total time for which the tick is above
# the least one (None: it stays above).
CASES = {
    "on time": (ON_TIME_LAGS, LEAST_TICK_MS, 0),
    "one stall": ([*ON_TIME_LAGS, 100, *ON_TIME_LAGS], LEAST_TICK_MS, 0),
    "one stall as it starts": ([100, *ON_TIME_LAGS], 100, 110),
    "one stall of more than the window": ([*ON_TIME_LAGS, 2000, *ON_TIME_LAGS], 100, 110),
    "two stalls in a second": ([*ON_TIME_LAGS, 100, *[0] * 20, 80, *ON_TIME_LAGS], 80, 850),
    "two stalls in three seconds": ([*ON_TIME_LAGS, 100, *ON_TIME_LAGS, 80, *ON_TIME_LAGS], LEAST_TICK_MS, 0),
    "a stall now and then": ([0] * 9 + [60], 60, None),
    "always late": ([20], 20, None),
}


class SamplesEnded(Exception):
    """All lags of a case have been used."""


@pytest.mark.parametrize("case", CASES)
def test_the_tick_is_what_the_event_loop_achieves(case: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a margin before deadlines that a single stall has made too long."""
    lags_ms, longest_tick_ms, raised_ms = CASES[case]
    # The lags are repeated where the tick is to stay raised.
    next_lag_ms = iter(lags_ms * (1 if raised_ms is not None else 200))
    now = 0
    reports = [(0, LEAST_TICK_MS * NS_PER_MS)]

    async def sleep(seconds: float) -> None:
        """Advances the virtual time by the sleep and the next lag."""
        nonlocal now
        try:
            now += round(seconds * 1e9) + next(next_lag_ms) * NS_PER_MS
        except StopIteration:
            raise SamplesEnded from None

    monkeypatch.setattr("anyio.sleep", sleep)
    lag = EventLoopLag(lambda: now, LEAST_TICK_MS * NS_PER_MS, lambda tick_ns: reports.append((now, tick_ns)))
    run: Any = lag.run()
    with pytest.raises(SamplesEnded):
        run.send(None)
    assert max(tick_ns for _, tick_ns in reports) == longest_tick_ms * NS_PER_MS
    assert (
        lag.tick_ns == reports[-1][1] == (longest_tick_ms if raised_ms is None else LEAST_TICK_MS) * NS_PER_MS
    )
    report_ends = [reported_at for reported_at, _ in reports[1:]] + [now]
    raised_spans = [
        end - reported_at
        for (reported_at, tick_ns), end in zip(reports, report_ends, strict=True)
        if tick_ns > LEAST_TICK_MS * NS_PER_MS
    ]
    assert raised_ms is None or sum(raised_spans) <= raised_ms * NS_PER_MS + SAMPLE_INTERVAL_NS
