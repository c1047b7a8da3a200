"""Event loops for tests on real sockets whose time does not depend on how busy the machine is.

`VirtualTimeLoop`: time passes only while nothing is left to do. Timers fire in their order and as far
apart as they were set, and no test waits for them. Computing takes no time, so a test of how fast something
is must not use it.

`ProcessTimeLoop`: time passes while the loop waits and while it computes, but not while this process waits
for a core. Both the program and its peers have to be in this process, in one thread.
"""

from __future__ import annotations

import asyncio
import selectors
import sys
import time
import types
from collections.abc import Callable
from typing import Any

import pytest

from martenlead.system import clocks

START_SECONDS = 1_000.0
DELIVERY_SECONDS = 0.001  # real time for the kernel to deliver what was sent on the loopback device


class VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the time to the next timer if no descriptor is ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now_seconds = START_SECONDS

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns what is ready; waits for it if there is no timer."""
        if timeout is None:
            return super().select(None)
        ready = super().select(0)
        if ready or timeout <= 0:
            return ready
        ready = super().select(DELIVERY_SECONDS)
        if not ready:
            self.now_seconds += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop for the `loop_factory` of anyio's backend options."""

    def __init__(self) -> None:
        self._virtual = VirtualTimeSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Returns seconds, as the timers of the loop and the deadlines of anyio count it."""
        return self._virtual.now_seconds

    def stall(self, seconds: float) -> None:
        """Advances the time while the loop runs nothing, as on a machine that has no core for it."""
        self._virtual.now_seconds += seconds


class ProcessTimeSelector(selectors.DefaultSelector):
    """Adds up how long the loop has waited, each time at most until its next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.waited_seconds = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns what is ready."""
        began, computed = time.monotonic(), time.thread_time()
        ready = super().select(timeout)
        waited = time.monotonic() - began - (time.thread_time() - computed)
        self.waited_seconds += max(0.0, waited if timeout is None else min(waited, timeout))
        return ready


class ProcessTimeLoop(asyncio.SelectorEventLoop):
    """An event loop for the `loop_factory` of anyio's backend options."""

    def __init__(self) -> None:
        self._process = ProcessTimeSelector()
        super().__init__(self._process)

    def time(self) -> float:
        """Returns seconds, as the timers of the loop and the deadlines of anyio count it."""
        return START_SECONDS + self._process.waited_seconds + time.thread_time()


VIRTUAL_TIME: Any = ("asyncio", {"loop_factory": VirtualTimeLoop})
PROCESS_TIME: Any = ("asyncio", {"loop_factory": ProcessTimeLoop})
"""Values of the fixture `anyio_backend`."""


def follow_loop_time(monkeypatch: pytest.MonkeyPatch) -> Callable[[], int]:
    """Has all modules of the program that import `monotonic` or `monotonic_ns`, and the clocks of
    `martenlead.system.clocks` that depend on it, read the time of the running loop. Returns that clock, in
    ns, for objects that take one."""
    loop = asyncio.get_running_loop()

    def clock() -> int:
        return round(loop.time() * 1e9)

    loop_time = types.ModuleType("time")
    vars(loop_time).update(vars(time) | {"monotonic": loop.time, "monotonic_ns": clock})
    monkeypatch.setattr(clocks, "time", loop_time)
    replacements: list[tuple[str, Any, Any]] = [
        ("monotonic", time.monotonic, loop.time),
        ("monotonic_ns", time.monotonic_ns, clock),
    ]
    for module in [module for name, module in sys.modules.items() if name.startswith("martenlead.")]:
        for name, original, replacement in replacements:
            if getattr(module, name, None) is original:
                monkeypatch.setattr(module, name, replacement)
    return clock
