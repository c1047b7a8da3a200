"""The events that a policy is notified of, one type for each kind.

`edge.policy_boundary` creates them for its recorder, and only if it has one. Captures
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
    """An event that a policy is notified of, with its time."""

    time_ns: int


class RunStarted(BoundaryEvent, frozen=True, eq=False):
    """The policy was created. The request classes are named in the order of the settings."""

    settings: Settings
    seed: int
    request_class_names: list[str]
    tenants: dict[str, Tenant]


class EngineStarted(BoundaryEvent, frozen=True, eq=False):
    """The background generators of the policy were started."""


class TickChanged(BoundaryEvent, frozen=True, eq=False):
    """The tick that the event loop achieves has changed."""

    tick_ns: int


class WorkerAdded(BoundaryEvent, frozen=True, eq=False):
    """A worker was named for the first time."""

    worker: Worker
    facts: WorkerFacts
    name: str


class FunctionAdded(BoundaryEvent, frozen=True, eq=False):
    """A function was named for the first time."""

    function: Function
    facts: FunctionFacts
    name: str


class WorkersUpdated(BoundaryEvent, frozen=True, eq=False):
    """Discovery reported some workers, or all of them if `is_complete`."""

    updates: list[tuple[Worker, WorkerFacts]]
    is_complete: bool


class RequestAccepted(BoundaryEvent, frozen=True, eq=False):
    """A request has arrived. `name` is its id for clients and operators."""

    request: Request
    name: str


class AttemptEnded(BoundaryEvent, frozen=True, eq=False):
    """An attempt has ended."""

    result: AttemptResult


class LoadEnded(BoundaryEvent, frozen=True, eq=False):
    """A load request has ended; its worker has `replicas` replicas of the function loaded."""

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
    """A planner decided on a load request, and gave it `plan_number`."""

    plan_number: int
    worker: Worker
    function: Function


class LoadRequestsAllowed(BoundaryEvent, frozen=True, eq=False):
    """From now on this policy decides on replicas if `is_allowed`, otherwise a planner does."""

    is_allowed: bool


class ReplicaConfirmed(BoundaryEvent, frozen=True, eq=False):
    """A worker reported whether a replica of an earlier run is still loaded."""

    worker: Worker
    function: Function
    result: Result
    replicas: int
    last_used_ns: int


class WorkerChoiceRequested(BoundaryEvent, frozen=True, eq=False):
    """Admission asked which worker would get such a request now."""

    request: Request


class KnowledgeRestored(BoundaryEvent, frozen=True, eq=False):
    """The policy was given what an earlier run had learnt."""

    earlier: EarlierRun
