"""Computes the ages of workers whose starts are stamped by a clock that may differ from ours.

No I/O. The journal service gives the start of a worker as a Unix time of another machine. The wall
clock there and ours may each be wrong by seconds or by an hour, and theirs may be stepped while
this process runs. A worker whose age is overestimated gets requests that overload it while it warms
up. A worker whose age is underestimated only gets its full share later. So an age is bounded by
what was observed on our own monotonic clock, and within the bounds the lower age is used:

- No age is negative: a start in our future counts as the time of the update that listed it. From
  there the age grows with the monotonic clock, so a worker that was listed for longer than its slow
  start is warm.
- A worker that is added after the source confirmed that it had nothing newer started after that,
  give or take the time by which the source may delay an event. If it looks older, the clocks
  differ, and it counts as new.
- The apparent age of an added worker is its true age plus the offset of our clock from the
  source's. The least of the last few is the best estimate of the offset, since its event was the
  most prompt. The offset is subtracted if the clocks cannot agree, or if not even the most prompt
  event arrived in the usual time.

A worker keeps its start as long as it is the same incarnation, even if it was gone meanwhile.

What cannot be decided:

- Workers listed before the source first confirmed that it had nothing newer (the list at our own
  start): nothing was observed of them. Their stamps are trusted, except for starts in our future.
  If our clock is ahead at our start, a worker that has just started looks warm to this dispatcher.
  The alternative would limit each worker that ever started late to a cold worker's share at every
  restart. The protocol says that all clocks agree, so that would cost more, and more often.
- An offset of up to `USUAL_DELAY_NS` cannot be distinguished from a delay of the same length. The
  stamp is trusted, and the age of a worker may be that much too high. A step of the source's clock
  that leaves an age within its bound is detected only after `OFFSET_SAMPLES` more additions. Until
  then an age is too high by at most the last silence plus `SOURCE_DELAY_LIMIT_NS`.
- A source that delays every event by more than `USUAL_DELAY_NS` looks like a clock that differs.
  The ages of its workers are too low by that delay, which is the safe side.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from martenlead.upstream.endpoints import Endpoint, EndpointUpdate

NS_PER_MS = 1_000_000
# Stamp of a worker that started so long ago that its age does not matter
LONG_PAST_START = "0"
# An event after at most this silence is prompt, as heartbeats are due every second
PROMPT_SILENCE_NS = 1_600 * NS_PER_MS
# Longest time, in addition to the silence, by which a source delays events
SOURCE_DELAY_LIMIT_NS = 2_000 * NS_PER_MS
# Longest delay of a prompt event; a longer least delay counts as an offset of the clocks
USUAL_DELAY_NS = 500 * NS_PER_MS
# Added workers that the offset is estimated from; few, so that it follows a step of the clock
OFFSET_SAMPLES = 8
# Gone workers whose starts are kept in case they return
GONE_WORKERS_LIMIT = 1024


class WorkerAges:
    """Fills in the ages of listed workers.

    All times are in ns, by a monotonic clock that was set to Unix time at its start.
    """

    def __init__(self) -> None:
        # When the source last confirmed that it had nothing newer.
        self._confirmed_ns: int | None = None
        # Apparent ages of the last added workers.
        self._apparent_ages_ns: deque[int] = deque(maxlen=OFFSET_SAMPLES)
        # Worker id -> (incarnation, start by our clock).
        self._starts: dict[str, tuple[str, int]] = {}
        # (Worker id, incarnation) -> start by our clock, of workers that are gone.
        self._gone: OrderedDict[tuple[str, str], int] = OrderedDict()

    @property
    def offset_ns(self) -> int:
        """Estimated time by which our clock is ahead of the source's."""
        least = min(self._apparent_ages_ns, default=0)
        return least if least < 0 or least > USUAL_DELAY_NS else 0

    def confirm(self, now_ns: int) -> None:
        """Records that the source has nothing newer than the current list."""
        self._confirmed_ns = now_ns

    def fill_ages(self, update: EndpointUpdate, now_ns: int) -> None:
        """Fills in `age_ms` of each endpoint."""
        endpoints = update.endpoints or []
        if update.is_snapshot:
            listed = {endpoint.id for endpoint in endpoints}
            for worker_id in [known for known in self._starts if known not in listed]:
                self._remember_gone(worker_id)
        added = [e for e in endpoints if has_start(e) and self._find_start_ns(e) is None]
        silence_ns = None if self._confirmed_ns is None else now_ns - self._confirmed_ns
        if added and silence_ns is not None:
            least_age_ns = min(now_ns - start_ns(endpoint) for endpoint in added)
            self._update_offset(least_age_ns, silence_ns)
        for endpoint in endpoints:
            endpoint.age_ms = self._age_ms(endpoint, now_ns, silence_ns)

    def _age_ms(self, endpoint: Endpoint, now_ns: int, silence_ns: int | None) -> float | None:
        if endpoint.state == "gone":
            self._remember_gone(endpoint.id)
        if not has_start(endpoint):
            return None
        started_ns = self._find_start_ns(endpoint)
        if started_ns is None:
            apparent_age_ns = now_ns - start_ns(endpoint)
            started_ns = now_ns - self._bounded_age_ns(apparent_age_ns, silence_ns)
        self._starts[endpoint.id] = endpoint.incarnation, started_ns
        return (now_ns - started_ns) / NS_PER_MS

    def _bounded_age_ns(self, apparent_age_ns: int, silence_ns: int | None) -> int:
        """Returns the age of a newly listed worker, bounded by what was observed."""
        if silence_ns is None:
            return max(0, apparent_age_ns)
        age_ns = max(0, apparent_age_ns - self.offset_ns)
        return age_ns if age_ns <= silence_ns + SOURCE_DELAY_LIMIT_NS else 0

    def _update_offset(self, least_age_ns: int, silence_ns: int) -> None:
        """Updates the offset from the least apparent age of workers that were added together."""
        if least_age_ns - self.offset_ns > silence_ns + SOURCE_DELAY_LIMIT_NS:
            self._apparent_ages_ns.clear()  # the source's clock was stepped
        if silence_ns <= PROMPT_SILENCE_NS or least_age_ns < self.offset_ns:
            self._apparent_ages_ns.append(least_age_ns)

    def _find_start_ns(self, endpoint: Endpoint) -> int | None:
        """Returns when this incarnation started, or None if it was not listed before."""
        incarnation, started_ns = self._starts.get(endpoint.id, ("", 0))
        if incarnation == endpoint.incarnation:
            return started_ns
        return self._gone.get((endpoint.id, endpoint.incarnation))

    def _remember_gone(self, worker_id: str) -> None:
        found = self._starts.pop(worker_id, None)
        if found is None:
            return
        incarnation, started_ns = found
        self._gone[worker_id, incarnation] = started_ns
        if len(self._gone) > GONE_WORKERS_LIMIT:
            self._gone.popitem(last=False)


def has_start(endpoint: Endpoint) -> bool:
    """Whether the age of the worker matters: it is not gone, and did not start long ago."""
    return endpoint.state != "gone" and endpoint.incarnation != LONG_PAST_START


def start_ns(endpoint: Endpoint) -> int:
    """Returns the start of a worker, in ns, as stamped by the source."""
    return int(endpoint.incarnation) * NS_PER_MS
