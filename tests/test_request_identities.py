"""An edge runs no request of a class that may not run twice under an identity that it has run already.

Workers, discovery and clients are simulated, on loopback addresses.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import pytest

from martenlead.edge.request_identities import RequestIdentities
from martenlead.events import http
from martenlead.events.cloudevent import Event, InvalidEventError, encode_event
from support.fleet import (
    REQUEST_CLASSES,
    EdgeRig,
    after_delay,
    respond_ok,
    respond_with,
    run_edge,
    until,
)
from support.program_process import run_edge_process

pytestmark = pytest.mark.anyio

SLOW_MS = 300
READY_SECONDS = 20.0
NEVER_RAN = (b"martenlead-never-ran", b"1")
QUEUES = {"queues": {"secret": "the same at all edges"}}
TWO_ZONES = {"a": "east", "b": "west"}
REQUESTS_BEHIND = 200
# an edge keeps identities for no longer than this and a second
LONG_CLASSES = [{**one, "hard_limit_ms": 10_000} for one in REQUEST_CLASSES]


def runs(rig: EdgeRig, ident: str) -> int:
    """Returns how many attempts with this id reached a worker."""
    return sum(request_id == ident for _, _, request_id in rig.arrivals)


async def send_and_leave(rig: EdgeRig, port: int, kind: str, ident: str) -> None:
    """Sends a request and closes the connection once a worker has an attempt for it."""
    attributes = {"specversion": "1.0", "id": ident, "source": "/c", "type": kind, "model": "m"}
    headers, body = encode_event(Event({**attributes, "timeleftms": 1500}, b"{}", "application/json"))
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(http.request(b"POST", b"/", b"edge", headers, body))
        await until(lambda: runs(rig, ident))


@pytest.mark.parametrize("kind", ["notice", "post"])
async def test_an_id_that_comes_again_after_its_client_left_never_runs_twice(
    tmp_path: Path, kind: str
) -> None:
    # Guards against a second run for a client that closed, connected again and sent the same request.
    slow = after_delay(SLOW_MS, respond_ok)
    async with (
        run_edge({"a": [slow], "b": [slow]}, TWO_ZONES) as rig,
        run_edge_process(tmp_path, rig.discovery_port, offerings=LONG_CLASSES) as edge,
    ):
        rig.pool.port = edge.port
        await rig.wait_until_up(READY_SECONDS)
        idents = [f"left{number}" for number in range(4)]
        for ident in idents:
            await send_and_leave(rig, edge.port, kind, ident)
        rig.shared_behaviours.extend([respond_ok] * REQUESTS_BEHIND)
        for _ in range(REQUESTS_BEHIND):  # so many others end in between
            await rig.call(kind)
        statuses = [(await rig.call(kind, ident=ident))[0] for ident in idents * 2]
        assert [runs(rig, ident) for ident in idents] == [1] * len(idents)
        assert set(statuses) == {409}


@pytest.mark.parametrize("settings", [{}, QUEUES], ids=["direct", "queues"])
@pytest.mark.parametrize(
    ("end", "status"),
    [
        (respond_ok, 200),
        (respond_with(500), 502),
        (respond_with(503), 502),
        (after_delay(2000, respond_ok), 504),
    ],
    ids=["succeeded", "error", "unproven rejection", "no response"],
)
async def test_what_may_have_run_is_not_accepted_again(
    settings: dict[str, Any], end: Any, status: int
) -> None:
    # Guards against a second run where the client did not leave, or left as its response came.
    async with run_edge({"a": [end]}, **settings) as rig:
        first = await rig.call("notice", ident="same", left=400)
        again = await rig.call("notice", ident="same", again="true")
        assert [first[0], again[0], again[1]["attribute"], runs(rig, "same")] == [status, 409, "id", 1]
        assert (await rig.call("notice", ident="other", left=400))[0] == status


async def test_an_id_of_an_open_request_is_not_accepted_again() -> None:
    # Guards against two attempts out at once for one identity.
    async with run_edge({"a": [after_delay(SLOW_MS, respond_ok)]}) as rig, anyio.create_task_group() as group:
        statuses: list[int] = []

        async def call() -> None:
            """Sends the same request again and notes the status of the response."""
            statuses.append((await rig.call("notice", ident="same"))[0])

        group.start_soon(call)
        await until(lambda: runs(rig, "same"))
        await call()
        assert statuses == [409]
        await until(lambda: len(statuses) == 2)
        assert statuses == [409, 200] and runs(rig, "same") == 1


@pytest.mark.parametrize("settings", [{}, QUEUES], ids=["direct", "queues"])
async def test_a_rejected_request_may_come_again(settings: dict[str, Any]) -> None:
    # Guards against refusing a repeat that a rejection has promised to be harmless.
    full = respond_with(503, NEVER_RAN)
    async with run_edge({"a": [full, full, respond_ok]}, **settings) as rig:
        statuses = [(await rig.call("notice", ident="same"))[0] for _ in range(3)]
        assert statuses[0] == 503 and statuses[-1] == 200


async def test_a_request_without_an_attempt_may_come_again() -> None:
    # Guards against refusing a request that nobody has run.
    async with run_edge() as rig:
        for name in rig.workers:
            await rig.publish_state(name, "gone")
        await until(lambda: not rig.dispatcher.endpoint_list.endpoints)
        assert (await rig.call("notice", ident="same"))[0] == 503
        await rig.publish_state("a", "up")
        await until(lambda: rig.dispatcher.endpoint_list.endpoints)
        assert (await rig.call("notice", ident="same"))[0] == 200


async def test_repeats_that_change_nothing_are_accepted() -> None:
    # Guards against refusing repeats that every worker drops, or that may run as often as they come.
    keyed = {**REQUEST_CLASSES[1], "name": "keyed", "group": "all"}
    async with run_edge(offerings=[*REQUEST_CLASSES, keyed]) as rig:
        for kind in ("estimate", "keyed"):
            assert [(await rig.call(kind, ident=kind))[0] for _ in range(2)] == [200, 200]


async def test_one_client_cannot_use_up_the_identity_of_another() -> None:
    # Guards against an id that is refused since another source or tenant has used it.
    first = Event({"specversion": "1.0", "id": "1", "source": "/a", "type": "notice"}, b"", None)
    others = [
        Event({**first.attributes, **change}, b"", None)
        for change in ({"source": "/b"}, {"id": "2"}, {"customer": "c"}, {"id": "a/1", "source": "/"})
    ]
    identities = RequestIdentities(lambda: 0, limit=10, retention_ns=1)
    identities.record_close(identities.of(first), may_repeat=False)
    for other in others:
        identities.check(identities.of(other))
    with pytest.raises(InvalidEventError, match="may have run"):
        identities.check(identities.of(first))


async def test_identities_are_bounded_and_none_is_forgotten_early() -> None:
    # Guards against a bound that forgets an identity that may still come again.
    async with run_edge(offerings=LONG_CLASSES) as rig:
        identities = rig.event_listener.identities
        identities.finished.limit = 3
        statuses = [(await rig.call("notice", ident=f"{number}"))[0] for number in range(5)]
        assert statuses == [200, 200, 200, 503, 503]
        assert (await rig.call("notice", ident="0"))[0] == 409
        assert (await rig.call("estimate"))[0] == 200
        identities.finished.retention_ns = 0
        assert (await rig.call("notice", ident="4"))[0] == 200
