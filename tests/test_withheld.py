"""An attempt that may not begin any more: the policy states until when, and the HTTP link obeys it."""

from __future__ import annotations

import anyio
import pytest

from martenlead.events.client import ExchangeEnd, Pool, SendProgress
from martenlead.policy import types as io
from martenlead.upstream.exchange_classifier import classify_attempt
from tests.play import CHECK, MS, POST, SETTINGS, Play


@pytest.mark.anyio
async def test_nothing_leaves_once_its_time_to_begin_is_over() -> None:
    """It is asked after the connection has come up, and is told as never sent."""
    arrived: list[bytes] = []
    connected = anyio.Event()

    async def note(stream: anyio.abc.SocketStream) -> None:
        connected.set()
        async with stream:
            async for data in stream:
                arrived.append(data)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, note)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        sending = SendProgress(lambda: False)
        exchange = await Pool("127.0.0.1", port).exchange(b"POST / HTTP/1.1\r\n\r\n", sending)
        await connected.wait()
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert exchange.end is ExchangeEnd.WITHHELD and not sending.has_written and not arrived
    assert classify_attempt(exchange).result is io.Result.NOT_SENT


@pytest.mark.parametrize("offering", [CHECK, POST])
def test_a_repeat_of_what_may_have_run_begins_inside_its_window(offering: io.RequestClass) -> None:
    play = Play(runners="ab")
    play.served(12)
    play.task("t", offering=offering)
    first = play.hand_offs[0]
    task, give_up = first.request, first.request.deadline_ns
    assert first.begin_by_ns == give_up  # nothing may have run before it
    play.to(play.policy.state.now_ns // MS + 10)
    play.answer(io.Result.CONNECTION_LOST)
    repeats = play.hand_offs
    assert len(repeats) == 1 and repeats[0].request is task
    window_end = first.sent_ns + offering.idempotency_window_ns - 4 * SETTINGS.tick_ns
    assert repeats[0].begin_by_ns == (window_end if offering is POST else give_up)
