"""A worker that sends at full speed holds up no client of a node.

The node and that worker are processes of their own, on loopback addresses; all else is simulated here.
"""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest
from anyio.abc import SocketStream

from martenlead.node.upstream_connection import STRAY_RESPONSES_LIMIT
from support.full_speed_worker import full_speed_worker
from support.node_process import run_node_process, serve_journal
from support.node_rig import ScriptedWorker, answer, run_node, succeed
from support.usual_requests import UsualRequests
from tests.test_full_speed_clients import FLOOD_SECONDS, READY_SECONDS, USUAL_CLIENTS, call_node

pytestmark = pytest.mark.anyio


async def test_a_worker_at_full_speed_holds_up_no_client(tmp_path: Path) -> None:
    # Guards against responses to unknown calls that take the event loop for seconds.
    usual = UsualRequests()
    async with run_node_process(tmp_path, "ac") as rig, anyio.create_task_group() as group:
        flooding = rig.workers["c"]
        assert flooding.listener is not None
        await flooding.listener.aclose()
        async with full_speed_worker(flooding.port):
            group.start_soon(serve_journal, rig.journal)
            await rig.wait_until_up(READY_SECONDS)
            until = anyio.current_time() + FLOOD_SECONDS
            async with anyio.create_task_group() as asking:
                for number in range(1, USUAL_CLIENTS + 1):
                    client, first = await rig.connect_client(), number << 40
                    asking.start_soon(usual.send, lambda c=client, f=first: call_node(c, f), until)
        group.cancel_scope.cancel()
    usual.check("turned back")  # what only that worker could have taken


@pytest.mark.parametrize(
    ("strays", "ends"), [(STRAY_RESPONSES_LIMIT, False), (STRAY_RESPONSES_LIMIT + 1, True)]
)
async def test_a_connection_with_too_many_stray_responses_ends(
    tmp_path: Path, strays: int, ends: bool
) -> None:
    # Guards against a connection that is kept whatever its worker sends, and against one that ends for a few.
    async def answer_behind_strays(
        worker: ScriptedWorker, stream: SocketStream, request: dict[str, str]
    ) -> None:
        """Sends responses to calls that nobody made, and the right one behind them."""
        await stream.send(b"".join(answer("DONE", f"{number:015x}f") for number in range(strays)))
        await succeed(worker, stream, request)

    async with run_node(tmp_path, {"a": [answer_behind_strays]}) as rig:
        client = await rig.connect_client()
        assert await client.call("unsafe") == ("error -32000" if ends else "satisfied")
        assert rig.node.dispatcher.counts["runner", "spoilt"] == int(ends)


async def test_second_copies_never_end_a_connection(tmp_path: Path) -> None:
    # Guards against a limit of stray responses that a worker reaches which answers each call twice.
    async def answer_twice(worker: ScriptedWorker, stream: SocketStream, request: dict[str, str]) -> None:
        """Sends an answer under an unknown id, the right one, and a copy of it."""
        line = answer("DONE", request["txn"], "resident", request["raw"])
        await stream.send(answer("DONE", "f" * 16) + line + line)

    async with run_node(tmp_path, {"a": [answer_twice]}) as rig:
        client = await rig.connect_client()
        outcomes = {await client.call() for _ in range(2 * STRAY_RESPONSES_LIMIT)}
        assert outcomes == {"satisfied"}
        assert rig.workers["a"].connection_count == 1
