"""Clients, a door and a module's places in virtual time: what is served, of whom, and who comes back when."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random
from typing import Any

from martenlead.admission.controller import AdmissionController
from martenlead.admission.limits import AdmissionLimits
from martenlead.admission.queues import AdmissionRequest, QueuedRequest, QueueState, ServiceResult
from martenlead.admission.units import NS_PER_MS, NS_PER_SECOND


@dataclass
class Customer:
    name: str
    rate: float  # first tries a second
    work: float = 0.1  # s
    soft: float = 0.6  # s
    clients: int = 20
    honours: float = 1.0  # part of those turned back that come when they were told; others 50 ms later
    tries: int = 4
    model: str = "m"
    flood: float = 0.0  # part of all tasks that one client has


class Crowd:
    def __init__(
        self,
        places: int,
        customers: list[Customer],
        *,
        queues: bool = True,
        seed: int = 1,
        doors: int = 1,
        **limits: Any,
    ) -> None:
        """With several doors clients choose one by chance, unevenly, and come back to it; each door sees its
        own traffic, and all modules fill the same places."""
        self.now = 0
        self.chance = Random(seed)
        self.places: dict[str, int] = defaultdict(lambda: places)
        self.busy: Counter[str] = Counter()
        told = AdmissionLimits(**limits)
        self.gates = [
            AdmissionController(told, lambda: self.now, Random(seed * 1000 + n), self._room)
            for n in range(doors if queues else 0)
        ]
        self.gate = self.gates[0] if queues else None
        self._heap: list[tuple[int, int, Any]] = []
        self._count = self._marks = 0
        self.asked: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()
        self.work_in_time: Counter[str] = Counter()
        self.ends: Counter[str] = Counter()
        self.told = self.came = self.met = 0
        self.about: dict[int, tuple[QueuedRequest, Any]] = {}
        self.sat_on = 0  # the longest that a task waited and was turned back then, ns
        self.series: Counter[int] = Counter()
        for customer in customers:
            self._next_of(customer)
        self.customers = customers
        self._sweeps()

    def _room(self, ticket: QueuedRequest) -> bool:
        return self.busy[ticket.function] < self.places[ticket.function]

    def _sweeps(self) -> None:
        """Room that comes with time alone: the door looks for it now and then."""
        if self.gates:
            for gate in self.gates:
                self._changed(gate.admit_waiting())
            self.at(self.now + 10 * NS_PER_MS, self._sweeps)

    def at(self, when: int, what: Any) -> None:
        self._count += 1
        heappush(self._heap, (when, self._count, what))

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * NS_PER_SECOND)
        while self._heap and self._heap[0][0] <= until:
            self.now, _, what = heappop(self._heap)
            what()
        self.now = until

    def _next_of(self, customer: Customer) -> None:
        if customer.rate:
            gap = self.chance.expovariate(customer.rate)
            self.at(self.now + int(gap * NS_PER_SECOND), lambda: self._comes(customer))

    def _comes(self, customer: Customer) -> None:
        self._next_of(customer)
        self._marks += 1
        self.asked[customer.name] += 1
        flood = self.chance.random() < customer.flood
        client = "flood" if flood else f"c{self.chance.randrange(customer.clients)}"
        self._tries(customer, client, self._marks, 1, False, self._door())

    def _door(self) -> AdmissionController | None:
        """The first has half again as much as the last, and who is the first moves on every ten seconds."""
        if not self.gates:
            return None
        count = len(self.gates)
        at = int(count * self.chance.random() ** 1.3)
        return self.gates[(at + self.now // (10 * NS_PER_SECOND) * (count // 3 + 1)) % count]

    def _tries(
        self,
        customer: Customer,
        client: str,
        mark: int,
        tries: int,
        appointed: bool,
        gate: AdmissionController | None,
    ) -> None:
        came = self.now
        soft = came + int(customer.soft * NS_PER_SECOND)
        self.came += appointed
        if gate is None:
            ticket = QueuedRequest(
                customer.model, "o", customer.name, 0, mark, customer.work, 100, came, soft, soft, False
            )
            ticket.state = QueueState.ADMITTED
        else:
            give_up = came + int(4 * customer.soft * NS_PER_SECOND)
            arriving = AdmissionRequest(
                customer.model, "o", customer.name, client, mark, customer.work, 100, soft, give_up, tries > 1
            )
            ticket = gate.submit(arriving)
        about = customer, client, mark, tries, came, appointed, gate
        if ticket.state is QueueState.ADMITTED:
            self._inside(ticket, about)
        elif ticket.state is QueueState.REJECTED:
            self._back(ticket.retry_after_ns, about)
        else:
            self._waiting(ticket, about)

    def _waiting(self, ticket: QueuedRequest, about: Any) -> None:
        self.about[id(ticket)] = ticket, about

        def late() -> None:
            if ticket.state is QueueState.QUEUED:
                about[6].expire(ticket)
                self._changed([ticket])

        self.at(ticket.start_by_ns, late)

    def _changed(self, tickets: list[QueuedRequest]) -> None:
        for ticket in tickets:
            _, about = self.about.pop(id(ticket))
            if ticket.state is QueueState.ADMITTED:
                self._inside(ticket, about)
            else:
                self.sat_on = max(self.sat_on, self.now - about[4])
                self._back(ticket.retry_after_ns, about)

    def _inside(self, ticket: QueuedRequest, about: Any) -> None:
        customer = about[0]
        model = customer.model
        if self.busy[model] >= self.places[model]:
            self._over(ticket, ServiceResult.NO_CAPACITY, about[6])
            self._back(ticket.retry_after_ns if about[6] else int(500 * NS_PER_MS), about)
            return
        self.busy[model] += 1
        gate = about[6]
        if gate is not None:
            self.at(self.now, lambda: self._changed(gate.confirm_admission(ticket)))
        took = int(customer.work * self.chance.uniform(0.7, 1.3) * NS_PER_SECOND)
        self.at(self.now + took, lambda: self._done(ticket, about))

    def _done(self, ticket: QueuedRequest, about: Any) -> None:
        customer, _, _, _, came, appointed, gate = about
        self.busy[customer.model] -= 1
        good = self.now <= came + customer.soft * NS_PER_SECOND
        if good:
            self.in_time[customer.name] += 1
            self.work_in_time[customer.name] += customer.work
            self.series[self.now // NS_PER_SECOND] += 1
        self.met += appointed and good
        self.ends["satisfied" if good else "late"] += 1
        self._over(ticket, ServiceResult.SUCCEEDED, gate)

    def _over(self, ticket: QueuedRequest, end: ServiceResult, gate: AdmissionController | None) -> None:
        if gate is not None:
            self._changed(gate.complete(ticket, end))

    def _back(self, wait: int, about: Any) -> None:
        customer, client, mark, tries, _, _, gate = about
        self.ends["turned back"] += 1
        if tries >= customer.tries:
            return
        heeds = self.chance.random() < customer.honours
        self.told += heeds
        then = self.now + (wait if heeds else 50 * NS_PER_MS)
        self.at(then, lambda: self._tries(customer, client, mark, tries + 1, heeds, gate))

    def part(self, name: str) -> float:
        """Of a customer's first tries, those that were answered inside the soft limit in the end."""
        return self.in_time[name] / max(1, self.asked[name])


__all__ = ["NS_PER_MS", "Crowd", "Customer", "ServiceResult"]
