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
from martenlead.runnerlink.outcomes import REPORT

JSON = [(b"content-type", b"application/json")]


class _Parameters(msgspec.Struct):
    copies: int = 1
    memory_mb: float = 0.0
    lanes: int = 1


class LoadOrder(msgspec.Struct):
    parameters: _Parameters = msgspec.field(default_factory=_Parameters)


class Standing(msgspec.Struct):
    """What a runner answers to an order."""

    copies: int = 0


_standing = msgspec.json.Decoder(Standing)
order_body = msgspec.json.Decoder(LoadOrder)


def load(host: bytes, agent: bytes, model: str, copies: int, memory_mb: float, lanes: int) -> bytes:
    body = msgspec.json.encode(LoadOrder(_Parameters(copies, memory_mb, lanes)))
    return request(
        b"POST", b"/v2/repository/models/%b/load" % _name(model), host, [*JSON, (b"user-agent", agent)], body
    )


def unload(host: bytes, agent: bytes, model: str) -> bytes:
    return request(
        b"POST",
        b"/v2/repository/models/%b/unload" % _name(model),
        host,
        [*JSON, (b"user-agent", agent)],
        b"{}",
    )


def probe(host: bytes, agent: bytes) -> bytes:
    return request(b"GET", b"/v2/health/ready", host, [(b"user-agent", agent)])


def _name(model: str) -> bytes:
    return quote(model, safe="").encode()


def standing(exchange: Exchange) -> int:
    """Copies that stand, 0 where none was told."""
    if exchange.message is None:
        return 0
    try:
        return max(0, _standing.decode(exchange.message.body).copies)
    except msgspec.DecodeError:
        return 0


def report(raw: bytes | None) -> dict[str, float]:
    """A load report; what is not name=number is passed over."""
    values: dict[str, Any] = {}
    for pair in (raw or b"").split(b","):
        name, _, value = pair.partition(b"=")
        try:
            values[name.strip().decode("ascii")] = float(value)
        except ValueError:
            continue
    return values


__all__ = ["REPORT", "load", "order_body", "probe", "report", "standing", "unload"]
