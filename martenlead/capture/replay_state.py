"""What a checkpoint reads and replaces of a replay: the interface between the two.

The checkpoint needs a replay's state and the replay needs checkpoints; both import this module, and the
checkpoint does not import the replay.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

from martenlead.capture.events import CaptureEvent, RunStarted
from martenlead.capture.recorder import CaptureRecorder
from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy
from martenlead.policy.types import Action, LoadRequest, Request, Settings


class ReplayState(Protocol):
    """The state of one replayed dispatcher between two events, as `Replayer` keeps it.

    The names of the attributes are part of the checkpoint's format: `checkpoint.write` stores some by name.
    """

    pending_decisions: deque[CaptureEvent]  # decisions that have not been compared yet
    start: RunStarted | None
    policy: Policy
    engine: Engine
    runners: list[Any]
    models: list[Any]
    tasks: dict[int, Request]
    orders: dict[int, LoadRequest]
    names: dict[Any, str]
    _tape: CaptureRecorder
    _settings: Settings

    def _outlet(self, action: Action) -> None:
        """Takes what the engine decides."""
