"""One edge process against a plain relay of ours on the same libraries that decides nothing, in one run.

    .venv/bin/python benchmarks/speed.py [--seconds 4] [--rounds 3]

Runners here answer at once, in processes of their own; load comes from processes of its own. Prints JSON.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import urllib.request
from pathlib import Path
from statistics import median
from time import monotonic_ns, sleep
from typing import Any

import anyio
import click

from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.events.cloudevent import Event, decode_event, encode_event
from martenlead.events.http import Message
from martenlead.events.server import Reply, Server, ServerLimits, listen

UVLOOP = {"use_uvloop": True}
ANSWER = [
    (b"ce-specversion", b"1.0"),
    (b"ce-id", b"r"),
    (b"ce-source", b"/r"),
    (b"ce-type", b"answer"),
    (b"content-type", b"application/json"),
    (b"martenlead-copy", b"warm"),
]


def bad(status: int, _detail: str) -> Reply:
    return Reply(status, [])


@click.group(invoke_without_command=True)
@click.option("--seconds", default=4.0)
@click.option("--rounds", default=3)
@click.option("--runners", default=12)
@click.pass_context
def main(context: click.Context, seconds: float, rounds: int, runners: int) -> None:
    if context.invoked_subcommand is None:
        measure(seconds, rounds, runners)


@main.command()
def memory() -> None:
    """Only the memory of tasks that are held."""
    with tempfile.TemporaryDirectory() as name:
        print(json.dumps(held(Path(name), 10_000)))


@main.command()
@click.argument("count", type=int)
@click.argument("wait_ms", type=float)
def runner(count: int, wait_ms: float) -> None:
    """Some runners that answer after a while."""

    async def handle(message: Message, _now: int) -> Reply:
        if wait_ms:
            await anyio.sleep(wait_ms / 1000)
        if message.target != b"/":
            return Reply(200, [], b'{"copies": 1}')
        return Reply(200, list(ANSWER), b"{}")

    async def serve() -> None:
        async with anyio.create_task_group() as group:
            ports = []
            for _ in range(count):
                listener, port = await listen("127.0.0.1", 0)
                ports.append(port)
                limits = ServerLimits(max_connections=30_000)
                one = Server(handle, limits, make_error_reply=bad, make_fault_reply=lambda e: Reply(500, []))
                group.start_soon(one.serve, listener)
            print(json.dumps(ports), flush=True)

    anyio.run(serve, backend_options=UVLOOP)


@main.command()
@click.argument("ports", type=int, nargs=-1)
@click.option("--reads", is_flag=True, help="reads each event, checks it and writes it anew")
def relay(ports: tuple[int, ...], reads: bool) -> None:
    """Passes each task to the next runner, and its answer back."""
    pools = [Pool("127.0.0.1", port, connection_limit=10_000) for port in ports]
    turn = 0

    async def handle(message: Message, _now: int) -> Reply:
        nonlocal turn
        turn += 1
        if reads:
            headers, body = encode_event(decode_event(message.headers, message.body))
        else:
            drop = (b"host", b"content-length", b"connection")
            headers, body = [p for p in message.headers if p[0] not in drop], message.body
        data = http.request(b"POST", b"/", b"runner", headers, body)
        exchange = await pools[turn % len(pools)].exchange(data)
        if exchange.message is None:
            return Reply(502, [])
        kept = [p for p in exchange.message.headers if p[0] not in (b"content-length", b"connection")]
        return Reply(exchange.message.status, kept, exchange.message.body)

    async def serve() -> None:
        listener, port = await listen("127.0.0.1", 0)
        print(json.dumps([port]), flush=True)
        await Server(
            handle, ServerLimits(), make_error_reply=bad, make_fault_reply=lambda e: Reply(500, [])
        ).serve(listener)

    anyio.run(serve, backend_options=UVLOOP)


@main.command()
@click.argument("port", type=int)
@click.argument("seconds", type=float)
@click.argument("loops", type=int)
@click.argument("rate", type=float)
@click.argument("first", type=int)
def load(port: int, seconds: float, loops: int, rate: float, first: int) -> None:
    """Closed loops, or with a rate an open one. Prints what came of it and the latencies, ms."""
    pool = Pool("127.0.0.1", port, connection_limit=20_000, connect_timeout_ns=20_000_000_000)
    statuses: dict[int, int] = {}
    lags: list[float] = []
    count = first

    def task() -> bytes:
        nonlocal count
        count += 1
        attributes: dict[str, str | int | bool] = {
            "specversion": "1.0",
            "id": str(count),
            "source": "/bench",
            "type": "estimate",
            "model": f"m{count % 24}",
            "lanes": 8,
            "memorymb": 300,
            "costms": 1,
            "timeleftms": 20_000,
        }
        headers, body = encode_event(Event(attributes, b'{"borrower": 1}', "application/json"))
        return http.request(b"POST", b"/", b"edge", headers, body)

    async def one() -> None:
        begun = monotonic_ns()
        exchange = await pool.exchange(task())
        lags.append((monotonic_ns() - begun) / 1e6)
        status = exchange.message.status if exchange.message else 0
        statuses[status] = statuses.get(status, 0) + 1

    async def loop() -> None:
        while True:
            await one()

    async def all_of_it() -> None:
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as group:
                if not rate:
                    for _ in range(loops):
                        group.start_soon(loop)
                    return
                begin = monotonic_ns()
                for n in range(int(rate * seconds)):
                    await anyio.sleep(max(0.0, n / rate - (monotonic_ns() - begin) / 1e9))
                    group.start_soon(one)

    anyio.run(all_of_it, backend_options=UVLOOP)
    lags.sort()  # evenly spaced ones of many: the quantiles stay, and the line fits a pipe
    kept = [round(lag, 3) for lag in lags[:: max(1, len(lags) // 4000)]]
    print(json.dumps({"statuses": statuses, "lags": kept}))


def start(*args: Any) -> subprocess.Popen[str]:
    return subprocess.Popen([sys.executable, __file__, *map(str, args)], stdout=subprocess.PIPE, text=True)


def first_line(process: subprocess.Popen[str]) -> Any:
    assert process.stdout is not None
    return json.loads(process.stdout.readline())


def start_edge(folder: Path, ports: list[int], **more: Any) -> tuple[list[subprocess.Popen[str]], int]:
    lines = [{"id": f"r{p}", "port": p, "memory_mb": 40_000, "weight": 1, "start": "0"} for p in ports]
    (folder / "roster.json").write_text(json.dumps({"lines": lines}))
    command = [sys.executable, "-m", "martenlead"]
    roster = subprocess.Popen(
        [*command, "standin", "roster", str(folder / "roster.json")], stdout=subprocess.PIPE, text=True
    )
    config = {
        "roster": {"port": first_line(roster)["ready"]["port"]},
        "offerings": [
            {"name": "estimate", "soft_limit_ms": 800, "hard_limit_ms": 60_000, "effect": "idempotent"}
        ],
        "log": {"level": "warning"},
        **more,
    }
    (folder / "edge.json").write_text(json.dumps(config))
    edge = subprocess.Popen([*command, "edge", str(folder / "edge.json")], stdout=subprocess.PIPE, text=True)
    port = first_line(edge)["ready"]["port"]
    sleep(0.3)
    return [roster, edge], port


def cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident(pid: int) -> float:
    """MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def saturate(port: int, pid: int, seconds: float) -> dict[str, Any]:
    before = cpu(pid)
    loads = [start("load", port, seconds, 24, 0, n * 1_000_000) for n in range(3)]
    found = [first_line(one) for one in loads]
    statuses: dict[str, int] = {}
    for one in found:
        for status, n in one["statuses"].items():
            statuses[status] = statuses.get(status, 0) + n
    lags = sorted(lag for one in found for lag in one["lags"])
    good = statuses.get("200", 0)
    return {
        "tasks_per_s": round(good / seconds),
        "cpu_us_per_task": round(1e6 * (cpu(pid) - before) / max(1, sum(statuses.values()))),
        "statuses": statuses,
        "p50_ms": round(lags[len(lags) // 2], 2),
        "p99_ms": round(lags[int(0.99 * len(lags))], 2),
    }


def steady(port: int, seconds: float, rate: float) -> dict[str, float]:
    lags = sorted(first_line(start("load", port, seconds, 0, rate, 0))["lags"])
    return {"p50": round(lags[len(lags) // 2], 3), "p99": round(lags[int(0.99 * len(lags))], 3)}


def ask(admin: dict[str, int], path: str) -> Any:
    with urllib.request.urlopen(f"http://127.0.0.1:{admin['port']}{path}", timeout=10) as answer:
        return json.load(answer)


def held(folder: Path, count: int) -> dict[str, float]:
    """Memory of tasks that are held, each with its client's connection and one to a runner."""
    slow = start("runner", 1, 60_000)
    most_of_all = {"open_tasks": 20_000, "connections": 20_000, "runner_connections": 20_000}
    # nobody is to be found quiet while all of them are taken in
    patient = {"name": "estimate", "soft_limit_ms": 60_000, "hard_limit_ms": 60_000, "effect": "idempotent"}
    more = {"admin": {"port": 18_431}, "limits": most_of_all, "offerings": [patient]}
    processes, port = start_edge(folder, first_line(slow), **more)
    pid = processes[1].pid
    before = resident(pid)
    loads = [start("load", port, 19, count // 4, 0, n * 1_000_000) for n in range(4)]
    most, at = 0.0, monotonic_ns()
    while monotonic_ns() - at < 17e9:
        sleep(0.5)
        most = max(most, resident(pid))
    sockets = len(os.listdir(f"/proc/{pid}/fd"))
    state = ask(more["admin"], "/state")
    for process in (*loads, slow, *processes):
        process.kill()
    count = state["held"]
    return {"held": count, "sockets": sockets, "kb_a_task": round((most - before) * 1024 / count, 1)}


def measure(seconds: float, rounds: int, runners: int) -> None:
    processes = [start("runner", runners // 3, 0) for _ in range(3)]
    with tempfile.TemporaryDirectory() as name:
        try:
            ports = [port for process in processes for port in first_line(process)]
            relaying = start("relay", *ports)
            relay_port = first_line(relaying)[0]
            reading = start("relay", "--reads", *ports)
            reading_port = first_line(reading)[0]
            edge, edge_port = start_edge(Path(name), ports)
            processes += [relaying, reading, *edge]
            steady(edge_port, 2, 200)
            names = ("relay", "relay_that_reads", "edge", "direct_280", "relay_280", "edge_280")
            told: dict[str, Any] = {name: [] for name in names}
            for _ in range(rounds):
                told["relay"].append(saturate(relay_port, relaying.pid, seconds))
                told["relay_that_reads"].append(saturate(reading_port, reading.pid, seconds))
                told["edge"].append(saturate(edge_port, edge[1].pid, seconds))
                told["direct_280"].append(steady(ports[0], seconds, 280))
                told["relay_280"].append(steady(relay_port, seconds, 280))
                told["edge_280"].append(steady(edge_port, seconds, 280))
            rate = {n: median(one["tasks_per_s"] for one in told[n]) for n in names[:3]}
            told["edge_over_relay"] = round(rate["edge"] / rate["relay"], 3)
            told["edge_over_relay_that_reads"] = round(rate["edge"] / rate["relay_that_reads"], 3)
            for quantile in ("p50", "p99"):
                one, other = (median(r[quantile] for r in told[n]) for n in ("edge_280", "direct_280"))
                told[f"edge_adds_{quantile}_ms"] = round(one - other, 3)
            told["memory"] = held(Path(name), 10_000)
            print(json.dumps(told, indent=1))
        finally:
            for process in processes:
                process.send_signal(signal.SIGKILL)


if __name__ == "__main__":
    main()
