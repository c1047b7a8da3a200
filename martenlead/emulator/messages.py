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
    """One try of a client at a dispatcher."""

    call: ClientRequest
    told: ClientTry
    done: Signal
    final: str = ""  # or `unreached`, `broken`
    wait_ms: float = 0.0
    door: bool = False
    appointment: str = ""
    open: bool = True
    held: Held | None = None
    ticket: QueuedRequest | None = None


class Held:
    """A request that a dispatcher has accepted, until its final response. `wait` is ns."""

    __slots__ = ("call", "exchange", "final", "id", "name", "task", "ticket", "wait", "why")

    def __init__(self, exchange: Exchange, ticket: QueuedRequest | None) -> None:
        self.exchange, self.ticket = exchange, ticket
        self.call = exchange.call
        self.id, self.name = str(exchange.call.number), exchange.told.name
        self.task: Request | None = None
        self.final = ""
        self.wait = 0
        self.why = ""


class Sender(Protocol):
    """The dispatcher that an attempt comes from, as workers see it."""

    name: str

    def back(self, sent: Sent, told: Told) -> None:
        """The answer to an attempt arrives."""


@dataclass(slots=True, eq=False)
class Sent:
    """A hand-off on its way. `open` until either side has closed its connection."""

    edge: Sender
    life: int  # of the edge
    hand_off: Attempt
    held: Held
    number: int
    left: int
    scheduled: bool = False
    open: bool = True
    at: Process | None = None  # at the runner


@dataclass(slots=True)
class Told:
    """What a runner answers."""

    result: Result
    warmth: Warmth = Warmth.UNKNOWN
    drains: bool = False
    why: str = ""
    report: dict[str, float] = field(default_factory=dict)
