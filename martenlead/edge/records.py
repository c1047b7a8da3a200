"""Records of requests, workers, functions and attempts, shared by the dispatcher, its listeners and links."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from martenlead.edge.client import ClientConnection
from martenlead.policy.types import Attempt, Request, RequestClass, Settings, Tenant, WorkerFacts, WorkerState
from martenlead.runnerlink.roster import Line


class Final(Enum):
    """The final outcomes, and that of requests whose client left before there was one."""

    SATISFIED = "satisfied"
    TURNED_BACK = "turned back"
    SCRAPPED = "scrapped"
    LEFT = "left"


@dataclass(slots=True)
class Wanted:
    """A request as a listener has read it; times are ns, `cost` is seconds, `left` is from when it arrived.
    `id` is its client's, `mark` names it on tapes."""

    offering: str
    model: str
    customer: str | None
    lanes: int
    memory_mb: float
    cost: float
    left: int | None
    again: bool
    id: str = ""
    mark: str = ""


class Held:
    """A request that is held: what came, and its final answer once there is one.

    `content` is the listener's and the link's: what came, in the form that the link sends on. `answer` is
    what the link brought back for it. `client` is the connection that it came over, where that can be asked
    whether its client has left.
    """

    __slots__ = (
        "answer",
        "arrived",
        "client",
        "content",
        "done",
        "final",
        "size",
        "task",
        "wait",
        "wanted",
        "why",
    )

    def __init__(
        self,
        wanted: Wanted,
        arrived: int,
        content: Any = None,
        size: int = 0,
        done: Callable[[Held], None] | None = None,
        client: ClientConnection | None = None,
    ) -> None:
        self.wanted, self.arrived = wanted, arrived
        self.client = client
        self.content, self.size = content, size
        self.task: Request | None = None
        self.final: Final | None = None
        self.answer: Any = None
        self.wait = 0
        self.why = ""
        self.done = done

    def end(self, final: Final) -> None:
        """The first of its calls counts. `done` may be told in the middle of a decision: it calls nothing of
        the dispatcher's but `later`."""
        if self.final is not None:
            return
        self.final = final
        if self.done is not None:
            self.done(self)


class Box:
    """A worker as this process knows it: the policy's object, its line in the membership, the way there."""

    def __init__(self, line: Line, way: Any) -> None:
        self.line, self.way = line, way
        self.runner: Any = None
        self.since = 0
        self.started = line.start  # the incarnation that `since` is of
        self.drains = ""  # the incarnation that said so itself
        self.reported: dict[str, float] = {}
        self.out = 0  # attempts and load requests whose end has not come
        self.gone = False

    @property
    def up(self) -> bool:
        """Neither drained nor gone, as far as it was told: what has waited to be sent there may leave."""
        return not self.gone and self.runner.facts.state is WorkerState.UP

    def facts(self, state: WorkerState, since: int, weight: float) -> WorkerFacts:
        line = self.line
        mark = int.from_bytes(line.id.encode(), "big")
        return WorkerFacts(mark, line.zone, line.cell, line.memory_mb or 1.0, weight, state, since)


class Known:
    """A function: the policy's object and its name."""

    __slots__ = ("lanes", "memory_mb", "model", "name", "open")

    def __init__(self, name: str, model: Any, lanes: int, memory_mb: float) -> None:
        self.name, self.model, self.lanes, self.memory_mb = name, model, lanes, memory_mb
        self.open = 0  # requests held


class Out:
    """An attempt on its way. `at` is the link's own."""

    __slots__ = ("at", "box", "hand_off", "held", "number")

    def __init__(self, hand_off: Attempt, held: Held, box: Box, number: int) -> None:
        self.hand_off, self.held, self.box, self.number = hand_off, held, box, number
        self.at: Any = None


@dataclass(slots=True)
class About:
    """What a dispatcher is told at its start. Times are ns; `hard` are the offerings' hard limits; `margin`
    is taken off the time that a client says is left; `models` may be known at once."""

    name: str
    seed: int
    settings: Settings
    offerings: dict[str, RequestClass]
    customers: dict[str, Tenant]
    hard: dict[str, int]
    margin: int
    models: int
    decisions: bool = False  # a line a decision
