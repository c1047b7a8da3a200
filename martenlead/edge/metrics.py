"""The dispatcher's metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.status_report import StatusReport, report_status


class Metrics(Collector):
    """Collects the metrics of a dispatcher at each request for them."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.content_type = CONTENT_TYPE_LATEST.encode()
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def render(self) -> bytes:
        """Returns all metrics as text."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Yields the metrics; called by the Prometheus library."""
        counted = CounterMetricFamily(
            "martenlead", "What ended, by kind and name", labels=["kind", "name"]
        )
        for (kind, name), count in sorted(self.dispatcher.counts.items()):
            counted.add_metric([kind, name], count)
        yield counted
        for name, value in _gauges(report_status(self.dispatcher)).items():
            yield GaugeMetricFamily(f"martenlead_{name}", name, value=value or 0.0)


def _gauges(report: StatusReport) -> dict[str, float | None]:
    """Returns the gauges by their exported names, without the prefix."""
    return {
        "held": report.pending_requests,
        "held_bytes": report.pending_bytes,
        "models": report.functions,
        "tick_ms": report.tick_ms,
        "worst_lag_ms": report.worst_lag_ms,
        "closest_answer_ms": report.least_time_left_ms,
    }
