"""An event that a worker could not read is refused at the edge, however a client has written it."""

from __future__ import annotations

import json

import anyio
import pytest

from martenlead.edge.protocol import OWN_FIELD_BYTES, OWN_FIELDS
from martenlead.events import cloudevent
from martenlead.events.client import Exchange
from martenlead.events.cloudevent import Event, encode_event
from martenlead.events.http import Message, MessageLimits, request
from martenlead.layers.choice import Failure
from martenlead.upstream.exchange_classifier import LOAD_FAILURE_HEADER, parse_load_failure
from support.fleet import EdgeRig, respond_ok, run_edge

STRUCTURED = [(b"content-type", b"application/cloudevents+json")]
MEMBERS = {"specversion": "1.0", "id": "1", "source": "/s", "type": "estimate", "model": "m"}
LIMITS = MessageLimits()
WORKERS = 2
LONG_TEXT = "é" * 300_000
TOO_LARGE = {
    "a long attribute": {"x": "y" * 20_000},
    "an attribute that is long once it is encoded": {"x": "é" * 3000},
    "a long content type": {"datacontenttype": "text/plain; x=" + "y" * 20_000},
    "too many attributes": {f"x{number}": "y" for number in range(LIMITS.header_lines)},
    "a long id": {"id": "1" * 20_000},
}


async def post(rig: EdgeRig, headers: list[tuple[bytes, bytes]], body: bytes) -> Exchange:
    with anyio.fail_after(10):
        return await rig.pool.exchange(request(b"POST", b"/", b"edge", headers, body))


@pytest.mark.anyio
@pytest.mark.parametrize("case", TOO_LARGE)
async def test_events_that_no_worker_could_read_leave_the_workers_alone(case: str) -> None:
    """Guards against a client whose events make every worker count as failed, so that others are rejected."""
    async with run_edge({"a": [respond_ok], "b": [respond_ok]}) as rig:
        for _ in range(3 * WORKERS):
            exchange = await post(rig, STRUCTURED, json.dumps(MEMBERS | TOO_LARGE[case]).encode())
            assert exchange.message is not None and exchange.message.status == 413
            assert json.loads(exchange.message.body)["attribute"] in TOO_LARGE[case]
        assert (await rig.call(ident="usual"))[0] == 200
        assert len(rig.received()) == 1


@pytest.mark.anyio
@pytest.mark.parametrize("is_structured", [True, False])
async def test_the_largest_event_that_is_taken_is_one_that_a_worker_reads(is_structured: bool) -> None:
    """Guards against lines of the edge's own that take an attempt over the limits of the worker."""
    more = {f"x{number}": "y" for number in range(LIMITS.header_lines - OWN_FIELDS - len(MEMBERS) - 1)}
    event = Event({**MEMBERS, **more, "x0": ""}, b"x", "text/plain")
    headers, _ = encode_event(event)
    used_bytes = sum(len(name) + len(value) + 4 for name, value in headers)
    event.attributes["x0"] = "y" * (LIMITS.head_bytes - OWN_FIELD_BYTES - used_bytes)
    async with run_edge({"a": [respond_ok]}) as rig:
        for status, size in ((200, 0), (413, 1)):
            event.attributes["x0"] = str(event.attributes["x0"]) + "y" * size
            headers, body = encode_event(event)
            if is_structured:
                headers, body = STRUCTURED, cloudevent.encode_json_event(event)
            exchange = await post(rig, headers, body)
            assert exchange.message is not None and exchange.message.status == status
        assert rig.received() == ["1 at a"]


@pytest.mark.anyio
async def test_a_long_attribute_is_refused_before_it_is_encoded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an event loop that stops while a megabyte is percent-encoded: 0.3 s were measured."""
    longest: list[int] = []
    encode_value = cloudevent.encode_value

    def record(value: cloudevent.AttributeValue) -> bytes:
        longest.append(len(str(value)))
        return encode_value(value)

    async with run_edge({"a": [respond_ok]}) as rig:
        monkeypatch.setattr(cloudevent, "encode_value", record)
        body = json.dumps(MEMBERS | {"x": LONG_TEXT}, ensure_ascii=False).encode()
        exchange = await post(rig, STRUCTURED, body)
        assert exchange.message is not None and exchange.message.status == 413
        assert max(longest, default=0) < LIMITS.head_bytes


@pytest.mark.anyio
async def test_names_that_clients_invent_are_counted_together() -> None:
    """Guards against metrics and memory that grow with each new name that a client invents."""
    names = [b"%04d" % number for number in range(50)]
    async with run_edge({"a": [respond_ok]}) as rig:
        for name in names:
            exchange = await post(rig, [(b"ce-_" + name, b"1")], b"")
            assert exchange.message is not None and exchange.message.status == 400
            assert json.loads(exchange.message.body)["attribute"] == f"_{name.decode()}"
        counts = rig.dispatcher.counts
        assert [name for kind, name in counts if kind == "refused"] == ["other"]
        assert counts["refused", "other"] == len(names)


def test_names_of_load_failures_are_those_of_the_protocol() -> None:
    """Guards against a counter for each name that a worker invents."""
    for name in Failure:
        message = Message(headers=[(LOAD_FAILURE_HEADER, name.value.encode())])
        assert parse_load_failure(message) == name.value
    for invented in (b"abcd", b"x" * 30, b"\xe9"):
        assert parse_load_failure(Message(headers=[(LOAD_FAILURE_HEADER, invented)])) == "unknown"
    assert parse_load_failure(Message()) == ""
