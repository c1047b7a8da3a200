"""The status of a dispatcher for operators, encoded under the names that their tools use."""

from __future__ import annotations

from typing import Any

import msgspec

from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.records import UpstreamWorker

NS_PER_MS = 1e6


class EndpointListStatus(msgspec.Struct):
    """The version and size of the endpoint list."""

    version: int
    workers: int = msgspec.field(name="runners")


class WorkerStatus(msgspec.Struct):
    """One worker; `age_ms` is None for one that started long ago."""

    id: str
    state: str
    age_ms: float | None
    open_connections: int = msgspec.field(name="connections")
    connections_opened: int = msgspec.field(name="opened")
    load_report: dict[str, float] = msgspec.field(name="report")


class StatusReport(msgspec.Struct):
    """The status of the process, in plain values.

    `planner` and `queues` have formats of the components that report them, hence `Any`.
    """

    edge: str
    endpoint_list: EndpointListStatus = msgspec.field(name="roster")
    planner: dict[str, Any] | None
    queues: dict[str, Any] | None = msgspec.field(name="door")
    pending_requests: int = msgspec.field(name="held")
    pending_bytes: int = msgspec.field(name="held_bytes")
    functions: int = msgspec.field(name="models")
    tick_ms: float
    worst_lag_ms: float
    least_time_left_ms: float | None = msgspec.field(name="closest_answer_ms")
    counts: dict[str, int]
    workers: list[WorkerStatus] = msgspec.field(name="runners")


def report_status(dispatcher: Dispatcher) -> StatusReport:
    """Reads the state of a dispatcher."""
    endpoint_list, lag = dispatcher.endpoint_list, dispatcher.event_loop_lag
    least_ns, now_ns = dispatcher.least_time_left_ns, dispatcher.clock()
    return StatusReport(
        edge=dispatcher.settings.name,
        endpoint_list=EndpointListStatus(endpoint_list.version, len(endpoint_list.endpoints)),
        planner=dispatcher.report_planner() if dispatcher.report_planner else None,
        queues=dispatcher.report_queues() if dispatcher.report_queues else None,
        pending_requests=len(dispatcher.pending_requests),
        pending_bytes=dispatcher.pending_bytes,
        functions=len(dispatcher.functions_by_name),
        tick_ms=lag.tick_ns / NS_PER_MS,
        worst_lag_ms=lag.worst_ns / NS_PER_MS,
        least_time_left_ms=None if least_ns is None else least_ns / NS_PER_MS,
        counts={f"{kind}/{name}": n for (kind, name), n in sorted(dispatcher.counts.items())},
        workers=[_report_worker(worker, now_ns) for worker in dispatcher.workers.values()],
    )


def _report_worker(worker: UpstreamWorker, now_ns: int) -> WorkerStatus:
    started_ns = worker.started_ns
    return WorkerStatus(
        worker.endpoint.id,
        worker.policy_worker.facts.state.value,
        (now_ns - started_ns) / NS_PER_MS if started_ns else None,
        worker.connections.open_connections,
        worker.connections.connections_opened,
        worker.load_report,
    )
