"""Compares known queueing disciplines with the program's, in virtual time: the next request, and the waits.

    PYTHONPATH=. .venv/bin/python benchmarks/ways.py

Each is the admission controller with one decision replaced; everything else, including reservations, is the
same.
"""

from __future__ import annotations

import json
from collections import deque
from typing import Any

from benchmarks.door import jain
from martenlead.admission import controller as module
from martenlead.admission.accounts import TenantAccount
from martenlead.admission.controller import AdmissionController
from martenlead.admission.heavy_hitters import hash_bucket
from martenlead.admission.queues import FunctionQueue, QueuedRequest
from martenlead.admission.units import NS_PER_MS, NS_PER_SECOND
from support import crowd
from support.crowd import AdmissionSimulation, TenantLoad


class Fifo(AdmissionController):
    """First come, first served."""

    def _firsts(self, full: set[str]) -> list[QueuedRequest]:
        found = []
        for account in self.accounts.values():
            for model, line in account.queues.items():
                if model not in full:
                    found += line.requests()
        return found

    def _choose_next(self, full: set[str]) -> QueuedRequest | None:
        return min(self._firsts(full), key=lambda t: t.arrived_ns, default=None)


class Stochastic(Fifo):
    """Stochastic fair queueing: 64 queues by a hash of tenant and client, in turn, without weights."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.turn: dict[int, float] = {}

    def _flow(self, ticket: QueuedRequest) -> int:
        return hash_bucket(f"{ticket.tenant} {ticket.client_bucket}", 64, self.hash_salt)

    def _choose_next(self, full: set[str]) -> QueuedRequest | None:
        return min(
            self._firsts(full), key=lambda t: (self.turn.get(self._flow(t), 0.0), t.arrived_ns), default=None
        )

    def _admit(
        self, ticket: QueuedRequest, queue: FunctionQueue, account: TenantAccount, now: int, where: Any
    ) -> None:
        flow = self._flow(ticket)
        self.turn[flow] = max(self.turn.get(flow, 0.0), min(self.turn.values(), default=0.0)) + 1
        super()._admit(ticket, queue, account, now, where)


class Deficit(Fifo):
    """Deficit round robin over tenants, with a quantum of 0.1 s of work times the weight."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.round: deque[str] = deque()
        self.deficit: dict[str, float] = {}

    def _choose_next(self, full: set[str]) -> QueuedRequest | None:
        firsts: dict[str, QueuedRequest] = {}
        for ticket in self._firsts(full):
            old = firsts.get(ticket.tenant)
            if old is None or ticket.arrived_ns < old.arrived_ns:
                firsts[ticket.tenant] = ticket
        for name in firsts:
            if name not in self.round:
                self.round.append(name)
                self.deficit[name] = 0.0
        for name in [n for n in self.round if n not in firsts and not self.accounts[n].waiting_requests]:
            self.round.remove(name)
        for _ in range(1000 * len(self.round)) if firsts else ():
            name = self.round[0]
            ticket = firsts.get(name)
            if ticket is not None and self.deficit[name] >= ticket.work_seconds:
                return ticket
            self.deficit[name] += 0.1 * self.accounts[name].weight if ticket is not None else 0.0
            self.round.rotate(-1)
        return None

    def _admit(
        self, ticket: QueuedRequest, queue: FunctionQueue, account: TenantAccount, now: int, where: Any
    ) -> None:
        if ticket.tenant in self.deficit:
            self.deficit[ticket.tenant] -= ticket.work_seconds
        super()._admit(ticket, queue, account, now, where)


class CoDel(Fifo):
    """First come, first served without a limit; drops a request that has waited 100 ms when its turn comes,
    once waits have been longer than that for 500 ms."""

    above = 0

    def _estimate_wait_ns(
        self, ticket: QueuedRequest, queue: FunctionQueue, account: TenantAccount, now: int
    ) -> int:
        return 0

    def _choose_next(self, full: set[str]) -> QueuedRequest | None:
        now = self.clock()
        while (first := super()._choose_next(full)) is not None:
            if now - first.arrived_ns < 100 * NS_PER_MS:
                self.above = 0
                return first
            self.above = self.above or now
            if now - self.above < 500 * NS_PER_MS:
                return first
            first.start_by_ns = now - 1  # The sweep rejects it.
            return first
        return None


class Length(Fifo):
    """First come, first served, limited only to 50 waiting requests."""

    def _estimate_wait_ns(
        self, ticket: QueuedRequest, queue: FunctionQueue, account: TenantAccount, now: int
    ) -> int:
        return 0 if self.waiting_requests < 50 else 100 * NS_PER_SECOND


SCENES: dict[str, tuple[list[TenantLoad], dict[str, float]]] = {
    "1.5 times capacity, 70 and 30": ([TenantLoad("a", 105), TenantLoad("b", 45)], {"a": 1.0, "b": 1.0}),
    "shares 3 to 1, b's tasks ten times as heavy": (
        [
            TenantLoad("a", 300, 0.05, clients=50),
            TenantLoad("b", 30, 0.5, latency_objective_s=2.0, clients=50),
        ],
        {"a": 3.0, "b": 1.0},
    ),
    "one client of a sends 85% of 300": (
        [TenantLoad("a", 300, clients=20, flood_share=0.85), TenantLoad("b", 30)],
        {"a": 1.0, "b": 1.0},
    ),
}


def main() -> None:
    """Print one JSON object per scene and discipline."""
    for scene, (tenants, weights) in SCENES.items():
        for kind in (AdmissionController, Deficit, Stochastic, Fifo, CoDel, Length):
            crowd.AdmissionController = kind  # type: ignore[misc]
            crowd_run = AdmissionSimulation(10, tenants, weights=weights)
            crowd_run.run(40)
            work = [crowd_run.on_time_work_s[c.name] / weights[c.name] for c in tenants]
            result = {
                "scene": scene,
                "way": "as it is" if kind is module.AdmissionController else kind.__name__,
                "work in time, of 10 a second": round(sum(crowd_run.on_time_work_s.values()) / 40, 2),
                **{f"part of {c.name}'s in time": round(crowd_run.on_time_share(c.name), 3) for c in tenants},
                "Jain's index of work by weight": round(jain(work), 3),
                "served when told": round(crowd_run.retries_on_time / crowd_run.retries_sent, 3)
                if crowd_run.retries_sent
                else None,
            }
            print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main()
