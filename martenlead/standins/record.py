"""What passed at a socket: one JSON object a line, written through at once, so that a kill loses no record.

`t` is the monotonic clock in ns, which all processes of one machine share.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path
from time import monotonic_ns
from typing import Any

import msgspec


class Recorder:
    """Appends to one file; None keeps nothing."""

    def __init__(self, path: str | None) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644) if path else None
        self._encode = msgspec.json.Encoder().encode

    def __call__(self, what: str, **about: Any) -> int:
        now = monotonic_ns()
        if self._file is not None:
            os.write(self._file, self._encode({"t": now, "what": what, **about}) + b"\n")
        return now


def read(path: Path) -> Iterator[dict[str, Any]]:
    """The whole records of a file; a torn last line is passed over."""
    decode = msgspec.json.Decoder(dict[str, Any]).decode
    for line in path.read_bytes().split(b"\n")[:-1]:
        yield decode(line)
