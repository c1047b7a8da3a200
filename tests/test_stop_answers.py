"""A planned restart with short deadlines: SIGKILL may follow 1 s after SIGTERM, and clients keep sending
requests on open connections until the process has ended. Each request is answered once, unless it
arrives as the connection closes and is never read."""

from __future__ import annotations

import signal
import socket
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import pytest

from support.node_process import PING_REQUEST, run_node_process
from support.node_rig import CONNECTION_ERRORS, SETTINGS, Client, outcome_of, silent, succeed

pytestmark = pytest.mark.anyio

DEADLINE_SECONDS = 0.3
KILL_DELAY_SECONDS = 1.0  # From SIGTERM to SIGKILL, at the least
CROSSING_SECONDS = 0.05  # A request sent so shortly before the close may never be read
CLASSES = [c | {"on-time": 0.1, "give-up": DEADLINE_SECONDS} for c in SETTINGS["classes"]]
PAUSES = {"never pauses": 0.0005, "each 5 ms": 0.005, "each 60 ms": 0.06}


class EndlessClient:
    """A client that sends requests until its connection has ended, and reads all responses."""

    def __init__(self, client: Client, first: int, pause: float) -> None:
        self.client, self.pause = client, pause
        client.last_number = first
        self.sent_at: dict[int, float] = {}
        self.response_counts: Counter[int] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.ended_at = 0.0

    async def send(self) -> None:
        """Sends requests, `pause` seconds apart, until the connection has ended."""
        try:
            while not self.ended_at:
                data = self.client.encode_request(wait=round(DEADLINE_SECONDS * 1000))
                self.sent_at[self.client.last_number] = anyio.current_time()
                await self.client.send(data)
                await anyio.sleep(self.pause)
        except CONNECTION_ERRORS:
            pass

    async def receive(self) -> None:
        """Counts responses until the connection has ended."""
        while (response := await self.client.receive_response(within=10)) is not None:
            self.response_counts[response["id"]] += 1
            self.outcomes[outcome_of(response)] += 1
        self.ended_at = anyio.current_time()

    def unanswered_ages(self) -> list[float]:
        """Returns for each request without a response how many seconds before the end it was sent."""
        return [self.ended_at - at for number, at in self.sent_at.items() if not self.response_counts[number]]


@pytest.mark.parametrize("work", ["served", "workers hang"])
async def test_each_request_is_answered_before_a_kill_after_one_second(work: str, tmp_path: Path) -> None:
    """Clients with different pauses between requests, with workers that serve and with workers that hang."""
    async with run_node_process(tmp_path, settings=SETTINGS | {"classes": CLASSES}) as rig:
        await rig.wait_until_up(10)
        rig.workers["a"].behaviours = [silent if work == "workers hang" else succeed]
        clients = [
            EndlessClient(await rig.connect_client(), at * 1_000_000, pause)
            for at, pause in enumerate([*PAUSES.values()] * 2, start=1)
        ]
        async with anyio.create_task_group() as group:
            for client in clients:
                group.start_soon(client.send)
                group.start_soon(client.receive)
            await anyio.sleep(0.3)
            stopped_at = anyio.current_time()
            rig.process.send_signal(signal.SIGTERM)
            await rig.process.wait()
            took = anyio.current_time() - stopped_at
        assert took < KILL_DELAY_SECONDS
        for client in clients:
            assert set(client.response_counts.values()) == {1}
            assert [age for age in client.unanswered_ages() if age > CROSSING_SECONDS] == []
            assert client.ended_at > stopped_at


async def test_a_client_that_reads_nothing_does_not_hold_up_the_end(tmp_path: Path) -> None:
    """What was written for it is still in the buffers when the process is about to end."""
    async with run_node_process(tmp_path, settings=SETTINGS | {"classes": CLASSES}) as rig:
        await rig.wait_until_up(10)
        with socket.create_connection(("127.0.0.1", rig.port)) as unread_socket:
            unread_socket.settimeout(0.1)
            with suppress(OSError):  # sooner or later the node stops reading from it
                while True:
                    unread_socket.sendall(PING_REQUEST * 1000)
            stopped_at = anyio.current_time()
            rig.process.send_signal(signal.SIGTERM)
            await rig.process.wait()
            assert anyio.current_time() - stopped_at < KILL_DELAY_SECONDS


async def test_requests_that_come_too_late_to_be_served_are_refused(tmp_path: Path, monkeypatch: Any) -> None:
    """They are rejected, not dropped."""
    async with run_node_process(tmp_path, settings=SETTINGS | {"classes": CLASSES}) as rig:
        await rig.wait_until_up(10)
        client = EndlessClient(await rig.connect_client(), 1_000_000, 0.001)
        async with anyio.create_task_group() as group:
            group.start_soon(client.send)
            group.start_soon(client.receive)
            await anyio.sleep(0.2)
            before = client.outcomes["turned back"]
            rig.process.send_signal(signal.SIGTERM)
            await rig.process.wait()
        assert client.outcomes["turned back"] > before
        assert [age for age in client.unanswered_ages() if age > CROSSING_SECONDS] == []
