"""Attempts that must not begin any more: the policy sets the latest time, and the HTTP client keeps it."""

from __future__ import annotations

import anyio
import pytest

from martenlead.events.client import ExchangeEnd, Pool, SendProgress
from martenlead.policy import types
from martenlead.upstream.exchange_classifier import classify_attempt
from tests.play import IDEMPOTENT, MS, SETTINGS, WITH_KEY, ScriptedDispatcher


@pytest.mark.anyio
async def test_nothing_is_sent_after_the_latest_time_to_begin() -> None:
    """The time is checked once the connection is open, and the attempt counts as never sent."""
    received: list[bytes] = []
    connected = anyio.Event()

    async def receive(stream: anyio.abc.SocketStream) -> None:
        """Keeps all bytes of a connection."""
        connected.set()
        async with stream:
            async for data in stream:
                received.append(data)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, receive)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        sending = SendProgress(lambda: False)
        exchange = await Pool("127.0.0.1", port).exchange(b"POST / HTTP/1.1\r\n\r\n", sending)
        await connected.wait()
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert exchange.end is ExchangeEnd.WITHHELD and not sending.has_written and not received
    assert classify_attempt(exchange).result is types.Result.NOT_SENT


@pytest.mark.parametrize("request_class", [IDEMPOTENT, WITH_KEY])
def test_a_repeat_of_a_request_that_may_have_run_begins_within_its_window(
    request_class: types.RequestClass,
) -> None:
    """After a lost connection; only a request that is not idempotent by itself depends on the window."""
    dispatcher = ScriptedDispatcher(workers="ab")
    dispatcher.serve_requests(12)
    dispatcher.send_request("t", request_class=request_class)
    first = dispatcher.attempts[0]
    request, deadline_ns = first.request, first.request.deadline_ns
    assert first.begin_by_ns == deadline_ns  # no earlier attempt may have run
    dispatcher.advance_to(dispatcher.policy.state.now_ns // MS + 10)
    dispatcher.end_attempt(types.Result.CONNECTION_LOST)
    repeats = dispatcher.attempts
    assert len(repeats) == 1 and repeats[0].request is request
    window_end = first.sent_ns + request_class.idempotency_window_ns - 4 * SETTINGS.tick_ns
    assert repeats[0].begin_by_ns == (window_end if request_class is WITH_KEY else deadline_ns)
