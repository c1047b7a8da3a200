"""A response of the edge is written although the operating system temporarily has no memory for it."""

from __future__ import annotations

import errno
from typing import Any

import anyio
import pytest

from support.fleet import respond_ok, run_edge
from support.socket_faults import SocketFaults, from_port

pytestmark = pytest.mark.anyio
each_temporary_error = pytest.mark.parametrize(
    "code", (errno.ENOBUFS, errno.ENOMEM), ids=lambda code: errno.errorcode[code]
)
FAILED_WRITES = 3


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    """Runs each test on both event loops."""
    return "asyncio", {"use_uvloop": request.param}


@each_temporary_error
async def test_writing_a_response_is_retried_after_a_lack_of_memory(code: int) -> None:
    """Guards against closing the connection, which would lose the response of a request that was served."""
    faults = SocketFaults()
    with faults.installed():
        async with run_edge({"a": [respond_ok]}) as rig:
            faults.add("send", code, from_port(rig.port), times=FAILED_WRITES)
            assert (await rig.call("notice"))[0] == 200
            assert faults.failure_counts["send"] == FAILED_WRITES
            assert (await rig.call("notice"))[0] == 200
            assert rig.pool.connections_opened == 1


@each_temporary_error
async def test_a_client_that_leaves_while_its_response_waits_for_memory_causes_no_fault(code: int) -> None:
    """Each write fails until the client has left; afterwards the edge serves the next request."""
    faults = SocketFaults()
    with faults.installed():
        async with run_edge({"a": [respond_ok]}) as rig:
            faults.add("send", code, from_port(rig.port))
            with anyio.move_on_after(0.2):
                await rig.call("notice")
            faults.clear()
            assert (await rig.call("notice"))[0] == 200
            assert not any(kind == "fault" for kind, _ in rig.dispatcher.counts)
