"""How much work gets done, and how long a request of each class takes.

Work is measured in seconds: what one request is expected to take on a worker.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from martenlead.admission.units import NS_PER_MS, NS_PER_SECOND

THROUGHPUT_WINDOW_NS = 2 * NS_PER_SECOND
SMOOTHING_FACTOR = 1 / 16  # weight of a new measurement in a running mean
SERVICE_TIME_DEVIATIONS = 2.0  # mean deviations above the mean that a service time is planned with
DEFAULT_WORK_SECONDS = 0.1  # of a request about whose class nothing is known yet


class ThroughputMeter:
    """Work completed per second, over a sliding window.

    After a lull nothing was completed in the window although requests are in service. The rate is
    then estimated from their number, and whichever of the two rates is higher counts.
    """

    def __init__(self) -> None:
        self.in_service = 0
        self.completions: deque[tuple[int, float]] = deque()  # time, work in seconds
        self.completed_work_seconds = 0.0  # sum of `completions`

    def record_completion(self, now_ns: int, work_seconds: float) -> None:
        """Counts work that is done."""
        self.completions.append((now_ns, work_seconds))
        self.completed_work_seconds += work_seconds
        self.drop_expired(now_ns)

    def drop_expired(self, now_ns: int) -> None:
        """Forgets completions that are older than the window."""
        while self.completions and self.completions[0][0] <= now_ns - THROUGHPUT_WINDOW_NS:
            self.completed_work_seconds -= self.completions.popleft()[1]

    def work_rate(self, now_ns: int, rate_per_request: float) -> float:
        """Seconds of work done per second; 0 if nothing is done or in service.

        `rate_per_request` is the work per second that one request in service usually gets done.
        """
        self.drop_expired(now_ns)
        completed_rate = self.completed_work_seconds * NS_PER_SECOND / THROUGHPUT_WINDOW_NS
        return max(completed_rate, self.in_service * rate_per_request)


class ServiceTime(NamedTuple):
    """Time from admission to the final response, as running means."""

    mean_ns: float
    deviation_ns: float  # mean absolute deviation


UNKNOWN_SERVICE_TIME = ServiceTime(0.0, 0.0)


class ServiceStatistics:
    """Service times and work of requests that succeeded, by request class."""

    def __init__(self) -> None:
        self.work_rate_per_request = 0.0  # seconds of work done per second in service, on average
        self._service_times: dict[str, ServiceTime] = {}
        self._work_seconds: dict[str, float] = {}

    def mean_time_ns(self, request_class: str) -> float:
        """The usual service time of a class; 0 while it is unknown."""
        return self._service_times.get(request_class, UNKNOWN_SERVICE_TIME).mean_ns

    def time_bound_ns(self, request_class: str) -> int:
        """The service time that most requests of a class stay below."""
        time = self._service_times.get(request_class, UNKNOWN_SERVICE_TIME)
        return int(time.mean_ns + SERVICE_TIME_DEVIATIONS * time.deviation_ns)

    def expected_work_seconds(self, request_class: str) -> float:
        """The work of a request whose client declared none."""
        return (
            self._work_seconds.get(request_class, 0.0)
            or self.mean_time_ns(request_class) / NS_PER_SECOND
            or DEFAULT_WORK_SECONDS
        )

    def record(self, request_class: str, took_ns: int, work_seconds: float) -> None:
        """Takes a request that succeeded into the means."""
        rate = work_seconds * NS_PER_SECOND / max(took_ns, NS_PER_MS)
        weight = SMOOTHING_FACTOR if self.work_rate_per_request else 1
        self.work_rate_per_request += (rate - self.work_rate_per_request) * weight
        self._record_time(request_class, took_ns)
        mean_seconds = self._work_seconds.get(request_class, work_seconds)
        mean_seconds += (work_seconds - mean_seconds) * SMOOTHING_FACTOR
        self._work_seconds[request_class] = mean_seconds

    def _record_time(self, request_class: str, took_ns: int) -> None:
        first = ServiceTime(float(took_ns), took_ns / 2)
        mean_ns, deviation_ns = self._service_times.get(request_class, first)
        deviation_ns += (abs(took_ns - mean_ns) - deviation_ns) * SMOOTHING_FACTOR
        mean_ns += (took_ns - mean_ns) * SMOOTHING_FACTOR
        self._service_times[request_class] = ServiceTime(mean_ns, deviation_ns)
