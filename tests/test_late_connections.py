"""Connections to workers that come up after their time limit, or never.

The kernel completes a handshake by itself as long as the listener's accept queue has room. With the queue
full it drops the handshake, and the client's connect hangs as it does on a lost packet.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import closing, contextmanager, suppress
from pathlib import Path

import anyio
import pytest

from support.fleet import until
from support.node_rig import record, run_node, succeed

pytestmark = pytest.mark.anyio

CONNECT_TIMEOUT_SECONDS = 0.25  # The setting in support/node_wire.py
QUEUE_FILLERS = 4  # Connections; a backlog of 0 holds one
SYN_RETRANSMISSION_SECONDS = 1.0  # The kernel's first retransmission
WORKER = "s-00000063"


@contextmanager
def unreachable_listener() -> Iterator[socket.socket]:
    """A listener whose accept queue is full, so that no new connection comes up."""
    with closing(socket.socket()) as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        fillers = [socket.socket() for _ in range(QUEUE_FILLERS)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listener
        for filler in fillers:
            filler.close()


async def bytes_received(listener: socket.socket, seconds: float) -> bytes:
    """Accepts all connections for so many seconds, and returns all that was read from them."""
    listener.setblocking(False)
    accepted: list[socket.socket] = []
    received = b""
    with anyio.move_on_after(seconds):
        while True:
            with suppress(BlockingIOError):
                accepted.append(listener.accept()[0])
                accepted[-1].setblocking(False)
            for connection in accepted:
                with suppress(OSError):
                    received += connection.recv(65_536)
            await anyio.sleep(0.01)
    for connection in accepted:
        connection.close()
    return received


async def test_a_connection_that_never_comes_up_proves_that_nothing_ran(tmp_path: Path) -> None:
    """A non-idempotent request is sent to another worker, once, well before its deadline."""
    with unreachable_listener() as listener:
        async with run_node(tmp_path, {"a": [succeed]}) as rig:
            await until(lambda: rig.journal.streams)
            await rig.journal.publish(record(ord("c"), listener.getsockname()[1]))
            await until(lambda: WORKER in rig.node.dispatcher.workers)
            client = await rig.connect_client()
            dispatcher = rig.node.dispatcher
            started = anyio.current_time()
            sent = 0
            while not dispatcher.counts["hand-off", "unreached"]:
                sent += 1
                assert await client.call("unsafe", key=f"{sent:016x}", wait=1900) == "satisfied"
            assert CONNECT_TIMEOUT_SECONDS <= anyio.current_time() - started < 1.9
            assert len(rig.received()) == sent


async def test_a_connection_that_comes_up_after_its_limit_gets_nothing(tmp_path: Path) -> None:
    """By then the request has been reported as never sent."""
    with unreachable_listener() as listener:
        async with run_node(tmp_path, {"a": [succeed]}) as rig:
            await until(lambda: rig.journal.streams)
            await rig.journal.publish(
                rig.worker_record("a", state=1), record(ord("c"), listener.getsockname()[1])
            )
            await until(lambda: WORKER in rig.node.dispatcher.workers)
            client = await rig.connect_client()
            assert await client.call("unsafe", wait=1900) == "turned back"
            assert await bytes_received(listener, SYN_RETRANSMISSION_SECONDS + 0.3) == b""
            assert rig.received() == []
