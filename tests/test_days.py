"""Whole days and the end of an edge's process, by the command line as a user runs it."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path

import anyio
import pytest

from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.events.cloudevent import Event, encode_event
from support.fleet import REQUEST_CLASSES, after_delay, respond_ok, run_edge, silent

pytestmark = pytest.mark.anyio
DAYS = sorted((Path(__file__).parent / "days").glob("*.jsonnet"))


@pytest.mark.parametrize("script", DAYS, ids=lambda path: path.stem)
async def test_a_short_day_keeps_every_rule(script: Path, tmp_path: Path) -> None:
    report = tmp_path / "report.json"
    command = [sys.executable, "-m", "martenlead", "day", str(script), "--report", str(report)]
    finished = await anyio.run_process(command, check=False, stderr=subprocess.STDOUT)
    assert finished.returncode == 0, finished.stdout.decode()
    result = json.loads(report.read_text())
    assert result["tasks"] > 200
    assert sum(result["answers"].values()) == result["tasks"]
    assert result["answers"]["satisfied"] > result["tasks"] / 3
    for name in ("one_answer", "no_effect_twice", "drains", "cold_runners", "load_ration"):
        assert result["rules"][name]["checked"] > 0
        assert result["rules"][name]["breaches"] == 0


async def status_after_signals(behaviours: list[object], signals: list[float]) -> tuple[int, int]:
    """Sends an edge process SIGTERM while a request runs; returns the response and exit statuses."""
    async with run_edge({"a": behaviours}) as edge_fleet:  # type: ignore[dict-item]
        folder = anyio.Path(await anyio.mkdtemp())
        config = folder / "edge.json"
        await config.write_text(
            json.dumps({"roster": {"port": edge_fleet.discovery_port}, "offerings": REQUEST_CLASSES})
        )
        process = await anyio.open_process(
            [sys.executable, "-m", "martenlead", "edge", str(config)], stderr=None
        )
        assert process.stdout is not None
        port = json.loads((await process.stdout.receive()).decode())["ready"]["port"]
        pool = Pool("127.0.0.1", port)
        event = Event({"specversion": "1.0", "id": "1", "source": "/c", "type": "notice", "model": "m"})
        headers, body = encode_event(event)
        status = 0

        async def call() -> None:
            nonlocal status
            exchange = await pool.exchange(http.request(b"POST", b"/", b"e", headers, body))
            status = exchange.message.status if exchange.message else -1

        with anyio.fail_after(20):
            async with anyio.create_task_group() as group:
                while not edge_fleet.arrivals:  # without an endpoint list the edge rejects the request
                    group.start_soon(call)
                    await anyio.sleep(0.1)
                for wait in signals:
                    process.send_signal(signal.SIGTERM)
                    await anyio.sleep(wait)
            return status, await process.wait()


async def test_the_first_signal_lets_accepted_requests_end() -> None:
    assert await status_after_signals([after_delay(600, respond_ok)], [0.1]) == (200, 0)


async def test_the_second_signal_fails_requests_that_may_have_run() -> None:
    assert await status_after_signals([silent], [0.1, 0.1]) == (504, 0)


async def test_a_port_in_use_ends_the_edge_with_one_line() -> None:
    async with run_edge() as edge_fleet:
        folder = anyio.Path(await anyio.mkdtemp())
        config = folder / "edge.json"
        settings = {"roster": {"port": 1}, "offerings": REQUEST_CLASSES, "listen": {"port": edge_fleet.port}}
        await config.write_text(json.dumps(settings))
        finished = await anyio.run_process(
            [sys.executable, "-m", "martenlead", "edge", str(config)], check=False
        )
        assert finished.returncode == 1
        assert b"$.listen" in finished.stderr
        assert b"Traceback" not in finished.stderr
