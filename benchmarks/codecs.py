"""Parsers and codecs that were weighed, microseconds a message in one run.

.venv/bin/pip install h11 cloudevents   # neither is needed by the program
.venv/bin/python benchmarks/codecs.py
"""

from __future__ import annotations

import json
import timeit
from collections.abc import Callable
from typing import Any

from martenlead.events import cloudevent, http
from martenlead.events.http import MessageLimits, Reader

EVENT = cloudevent.Event(
    {
        "specversion": "1.0",
        "id": "1234",
        "source": "/portal",
        "type": "estimate",
        "model": "estimate.7",
        "customer": "portal",
        "lanes": 4,
        "memorymb": 3000,
        "timeleftms": 3500,
    },
    b'{"borrower": 1}',
    "application/json",
)
HEADERS, BODY = cloudevent.encode_event(EVENT)
STRUCTURED = [(b"content-type", b"application/cloudevents+json")]
JSON = cloudevent.encode_json_event(EVENT)
DATA = http.request(b"POST", b"/", b"edge", HEADERS, BODY)


def ours() -> None:
    reader.feed(DATA)


reader = Reader(MessageLimits(), requests=True)


def main() -> None:
    cases: dict[str, Callable[[], Any]] = {
        "request, httptools with our checks": ours,
        "event in binary mode, ours": lambda: cloudevent.decode_event(HEADERS, BODY),
        "event in structured mode, ours": lambda: cloudevent.decode_event(STRUCTURED, JSON),
        "event written in binary mode, ours": lambda: cloudevent.encode_event(EVENT),
    }
    try:
        import h11

        def with_h11() -> None:
            connection = h11.Connection(h11.SERVER)
            connection.receive_data(DATA)
            while connection.next_event() not in (h11.NEED_DATA, h11.PAUSED):
                if connection.their_state is h11.DONE:
                    break

        cases["request, h11"] = with_h11
    except ImportError:
        pass
    try:
        import cloudevents.v1.http as sdk

        plain = {name.decode(): value.decode() for name, value in HEADERS}
        kind = {"content-type": "application/cloudevents+json"}
        cases["event in binary mode, cloudevents SDK"] = lambda: sdk.from_http(plain, BODY)
        cases["event in structured mode, cloudevents SDK"] = lambda: sdk.from_http(kind, JSON)
    except ImportError:
        pass
    rounds = 5000
    told = {}
    for name, case in cases.items():
        told[name] = round(min(timeit.repeat(case, number=rounds, repeat=3)) / rounds * 1e6, 1)
    print(json.dumps(told, indent=1))


if __name__ == "__main__":
    main()
