"""Records of what passed at a socket: one JSON object per line, each written at once, so that a kill loses
none.

`t` is the monotonic clock in ns, which all processes of a machine share.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path
from time import monotonic_ns
from typing import Any

import msgspec


class RecordWriter:
    """Appends records to a file; discards them if the path is None."""

    def __init__(self, path: str | None) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644) if path else None
        self._encode = msgspec.json.Encoder().encode

    def __call__(self, what: str, **fields: Any) -> int:
        """Writes a record and returns its time."""
        now = monotonic_ns()
        if self._file is not None:
            os.write(self._file, self._encode({"t": now, "what": what, **fields}) + b"\n")
        return now


def read_records(path: Path) -> Iterator[dict[str, Any]]:
    """The complete records of a file; a truncated last line is skipped."""
    decode = msgspec.json.Decoder(dict[str, Any]).decode
    for line in path.read_bytes().split(b"\n")[:-1]:
        yield decode(line)
