"""A recorder that passes an edge's events to its planner link and takes snapshots for it."""

from __future__ import annotations

from collections.abc import Callable

from martenlead.capture import events as ev
from martenlead.capture.recorder import CaptureRecorder
from martenlead.planner.edge_session import TakenSnapshot
from martenlead.planner.snapshot_writer import ObjectNumbers, take_snapshot
from martenlead.policy.boundary_events import BoundaryEvent, FunctionAdded, RunStarted, WorkerAdded
from martenlead.policy.policy import Policy
from martenlead.policy.state import Function, Worker


class LinkRecorder(CaptureRecorder):
    """Records events as a capture does, and maps object numbers to objects."""

    def __init__(
        self, sink: Callable[[ev.CaptureEvent], None], edge: str, function_limit: int
    ) -> None:
        """Snapshots contain at most `function_limit` functions."""
        super().__init__(sink, edge)
        self.function_limit = function_limit
        self.workers_by_number: list[Worker] = []
        self.functions_by_number: list[Function] = []
        self.worker_names: dict[Worker, str] = {}
        self.function_names: dict[Function, str] = {}
        self.start_event: ev.RunStarted | None = None

    def record(self, event: BoundaryEvent) -> None:
        """Registers the objects that an event introduces, and records the event."""
        match event:
            case RunStarted():
                self._keep_start_event(event)
                return
            case WorkerAdded(worker=worker, name=name):
                self.workers_by_number.append(worker)
                self.worker_names[worker] = name
            case FunctionAdded(function=function, name=name):
                self.functions_by_number.append(function)
                self.function_names[function] = name
        super().record(event)

    def _keep_start_event(self, event: RunStarted) -> None:
        """Keeps the start event, which is sent as part of snapshots and not as an event."""
        found: list[ev.CaptureEvent] = []
        sink, self.sink = self.sink, found.append
        super().record(event)
        self.sink = sink
        (packed,) = found
        if isinstance(packed, ev.RunStarted):
            self.start_event = packed

    def take_snapshot(self, policy: Policy, _now_ns: int) -> TakenSnapshot:
        """Returns the state of the policy and the numbers of the functions in it."""
        assert self.start_event is not None
        numbers = ObjectNumbers(
            self.worker_numbers,
            self.function_numbers,
            self.request_numbers,
            self.tenant_numbers,
            self.worker_names,
            self.function_names,
        )
        state = take_snapshot(policy, self.start_event, numbers, self.function_limit)
        return TakenSnapshot(state, {function.number for function in state.functions})
