"""How old the listed workers are, where the clock that stamps their starts may differ from ours. No I/O.

The journal service tells the start of a worker as a Unix time of another machine. The wall clock there and
ours may each be wrong by seconds or by an hour, and theirs may be stepped while we run. A worker that is
taken for older than it is gets requests that overload it while it warms up. One that is taken for younger
only has its share later. So an age is bounded by what was seen on our own steady clock, and where bounds
leave a choice, the younger age is taken:

- No worker is younger than nothing: a start in our future counts as now, as of when we were told. From there
  the steady clock runs on, so a worker that was seen for longer than its slow start is warm.
- A worker that is added after the source said that it had nothing newer started after that, give or take what
  the source may hold an event back. One that looks older proves that the clocks are apart, and counts as new.
- The time that an added worker seems to have, by the clocks, is its true age plus the offset of our clock
  from the source's. The least of the last few is the best estimate of the offset: it was told most promptly.
  It is subtracted where the clocks cannot agree, or where not even the most prompt event was told in the
  usual time.

A worker keeps its start as long as it is the same incarnation, also if it was gone meanwhile.

What remains undecidable:

- Workers told before the source was first up to date with us (the list at our own start): nothing was seen of
  them, and their stamps are believed, but for starts in our future. With a clock that is ahead at our start a
  worker that has just started looks warm to this dispatcher. The other side would hold each worker that ever
  started late to a cold worker's share at every restart; the page has all clocks agree, so that side would
  cost more, and more often.
- An offset of up to `USUAL_DELAY` cannot be told from a delay of the same length: the stamp is believed, and
  a worker may be taken for that much older. A step of the source's clock that leaves an age within its bound
  shows only after `REMEMBERED` more additions; until then an age is at most the last silence and `HELD_BACK`
  too high.
- A source that holds back every event for longer than `USUAL_DELAY` looks like a clock that is apart: its
  workers are taken for younger by that delay, which is the safe side.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from martenlead.upstream.endpoints import Endpoint, EndpointUpdate

NS_PER_MS = 1_000_000  # ns
LONG_PAST_START = "0"  # the stamp of a worker whose start no longer matters
PROMPT_SILENCE_NS = (
    1_600 * NS_PER_MS
)  # silence up to which an event counts as prompt: an empty frame is due each second
SOURCE_DELAY_LIMIT_NS = (
    2_000 * NS_PER_MS
)  # beside that silence: the page counts what a source holds back as told by then
USUAL_DELAY_NS = (
    500 * NS_PER_MS
)  # of a prompt event; a longer least delay is taken for an offset of the clocks
OFFSET_SAMPLES = (
    8  # additions that the estimate of the offset is made of, so that it follows a step of the clock
)
GONE_WORKERS_LIMIT = 1024  # workers that went and whose start is still known, should they return


class WorkerAges:
    """Fills in the ages of listed workers. All times are ns, by a steady clock that showed Unix time at its
    start."""

    def __init__(self) -> None:
        self._confirmed_ns: int | None = None  # when the source last said that it had nothing newer
        self._apparent_ages_ns: deque[int] = deque(
            maxlen=OFFSET_SAMPLES
        )  # ages that added workers seemed to have
        self._starts: dict[str, tuple[str, int]] = {}  # by id: the stamp, and when that was by our clock
        self._gone: OrderedDict[tuple[str, str], int] = OrderedDict()  # the same of workers that went

    @property
    def offset_ns(self) -> int:
        """By how much our clock is taken to be ahead of the source's."""
        least = min(self._apparent_ages_ns, default=0)
        return least if least < 0 or least > USUAL_DELAY_NS else 0

    def confirm(self, now: int) -> None:
        """The source has said that it has nothing newer than what we were told."""
        self._confirmed_ns = now

    def fill_ages(self, news: EndpointUpdate, now: int) -> None:
        """Fills in `age_ms` of each line."""
        lines = news.endpoints or []
        if news.is_snapshot:
            listed = {line.id for line in lines}
            for id in [id for id in self._starts if id not in listed]:
                self._leave(id)
        added = [line for line in lines if has_start(line) and self._start_of(line) is None]
        silence = None if self._confirmed_ns is None else now - self._confirmed_ns
        if added and silence is not None:
            self._learn(min(now - start_ns(line) for line in added), silence)
        for line in lines:
            line.age_ms = self._age(line, now, silence)

    def _age(self, line: Endpoint, now: int, silence: int | None) -> float | None:
        if line.state == "gone":
            self._leave(line.id)
        if not has_start(line):
            return None
        start = self._start_of(line)
        if start is None:
            start = now - self._age_of_added(now - start_ns(line), silence)
        self._starts[line.id] = line.incarnation, start
        return (now - start) / NS_PER_MS

    def _age_of_added(self, seeming: int, silence: int | None) -> int:
        if silence is None:
            return max(0, seeming)
        age = max(0, seeming - self.offset_ns)
        return age if age <= silence + SOURCE_DELAY_LIMIT_NS else 0

    def _learn(self, least: int, silence: int) -> None:
        """Takes in the least age that workers added together seem to have."""
        if least - self.offset_ns > silence + SOURCE_DELAY_LIMIT_NS:
            self._apparent_ages_ns.clear()  # the source's clock was stepped since
        if silence <= PROMPT_SILENCE_NS or least < self.offset_ns:
            self._apparent_ages_ns.append(least)

    def _start_of(self, line: Endpoint) -> int | None:
        """When this incarnation started, if it was listed before."""
        known, start = self._starts.get(line.id, ("", 0))
        return start if known == line.incarnation else self._gone.get((line.id, line.incarnation))

    def _leave(self, id: str) -> None:
        found = self._starts.pop(id, None)
        if found is None:
            return
        known, start = found
        self._gone[id, known] = start
        if len(self._gone) > GONE_WORKERS_LIMIT:
            self._gone.popitem(last=False)


def has_start(line: Endpoint) -> bool:
    return line.state != "gone" and line.incarnation != LONG_PAST_START


def start_ns(line: Endpoint) -> int:
    """The start of a worker as it was told."""
    return int(line.incarnation) * NS_PER_MS
