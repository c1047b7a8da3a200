"""Makes checkpoints in a child process, so that neither the event loop nor the writer waits."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

TIMEOUT_SECONDS = 600.0  # a checkpoint process that runs longer is killed
LOWEST_PRIORITY = "19"


class CheckpointProcess:
    """Runs at most one child process at a time, which makes the checkpoint before one segment."""

    def __init__(self, log: Callable[[str, str], None]) -> None:
        self._log = log
        self._process: subprocess.Popen[bytes] | None = None
        self._started_seconds = 0.0  # monotonic clock
        self.segment: Path | None = None  # the segment of the latest checkpoint process

    @property
    def is_running(self) -> bool:
        """Whether the child process is running."""
        return self._process is not None and self._process.poll() is None

    def start(self, segment: Path) -> None:
        """Starts a process that makes the checkpoint before a segment."""
        self.segment, self._started_seconds = segment, time.monotonic()
        command = [sys.executable, "-m", "martenlead", "capture", "checkpoint", str(segment)]
        try:
            self._process = subprocess.Popen(
                ["nice", "-n", LOWEST_PRIORITY, *command],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
        except OSError as error:
            self._log("checkpoint_start_failed", str(error))

    def collect(self) -> bool:
        """Reaps an ended process; returns False while one runs. One that times out is killed."""
        if self._process is None:
            return True
        is_in_time = time.monotonic() - self._started_seconds < TIMEOUT_SECONDS
        if self.is_running and is_in_time:
            return False
        self._process.kill()
        if self._process.wait():
            self._log("checkpoint_failed", str(self.segment))
        self._process = None
        return True
