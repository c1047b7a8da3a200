"""Loads by agents on sockets, each a process, against whole models fetched by the same agents in the same
run.

    .venv/bin/python benchmarks/layers.py [--mb 32] [--boxes 1,4,16,32]

Bytes, refusals and stops are the vault's own records. `whole`: one piece a model, boxes that do not know of
each other. `chunks`: chunks, and the same. `shared`: chunks, and boxes that know of each other.
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
VAULT = {
    "mb_s": 12.5,
    "pace": 8,
    "most": 24,
    "delay_ms": 3,
    "fall_multiple": 5,
    "fall_ms": 500,
    "down_ms": 2000,
}


async def start(group: anyio.abc.TaskGroup, command: list[str], config: dict[str, Any], path: Path) -> Any:
    path.write_bytes(msgspec.json.encode(config))
    with open(path.with_suffix(".log"), "wb") as log:
        process = await anyio.open_process(
            [sys.executable, "-m", "martenlead", *command, str(path)], stderr=log
        )
    with anyio.fail_after(60):
        line = await process.stdout.receive()  # type: ignore[union-attr]
    return process, json.loads(line)["ready"]["port"]


async def load(port: int, ref: str) -> dict[str, Any]:
    body = msgspec.json.encode({"ref": ref, "within_ms": 120_000})
    begun = perf_counter()
    exchange = await Pool("127.0.0.1", port).exchange(http.request(b"POST", b"/load", b"x", [], body))
    told = json.loads(exchange.message.body) if exchange.message else {}
    return {"ok": "digest" in told, "why": told.get("failure", ""), "s": perf_counter() - begun}


async def one(
    folder: Path, layout: Path, way: str, count: int, mb: float, states: bool
) -> list[dict[str, Any]]:
    """A cold start and then a release, at so many boxes."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir()
    processes = []
    told = []
    async with anyio.create_task_group() as group:
        record = folder / "vault.jsonl"
        vault, port = await start(
            group,
            ["standin", "depot"],
            {**VAULT, "layout": str(layout), "record": str(record)},
            folder / "vault.json",
        )
        processes.append(vault)
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

        async def begin(n: int) -> None:
            config = {
                "name": f"box-{n}",
                "port": ports[n],
                "cache": str(folder / f"cache-{n}"),
                "vault": {"port": port},
                "members": members if way == "shared" else [],
            }
            agents[n], _ = await start(group, ["layers", "agent"], config, folder / f"agent-{n}.json")

        async with anyio.create_task_group() as starting:
            for n in range(count):
                starting.start_soon(begin, n)
        processes += agents
        for what, ref in (("cold", "m.0"), ("release", "m.0.r1"), ("again", "m.0.r1")):
            ref = ref + ".whole" if way == "whole" else ref
            before = list(read_records(record))
            ends: list[dict[str, Any]] = []

            async def ask(p: int, ref: str = ref, ends: list[dict[str, Any]] = ends) -> None:
                ends.append(await load(p, ref))

            async with anyio.create_task_group() as asking:
                for p in ports:
                    asking.start_soon(ask, p)
            new = list(read_records(record))[len(before) :]
            size = sum(r["size"] for r in new if r["what"] in ("blob", "manifest"))
            told.append(
                {
                    "what": what,
                    "way": way,
                    "boxes": count,
                    "loaded": sum(e["ok"] for e in ends),
                    "models from the vault": round(size / (mb * 1e6), 3),
                    "turned away": sum(r["what"] == "turned away" for r in new),
                    "stops": sum(r["what"] == "down" for r in new),
                    "most at once": max((r.get("out", 0) for r in new), default=0),
                    "first s": round(min(e["s"] for e in ends), 3),
                    "last s": round(max(e["s"] for e in ends), 3),
                }
            )
            print(json.dumps(told[-1]), flush=True)
            if states:
                print(json.dumps(await ends_of(ports)), flush=True)
        for process in processes:
            process.send_signal(signal.SIGKILL)
            await process.wait()
        group.cancel_scope.cancel()
    return told


async def ends_of(ports: list[int]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for port in ports:
        exchange = await Pool("127.0.0.1", port).exchange(http.request(b"GET", b"/state", b"x", []))
        if exchange.message:
            told = json.loads(exchange.message.body)
            total.update(told["ends"])
            total.update({k: told[k] for k in ("passed_over", "vault_asks", "peer_asks", "uploads_refused")})
    return dict(total)


def startup(folder: Path, count: int) -> dict[str, Any]:
    """A cache of so many chunks: how long until it knows them, against reading them all."""
    cache = Cache(folder, 1 << 40)
    for n in range(count):
        data = b"%d" % n * 100
        cache.put(digest_of(data), data)
    cache.close()
    begun = perf_counter()
    cache = Cache(folder, 1 << 40)
    knows = perf_counter() - begun
    begun = perf_counter()
    good = sum(cache.get(name) is not None for name in list(cache))
    reads = perf_counter() - begun
    cache.close()
    return {"chunks": good, "start s": round(knows, 3), "reading all s": round(reads, 3)}


@click.command()
@click.option("--mb", default=32.0)
@click.option("--boxes", default="1,4,16,32")
@click.option("--ways", default="whole,chunks,shared")
@click.option("--chunks", default=100_000)
@click.option("--states", is_flag=True, help="what the agents say of their asks, summed")
def main(mb: float, boxes: str, ways: str, chunks: int, states: bool) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        layout = folder / "layout"
        begun = perf_counter()
        make(
            Layout(layout),
            Samples(functions=["m.0"], mb=mb, releases=2, with_single_chunk=True, average_kb=256, tuned=0),
        )
        print(f"cores {os.cpu_count()}, model {mb} MB, made in {perf_counter() - begun:.1f} s", flush=True)
        for count in map(int, boxes.split(",")):
            for way in ways.split(","):
                anyio.run(one, folder / "run", layout, way, count, mb, states, backend_options=UVLOOP)
        if chunks:
            print(json.dumps(startup(folder / "many", chunks)))


if __name__ == "__main__":
    main()
