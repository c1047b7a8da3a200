"""The platform's protocol as the peers of a node speak it: clients, workers and the journal service."""

from __future__ import annotations

import json
import struct
from dataclasses import dataclass
from typing import Any

LOOPBACK_ADDRESS = 0x7F000001
WEIGHT_THOUSANDTHS = 1000
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "granularity": 0.001,
    "azs": ["east"],
    "skus": ["std"],
    "weights": "nominal",
    "allowed": {
        "attempts-cap": 5,
        "cancel": True,
        "may-duplicate": False,
        "retry-after": True,
        "max-retry-after": 2.0,
        "connect-timeout": 0.25,
        "conn-idle": 30.0,
        "streams-per-conn": 32,
    },
    "rules": {"cold-from": 0.2, "cold": 10.0, "fall-multiple": 2.5, "ask-every": 10.0},
    "family-info": {"if-cold": "load", "kind-memory-mb": [50_000], "linger-idle": 5.0, "tells-warm": True},
    "orgs": [{"name": "acme", "quota-per-s": 1000.0}],
    "classes": [
        {"name": "safe", "effect": "read_like", "on-time": 0.4, "give-up": 2.0},
        {
            "name": "keyed",
            "effect": "idempotency_key",
            "on-time": 0.4,
            "give-up": 2.0,
            "group": "all",
            "dedup-window": 8.0,
        },
        {"name": "unsafe", "effect": "non_idempotent", "on-time": 0.4, "give-up": 2.0},
    ],
}
"""The default settings object of a node's configuration."""


@dataclass(frozen=True)
class ListedWorker:
    """A worker as a node's configuration lists it."""

    number: int
    port: int
    started_ms: int = 0  # Unix time; 0 for a worker that started long ago


def with_deadlines(seconds: float) -> dict[str, Any]:
    """Returns the settings with this deadline for each request class, and half of it as the latency
    objective."""
    classes = [c | {"on-time": seconds / 2, "give-up": seconds} for c in SETTINGS["classes"]]
    return SETTINGS | {"classes": classes}


def configuration(
    name: str, port: int, journal_port: int, workers: list[ListedWorker], **more: Any
) -> dict[str, Any]:
    """Returns the content of a node's configuration file; `more` replaces whole entries of it."""
    members = [
        {
            "id": f"s-{worker.number:08x}",
            "host_port": f"127.0.0.1:{worker.port}",
            "locality": "east",
            "flavor": "std",
            "cell": 0,
            "phase": "in_service",
            "size": 1.0,
            "up_since_ms": worker.started_ms,
        }
        for worker in workers
    ]
    content = {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "journal": f"127.0.0.1:{journal_port}",
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"complete": True, "members": members}}]},
        "settings": SETTINGS,
    }
    return content | more


def frame(number: int, kind: int, *records: bytes) -> bytes:
    """Returns one event of the journal service; without records of workers it is a heartbeat (kind 0)."""
    payload = b"".join(records)
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


def record(number: int, port: int, state: int = 0, started: int = 0) -> bytes:
    """Returns the record of one worker for an event; `started` is a Unix time in ms."""
    return struct.pack(
        ">IIHBBBHIQ", number, LOOPBACK_ADDRESS, port, state, 0, 0, 0, WEIGHT_THOUSANDTHS, started
    )


def message(content: Any) -> bytes:
    """Returns a JSON-RPC message of a client, with its header."""
    body = json.dumps(content).encode()
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def answer(word: str, txn: str, why: str = "", raw: str = "", **more: Any) -> bytes:
    """Returns a response line of a worker; `word` is its outcome, `more` further properties."""
    props = {**({"why": why} if why else {}), **more}
    return json.dumps({"m": word, "txn": txn, "props": props, "raw": raw}).encode() + b"\n"
