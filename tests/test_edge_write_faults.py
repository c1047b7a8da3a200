"""A response of the edge is written in spite of a moment in which the machine has no memory for it."""

from __future__ import annotations

import errno
from typing import Any

import anyio
import pytest

from support.fleet import fleet, satisfied
from support.socket_faults import SocketFaults, from_port

pytestmark = pytest.mark.anyio
TEMPORARY = pytest.mark.parametrize(
    "number", (errno.ENOBUFS, errno.ENOMEM), ids=lambda number: errno.errorcode[number]
)
TRIES = 3


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    return "asyncio", {"use_uvloop": request.param}


@TEMPORARY
async def test_a_response_that_the_machine_has_no_memory_for_is_written_again(number: int) -> None:
    """Guards against a connection that ends, and a served request without its response."""
    faults = SocketFaults()
    with faults.installed():
        async with fleet({"a": [satisfied]}) as f:
            faults.add("send", number, from_port(f.port), times=TRIES)
            assert (await f.call("notice"))[0] == 200
            assert faults.failed["send"] == TRIES
            assert (await f.call("notice"))[0] == 200
            assert f.pool.connections_opened == 1


@TEMPORARY
async def test_a_client_that_leaves_while_its_response_waits_for_memory_costs_no_fault(number: int) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with fleet({"a": [satisfied]}) as f:
            faults.add("send", number, from_port(f.port))
            with anyio.move_on_after(0.2):
                await f.call("notice")
            faults.end()
            assert (await f.call("notice"))[0] == 200
            assert not any(kind == "fault" for kind, _ in f.dispatcher.counts)
