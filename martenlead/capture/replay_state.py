"""The state of a replay that checkpoints save and restore.

Checkpoints need a replay's state and replays need checkpoints. Both import this module, so the
checkpoint module does not import the replay.
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

# stored name in a checkpoint -> attribute of a `ReplayState`
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
    """The state of one replayed dispatcher between two events; `Replayer` implements it."""

    pending_decisions: deque[CaptureEvent]  # decisions not yet compared
    start: RunStarted | None
    settings: Settings
    policy: Policy
    engine: Engine
    recorder: CaptureRecorder
    workers: list[Worker]  # indexed by number, like functions, tenants and requests
    functions: list[Function]
    tenants: list[Tenant]
    requests: dict[int, Request]
    closed_requests: set[int]
    load_requests: dict[int, LoadRequest]
    load_count: int
    names: dict[object, str]  # names of workers, functions and requests

    def perform(self, action: Action) -> None:
        """Handles one decision of the engine."""
