"""Discrete-event simulation in virtual time of hollow dispatchers and the workers that they share."""

from __future__ import annotations

import gc
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from heapq import heappop, heappush
from time import monotonic
from typing import Any

import numpy as np

from benchmarks.scale.discovery import EventKind, frame
from benchmarks.scale.hollow import Call, HollowDispatcher, SentAttempt, SentLoad
from benchmarks.scale.popularity import Popularity, Rarity
from benchmarks.scale.sizes import MAX_WORKERS, Assumptions, BadSize, FleetSize, check_memory_in_use
from benchmarks.scale.workers import SECOND_NS, Instance, Met, WorkerFleet
from martenlead.edge.records import FinalOutcome, PendingRequest
from martenlead.node.serve import freeze_heap

EPOCH_NS = 1_700_000_000 * SECOND_NS
CHUNK = 4_096  # Arrivals drawn at a time.
CHECK_EVERY = 512  # Events between two checks of memory and the wall clock.
NEVER = 1 << 62


class Event(Enum):
    """The kinds of events, each of which has a handler."""

    CALL = auto()
    ATTEMPT_ARRIVES = auto()
    ANSWER_LEAVES = auto()
    ANSWER_ARRIVES = auto()
    LOAD_ARRIVES = auto()
    LOAD_ENDS = auto()
    EXPIRES = auto()
    TIMERS = auto()
    HEARTBEAT = auto()
    CONNECTED = auto()  # Only of links with connections.


@dataclass(slots=True)
class Outcomes:
    """Outcomes of calls: final responses, and the latencies of cold starts by rarity, in ns."""

    calls: int = 0
    finals: Counter[str] = field(default_factory=Counter)
    succeeded: Counter[Rarity] = field(default_factory=Counter)
    cold: dict[Rarity, list[int]] = field(default_factory=lambda: defaultdict(list))


class Simulation:
    """Simulates some dispatchers of a fleet and all of its workers."""

    def __init__(
        self, size: FleetSize, assumptions: Assumptions, seed: int, deadline: float, heartbeats: bool = True
    ) -> None:
        """`deadline` is a time of `time.monotonic`."""
        self.size, self.deadline = size, deadline
        self.now = EPOCH_NS
        self.stopped = False
        self.heartbeats = heartbeats
        self.workers = WorkerFleet(size, assumptions, seed)
        self.popularity = Popularity(size.functions, assumptions.zipf_exponent, assumptions.zipf_offset)
        self.rarities = self.popularity.rarities(size.calls_per_second)
        self.dispatchers: list[HollowDispatcher] = []
        self.contacted: list[bytearray] = []  # By dispatcher: the workers that it has sent attempts to.
        self.outcomes = Outcomes()
        self.measuring = True
        self._random = np.random.default_rng(seed)
        self._events: list[tuple[int, int, Event, int, Any]] = []
        self._count = 0
        self._arrivals: Iterator[tuple[int, int, int]] = iter(())
        self._handlers: dict[Event, Callable[[int, Any], None]] = {
            Event.CALL: self._call,
            Event.ATTEMPT_ARRIVES: self._attempt_arrives,
            Event.ANSWER_LEAVES: self._answer_leaves,
            Event.ANSWER_ARRIVES: self._answer_arrives,
            Event.LOAD_ARRIVES: self._load_arrives,
            Event.LOAD_ENDS: self._load_ends,
            Event.EXPIRES: self._expires,
            Event.TIMERS: self._timers,
            Event.HEARTBEAT: self._heartbeat,
        }

    def clock(self) -> int:
        """Returns the virtual time in ns."""
        return self.now

    def add(self, dispatcher: HollowDispatcher) -> None:
        """Adds a dispatcher and starts it; its first timers are due now."""
        number = len(self.dispatchers)
        self.dispatchers.append(dispatcher)
        self.contacted.append(bytearray(MAX_WORKERS))
        dispatcher.begin()
        self._after(number)
        if self.heartbeats:
            self._push(self.now + SECOND_NS, Event.HEARTBEAT, number, None)

    def check_time(self, doing: str) -> None:
        """Raises BadSize where the limit of wall-clock time is reached."""
        if monotonic() > self.deadline:
            raise BadSize(f"the time limit was reached while {doing}")

    # -- traffic

    def traffic(self, calls_per_second: float, seconds: float) -> None:
        """Schedules Poisson arrivals from now on, spread evenly over the dispatchers."""
        self._arrivals = self._poisson(calls_per_second, self.now + round(seconds * SECOND_NS))
        self._next_arrival()

    def _poisson(self, calls_per_second: float, until: int) -> Iterator[tuple[int, int, int]]:
        at = float(self.now)
        while at < until:
            gaps = self._random.exponential(SECOND_NS / calls_per_second, CHUNK)
            times = at + np.cumsum(gaps)
            functions = self.popularity.draw(self._random.random(CHUNK))
            targets = self._random.integers(0, len(self.dispatchers), CHUNK)
            for time, target, function in zip(
                times.tolist(), targets.tolist(), functions.tolist(), strict=True
            ):
                if time >= until:
                    return
                yield round(time), target, function
            at = float(times[-1])

    def sweep(self, functions: list[int], seconds: float) -> None:
        """Schedules one call of each function at a random dispatcher, spread over a number of seconds."""
        targets = self._random.integers(0, len(self.dispatchers), len(functions)).tolist()
        permutation = self._random.permutation(len(functions)).tolist()
        for position, index in enumerate(permutation):
            at = self.now + round(position * seconds * SECOND_NS / max(1, len(permutation)))
            self._push(at, Event.CALL, targets[index], (functions[index], False))

    def _next_arrival(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is not None:
            time, target, function = arrival
            self._push(time, Event.CALL, target, (function, True))

    # -- the loop

    def _push(self, time: int, event: Event, dispatcher: int, payload: Any) -> None:
        self._count += 1
        heappush(self._events, (time, self._count, event, dispatcher, payload))

    def run(self, seconds: float) -> float:
        """Runs a number of virtual seconds, or until the deadline; returns the virtual seconds passed.

        Raises BadSize where memory exceeds its limit.
        """
        began, until = self.now, self.now + round(seconds * SECOND_NS)
        handled = 0
        while self._events and self._events[0][0] <= until:
            handled += 1
            if handled % CHECK_EVERY == 0:
                check_memory_in_use()
                if monotonic() > self.deadline:
                    self.stopped = True
                    return (self.now - began) / SECOND_NS
            time, _, event, number, payload = heappop(self._events)
            self.now = max(self.now, time)
            self._handlers[event](number, payload)
            if number >= 0:
                self._after(number)
        self.now = until
        return seconds

    def _after(self, number: int) -> None:
        """Schedules the delivery of what a dispatcher has sent, and its next timers."""
        dispatcher = self.dispatchers[number]
        link = dispatcher.link
        if link.attempts:
            sent_attempts, link.attempts = link.attempts, []
            for sent in sent_attempts:
                half = self.workers.round_trip(number, sent.worker) // 2
                self._push(self.now + half, Event.ATTEMPT_ARRIVES, number, sent)
        if link.loads:
            sent_loads, link.loads = link.loads, []
            for load in sent_loads:
                half = self.workers.round_trip(number, load.worker) // 2
                self._push(self.now + half, Event.LOAD_ARRIVES, number, load)
        due = dispatcher.dispatcher.policy_boundary.next_due_ns()
        if due is not None and due < dispatcher.armed:
            dispatcher.armed = due
            self._push(max(due, self.now), Event.TIMERS, number, due)

    # -- events

    def _call(self, number: int, payload: tuple[int, bool]) -> None:
        function, drawn = payload
        call = Call(f"c{self._count:x}", function, self.now)
        counted = self.measuring and drawn
        if counted:
            self.outcomes.calls += 1
        call.done = lambda request: self._done(number, call, request, counted)
        self.dispatchers[number].accept_call(call)
        if drawn:
            self._next_arrival()

    def _done(self, number: int, call: Call, request: PendingRequest, counted: bool) -> None:
        dispatcher = self.dispatchers[number].dispatcher
        request.content = request.response = None
        dispatcher.defer(dispatcher.close, request)
        if not counted or request.outcome is None:
            return
        self.outcomes.finals[request.outcome.value] += 1
        if request.outcome is FinalOutcome.SUCCEEDED:
            rarity = self.rarities[call.function]
            self.outcomes.succeeded[rarity] += 1
            if call.cold:
                self.outcomes.cold[rarity].append(self.now - call.arrived)

    def _attempt_arrives(self, number: int, sent: SentAttempt) -> None:
        self.contacted[number][sent.worker % MAX_WORKERS] = 1
        met, delay, instance = self.workers.call(sent.worker, sent.function, self.now)
        self._push(self.now + delay, Event.ANSWER_LEAVES, -1, (number, sent, met, instance))
        if sent.due < self.now + delay + self.workers.round_trip(number, sent.worker):
            self._push(max(sent.due, self.now), Event.EXPIRES, number, sent)

    def _answer_leaves(self, _none: int, payload: tuple[int, SentAttempt, Met, Instance | None]) -> None:
        number, sent, met, instance = payload
        if instance is not None:
            self.workers.release(instance, self.now)
        half = self.workers.round_trip(number, sent.worker) // 2
        self._push(self.now + half, Event.ANSWER_ARRIVES, number, (sent, met))

    def _answer_arrives(self, number: int, payload: tuple[SentAttempt, Met]) -> None:
        sent, met = payload
        response_word = b"WAIT" if met is Met.NO_ROOM else b"DONE"
        txn = sent.attempt.request.content.id if sent.open else "late"
        line = b'{"m":"%b","txn":"%b","props":{"why":"%b"},"raw":"eyJ5IjoxfQ=="}' % (
            response_word,
            txn.encode(),
            met.value.encode(),
        )
        self.dispatchers[number].answered(sent, line, met)

    def _expires(self, number: int, sent: SentAttempt) -> None:
        self.dispatchers[number].expired(sent)

    def _load_arrives(self, number: int, sent: SentLoad) -> None:
        is_loaded, delay = self.workers.load(sent.worker, sent.function, self.now)
        half = self.workers.round_trip(number, sent.worker) // 2
        self._push(self.now + delay + half, Event.LOAD_ENDS, number, (sent, is_loaded))

    def _load_ends(self, number: int, payload: tuple[SentLoad, bool]) -> None:
        sent, is_loaded = payload
        response_word, instances = (b"DONE", 1) if is_loaded else (b"WAIT", 0)
        line = b'{"m":"%b","txn":"%b","props":{"instances":%d}}' % (
            response_word,
            sent.txn.encode(),
            instances,
        )
        self.dispatchers[number].loaded(sent, line)

    def _timers(self, number: int, due: int) -> None:
        dispatcher = self.dispatchers[number]
        if dispatcher.armed == due:
            dispatcher.armed = NEVER
            dispatcher.timers()

    def _heartbeat(self, number: int, _payload: None) -> None:
        dispatcher = self.dispatchers[number]
        dispatcher.membership(frame(dispatcher.source.endpoint_list.version, EventKind.HEARTBEAT, []))
        self._push(self.now + SECOND_NS, Event.HEARTBEAT, number, None)


def collect_as_the_program_does() -> None:
    """Configures garbage collection as `martenlead.node.serve` does at its start.

    Once the list of workers is known, the caller freezes the heap again to exclude it.
    """
    gc.unfreeze()  # Undoes the freeze of an earlier run in this process.
    gc.set_threshold(2_000, 5, 5)
    freeze_heap()
