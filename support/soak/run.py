"""Carries out a schedule around real nodes."""

from __future__ import annotations

from collections import deque
from pathlib import Path
from time import monotonic_ns
from typing import Any

import anyio
from anyio.abc import TaskGroup

from martenlead.system.clocks import wall_ns
from support.node_wire import ListedWorker, configuration, with_deadlines
from support.peers import unused_port
from support.soak.client import SoakClient, run_crowd
from support.soak.journal import SoakJournal
from support.soak.node_process import NodeProcess
from support.soak.records import RecordBook
from support.soak.schedule import (
    CLIENTS_PER_NODE,
    NODES,
    RUN_SECONDS,
    WORKERS,
    JournalTrouble,
    Reload,
    Restart,
    Schedule,
    WorkerTrouble,
)
from support.soak.worker import SharedEffects, SoakWorker

UP, DRAINING, GONE = 0, 1, 2  # states of a worker in events
NS_PER_MS = 1_000_000
SAMPLE_SECONDS = 0.2  # between two samples of a process
LAG_SAMPLE_SECONDS, LAG_SAMPLES = 0.01, 100  # for the delay of the event loop that the peers share
REPORT_GONE_AFTER_SECONDS = 0.3  # delay after which a vanished worker is reported gone
WORKER_AWAY_SECONDS = 0.8  # time for which a replaced worker is down
CROWD_CONNECTIONS = 40  # for each node; with the clients' own at most a third of its descriptors


class SoakRun:
    """One run: its peers, its nodes and its records."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.schedule, self.book = schedule, RecordBook()
        self.settings = with_deadlines(schedule.deadline_seconds)
        effects = SharedEffects()
        self.workers = {name: SoakWorker(name, NODES, self.book, effects, schedule.seed) for name in WORKERS}
        self.states = dict.fromkeys(WORKERS, UP)
        self.journals = [SoakJournal(f"n{node}", self.book) for node in range(NODES)]
        self.nodes = [NodeProcess(node, unused_port(), folder, self.book) for node in range(NODES)]
        self._peers: TaskGroup
        # Held while a node restarts, so that its configuration is not replaced then.
        self._locks = [anyio.Lock() for _ in range(NODES)]

    async def play(self) -> RecordBook:
        """Runs the schedule from start to end, and returns the records."""
        async with anyio.create_task_group() as self._peers:
            group = self._peers
            for worker in self.workers.values():
                worker.start(group)
            for journal in self.journals:
                journal.start(group)
            async with anyio.create_task_group() as starts:
                for node in range(NODES):
                    starts.start_soon(self._start, node)
            group.start_soon(self._sample)
            group.start_soon(self._measure_own_lag)
            await self._play_traffic(group)
            for process in self.nodes:
                process.send("TERM")
            async with anyio.create_task_group() as ends:
                for process in self.nodes:
                    ends.start_soon(process.wait_for_end, self.schedule.deadline_seconds)
            group.cancel_scope.cancel()
        return self.book

    async def _play_traffic(self, group: TaskGroup) -> None:
        deadline_ms = round(self.schedule.deadline_seconds * 1000)
        clients = [
            SoakClient(node, number, self.nodes[node].port, deadline_ms, self.book, self.schedule.seed)
            for node in range(NODES)
            for number in range(CLIENTS_PER_NODE)
        ]
        async with anyio.create_task_group() as asking:
            for client in clients:
                asking.start_soon(client.run)
            async with anyio.create_task_group() as crowds:
                if self.schedule.has_crowd:
                    for node in range(NODES):
                        crowds.start_soon(
                            run_crowd, self.nodes[node].port, CROWD_CONNECTIONS, f"ff{node:02x}"
                        )
                async with anyio.create_task_group() as events:
                    self._start_events(events)
                    await anyio.sleep(RUN_SECONDS)
                crowds.cancel_scope.cancel()
            for client in clients:
                client.is_done = True

    def _start_events(self, group: TaskGroup) -> None:
        schedule = self.schedule
        for restart in schedule.restarts:
            group.start_soon(self._restart, restart)
        for reload in schedule.reloads:
            group.start_soon(self._reload, reload)
        for worker_trouble in schedule.worker_troubles:
            group.start_soon(self._trouble_worker, worker_trouble)
        for journal_trouble in schedule.journal_troubles:
            group.start_soon(self._trouble_journal, journal_trouble)

    # -- nodes

    def _configuration(self, node: int) -> dict[str, Any]:
        workers = [
            ListedWorker(ord(name), worker.ports[node], worker.started_ms)
            for name, worker in self.workers.items()
            if self.states[name] == UP
        ]
        port, journal_port = self.nodes[node].port, self.journals[node].port
        return configuration(f"n{node}", port, journal_port, workers, settings=self.settings)

    async def _start(self, node: int) -> None:
        """Starts a process of a node, with the current list in its configuration."""
        self.journals[node].begin_incarnation()
        self.nodes[node].write_configuration(self._configuration(node))
        lines = [(n, "up", str(w.started_ms)) for n, w in self.workers.items() if self.states[n] == UP]
        self.book.record_membership(f"n{node}", lines, is_whole=True)
        await self.nodes[node].start()

    async def _restart(self, restart: Restart) -> None:
        await anyio.sleep(restart.at_seconds)
        node = self.nodes[restart.node]
        async with self._locks[restart.node]:
            await node.send_series(restart.signals)
            await node.wait_for_end(self.schedule.deadline_seconds)
            await self._start(restart.node)
            if restart.is_stopped_when_ready:
                node.send("TERM")
                await node.wait_for_end(self.schedule.deadline_seconds)
                await self._start(restart.node)

    async def _reload(self, reload: Reload) -> None:
        await anyio.sleep(reload.at_seconds)
        node, journal = self.nodes[reload.node], self.journals[reload.node]
        async with self._locks[reload.node]:
            if reload.kind == "unreadable":
                node.path.write_text('{"journal":')
                node.send("HUP")
                return
            await journal.move()
            node.write_configuration(self._configuration(reload.node))
            await node.send_series(("HUP", "HUP") if reload.kind == "twice" else ("HUP",))

    async def _sample(self) -> None:
        while True:
            for node in self.nodes:
                node.sample()
            await anyio.sleep(SAMPLE_SECONDS)

    async def _measure_own_lag(self) -> None:
        lags_ns: deque[int] = deque([0], LAG_SAMPLES)
        while True:
            before_ns = monotonic_ns()
            await anyio.sleep(LAG_SAMPLE_SECONDS)
            lags_ns.append(monotonic_ns() - before_ns - round(LAG_SAMPLE_SECONDS * 1e9))
            self.book.own_lag_ns = max(lags_ns)

    # -- troubles

    async def _trouble_journal(self, trouble: JournalTrouble) -> None:
        await anyio.sleep(trouble.at_seconds)
        journal = self.journals[trouble.node]
        match trouble.kind:
            case "silent":
                await journal.fall_silent(trouble.seconds)
            case "cut inside an event":
                await journal.cut_inside_event()
            case "away":
                async with self._locks[trouble.node]:
                    await journal.go_away(trouble.seconds)

    async def _trouble_worker(self, trouble: WorkerTrouble) -> None:
        await anyio.sleep(trouble.at_seconds)
        worker = self.workers[trouble.worker]
        match trouble.kind:
            case "drains":
                await self._publish_state(worker, DRAINING)
                await anyio.sleep(trouble.seconds)
                await self._replace(worker)
            case "vanishes":
                await worker.stop()
                await anyio.sleep(REPORT_GONE_AFTER_SECONDS)
                await self._replace(worker)
            case "resets idle":
                await worker.reset_idle_connections(trouble.seconds)
            case _:
                worker.behaviour = trouble.kind
                await anyio.sleep(trouble.seconds)
                worker.behaviour = ""

    async def _replace(self, worker: SoakWorker) -> None:
        """Ends a worker's process; another one starts later under its name and at its ports."""
        await worker.stop()
        await self._publish_state(worker, GONE)
        await anyio.sleep(WORKER_AWAY_SECONDS)
        worker.started_ms = wall_ns() // NS_PER_MS
        worker.start(self._peers)
        await self._publish_state(worker, UP)

    async def _publish_state(self, worker: SoakWorker, state: int) -> None:
        self.states[worker.name] = state
        for node, journal in enumerate(self.journals):
            await journal.publish(worker.name, worker.ports[node], state, worker.started_ms)
