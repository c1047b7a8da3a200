"""What the tests of captures share: the stored captures, and a writer whose reports are collected."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

from martenlead.capture.writer import CaptureSettings, CaptureWriter

CAPTURES = Path(__file__).parent / "captures"


def store(tmp_path: Path, **settings: Any) -> tuple[CaptureWriter, list[str]]:
    told: list[str] = []
    made = CaptureWriter(
        CaptureSettings(folder=str(tmp_path), **{"flush_ms": 5, **settings}),
        "edge",
        lambda what, _: told.append(what),
    )
    return made, told


def settle(made: CaptureWriter, written: int) -> None:
    end = time.monotonic() + 10
    while made.written < written and time.monotonic() < end:
        time.sleep(0.002)
    assert made.written >= written
