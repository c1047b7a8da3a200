"""Orders to a runner, as the Open Inference Protocol's model repository extension has them, and the probe.

`POST /v2/repository/models/NAME/load` with `{"parameters": {"copies": N}}` holds at least N copies, N = 0
asks; `.../unload` drops the idle ones; `GET /v2/health/ready` probes. `copies` is ours, and so is the
answer's.
"""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import msgspec

from martenlead.events.client import Exchange
from martenlead.events.http import request
from martenlead.upstream.exchange_classifier import LOAD_REPORT_HEADER

JSON_HEADERS = [(b"content-type", b"application/json")]


class _LoadParameters(msgspec.Struct):
    replicas: int = msgspec.field(default=1, name="copies")
    memory_mb: float = 0.0
    lanes: int = 1


class LoadRequestBody(msgspec.Struct):
    parameters: _LoadParameters = msgspec.field(default_factory=_LoadParameters)


class LoadResponseBody(msgspec.Struct):
    """What a runner answers to an order."""

    replicas: int = msgspec.field(default=0, name="copies")


_decode_response = msgspec.json.Decoder(LoadResponseBody)
load_request_decoder = msgspec.json.Decoder(LoadRequestBody)


def encode_load_request(
    host: bytes, agent: bytes, model: str, copies: int, memory_mb: float, lanes: int
) -> bytes:
    body = msgspec.json.encode(LoadRequestBody(_LoadParameters(copies, memory_mb, lanes)))
    return request(
        b"POST",
        b"/v2/repository/models/%b/load" % _name(model),
        host,
        [*JSON_HEADERS, (b"user-agent", agent)],
        body,
    )


def encode_unload_request(host: bytes, agent: bytes, model: str) -> bytes:
    return request(
        b"POST",
        b"/v2/repository/models/%b/unload" % _name(model),
        host,
        [*JSON_HEADERS, (b"user-agent", agent)],
        b"{}",
    )


def encode_health_check(host: bytes, agent: bytes) -> bytes:
    return request(b"GET", b"/v2/health/ready", host, [(b"user-agent", agent)])


def _name(model: str) -> bytes:
    return quote(model, safe="").encode()


def parse_replica_count(exchange: Exchange) -> int:
    """Copies that stand, 0 where none was told."""
    if exchange.message is None:
        return 0
    try:
        return max(0, _decode_response.decode(exchange.message.body).replicas)
    except msgspec.DecodeError:
        return 0


def parse_load_report(raw: bytes | None) -> dict[str, float]:
    """A load report; what is not name=number is passed over."""
    values: dict[str, Any] = {}
    for pair in (raw or b"").split(b","):
        name, _, value = pair.partition(b"=")
        try:
            values[name.strip().decode("ascii")] = float(value)
        except ValueError:
            continue
    return values


__all__ = [
    "LOAD_REPORT_HEADER",
    "encode_health_check",
    "encode_load_request",
    "encode_unload_request",
    "load_request_decoder",
    "parse_load_report",
    "parse_replica_count",
]
