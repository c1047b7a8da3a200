"""A planned restart with short deadlines: SIGKILL may come 1 s after SIGTERM, and clients go on asking on
open connections until the process has ended. Each request is answered once, or crosses the close unread."""

from __future__ import annotations

import signal
import socket
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import pytest

from tests.apart import PING_REQUEST, run_node_process
from tests.nodes import CONNECTION_ERRORS, SETTINGS, Client, outcome_of, silent, succeed

pytestmark = pytest.mark.anyio

DEADLINE = 0.3  # s
KILLED = 1.0  # s after SIGTERM, at the earliest
CROSSING = 0.05  # s
CLASSES = [c | {"on-time": 0.1, "give-up": DEADLINE} for c in SETTINGS["classes"]]
PAUSES = {"never pauses": 0.0005, "each 5 ms": 0.005, "each 60 ms": 0.06}


class Asking:
    """A client that sends until its connection has ended, and reads all answers."""

    def __init__(self, caller: Client, first: int, pause: float) -> None:
        self.caller, self.pause = caller, pause
        caller.last_number = first
        self.sent: dict[int, float] = {}
        self.answers: Counter[int] = Counter()
        self.words: Counter[str] = Counter()
        self.ended_at = 0.0

    async def send(self) -> None:
        try:
            while not self.ended_at:
                data = self.caller.encode_request(wait=round(DEADLINE * 1000))
                self.sent[self.caller.last_number] = anyio.current_time()
                await self.caller.send(data)
                await anyio.sleep(self.pause)
        except CONNECTION_ERRORS:
            pass

    async def receive(self) -> None:
        while (told := await self.caller.receive_response(within=10)) is not None:
            self.answers[told["id"]] += 1
            self.words[outcome_of(told)] += 1
        self.ended_at = anyio.current_time()

    def lost(self) -> list[float]:
        """Of requests without an answer: how long before the end they were sent."""
        return [self.ended_at - at for number, at in self.sent.items() if not self.answers[number]]


@pytest.mark.parametrize("work", ["served", "workers hang"])
async def test_each_request_is_answered_before_a_kill_after_one_second(work: str, tmp_path: Path) -> None:
    async with run_node_process(tmp_path, settings=SETTINGS | {"classes": CLASSES}) as p:
        await p.wait_until_up(10)
        p.workers["a"].behaviours = [silent if work == "workers hang" else succeed]
        clients = [
            Asking(await p.connect_client(), at * 1_000_000, pause)
            for at, pause in enumerate([*PAUSES.values()] * 2, start=1)
        ]
        async with anyio.create_task_group() as group:
            for client in clients:
                group.start_soon(client.send)
                group.start_soon(client.receive)
            await anyio.sleep(0.3)
            stopped_at = anyio.current_time()
            p.process.send_signal(signal.SIGTERM)
            await p.process.wait()
            took = anyio.current_time() - stopped_at
        assert took < KILLED
        for client in clients:
            assert set(client.answers.values()) == {1}
            assert [age for age in client.lost() if age > CROSSING] == []
            assert client.ended_at > stopped_at


async def test_a_client_that_reads_nothing_does_not_hold_up_the_end(tmp_path: Path) -> None:
    """What was written for it has not left as the process would end."""
    async with run_node_process(tmp_path, settings=SETTINGS | {"classes": CLASSES}) as p:
        await p.wait_until_up(10)
        with socket.create_connection(("127.0.0.1", p.port)) as mute:
            mute.settimeout(0.1)
            with suppress(OSError):  # at some time the node reads no more of it
                while True:
                    mute.sendall(PING_REQUEST * 1000)
            stopped_at = anyio.current_time()
            p.process.send_signal(signal.SIGTERM)
            await p.process.wait()
            assert anyio.current_time() - stopped_at < KILLED


async def test_requests_that_come_too_late_to_be_served_are_refused(tmp_path: Path, monkeypatch: Any) -> None:
    async with run_node_process(tmp_path, settings=SETTINGS | {"classes": CLASSES}) as p:
        await p.wait_until_up(10)
        client = Asking(await p.connect_client(), 1_000_000, 0.001)
        async with anyio.create_task_group() as group:
            group.start_soon(client.send)
            group.start_soon(client.receive)
            await anyio.sleep(0.2)
            before = client.words["turned back"]
            p.process.send_signal(signal.SIGTERM)
            await p.process.wait()
        assert client.words["turned back"] > before
        assert [age for age in client.lost() if age > CROSSING] == []
