"""The edge from its listener to its workers: drains, deadlines, limits, loss of discovery, invalid input."""

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
from support.fleet import after_delay, reject_draining, respond_ok, respond_with, run_edge, send_bytes, until

pytestmark = pytest.mark.anyio
DRAIN_NOTICE_SECONDS = 0.25
REQUEST_HEAD = b"POST / HTTP/1.1\r\nhost: edge\r\n"
EVENT_HEADERS = b"ce-specversion: 1.0\r\nce-id: 1\r\nce-source: /c\r\nce-type: estimate\r\n"


async def test_a_worker_that_drains_under_load_gets_nothing_new() -> None:
    """Discovery reports the drain of a home worker while requests for several functions arrive."""
    async with run_edge({"a": [after_delay(600, respond_ok)], "b": [after_delay(600, respond_ok)]}) as rig:
        statuses: list[int] = []

        async def call(function: str) -> None:
            """Records the status of one request."""
            statuses.append((await rig.call(left=1900, model=function))[0])

        async with anyio.create_task_group() as group:
            for number in range(4):
                group.start_soon(call, f"m{number % 2}")
            await until(lambda: rig.arrivals)
            home_worker = rig.arrivals[0][1]
            announced_at = await rig.publish_state(home_worker, "draining")
            for number in range(30):
                group.start_soon(call, f"m{number % 5}")
                await anyio.sleep(0.02)
        late_arrivals = [
            arrival
            for arrival in rig.arrivals + rig.load_requests
            if arrival[1] == home_worker and arrival[0] > announced_at + DRAIN_NOTICE_SECONDS
        ]
        assert not late_arrivals
        assert len(statuses) == 34
        assert set(statuses) <= {200, 503}


async def test_a_worker_that_announces_its_own_drain_gets_no_further_attempt() -> None:
    """Guards against waiting for discovery after a worker has responded that it is draining."""
    async with run_edge({"a": [reject_draining], "b": [reject_draining]}) as rig:
        await rig.call("notice")
        assert sorted(rig.received()) == ["t1 at a", "t1 at b"]
        status, problem = await rig.call("notice")
        assert (status, problem["final"], len(rig.arrivals)) == (503, "turned back", 2)


@pytest.mark.parametrize("left", [0, 1, 20])
async def test_a_request_with_too_little_time_left_is_rejected_at_once_and_not_sent(left: float) -> None:
    """Guards against attempts that cannot be answered before the deadline."""
    async with run_edge() as rig:
        for request_class in ("estimate", "post", "notice"):
            before = anyio.current_time()
            status, problem = await rig.call(request_class, left=left)
            assert (status, problem["final"]) == (503, "turned back")
            assert anyio.current_time() - before < 0.25
        assert not rig.arrivals


async def test_a_request_with_forty_ms_left_fails_if_it_was_sent_and_else_is_rejected() -> None:
    """The worker takes longer than the time left, so only a request that was not sent may be retried."""
    async with run_edge({"a": [after_delay(300, respond_ok)]}) as rig:
        status, problem = await rig.call("notice", left=40)
        assert (status, problem["final"]) in ((504, "scrapped"), (503, "turned back"))
        assert (status == 504) == bool(rig.arrivals)


async def test_an_expiry_time_limits_a_request_as_the_time_left_does() -> None:
    """The event has the attribute `expirytime`, in the past, instead of `timeleftms`."""
    async with run_edge() as rig:
        status, problem = await rig.call(left=None, expirytime="2001-01-01T00:00:00Z")
        assert (status, problem["final"], rig.arrivals) == (503, "turned back", [])


async def test_without_workers_a_request_is_rejected_with_a_retry_after() -> None:
    """Discovery removes all workers one after the other."""
    async with run_edge() as rig:
        for name in "ab":
            await rig.publish_state(name, "gone")
        await until(lambda: not rig.dispatcher.endpoint_list.endpoints)
        exchange = await rig.exchange("notice")
        message = exchange.message
        assert message is not None
        assert message.status == 503
        assert message.header(b"retry-after") == b"1"
        assert message.header(b"martenlead-retry-after-ms") == b"250.000"


async def test_an_edge_serves_with_its_last_endpoint_list_without_discovery() -> None:
    """Guards against dropping the endpoint list when the stream from discovery breaks."""
    async with run_edge() as rig:
        rig.discovery_scope.cancel()
        await until(lambda: rig.dispatcher.counts["roster", "lost"])
        assert [(await rig.call("notice"))[0] for _ in range(3)] == [200] * 3
        assert rig.dispatcher.counts["roster", "lost"] >= 1


async def test_an_edge_starts_with_its_cached_endpoint_list(tmp_path: Path) -> None:
    """The list was saved by an earlier run, and discovery cannot be reached."""
    path = tmp_path / "kept"
    async with run_edge() as rig:
        lines = [
            endpoints.Endpoint(id=name, port=stub.port, memory_mb=1.0) for name, stub in rig.workers.items()
        ]
        endpoints.save_cached_endpoints(path, endpoints.CachedEndpoints(3, time.time(), lines))
        # A second edge, which cannot reach discovery.
        from martenlead.config.edge import EdgeSettings
        from martenlead.config.load import decode

        settings = {"roster": {"port": 1, "kept": str(path)}, "offerings": [{"name": "x"} | CLASS_LIMITS]}
        second = create_dispatcher(decode(settings, EdgeSettings, "test"))
        rig.task_group.start_soon(second.run)
        await until(lambda: len(report_status(second).workers) == 2)
        assert [worker.state for worker in report_status(second).workers] == ["up", "up"]


CLASS_LIMITS = {"soft_limit_ms": 1, "hard_limit_ms": 1, "effect": "idempotent"}


async def test_a_thousand_clients_stay_within_a_limit_of_a_hundred_requests() -> None:
    """Requests over the limit are rejected; afterwards no request or byte counts as pending."""
    async with run_edge(
        {"a": [after_delay(150, respond_ok)], "b": [after_delay(150, respond_ok)]},
        limits={"open_tasks": 100, "runner_connections": 200},
    ) as rig:
        statuses: list[int] = []
        max_pending = 0

        async def call() -> None:
            """Sends one request and notes how many are pending after it."""
            nonlocal max_pending
            statuses.append((await rig.call(left=1900))[0])
            max_pending = max(max_pending, len(rig.dispatcher.pending_requests))

        async with anyio.create_task_group() as group:
            for _ in range(1000):
                group.start_soon(call)
        assert len(statuses) == 1000
        assert set(statuses) == {200, 503}
        assert max_pending <= 100
        assert not rig.dispatcher.pending_requests
        assert rig.dispatcher.pending_bytes == 0


async def test_a_stalled_loop_widens_the_tick_and_answers_what_it_can() -> None:
    """Stalls the event loop twice while a request waits for a slow worker."""
    async with run_edge({"a": [after_delay(2000, respond_ok)]}) as rig:
        async with anyio.create_task_group() as group:
            answers = []

            async def call() -> None:
                """Records the answer to one request."""
                answers.append(await rig.call("notice", left=1000))

            group.start_soon(call)
            await until(lambda: rig.arrivals)
            for _ in range(2):  # a single stall does not count: tests/test_event_loop_lag.py
                time.sleep(0.2)
                await anyio.sleep(0.03)
        assert answers[0][0] == 504
        assert rig.dispatcher.least_time_left_ns is not None
        assert rig.dispatcher.least_time_left_ns > 0
        assert rig.dispatcher.event_loop_lag.tick_ns > 20_000_000


async def test_a_request_is_answered_although_the_clock_steps_back() -> None:
    """Guards against timers that never end because the clock jumps to an earlier time."""
    async with run_edge() as rig:
        await rig.call()
        # Both use the same clock: with different ones, a timer that is due by one of them only would be run
        # again and again.
        rig.dispatcher.policy_boundary._clock = rig.dispatcher.decision_loop.clock = lambda: 5
        assert (await rig.call("notice", left=1000))[0] in (200, 503)


INVALID_EVENTS = {
    "not an event": (b"content-type: text/plain\r\n", b"x", 415, "specversion"),
    "a batch": (b"content-type: application/cloudevents-batch+json\r\n", b"[]", 415, "datacontenttype"),
    "no model": (EVENT_HEADERS, b"", 400, "model"),
    "no id": (EVENT_HEADERS.replace(b"ce-id: 1\r\n", b"") + b"ce-model: m\r\n", b"", 400, "id"),
    "another version": (EVENT_HEADERS.replace(b"1.0", b"0.3") + b"ce-model: m\r\n", b"", 400, "specversion"),
    "an unknown request class": (
        EVENT_HEADERS.replace(b"estimate", b"nothing") + b"ce-model: m\r\n",
        b"",
        400,
        "type",
    ),
    "a time left that is no number": (
        EVENT_HEADERS + b"ce-model: m\r\nce-timeleftms: soon\r\n",
        b"",
        400,
        "timeleftms",
    ),
    "a time left that is NaN": (
        EVENT_HEADERS + b"ce-model: m\r\nce-timeleftms: nan\r\n",
        b"",
        400,
        "timeleftms",
    ),
    "lanes below one": (EVENT_HEADERS + b"ce-model: m\r\nce-lanes: 0\r\n", b"", 400, "lanes"),
    "a broken escape": (EVENT_HEADERS + b"ce-model: %zz\r\n", b"", 400, "model"),
    "a repeated attribute": (EVENT_HEADERS + b"ce-model: m\r\nce-model: n\r\n", b"", 400, "model"),
    "an upper-case name": (EVENT_HEADERS + b"ce-my_model: m\r\n", b"", 400, "my_model"),
    "no JSON object": (b"content-type: application/cloudevents+json\r\n", b"[1]", 400, "data"),
}


@pytest.mark.parametrize("case", INVALID_EVENTS)
async def test_an_invalid_event_is_refused_with_the_name_of_the_attribute(case: str) -> None:
    """The connection remains usable after each invalid event."""
    headers, body, status, attribute = INVALID_EVENTS[case]
    async with run_edge() as rig:
        data = REQUEST_HEAD + headers + b"content-length: %d\r\n\r\n" % len(body) + body
        exchange = await rig.pool.exchange(data)
        assert exchange.message is not None
        assert exchange.message.status == status
        assert f'"attribute":"{attribute}"'.encode() in exchange.message.body
        assert (exchange.message.header(b"accept") is not None) == (status == 415)
        assert (await rig.call())[0] == 200


UNREADABLE_MESSAGES = {
    "HTTP/1.0": (b"POST / HTTP/1.0\r\nhost: e\r\n\r\n", 505),
    "no host": (b"POST / HTTP/1.1\r\n\r\n", 400),
    "both lengths": (REQUEST_HEAD + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    "two lengths": (REQUEST_HEAD + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabc", 400),
    "a body over the limit": (REQUEST_HEAD + b"content-length: 99999999\r\n\r\n", 413),
    "chunks over the limit": (
        REQUEST_HEAD + b"transfer-encoding: chunked\r\n\r\n" + b"fffff\r\n" + b"x" * 0xFFFFF,
        413,
    ),
    "a header over the limit": (REQUEST_HEAD + b"x: " + b"y" * 40_000, 431),
    "a control byte": (REQUEST_HEAD + b"x: a\x01b\r\n\r\n", 400),
    "an unknown method": (b"FROB / HTTP/1.1\r\nhost: e\r\n\r\n", 400),
    "an unsupported transfer coding": (REQUEST_HEAD + b"transfer-encoding: gzip\r\n\r\n", 501),
    "not HTTP": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc", 400),
}


@pytest.mark.parametrize("case", UNREADABLE_MESSAGES)
async def test_an_unreadable_message_gets_an_error_and_closes_the_connection(case: str) -> None:
    """After such a message the start of the next one is unknown."""
    data, status = UNREADABLE_MESSAGES[case]
    async with run_edge(limits={"body_bytes": 1000}) as rig:
        async with await anyio.connect_tcp("127.0.0.1", rig.port) as stream:
            await stream.send(data)
            received = b""
            with anyio.fail_after(5), pytest.raises(anyio.EndOfStream):
                while True:
                    received += await stream.receive()
        assert received.startswith(b"HTTP/1.1 %d " % status)
        assert received.count(b"\r\n\r\n") == 1
        assert b"application/problem+json" in received
        assert (await rig.call())[0] == 200


async def test_other_paths_and_methods_are_refused() -> None:
    """Requests are accepted by POST to / only."""
    async with run_edge() as rig:
        exchange = await rig.pool.exchange(b"GET / HTTP/1.1\r\nhost: e\r\n\r\n")
        assert exchange.message is not None
        assert (exchange.message.status, exchange.message.header(b"allow")) == (405, b"POST")
        exchange = await rig.pool.exchange(b"POST /else HTTP/1.1\r\nhost: e\r\ncontent-length: 0\r\n\r\n")
        assert exchange.message is not None
        assert exchange.message.status == 404


async def test_pipelined_requests_are_answered_in_sequence() -> None:
    """The first of the requests on one connection takes the longest."""
    slow = after_delay(200, send_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nslow"))
    fast = send_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfast")
    async with run_edge({"a": [slow, fast]}) as rig:
        request = REQUEST_HEAD + EVENT_HEADERS + b"ce-model: m\r\ncontent-length: 0\r\n\r\n"
        async with await anyio.connect_tcp("127.0.0.1", rig.port) as stream:
            await stream.send(
                request + request.replace(b"ce-id: 1", b"ce-id: 2") + b"GET / HTTP/1.1\r\nhost: e\r\n\r\n"
            )
            received = b""
            with anyio.fail_after(5):
                while received.count(b"HTTP/1.1 ") < 3:
                    received += await stream.receive()
        assert received.index(b"slow") < received.index(b"fast") < received.index(b"405 ")
        assert [arrival[2] for arrival in rig.arrivals] == ["1", "2"]


async def test_expect_100_continue_is_answered_before_the_body() -> None:
    """The client sends the body only after the interim response."""
    async with run_edge() as rig, await anyio.connect_tcp("127.0.0.1", rig.port) as stream:
        await stream.send(
            REQUEST_HEAD + EVENT_HEADERS + b"ce-model: m\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n"
        )
        with anyio.fail_after(5):
            assert await stream.receive() == b"HTTP/1.1 100 Continue\r\n\r\n"
            await stream.send(b"{}")
            assert (await stream.receive()).startswith(b"HTTP/1.1 200 ")


async def test_a_slow_header_gets_408() -> None:
    """The client sends only a part of the header."""
    async with (
        run_edge(limits={"slow_ms": 100}) as rig,
        await anyio.connect_tcp("127.0.0.1", rig.port) as stream,
    ):
        await stream.send(REQUEST_HEAD)
        with anyio.fail_after(5):
            assert (await stream.receive()).startswith(b"HTTP/1.1 408 ")


async def test_attributes_and_data_are_kept_end_to_end() -> None:
    """Guards against the loss of extension attributes, of non-ASCII text and of the body."""
    received = []

    async def echo(_worker, stream, message):  # type: ignore[no-untyped-def]
        """Notes the received headers and body, and responds."""
        received.extend(message.headers)
        received.append((b"body", message.body))
        await respond_ok(_worker, stream, message)

    async with run_edge({"a": [echo]}) as rig:
        trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
        await rig.call(myextension="Ärger €", traceparent=trace)
        headers = dict(received)
        assert headers[b"ce-myextension"] == b"%C3%84rger%20%E2%82%AC"
        assert headers[b"ce-traceparent"] == trace.encode()
        assert headers[b"body"] == b"{}"
        assert 0 < int(headers[b"ce-timeleftms"]) < 1500


async def test_a_request_over_its_tenants_share_gets_429() -> None:
    """The workers are at capacity; only one of the tenants is over its share."""
    tenants = [{"name": "portal", "quota_per_s": 0.001}, {"name": "desk", "quota_per_s": 1000}]
    at_capacity = respond_with(503, (b"martenlead-never-ran", b"1"))
    async with run_edge({"a": [at_capacity], "b": [at_capacity]}, customers=tenants, over_share=0.2) as rig:
        rig.dispatcher.policy_boundary._policy.tenant_shares.requests_per_second[
            rig.dispatcher.tenants["portal"]
        ] = 50.0
        statuses = {name: (await rig.call(customer=name))[0] for name in ("portal", "desk")}
        assert statuses == {"portal": 429, "desk": 503}
        status, problem = await rig.call(customer="nobody")
        assert (status, problem["attribute"]) == (400, "customer")


async def test_an_exception_in_the_policy_fails_one_request_and_leaves_none_unanswered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The exception occurs while the request waits for a worker; the request ends at its deadline."""
    async with run_edge({"a": [send_bytes(b"")], "b": [send_bytes(b"")]}) as rig:

        def raise_error(*_: object) -> None:
            """Fails in place of a method of the policy."""
            raise ZeroDivisionError

        async def call() -> None:
            """Records the answer to one request."""
            answers.append(await rig.call("notice", left=1000))

        answers: list[tuple[int, dict[str, object]]] = []
        async with anyio.create_task_group() as group:
            group.start_soon(call)
            await until(lambda: rig.arrivals)
            monkeypatch.setattr(rig.dispatcher.policy_boundary._policy.repeats, "may_reject", raise_error)
            monkeypatch.setattr(rig.dispatcher.policy_boundary, "may_reject", lambda _request: False)
        assert [(status, answer["final"]) for status, answer in answers] == [(504, "scrapped")]
        assert rig.dispatcher.counts["fault", "ZeroDivisionError"] == 1
        monkeypatch.undo()
        rig.workers["a"].behaviours = rig.workers["b"].behaviours = [respond_ok]
        assert (await rig.call("estimate", model="other"))[0] == 200


async def test_a_worker_that_resets_every_connection_causes_no_fault() -> None:
    """Guards against an exception of the socket that is counted as a fault of the dispatcher."""
    async with run_edge() as rig:
        for worker in rig.workers.values():
            worker.resets_connections = True
        statuses = [(await rig.call("estimate", left=500))[0] for _ in range(20)]
        assert set(statuses) <= {200, 502, 503}
        assert not any(kind == "fault" for kind, _ in rig.dispatcher.counts)


async def test_discovery_is_connected_again_after_a_malformed_update() -> None:
    """The updates lack fields, are not JSON, or have an unknown state."""
    async with run_edge() as rig:
        for malformed in (
            b"{}\n",
            b"no JSON\n",
            b'{"version": 9, "runners": [{"id": "a", "state": "odd"}]}\n',
        ):
            for send in rig._list_streams:
                await send.send(malformed)
            await anyio.sleep(0.02)
        assert (await rig.call())[0] == 200
        assert rig.dispatcher.counts["roster", "lost"] >= 1


async def test_an_attempt_without_a_free_connection_is_not_sent() -> None:
    """Three requests compete for a single connection to the worker."""
    async with run_edge({"a": [after_delay(300, respond_ok)]}, limits={"runner_connections": 1}) as rig:
        answers: list[tuple[int, dict[str, object]]] = []

        async def call() -> None:
            """Records the answer to one request."""
            answers.append(await rig.call("notice"))

        async with anyio.create_task_group() as group:
            for _ in range(3):
                group.start_soon(call)
        assert sorted(status for status, _ in answers) == [200, 503, 503]
        assert rig.dispatcher.counts["hand-off", "not sent"] >= 2
        assert len(rig.arrivals) == 1


async def test_load_reports_are_read_from_responses_and_health_checks() -> None:
    """Malformed entries of a load report are skipped."""
    report = (b"martenlead-report", b"busy=0.5,x1=3,odd,=1,y=z")
    async with run_edge({"a": [respond_with(200, report)]}, probes={"every_ms": 20}) as rig:
        rig.workers["a"].load_behaviour = respond_with(
            200, (b"martenlead-report", b"busy=0.75"), body=b"ready"
        )
        await rig.call()
        worker = rig.dispatcher.workers["a"]
        assert worker.load_report["x1"] == 3.0
        with anyio.fail_after(5):
            while worker.load_report["busy"] != 0.75:
                await anyio.sleep(0.01)
        assert ("a", "/v2/health/ready") in [(name, target) for _, name, target in rig.load_requests]


async def test_state_and_metrics_can_be_read() -> None:
    """One request is counted in both reports of the admin listener."""
    async with run_edge() as rig:
        await rig.call()
        admin = AdminListener(rig.dispatcher)
        bodies = []
        for target in (b"/state", b"/metrics"):
            reply = await admin.handle(Message(method=b"GET", target=target), 0)
            assert isinstance(reply.body, bytes)
            bodies.append(reply.body)
        assert json.loads(bodies[0])["counts"]["final/satisfied"] == 1
        assert b'martenlead_total{kind="hand-off",name="satisfied"} 1.0' in bodies[1]
        assert (await admin.handle(Message(method=b"GET", target=b"/x"), 0)).status == 404


async def test_decisions_are_logged_only_if_configured(capsys: pytest.CaptureFixture[str]) -> None:
    """Serves a request without and with the setting, and compares its log lines."""
    for is_enabled in (False, True):
        async with run_edge({"a": [respond_ok]}, log={"decisions": is_enabled}) as rig:
            await rig.call(ident="logged")
        lines = [line for line in capsys.readouterr().out.splitlines() if "logged" in line]
        assert [" ".join(line.split()[2:]) for line in lines] == (
            [
                "[info ] decision_made action=Attempt edge=edge request=logged worker=a",
                "[info ] attempt_ended edge=edge reason= request=logged result=satisfied worker=a",
            ]
            if is_enabled
            else []
        )


async def test_due_timers_run_before_the_event_loop_gets_to_them() -> None:
    """The deadline passes while the event loop is blocked, so its own timers have not run."""
    async with run_edge({"a": [send_bytes(b"")]}) as rig, anyio.create_task_group() as group:
        group.start_soon(lambda: rig.call("notice", left=1000))
        await until(lambda: rig.arrivals)
        (pending,) = rig.dispatcher.pending_requests.values()
        time.sleep(1.05)
        assert pending.outcome is None
        rig.dispatcher._run_due()  # called after each call of the policy boundary
        assert pending.outcome is not None


async def test_an_exception_during_acceptance_leaves_no_request_pending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The exception occurs before any attempt, so the request is rejected at once."""
    async with run_edge() as rig:

        def raise_error(*_: object) -> None:
            """Fails in place of a method of the policy."""
            raise ZeroDivisionError

        monkeypatch.setattr(rig.dispatcher.policy_boundary._policy.placement, "choose_worker", raise_error)
        status, problem = await rig.call("notice")
        assert (status, problem["final"], rig.arrivals) == (503, "turned back", [])
        assert not rig.dispatcher.pending_requests
        assert rig.dispatcher.pending_bytes == 0
        monkeypatch.undo()
        assert (await rig.call("notice", model="other"))[0] == 200
