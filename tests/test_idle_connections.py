"""Idle connections to workers: what arrives on them is seen without a request, and belongs to none."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream

from martenlead.edge import http_upstream
from martenlead.events.client import Pool
from martenlead.events.http import Message, request, response
from support.fleet import ScriptedWorker, respond_ok, run_edge, until

pytestmark = pytest.mark.anyio
STRAY = response(200, [], b"nobody asked")
SECOND_NS = 1_000_000_000


async def respond_twice(worker: ScriptedWorker, stream: SocketStream, message: Message) -> None:
    """Answers, and once more a moment later."""
    await respond_ok(worker, stream, message)
    await anyio.sleep(0.05)
    await stream.send(STRAY)


async def test_a_response_without_a_request_ends_its_connection_and_is_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection in the pool on which an answer to nothing waits for the next request."""
    monkeypatch.setattr(http_upstream, "IDLE_CHECK_SECONDS", 0.01)
    async with run_edge({"a": [respond_twice, respond_ok]}) as rig:
        assert (await rig.call("notice"))[0] == 200
        (worker,) = rig.dispatcher.workers.values()
        assert worker.connections.open_connections == 1
        await until(lambda: worker.connections.open_connections == 0)
        assert rig.dispatcher.counts["stray", "response"] == 1
        assert await rig.call("notice") == (200, {})
        assert rig.workers["a"].connection_count == 2


async def test_a_second_response_in_the_same_read_is_counted() -> None:
    """Guards against a worker that answers twice unseen."""

    async def respond_doubly(_worker: ScriptedWorker, stream: SocketStream, _message: Message) -> None:
        await stream.send(response(200, [], b"{}") * 2)

    async with run_edge({"a": [respond_doubly, respond_ok]}) as rig:
        assert (await rig.call("notice"))[0] == 200
        assert rig.dispatcher.counts["stray", "response"] == 1


@pytest.mark.parametrize(("idle_timeout_ns", "left"), [(0, 0), (60 * SECOND_NS, 1)])
async def test_connections_that_are_idle_for_too_long_are_closed(idle_timeout_ns: int, left: int) -> None:
    """Guards against connections that stay open without need, and against closing good ones."""
    async with run_edge({"a": [respond_ok]}) as rig:
        pool = Pool("127.0.0.1", rig.workers["a"].port, idle_timeout_ns=idle_timeout_ns)
        await pool.exchange(request(b"POST", b"/", b"w", []))
        await pool.close_unusable()
        assert (pool.open_connections, pool.stray_responses) == (left, 0)
        await pool.exchange(request(b"POST", b"/", b"w", []))
        assert pool.connections_opened == 2 - left
        await pool.close()
