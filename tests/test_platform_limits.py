"""The dispatcher as the deploy file starts it, under a filter that refuses the system calls that the
platform refuses."""

from __future__ import annotations

import json
import os
import signal
import sys
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import Process, SocketAttribute

from support.fleet import until
from support.node_rig import NodeRig, message, succeed

pytestmark = pytest.mark.anyio

ROOT = Path(__file__).parent.parent
FILTER = [sys.executable, "-m", "tests.syscall_filter"]
DEPLOYED_PYTHON = ".venv/bin/python"


def run_command() -> str:
    """Returns the deploy file's `run` command, with the interpreter that runs the tests."""
    deploy_file = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert DEPLOYED_PYTHON in deploy_file["run"]
    return str(deploy_file["run"]).replace(DEPLOYED_PYTHON, sys.executable)


@asynccontextmanager
async def dispatcher(tmp_path: Path) -> AsyncIterator[tuple[NodeRig, Process]]:
    """Starts the program in one process under the filter, with a worker and a journal service."""
    rig = NodeRig()
    rig.config_path = tmp_path / "config.json"
    async with anyio.create_task_group() as rig.task_group:
        await rig.start_worker("a", succeed)
        rig.task_group.start_soon(rig.journal.serve)
        await until(lambda: rig.journal.port)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        rig.port = listener.extra(SocketAttribute.local_port)
        await listener.aclose()
        rig.write_config(rig.journal.port)
        environment = {**os.environ, "ROUTER_CONFIG": str(rig.config_path)}
        async with await anyio.open_process([*FILTER, run_command()], cwd=ROOT, env=environment) as process:
            try:
                yield rig, process
            finally:
                if process.returncode is None:
                    process.kill()
        rig.task_group.cancel_scope.cancel()


async def wait_for_event(process: Process, event: str) -> None:
    """Reads the program's log until it contains this event."""
    assert process.stderr is not None
    log = b""
    with anyio.fail_after(20):
        while f'"event": "{event}"'.encode() not in log:
            log += await process.stderr.receive()


def child_processes(pid: int) -> list[str]:
    """Returns the process ids of the children of a process."""
    children = Path(f"/proc/{pid}/task/{pid}/children")
    return children.read_text().split()


async def test_the_filter_refuses_other_programs_and_processes() -> None:
    """A fork under the filter fails with ENOSYS."""
    probe = "import os\ntry:\n os.fork()\nexcept OSError as error:\n print(error.errno)"
    process = await anyio.run_process([*FILTER, f"exec {sys.executable} -c '{probe}'"], cwd=ROOT)
    assert int(process.stdout) == 38  # ENOSYS


async def test_served_from_start_to_end_with_these_system_calls_refused(tmp_path: Path) -> None:
    """The node starts, serves, reloads its configuration and stops."""
    async with dispatcher(tmp_path) as (rig, process):
        await wait_for_event(process, "node_started")
        client = await rig.connect_client()
        await client.send(message({"jsonrpc": "2.0", "id": 1, "method": "ping", "params": {}}))
        ping: Any = await client.receive_response()
        assert ping["result"] == {"up": True}
        client.last_number = 1
        assert [await client.call("unsafe", key=f"{n:016x}") for n in range(20)] == ["satisfied"] * 20
        process.send_signal(signal.SIGHUP)
        await wait_for_event(process, "config_reloaded")
        assert await client.call("unsafe") == "satisfied"
        # one process, because the command uses `exec`, and one thread
        assert child_processes(process.pid) == []
        assert len(os.listdir(f"/proc/{process.pid}/task")) == 1
        process.send_signal(signal.SIGTERM)
        assert await client.call("unsafe") == "satisfied"
        with anyio.fail_after(10):
            assert await process.wait() == 0


async def test_it_listens_on_the_given_address_alone_and_over_ipv4(tmp_path: Path) -> None:
    """The process has one listening socket, and none of IPv6 or UDP."""
    async with dispatcher(tmp_path) as (rig, process):
        await wait_for_event(process, "node_started")
        links = [os.readlink(path) for path in Path(f"/proc/{process.pid}/fd").iterdir()]
        own_inodes = {link[8:-1] for link in links if link.startswith("socket:")}
        listening = [
            fields[1]
            for fields in map(str.split, Path("/proc/net/tcp").read_text().splitlines()[1:])
            if fields[3] == "0A" and fields[9] in own_inodes
        ]
        assert listening == [f"0100007F:{rig.port:04X}"]
        for family in ("tcp6", "udp", "udp6"):
            used = {line.split()[9] for line in Path(f"/proc/net/{family}").read_text().splitlines()[1:]}
            assert own_inodes.isdisjoint(used)
        assert json.loads(rig.config_path.read_text())["listen"].endswith(str(rig.port))
