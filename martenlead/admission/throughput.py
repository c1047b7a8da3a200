"""Throughput, and service times by request class.

Work is measured in seconds: the time that a request is expected to take on a worker.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from martenlead.admission.units import NS_PER_MS, NS_PER_SECOND

THROUGHPUT_WINDOW_NS = 2 * NS_PER_SECOND
SMOOTHING_FACTOR = 1 / 16  # Weight of a new measurement in a running mean
SERVICE_TIME_DEVIATIONS = 2.0  # Mean deviations that are added to the mean service time
DEFAULT_WORK_SECONDS = 0.1  # Assumed for a class that has no measurements yet


class ThroughputMeter:
    """Work completed per second, over a sliding window.

    After a pause no request was completed in the window although requests are in service. The rate
    is therefore also estimated from their number, and the higher of the two rates is used.
    """

    def __init__(self) -> None:
        self.in_service = 0
        self.completions: deque[tuple[int, float]] = deque()  # (time in ns, work in seconds)
        self.completed_work_seconds = 0.0  # Sum of `completions`

    def record_completion(self, now_ns: int, work_seconds: float) -> None:
        """Adds completed work."""
        self.completions.append((now_ns, work_seconds))
        self.completed_work_seconds += work_seconds
        self.drop_expired(now_ns)

    def drop_expired(self, now_ns: int) -> None:
        """Removes completions that are older than the window."""
        while self.completions and self.completions[0][0] <= now_ns - THROUGHPUT_WINDOW_NS:
            self.completed_work_seconds -= self.completions.popleft()[1]

    def work_rate(self, now_ns: int, rate_per_request: float) -> float:
        """Seconds of work per second; 0 if none was completed and no request is in service.

        `rate_per_request` is the usual work per second of one request in service.
        """
        self.drop_expired(now_ns)
        completed_rate = self.completed_work_seconds * NS_PER_SECOND / THROUGHPUT_WINDOW_NS
        return max(completed_rate, self.in_service * rate_per_request)


class ServiceTime(NamedTuple):
    """Time from admission to the final response, as running means."""

    mean_ns: float
    deviation_ns: float  # Mean absolute deviation


UNKNOWN_SERVICE_TIME = ServiceTime(0.0, 0.0)


class ServiceStatistics:
    """Service times and work of successful requests, by request class."""

    def __init__(self) -> None:
        self.work_rate_per_request = 0.0  # Mean seconds of work per second in service
        self._service_times: dict[str, ServiceTime] = {}
        self._work_seconds: dict[str, float] = {}

    def mean_time_ns(self, request_class: str) -> float:
        """The mean service time of a class; 0 while it is unknown."""
        return self._service_times.get(request_class, UNKNOWN_SERVICE_TIME).mean_ns

    def time_bound_ns(self, request_class: str) -> int:
        """The service time that most requests of a class stay below."""
        time = self._service_times.get(request_class, UNKNOWN_SERVICE_TIME)
        return int(time.mean_ns + SERVICE_TIME_DEVIATIONS * time.deviation_ns)

    def expected_work_seconds(self, request_class: str) -> float:
        """The estimated work of a request whose client declared none."""
        return (
            self._work_seconds.get(request_class, 0.0)
            or self.mean_time_ns(request_class) / NS_PER_SECOND
            or DEFAULT_WORK_SECONDS
        )

    def record(self, request_class: str, took_ns: int, work_seconds: float) -> None:
        """Adds a successful request to the means."""
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
