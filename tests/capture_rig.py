"""Shared by the tests of captures: the stored captures, and a writer whose log events are collected."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

from martenlead.capture.writer import CaptureSettings, CaptureWriter

CAPTURES = Path(__file__).parent / "captures"


def open_writer(tmp_path: Path, **settings: Any) -> tuple[CaptureWriter, list[str]]:
    """Opens a writer for a dispatcher named `edge`; returns it and the list of its log events."""
    logged: list[str] = []
    writer = CaptureWriter(
        CaptureSettings(folder=str(tmp_path), **{"flush_ms": 5, **settings}),
        "edge",
        lambda event, _: logged.append(event),
    )
    return writer, logged


def wait_until_written(writer: CaptureWriter, written: int) -> None:
    """Waits until the writer has written at least this number of events; fails after 10 s."""
    end = time.monotonic() + 10
    while writer.written < written and time.monotonic() < end:
        time.sleep(0.002)
    assert writer.written >= written
