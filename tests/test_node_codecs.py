"""The codecs of the node: independent of how bytes are split, bounded, and raising only their own errors."""

from __future__ import annotations

import json
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenlead.node import client_protocol, journal, worker_protocol
from martenlead.node.received_messages import MESSAGES_PER_TURN, ReceivedMessages
from martenlead.upstream.endpoints import EndpointUpdate
from support.node_rig import answer, frame, message, record

TABLES = journal.JournalTables(["east", "west"], ["std"], {"std": 8000.0}, hides_weights=False)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)


def split_at(data: bytes, positions: list[int]) -> list[bytes]:
    """Splits data at these positions, which wrap around behind its end."""
    ends = sorted({0, len(data), *(position % (len(data) + 1) for position in positions)})
    return [data[start:end] for start, end in pairwise(ends)]


@given(st.lists(st.binary(max_size=300), max_size=5), st.lists(st.integers(0), max_size=8))
def test_messages_decode_the_same_however_they_are_split(bodies: list[bytes], positions: list[int]) -> None:
    data = b"".join(b"Content-Length: %d\r\n\r\n%b" % (len(body), body) for body in bodies)
    decoder = client_protocol.MessageDecoder()
    assert [message for part in split_at(data, positions) for message in decoder.feed(part)] == bodies
    assert not decoder.has_partial_message


@given(st.lists(st.binary(max_size=600), max_size=6))
def test_invalid_bytes_of_a_client_are_buffered_up_to_the_limit(parts: list[bytes]) -> None:
    decoder = client_protocol.MessageDecoder(message_bytes_limit=500)
    try:
        for part in parts:
            decoder.feed(part)
            assert len(decoder._buffer) <= 500 + client_protocol.HEADER_BYTES_LIMIT
    except client_protocol.FramingError:
        pass


PARAMETER_NAMES = ["id", "wait", "tenant", "retry", "once", "key", "cost", "props", "blob"]


@given(st.binary(max_size=50) | JSON_VALUES.map(lambda value: json.dumps(value).encode()))
def test_arbitrary_messages_raise_only_invalid_call_errors(data: bytes) -> None:
    with pytest.raises(client_protocol.InvalidCallError):
        client_protocol.parse_call(data)


@given(st.dictionaries(st.sampled_from(PARAMETER_NAMES), JSON_VALUES))
def test_arbitrary_parameters_give_a_call_or_an_error_with_the_message_number(params: dict[str, Any]) -> None:
    request = {"jsonrpc": "2.0", "id": 7, "method": "safe", "params": params}
    try:
        call = client_protocol.parse_call(json.dumps(request).encode())
    except client_protocol.InvalidCallError as error:
        assert error.number == 7
    else:
        assert (len(call.request_id), len(call.function)) == (16, 16)


@given(
    st.lists(st.binary(max_size=100).filter(lambda line: b"\n" not in line)),
    st.lists(st.integers(0), max_size=8),
)
def test_lines_decode_the_same_however_they_are_split(lines: list[bytes], positions: list[int]) -> None:
    decoder = worker_protocol.LineDecoder()
    data = b"".join(line + b"\n" for line in lines)
    assert [line for part in split_at(data, positions) for line in decoder.feed(part)] == lines


def test_complete_lines_before_an_overlong_line_are_returned() -> None:
    decoder = worker_protocol.LineDecoder(line_bytes_limit=10)
    with pytest.raises(worker_protocol.InvalidLineError) as raised:
        decoder.feed(b"one\ntwo\n" + b"x" * 11)
    assert raised.value.complete_lines == [b"one", b"two"]


@given(st.binary(max_size=60) | JSON_VALUES.map(lambda value: json.dumps(value).encode()))
def test_arbitrary_lines_raise_only_invalid_line_errors(data: bytes) -> None:
    with pytest.raises(worker_protocol.InvalidLineError):
        worker_protocol.parse_response(data, 100)


def test_no_wrong_byte_outside_the_body_changes_the_body() -> None:
    """Guards against a spoilt answer that is passed on with a body that no worker made."""
    body = b"Ym9keQ=="
    line = b'{"m":"DONE","txn":"9b1f03aa5c7e2d41","props":{"why":"resident"},"raw":"%b"}' % body
    start, decoded = line.index(body), 0
    for position in [*range(start), *range(start + len(body), len(line))]:
        for byte in range(256):
            spoilt = line[:position] + bytes([byte]) + line[position + 1 :]
            try:
                response = worker_protocol.parse_response(spoilt, 100)
            except worker_protocol.InvalidLineError:
                continue
            assert response.body_base64 in (body.decode(), None), spoilt
            decoded += 1
    assert decoded  # as the line itself, and noise in the note, the id or names without effect


def test_fields_of_responses_may_be_strings_or_numbers() -> None:
    response = worker_protocol.parse_response(b'{"m":"DONE","txn":7,"props":{"instances":2}}', 100)
    assert (response.call_id, response.replicas) == ("7", 2)
    assert worker_protocol.parse_response(answer("WAIT", "o1", instances="3"), 100).replicas == 3


@given(st.lists(st.integers(0), max_size=8))
def test_journal_frames_decode_the_same_however_they_are_split(positions: list[int]) -> None:
    data = frame(2, 1, record(7, 80, 0, 5), record(8, 81, 1)) + frame(2, 0) + frame(3, 2, record(7, 80, 2))
    decoder = journal.FrameDecoder(TABLES)
    updates = [decoded for part in split_at(data, positions) for decoded in decoder.feed(part)]
    assert [
        (
            update.version,
            update.is_snapshot,
            [(endpoint.id, endpoint.state, endpoint.incarnation) for endpoint in update.endpoints or ()],
        )
        for update in updates
    ] == [
        (2, True, [("s-00000007", "up", "5"), ("s-00000008", "draining", "0")]),
        (2, False, []),
        (3, False, [("s-00000007", "gone", "0")]),
    ]


@given(st.lists(st.binary(max_size=200), max_size=4))
def test_arbitrary_journal_bytes_give_updates_or_a_frame_error(parts: list[bytes]) -> None:
    decoder = journal.FrameDecoder(TABLES)
    try:
        for part in parts:
            assert all(isinstance(update, EndpointUpdate) for update in decoder.feed(part))
    except journal.JournalFrameError:
        pass


def test_events_of_the_configuration_give_the_same_updates_as_frames() -> None:
    members = [
        {"id": "s-00000007", "host_port": "127.0.0.1:80", "locality": "east", "flavor": "std", "cell": 0}
        | {"phase": "terminating", "size": 1.0, "up_since_ms": 5}
    ]
    known = journal.InitialMembership(
        1, [journal._Entry(1, journal._Hosts([journal._Member(**member) for member in members], True))]
    )
    updates = journal.FrameDecoder(TABLES).feed(frame(1, 1, record(7, 80, 1, 5)))
    assert known.to_updates(TABLES) == updates
    assert message({})[:14] == b"Content-Length"


def test_messages_beyond_a_limit_are_decoded_later_and_none_is_lost() -> None:
    # Guards against a read whose thousands of messages are all decoded in one call.
    bodies = [b"%d" % number * number for number in range(1, 50)]
    data = b"".join(b"Content-Length: %d\r\n\r\n%b" % (len(body), body) for body in bodies)
    for split in range(0, len(data), 7):
        decoder, decoded = client_protocol.MessageDecoder(), []
        for part in (data[:split], data[split:], b"", b""):
            decoded += decoder.feed(part, limit=20)
            assert not decoder.has_reached_limit or len(decoded) < len(bodies)
        while decoder.has_reached_limit:
            decoded += decoder.feed(b"", limit=20)
        assert decoded == bodies and not decoder.has_partial_message and decoder.kept_bytes == 0


def test_an_incomplete_message_behind_a_limit_is_known_once_it_is_reached() -> None:
    # Guards against an incomplete message that is never timed out, and a complete one that is.
    one = b"Content-Length: 2\r\n\r\n{}"
    received = ReceivedMessages()
    received.feed(one * (2 * MESSAGES_PER_TURN) + one[:-1])
    assert not received.has_partial_message
    assert len(received.take_turn()) == MESSAGES_PER_TURN and received
    assert not received.has_partial_message
    assert len(received.take_turn()) == MESSAGES_PER_TURN and not received
    assert received.has_partial_message
    assert received.feed(one[-1:]) == 1 and received.take_turn() == [b"{}"]
    assert not received.has_partial_message


def test_an_invalid_rest_behind_a_limit_ends_the_decoding_once() -> None:
    # Guards against input that is decoded further behind what no decoder can read.
    one = b"Content-Length: 2\r\n\r\n{}"
    received = ReceivedMessages()
    received.feed(one * (2 * MESSAGES_PER_TURN) + b"junk\r\n\r\n" + one)
    handled = 0
    while received:
        assert not received.framing_error_text or handled >= MESSAGES_PER_TURN
        handled += len(received.take_turn())
    assert handled == 2 * MESSAGES_PER_TURN and received.framing_error_text
    assert received.feed(one) == 0 and not received and received.kept_bytes == 0
