"""Records of requests, workers, functions and attempts, shared by the dispatcher, its listeners and links."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from martenlead.edge.cancellation import CancellationSource
from martenlead.policy.types import Attempt, Request, RequestClass, Settings, Tenant, WorkerFacts, WorkerState
from martenlead.upstream.endpoints import Endpoint


class FinalOutcome(Enum):
    """The final outcomes, and that of requests whose client left before there was one."""

    SUCCEEDED = "satisfied"
    REJECTED = "turned back"
    FAILED = "scrapped"
    CLIENT_LEFT = "left"


@dataclass(slots=True)
class IncomingRequest:
    """A request as a listener has read it; times are ns, `cost` is seconds, `left` is from when it arrived.
    `id` is its client's, `mark` names it on tapes."""

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


class PendingRequest:
    """A request that is held: what came, and its final answer once there is one.

    `content` is the listener's and the link's: what came, in the form that the link sends on. `answer` is
    what the link brought back for it. `client` is the connection that it came over, where that can be asked
    whether its client has left.
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
        content: Any = None,
        size_bytes: int = 0,
        on_outcome: Callable[[PendingRequest], None] | None = None,
        client: CancellationSource | None = None,
    ) -> None:
        self.incoming, self.arrived_ns = incoming, arrived_ns
        self.client = client
        self.content, self.size_bytes = content, size_bytes
        self.policy_request: Request | None = None
        self.outcome: FinalOutcome | None = None
        self.response: Any = None
        self.retry_after_ns = 0
        self.reason = ""
        self.on_outcome = on_outcome

    def end(self, final: FinalOutcome) -> None:
        """The first of its calls counts. `done` may be told in the middle of a decision: it calls nothing of
        the dispatcher's but `later`."""
        if self.outcome is not None:
            return
        self.outcome = final
        if self.on_outcome is not None:
            self.on_outcome(self)


class UpstreamWorker:
    """A worker as this process knows it: the policy's object, its line in the membership, the way there."""

    def __init__(self, line: Endpoint, way: Any) -> None:
        self.endpoint, self.connections = line, way
        self.policy_worker: Any = None
        self.started_ns = 0
        self.started_incarnation = line.incarnation  # the incarnation that `since` is of
        self.draining_incarnation = ""  # the incarnation that said so itself
        self.load_report: dict[str, float] = {}
        self.in_flight = 0  # attempts and load requests whose end has not come
        self.is_gone = False

    @property
    def is_up(self) -> bool:
        """Neither drained nor gone, as far as it was told: what has waited to be sent there may leave."""
        return not self.is_gone and self.policy_worker.facts.state is WorkerState.UP

    def build_facts(self, state: WorkerState, since: int, weight: float) -> WorkerFacts:
        line = self.endpoint
        mark = int.from_bytes(line.id.encode(), "big")
        return WorkerFacts(mark, line.zone, line.cell, line.memory_mb or 1.0, weight, state, since)


class FunctionEntry:
    """A function: the policy's object and its name."""

    __slots__ = ("lanes", "memory_mb", "name", "pending_requests", "policy_function")

    def __init__(self, name: str, model: Any, lanes: int, memory_mb: float) -> None:
        self.name, self.policy_function, self.lanes, self.memory_mb = name, model, lanes, memory_mb
        self.pending_requests = 0  # requests held


class InFlightAttempt:
    """An attempt on its way. `at` is the link's own."""

    __slots__ = ("link_handle", "number", "policy_attempt", "request", "worker")

    def __init__(self, hand_off: Attempt, held: PendingRequest, box: UpstreamWorker, number: int) -> None:
        self.policy_attempt, self.request, self.worker, self.number = hand_off, held, box, number
        self.link_handle: Any = None


@dataclass(slots=True)
class DispatcherSettings:
    """What a dispatcher is told at its start. Times are ns; `hard` are the offerings' hard limits; `margin`
    is taken off the time that a client says is left; `models` may be known at once."""

    name: str
    seed: int
    policy_settings: Settings
    request_classes: dict[str, RequestClass]
    tenants: dict[str, Tenant]
    deadlines_ns: dict[str, int]
    deadline_margin_ns: int
    function_limit: int
    logs_decisions: bool = False  # a line a decision
