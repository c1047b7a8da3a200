"""The edge from its door to its runners: drains, little time, limits, the roster's failures, bad input."""

from __future__ import annotations

import json
import time
from pathlib import Path

import anyio
import pytest

from martenlead.edge.admin import AdminListener
from martenlead.edge.http_dispatcher import create_dispatcher
from martenlead.edge.status_report import report_status
from martenlead.events.http import Message
from martenlead.upstream import endpoints
from support.fleet import after, draining, fleet, raw, satisfied, says, until

pytestmark = pytest.mark.anyio
GRACE = 0.25
HEAD = b"POST / HTTP/1.1\r\nhost: edge\r\n"
CE = b"ce-specversion: 1.0\r\nce-id: 1\r\nce-source: /c\r\nce-type: estimate\r\n"


async def test_a_runner_that_drains_in_mid_load_gets_nothing_new() -> None:
    async with fleet({"a": [after(600, satisfied)], "b": [after(600, satisfied)]}) as f:
        statuses: list[int] = []

        async def call(model: str) -> None:
            statuses.append((await f.call(left=1900, model=model))[0])

        async with anyio.create_task_group() as group:
            for n in range(4):
                group.start_soon(call, f"m{n % 2}")
            await until(lambda: f.arrivals)
            home = f.arrivals[0][1]
            word = await f.say(home, "draining")
            for n in range(30):
                group.start_soon(call, f"m{n % 5}")
                await anyio.sleep(0.02)
        late = [a for a in f.arrivals + f.orders if a[1] == home and a[0] > word + GRACE]
        assert not late
        assert len(statuses) == 34
        assert set(statuses) <= {200, 503}


async def test_a_runner_that_says_itself_that_it_drains_is_believed_at_once() -> None:
    async with fleet({"a": [draining], "b": [draining]}) as f:
        await f.call("notice")
        assert sorted(f.ran()) == ["t1 at a", "t1 at b"]
        status, told = await f.call("notice")
        assert (status, told["final"], len(f.arrivals)) == (503, "turned back", 2)


@pytest.mark.parametrize("left", [0, 1, 20])
async def test_little_time_left_is_answered_at_once_and_sent_nowhere(left: float) -> None:
    async with fleet() as f:
        for kind in ("estimate", "post", "notice"):
            before = anyio.current_time()
            status, told = await f.call(kind, left=left)
            assert (status, told["final"]) == (503, "turned back")
            assert anyio.current_time() - before < 0.25
        assert not f.arrivals


async def test_a_task_with_forty_ms_left_has_its_answer_in_time_or_is_given_up() -> None:
    async with fleet({"a": [after(300, satisfied)]}) as f:
        status, told = await f.call("notice", left=40)
        assert (status, told["final"]) in ((504, "scrapped"), (503, "turned back"))
        assert (status == 504) == bool(f.arrivals)


async def test_an_expiry_time_counts_as_the_relative_time_does() -> None:
    async with fleet() as f:
        status, told = await f.call(left=None, expirytime="2001-01-01T00:00:00Z")
        assert (status, told["final"], f.arrivals) == (503, "turned back", [])


async def test_all_runners_gone_turns_back_with_a_time_to_come_back() -> None:
    async with fleet() as f:
        for name in "ab":
            await f.say(name, "gone")
        await until(lambda: not f.dispatcher.endpoint_list.endpoints)
        exchange = await f.exchange("notice")
        message = exchange.message
        assert message is not None
        assert message.status == 503
        assert message.header(b"retry-after") == b"1"
        assert message.header(b"martenlead-retry-after-ms") == b"250.000"


async def test_an_edge_lives_on_its_last_list_without_a_roster() -> None:
    async with fleet() as f:
        f.roster_scope.cancel()
        await until(lambda: f.dispatcher.counts["roster", "lost"])
        assert [(await f.call("notice"))[0] for _ in range(3)] == [200] * 3
        assert f.dispatcher.counts["roster", "lost"] >= 1


async def test_an_edge_starts_with_the_list_that_it_kept(tmp_path: Path) -> None:
    path = tmp_path / "kept"
    async with fleet() as f:
        lines = [endpoints.Endpoint(id=n, port=r.port, memory_mb=1.0) for n, r in f.runners.items()]
        endpoints.save_cached_endpoints(path, endpoints.CachedEndpoints(3, time.time(), lines))
        # a second edge, whose roster nobody serves
        from martenlead.config.edge import EdgeSettings
        from martenlead.config.load import decode

        settings = {"roster": {"port": 1, "kept": str(path)}, "offerings": [{"name": "x"} | LIMITS]}
        second = create_dispatcher(decode(settings, EdgeSettings, "test"))
        f.group.start_soon(second.run)
        await until(lambda: len(report_status(second).workers) == 2)
        assert [worker.state for worker in report_status(second).workers] == ["up", "up"]


LIMITS = {"soft_limit_ms": 1, "hard_limit_ms": 1, "effect": "idempotent"}


async def test_a_thousand_clients_against_a_limit_of_a_hundred() -> None:
    async with fleet(
        {"a": [after(150, satisfied)], "b": [after(150, satisfied)]},
        limits={"open_tasks": 100, "runner_connections": 200},
    ) as f:
        statuses: list[int] = []
        most = 0

        async def call() -> None:
            nonlocal most
            statuses.append((await f.call(left=1900))[0])
            most = max(most, len(f.dispatcher.pending_requests))

        async with anyio.create_task_group() as group:
            for _ in range(1000):
                group.start_soon(call)
        assert len(statuses) == 1000
        assert set(statuses) == {200, 503}
        assert most <= 100
        assert not f.dispatcher.pending_requests
        assert f.dispatcher.pending_bytes == 0


async def test_a_stalled_loop_widens_the_tick_and_answers_what_it_can() -> None:
    async with fleet({"a": [after(2000, satisfied)]}) as f:
        async with anyio.create_task_group() as group:
            told = []

            async def call() -> None:
                told.append(await f.call("notice", left=1000))

            group.start_soon(call)
            await until(lambda: f.arrivals)
            for _ in range(2):  # one alone says nothing of the next: tests/test_event_loop_lag.py
                time.sleep(0.2)
                await anyio.sleep(0.03)
        assert told[0][0] == 504
        assert f.dispatcher.least_time_left_ns is not None
        assert f.dispatcher.least_time_left_ns > 0
        assert f.dispatcher.event_loop_lag.tick_ns > 20_000_000


async def test_a_clock_that_steps_back_stands_still() -> None:
    async with fleet() as f:
        await f.call()
        # the program has one clock: with two, a wait that is over for one of them is done again and again
        f.dispatcher.policy_boundary._clock = f.dispatcher.decision_loop.clock = lambda: 5
        assert (await f.call("notice", left=1000))[0] in (200, 503)


BAD = {
    "no event": (b"content-type: text/plain\r\n", b"x", 415, "specversion"),
    "a batch": (b"content-type: application/cloudevents-batch+json\r\n", b"[]", 415, "datacontenttype"),
    "no model": (CE, b"", 400, "model"),
    "no id": (CE.replace(b"ce-id: 1\r\n", b"") + b"ce-model: m\r\n", b"", 400, "id"),
    "another version": (CE.replace(b"1.0", b"0.3") + b"ce-model: m\r\n", b"", 400, "specversion"),
    "an unknown offering": (CE.replace(b"estimate", b"nothing") + b"ce-model: m\r\n", b"", 400, "type"),
    "a time left that is no number": (CE + b"ce-model: m\r\nce-timeleftms: soon\r\n", b"", 400, "timeleftms"),
    "a time left that is nan": (CE + b"ce-model: m\r\nce-timeleftms: nan\r\n", b"", 400, "timeleftms"),
    "lanes below one": (CE + b"ce-model: m\r\nce-lanes: 0\r\n", b"", 400, "lanes"),
    "a broken escape": (CE + b"ce-model: %zz\r\n", b"", 400, "model"),
    "an attribute told twice": (CE + b"ce-model: m\r\nce-model: n\r\n", b"", 400, "model"),
    "an upper-case name": (CE + b"ce-my_model: m\r\n", b"", 400, "my_model"),
    "no JSON object": (b"content-type: application/cloudevents+json\r\n", b"[1]", 400, "data"),
}


@pytest.mark.parametrize("what", BAD)
async def test_a_bad_task_is_refused_by_the_attribute(what: str) -> None:
    headers, body, status, attribute = BAD[what]
    async with fleet() as f:
        data = HEAD + headers + b"content-length: %d\r\n\r\n" % len(body) + body
        exchange = await f.pool.exchange(data)
        assert exchange.message is not None
        assert exchange.message.status == status
        assert f'"attribute":"{attribute}"'.encode() in exchange.message.body
        assert (exchange.message.header(b"accept") is not None) == (status == 415)
        assert (await f.call())[0] == 200


UNREADABLE = {
    "HTTP/1.0": (b"POST / HTTP/1.0\r\nhost: e\r\n\r\n", 505),
    "no host": (b"POST / HTTP/1.1\r\n\r\n", 400),
    "both lengths": (HEAD + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    "two lengths": (HEAD + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabc", 400),
    "a body over the limit": (HEAD + b"content-length: 99999999\r\n\r\n", 413),
    "chunks over the limit": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n" + b"fffff\r\n" + b"x" * 0xFFFFF,
        413,
    ),
    "a header over the limit": (HEAD + b"x: " + b"y" * 40_000, 431),
    "a control byte": (HEAD + b"x: a\x01b\r\n\r\n", 400),
    "an unknown method": (b"FROB / HTTP/1.1\r\nhost: e\r\n\r\n", 400),
    "another coding": (HEAD + b"transfer-encoding: gzip\r\n\r\n", 501),
    "no HTTP": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc", 400),
}


@pytest.mark.parametrize("what", UNREADABLE)
async def test_what_cannot_be_framed_is_told_and_closed(what: str) -> None:
    data, status = UNREADABLE[what]
    async with fleet(limits={"body_bytes": 1000}) as f:
        async with await anyio.connect_tcp("127.0.0.1", f.port) as stream:
            await stream.send(data)
            got = b""
            with anyio.fail_after(5), pytest.raises(anyio.EndOfStream):
                while True:
                    got += await stream.receive()
        assert got.startswith(b"HTTP/1.1 %d " % status)
        assert got.count(b"\r\n\r\n") == 1
        assert b"application/problem+json" in got
        assert (await f.call())[0] == 200


async def test_other_paths_and_methods() -> None:
    async with fleet() as f:
        exchange = await f.pool.exchange(b"GET / HTTP/1.1\r\nhost: e\r\n\r\n")
        assert exchange.message is not None
        assert (exchange.message.status, exchange.message.header(b"allow")) == (405, b"POST")
        exchange = await f.pool.exchange(b"POST /else HTTP/1.1\r\nhost: e\r\ncontent-length: 0\r\n\r\n")
        assert exchange.message is not None
        assert exchange.message.status == 404


async def test_pipelined_tasks_are_answered_in_order() -> None:
    slow = after(200, raw(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nslow"))
    fast = raw(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfast")
    async with fleet({"a": [slow, fast]}) as f:
        task = HEAD + CE + b"ce-model: m\r\ncontent-length: 0\r\n\r\n"
        async with await anyio.connect_tcp("127.0.0.1", f.port) as stream:
            await stream.send(
                task + task.replace(b"ce-id: 1", b"ce-id: 2") + b"GET / HTTP/1.1\r\nhost: e\r\n\r\n"
            )
            got = b""
            with anyio.fail_after(5):
                while got.count(b"HTTP/1.1 ") < 3:
                    got += await stream.receive()
        assert got.index(b"slow") < got.index(b"fast") < got.index(b"405 ")
        assert [a[2] for a in f.arrivals] == ["1", "2"]


async def test_a_client_that_waits_for_100_is_told_to_go_on() -> None:
    async with fleet() as f, await anyio.connect_tcp("127.0.0.1", f.port) as stream:
        await stream.send(HEAD + CE + b"ce-model: m\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n")
        with anyio.fail_after(5):
            assert await stream.receive() == b"HTTP/1.1 100 Continue\r\n\r\n"
            await stream.send(b"{}")
            assert (await stream.receive()).startswith(b"HTTP/1.1 200 ")


async def test_a_slow_header_is_timed_out() -> None:
    async with fleet(limits={"slow_ms": 100}) as f, await anyio.connect_tcp("127.0.0.1", f.port) as stream:
        await stream.send(HEAD)
        with anyio.fail_after(5):
            assert (await stream.receive()).startswith(b"HTTP/1.1 408 ")


async def test_attributes_and_data_are_kept_end_to_end() -> None:
    seen = []

    async def echo(_runner, stream, message):  # type: ignore[no-untyped-def]
        seen.extend(message.headers)
        seen.append((b"body", message.body))
        await satisfied(_runner, stream, message)

    async with fleet({"a": [echo]}) as f:
        trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
        await f.call(myextension="Ärger €", traceparent=trace)
        told = dict(seen)
        assert told[b"ce-myextension"] == b"%C3%84rger%20%E2%82%AC"
        assert told[b"ce-traceparent"] == trace.encode()
        assert told[b"body"] == b"{}"
        assert 0 < int(told[b"ce-timeleftms"]) < 1500


async def test_over_a_customers_share_is_429() -> None:
    customers = [{"name": "portal", "quota_per_s": 0.001}, {"name": "desk", "quota_per_s": 1000}]
    never = says(503, (b"martenlead-never-ran", b"1"))
    async with fleet({"a": [never], "b": [never]}, customers=customers, over_share=0.2) as f:
        f.dispatcher.policy_boundary._policy.tenant_shares.requests_per_second[
            f.dispatcher.tenants["portal"]
        ] = 50.0
        statuses = {name: (await f.call(customer=name))[0] for name in ("portal", "desk")}
        assert statuses == {"portal": 429, "desk": 503}
        status, told = await f.call(customer="nobody")
        assert (status, told["attribute"]) == (400, "customer")


async def test_a_fault_in_the_module_costs_one_task_and_leaves_none_unanswered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with fleet({"a": [raw(b"")], "b": [raw(b"")]}) as f:

        def fails(*_: object) -> None:
            raise ZeroDivisionError

        async def call() -> None:
            told.append(await f.call("notice", left=1000))

        told: list[tuple[int, dict[str, object]]] = []
        async with anyio.create_task_group() as group:
            group.start_soon(call)
            await until(lambda: f.arrivals)
            monkeypatch.setattr(f.dispatcher.policy_boundary._policy.repeats, "may_reject", fails)
            monkeypatch.setattr(f.dispatcher.policy_boundary, "may_reject", lambda _task: False)
        assert [(status, answer["final"]) for status, answer in told] == [(504, "scrapped")]
        assert f.dispatcher.counts["fault", "ZeroDivisionError"] == 1
        monkeypatch.undo()
        f.runners["a"].parts = f.runners["b"].parts = [satisfied]
        assert (await f.call("estimate", model="other"))[0] == 200


async def test_a_runner_that_resets_each_connection_at_once_is_unreached() -> None:
    async with fleet() as f:
        for runner in f.runners.values():
            runner.resets = True
        statuses = [(await f.call("estimate", left=500))[0] for _ in range(20)]
        assert set(statuses) <= {200, 502, 503}
        assert not any(kind == "fault" for kind, _ in f.dispatcher.counts)


async def test_a_roster_that_talks_nonsense_is_left_and_asked_again() -> None:
    async with fleet() as f:
        for nonsense in (
            b"{}\n",
            b"no JSON\n",
            b'{"version": 9, "runners": [{"id": "a", "state": "odd"}]}\n',
        ):
            for send in f._news:
                await send.send(nonsense)
            await anyio.sleep(0.02)
        assert (await f.call())[0] == 200
        assert f.dispatcher.counts["roster", "lost"] >= 1


async def test_all_connections_to_a_runner_busy_is_not_sent_and_harmless() -> None:
    async with fleet({"a": [after(300, satisfied)]}, limits={"runner_connections": 1}) as f:
        told: list[tuple[int, dict[str, object]]] = []

        async def call() -> None:
            told.append(await f.call("notice"))

        async with anyio.create_task_group() as group:
            for _ in range(3):
                group.start_soon(call)
        assert sorted(status for status, _ in told) == [200, 503, 503]
        assert f.dispatcher.counts["hand-off", "not sent"] >= 2
        assert len(f.arrivals) == 1


async def test_reports_come_with_answers_and_by_probe() -> None:
    report = (b"martenlead-report", b"busy=0.5,x1=3,odd,=1,y=z")
    async with fleet({"a": [says(200, report)]}, probes={"every_ms": 20}) as f:
        f.runners["a"].order = says(200, (b"martenlead-report", b"busy=0.75"), body=b"ready")
        await f.call()
        box = f.dispatcher.workers["a"]
        assert box.load_report["x1"] == 3.0
        with anyio.fail_after(5):
            while box.load_report["busy"] != 0.75:
                await anyio.sleep(0.01)
        assert ("a", "/v2/health/ready") in [(name, target) for _, name, target in f.orders]


async def test_state_and_metrics_can_be_read() -> None:
    async with fleet() as f:
        await f.call()
        admin = AdminListener(f.dispatcher)
        bodies = []
        for target in (b"/state", b"/metrics"):
            reply = await admin.handle(Message(method=b"GET", target=target), 0)
            assert isinstance(reply.body, bytes)
            bodies.append(reply.body)
        assert json.loads(bodies[0])["counts"]["final/satisfied"] == 1
        assert b'martenlead_total{kind="hand-off",name="satisfied"} 1.0' in bodies[1]
        assert (await admin.handle(Message(method=b"GET", target=b"/x"), 0)).status == 404


async def test_a_line_a_decision_on_request(capsys: pytest.CaptureFixture[str]) -> None:
    for on in (False, True):
        async with fleet({"a": [satisfied]}, log={"decisions": on}) as f:
            await f.call(ident="seen")
        lines = [line for line in capsys.readouterr().out.splitlines() if "seen" in line]
        assert [" ".join(line.split()[2:]) for line in lines] == (
            [
                "[info ] decision_made action=Attempt edge=edge request=seen worker=a",
                "[info ] attempt_ended edge=edge reason= request=seen result=satisfied worker=a",
            ]
            if on
            else []
        )


async def test_what_is_due_is_done_before_all_that_is_ready() -> None:
    async with fleet({"a": [raw(b"")]}) as f, anyio.create_task_group() as group:
        group.start_soon(lambda: f.call("notice", left=1000))
        await until(lambda: f.arrivals)
        (held,) = f.dispatcher.pending_requests.values()
        time.sleep(1.05)
        assert held.outcome is None
        f.dispatcher._run_due()  # as after any call of the border
        assert held.outcome is not None


async def test_a_fault_as_a_task_is_taken_leaves_nothing_held(monkeypatch: pytest.MonkeyPatch) -> None:
    async with fleet() as f:

        def fails(*_: object) -> None:
            raise ZeroDivisionError

        monkeypatch.setattr(f.dispatcher.policy_boundary._policy.placement, "choose_worker", fails)
        status, told = await f.call("notice")
        assert (status, told["final"], f.arrivals) == (503, "turned back", [])
        assert not f.dispatcher.pending_requests
        assert f.dispatcher.pending_bytes == 0
        monkeypatch.undo()
        assert (await f.call("notice", model="other"))[0] == 200
