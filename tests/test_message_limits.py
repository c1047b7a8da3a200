"""What a peer sends of one message is bounded in each of its parts, and so is the memory that it takes."""

from __future__ import annotations

import tracemalloc
from contextlib import aclosing, suppress
from typing import Any

import anyio
import pytest

from martenlead.events.client import ExchangeEnd, Pool
from martenlead.events.head import encode_chunk
from martenlead.events.http import (
    InvalidMessageError,
    Message,
    MessageLimits,
    Reader,
    request,
)
from martenlead.events.line_stream import read_lines
from support.fleet import respond_ok, run_edge, send_bytes, until

LIMITS = MessageLimits()
READ_BYTES = 16_384
READS = 100
REQUEST_HEAD = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = b"1\r\nx\r\n0\r\n"
ENDLESS_PARTS = {  # what follows the head, and what is repeated without end
    "trailer fields": (LAST_CHUNK, b"x: y\r\n" * (READ_BYTES // 6)),
    "a trailer field's value": (LAST_CHUNK + b"x: ", b"y" * READ_BYTES),
    "a trailer field's name": (LAST_CHUNK, b"y" * READ_BYTES),
    "a chunk extension": (b"1;x=", b"y" * READ_BYTES),
}


@pytest.mark.parametrize("part", ENDLESS_PARTS)
@pytest.mark.parametrize("requests", [True, False], ids=["request", "response"])
def test_a_part_without_end_behind_the_head_is_over_the_limit_at_once(requests: bool, part: str) -> None:
    """Guards against trailers that fill the memory: they were kept as headers, and not counted."""
    reader = Reader(LIMITS, requests=requests)
    begin, repeated = ENDLESS_PARTS[part]
    received = 0
    tracemalloc.start()
    try:
        reader.feed((REQUEST_HEAD if requests else RESPONSE_HEAD) + begin)
        with pytest.raises(InvalidMessageError) as caught:
            for _ in range(READS):
                received += len(repeated)
                reader.feed(repeated)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert caught.value.reason.status == 431
    assert received <= LIMITS.head_bytes + READ_BYTES
    assert held_bytes < 4 * (LIMITS.head_bytes + READ_BYTES)


@pytest.mark.parametrize("requests", [True, False], ids=["request", "response"])
def test_a_body_in_tiny_chunks_takes_little_more_memory_than_its_limit(requests: bool) -> None:
    """Guards against an object for each chunk: 23 MB were held for a body of 1 MB in chunks of 2 bytes."""
    reader = Reader(LIMITS, requests=requests)
    reader.feed(REQUEST_HEAD if requests else RESPONSE_HEAD)
    chunks = encode_chunk(b"xy") * 2048
    tracemalloc.start()
    try:
        for _ in range(LIMITS.body_bytes // 4096):
            reader.feed(chunks)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    (message,) = reader.feed(b"0\r\n\r\n")
    assert message.body == b"xy" * (LIMITS.body_bytes // 2)
    assert held_bytes < 1.5 * LIMITS.body_bytes


@pytest.mark.parametrize("size", [1, 7, 16_384])
def test_a_trailer_within_the_limits_is_read_and_dropped(size: int) -> None:
    """Guards against trailer fields that pass for headers, which are checked before the body comes."""
    reader = Reader(LIMITS, requests=True)
    fields = b"".join(b"ce-model: m%d\r\n" % number for number in range(LIMITS.header_lines - 2))
    data = REQUEST_HEAD + LAST_CHUNK + fields + b"\r\n" + request(b"GET", b"/next", b"h", [])
    messages: list[Message] = []
    for position in range(0, len(data), size):
        messages += reader.feed(data[position : position + size])
    first, second = messages
    assert (first.body, first.header(b"ce-model"), len(first.headers)) == (b"x", None, 2)
    assert (second.target, len(second.headers)) == (b"/next", 2)


def test_header_and_trailer_share_one_limit() -> None:
    """Guards against limits that a trailer doubles, in lines or in bytes."""
    field = b"x: " + b"y" * 1000 + b"\r\n"
    for limits in (MessageLimits(header_lines=4), MessageLimits(head_bytes=3000)):
        reader = Reader(limits, requests=True)
        head = REQUEST_HEAD.replace(b"\r\n\r\n", b"\r\n" + field + b"\r\n")
        reader.feed(head + LAST_CHUNK + field)
        with pytest.raises(InvalidMessageError) as caught:
            reader.feed(field + b"\r\n")
        assert caught.value.reason.status == 431


def test_the_head_of_a_pipelined_request_is_not_charged_with_the_requests_before_it() -> None:
    """Guards against 431 for a short head that a read ends in, behind other requests."""
    reader = Reader(LIMITS, requests=True)
    one = request(b"GET", b"/", b"h", [])
    data = one * (READ_BYTES // len(one) + 1)
    messages = reader.feed(data[:READ_BYTES])
    for position in range(READ_BYTES, len(data)):
        messages += reader.feed(data[position : position + 1])
    assert len(messages) == READ_BYTES // len(one) + 1


@pytest.mark.anyio
@pytest.mark.parametrize("part", ENDLESS_PARTS)
async def test_an_edge_refuses_messages_without_end_and_serves_others(part: str) -> None:
    """Guards the way through the listener: 431 and a close, no attempt, and nothing kept."""
    begin, repeated = ENDLESS_PARTS[part]
    async with run_edge() as rig:
        client = await anyio.connect_tcp("127.0.0.1", rig.port)
        await client.send(REQUEST_HEAD + begin + repeated + repeated)
        assert (await client.receive()).startswith(b"HTTP/1.1 431 ")
        with anyio.fail_after(5), pytest.raises(anyio.EndOfStream):
            await client.receive()
        await client.aclose()
        await until(lambda: not rig.event_listener.server.connections)
        assert not rig.arrivals
        assert (await rig.call())[0] == 200


@pytest.mark.anyio
@pytest.mark.parametrize("part", ENDLESS_PARTS)
async def test_an_answer_without_end_is_no_answer(part: str) -> None:
    """Guards the edge's memory against its workers: the attempt counts as maybe run, another is made."""
    begin, repeated = ENDLESS_PARTS[part]
    endless = send_bytes(RESPONSE_HEAD + begin + repeated * READS)
    async with run_edge({"a": [respond_ok], "b": [respond_ok]}) as rig:
        rig.shared_behaviours = [endless]
        assert (await rig.call())[0] == 200
        assert len(rig.arrivals) == 2
        assert rig.dispatcher.counts["hand-off", "broken"] == 1


@pytest.mark.anyio
async def test_an_answer_whose_trailer_is_within_the_limits_is_passed_on() -> None:
    """Guards against connections that a short trailer ends."""
    data = RESPONSE_HEAD + LAST_CHUNK + b"x: y\r\n\r\n"

    async def serve(stream: Any) -> None:
        async with stream:
            async for _ in stream:
                await stream.send(data)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        pool = Pool("127.0.0.1", listener.extra(anyio.abc.SocketAttribute.local_port))
        for _ in range(3):
            exchange = await pool.exchange(request(b"GET", b"/", b"w", []))
            assert exchange.end is ExchangeEnd.ANSWERED and exchange.message is not None
            assert (exchange.message.body, len(exchange.message.headers)) == (b"x", 1)
        assert pool.connections_opened == 1
        await pool.close()
        group.cancel_scope.cancel()


@pytest.mark.anyio
@pytest.mark.parametrize("part", [*ENDLESS_PARTS, "a header"])
async def test_a_streamed_list_whose_framing_does_not_end_is_invalid(part: str) -> None:
    """Guards against a watch that bytes without a line keep alive for good."""
    begin, repeated = ENDLESS_PARTS.get(part, (b"", b"x: y\r\n" * (READ_BYTES // 6)))
    head = RESPONSE_HEAD[: -2 if part == "a header" else None]

    async def serve(stream: Any) -> None:
        async with stream:
            await stream.receive()
            await stream.send(head + begin)
            with suppress(anyio.BrokenResourceError):
                while True:
                    await stream.send(repeated)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        stream = read_lines("127.0.0.1", port, b"-", silence_timeout_seconds=5, max_line_bytes=100)
        with anyio.fail_after(5), pytest.raises(InvalidMessageError):
            async with aclosing(stream):
                await anext(stream)
        group.cancel_scope.cancel()
