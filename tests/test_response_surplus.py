"""A response that something else came behind is not passed on: its length may be too small for its body."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenlead.events.client import Exchange, ExchangeEnd, Pool, SendProgress
from martenlead.events.head import LAST_CHUNK, encode_chunk, encode_interim_response
from martenlead.events.http import InvalidMessageError, MessageLimits, Reader, response
from martenlead.events.response import ResponseAssembler, Surplus
from martenlead.policy.types import Result
from martenlead.upstream.exchange_classifier import classify_attempt, classify_load_request
from support.fleet import Behaviour, EdgeRig, respond_ok, run_edge, send_bytes, until

GET_REQUEST = b"GET / HTTP/1.1\r\nhost: w\r\n\r\n"
GOOD = response(200, [], b"payment 125")
CLOSING = response(200, [(b"connection", b"close")], b"payment 125")
CHUNKED = response(200, [], None) + encode_chunk(b"payment 125") + LAST_CHUNK
INTERIM = encode_interim_response(103)
SURPLUSES = {
    "the rest of the body": GOOD + b"0 dollars",
    "the last newline of the body": GOOD + b"\n",
    "a body that ends with newlines": response(200, [], b"\r\n\r\n") + b"\r\n",
    "the last newline of two": response(200, [], b"payment\n") + b"\n",
    "a first letter of HTTP": GOOD + b"H",
    "the beginning of a head": GOOD + GOOD[:30],
    "the rest of the body, twice": (GOOD + b"0 dollars") * 2,
    "the body of a response that has none": response(204, [], b"payment 125"),
    "the rest of the body, closing": CLOSING + b"0 dollars",
    "the beginning of a response, closing": CLOSING + b"HTTP/1.1 ",
    "an empty line behind the last chunk": CHUNKED + b"\r\n",
}
SECOND_RESPONSES = {
    "a copy": GOOD + GOOD,
    "two copies": GOOD * 3,
    "a copy without its end": GOOD + GOOD[:-4],
    "a copy behind a closing response": CLOSING + CLOSING,
    "a copy in chunks": CHUNKED + CHUNKED,
    "another response": GOOD + response(200, [], b"payment 7\n"),
    "another response without its end": GOOD + response(200, [], b"payment 7777")[:-2],
}
BODIES = st.binary(max_size=30) | st.text("\r\nH", max_size=8).map(str.encode)


@given(BODIES, BODIES, st.booleans(), st.lists(st.integers(1, 40), max_size=12))
def test_bytes_behind_a_response_are_found_however_they_are_split(
    body: bytes, behind: bytes, is_chunked: bool, sizes: list[int]
) -> None:
    """Guards against responses served cut off: the parser skips newlines and takes an `H` for a beginning."""
    data = response(200, [], body)
    if is_chunked:
        parts = b"".join(encode_chunk(body[n : n + 7]) for n in range(0, len(body), 7)) + LAST_CHUNK
        data = response(200, [], None) + parts
    assembler = ResponseAssembler(Reader(MessageLimits(), requests=False))
    position, received = 0, data + behind
    for size in [*sizes, len(received)]:
        if not assembler.is_decided and position < len(received):
            assembler.feed(received[position : position + size])
            position += size
    assert assembler.message is not None and assembler.message.body == body
    assert assembler.classify_surplus() is (Surplus.OTHER if behind else Surplus.NONE)


class ScriptedConnection:
    """A connection on which the parts are received, each in a read of its own; then it ends, if `ends`."""

    def __init__(self, parts: list[bytes], *, ends: bool = False) -> None:
        self.parts, self.ends, self.stream = parts, ends, self
        self.reader = Reader(MessageLimits(), requests=False)

    def has_unread(self) -> bool:
        return bool(self.parts) or self.ends

    async def send(self, _data: bytes) -> None:
        await anyio.lowlevel.checkpoint()

    async def receive(self, _most_bytes: int) -> bytes:
        if not self.parts:
            raise anyio.EndOfStream
        return self.parts.pop(0)


async def play(parts: list[bytes], *, ends: bool = False) -> tuple[Exchange, Pool]:
    """Plays an exchange on a scripted connection; returns its end, and the pool for its counts."""
    pool, connection = Pool("127.0.0.1", 1), ScriptedConnection(parts, ends=ends)
    return await pool._exchange(connection, GET_REQUEST, SendProgress()), pool  # type: ignore[arg-type]


@pytest.mark.anyio
@pytest.mark.parametrize("case", SURPLUSES)
async def test_a_response_with_something_else_behind_it_is_none(case: str) -> None:
    """Guards against answers with status 200 that are cut off, in one read or in two."""
    data = SURPLUSES[case]
    head_end = data.index(b"\r\n\r\n") + 4
    for cut in range(head_end, len(data) + 1):
        exchange, pool = await play([part for part in (data[:cut], data[cut:]) if part])
        assert (exchange.end, exchange.message) == (ExchangeEnd.OVERRUN, None), cut
        assert classify_attempt(exchange).result is Result.CONNECTION_LOST
        assert classify_load_request(exchange)[0] is Result.CONNECTION_LOST
        assert pool.stray_responses == 1


@pytest.mark.anyio
@pytest.mark.parametrize("case", SECOND_RESPONSES)
async def test_a_response_with_a_second_one_behind_it_is_passed_on_and_ends_the_connection(case: str) -> None:
    """Guards the good answer of a worker that answers twice, and the next request on its connection."""
    exchange, pool = await play([SECOND_RESPONSES[case]])
    assert exchange.end is ExchangeEnd.ANSWERED and exchange.message is not None
    assert (exchange.message.body, exchange.message.keep_alive) == (b"payment 125", False)
    assert pool.stray_responses == 1


@pytest.mark.anyio
@pytest.mark.parametrize("data", [GOOD, CLOSING, CHUNKED], ids=["length", "closing", "chunked"])
@pytest.mark.parametrize("ends", [False, True], ids=["stays open", "ends"])
async def test_a_response_with_nothing_behind_it_is_passed_on(data: bytes, ends: bool) -> None:
    """Guards against good answers that are lost to the check, also as their connection ends."""
    exchange, pool = await play([data], ends=ends)
    assert exchange.end is ExchangeEnd.ANSWERED and exchange.message is not None
    assert exchange.message.keep_alive is (data is not CLOSING and not ends)
    assert pool.stray_responses == 0


@pytest.mark.anyio
@pytest.mark.parametrize("first", [GOOD, GOOD + INTERIM, CHUNKED + INTERIM])
async def test_interim_responses_without_end_do_not_keep_an_answer_back(first: bytes) -> None:
    """Guards against an answer that is lost as its worker goes on sending until the time is over."""
    parts = [first, *[INTERIM * 100] * 1000]
    exchange, pool = await play(parts)
    assert exchange.end is ExchangeEnd.ANSWERED and exchange.message is not None
    assert (exchange.message.body, exchange.message.keep_alive) == (b"payment 125", False)
    assert len(parts) >= 990
    assert pool.stray_responses == 1


def test_bytes_that_are_no_response_are_invalid() -> None:
    assembler = ResponseAssembler(Reader(MessageLimits(), requests=False))
    with pytest.raises(InvalidMessageError):
        assembler.feed(b"0 dollars")


CUT_OFF = send_bytes(SURPLUSES["the rest of the body"])


@asynccontextmanager
async def edge_with_one_cut_off_answer(load_behaviour: Behaviour | None = None) -> AsyncIterator[EdgeRig]:
    async with run_edge({"a": [respond_ok], "b": [respond_ok]}) as rig:
        rig.shared_behaviours = [CUT_OFF]
        for worker in rig.workers.values():
            worker.load_behaviour = load_behaviour or worker.load_behaviour
        yield rig


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("request_class", "status", "attempts"), [("estimate", 200, 2), ("post", 200, 2), ("notice", 502, 1)]
)
async def test_the_edge_never_serves_an_answer_whose_length_is_too_small(
    request_class: str, status: int, attempts: int
) -> None:
    """Guards the client: such an answer has failed, and only a request that may run twice is sent again."""
    async with edge_with_one_cut_off_answer() as rig:
        answer = await rig.call(request_class)
        assert answer[0] == status and len(rig.arrivals) == attempts
        assert rig.dispatcher.counts["hand-off", Result.CONNECTION_LOST.value] == 1


@pytest.mark.anyio
async def test_a_load_request_whose_answer_does_not_fit_has_not_succeeded() -> None:
    """Guards against replica counts that are cut off: 1 of 12."""
    outcomes: list[Any] = []
    body = response(200, [], b'{"copies": 1}') + b"2"
    async with edge_with_one_cut_off_answer(send_bytes(body)) as rig:
        worker = next(iter(rig.dispatcher.workers.values()))
        function = rig.dispatcher.find_or_add_function("other", 1, 100.0)
        rig.dispatcher.link.send_load_request(worker, function, 1, outcomes.append)
        await until(lambda: outcomes)
        assert (outcomes[0].result, outcomes[0].replicas) == (Result.CONNECTION_LOST, 0)
