"""How late the event loop is held to be, in virtual time: what it achieves, and not what it did once."""

from __future__ import annotations

from typing import Any

import pytest

from martenlead.edge.event_loop_lag import SAMPLE_INTERVAL_NS, EventLoopLag

MS = 1_000_000
LEAST = 5  # ms
ON_TIME = [0] * 150  # lags of samples, more than a second of them

CASES = {  # the lags of samples, ms; the longest tick, ms; for how long it is above the least one at most, ms
    "on time": (ON_TIME, LEAST, 0),
    "one stall": ([*ON_TIME, 100, *ON_TIME], LEAST, 0),
    "one stall as it starts": ([100, *ON_TIME], 100, 110),
    "one stall of more than the window": ([*ON_TIME, 2000, *ON_TIME], 100, 110),
    "two stalls in a second": ([*ON_TIME, 100, *[0] * 20, 80, *ON_TIME], 80, 850),
    "two stalls in three seconds": ([*ON_TIME, 100, *ON_TIME, 80, *ON_TIME], LEAST, 0),
    "a stall now and then": ([0] * 9 + [60], 60, None),
    "always late": ([20], 20, None),
}


class Ended(Exception):
    pass


@pytest.mark.parametrize("what", CASES)
def test_the_tick_is_what_the_loop_achieves(what: str, monkeypatch: pytest.MonkeyPatch) -> None:
    lags, longest, above = CASES[what]
    late = iter(lags * (1 if above is not None else 200))  # without an end of it, the tick stays
    now = 0
    reports = [(0, LEAST * MS)]

    async def sleep(seconds: float) -> None:
        nonlocal now
        try:
            now += round(seconds * 1e9) + next(late) * MS
        except StopIteration:
            raise Ended from None

    monkeypatch.setattr("anyio.sleep", sleep)
    lag = EventLoopLag(lambda: now, LEAST * MS, lambda tick: reports.append((now, tick)))
    run: Any = lag.run()
    with pytest.raises(Ended):
        run.send(None)
    assert max(tick for _, tick in reports) == longest * MS
    assert lag.tick_ns == reports[-1][1] == (longest if above is None else LEAST) * MS
    ends = [at for at, _ in reports[1:]] + [now]
    spans = [end - at for (at, tick), end in zip(reports, ends, strict=True) if tick > LEAST * MS]
    assert above is None or sum(spans) <= above * MS + SAMPLE_INTERVAL_NS
