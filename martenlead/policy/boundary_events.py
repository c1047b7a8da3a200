"""Everything that a policy is notified of, one type for each kind of event.

`edge.policy_boundary` makes these events for its recorder, and only where there is one. Captures
store them under the same names (`capture/events.py`), with numbers in place of objects. Times are
nanoseconds of the dispatcher's clock.
"""

from __future__ import annotations

import msgspec

from martenlead.policy.state import Function, Worker
from martenlead.policy.types import (
    AttemptResult,
    EarlierRun,
    FunctionFacts,
    LoadRequest,
    Request,
    Result,
    Settings,
    Tenant,
    WorkerFacts,
)


class BoundaryEvent(msgspec.Struct, frozen=True, eq=False):
    """Anything that a policy is notified of, and when."""

    time_ns: int


class RunStarted(BoundaryEvent, frozen=True, eq=False):
    """The policy has been made. Names of request classes are in the order of the settings."""

    settings: Settings
    seed: int
    request_class_names: list[str]
    tenants: dict[str, Tenant]


class EngineStarted(BoundaryEvent, frozen=True, eq=False):
    """What runs as long as the dispatcher does begins."""


class TickChanged(BoundaryEvent, frozen=True, eq=False):
    """The event loop achieves another tick."""

    tick_ns: int


class WorkerAdded(BoundaryEvent, frozen=True, eq=False):
    """A worker is named for the first time."""

    worker: Worker
    facts: WorkerFacts
    name: str


class FunctionAdded(BoundaryEvent, frozen=True, eq=False):
    """A function is named for the first time."""

    function: Function
    facts: FunctionFacts
    name: str


class WorkersUpdated(BoundaryEvent, frozen=True, eq=False):
    """What discovery says of some workers, or of all where it is complete."""

    updates: list[tuple[Worker, WorkerFacts]]
    is_complete: bool


class RequestAccepted(BoundaryEvent, frozen=True, eq=False):
    """A request has arrived. Its name is what clients and operators know it by."""

    request: Request
    name: str


class AttemptEnded(BoundaryEvent, frozen=True, eq=False):
    """An attempt has its result."""

    result: AttemptResult


class LoadEnded(BoundaryEvent, frozen=True, eq=False):
    """A load request has ended, and so many replicas are loaded at its worker."""

    load_request: LoadRequest
    result: Result
    replicas: int


class RequestClosed(BoundaryEvent, frozen=True, eq=False):
    """A request has its final response, or its client has left."""

    request: Request
    outcome: str


class Advance(BoundaryEvent, frozen=True, eq=False):
    """Timers are due."""


class RetentionChanged(BoundaryEvent, frozen=True, eq=False):
    """A planner decided whether a replica is retained."""

    worker: Worker
    function: Function
    is_retained: bool


class LoadPlanned(BoundaryEvent, frozen=True, eq=False):
    """A planner decided on a load request, which has the planner's number."""

    plan_number: int
    worker: Worker
    function: Function


class LoadRequestsAllowed(BoundaryEvent, frozen=True, eq=False):
    """From here on this policy decides on replicas, or a planner does."""

    is_allowed: bool


class ReplicaConfirmed(BoundaryEvent, frozen=True, eq=False):
    """The answer to the question after a replica of an earlier run, and when it was last used."""

    worker: Worker
    function: Function
    result: Result
    replicas: int
    last_used_ns: int


class WorkerChoiceRequested(BoundaryEvent, frozen=True, eq=False):
    """Admission asked which worker would have such a request now."""

    request: Request


class KnowledgeRestored(BoundaryEvent, frozen=True, eq=False):
    """What an earlier run had learnt was handed to the policy."""

    earlier: EarlierRun
