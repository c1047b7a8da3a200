"""Input that is nested too deeply, or that no decoder reads, is invalid input and no fault of the program."""

from __future__ import annotations

import json
import zlib

import anyio
import pytest

from martenlead.events.client import Exchange, ExchangeEnd
from martenlead.events.cloudevent import InvalidEventError, decode_event
from martenlead.events.http import Message, request
from martenlead.planner.frames import HEADER_BYTES, LENGTH_BYTES, FrameError, FrameReader
from martenlead.upstream.endpoint_watch import PROTOCOL_ERRORS
from martenlead.upstream.endpoints import decode_update
from martenlead.upstream.load_requests import parse_replica_count
from support.fleet import respond_ok, run_edge

STRUCTURED = [(b"content-type", b"application/cloudevents+json")]
DEEP = b"[" * 100_000
DEEP_AND_WHOLE = DEEP + b"]" * 100_000
DEEP_MESSAGE_PACK = b"\x91" * 100_000 + b"\x01"
REQUIRED = b'{"specversion":"1.0","id":"1","source":"/s","type":"estimate","model":"m"'
UNREADABLE_BODIES = {
    "deep data": (REQUIRED + b',"data":' + DEEP_AND_WHOLE + b"}", "data"),
    "a deep attribute": (REQUIRED + b',"x":' + DEEP_AND_WHOLE + b"}", "data"),
    "data that is no UTF-8": (REQUIRED + b',"data":"\xff"}', "data"),
    "text data that is no UTF-8": (REQUIRED + b',"datacontenttype":"text/plain","data":"\xff"}', "data"),
    "an attribute that is no UTF-8": (REQUIRED + b',"x":"\xff"}', "data"),
    "a number of 5,000 digits": (REQUIRED + b',"x":1' + b"0" * 5000 + b"}", "x"),
}


@pytest.mark.parametrize("case", UNREADABLE_BODIES)
def test_an_unreadable_body_is_an_invalid_event(case: str) -> None:
    """Guards against a 500 with a traceback for each such event."""
    body, attribute = UNREADABLE_BODIES[case]
    with pytest.raises(InvalidEventError) as caught:
        decode_event(STRUCTURED, body)
    assert (caught.value.attribute, caught.value.status) == (attribute, 400)


@pytest.mark.anyio
async def test_an_edge_refuses_deep_events_and_serves_on() -> None:
    """Guards against a 500 that reads as a fault of the edge, on a connection that others wait behind."""
    async with run_edge({"a": [respond_ok]}) as rig:
        data = request(b"POST", b"/", b"edge", STRUCTURED, UNREADABLE_BODIES["deep data"][0])
        with anyio.fail_after(10):
            exchange = await rig.pool.exchange(data)
        assert exchange.message is not None and exchange.message.status == 400
        assert json.loads(exchange.message.body)["attribute"] == "data"
        assert (await rig.call(ident="usual"))[0] == 200
        assert rig.received() == ["usual at a"]


def test_a_deep_response_to_a_load_request_states_no_replicas() -> None:
    """Guards against an answer of a worker that ends the load request as a fault of the edge."""
    message = Message(status=200, body=b'{"copies": 1, "x": ' + DEEP_AND_WHOLE + b"}")
    assert parse_replica_count(Exchange(ExchangeEnd.ANSWERED, message)) == 0


def test_a_deep_line_of_discovery_is_a_protocol_error() -> None:
    """Guards against a line that is reported as a fault of the edge."""
    with pytest.raises(PROTOCOL_ERRORS):
        decode_update(b'{"version": 1, "x": ' + DEEP_AND_WHOLE + b"}")


@pytest.mark.parametrize("start", [b"\x93\x07\xa1r", b"\x94\x03\x01\x01"])
def test_a_deep_frame_of_the_planner_link_is_invalid(start: bytes) -> None:
    """Guards against a message that ends the link's task with another error than the codec's own."""
    payload = start + DEEP_MESSAGE_PACK
    checksum = zlib.crc32(payload).to_bytes(HEADER_BYTES - LENGTH_BYTES, "big")
    frame = len(payload).to_bytes(LENGTH_BYTES, "big") + checksum + payload
    with pytest.raises(FrameError):
        FrameReader().feed(frame)
