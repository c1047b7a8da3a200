"""Clients fill the descriptors of a node that has few: who asks is served, workers and discovery come back.

The node runs in a process of its own, under a limit that is set in that process alone.
"""

from __future__ import annotations

import os
import resource
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import Process, SocketAttribute

from martenlead.interface import Result
from tests.fleet import until
from tests.nodes import Journal, Play, done, message, play, word

pytestmark = pytest.mark.anyio
DESCRIPTORS = 96
ROOT = Path(__file__).parent.parent
LIMITED = f"ulimit -n {DESCRIPTORS}; exec {sys.executable} -m martenlead.node"
PING = message({"jsonrpc": "2.0", "id": 1, "method": "ping", "params": {}})


class Apart(Play):
    """Peers in this process, the node in its own."""

    process: Process

    def held(self) -> int:
        """Descriptors that the node has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def connect(self, count: int) -> list[socket.socket]:
        """At once, whether the node accepts them yet or not."""
        made = [socket.socket() for _ in range(count)]
        for one in made:
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", self.port))
        return made

    async def came_up(self, within: float) -> None:
        """Asks for it as a platform does: until it answers that it is up."""
        with anyio.fail_after(within):
            while True:
                try:
                    client = await self.client()
                    await client.send(PING)
                    told = await client.answer()
                    if told is not None and told["result"]["up"]:
                        return
                except OSError:
                    pass
                await anyio.sleep(0.01)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def ended(process: Process) -> None:
    process.kill()
    with anyio.CancelScope(shield=True):
        await process.wait()


@asynccontextmanager
async def apart(tmp_path: Path, runners: str = "a") -> AsyncIterator[Apart]:
    """A node that serves, whose journal service is down. It is ended as the test ends."""
    p = Apart()
    p.path = tmp_path / "config.json"
    p.port, p.journal.port = free_port(), free_port()
    async with anyio.create_task_group() as p.group, AsyncExitStack() as stack:
        for name in runners:
            await p.runner(name, done)
        p.write(p.journal.port, limits={"cores": 1.0, "memory_mb": 64, "sockets": DESCRIPTORS})
        environment = {**os.environ, "ROUTER_CONFIG": str(p.path)}
        p.process = await anyio.open_process(
            ["/bin/sh", "-c", LIMITED], cwd=ROOT, env=environment, stdout=None, stderr=None
        )
        stack.push_async_callback(ended, p.process)
        await p.came_up(10)
        yield p
        p.group.cancel_scope.cancel()


async def serve_at(journal: Journal) -> None:
    """The journal service comes back, at the address that it had."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=journal.port)
    assert listener.extra(SocketAttribute.local_port) == journal.port
    await listener.serve(journal.connected)


async def test_idle_clients_that_come_at_once_cost_no_one_who_asks_an_answer(tmp_path: Path) -> None:
    """All of them wait to be accepted as the loop turns: more than descriptors, or a usual backlog of 100."""
    async with apart(tmp_path) as p:
        p.process.send_signal(signal.SIGSTOP)
        idle = p.connect(200)
        with anyio.fail_after(5):
            client = await p.client()
        await client.ask()
        idle += p.connect(100)
        p.process.send_signal(signal.SIGCONT)
        assert (await client.answer() or {}).get("id") == 1
        for one in idle:
            one.close()


async def test_clients_that_left_before_they_read_are_counted_and_give_way(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Their answers wait in the node, with a descriptor each. Who comes then waits in the backlog."""
    monkeypatch.setattr("martenlead.node.door.SWEEP", 1 << 62)  # by hand
    monkeypatch.setattr("martenlead.node.listener.SPARE", 2)
    async with play(tmp_path) as p:
        door = p.node.door
        door.connections = 1
        for count in (1, 2, 3):
            client = await p.client()
            await until(lambda: door.clients)
            (own,) = door.clients
            own.write(b" " * 8_000_000)  # more than the machine's buffers hold
            await client.stream.send_eof()
            await until(lambda count=count: len(door.closing) == count)  # type: ignore[misc]
        late = await p.client()
        await late.ask()
        await anyio.sleep(0.05)
        assert (len(door.closing), len(door.clients)) == (3, 0)
        monkeypatch.setattr("martenlead.node.door.SWEEP", 0)
        door.sweep()
        assert word(await late.answer()) == "satisfied"


async def test_without_a_descriptor_who_asks_waits_and_is_served_once_there_is_one(tmp_path: Path) -> None:
    """Neither the client's connection, nor one to a worker, nor one to the journal service can be made."""
    async with apart(tmp_path) as p:
        pid, before = p.process.pid, resource.prlimit(p.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (p.held(), before[1]))
        client = await p.client()
        await client.ask()
        p.group.start_soon(serve_at, p.journal)
        with anyio.move_on_after(0.3) as scope:
            await client.answer()
        assert scope.cancelled_caught and not p.journal.asked
        resource.prlimit(pid, resource.RLIMIT_NOFILE, before)
        assert word(await client.answer()) == "satisfied"
        await until(lambda: p.journal.streams, within=3)


async def test_more_workers_than_connections_share_them(tmp_path: Path) -> None:
    async with play(tmp_path, {name: [done] for name in "abcd"}) as p:
        p.node.link.sockets = 2
        heard: list[Any] = []
        known = p.node.dispatcher.known("0" * 15 + "1", 1, 100.0)
        for box in p.node.dispatcher.boxes.values():
            p.node.link.order(box, known, 0, heard.append)
            await until(lambda: heard)
            assert heard.pop().result is Result.SATISFIED
            assert sum(way.open for way in p.node.link.ways) <= 2
        await until(lambda: sum(runner.open for runner in p.runners.values()) == 2)
        assert [runner.connections for runner in p.runners.values()] == [1, 1, 1, 1]


async def test_the_journal_and_workers_come_back_while_idle_clients_fill_the_descriptors(
    tmp_path: Path,
) -> None:
    async with apart(tmp_path) as p:
        idle = p.connect(200)
        await until(lambda: p.held() > DESCRIPTORS // 3)
        p.group.start_soon(serve_at, p.journal)
        await until(lambda: p.journal.streams, within=3)
        await p.runner("b", done)
        await p.journal.tell(p.record("a", state=2), p.record("b"))
        idle += p.connect(200)
        told = ""
        with anyio.fail_after(5):
            while told != "satisfied":  # "b" has to be told of first
                told = await (await p.client()).call()
        assert p.runners["b"].connections == 1
        for one in idle:
            one.close()
