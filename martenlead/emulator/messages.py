"""What passes between clients, dispatchers and workers on an emulated day.

These types lie below the parts that exchange them, so that no part imports another for a message alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from martenlead.admission.controller import QueuedRequest
from martenlead.emulator.kernel import Process, Signal
from martenlead.policy.types import Attempt, Request, Result, Warmth
from martenlead.standins.demand import ClientRequest, ClientTry


@dataclass(slots=True, eq=False)
class Exchange:
    """One attempt of a client at a dispatcher."""

    call: ClientRequest
    client_attempt: ClientTry
    done: Signal
    final: str = ""  # Final response, `unreached` or `broken`
    wait_ms: float = 0.0
    rejected_at_admission: bool = False
    reservation: str = ""
    is_open: bool = True
    request: AcceptedRequest | None = None
    queued_request: QueuedRequest | None = None


class AcceptedRequest:
    """A request that a dispatcher has accepted, until its final response."""

    __slots__ = (
        "call",
        "exchange",
        "failure_reason",
        "final",
        "id",
        "name",
        "policy_request",
        "queued_request",
        "retry_after_ns",
    )

    def __init__(self, exchange: Exchange, queued_request: QueuedRequest | None) -> None:
        self.exchange, self.queued_request = exchange, queued_request
        self.call = exchange.call
        self.id, self.name = str(exchange.call.number), exchange.client_attempt.name
        self.policy_request: Request | None = None
        self.final = ""
        self.retry_after_ns = 0
        self.failure_reason = ""


class Sender(Protocol):
    """The dispatcher that an attempt comes from, as workers see it."""

    name: str

    def receive_response(self, attempt: AttemptInFlight, response: WorkerResponse) -> None:
        """Handles the response to an attempt."""


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """An attempt at a worker. `is_open` until either side has closed its connection."""

    sender: Sender
    incarnation: int  # Incarnation of the dispatcher
    policy_attempt: Attempt
    request: AcceptedRequest
    number: int
    time_left_ns: int
    scheduled: bool = False
    is_open: bool = True
    process: Process | None = None  # Runs the attempt at the worker


@dataclass(slots=True)
class WorkerResponse:
    """A worker's response to an attempt, or how the attempt failed."""

    result: Result
    warmth: Warmth = Warmth.UNKNOWN
    is_draining: bool = False
    reason: str = ""
    report: dict[str, float] = field(default_factory=dict)
