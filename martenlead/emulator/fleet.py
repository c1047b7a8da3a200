"""A day in virtual time: what its script says, played by runners, a vault, a roster, clients and dispatchers.

The plan is the one that the days on sockets get, so one script runs in both. What passes is recorded as the
stand-ins record it, and read by the same audit. Left out, and named in docs/design/emulator.md: the time that
the programs themselves take, connections, bytes.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from martenlead.config.edge import EdgeSettings as EdgeSettings
from martenlead.config.edge import check_edge_settings, ms_to_ns
from martenlead.days.audit import Audit
from martenlead.days.report import report, summarize_store
from martenlead.days.run import make_rules
from martenlead.days.script import EdgeEvent, Plan, count_planners
from martenlead.edge.policy_boundary import Recorder
from martenlead.emulator.box import Marks, Runner, Vault
from martenlead.emulator.edge import Edge
from martenlead.emulator.kernel import Kernel, Signal, Steps
from martenlead.emulator.layered import Store
from martenlead.emulator.messages import Exchange, Sent, Told
from martenlead.emulator.planned import PlannerProcess
from martenlead.emulator.policies import alike, find
from martenlead.emulator.records import Records
from martenlead.emulator.tally import Tally
from martenlead.policy.policy import Policy
from martenlead.standins.crowding import EndpointTable
from martenlead.standins.demand import ClientRequest, RequestGenerator
from martenlead.standins.settings import (
    ClientsSettings,
    EndpointServerSettings,
    Fault,
    RequestClassSettings,
    TimedStoreSettings,
    WorkerSettings,
)
from martenlead.standins.traced import TraceRequests
from martenlead.upstream.endpoints import Endpoint

BEGIN = 1_000_000_000_000  # ns: the module must not take the day's begin for long past
CLIENT_WAY, RUNNER_WAY = 250_000, 350_000  # ns one way, with what the programs at its ends take
START_UP = 800_000_000  # ns that an edge's process takes until it takes tasks
LAST = 30_000_000_000  # ns after the day that open tasks may still take


class Roster:
    """The list of runners, as late as the script says, to dispatchers that follow its stream."""

    def __init__(self, fleet: Fleet, part: EndpointServerSettings) -> None:
        self.fleet, self.kernel, self.part = fleet, fleet.kernel, part
        self.list = EndpointTable(part.lines)
        self.changed = Signal()
        self.away_until = 0

    def day_ms(self) -> float:
        return (self.kernel.now - BEGIN) / 1e6

    def says(self, line: dict[str, Any], born_ms: float | None) -> None:
        self.list.apply(line, born_ms)
        changed, self.changed = self.changed, Signal()
        self.kernel.come(changed)

    def goes(self, fault: Fault) -> None:
        self.away_until = self.kernel.now + ms_to_ns(fault.for_ms)
        self.fleet.roster_records("away", for_ms=fault.for_ms)

    def _told(self, edge: Edge, life: int, lines: list[dict[str, Any]], whole: bool, version: int) -> None:
        said = [[line["id"], line.get("state", "up"), line.get("start", "")] for line in lines]
        self.fleet.roster_records("told", edge=edge.name, whole=whole, version=version, lines=said)
        told = [msgspec.convert(self.list.with_age(line, self.day_ms()), Endpoint) for line in lines]
        self.kernel.after(self.fleet.client_way, edge.news, life, told, whole)

    def follow(self, edge: Edge, life: int) -> Steps:
        """One dispatcher's stream, in one of its lives."""
        kernel = self.kernel
        at = 0
        retry = edge.about.endpoint_list.retry_ms * 1e6
        wait = retry
        while edge.life == life:
            if kernel.now < self.away_until:
                yield int(wait * (0.5 + edge.chance.random()))
                wait = min(2 * wait, 20 * retry)
                continue
            wait = retry
            if at == self.list.version:
                yield self.changed, ms_to_ns(self.part.keep_alive_ms)
                continue
            at, lines, whole = self.list.updates_after(at)
            self._told(edge, life, lines, whole, at)


class Fleet:
    def __init__(
        self,
        made: Plan,
        *,
        policy: str = "module",
        lasting: bool = False,
        records: bool = True,
        client_way: int = CLIENT_WAY,
        runner_way: int = RUNNER_WAY,
        tape: Callable[[Edge], Recorder | None] | None = None,
    ) -> None:
        """With `lasting` dispatchers keep what they know over their lives. `policy` as policies.py names
        them. Raises `ValueError` for one that is none."""
        policy_type: type[Policy] = alike(find(policy)(self))
        self.made, self.lasting = made, lasting or made.day.lasting
        self.kernel = Kernel()
        self.kernel.now = BEGIN
        self.client_way, self.runner_way = client_way, runner_way
        self.tape = tape or (lambda _: None)
        self.client_records, self.runner_records, self.roster_records, self.vault_records = (
            Records(self.kernel, records) for _ in range(4)
        )
        self.process_records = Records(self.kernel, records)
        self._ways = 0
        self._marks: dict[Any, Marks] = {}
        self.names: dict[Any, str] = {}  # of the dispatchers' models, for one that sees everything
        self.vault = Vault(self, msgspec.convert(made.vault, TimedStoreSettings))
        self.offerings = {o.name: o for o in made.day.offerings}
        self.runners: dict[str, Runner] = {}
        faults: list[Fault] = []
        for host in made.hosts:
            for part in host["runners"]:
                runner = Runner(self, msgspec.convert(part, WorkerSettings), made.seed)
                self.runners[runner.name] = runner
            faults += msgspec.convert(host["faults"], list[Fault])
        self.store = Store(self, made.day.layers) if made.day.layers is not None else None
        roster = EndpointServerSettings(lines=made.roster["lines"])
        self.roster = Roster(self, roster)
        clients = msgspec.convert({**made.clients, "edges": []}, ClientsSettings)
        self.clients, self.expiry = clients, clients.expiry
        self.demand = RequestGenerator(clients, len(made.edges), self.kernel.clock)
        self.tally = Tally(made.day, self.kernel)
        self.planners = [PlannerProcess(self, n) for n in range(count_planners(made.day))]
        self.edges = []
        for n, told in enumerate(made.edges):
            if made.planners:
                at = [{"port": 1 + planner} for planner in made.planners[n]]
                told = {**told, "planner": {"at": at, **made.day.planners.link}}
            told = {**told, "roster": {"port": 1, **told.get("roster", {})}}
            about = check_edge_settings(msgspec.convert(told, EdgeSettings), f"edge {n}")
            self.edges.append(Edge(self, n, about, policy_type))
        self._cues(faults)

    # -- small services

    def way(self) -> int:
        """A name for one arrival of one hand-off."""
        self._ways += 1
        return self._ways

    def marks(self, part: WorkerSettings, offering: RequestClassSettings) -> Marks | None:
        if offering.effect != "deduplicated":
            return None
        where = {"all": (), "zone": (part.zone,), "cell": (part.zone, part.cell)}[offering.group]
        key = offering.name, where
        if key not in self._marks:
            self._marks[key] = Marks()
        return self._marks[key]

    def offering_of(self, model: str) -> RequestClassSettings:
        return self.offerings.get(model.rpartition(".")[0]) or self.made.day.offerings[0]

    def back(self, sent: Sent, told: Told) -> None:
        self.kernel.after(self.runner_way, sent.edge.back, sent, told)

    # -- what goes wrong, on cue

    def at_ms(self, ms: float, what: Callable[..., Any], *args: Any) -> None:
        self.kernel.at(BEGIN + ms_to_ns(ms), what, *args)

    def _cues(self, faults: list[Fault]) -> None:
        made = self.made
        for fault in faults:
            runner = self.runners[fault.who]
            self.at_ms(fault.at_ms, lambda r=runner, f=fault: self.kernel.spawn(r.play(f)))
        for said in made.roster["says"]:
            self.at_ms(said["at_ms"], self.roster.says, said["line"], said.get("born_ms"))
        for away in made.roster["away"]:
            self.at_ms(away["at_ms"], self.roster.goes, msgspec.convert(away, Fault))
        for fault in msgspec.convert(made.vault["faults"], list[Fault]):
            self.at_ms(fault.at_ms, self.vault.stop, fault)
        if self.store is not None and made.depot is not None:
            for fault in msgspec.convert(made.depot["faults"], list[Fault]):
                steps = self.store.depot.play
                self.at_ms(fault.at_ms, lambda f=fault, p=steps: self.kernel.spawn(p(f)))
            for agent in made.agent_events:
                self.at_ms(agent.at_ms, self.store.event, agent)
        for fault in self.clients.faults:
            self.at_ms(fault.at_ms, lambda f=fault: self.kernel.spawn(self._plays(f)))
        for planned in made.planner_events:
            self.at_ms(planned.at_ms, self.planners[planned.planner].does, planned.what)
        for event in made.edge_events:
            self.at_ms(event.at_ms, self._edge_event, event)

    def _plays(self, fault: Fault) -> Steps:
        self.client_records("fault", kind=fault.kind, for_ms=fault.for_ms)
        self.demand.start_fault(fault)
        yield ms_to_ns(fault.for_ms)
        self.demand.end_fault(fault)

    def _edge_event(self, event: EdgeEvent) -> None:
        edge = self.edges[event.edge]
        if event.what == "kill":
            self.process_records("killed", edge=event.edge)
            edge.kill()
        else:
            self.kernel.after(START_UP, self._started, event.edge)

    def _started(self, number: int) -> None:
        edge = self.edges[number]
        if not edge.up:
            self.process_records("started", edge=number)
            edge.start()

    # -- clients

    def _arrivals(self) -> Steps:
        if self.clients.trace is not None:
            traced = TraceRequests(self.clients, self.clients.mapping, self.kernel.clock)
            for when, call in traced.requests():
                yield max(0, BEGIN + ms_to_ns(when) - self.kernel.now)
                self.comes(call())
            return
        at = 0.0
        while True:
            at += self.demand.next_interval_ms()
            if at > self.clients.seconds * 1000:
                return
            yield max(0, BEGIN + ms_to_ns(at) - self.kernel.now)
            self.comes(self.demand.next_request())

    def comes(self, call: ClientRequest) -> None:
        """One task, whoever thought of it."""
        self.tally.asked(call)
        self.kernel.spawn(self._follow(call))

    def _follow(self, call: ClientRequest) -> Steps:
        chance = self.demand.random_for(call)
        begun = self.kernel.now
        as_told = False
        while True:
            came = self.kernel.now
            final, wait_ms = yield from self._try(call, chance)
            if final == "satisfied":
                self.tally.satisfied(call, self.kernel.now - begun)
            if as_told:
                self.tally.came_as_told(call, final, self.kernel.now - came)
            pause = self.demand.retry_delay_ms(call, chance, final, wait_ms)
            if pause is None:
                self.tally.ended(call, final)
                return
            as_told = pause == wait_ms
            yield ms_to_ns(pause)

    def _try(self, call: ClientRequest, chance: Random) -> Steps:
        kernel, record = self.kernel, self.client_records
        told = self.demand.next_try(call, chance)
        leaves = told.leaves_at if told.leaves_at < told.gives_up_at else None
        about = {"try": told.name, "id": str(call.number), "edge": told.edge}
        record(
            "sent",
            give_up=told.gives_up_at,
            offering=call.request_class.name,
            model=call.function,
            customer=call.tenant,
            first=not call.try_count,
            until=call.deadline,
            leaves=leaves,
            **about,
        )
        x = Exchange(call, told, Signal())
        edge = self.edges[told.edge]
        kernel.after(self.client_way, edge.arrives, x)
        slack = 0 if leaves is not None else ms_to_ns(self.clients.slack_ms)
        if not (yield x.done, max(0, told.leaves_at - kernel.now) + slack):
            x.open = False
            kernel.after(self.client_way, edge.leaves, x)
            what = "left" if leaves is not None else "no answer"
            record(what, **about)
            return what, 0.0
        if x.final == "unreached":
            self.demand.mark_unreachable(told.edge)
        if x.final in ("unreached", "broken"):
            record(x.final, **about)
            return x.final, 0.0
        call.reservation = x.appointment
        status = {"satisfied": 200, "turned back": 503, "scrapped": 502}[x.final]
        if x.door:
            about["door"] = True
        record("answer", status=status, final=x.final, wait_ms=x.wait_ms or None, **about)
        self.tally.tried(call, x.final)
        return x.final, x.wait_ms

    def reply(self, x: Exchange, final: str, wait_ms: float, door: bool) -> None:
        """An answer, or the end of its connection, reaches a client."""
        x.final, x.wait_ms, x.door = final, wait_ms, door
        self.kernel.come(x.done)

    # -- the day

    def run(self, progress: Callable[[float], None] | None = None) -> None:
        for n, edge in enumerate(self.edges):
            self.process_records("started", edge=n)
            edge.start()
        lead = 300_000_000  # the first whole list, as the days wait for it
        self.kernel.after(lead, lambda: None)
        self.kernel.spawn(self._arrivals())
        end = BEGIN + ms_to_ns(self.clients.seconds * 1000) + LAST
        step = 1_000_000_000
        while self.kernel.now < end:
            self.kernel.run(min(end, self.kernel.now + step))
            if progress is not None:
                progress((self.kernel.now - BEGIN) / 1e9)
            if self.kernel.now > end - LAST and self.tally.open == 0:
                break

    def report(self) -> dict[str, Any]:
        """As `martenlead day` reports; needs the records."""
        made = self.made
        audit = Audit(
            make_rules(made),
            self.client_records.all,
            self.runner_records.all,
            self.roster_records.all,
            self.process_records.all,
        )
        offerings = {o.name: msgspec.to_builtins(o) for o in made.day.offerings}
        told = report(audit, offerings, [0] * len(self.edges))
        told["vault"] = summarize_store(self.vault_records.all, self.runner_records.all)
        return {"day": made.day.name, "seed": made.seed, **told}
