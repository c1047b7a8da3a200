"""What a checkpoint reads and replaces of a replay: the interface between the two.

The checkpoint needs a replay's state and the replay needs checkpoints; both import this module, and
the checkpoint does not import the replay.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from martenlead.capture.events import CaptureEvent, RunStarted
from martenlead.capture.recorder import CaptureRecorder
from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy
from martenlead.policy.state import Function, Worker
from martenlead.policy.types import Action, LoadRequest, Request, Settings, Tenant

# the names by which checkpoints store the attributes of a `ReplayState`
STORED_STATE = {
    "runners": "workers",
    "models": "functions",
    "tasks": "requests",
    "orders": "load_requests",
    "names": "names",
    "_customers": "tenants",
    "_made_orders": "load_count",
    "_closed": "closed_requests",
}


class ReplayState(Protocol):
    """The state of one replayed dispatcher between two events, as `Replayer` has it."""

    pending_decisions: deque[CaptureEvent]  # that have not been compared yet
    start: RunStarted | None
    settings: Settings
    policy: Policy
    engine: Engine
    recorder: CaptureRecorder
    workers: list[Worker]  # by number, as are the others
    functions: list[Function]
    tenants: list[Tenant]
    requests: dict[int, Request]
    closed_requests: set[int]
    load_requests: dict[int, LoadRequest]
    load_count: int
    names: dict[object, str]  # of workers, functions and requests

    def perform(self, action: Action) -> None:
        """Takes what the engine decides."""
