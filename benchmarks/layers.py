"""Measures loads by agents, each a process, over sockets, compared with loads of complete models in the same
run.

    .venv/bin/python benchmarks/layers.py [--mb 32] [--boxes 1,4,16,32]

Bytes, rejections and stops are taken from the record of the artifact store. `whole`: one chunk per model, and
workers that do not know of each other. `chunks`: several chunks, and likewise. `shared`: several chunks, and
workers that know of each other.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import sys
import tempfile
from collections import Counter
from pathlib import Path
from time import perf_counter
from typing import Any

import anyio
import click
import msgspec

from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.layers.cache import Cache
from martenlead.layers.image import Layout, digest_of
from martenlead.layers.samples import Samples, make
from martenlead.layers.settings import hash_worker_name
from martenlead.standins.record import read_records

UVLOOP = {"use_uvloop": True}
STORE_SETTINGS = {
    "mb_s": 12.5,
    "pace": 8,
    "most": 24,
    "delay_ms": 3,
    "fall_multiple": 5,
    "fall_ms": 500,
    "down_ms": 2000,
}


async def start(group: anyio.abc.TaskGroup, command: list[str], config: dict[str, Any], path: Path) -> Any:
    """Starts a program with a configuration; returns its process and port."""
    path.write_bytes(msgspec.json.encode(config))
    with open(path.with_suffix(".log"), "wb") as log:
        process = await anyio.open_process(
            [sys.executable, "-m", "martenlead", *command, str(path)], stderr=log
        )
    with anyio.fail_after(60):
        line = await process.stdout.receive()  # type: ignore[union-attr]
    return process, json.loads(line)["ready"]["port"]


async def load(port: int, ref: str) -> dict[str, Any]:
    """Loads a model on an agent and returns the outcome with its duration."""
    body = msgspec.json.encode({"ref": ref, "within_ms": 120_000})
    began = perf_counter()
    exchange = await Pool("127.0.0.1", port).exchange(http.request(b"POST", b"/load", b"x", [], body))
    result = json.loads(exchange.message.body) if exchange.message else {}
    return {"ok": "digest" in result, "why": result.get("failure", ""), "s": perf_counter() - began}


async def measure_loads(
    folder: Path, layout: Path, mode: str, count: int, mb: float, states: bool
) -> list[dict[str, Any]]:
    """Loads a model cold, then a release and the release again, on a number of workers."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir()
    processes = []
    results = []
    async with anyio.create_task_group() as group:
        record = folder / "vault.jsonl"
        store, port = await start(
            group,
            ["standin", "depot"],
            {**STORE_SETTINGS, "layout": str(layout), "record": str(record)},
            folder / "vault.json",
        )
        processes.append(store)
        sockets = []
        ports: list[int] = []
        for _ in range(count):
            sockets.append(socket.socket())
            sockets[-1].bind(("127.0.0.1", 0))
            ports.append(sockets[-1].getsockname()[1])
        for each in sockets:
            each.close()
        members = [{"mark": hash_worker_name(f"box-{n}"), "port": p} for n, p in enumerate(ports)]
        agents: list[Any] = [None] * count

        async def start_agent(n: int) -> None:
            """Starts the agent of one worker."""
            config = {
                "name": f"box-{n}",
                "port": ports[n],
                "cache": str(folder / f"cache-{n}"),
                "vault": {"port": port},
                "members": members if mode == "shared" else [],
            }
            agents[n], _ = await start(group, ["layers", "agent"], config, folder / f"agent-{n}.json")

        async with anyio.create_task_group() as starting:
            for n in range(count):
                starting.start_soon(start_agent, n)
        processes += agents
        for what, ref in (("cold", "m.0"), ("release", "m.0.r1"), ("again", "m.0.r1")):
            ref = ref + ".whole" if mode == "whole" else ref
            before = list(read_records(record))
            outcomes: list[dict[str, Any]] = []

            async def load_on(p: int, ref: str = ref, outcomes: list[dict[str, Any]] = outcomes) -> None:
                """Loads the model on one agent and keeps the outcome."""
                outcomes.append(await load(p, ref))

            async with anyio.create_task_group() as loading:
                for p in ports:
                    loading.start_soon(load_on, p)
            new = list(read_records(record))[len(before) :]
            size = sum(r["size"] for r in new if r["what"] in ("blob", "manifest"))
            results.append(
                {
                    "what": what,
                    "way": mode,
                    "boxes": count,
                    "loaded": sum(e["ok"] for e in outcomes),
                    "models from the vault": round(size / (mb * 1e6), 3),
                    "turned away": sum(r["what"] == "turned away" for r in new),
                    "stops": sum(r["what"] == "down" for r in new),
                    "most at once": max((r.get("out", 0) for r in new), default=0),
                    "first s": round(min(e["s"] for e in outcomes), 3),
                    "last s": round(max(e["s"] for e in outcomes), 3),
                }
            )
            print(json.dumps(results[-1]), flush=True)
            if states:
                print(json.dumps(await sum_agent_counts(ports)), flush=True)
        for process in processes:
            process.send_signal(signal.SIGKILL)
            await process.wait()
        group.cancel_scope.cancel()
    return results


async def sum_agent_counts(ports: list[int]) -> dict[str, int]:
    """Returns the summed counts of the agents' loads and requests."""
    total: Counter[str] = Counter()
    for port in ports:
        exchange = await Pool("127.0.0.1", port).exchange(http.request(b"GET", b"/state", b"x", []))
        if exchange.message:
            state = json.loads(exchange.message.body)
            total.update(state["ends"])
            total.update({k: state[k] for k in ("passed_over", "vault_asks", "peer_asks", "uploads_refused")})
    return dict(total)


def startup(folder: Path, count: int) -> dict[str, Any]:
    """Measures the start of a cache with a number of chunks, compared with reading them all."""
    cache = Cache(folder, 1 << 40)
    for n in range(count):
        data = b"%d" % n * 100
        cache.put(digest_of(data), data)
    cache.close()
    began = perf_counter()
    cache = Cache(folder, 1 << 40)
    knows = perf_counter() - began
    began = perf_counter()
    good = sum(cache.get(name) is not None for name in list(cache))
    reads = perf_counter() - began
    cache.close()
    return {"chunks": good, "start s": round(knows, 3), "reading all s": round(reads, 3)}


@click.command()
@click.option("--mb", default=32.0)
@click.option("--boxes", "worker_counts", default="1,4,16,32")
@click.option("--ways", "modes", default="whole,chunks,shared")
@click.option("--chunks", default=100_000)
@click.option("--states", is_flag=True, help="Print the summed request counts of the agents.")
def main(mb: float, worker_counts: str, modes: str, chunks: int, states: bool) -> None:
    """Measure loads for each number of workers and each mode, then the start of a cache."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        layout = folder / "layout"
        began = perf_counter()
        make(
            Layout(layout),
            Samples(functions=["m.0"], mb=mb, releases=2, with_single_chunk=True, average_kb=256, tuned=0),
        )
        print(f"cores {os.cpu_count()}, model {mb} MB, made in {perf_counter() - began:.1f} s", flush=True)
        for count in map(int, worker_counts.split(",")):
            for mode in modes.split(","):
                anyio.run(
                    measure_loads, folder / "run", layout, mode, count, mb, states, backend_options=UVLOOP
                )
        if chunks:
            print(json.dumps(startup(folder / "many", chunks)))


if __name__ == "__main__":
    main()
