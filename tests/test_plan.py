"""An edge and its planner on sockets: requests are answered whatever the planner does; operators' status."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest
from click.testing import CliRunner

from martenlead.cli.main import commands
from martenlead.cli.status import format_status
from martenlead.edge.status_report import report_status
from martenlead.events.server import listen
from martenlead.planner import frames as fr
from martenlead.planner.planner_client import PlannerClient
from martenlead.planner.planner_session import PlannerSession
from martenlead.planner.server import Planner
from martenlead.planner.settings import PlannerSettings
from support.fleet import run_edge
from support.planned import assert_prompt_responses, run_planned_edge, run_planner, until

pytestmark = pytest.mark.anyio


@asynccontextmanager
async def fake_planner(handle: Any) -> AsyncIterator[int]:
    """Listens in place of a planner and passes connections to `handle`; yields the port."""
    listener, port = await listen("127.0.0.1", 0)

    async def serve(stream: Any) -> None:
        async with stream:
            with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
                await handle(stream)

    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        yield port
        group.cancel_scope.cancel()
    await listener.aclose()


async def replicated(served: Planner, name: str, side: PlannerClient) -> PlannerSession:
    """Waits for the snapshot, not only the lease: its replica counts no requests from before the snapshot."""
    await until(lambda: side.session.is_leased() and served.sessions[name].policy_replica is not None)
    return served.sessions[name]


async def test_requests_are_answered_while_a_planner_starts_stops_and_restarts() -> None:
    async with run_planner() as (first, port), run_planned_edge([port], alone_ms=600_000) as (f, side):
        session = await replicated(first, "edge", side)
        await until(lambda: not side.plans_locally)
        for _ in range(30):
            await assert_prompt_responses(f, 4)
            await anyio.sleep(0.05)
            if f.load_requests:
                break
        assert f.load_requests
        assert session.policy_replica is not None
        assert session.policy_replica.request_count >= 4
    async with run_planned_edge([port], alone_ms=300) as (f, side):
        await until(lambda: side.counts["links lost"] > 1)
        await assert_prompt_responses(f)
        assert side.plans_locally  # no planner has connected yet
        async with run_planner(port):
            await until(lambda: side.session.is_leased() and not side.plans_locally)
            await assert_prompt_responses(f)
        await until(lambda: side.plans_locally)
        await assert_prompt_responses(f)
        assert (side.counts["handed over"], side.counts["took over"]) == (1, 1)


async def hang(stream: Any) -> None:
    await anyio.sleep(60)


async def answer_in_http(stream: Any) -> None:
    await stream.receive()
    await stream.send(b"HTTP/1.1 400 Bad Request\r\n\r\n")
    await anyio.sleep(60)


async def close_in_a_frame(stream: Any) -> None:
    await stream.receive()
    await stream.send(fr.encode_frame(fr.Welcome(2, "p", "x", -1))[:-3])
    await stream.aclose()


async def never_read(stream: Any) -> None:
    await stream.send(fr.encode_frame(fr.Welcome(2, "p", "x", -1)))
    while True:
        await stream.send(fr.encode_frame(fr.Heartbeat(1, 0)))
        await anyio.sleep(0.05)


async def name_unknown_objects(stream: Any) -> None:
    await stream.send(fr.encode_frame(fr.Welcome(2, "p", "x", -1)))
    await stream.send(fr.encode_frame(fr.PlanUpdate(1, 1 << 40, [(1, 99, 99)], [])))
    await anyio.sleep(60)


@pytest.mark.parametrize("handle", [hang, answer_in_http, close_in_a_frame, never_read, name_unknown_objects])
async def test_requests_are_answered_and_the_standby_plans_if_a_planner_misbehaves(handle: Any) -> None:
    async with (
        fake_planner(handle) as bad,
        run_planner() as (_, good),
        run_planned_edge([bad, good], outbox_bytes=2000) as (f, side),
    ):
        with anyio.fail_after(15):
            while not (side.session.is_leased() and side.session.planner_name == "planner"):
                await assert_prompt_responses(f, 1)
                await anyio.sleep(0.01)
                assert side.session.report_status().outbox_bytes <= 2000
        await assert_prompt_responses(f)


async def test_each_of_ten_edges_that_start_at_once_has_a_policy_replica() -> None:
    async with run_planner(edges=10) as (served, port), anyio.create_task_group() as group:
        done = 0

        async def edge(number: int) -> None:
            nonlocal done
            async with run_planned_edge([port], f"edge-{number}", flush_ms=20) as (f, side):
                end = await replicated(served, f"edge-{number}", side)
                await assert_prompt_responses(f, 5)
                await until(lambda: end.policy_replica is not None and end.policy_replica.request_count == 5)
                done += 1
                await until(lambda: done == 10)

        for number in range(10):
            group.start_soon(edge, number)
        await until(lambda: done == 10)
        async with run_planned_edge([port], "one-too-many") as (f, side):
            await until(lambda: side.counts["links lost"] > 0)
            await assert_prompt_responses(f)
            assert not side.session.is_leased()


async def test_after_a_restart_of_edge_and_planner_retained_replicas_are_confirmed(tmp_path: Path) -> None:
    kept = str(tmp_path / "kept")
    async with run_planner(kept=kept) as (first, port), run_planned_edge([port]) as (f, side):
        await until(lambda: side.session.is_leased() and not side.plans_locally)
        while not side._retained:
            await assert_prompt_responses(f, 4)
            await anyio.sleep(0.05)
        loaded = {f.dispatcher.workers[n].endpoint.id for n in f.dispatcher.workers}
        await until(lambda: Path(kept).exists() and '"m"' in Path(kept).read_text())
        assert first.store.saved.replicas_by_edge["edge"][0][:2][1] == "m"
    async with run_planner(kept=kept) as (_, port), run_planned_edge([port]) as (f, side):
        await until(lambda: f.dispatcher.counts["ask", "satisfied"] > 0)
        assert {name for _, name, target in f.load_requests if target.endswith("/m/load")} <= loaded
        function = f.dispatcher.functions_by_name["m"].policy_function
        await until(lambda: any(one.is_retained and one.is_loaded for one in function.replicas.values()))
        assert (await f.call("estimate"))[0] == 200
        assert f.arrivals[0][1] in {name for _, name, _ in f.load_requests}  # a worker with the replica


async def test_the_status_names_the_planner_and_the_state_of_the_link() -> None:
    async with run_planner() as (served, port), run_planned_edge([port]) as (f, side):
        await until(lambda: side.session.is_leased() and not side.plans_locally)
        await assert_prompt_responses(f)
        (edge,) = format_status("7000", msgspec.to_builtins(report_status(f.dispatcher)))
        assert edge.startswith("7000 edge edge: 0 tasks held, 1 models; planned by planner; link up, epoch 1")
        (own, of_edge) = format_status("7001", msgspec.to_builtins(served.report_status()))
        assert own == "7001 planner planner: 1 edges"
        assert of_edge.startswith("  for edge: epoch 1, events ")
    async with run_edge() as f:
        assert format_status("1", msgspec.to_builtins(report_status(f.dispatcher)))[0].endswith(
            "; plans itself, without a link"
        )


def test_the_status_command_fails_if_nothing_answers() -> None:
    done = CliRunner().invoke(commands, ["status", "1"])
    assert (done.exit_code, "1: " in done.output) == (1, True)
    assert CliRunner().invoke(commands, ["status", "x"]).exit_code == 2


def test_an_invalid_state_file_counts_as_empty(tmp_path: Path) -> None:
    path = tmp_path / "kept"
    for text in ("", "[1]", json.dumps({"saved": 1, "edges": {"e": [["a"]]}})):
        path.write_text(text)
        assert Planner(PlannerSettings(state_path=str(path))).store.saved.replicas_by_edge == {}
