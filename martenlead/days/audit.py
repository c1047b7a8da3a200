"""Checks the five rules against what passed on the sockets: the records of clients, workers and endpoint
list.

The audit imports no decision code and asks no program about its intent. `processes` are the facts of the
day itself: when an edge was killed and started. Times are ns. Where records of two processes are compared,
`transit` covers the way between them.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

Record = dict[str, Any]
NS_PER_MS = 1_000_000
RULE_NAMES = ("one_answer", "no_effect_twice", "drains", "cold_runners", "load_ration")


@dataclass
class Rules:
    """The parameters of the rules, and each request class and worker."""

    request_classes: dict[str, dict[str, Any]]  # effect, group, window_ms, work_ms
    workers: dict[str, dict[str, Any]]  # zone, cell, cores, speed
    edges: list[str]
    allows_two_attempts: bool = False
    grace_ms: float = 250
    cold_from: float = 0.2
    cold_ms: float = 8000
    fall_multiple: float = 2.5
    fall_ms: float = 2000
    load_budget: dict[str, float] | None = None  # window_ms, free, share
    slack_ms: float = 20
    transit_ms: float = 30


@dataclass
class Verdict:
    """The result of one rule: how many cases were checked, and its breaches."""

    checked: int = 0
    breaches: list[dict[str, Any]] = field(default_factory=list)

    def add_breach(self, why: str, *records: Record | None) -> None:
        """Adds a breach with the records that prove it."""
        self.breaches.append({"why": why, "records": [r for r in records if r]})


@dataclass
class Arrival:
    """An attempt as its worker recorded it."""

    arrived: Record
    ran: Record | None = None
    refused: Record | None = None
    ended: int | None = None  # when it was answered, or the edge closed its connection


class Audit:
    """The audit of one day's records."""

    def __init__(
        self,
        rules: Rules,
        clients: list[Record],
        workers: list[Record],
        endpoints: list[Record],
        processes: list[Record],
    ) -> None:
        self.rules = rules
        self.transit = int(rules.transit_ms * NS_PER_MS)
        self.client_records, self.worker_records = (
            sorted(clients, key=_time_of),
            sorted(workers, key=_time_of),
        )
        self.endpoint_records, self.process_records = (
            sorted(endpoints, key=_time_of),
            sorted(processes, key=_time_of),
        )
        self.sent = {r["try"]: r for r in self.client_records if r["what"] == "sent"}
        ends = ("answer", "left", "no answer", "unreached", "broken")
        self.ends = {r["try"]: r for r in self.client_records if r["what"] in ends}
        self.arrivals_by_request: dict[str, list[Arrival]] = defaultdict(list)
        self._read_arrivals()

    def _read_arrivals(self) -> None:
        by_id: dict[str, Arrival] = {}
        for record in self.worker_records:
            attempt_id = record.get("way", "")
            if record["what"] == "came":
                arrival = by_id[attempt_id] = Arrival(record)
                self.arrivals_by_request[record["id"]].append(arrival)
            elif attempt_id in by_id:
                arrival = by_id[attempt_id]
                if record["what"] == "ran":
                    arrival.ran = record
                elif record["what"] == "refused":
                    arrival.refused = record
                if record["what"] in ("refused", "answered", "cut", "repeat"):
                    arrival.ended = min(arrival.ended or record["t"], record["t"])

    def verdicts(self) -> dict[str, Verdict]:
        """The verdict on each rule."""
        return {
            "one_answer": self.one_answer(),
            "no_effect_twice": self.no_effect_twice(),
            "drains": self.drains(),
            "cold_runners": self.cold_runners(),
            "load_ration": self.load_ration(),
        }

    # -- 1

    def one_answer(self) -> Verdict:
        """Rule 1: every try gets one final response in time, and no attempt comes after it."""
        verdict = Verdict()
        slack_ns = int(self.rules.slack_ms * NS_PER_MS)
        killed = defaultdict(list)
        for record in self.process_records:
            if record["what"] == "killed":
                killed[record["edge"]].append(record["t"])
        for try_name, sent in self.sent.items():
            verdict.checked += 1
            end = self.ends.get(try_name)
            if end is None:
                verdict.add_breach("the client's records have no end of it", sent)
                continue
            kills = killed[sent["edge"]]
            if end["what"] == "answer":
                if end["final"] not in ("satisfied", "turned back", "scrapped"):
                    verdict.add_breach(f"no final answer but status {end['status']}", sent, end)
                # a delayed client may send after its time is over; the response is due at once then
                if end["t"] > max(sent["give_up"], sent["t"]) + slack_ns:
                    verdict.add_breach("the answer came after the client had given up", sent, end)
            elif end["what"] == "no answer":
                verdict.add_breach("no answer before the client gave up", sent, end)
            elif end["what"] == "broken" and not any(
                sent["t"] - self.transit <= t <= end["t"] + self.transit for t in kills
            ):
                verdict.add_breach("the connection broke though the edge lived", sent, end)
        for record in self.client_records:
            if record["what"] == "stray":
                verdict.add_breach("an answer that no request had asked for", record)
        for arrivals in self.arrivals_by_request.values():
            for arrival in arrivals:
                end = self.ends.get(arrival.arrived["try"])
                is_over = end is not None and end["what"] in ("answer", "left")
                if end and is_over and arrival.arrived["t"] > end["t"] + self.transit:
                    verdict.add_breach("a hand-off for a task that was over", arrival.arrived, end)
        return verdict

    # -- 2

    def no_effect_twice(self) -> Verdict:
        """Rule 2: no request that may have run is repeated unless its class allows that."""
        verdict = Verdict()
        for arrivals in self.arrivals_by_request.values():
            request_class = self.rules.request_classes.get(arrivals[0].arrived["offering"])
            if request_class is None:
                continue
            verdict.checked += 1
            tries: dict[str, list[Arrival]] = defaultdict(list)
            for arrival in arrivals:
                tries[arrival.arrived["try"]].append(arrival)
            for try_name, attempts in tries.items():
                for index, arrival in enumerate(attempts):
                    self._check_repeat(verdict, request_class, attempts[:index], arrival)
                self._check_rejection(verdict, request_class, attempts, self.ends.get(try_name))
            ran = [a.ran for a in arrivals if a.ran]
            if request_class["effect"] != "idempotent" and len(ran) > 1:
                verdict.add_breach(f"it ran {len(ran)} times", *ran)
        return verdict

    def _check_repeat(
        self, verdict: Verdict, request_class: dict[str, Any], earlier: list[Arrival], arrival: Arrival
    ) -> None:
        arrived = arrival.arrived
        if not self.rules.allows_two_attempts:
            for other in earlier:
                if other.ended is None or other.ended > arrived["t"] + self.transit:
                    verdict.add_breach("two hand-offs out at once", other.arrived, arrived)
        possibly_run = [other for other in earlier if not other.refused]
        if not possibly_run or request_class["effect"] == "idempotent":
            return
        if request_class["effect"] == "unrepeatable":
            verdict.add_breach("a further hand-off of what may have run", possibly_run[0].arrived, arrived)
            return
        first = possibly_run[0].arrived
        if not self._same_group(request_class["group"], first, arrived):
            verdict.add_breach("sent again outside its group", first, arrived)
        if arrived["t"] > first["t"] + request_class["window_ms"] * NS_PER_MS:
            verdict.add_breach("sent again after its window", first, arrived)

    @staticmethod
    def _same_group(group: str, first: Record, second: Record) -> bool:
        if group == "all":
            return True
        return bool(first["zone"] == second["zone"] and (group == "zone" or first["cell"] == second["cell"]))

    def _check_rejection(
        self, verdict: Verdict, request_class: dict[str, Any], attempts: list[Arrival], end: Record | None
    ) -> None:
        if end is None or end["what"] != "answer" or end["final"] != "turned back":
            return
        if request_class["effect"] == "idempotent":
            return
        if request_class["effect"] == "deduplicated" and request_class["group"] == "all":
            return
        for arrival in attempts:
            if not arrival.refused:
                verdict.add_breach("turned back though it may have run", arrival.arrived, end)

    # -- 3

    def drains(self) -> Verdict:
        """Rule 3: nothing is sent to a worker that the edge knows to drain or to be gone.

        An edge knows it from the endpoint list, or from a worker's refusal that says so.
        """
        verdict = Verdict()
        edges = {name: n for n, name in enumerate(self.rules.edges)}
        killed = [
            (r["t"], self.rules.edges[r["edge"]]) for r in self.process_records if r["what"] == "killed"
        ]
        events: list[tuple[int, int, Record]] = [
            (r["t"], 0, r) for r in self.endpoint_records if r["what"] == "told"
        ]
        events += [(at_ns, 0, {"what": "killed", "edge": edge}) for at_ns, edge in killed]
        events += [(r["t"], 1, r) for r in self.worker_records]
        arrived_by_id: dict[str, Record] = {}
        # edge, worker -> first notice that the worker is not up
        notices: dict[tuple[str, str], tuple[int, Record]] = {}
        incarnations: dict[tuple[str, str], str] = {}
        own_refusals: set[tuple[str, str, str]] = set()
        limit_ns = int(self.rules.grace_ms * NS_PER_MS) + self.transit
        for at_ns, _, record in sorted(events, key=lambda e: e[:2]):
            what, edge = record["what"], record.get("edge", "")
            if what == "told":
                listed = {line[0] for line in record["lines"]}
                if record["whole"]:
                    for worker in self.rules.workers:
                        if worker not in listed:
                            notices.setdefault((edge, worker), (at_ns, record))
                for worker, state, incarnation in record["lines"]:
                    incarnations[edge, worker] = incarnation
                    if state != "up":
                        notices.setdefault((edge, worker), (at_ns, record))
                    elif (edge, worker, incarnation) not in own_refusals:
                        notices.pop((edge, worker), None)
            elif what == "killed":
                notices = {key: value for key, value in notices.items() if key[0] != edge}
                own_refusals = {key for key in own_refusals if key[0] != edge}
            elif what == "came":
                arrived_by_id[record["way"]] = record
            elif what == "refused" and record["why"] == "draining" and record["way"] in arrived_by_id:
                arrived = arrived_by_id[record["way"]]
                key = arrived["edge"], arrived["runner"]
                notices.setdefault(key, (at_ns, record))
                own_refusals.add((*key, incarnations.get(key, "")))
            if (what == "came" or (what == "order" and record["copies"])) and edge in edges:
                verdict.checked += 1
                notice = notices.get((edge, record["runner"]))
                if notice and at_ns > notice[0] + limit_ns:
                    verdict.add_breach("sent to a runner that drains or is gone", notice[1], record)
        return verdict

    # -- 4

    def cold_runners(self) -> Verdict:
        """Rule 4: the work that reaches a cold worker in any span of `fall_ms` stays within a multiple of its
        capacity.
        """
        verdict, rules = Verdict(), self.rules
        work_by_worker: dict[str, list[tuple[int, float]]] = defaultdict(list)
        for record in self.worker_records:
            if record["what"] == "came":
                request_class = rules.request_classes.get(record["offering"])
                if request_class:
                    work_by_worker[record["runner"]].append((record["t"], request_class["work_ms"] / 1000))
        span_ns = int(rules.fall_ms * NS_PER_MS)
        for record in self.worker_records:
            if record["what"] != "up":
                continue
            worker, started_at = record["runner"], record["t"]
            worker_settings = rules.workers[worker]
            verdict.checked += 1
            arrivals = [
                a
                for a in work_by_worker[worker]
                if started_at <= a[0] <= started_at + rules.cold_ms * NS_PER_MS
            ]
            total, first = 0.0, 0
            for at_ns, work in arrivals:
                total += work
                while arrivals[first][0] < at_ns - span_ns:
                    total -= arrivals[first][1]
                    first += 1
                share = rules.cold_from + (1 - rules.cold_from) * (arrivals[first][0] - started_at) / (
                    rules.cold_ms * NS_PER_MS
                )
                capacity_s = (
                    worker_settings["cores"]
                    * worker_settings["speed"]
                    * min(1.0, share)
                    * rules.fall_ms
                    / 1000
                )
                if total > rules.fall_multiple * capacity_s * 1.1:
                    verdict.add_breach(
                        f"{total:.1f} s of work within {rules.fall_ms:g} ms, {capacity_s:.1f} s can be done",
                        record,
                    )
                    break
        return verdict

    # -- 5

    def load_ration(self) -> Verdict:
        """Rule 5: each edge's load requests stay within the load budget."""
        verdict, budget = Verdict(), self.rules.load_budget
        if not budget:
            return verdict
        window_ns = int(budget["window_ms"] * NS_PER_MS)
        sent_by_edge: dict[str, list[int]] = defaultdict(list)
        for name, sent in self.sent.items():
            end = self.ends.get(name)
            if end is None or end["what"] != "unreached":
                sent_by_edge[self.rules.edges[sent["edge"]]].append(sent["t"])
        kills_by_edge: dict[str, list[int]] = defaultdict(list)
        for record in self.process_records:
            if record["what"] == "killed":
                kills_by_edge[self.rules.edges[record["edge"]]].append(record["t"])
        load_requests_by_edge: dict[str, list[Record]] = defaultdict(list)
        for record in self.worker_records:
            if record["what"] == "order" and record["copies"]:
                load_requests_by_edge[record["edge"]].append(record)
        for edge, load_requests in load_requests_by_edge.items():
            times = [r["t"] for r in load_requests]
            for index, record in enumerate(load_requests):
                verdict.checked += 1
                at_ns = record["t"]
                killed_at = max((k for k in kills_by_edge[edge] if k < at_ns), default=0)
                since = max(at_ns - window_ns, killed_at)
                count = index + 1 - bisect_left(times, max(since + self.transit, killed_at))
                request_count = bisect_right(sent_by_edge[edge], at_ns + self.transit)
                request_count -= bisect_left(sent_by_edge[edge], max(since - self.transit, killed_at))
                if count > budget["free"] + budget["share"] * request_count + 1e-9:
                    verdict.add_breach(f"{count} orders against {request_count} tasks", record)
        return verdict


def _time_of(record: Record) -> int:
    return int(record["t"])


def min_time_left_ms(clients: list[Record], least_ms: float = 50) -> float | None:
    """Least time between a response and the time its client gives up, among tries with `least_ms` or more
    left.
    """
    sent = {r["try"]: r for r in clients if r["what"] == "sent"}
    left = [
        (sent[r["try"]]["give_up"] - r["t"]) / NS_PER_MS
        for r in clients
        if r["what"] == "answer" and sent[r["try"]]["give_up"] - sent[r["try"]]["t"] >= least_ms * NS_PER_MS
    ]
    return min(left, default=None)


__all__ = ["RULE_NAMES", "Audit", "Rules", "Verdict", "min_time_left_ms"]
