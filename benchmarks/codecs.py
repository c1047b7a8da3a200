"""Compares parsers and codecs, in microseconds per message within one run.

.venv/bin/pip install h11 cloudevents   # The program needs neither.
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


def parse_request() -> None:
    """Parses a request with the program's reader."""
    reader.feed(DATA)


reader = Reader(MessageLimits(), requests=True)


def main() -> None:
    """Prints the time of each case; cases of packages that are not installed are left out."""
    cases: dict[str, Callable[[], Any]] = {
        "request, httptools with our checks": parse_request,
        "event in binary mode, ours": lambda: cloudevent.decode_event(HEADERS, BODY),
        "event in structured mode, ours": lambda: cloudevent.decode_event(STRUCTURED, JSON),
        "event written in binary mode, ours": lambda: cloudevent.encode_event(EVENT),
    }
    try:
        import h11

        def with_h11() -> None:
            """Parses a request with h11."""
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
    results = {}
    for name, case in cases.items():
        results[name] = round(min(timeit.repeat(case, number=rounds, repeat=3)) / rounds * 1e6, 1)
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
