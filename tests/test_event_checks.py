"""Events are checked where they come in, so that none of their texts reaches a worker as HTTP."""

from __future__ import annotations

import json

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenlead.events.client import Exchange
from martenlead.events.cloudevent import Event, InvalidEventError, decode_event, encode_event
from martenlead.events.http import Message, MessageLimits, Reader, request
from martenlead.events.media_type import is_media_type
from support.fleet import EdgeRig, ScriptedWorker, respond_ok, run_edge

STRUCTURED = [(b"content-type", b"application/cloudevents+json")]
MEMBERS = {"specversion": "1.0", "id": "1", "source": "/s", "type": "estimate", "model": "m"}
SECOND_REQUEST = "text/plain\r\ncontent-length: 0\r\n\r\nPOST / HTTP/1.1\r\nhost: w\r\nce-id: forged\r\n\r\n"
INVALID_MEDIA_TYPES = {
    "a second request": SECOND_REQUEST,
    "a second field": "text/plain\r\nx: y",
    "a line feed": "text/plain\nx: y",
    "a carriage return": "text/plain\rx",
    "a line end behind it": "text/plain\r\n",
    "a line end in a quoted parameter": 'text/plain; x="a\r\nb"',
    "an escaped line end": 'text/plain; x="\\\n"',
    "NUL": "text/plain\0",
    "no ASCII": "text/pläin",
    "another line separator": "text/plain\u2028",
    "no subtype": "text",
    "an empty subtype": "text/",
    "two subtypes": "text/plain/x",
    "a space": "text/pl ain",
    "a parameter without a value": "text/plain; x",
    "a quoted text without its end": 'text/plain; x="y',
    "a type that is too long": "t" * 128 + "/plain",
    "a subtype that is too long": "text/" + "p" * 128,
    "nothing": "",
}
VALID_MEDIA_TYPES = [
    "text/plain",
    "application/vnd.example.v1+json",
    "text/plain; charset=utf-8",
    "text/plain;charset=utf-8 ; x=y",
    'multipart/mixed; boundary="a \\"b\\"; c"',
    "text/plain;",
    "t" * 127 + "/" + "p" * 127,
]
CONTROL_CHARACTERS = ["\0", "\t", "\n", "\r", "\x1f", "\x7f", "\x85", "a\r\nb"]


def encode_structured(**members: object) -> bytes:
    return json.dumps({**MEMBERS, **members}).encode()


@pytest.mark.parametrize("case", INVALID_MEDIA_TYPES)
def test_an_invalid_content_type_is_refused_in_both_modes(case: str) -> None:
    """Guards against requests that a client writes into the connection to a worker."""
    text = INVALID_MEDIA_TYPES[case]
    binary = [(b"ce-" + name.encode(), value.encode()) for name, value in MEMBERS.items()]
    for headers, body in (
        (STRUCTURED, encode_structured(datacontenttype=text)),
        ([*binary, (b"content-type", text.encode())], b""),
    ):
        with pytest.raises(InvalidEventError) as caught:
            decode_event(headers, body)
        assert (caught.value.attribute, caught.value.status) == ("datacontenttype", 400)


@pytest.mark.parametrize("text", VALID_MEDIA_TYPES)
def test_valid_content_types_are_taken_as_they_are(text: str) -> None:
    """A check that is too strict would refuse events that were taken before."""
    assert decode_event(STRUCTURED, encode_structured(datacontenttype=text)).content_type == text


@given(st.text(st.sampled_from('ab/;="\\ \t\r\n\0é'), max_size=30))
def test_no_media_type_has_a_control_character(text: str) -> None:
    if is_media_type(text):
        assert text.isascii()
        assert text.replace("\t", "").isprintable()


@pytest.mark.parametrize("text", CONTROL_CHARACTERS)
def test_control_characters_are_refused_in_every_attribute(text: str) -> None:
    """CloudEvents forbids them, as workers may use an attribute where a line end does harm."""
    for name in ("id", "source", "type", "subject", "model", "customer", "anything"):
        binary = {**dict.fromkeys(MEMBERS, "x"), "specversion": "1.0", name: text}
        headers, _ = encode_event(Event({**binary}))
        for message in ((STRUCTURED, encode_structured(**{name: text})), (headers, b"")):
            with pytest.raises(InvalidEventError) as caught:
                decode_event(*message)
            assert caught.value.attribute == name


async def post_structured(rig: EdgeRig, *more: tuple[bytes, bytes], **members: object) -> Exchange:
    data = request(b"POST", b"/", b"edge", [*STRUCTURED, *more], encode_structured(**members))
    with anyio.fail_after(10):
        return await rig.pool.exchange(data)


@pytest.mark.anyio
async def test_a_content_type_cannot_hold_a_request_to_a_worker() -> None:
    """Guards against a client's event that a worker reads as two requests."""
    async with run_edge({"a": [respond_ok]}) as rig:
        exchange = await post_structured(rig, datacontenttype=SECOND_REQUEST)
        assert exchange.message is not None
        assert exchange.message.status == 400
        assert json.loads(exchange.message.body)["attribute"] == "datacontenttype"
        assert (await rig.call(ident="usual"))[0] == 200
        assert rig.received() == ["usual at a"]


@pytest.mark.anyio
async def test_an_event_in_structured_mode_is_forwarded_without_unchecked_headers() -> None:
    """Guards against another id, class or tenant than the edge has checked and counted."""
    received: list[Message] = []

    async def record(worker: ScriptedWorker, stream: anyio.abc.SocketStream, message: Message) -> None:
        received.append(message)
        await respond_ok(worker, stream, message)

    async with run_edge({"a": [record]}) as rig:
        headers = [(b"ce-id", b"other"), (b"ce-type", b"notice"), (b"ce-customer", b"other")]
        exchange = await post_structured(rig, *headers, datacontenttype="text/plain", data="x")
        assert exchange.message is not None and exchange.message.status == 200
    (message,) = received
    assert [message.header(name) for name in (b"ce-id", b"ce-type", b"ce-customer")] == [
        b"1",
        b"estimate",
        None,
    ]
    assert (message.header(b"content-type"), message.body) == (b"text/plain", b"x")


@given(
    st.dictionaries(st.from_regex(r"[a-z0-9]{1,20}", fullmatch=True), st.text(min_size=1), max_size=4),
    st.sampled_from(VALID_MEDIA_TYPES) | st.text(max_size=20),
)
def test_whatever_is_decoded_is_sent_as_one_message_with_the_same_event(
    members: dict[str, str], content_type: str
) -> None:
    """Guards against texts that change meaning on the way to a worker."""
    body = json.dumps({**members, **MEMBERS, "datacontenttype": content_type, "data_base64": "AA=="})
    try:
        event = decode_event(STRUCTURED, body.encode())
    except InvalidEventError:
        return
    headers, data = encode_event(event)
    reader = Reader(MessageLimits(), requests=True)
    (message,) = reader.feed(request(b"POST", b"/", b"w", headers, data))
    assert not reader.in_message
    decoded = decode_event(message.headers, message.body)
    assert decoded.attributes == {name: event.text(name) for name in event.attributes}
    assert (decoded.content_type, decoded.data) == (event.content_type, event.data)
