"""Emulates a day of a script: workers, an artifact store, an endpoint list, clients and dispatchers.

The plan is the one that the days on sockets get, so a script runs in both. Events are recorded in the form of
the stand-ins' records and checked by the same audit. Not emulated, see docs/design/emulator.md: the time that
the programs themselves take, connections and bytes.
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
from martenlead.emulator.box import ArtifactStore, DeduplicationLog, EmulatedWorker
from martenlead.emulator.edge import Edge
from martenlead.emulator.kernel import Kernel, Signal, Steps
from martenlead.emulator.layered import LayerLoader
from martenlead.emulator.messages import AttemptInFlight, Exchange, WorkerResponse
from martenlead.emulator.planned import PlannerProcess
from martenlead.emulator.policies import find_policy, share_rankings
from martenlead.emulator.records import Records
from martenlead.emulator.tally import DayStatistics
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

DAY_START_NS = 1_000_000_000_000  # Not 0: the policy must not take the start of the day for long past
# One way, with the time that the programs at both ends take.
CLIENT_LATENCY_NS, WORKER_LATENCY_NS = 250_000, 350_000
EDGE_START_NS = 800_000_000  # From the start of an edge's process until it accepts requests
DRAIN_TIME_NS = 30_000_000_000  # Longest time after the day for open requests to end


class EndpointListService:
    """Sends the endpoint list, with the delays of the script, to dispatchers that follow its stream."""

    def __init__(self, fleet: Fleet, part: EndpointServerSettings) -> None:
        self.fleet, self.kernel, self.part = fleet, fleet.kernel, part
        self.endpoint_lines = EndpointTable(part.lines)
        self.changed = Signal()
        self.unavailable_until = 0

    def day_ms(self) -> float:
        """Returns the time since the start of the day."""
        return (self.kernel.now - DAY_START_NS) / 1e6

    def update_line(self, line: dict[str, Any], born_ms: float | None) -> None:
        """Changes a line of the list and wakes the streams."""
        self.endpoint_lines.apply(line, born_ms)
        changed, self.changed = self.changed, Signal()
        self.kernel.set_signal(changed)

    def become_unavailable(self, fault: Fault) -> None:
        """Stops answering for the duration of the fault."""
        self.unavailable_until = self.kernel.now + ms_to_ns(fault.for_ms)
        self.fleet.endpoint_list_records("away", for_ms=fault.for_ms)

    def _send_lines(
        self, edge: Edge, incarnation: int, lines: list[dict[str, Any]], is_snapshot: bool, version: int
    ) -> None:
        recorded = [[line["id"], line.get("state", "up"), line.get("start", "")] for line in lines]
        self.fleet.endpoint_list_records(
            "told", edge=edge.name, whole=is_snapshot, version=version, lines=recorded
        )
        endpoints = [
            msgspec.convert(self.endpoint_lines.with_age(line, self.day_ms()), Endpoint) for line in lines
        ]
        self.kernel.call_later(
            self.fleet.client_latency_ns, edge.update_endpoints, incarnation, endpoints, is_snapshot
        )

    def follow(self, edge: Edge, incarnation: int) -> Steps:
        """Sends the stream to one incarnation of a dispatcher."""
        kernel = self.kernel
        version = 0
        retry = edge.settings.endpoint_list.retry_ms * 1e6
        wait = retry
        while edge.incarnation == incarnation:
            if kernel.now < self.unavailable_until:
                yield int(wait * (0.5 + edge.chance.random()))
                wait = min(2 * wait, 20 * retry)
                continue
            wait = retry
            if version == self.endpoint_lines.version:
                yield self.changed, ms_to_ns(self.part.keep_alive_ms)
                continue
            version, lines, is_snapshot = self.endpoint_lines.updates_after(version)
            self._send_lines(edge, incarnation, lines, is_snapshot, version)


class Fleet:
    """All parties of an emulated day."""

    def __init__(
        self,
        plan: Plan,
        *,
        policy: str = "module",
        has_durable_state: bool = False,
        records: bool = True,
        client_latency_ns: int = CLIENT_LATENCY_NS,
        worker_latency_ns: int = WORKER_LATENCY_NS,
        make_recorder: Callable[[Edge], Recorder | None] | None = None,
    ) -> None:
        """Builds the fleet of a plan, with a policy by its name in policies.py.

        With `has_durable_state` dispatchers keep their knowledge over restarts. Raises `ValueError` for an
        unknown policy.
        """
        policy_type: type[Policy] = share_rankings(find_policy(policy)(self))
        self.plan, self.has_durable_state = plan, has_durable_state or plan.day.lasting
        self.kernel = Kernel()
        self.kernel.now = DAY_START_NS
        self.client_latency_ns, self.worker_latency_ns = client_latency_ns, worker_latency_ns
        self.make_recorder = make_recorder or (lambda _: None)
        self.client_records, self.worker_records, self.endpoint_list_records, self.artifact_store_records = (
            Records(self.kernel, records) for _ in range(4)
        )
        self.process_records = Records(self.kernel, records)
        self._arrival_count = 0
        self._deduplication_logs: dict[Any, DeduplicationLog] = {}
        self.function_names: dict[Any, str] = {}  # By function of any dispatcher, for the oracle
        self.artifact_store = ArtifactStore(self, msgspec.convert(plan.vault, TimedStoreSettings))
        self.request_classes = {o.name: o for o in plan.day.offerings}
        self.workers: dict[str, EmulatedWorker] = {}
        faults: list[Fault] = []
        for host in plan.hosts:
            for part in host["runners"]:
                worker = EmulatedWorker(self, msgspec.convert(part, WorkerSettings), plan.seed)
                self.workers[worker.name] = worker
            faults += msgspec.convert(host["faults"], list[Fault])
        self.layer_loader = LayerLoader(self, plan.day.layers) if plan.day.layers is not None else None
        endpoint_list = EndpointServerSettings(lines=plan.roster["lines"])
        self.endpoint_list = EndpointListService(self, endpoint_list)
        clients = msgspec.convert({**plan.clients, "edges": []}, ClientsSettings)
        self.clients, self.expiry = clients, clients.expiry
        self.demand = RequestGenerator(clients, len(plan.edges), self.kernel.clock)
        self.statistics = DayStatistics(plan.day, self.kernel)
        self.planners = [PlannerProcess(self, n) for n in range(count_planners(plan.day))]
        self.edges = []
        for n, settings in enumerate(plan.edges):
            if plan.planners:
                at = [{"port": 1 + planner} for planner in plan.planners[n]]
                settings = {**settings, "planner": {"at": at, **plan.day.planners.link}}
            settings = {**settings, "roster": {"port": 1, **settings.get("roster", {})}}
            about = check_edge_settings(msgspec.convert(settings, EdgeSettings), f"edge {n}")
            self.edges.append(Edge(self, n, about, policy_type))
        self._schedule_events(faults)

    # -- services for workers

    def next_arrival_number(self) -> int:
        """Returns the number that identifies one arrival of one attempt in the records."""
        self._arrival_count += 1
        return self._arrival_count

    def deduplication_log(
        self, part: WorkerSettings, request_class: RequestClassSettings
    ) -> DeduplicationLog | None:
        """Returns the log of the worker's group; None unless the request class is deduplicated."""
        if request_class.effect != "deduplicated":
            return None
        where = {"all": (), "zone": (part.zone,), "cell": (part.zone, part.cell)}[request_class.group]
        key = request_class.name, where
        if key not in self._deduplication_logs:
            self._deduplication_logs[key] = DeduplicationLog()
        return self._deduplication_logs[key]

    def request_class_of(self, function: str) -> RequestClassSettings:
        """Returns the request class of a function; the first one for an unknown function."""
        return self.request_classes.get(function.rpartition(".")[0]) or self.plan.day.offerings[0]

    def send_response(self, attempt: AttemptInFlight, response: WorkerResponse) -> None:
        """Delivers a response to the dispatcher that sent the attempt."""
        self.kernel.call_later(self.worker_latency_ns, attempt.sender.receive_response, attempt, response)

    # -- scheduled events and faults

    def schedule_at_ms(self, ms: float, what: Callable[..., Any], *args: Any) -> None:
        """Runs a callback at a time of the day."""
        self.kernel.call_at(DAY_START_NS + ms_to_ns(ms), what, *args)

    def _schedule_events(self, faults: list[Fault]) -> None:
        plan = self.plan
        for fault in faults:
            worker = self.workers[fault.who]
            self.schedule_at_ms(fault.at_ms, lambda r=worker, f=fault: self.kernel.spawn(r.play_fault(f)))
        for update in plan.roster["says"]:
            self.schedule_at_ms(
                update["at_ms"], self.endpoint_list.update_line, update["line"], update.get("born_ms")
            )
        for away in plan.roster["away"]:
            self.schedule_at_ms(
                away["at_ms"], self.endpoint_list.become_unavailable, msgspec.convert(away, Fault)
            )
        for fault in msgspec.convert(plan.vault["faults"], list[Fault]):
            self.schedule_at_ms(fault.at_ms, self.artifact_store.play_stop, fault)
        if self.layer_loader is not None and plan.depot is not None:
            for fault in msgspec.convert(plan.depot["faults"], list[Fault]):
                steps = self.layer_loader.chunk_store.play_fault
                self.schedule_at_ms(fault.at_ms, lambda f=fault, p=steps: self.kernel.spawn(p(f)))
            for agent in plan.agent_events:
                self.schedule_at_ms(agent.at_ms, self.layer_loader.handle_agent_event, agent)
        for fault in self.clients.faults:
            self.schedule_at_ms(fault.at_ms, lambda f=fault: self.kernel.spawn(self._play_client_fault(f)))
        for planned in plan.planner_events:
            self.schedule_at_ms(planned.at_ms, self.planners[planned.planner].handle_event, planned.what)
        for event in plan.edge_events:
            self.schedule_at_ms(event.at_ms, self._handle_edge_event, event)

    def _play_client_fault(self, fault: Fault) -> Steps:
        self.client_records("fault", kind=fault.kind, for_ms=fault.for_ms)
        self.demand.start_fault(fault)
        yield ms_to_ns(fault.for_ms)
        self.demand.end_fault(fault)

    def _handle_edge_event(self, event: EdgeEvent) -> None:
        edge = self.edges[event.edge]
        if event.what == "kill":
            self.process_records("killed", edge=event.edge)
            edge.kill()
        else:
            self.kernel.call_later(EDGE_START_NS, self._start_edge, event.edge)

    def _start_edge(self, number: int) -> None:
        edge = self.edges[number]
        if not edge.up:
            self.process_records("started", edge=number)
            edge.start()

    # -- clients

    def _arrivals(self) -> Steps:
        if self.clients.trace is not None:
            traced = TraceRequests(self.clients, self.clients.mapping, self.kernel.clock)
            for when, call in traced.requests():
                yield max(0, DAY_START_NS + ms_to_ns(when) - self.kernel.now)
                self.start_call(call())
            return
        at = 0.0
        while True:
            at += self.demand.next_interval_ms()
            if at > self.clients.seconds * 1000:
                return
            yield max(0, DAY_START_NS + ms_to_ns(at) - self.kernel.now)
            self.start_call(self.demand.next_request())

    def start_call(self, call: ClientRequest) -> None:
        """Starts a client's request."""
        self.statistics.record_request(call)
        self.kernel.spawn(self._run_call(call))

    def _run_call(self, call: ClientRequest) -> Steps:
        random = self.demand.random_for(call)
        start_ns = self.kernel.now
        is_scheduled_retry = False
        while True:
            attempt_start_ns = self.kernel.now
            final, wait_ms = yield from self._run_client_attempt(call, random)
            if final == "satisfied":
                self.statistics.record_success(call, self.kernel.now - start_ns)
            if is_scheduled_retry:
                self.statistics.record_scheduled_retry(call, final, self.kernel.now - attempt_start_ns)
            pause = self.demand.retry_delay_ms(call, random, final, wait_ms)
            if pause is None:
                self.statistics.record_end(call, final)
                return
            is_scheduled_retry = pause == wait_ms
            yield ms_to_ns(pause)

    def _run_client_attempt(self, call: ClientRequest, chance: Random) -> Steps:
        kernel, record = self.kernel, self.client_records
        attempt = self.demand.next_try(call, chance)
        leaves = attempt.leaves_at if attempt.leaves_at < attempt.gives_up_at else None
        fields = {"try": attempt.name, "id": str(call.number), "edge": attempt.edge}
        record(
            "sent",
            give_up=attempt.gives_up_at,
            offering=call.request_class.name,
            model=call.function,
            customer=call.tenant,
            first=not call.try_count,
            until=call.deadline,
            leaves=leaves,
            **fields,
        )
        exchange = Exchange(call, attempt, Signal())
        edge = self.edges[attempt.edge]
        kernel.call_later(self.client_latency_ns, edge.receive_request, exchange)
        slack = 0 if leaves is not None else ms_to_ns(self.clients.slack_ms)
        if not (yield exchange.done, max(0, attempt.leaves_at - kernel.now) + slack):
            exchange.is_open = False
            kernel.call_later(self.client_latency_ns, edge.handle_client_disconnect, exchange)
            what = "left" if leaves is not None else "no answer"
            record(what, **fields)
            return what, 0.0
        if exchange.final == "unreached":
            self.demand.mark_unreachable(attempt.edge)
        if exchange.final in ("unreached", "broken"):
            record(exchange.final, **fields)
            return exchange.final, 0.0
        call.reservation = exchange.reservation
        status = {"satisfied": 200, "turned back": 503, "scrapped": 502}[exchange.final]
        if exchange.rejected_at_admission:
            fields["door"] = True
        record("answer", status=status, final=exchange.final, wait_ms=exchange.wait_ms or None, **fields)
        self.statistics.record_attempt(call, exchange.final)
        return exchange.final, exchange.wait_ms

    def reply(self, exchange: Exchange, final: str, wait_ms: float, at_admission: bool) -> None:
        """Delivers a response, or the end of the connection, to a client."""
        exchange.final, exchange.wait_ms, exchange.rejected_at_admission = final, wait_ms, at_admission
        self.kernel.set_signal(exchange.done)

    # -- the day

    def run(self, progress: Callable[[float], None] | None = None) -> None:
        """Runs the day and waits for open requests; `progress` gets the second of the day."""
        for n, edge in enumerate(self.edges):
            self.process_records("started", edge=n)
            edge.start()
        lead = 300_000_000  # For the first snapshot, which the days on sockets wait for
        self.kernel.call_later(lead, lambda: None)
        self.kernel.spawn(self._arrivals())
        end = DAY_START_NS + ms_to_ns(self.clients.seconds * 1000) + DRAIN_TIME_NS
        step = 1_000_000_000
        while self.kernel.now < end:
            self.kernel.run(min(end, self.kernel.now + step))
            if progress is not None:
                progress((self.kernel.now - DAY_START_NS) / 1e9)
            if self.kernel.now > end - DRAIN_TIME_NS and self.statistics.open_requests == 0:
                break

    def report(self) -> dict[str, Any]:
        """Returns the report that `martenlead day` writes; needs the records."""
        plan = self.plan
        audit = Audit(
            make_rules(plan),
            self.client_records.all,
            self.worker_records.all,
            self.endpoint_list_records.all,
            self.process_records.all,
        )
        request_classes = {o.name: msgspec.to_builtins(o) for o in plan.day.offerings}
        day_report = report(audit, request_classes, [0] * len(self.edges))
        day_report["vault"] = summarize_store(self.artifact_store_records.all, self.worker_records.all)
        return {"day": plan.day.name, "seed": plan.seed, **day_report}
