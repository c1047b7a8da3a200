"""The platform's codecs: the same whatever the cuts, bounded, and no errors but their own."""

from __future__ import annotations

import json
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenlead.node import client_protocol, journal, worker_protocol
from martenlead.upstream.endpoints import EndpointUpdate
from tests.nodes import answer, frame, message, record

PLACES = journal.JournalTables(["east", "west"], ["std"], {"std": 8000.0}, hides_weights=False)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)


def cut(data: bytes, at: list[int]) -> list[bytes]:
    ends = sorted({0, len(data), *(a % (len(data) + 1) for a in at)})
    return [data[a:b] for a, b in pairwise(ends)]


@given(st.lists(st.binary(max_size=300), max_size=5), st.lists(st.integers(0), max_size=8))
def test_messages_are_the_same_however_they_are_cut(bodies: list[bytes], at: list[int]) -> None:
    data = b"".join(b"Content-Length: %d\r\n\r\n%b" % (len(body), body) for body in bodies)
    frames = client_protocol.MessageDecoder()
    assert [m for part in cut(data, at) for m in frames.feed(part)] == bodies
    assert not frames.has_partial_message


@given(st.lists(st.binary(max_size=600), max_size=6))
def test_noise_in_frames_is_bounded(parts: list[bytes]) -> None:
    frames = client_protocol.MessageDecoder(message_bytes_limit=500)
    try:
        for part in parts:
            frames.feed(part)
            assert len(frames._buffer) <= 500 + client_protocol.HEADER_BYTES_LIMIT
    except client_protocol.FramingError:
        pass


MEMBERS = ["id", "wait", "tenant", "retry", "once", "key", "cost", "props", "blob"]


@given(st.binary(max_size=50) | JSON.map(lambda j: json.dumps(j).encode()))
def test_any_message_is_a_call_or_a_bad_call(data: bytes) -> None:
    with pytest.raises(client_protocol.InvalidCallError):
        client_protocol.parse_call(data)


@given(st.dictionaries(st.sampled_from(MEMBERS), JSON))
def test_any_params_are_checked(params: dict[str, Any]) -> None:
    told = {"jsonrpc": "2.0", "id": 7, "method": "safe", "params": params}
    try:
        call = client_protocol.parse_call(json.dumps(told).encode())
    except client_protocol.InvalidCallError as error:
        assert error.number == 7
    else:
        assert (len(call.request_id), len(call.function)) == (16, 16)


@given(
    st.lists(st.binary(max_size=100).filter(lambda b: b"\n" not in b)), st.lists(st.integers(0), max_size=8)
)
def test_lines_are_the_same_however_they_are_cut(told: list[bytes], at: list[int]) -> None:
    reader = worker_protocol.LineDecoder()
    data = b"".join(line + b"\n" for line in told)
    assert [line for part in cut(data, at) for line in reader.feed(part)] == told


def test_what_came_whole_before_a_line_without_an_end_counts() -> None:
    reader = worker_protocol.LineDecoder(line_bytes_limit=10)
    with pytest.raises(worker_protocol.InvalidLineError) as found:
        reader.feed(b"one\ntwo\n" + b"x" * 11)
    assert found.value.complete_lines == [b"one", b"two"]


@given(st.binary(max_size=60) | JSON.map(lambda j: json.dumps(j).encode()))
def test_any_line_is_a_word_or_a_bad_line(data: bytes) -> None:
    with pytest.raises(worker_protocol.InvalidLineError):
        worker_protocol.parse_response(data, 100)


def test_fields_of_answers_may_be_strings_or_numbers() -> None:
    word = worker_protocol.parse_response(b'{"m":"DONE","txn":7,"props":{"instances":2}}', 100)
    assert (word.call_id, word.replicas) == ("7", 2)
    assert worker_protocol.parse_response(answer("WAIT", "o1", instances="3"), 100).replicas == 3


@given(st.lists(st.integers(0), max_size=8))
def test_journal_frames_are_the_same_however_they_are_cut(at: list[int]) -> None:
    data = frame(2, 1, record(7, 80, 0, 5), record(8, 81, 1)) + frame(2, 0) + frame(3, 2, record(7, 80, 2))
    reader = journal.FrameDecoder(PLACES)
    told = [news for part in cut(data, at) for news in reader.feed(part)]
    assert [
        (n.version, n.is_snapshot, [(r.id, r.state, r.incarnation) for r in n.endpoints or ()]) for n in told
    ] == [
        (2, True, [("s-00000007", "up", "5"), ("s-00000008", "draining", "0")]),
        (2, False, []),
        (3, False, [("s-00000007", "gone", "0")]),
    ]


@given(st.lists(st.binary(max_size=200), max_size=4))
def test_noise_in_the_journal_is_news_or_a_bad_frame(parts: list[bytes]) -> None:
    reader = journal.FrameDecoder(PLACES)
    try:
        for part in parts:
            assert all(isinstance(news, EndpointUpdate) for news in reader.feed(part))
    except journal.JournalFrameError:
        pass


def test_events_of_the_configuration_read_as_frames_do() -> None:
    members = [
        {"id": "s-00000007", "host_port": "127.0.0.1:80", "locality": "east", "flavor": "std", "cell": 0}
        | {"phase": "terminating", "size": 1.0, "up_since_ms": 5}
    ]
    known = journal.InitialMembership(
        1, [journal._Entry(1, journal._Hosts([journal._Member(**m) for m in members], True))]
    )
    told = journal.FrameDecoder(PLACES).feed(frame(1, 1, record(7, 80, 1, 5)))
    assert known.to_updates(PLACES) == told
    assert message({})[:14] == b"Content-Length"
