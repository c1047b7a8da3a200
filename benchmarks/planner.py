"""Measures the cost of the planner link, the delays of a planner, and how many edges one planner supports.

    .venv/bin/python benchmarks/planner.py [--seconds 10]

First it measures the CPU time of this process in virtual time, for an edge alone and for one with a link and
its planner. Then it runs a planner as a separate process, and replays recorded frames of edges over sockets
in real time.
"""

from __future__ import annotations

import json
import os
import sys
import tempfile
from pathlib import Path
from time import monotonic_ns, perf_counter, process_time
from typing import Any

import anyio
import click
import msgspec
import structlog

from martenlead.planner import frames as fr
from martenlead.planner.link import NS_PER_MS
from martenlead.planner.snapshot import encode_snapshot
from support.pair import EdgePlannerSimulation
from support.planned import assert_prompt_responses, run_planned_edge, run_planner, until

UVLOOP = {"use_uvloop": True}


def drive(pair: EdgePlannerSimulation, rate: float, seconds: float, models: int, tick: Any = None) -> int:
    """Sends requests evenly at a rate, for random models; returns their number."""
    count, due = 0, float(pair.now)
    end = pair.now + int(seconds * 1e9)
    while pair.now < end:
        pair.run(5)
        while due <= pair.now:
            pair.submit_request(int(models * pair.random.random() ** 2))
            due += 1e9 / rate
            count += 1
        if tick:
            tick()
    return count


def cost(rate: float, seconds: float) -> dict[str, Any]:
    """Measures bytes and CPU time per request.

    The planner's is the time in its session. The edge's is the additional time with a link, without that of
    the planner.
    """
    alone = EdgePlannerSimulation(workers=20)
    began = process_time()
    request_count = drive(alone, rate, seconds, 60)
    without = process_time() - began
    pair = EdgePlannerSimulation(workers=20)
    spent = 0.0
    planner = pair.planner
    for name in ("receive_message", "poll"):
        inner = getattr(planner, name)

        def timed(*args: Any, inner: Any = inner) -> Any:
            """Calls the planner and adds the time spent."""
            nonlocal spent
            began = perf_counter()
            try:
                return inner(*args)
            finally:
                spent += perf_counter() - began

        setattr(planner, name, timed)
    pair.connect()
    began = process_time()
    drive(pair, rate, seconds, 60)
    both = process_time() - began
    return {
        "tasks a second": rate,
        "bytes a task": round(pair.session.counts["bytes"] / request_count, 1),
        "module alone, us a task": round(without / request_count * 1e6, 1),
        "edge's link, us a task": round((both - spent - without) / request_count * 1e6, 1),
        "planner, us a task": round(spent / request_count * 1e6, 1),
        "orders": pair.planner_client.counts["orders"],
        "refused": pair.planner_client.counts["orders refused"],
    }


def recovery(kind: str) -> dict[str, Any]:
    """Measures the virtual ms from a new connection until the planner knows all that the edge knows."""
    took = []
    for seed in range(10):
        pair = EdgePlannerSimulation(seed=seed, workers=20)
        pair.connect()
        drive(pair, 280, 5, 60)
        if kind == "cut":
            pair.disconnect()
        else:
            pair.kill_planner()
        drive(pair, 280, 0.5, 60)
        pair.connect()
        began = pair.now
        while (
            pair.planner.policy_replica is None or pair.planner.last_sequence < pair.session.last_sequence - 1
        ):
            drive(pair, 280, 0.005, 60)
        took.append((pair.now - began) // NS_PER_MS)
    return {"kind": kind, "virtual ms until it knows all": [min(took), max(took)]}


def state(models: int) -> dict[str, Any]:
    """Measures how long a snapshot blocks the event loop of the edge, and its size."""
    pair = EdgePlannerSimulation(workers=20, snapshot_models=100_000)
    for n in range(models):
        pair.submit_request(n)
        if n % 20 == 0:
            pair.run(5)
    began = perf_counter()
    snapshot, lively = pair.planner_client._take_snapshot()
    took = perf_counter() - began
    data = fr.encode_frame(fr.Snapshot(1, pair.now, msgspec.Raw(encode_snapshot(snapshot))))
    framed = perf_counter() - began
    return {
        "lively models": len(lively),
        "read ms": round(took * 1000, 1),
        "and framed ms": round(framed * 1000, 1),
        "KB": len(data) // 1000,
    }


async def measure_restart(kind: str) -> dict[str, Any]:
    """Measures over sockets the ms from a restart of an edge until its replicas are retained again."""
    with tempfile.TemporaryDirectory() as folder:
        kept = str(Path(folder) / "kept")
        async with run_planner(kept=kept) as (_, port):
            async with run_planned_edge([port]) as (f, side):
                await until(lambda: side.session.is_leased() and not side.plans_locally)
                while not side._retained:
                    await assert_prompt_responses(f, 4)
                    await anyio.sleep(0.05)
                await until(lambda: Path(kept).exists() and '"m"' in Path(kept).read_text())
            if kind == "edge killed":
                return {"kind": kind, "ms until copies are held": await _again(port, run_planned_edge, until)}
        async with run_planner(kept=kept) as (_one, port):
            return {"kind": kind, "ms until copies are held": await _again(port, run_planned_edge, until)}


async def _again(port: int, run_planned_edge: Any, until: Any) -> int:
    async with run_planned_edge([port]) as (_f, side):
        began = perf_counter()
        functions = side.recorder.functions_by_number
        await until(lambda: any(r.is_retained for f in functions for r in f.replicas.values()))
        return int((perf_counter() - began) * 1000)


def recorded(rate: float, seconds: float, models: int) -> list[tuple[int, bytes]]:
    """Returns the frames of one edge with their times (ns from the start), the snapshot first."""
    pair = EdgePlannerSimulation(workers=20)
    drive(pair, rate, 1, models)
    pair.connect()
    began = pair.now
    found: list[tuple[int, bytes]] = []
    inner = pair.session.next_frame

    def record_frame() -> bytes | None:
        """Returns the next frame of the edge and records it."""
        data = inner()
        if data is not None and len(found) < 1_000_000:
            found.append((pair.now - began, data))
        return data

    pair.session.next_frame = record_frame  # type: ignore[method-assign]
    drive(pair, rate, seconds, models)
    return [f for f in found if not isinstance(fr.FrameReader().feed(f[1])[0], fr.Hello | fr.Lease)]


async def replay_edge(
    n: int, port: int, frames: list[tuple[int, bytes]], begin: int, results: dict[str, Any]
) -> None:
    """Replays an edge to a planner, and notes the delay of load requests after the events they follow."""
    stream = await anyio.connect_tcp("127.0.0.1", port)
    sent: dict[int, int] = {}
    async with stream, anyio.create_task_group() as group:

        async def read_messages() -> None:
            """Notes how far the planner is behind, and the delays of its load requests."""
            reader = fr.FrameReader()
            while True:
                for message in reader.feed(await stream.receive()):
                    if isinstance(message, fr.Heartbeat) and message.sequence:
                        results["behind"] = max(results["behind"], max(sent, default=0) - message.sequence)
                    if (
                        isinstance(message, fr.PlanUpdate)
                        and message.load_requests
                        and message.sequence in sent
                    ):
                        results["delays"].append((monotonic_ns() - sent[message.sequence]) / 1e6)

        await stream.send(fr.encode_frame(fr.Hello(1, 2, f"edge-{n}", f"life-{n}", "")))
        group.start_soon(read_messages)
        await stream.send(fr.encode_frame(fr.Lease(1, 1500)))
        for at, data in frames:
            await anyio.sleep(max(0, begin + at - monotonic_ns()) / 1e9)
            message = msgspec.msgpack.decode(data[8:])
            sent[message[1]] = monotonic_ns()
            await stream.send(data)
        results["last"] = max(results["last"], (monotonic_ns() - begin) / 1e9)
        group.cancel_scope.cancel()


async def sockets(edges: int, total: float, seconds: float) -> dict[str, Any]:
    """Measures one planner with a number of edges and `total` requests per second of all together."""
    frames = recorded(total / edges, seconds, max(6, 120 // edges))
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "planner.json"
        config.write_text(json.dumps({"edges": 1000}))
        with open(os.devnull, "wb") as log:
            command = [sys.executable, "-m", "martenlead", "plan", str(config)]
            process = await anyio.open_process(command, stderr=log)
        assert process.stdout is not None
        port = json.loads(await process.stdout.receive())["ready"]["port"]

        def cpu() -> float:
            """Returns the CPU seconds of the planner."""
            parts = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")

        results: dict[str, Any] = {"delays": [], "behind": 0, "last": 0.0}
        begin, before = monotonic_ns() + 200_000_000, cpu()
        async with anyio.create_task_group() as group:
            for n in range(edges):
                group.start_soon(replay_edge, n, port, frames, begin, results)
        spent = cpu() - before
        memory = Path(f"/proc/{process.pid}/status").read_text().split("VmRSS:")[1].split()[0]
        process.kill()
        await process.wait()
    delays = sorted(results["delays"])
    return {
        "edges": edges,
        "tasks a second": total,
        "planner's CPU, of a core": round(spent / seconds, 3),
        "planner's MB": int(memory) // 1024,
        "order after its events ms p50": round(delays[len(delays) // 2], 1) if delays else None,
        "p99": round(delays[int(len(delays) * 0.99)], 1) if delays else None,
        "orders": len(delays),
        "frames behind, at most": results["behind"],
        "played in s": round(results["last"], 1),
    }


@click.command()
@click.option("--seconds", default=8.0)
def main(seconds: float) -> None:
    """Print one JSON object per case."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    for rate in (280.0, 890.0):
        print(json.dumps(cost(rate, seconds)), flush=True)
    for kind in ("cut", "planner killed"):
        print(json.dumps(recovery(kind)), flush=True)
    for kind in ("edge killed", "both killed"):
        print(json.dumps(anyio.run(measure_restart, kind, backend_options=UVLOOP)), flush=True)
    for models in (1000, 10_000):
        print(json.dumps(state(models)), flush=True)
    cases = [(1, 890.0), (10, 890.0), (30, 890.0), (100, 890.0), (10, 2000.0), (10, 4000.0), (10, 6000.0)]
    for edges, total in cases:
        print(json.dumps(anyio.run(sockets, edges, total, seconds, backend_options=UVLOOP)), flush=True)


if __name__ == "__main__":
    main()
