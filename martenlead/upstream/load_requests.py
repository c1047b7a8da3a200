"""Encodes load, unload and health-check requests to a worker, and parses its responses.

They follow the model repository extension of the Open Inference Protocol: `POST
/v2/repository/models/NAME/load` with `{"parameters": {"copies": N}}` makes the worker keep at least
N replicas, and N = 0 only queries their number; `.../unload` unloads the idle ones; `GET
/v2/health/ready` is the health check. The parameter `copies` and the body of the response are
extensions of this project.
"""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from martenlead.events.client import Exchange
from martenlead.events.http import Headers, request
from martenlead.system.decode_errors import DECODE_ERRORS
from martenlead.upstream.exchange_classifier import LOAD_REPORT_HEADER

__all__ = [
    "LOAD_REPORT_HEADER",
    "encode_health_check",
    "encode_load_request",
    "encode_unload_request",
    "load_request_decoder",
    "parse_load_report",
    "parse_replica_count",
]

JSON_HEADERS: Headers = [(b"content-type", b"application/json")]


class _LoadParameters(msgspec.Struct):
    replicas: int = msgspec.field(default=1, name="copies")
    memory_mb: float = 0.0
    lanes: int = 1


class LoadRequestBody(msgspec.Struct):
    """The body of a load request."""

    parameters: _LoadParameters = msgspec.field(default_factory=_LoadParameters)


class LoadResponseBody(msgspec.Struct):
    """The body of the response to a load request: how many replicas are loaded."""

    replicas: int = msgspec.field(default=0, name="copies")


_load_response_decoder = msgspec.json.Decoder(LoadResponseBody)
load_request_decoder = msgspec.json.Decoder(LoadRequestBody)


def encode_load_request(
    host: bytes, agent: bytes, function: str, replicas: int, memory_mb: float, lanes: int
) -> bytes:
    """Returns a request to keep at least `replicas` loaded; `agent` is the User-Agent."""
    body = msgspec.json.encode(LoadRequestBody(_LoadParameters(replicas, memory_mb, lanes)))
    return _encode_repository_request(host, agent, function, b"load", body)


def encode_unload_request(host: bytes, agent: bytes, function: str) -> bytes:
    """Returns a request to unload the idle replicas of a function."""
    return _encode_repository_request(host, agent, function, b"unload", b"{}")


def encode_health_check(host: bytes, agent: bytes) -> bytes:
    """Returns a request for the worker's health and load report."""
    return request(b"GET", b"/v2/health/ready", host, [(b"user-agent", agent)])


def _encode_repository_request(
    host: bytes, agent: bytes, function: str, verb: bytes, body: bytes
) -> bytes:
    name = quote(function, safe="").encode()
    target = b"/v2/repository/models/%b/%b" % (name, verb)
    return request(b"POST", target, host, [*JSON_HEADERS, (b"user-agent", agent)], body)


def parse_replica_count(exchange: Exchange) -> int:
    """Returns the number of loaded replicas that a response states, 0 if it states none."""
    if exchange.message is None:
        return 0
    try:
        return max(0, _load_response_decoder.decode(exchange.message.body).replicas)
    except DECODE_ERRORS:
        return 0


def parse_load_report(raw: bytes | None) -> dict[str, float]:
    """Returns the values of a load-report header by name, skipping parts not name=number."""
    values: dict[str, float] = {}
    for pair in (raw or b"").split(b","):
        name, _, value = pair.partition(b"=")
        try:
            values[name.strip().decode("ascii")] = float(value)
        except ValueError:
            continue
    return values
