"""What a runner's socket does, and what becomes of the three kinds of task: rule 2 from end to end."""

from __future__ import annotations

import anyio
import pytest

from martenlead.events import http
from support.fleet import (
    Part,
    after,
    closes,
    error,
    fleet,
    full,
    missing,
    raw,
    satisfied,
    silent,
    until,
)

pytestmark = pytest.mark.anyio
CUT = raw(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf", end=True)
GARBAGE = raw(b"\x00\x01 no HTTP at all\r\n\r\n")
ENDLESS = raw(b"HTTP/1.1 200 OK\r\n" + b"x: " + b"y" * 100_000)
BOTH_LENGTHS = raw(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n")
FAILED = (b"martenlead-load-failure", b"corrupt")


def load_failed(status: int, name: bytes) -> Part:
    headers = [
        (b"martenlead-never-ran", b"1"),
        (b"martenlead-copy", b"load-failed"),
        (b"martenlead-load-failure", name),
    ]
    return raw(http.response(status, headers))


# the first hand-off meets the part, those after it are satisfied: statuses of the idempotent, the
# deduplicated and the unrepeatable task, and how many hand-offs each had
TABLE: dict[str, tuple[Part, str]] = {
    "turns away, never ran": (full, "200/2 200/2 200/2"),
    "has no copy, never ran": (missing, "200/2 200/2 200/2"),
    "load failed, the vault away": (load_failed(404, b"vault-away"), "200/2 200/2 200/2"),
    "load failed, no room": (load_failed(503, b"no-room"), "200/2 200/2 200/2"),
    "load failed, and no word on running": (raw(http.response(404, [FAILED])), "200/2 200/2 502/1"),
    "503 without a word on running": (raw(http.response(503, [])), "200/2 200/2 502/1"),
    "fails": (error, "200/2 200/2 502/1"),
    "closes before an answer": (closes, "200/2 200/2 502/1"),
    "cuts its answer": (CUT, "200/2 200/2 502/1"),
    "answers garbage": (GARBAGE, "200/2 200/2 502/1"),
    "answers an endless header": (ENDLESS, "200/2 200/2 502/1"),
    "answers with both lengths": (BOTH_LENGTHS, "200/2 200/2 502/1"),
    "never answers": (silent, "503/1 504/1 504/1"),
}


@pytest.mark.parametrize("what", TABLE)
async def test_each_end_of_a_hand_off(what: str) -> None:
    part, expected = TABLE[what]
    seen = []
    for kind in ("estimate", "post", "notice"):
        async with fleet() as f:
            f.first = [part]
            status, _ = await f.call(kind, left=700)
            seen.append(f"{status}/{len(f.arrivals)}")
    assert " ".join(seen) == expected


async def test_a_runner_that_is_down_proves_that_nothing_ran() -> None:
    for kind in ("estimate", "post", "notice"):
        async with fleet({"a": [satisfied], "b": [satisfied]}) as f:
            await f.call(ident="where")
            home = f.arrivals[0][1]
            await f.runners[home].listener.aclose()
            await f.dispatcher.workers[home].connections.pool.close()
            await anyio.sleep(0.02)
            status, told = await f.call(kind)
            # its home holds the copy, so the module loads nowhere else; that it may come again is the proof
            assert (status, told["final"], told["hand_offs"]) == (503, "turned back", 1)
            assert len(f.arrivals) == 1


async def test_a_pooled_connection_closed_while_idle_is_not_written_on() -> None:
    async def answers_and_closes(runner, stream, message):  # type: ignore[no-untyped-def]
        await satisfied(runner, stream, message)
        await stream.aclose()

    async with fleet({"a": [answers_and_closes]}) as f:
        for _ in range(3):
            status, _ = await f.call("notice")
            assert status == 200
            await anyio.sleep(0.1)  # its end has come by then
        assert f.runners["a"].connections == 3


async def test_a_pooled_connection_closed_just_as_it_is_written_may_have_run() -> None:
    async with fleet({"a": [satisfied, closes]}) as f:
        assert (await f.call("notice"))[0] == 200
        assert (await f.call("notice"))[0] == 502
        assert f.runners["a"].connections == 1
        assert f.ran() == ["t1 at a", "t2 at a"]


async def test_two_answers_to_one_hand_off_are_one() -> None:
    one = http.response(200, [(b"ce-id", b"1")], b'{"n": 1}')
    two = http.response(200, [(b"ce-id", b"2")], b'{"n": 2}')
    async with fleet({"a": [raw(one + two), satisfied]}) as f:
        assert await f.call("notice") == (200, {"n": 1})
        assert await f.call("notice") == (200, {})
        assert f.runners["a"].connections == 2  # the second answer went with its connection


async def test_an_answer_after_its_call_off_meets_nobody() -> None:
    async with fleet({"a": [after(1200, raw(http.response(200, [], b'{"late": 1}'))), satisfied]}) as f:
        status, told = await f.call("notice", left=1000)
        assert (status, told["final"]) == (504, "scrapped")
        await anyio.sleep(0.35)
        assert await f.call("notice") == (200, {})


async def test_a_runner_that_never_reads_costs_its_task_only() -> None:
    async def deaf(_runner, stream, _message):  # type: ignore[no-untyped-def]
        await anyio.sleep(1.2)

    async with fleet() as f:
        f.first = [deaf]
        async with anyio.create_task_group() as group:
            statuses = []

            async def call(kind: str, left: float) -> None:
                statuses.append((kind, (await f.call(kind, left=left))[0]))

            group.start_soon(call, "notice", 600)
            await until(lambda: f.arrivals)
            for _ in range(5):
                group.start_soon(call, "estimate", 1500)
        assert sorted(statuses) == [*[("estimate", 200)] * 5, ("notice", 504)]


async def test_a_client_that_leaves_ends_its_task() -> None:
    ends: list[str] = []

    async def waits_for_the_end(_runner, stream, _message):  # type: ignore[no-untyped-def]
        try:
            await stream.receive()
        except anyio.EndOfStream:
            ends.append("closed")
            raise

    async with fleet({"a": [waits_for_the_end]}) as f:
        with anyio.move_on_after(0.3):
            await f.exchange("notice")
        await until(lambda: ends and not f.dispatcher.pending_requests)
        assert ends == ["closed"]
        assert not f.dispatcher.pending_requests
        assert f.dispatcher.counts["final", "left"] == 1


async def test_never_two_out_at_once_where_forbidden() -> None:
    async with fleet({"a": [silent], "b": [silent]}) as f:
        status, _ = await f.call("estimate", left=1900)
        assert status in (503, 504)
        assert f.dispatcher.counts["hand-off", "called off"] + 1 >= len(f.arrivals)


async def test_why_loads_failed_is_counted_by_name_and_odd_names_as_one() -> None:
    names = [b"vault-away", b"no-room", b"corrupt", b"x" * 500, b'no room"}']
    seen = []
    for name in names:
        async with fleet() as f:
            f.first = [load_failed(503 if name == b"no-room" else 404, name)]
            assert (await f.call("estimate", left=700))[0] == 200
            (told,) = [name for kind, name in f.dispatcher.counts if kind == "load failed"]
            (result,) = {name for kind, name in f.dispatcher.counts if kind == "hand-off"} - {"satisfied"}
            seen.append(f"{told}: {result}")
    assert seen == ["vault-away: missing", "no-room: full", "corrupt: missing", *["unknown: missing"] * 2]
