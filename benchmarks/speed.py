"""Compares one edge process with a plain relay on the same libraries that decides nothing, in one run.

    .venv/bin/python benchmarks/speed.py [--seconds 4] [--rounds 3]

Workers answer at once; workers and load generators run in separate processes. Prints JSON.
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


def make_error_reply(status: int, _detail: str) -> Reply:
    """Returns an empty reply with a status."""
    return Reply(status, [])


@click.group(invoke_without_command=True)
@click.option("--seconds", default=4.0)
@click.option("--rounds", default=3)
@click.option("--runners", "worker_count", default=12)
@click.pass_context
def main(context: click.Context, seconds: float, rounds: int, worker_count: int) -> None:
    """Measure edge and relay, unless a subcommand is given."""
    if context.invoked_subcommand is None:
        measure(seconds, rounds, worker_count)


@main.command()
def memory() -> None:
    """Measure only the memory of open requests."""
    with tempfile.TemporaryDirectory() as name:
        print(json.dumps(measure_open_requests(Path(name), 10_000)))


@main.command(name="runner")
@click.argument("count", type=int)
@click.argument("wait_ms", type=float)
def run_workers(count: int, wait_ms: float) -> None:
    """Run workers that answer after a delay."""

    async def handle(message: Message, _now: int) -> Reply:
        """Answers a request after the delay."""
        if wait_ms:
            await anyio.sleep(wait_ms / 1000)
        if message.target != b"/":
            return Reply(200, [], b'{"copies": 1}')
        return Reply(200, list(ANSWER), b"{}")

    async def serve() -> None:
        """Starts the servers and prints their ports."""
        async with anyio.create_task_group() as group:
            ports = []
            for _ in range(count):
                listener, port = await listen("127.0.0.1", 0)
                ports.append(port)
                limits = ServerLimits(max_connections=30_000)
                server = Server(
                    handle,
                    limits,
                    make_error_reply=make_error_reply,
                    make_fault_reply=lambda e: Reply(500, []),
                )
                group.start_soon(server.serve, listener)
            print(json.dumps(ports), flush=True)

    anyio.run(serve, backend_options=UVLOOP)


@main.command()
@click.argument("ports", type=int, nargs=-1)
@click.option("--reads", is_flag=True, help="Decode, check and re-encode each event.")
def relay(ports: tuple[int, ...], reads: bool) -> None:
    """Relay each request to the next worker, and its response back."""
    pools = [Pool("127.0.0.1", port, connection_limit=10_000) for port in ports]
    turn = 0

    async def handle(message: Message, _now: int) -> Reply:
        """Relays one request."""
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
        """Starts the server and prints its port."""
        listener, port = await listen("127.0.0.1", 0)
        print(json.dumps([port]), flush=True)
        await Server(
            handle,
            ServerLimits(),
            make_error_reply=make_error_reply,
            make_fault_reply=lambda e: Reply(500, []),
        ).serve(listener)

    anyio.run(serve, backend_options=UVLOOP)


@main.command()
@click.argument("port", type=int)
@click.argument("seconds", type=float)
@click.argument("loops", type=int)
@click.argument("rate", type=float)
@click.argument("first", type=int)
def load(port: int, seconds: float, loops: int, rate: float, first: int) -> None:
    """Send closed loops of requests, or at a rate an open one. Prints statuses and latencies in ms."""
    pool = Pool("127.0.0.1", port, connection_limit=20_000, connect_timeout_ns=20_000_000_000)
    statuses: dict[int, int] = {}
    lags: list[float] = []
    count = first

    def make_request() -> bytes:
        """Encodes the next request."""
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

    async def send_request() -> None:
        """Sends one request and counts its status and latency."""
        began = monotonic_ns()
        exchange = await pool.exchange(make_request())
        lags.append((monotonic_ns() - began) / 1e6)
        status = exchange.message.status if exchange.message else 0
        statuses[status] = statuses.get(status, 0) + 1

    async def loop() -> None:
        """Sends requests one after the other."""
        while True:
            await send_request()

    async def run_load() -> None:
        """Sends requests for the given time."""
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as group:
                if not rate:
                    for _ in range(loops):
                        group.start_soon(loop)
                    return
                begin = monotonic_ns()
                for n in range(int(rate * seconds)):
                    await anyio.sleep(max(0.0, n / rate - (monotonic_ns() - begin) / 1e9))
                    group.start_soon(send_request)

    anyio.run(run_load, backend_options=UVLOOP)
    lags.sort()  # Evenly spaced samples preserve the quantiles and keep the line small enough for a pipe.
    kept = [round(lag, 3) for lag in lags[:: max(1, len(lags) // 4000)]]
    print(json.dumps({"statuses": statuses, "lags": kept}))


def start(*args: Any) -> subprocess.Popen[str]:
    """Starts a subcommand of this file in a process."""
    return subprocess.Popen([sys.executable, __file__, *map(str, args)], stdout=subprocess.PIPE, text=True)


def first_line(process: subprocess.Popen[str]) -> Any:
    """Reads the first line of a process's output as JSON."""
    assert process.stdout is not None
    return json.loads(process.stdout.readline())


def start_edge(folder: Path, ports: list[int], **more: Any) -> tuple[list[subprocess.Popen[str]], int]:
    """Starts an edge with discovery of these workers; returns both processes and the edge's port."""
    lines = [{"id": f"r{p}", "port": p, "memory_mb": 40_000, "weight": 1, "start": "0"} for p in ports]
    (folder / "roster.json").write_text(json.dumps({"lines": lines}))
    command = [sys.executable, "-m", "martenlead"]
    discovery = subprocess.Popen(
        [*command, "standin", "roster", str(folder / "roster.json")], stdout=subprocess.PIPE, text=True
    )
    config = {
        "roster": {"port": first_line(discovery)["ready"]["port"]},
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
    return [discovery, edge], port


def cpu(pid: int) -> float:
    """Returns the CPU seconds of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident(pid: int) -> float:
    """Returns the resident memory of a process, in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def saturate(port: int, pid: int, seconds: float) -> dict[str, Any]:
    """Runs closed loops and returns the throughput, CPU time and latencies."""
    before = cpu(pid)
    loads = [start("load", port, seconds, 24, 0, n * 1_000_000) for n in range(3)]
    results = [first_line(process) for process in loads]
    statuses: dict[str, int] = {}
    for result in results:
        for status, n in result["statuses"].items():
            statuses[status] = statuses.get(status, 0) + n
    lags = sorted(lag for result in results for lag in result["lags"])
    succeeded = statuses.get("200", 0)
    return {
        "tasks_per_s": round(succeeded / seconds),
        "cpu_us_per_task": round(1e6 * (cpu(pid) - before) / max(1, sum(statuses.values()))),
        "statuses": statuses,
        "p50_ms": round(lags[len(lags) // 2], 2),
        "p99_ms": round(lags[int(0.99 * len(lags))], 2),
    }


def steady(port: int, seconds: float, rate: float) -> dict[str, float]:
    """Runs an open loop at a rate and returns quantiles of the latency, in ms."""
    lags = sorted(first_line(start("load", port, seconds, 0, rate, 0))["lags"])
    return {"p50": round(lags[len(lags) // 2], 3), "p99": round(lags[int(0.99 * len(lags))], 3)}


def ask(admin: dict[str, int], path: str) -> Any:
    """Returns the JSON answer of an admin endpoint."""
    with urllib.request.urlopen(f"http://127.0.0.1:{admin['port']}{path}", timeout=10) as answer:
        return json.load(answer)


def measure_open_requests(folder: Path, count: int) -> dict[str, float]:
    """Measures the memory per open request, each with a connection of its client and one to a worker."""
    slow = start("runner", 1, 60_000)
    limits = {"open_tasks": 20_000, "connections": 20_000, "runner_connections": 20_000}
    # Long objectives, so that no worker is found silent while all requests are accepted.
    request_class = {
        "name": "estimate",
        "soft_limit_ms": 60_000,
        "hard_limit_ms": 60_000,
        "effect": "idempotent",
    }
    more = {"admin": {"port": 18_431}, "limits": limits, "offerings": [request_class]}
    processes, port = start_edge(folder, first_line(slow), **more)
    pid = processes[1].pid
    before = resident(pid)
    loads = [start("load", port, 19, count // 4, 0, n * 1_000_000) for n in range(4)]
    peak_mb, began = 0.0, monotonic_ns()
    while monotonic_ns() - began < 17e9:
        sleep(0.5)
        peak_mb = max(peak_mb, resident(pid))
    sockets = len(os.listdir(f"/proc/{pid}/fd"))
    state = ask(more["admin"], "/state")
    for process in (*loads, slow, *processes):
        process.kill()
    count = state["held"]
    return {"held": count, "sockets": sockets, "kb_a_task": round((peak_mb - before) * 1024 / count, 1)}


def measure(seconds: float, rounds: int, worker_count: int) -> None:
    """Prints the comparison of edge and relays, and the memory of open requests."""
    processes = [start("runner", worker_count // 3, 0) for _ in range(3)]
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
            results: dict[str, Any] = {name: [] for name in names}
            for _ in range(rounds):
                results["relay"].append(saturate(relay_port, relaying.pid, seconds))
                results["relay_that_reads"].append(saturate(reading_port, reading.pid, seconds))
                results["edge"].append(saturate(edge_port, edge[1].pid, seconds))
                results["direct_280"].append(steady(ports[0], seconds, 280))
                results["relay_280"].append(steady(relay_port, seconds, 280))
                results["edge_280"].append(steady(edge_port, seconds, 280))
            rate = {n: median(one["tasks_per_s"] for one in results[n]) for n in names[:3]}
            results["edge_over_relay"] = round(rate["edge"] / rate["relay"], 3)
            results["edge_over_relay_that_reads"] = round(rate["edge"] / rate["relay_that_reads"], 3)
            for quantile in ("p50", "p99"):
                one, other = (median(r[quantile] for r in results[n]) for n in ("edge_280", "direct_280"))
                results[f"edge_adds_{quantile}_ms"] = round(one - other, 3)
            results["memory"] = measure_open_requests(Path(name), 10_000)
            print(json.dumps(results, indent=1))
        finally:
            for process in processes:
                process.send_signal(signal.SIGKILL)


if __name__ == "__main__":
    main()
