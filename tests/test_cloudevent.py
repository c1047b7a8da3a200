"""The event codec against its specification: binary and structured mode, encoding and decoding."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenlead.events.cloudevent import (
    Event,
    InvalidEventError,
    decode_event,
    decode_value,
    encode_event,
    encode_json_event,
    encode_value,
    parse_time,
)
from martenlead.events.head import LAST_CHUNK, encode_chunk
from martenlead.events.http import InvalidMessageError, MessageLimits, Reader, request, response

TEXT = st.text(st.characters(exclude_categories=["Cs", "Cc"]), min_size=1)
NAMES = st.from_regex(r"[a-z0-9]{1,20}", fullmatch=True).filter(
    lambda n: (
        n not in ("specversion", "id", "source", "type", "time", "subject", "dataschema", "data")
        and n != "datacontenttype"
    )
)
VALUES = TEXT | st.booleans() | st.integers(-(2**31), 2**31 - 1)
EVENTS = st.builds(
    lambda event_id, source, event_type, extensions, data, content_type: Event(
        {"specversion": "1.0", "id": event_id, "source": source, "type": event_type, **extensions},
        data,
        content_type if data is not None else None,
    ),
    TEXT,
    TEXT,
    TEXT,
    st.dictionaries(NAMES, VALUES, max_size=5),
    st.none() | st.binary(max_size=50),
    st.sampled_from(["application/octet-stream", "text/plain; charset=utf-8"]),
)


@given(EVENTS)
def test_binary_mode_round_trip(event: Event) -> None:
    headers, body = encode_event(event)
    decoded = decode_event(headers, body)
    assert decoded.attributes == {name: event.text(name) for name in event.attributes}
    assert (decoded.data, decoded.content_type) == (event.data, event.content_type)


@given(EVENTS)
def test_structured_mode_round_trip_keeps_types(event: Event) -> None:
    decoded = decode_event(
        [(b"content-type", b"application/cloudevents+json; charset=utf-8")], encode_json_event(event)
    )
    assert decoded == event


@given(st.text(st.characters(exclude_categories=["Cs"])))
def test_header_values_are_printable_ascii_and_decode_to_the_same_text(text: str) -> None:
    raw = encode_value(text)
    assert all(0x21 <= byte <= 0x7E for byte in raw)
    assert decode_value(raw, "x") == text


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_an_invalid_event_error(data: bytes) -> None:
    for headers in (
        [(b"content-type", b"application/cloudevents+json")],
        [(b"ce-id", data), (b"ce-specversion", b"1.0")],
        [(b"ce-" + data, b"x")],
    ):
        try:
            decode_event(headers, data)
        except InvalidEventError as error:
            assert error.attribute is not None


def decode_structured(**members: object) -> Event:
    """Decodes an event in structured mode with these members besides the required ones."""
    base = {"specversion": "1.0", "id": "1", "source": "/s", "type": "t"}
    return decode_event(
        [(b"content-type", b"application/cloudevents+json")], json.dumps(base | members).encode()
    )


def test_data_in_the_json_format() -> None:
    assert decode_structured().data is None
    assert decode_structured(data={"a": 1}).data == b'{"a": 1}'
    assert decode_structured(data={"a": 1}).content_type == "application/json"
    assert decode_structured(data="<x/>", datacontenttype="application/xml").data == b"<x/>"
    assert decode_structured(data_base64="AAE=").data == b"\x00\x01"
    assert decode_structured(data=None).data == b"null"
    assert decode_structured(subject=None).text("subject") is None


@pytest.mark.parametrize(
    ("members", "attribute"),
    [
        ({"id": ""}, "id"),
        ({"source": None}, "source"),
        ({"time": "yesterday"}, "time"),
        ({"big": 2**31}, "big"),
        ({"part": 1.5}, "part"),
        ({"list": []}, "list"),
        ({"Upper": "x"}, "Upper"),
        ({"data": 1, "data_base64": ""}, "data"),
        ({"data_base64": "***"}, "data_base64"),
        ({"datacontenttype": 5}, "datacontenttype"),
    ],
)
def test_invalid_json_events_are_rejected(members: dict[str, object], attribute: str) -> None:
    with pytest.raises(InvalidEventError) as caught:
        decode_structured(**members)
    assert caught.value.attribute == attribute


def test_quoted_and_doubly_encoded_header_values() -> None:
    assert decode_value(b'"a \\"b\\" %E2%82%AC"', "x") == 'a "b" €'
    assert decode_value(b"%2520", "x") == "%20"
    for invalid in (b"%", b"%f", b"%zz", b"%ff", b'"open'):
        with pytest.raises(InvalidEventError):
            decode_value(invalid, "x")


def test_absent_and_empty_data_differ() -> None:
    base = [(b"ce-specversion", b"1.0"), (b"ce-id", b"1"), (b"ce-source", b"/s"), (b"ce-type", b"t")]
    assert decode_event(base, b"").data is None
    assert decode_event([*base, (b"content-type", b"text/plain")], b"").data == b""


def test_times_are_rfc_3339() -> None:
    assert parse_time("2026-01-01T00:00:00.5Z") == parse_time("2026-01-01T01:00:00.5+01:00")
    for invalid in ("2026-01-01", "2026-01-01 00:00:00Z", "2026-13-01T00:00:00Z", "x"):
        with pytest.raises(InvalidEventError):
            parse_time(invalid)


@given(st.binary(max_size=300), st.lists(st.integers(1, 40), max_size=20), st.booleans())
def test_messages_split_at_any_position_are_parsed_alike(
    body: bytes, sizes: list[int], chunked: bool
) -> None:
    if chunked:
        chunks = b"".join(encode_chunk(body[n : n + 7]) for n in range(0, len(body), 7)) + LAST_CHUNK
        data = b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n" + chunks
    else:
        data = request(b"POST", b"/x", b"h", [(b"a", b"b")], body)
    data += request(b"GET", b"/y", b"h", [])
    reader = Reader(MessageLimits(), requests=True)
    messages, position = [], 0
    for size in [*sizes, len(data)]:
        messages += reader.feed(data[position : position + size])
        position += size
    assert [(message.target, message.body) for message in messages] == [(b"/x", body), (b"/y", b"")]


@given(st.binary(max_size=400))
def test_any_bytes_are_valid_messages_or_one_error(data: bytes) -> None:
    for requests in (True, False):
        reader = Reader(MessageLimits(head_bytes=100, body_bytes=100), requests=requests)
        try:
            reader.feed(data)
        except InvalidMessageError as error:
            assert 400 <= error.reason.status < 600
            with pytest.raises(InvalidMessageError):
                reader.feed(b"x")


def test_interim_responses_are_skipped() -> None:
    reader = Reader(MessageLimits(), requests=False)
    messages = reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + response(200, [], b"x"))
    assert [(message.status, message.body) for message in messages] == [(200, b"x")]
