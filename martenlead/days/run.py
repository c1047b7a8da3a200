"""Runs a day: starts every process, applies faults at their times, and audits at the end. All traffic stays
on loopback.
"""

from __future__ import annotations

import shutil
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from time import monotonic_ns
from typing import Any

import anyio
import msgspec
from anyio.abc import Process
from anyio.streams.buffered import BufferedByteReceiveStream

from martenlead.days.audit import Audit, Rules
from martenlead.days.report import report, summarize_store
from martenlead.days.script import Day, Plan, count_planners, plan
from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.events.server import listen
from martenlead.standins.record import RecordWriter, read_records

READY_S, END_S = 30.0, 15.0


class DayFailed(Exception):
    """The day could not be run; says which process failed, and where its log is."""


class ChildProcess:
    """One process of the day; its log is beside the records."""

    def __init__(self, name: str, command: list[str], config: dict[str, Any], folder: Path) -> None:
        self.name, self.command, self.folder = name, command, folder
        self.config = folder / f"{name}.json"
        self.config.write_bytes(msgspec.json.encode(config))
        self.process: Process | None = None

    async def start(self) -> dict[str, Any]:
        """Starts the process and returns what it reports when it is ready. Raises `DayFailed`."""
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await anyio.open_process(
                [sys.executable, "-m", "martenlead", *self.command, str(self.config)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        assert self.process.stdout is not None
        lines = BufferedByteReceiveStream(self.process.stdout)
        try:
            with anyio.fail_after(READY_S):
                line = await lines.receive_until(b"\n", 1 << 20)
        except (TimeoutError, anyio.EndOfStream, anyio.IncompleteRead):
            raise DayFailed(f"{self.name} did not start; see {self.folder / self.name}.log") from None
        ready: dict[str, Any] = msgspec.json.decode(line)["ready"]
        return ready

    async def send_epoch(self, epoch: int) -> None:
        """Sends the start of the day."""
        assert self.process is not None and self.process.stdin is not None
        await self.process.stdin.send(b"%d\n" % epoch)

    async def terminate(self) -> int:
        """Ends the process by SIGTERM, or SIGKILL if it doesn't react; returns its exit status."""
        process = self.process
        if process is None:
            return 0
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(END_S):
            return await process.wait()
        process.kill()
        await process.wait()
        return -9

    async def kill(self) -> None:
        """Ends the process by SIGKILL."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def run(
    day: Day, seed: int, folder: Path, progress: Callable[[float], None] | None = None
) -> dict[str, Any]:
    """Runs the day in a folder that receives its records and logs; returns the report. Raises `DayFailed`."""
    plan_of_day = plan(day, seed)
    children: list[ChildProcess] = []
    async with AsyncExitStack() as stack:

        async def kill_all() -> None:
            """Kills all processes that still run."""
            with anyio.CancelScope(shield=True):
                for child in children:
                    await child.kill()

        stack.push_async_callback(kill_all)
        return await _play(plan_of_day, folder, children, progress)


async def _play(
    plan_of_day: Plan, folder: Path, children: list[ChildProcess], progress: Callable[[float], None] | None
) -> dict[str, Any]:
    day = plan_of_day.day
    lifetime_s = day.seconds + 120
    record = RecordWriter(str(folder / "processes.jsonl"))

    def child(name: str, command: list[str], config: dict[str, Any]) -> ChildProcess:
        """Prepares a process of the day."""
        children.append(ChildProcess(name, command, config, folder))
        return children[-1]

    def standin(kind: str, name: str, config: dict[str, Any]) -> ChildProcess:
        """Prepares a stand-in's process."""
        record_settings = {"record": str(folder / f"{name}.jsonl"), "epoch_ns": 0}
        lifetime = {} if kind == "client" else {"seconds": lifetime_s}
        return child(name, ["standin", kind], {**config, **record_settings, **lifetime})

    roster_port = await free_port()
    agents: dict[str, ChildProcess] = {}
    agent_ports: dict[str, int] = {}
    if plan_of_day.samples is not None:
        layout = folder / "vault"
        await _make(layout, plan_of_day.samples, folder)
        vault = standin("depot", "vault", {**(plan_of_day.depot or {}), "layout": str(layout)})
        port = (await vault.start())["port"]
        link_settings: dict[str, Any] = (
            {"roster": {"port": roster_port}} if day.layers and day.layers.share else {}
        )
        for name, config in plan_of_day.agents.items():
            cache_settings = {"cache": str(folder / f"box-{name}"), "vault": {"port": port}}
            agents[name] = child(
                f"agent-{name}", ["layers", "agent"], {**cache_settings, **link_settings, **config}
            )
        agent_ports = await _start_agents(agents)
        storage: dict[str, Any] = {"depot": {"port": port}}
    else:
        vault = standin("vault", "vault", plan_of_day.vault)
        storage = {"vault": {"port": (await vault.start())["port"]}}
    hosts = []
    for n, config in enumerate(plan_of_day.hosts):
        for worker in config["runners"]:
            if worker["name"] in agent_ports:
                worker["agent"] = {"port": agent_ports[worker["name"]]}
        hosts.append(standin("runner", f"runners-{n}", {**config, **storage}))
    ports: dict[str, int] = {}

    async def start_host(host: ChildProcess) -> None:
        """Starts a process of workers and keeps their ports."""
        ports.update((await host.start())["ports"])

    async with anyio.create_task_group() as group:
        for host in hosts:
            group.start_soon(start_host, host)
    for line in [*plan_of_day.roster["lines"], *(said["line"] for said in plan_of_day.roster["says"])]:
        line["port"] = ports[line["id"]]
        line["layers"] = agent_ports.get(line["id"], 0)
    roster = standin("roster", "roster", {**plan_of_day.roster, "port": roster_port})
    await roster.start()
    planners: list[ChildProcess] = []
    planner_ports: list[int] = []
    for n in range(count_planners(day)):
        planner_settings = {"name": f"planner-{n}", "kept": str(folder / f"planner-{n}.kept")}
        planners.append(child(f"planner-{n}", ["plan"], planner_settings))
        planner_ports.append((await planners[n].start())["port"])
        planners[n].config.write_bytes(
            msgspec.json.encode({**planner_settings, "listen": {"port": planner_ports[n]}})
        )
    edges: list[ChildProcess] = []
    for n, config in enumerate(plan_of_day.edges):
        link_settings = {
            "port": roster_port,
            "kept": str(folder / f"edge-{n}.kept"),
            **config.get("roster", {}),
        }
        recording_settings: dict[str, Any] = (
            {"capture": {"folder": str(folder / "captures")}} if day.capture else {}
        )
        if day.lasting:
            recording_settings["lasting"] = {"folder": str(folder / "lasting")}
        planner_link = {}
        if plan_of_day.planners:
            planner_addresses = [{"port": planner_ports[p]} for p in plan_of_day.planners[n]]
            planner_link = {"planner": {"at": planner_addresses, **day.planners.link}}
        edges.append(
            child(
                f"edge-{n}",
                ["edge"],
                {**recording_settings, **planner_link, **config, "roster": link_settings},
            )
        )
    edge_ports = [0] * len(edges)

    async def start_edge(number: int) -> None:
        """Starts an edge and keeps its port."""
        edge_ports[number] = (await edges[number].start())["port"]
        record("started", edge=number)

    async with anyio.create_task_group() as group:
        for n in range(len(edges)):
            group.start_soon(start_edge, n)
    for n, edge in enumerate(edges):  # a restarted edge keeps the port that its clients use
        config = msgspec.json.decode(edge.config.read_bytes())
        config["listen"] = {"port": edge_ports[n]}
        edge.config.write_bytes(msgspec.json.encode(config))
    clients = standin(
        "client", "clients", {**plan_of_day.clients, "edges": [{"port": p} for p in edge_ports]}
    )
    await clients.start()
    await anyio.sleep(0.3)  # time for the edges' first snapshot
    epoch = monotonic_ns() + 100_000_000
    for process in (vault, roster, *hosts, clients):
        await process.send_epoch(epoch)
    async with anyio.create_task_group() as group:
        group.start_soon(_edge_events, plan_of_day, edges, epoch, start_edge, record)
        group.start_soon(_planner_events, plan_of_day, planners, epoch, record)
        group.start_soon(_agent_events, plan_of_day, agents, epoch, folder, record)
        if progress:
            group.start_soon(_progress, epoch, day.seconds, progress)
        with anyio.move_on_after(day.seconds + 60) as scope:
            assert clients.process is not None
            await clients.process.wait()
        if scope.cancelled_caught:
            raise DayFailed(f"the clients did not end; see {folder / 'clients'}.log")
        group.cancel_scope.cancel()
    states = [await _state(port) for port in agent_ports.values()]
    for planner in planners:
        if planner.process is not None and planner.process.returncode is None:
            planner.process.send_signal(signal.SIGCONT)  # a stopped process would not end
    exits = [await process.terminate() for process in [*edges, *agents.values()]]
    for planner in planners:
        await planner.terminate()
    for process in (roster, vault, *hosts):
        await process.kill()
    return {**judge(plan_of_day, folder, exits), "agents": states}


async def free_port() -> int:
    """A port that is free now, for a server whose clients are configured before it starts."""
    listener, port = await listen("127.0.0.1", 0)
    await listener.aclose()
    return port


async def _make(layout: Path, samples: dict[str, Any], folder: Path) -> None:
    """Creates the images of the artifact store. Raises `DayFailed`."""
    config = folder / "samples.json"
    config.write_bytes(msgspec.json.encode(samples))
    command = [sys.executable, "-m", "martenlead", "layers", "make", str(layout), str(config)]
    finished = await anyio.run_process(command, check=False)
    if finished.returncode:
        raise DayFailed(f"the vault's images could not be made: {finished.stderr.decode(errors='replace')}")


async def _start_agents(agents: dict[str, ChildProcess]) -> dict[str, int]:
    """Starts the agents and returns their ports; a restarted agent keeps its port."""
    ports: dict[str, int] = {}

    async def start(name: str, agent: ChildProcess) -> None:
        """Starts an agent and fixes its port."""
        ports[name] = (await agent.start())["port"]
        config = msgspec.json.decode(agent.config.read_bytes())
        agent.config.write_bytes(msgspec.json.encode({**config, "port": ports[name]}))

    async with anyio.create_task_group() as group:
        for name, agent in agents.items():
            group.start_soon(start, name, agent)
    return ports


async def _planner_events(
    plan_of_day: Plan, planners: list[ChildProcess], epoch: int, record: RecordWriter
) -> None:
    async def run_events(number: int) -> None:
        """The events of one planner, in order."""
        planner = planners[number]
        for event in plan_of_day.planner_events:
            if event.planner != number:
                continue
            await anyio.sleep(max(0, epoch + event.at_ms * 1e6 - monotonic_ns()) / 1e9)
            record(f"planner {event.what}", planner=number)
            alive = planner.process is not None and planner.process.returncode is None
            match event.what:
                case "kill":
                    await planner.kill()
                case "start" if not alive:
                    await planner.start()
                case "stop" if alive and planner.process:
                    planner.process.send_signal(signal.SIGSTOP)
                case "go" if alive and planner.process:
                    planner.process.send_signal(signal.SIGCONT)

    async with anyio.create_task_group() as group:
        for n in range(len(planners)):
            group.start_soon(run_events, n)


async def _agent_events(
    plan_of_day: Plan, agents: dict[str, ChildProcess], epoch: int, folder: Path, record: RecordWriter
) -> None:
    async def run_events(machine: str) -> None:
        """The events of one machine, in order, so that overlapping faults don't meet a half-started agent."""
        agent = agents[machine]
        for event in plan_of_day.agent_events:
            if event.box != machine:
                continue
            await anyio.sleep(max(0, epoch + event.at_ms * 1e6 - monotonic_ns()) / 1e9)
            record(f"agent {event.what}", box=machine, wipe=event.wipe)
            if event.what == "kill":
                await agent.kill()
                if event.wipe:
                    shutil.rmtree(folder / f"box-{machine}", ignore_errors=True)
            elif agent.process is None or agent.process.returncode is not None:
                await agent.start()

    async with anyio.create_task_group() as group:
        for machine in agents:
            group.start_soon(run_events, machine)


async def _state(port: int) -> dict[str, Any]:
    """An agent's state at the end of the day; the audit doesn't use it."""
    with anyio.move_on_after(2):
        exchange = await Pool("127.0.0.1", port).exchange(http.request(b"GET", b"/state", b"agent", []))
        if exchange.message is not None:
            state: dict[str, Any] = msgspec.json.decode(exchange.message.body)
            return state
    return {}


async def _progress(epoch: int, seconds: float, progress: Callable[[float], None]) -> None:
    while True:
        progress(min(seconds, max(0.0, (monotonic_ns() - epoch) / 1e9)))
        await anyio.sleep(0.5)


async def _edge_events(
    plan_of_day: Plan,
    edges: list[ChildProcess],
    epoch: int,
    start_edge: Callable[[int], Any],
    record: RecordWriter,
) -> None:
    async with anyio.create_task_group() as group:
        for event in plan_of_day.edge_events:
            await anyio.sleep(max(0, epoch + event.at_ms * 1e6 - monotonic_ns()) / 1e9)
            if event.what == "kill":
                record("killed", edge=event.edge)
                await edges[event.edge].kill()
            else:
                group.start_soon(start_edge, event.edge)


def make_rules(plan_of_day: Plan) -> Rules:
    """The audit's parameters for a day."""
    day = plan_of_day.day
    request_classes = {o.name: msgspec.to_builtins(o) for o in day.offerings}
    workers = {r["name"]: r for host in plan_of_day.hosts for r in host["runners"]}
    return Rules(
        request_classes=request_classes,
        workers=workers,
        edges=[edge["name"] for edge in plan_of_day.edges],
        allows_two_attempts=day.edge.get("allowed", {}).get("twice_out", False),
        grace_ms=day.grace_ms,
        cold_from=day.cold_from,
        cold_ms=day.cold_ms,
        fall_multiple=day.fall_multiple,
        fall_ms=day.fall_ms,
        load_budget=day.edge.get("models", {}).get("ration"),
        slack_ms=day.slack_ms,
    )


def judge(plan_of_day: Plan, folder: Path, exits: list[int]) -> dict[str, Any]:
    """The report, from a folder's records alone."""
    worker_records = [r for path in sorted(folder.glob("runners-*.jsonl")) for r in read_records(path)]
    audit = Audit(
        make_rules(plan_of_day),
        list(read_records(folder / "clients.jsonl")),
        worker_records,
        list(read_records(folder / "roster.jsonl")),
        list(read_records(folder / "processes.jsonl")),
    )
    result = report(audit, {o.name: msgspec.to_builtins(o) for o in plan_of_day.day.offerings}, exits)
    result["vault"] = summarize_store(list(read_records(folder / "vault.jsonl")), worker_records)
    return {"day": plan_of_day.day.name, "seed": plan_of_day.seed, **result}
