"""Records of requests, workers, functions and attempts.

The dispatcher, its parts, the listeners and the links to workers share them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeAlias

from martenlead.edge.cancellation import CancellationSource
from martenlead.policy.types import (
    Attempt,
    Request,
    RequestClass,
    Settings,
    Tenant,
    WorkerFacts,
    WorkerState,
)
from martenlead.upstream.endpoints import Endpoint

# objects created by the policy, stored here and passed back to it (see policy/types.py)
PolicyWorker: TypeAlias = Any
PolicyFunction: TypeAlias = Any
# values whose type is known only to one listener and one link, or to a link alone
OpaqueContent: TypeAlias = Any

UNKNOWN_MEMORY_MB = 1.0  # default for an endpoint that states no memory


class FinalOutcome(Enum):
    """The final outcomes of requests, including that the client left before there was one."""

    SUCCEEDED = "satisfied"
    REJECTED = "turned back"
    FAILED = "scrapped"
    CLIENT_LEFT = "left"


@dataclass(slots=True)
class IncomingRequest:
    """A request as a listener has read it.

    `time_left_ns` counts from its arrival. `id` is set by the client, `trace_id` names the request
    in captures. `identity` is set if a request must not run again under the same one.
    """

    request_class: str
    function: str
    tenant: str | None
    lanes: int
    memory_mb: float
    cost_seconds: float
    time_left_ns: int | None
    is_retry: bool
    id: str = ""
    trace_id: str = ""
    identity: bytes = b""


class PendingRequest:
    """A request that a dispatcher has accepted, and its final response once there is one.

    `content` is the request in the form that the link sends to workers, and `response` is what the
    link received for it. `client` is the client's connection, if it supports a check for whether
    the client has left.
    """

    __slots__ = (
        "arrived_ns",
        "client",
        "content",
        "incoming",
        "on_outcome",
        "outcome",
        "policy_request",
        "reason",
        "response",
        "retry_after_ns",
        "size_bytes",
    )

    def __init__(
        self,
        incoming: IncomingRequest,
        arrived_ns: int,
        content: OpaqueContent = None,
        size_bytes: int = 0,
        on_outcome: Callable[[PendingRequest], None] | None = None,
        client: CancellationSource[PendingRequest] | None = None,
    ) -> None:
        self.incoming, self.arrived_ns = incoming, arrived_ns
        self.client = client
        self.content, self.size_bytes = content, size_bytes
        self.policy_request: Request | None = None
        self.outcome: FinalOutcome | None = None
        self.response: OpaqueContent = None
        self.retry_after_ns = 0
        self.reason = ""
        self.on_outcome = on_outcome

    def end(self, outcome: FinalOutcome) -> None:
        """Sets the final outcome; only the first call has an effect.

        `on_outcome` may be called during a decision. It must not call any method of the dispatcher
        except `defer`.
        """
        if self.outcome is not None:
            return
        self.outcome = outcome
        if self.on_outcome is not None:
            self.on_outcome(self)


class UpstreamWorker:
    """A worker: its endpoint, the policy's object and the connections to it."""

    def __init__(self, endpoint: Endpoint, connections: OpaqueContent) -> None:
        self.endpoint, self.connections = endpoint, connections
        self.policy_worker: PolicyWorker = None
        self.started_ns = 0
        self.started_incarnation = endpoint.incarnation  # incarnation that started at `started_ns`
        self.draining_incarnation = ""  # incarnation that announced a drain itself
        self.load_report: dict[str, float] = {}
        self.in_flight = 0  # attempts and load requests that have not ended
        self.is_gone = False

    @property
    def is_up(self) -> bool:
        """Whether it is neither draining nor gone, so that waiting messages may be sent to it."""
        return not self.is_gone and self.policy_worker.facts.state is WorkerState.UP

    @property
    def has_announced_draining(self) -> bool:
        """Whether the current incarnation itself has announced that it is draining."""
        incarnation = self.draining_incarnation
        return bool(incarnation) and incarnation == self.endpoint.incarnation

    def build_facts(self, state: WorkerState, started_ns: int, weight: float) -> WorkerFacts:
        """Returns the facts of this worker for the policy."""
        endpoint = self.endpoint
        mark = int.from_bytes(endpoint.id.encode(), "big")
        memory_mb = endpoint.memory_mb or UNKNOWN_MEMORY_MB
        return WorkerFacts(mark, endpoint.zone, endpoint.cell, memory_mb, weight, state, started_ns)


class FunctionEntry:
    """A function: its name, its stated resources, and the policy's object."""

    __slots__ = ("lanes", "memory_mb", "name", "pending_requests", "policy_function")

    def __init__(
        self, name: str, policy_function: PolicyFunction, lanes: int, memory_mb: float
    ) -> None:
        self.name, self.policy_function = name, policy_function
        self.lanes, self.memory_mb = lanes, memory_mb
        self.pending_requests = 0


class InFlightAttempt:
    """An attempt in flight. `number` is its index among the attempts of its request, from 0.

    `link_handle` belongs to the link, which uses it to cancel the attempt.
    """

    __slots__ = ("link_handle", "number", "policy_attempt", "request", "worker")

    def __init__(
        self, policy_attempt: Attempt, request: PendingRequest, worker: UpstreamWorker, number: int
    ) -> None:
        self.policy_attempt, self.request = policy_attempt, request
        self.worker, self.number = worker, number
        self.link_handle: OpaqueContent = None


@dataclass(slots=True)
class DispatcherSettings:
    """The settings of a dispatcher.

    `deadlines_ns` is the longest time that a request of each class may take. `deadline_margin_ns`
    is subtracted from a request's time limit. At most `function_limit` functions are known at once.
    `logs_decisions` enables the decision log.
    """

    name: str
    seed: int
    policy_settings: Settings
    request_classes: dict[str, RequestClass]
    tenants: dict[str, Tenant]
    deadlines_ns: dict[str, int]
    deadline_margin_ns: int
    function_limit: int
    logs_decisions: bool = False
