"""How failures of workers end requests: one that may have run is retried only if its effect allows that."""

from __future__ import annotations

import anyio
import pytest

from martenlead.events import http
from support.fleet import (
    Behaviour,
    after_delay,
    close_connection,
    reject_at_capacity,
    reject_not_found,
    respond_error,
    respond_ok,
    run_edge,
    send_bytes,
    silent,
    until,
)

pytestmark = pytest.mark.anyio
TRUNCATED = send_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf", end=True)
NOT_HTTP = send_bytes(b"\x00\x01 no HTTP at all\r\n\r\n")
ENDLESS_HEADER = send_bytes(b"HTTP/1.1 200 OK\r\n" + b"x: " + b"y" * 100_000)
BOTH_LENGTHS = send_bytes(
    b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
)
LOAD_FAILURE_HEADER = (b"martenlead-load-failure", b"corrupt")


def respond_load_failed(status: int, reason: bytes) -> Behaviour:
    """Returns a worker's response that the function could not be loaded, with the reason."""
    headers = [
        (b"martenlead-never-ran", b"1"),
        (b"martenlead-copy", b"load-failed"),
        (b"martenlead-load-failure", reason),
    ]
    return send_bytes(http.response(status, headers))


# What the worker does at the first attempt; further attempts succeed. Expected are the status and the number
# of attempts of the idempotent, the deduplicated and the unrepeatable request.
CASES: dict[str, tuple[Behaviour, str]] = {
    "at capacity, never ran": (reject_at_capacity, "200/2 200/2 200/2"),
    "no replica, never ran": (reject_not_found, "200/2 200/2 200/2"),
    "load failed, artifact store unavailable": (respond_load_failed(404, b"vault-away"), "200/2 200/2 200/2"),
    "load failed, no room": (respond_load_failed(503, b"no-room"), "200/2 200/2 200/2"),
    "load failed, may have run": (send_bytes(http.response(404, [LOAD_FAILURE_HEADER])), "200/2 200/2 502/1"),
    "503, may have run": (send_bytes(http.response(503, [])), "200/2 200/2 502/1"),
    "error response": (respond_error, "200/2 200/2 502/1"),
    "closed before a response": (close_connection, "200/2 200/2 502/1"),
    "truncated response": (TRUNCATED, "200/2 200/2 502/1"),
    "response is not HTTP": (NOT_HTTP, "200/2 200/2 502/1"),
    "endless response header": (ENDLESS_HEADER, "200/2 200/2 502/1"),
    "content-length and chunked": (BOTH_LENGTHS, "200/2 200/2 502/1"),
    "no response": (silent, "503/1 504/1 504/1"),
}


@pytest.mark.parametrize("case", CASES)
async def test_a_failed_attempt_is_retried_only_if_that_is_safe(case: str) -> None:
    """Guards against a second run of a request that must not be repeated."""
    response, expected = CASES[case]
    results = []
    for request_class in ("estimate", "post", "notice"):
        async with run_edge() as rig:
            rig.shared_behaviours = [response]
            status, _ = await rig.call(request_class, left=700)
            results.append(f"{status}/{len(rig.arrivals)}")
    assert " ".join(results) == expected


async def test_a_refused_connection_counts_as_not_run() -> None:
    """The home worker has stopped listening, so the attempt cannot have run."""
    for request_class in ("estimate", "post", "notice"):
        async with run_edge({"a": [respond_ok], "b": [respond_ok]}) as rig:
            await rig.call(ident="where")
            home_worker = rig.arrivals[0][1]
            await rig.workers[home_worker].listener.aclose()
            await rig.dispatcher.workers[home_worker].connections.pool.close()
            await anyio.sleep(0.02)
            status, problem = await rig.call(request_class)
            # The home worker has the replica, so no other worker loads one. That the client may retry shows
            # that the attempt counts as not run.
            assert (status, problem["final"], problem["hand_offs"]) == (503, "turned back", 1)
            assert len(rig.arrivals) == 1


async def test_a_pooled_connection_closed_while_idle_is_not_used_again() -> None:
    """Guards against attempts that fail because the worker has closed an idle connection."""

    async def respond_and_close(worker, stream, message):  # type: ignore[no-untyped-def]
        """Responds and closes the connection without announcing it."""
        await respond_ok(worker, stream, message)
        await stream.aclose()

    async with run_edge({"a": [respond_and_close]}) as rig:
        for _ in range(3):
            status, _ = await rig.call("notice")
            assert status == 200
            await anyio.sleep(0.1)  # long enough for the edge to read the end of the connection
        assert rig.workers["a"].connection_count == 3


async def test_an_attempt_on_a_pooled_connection_that_closes_meanwhile_may_have_run() -> None:
    """The worker reads the second request and closes the connection without a response."""
    async with run_edge({"a": [respond_ok, close_connection]}) as rig:
        assert (await rig.call("notice"))[0] == 200
        assert (await rig.call("notice"))[0] == 502
        assert rig.workers["a"].connection_count == 1
        assert rig.received() == ["t1 at a", "t2 at a"]


async def test_a_second_response_to_one_attempt_is_discarded() -> None:
    """Guards against giving the second response to the next request of the connection."""
    first = http.response(200, [(b"ce-id", b"1")], b'{"n": 1}')
    second = http.response(200, [(b"ce-id", b"2")], b'{"n": 2}')
    async with run_edge({"a": [send_bytes(first + second), respond_ok]}) as rig:
        assert await rig.call("notice") == (200, {"n": 1})
        assert await rig.call("notice") == (200, {})
        assert rig.workers["a"].connection_count == 2  # the second response closed its connection


async def test_a_response_to_a_cancelled_attempt_is_discarded() -> None:
    """Guards against giving a late response to the next request."""
    async with run_edge(
        {"a": [after_delay(1200, send_bytes(http.response(200, [], b'{"late": 1}'))), respond_ok]}
    ) as rig:
        status, problem = await rig.call("notice", left=1000)
        assert (status, problem["final"]) == (504, "scrapped")
        await anyio.sleep(0.35)
        assert await rig.call("notice") == (200, {})


async def test_a_worker_that_does_not_respond_fails_only_its_own_request() -> None:
    """Other requests, of another class, are served meanwhile."""

    async def ignore_request(_worker, stream, _message):  # type: ignore[no-untyped-def]
        """Sleeps for 1.2 s instead of reading or responding."""
        await anyio.sleep(1.2)

    async with run_edge() as rig:
        rig.shared_behaviours = [ignore_request]
        async with anyio.create_task_group() as group:
            statuses = []

            async def call(request_class: str, left: float) -> None:
                """Records the request class and the status of one request."""
                statuses.append((request_class, (await rig.call(request_class, left=left))[0]))

            group.start_soon(call, "notice", 600)
            await until(lambda: rig.arrivals)
            for _ in range(5):
                group.start_soon(call, "estimate", 1500)
        assert sorted(statuses) == [*[("estimate", 200)] * 5, ("notice", 504)]


async def test_a_client_that_leaves_ends_its_request() -> None:
    """The attempt is cancelled, which closes the connection to the worker."""
    ends: list[str] = []

    async def wait_for_close(_worker, stream, _message):  # type: ignore[no-untyped-def]
        """Does not respond; notes that the edge closes the connection."""
        try:
            await stream.receive()
        except anyio.EndOfStream:
            ends.append("closed")
            raise

    async with run_edge({"a": [wait_for_close]}) as rig:
        with anyio.move_on_after(0.3):
            await rig.exchange("notice")
        await until(lambda: ends and not rig.dispatcher.pending_requests)
        assert ends == ["closed"]
        assert not rig.dispatcher.pending_requests
        assert rig.dispatcher.counts["final", "left"] == 1


async def test_a_further_attempt_is_sent_only_after_the_previous_one_is_cancelled() -> None:
    """No worker responds, so each attempt but the last has to be cancelled."""
    async with run_edge({"a": [silent], "b": [silent]}) as rig:
        status, _ = await rig.call("estimate", left=1900)
        assert status in (503, 504)
        assert rig.dispatcher.counts["hand-off", "called off"] + 1 >= len(rig.arrivals)


async def test_load_failures_are_counted_by_reason_and_unknown_reasons_as_one() -> None:
    """Guards against metrics whose labels are any text that a worker sends."""
    reasons = [b"vault-away", b"no-room", b"corrupt", b"x" * 500, b'no room"}']
    results = []
    for reason in reasons:
        async with run_edge() as rig:
            rig.shared_behaviours = [respond_load_failed(503 if reason == b"no-room" else 404, reason)]
            assert (await rig.call("estimate", left=700))[0] == 200
            (counted,) = [name for kind, name in rig.dispatcher.counts if kind == "load failed"]
            (result,) = {name for kind, name in rig.dispatcher.counts if kind == "hand-off"} - {"satisfied"}
            results.append(f"{counted}: {result}")
    assert results == ["vault-away: missing", "no-room: full", "corrupt: missing", *["unknown: missing"] * 2]
