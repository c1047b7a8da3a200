"""Records of measurements, one JSON object per line for each measured size and role."""

from __future__ import annotations

import math
import subprocess
from datetime import UTC, datetime
from enum import Enum
from functools import cache
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.scale.sizes import FleetSize


class Role(Enum):
    """The roles of the control plane."""

    DISPATCHER = "dispatcher"
    DISCOVERY = "discovery"
    CONFIGURATION = "configuration"
    WORKER_AGENT = "worker agent"
    STATE = "state"


class Record(msgspec.Struct):
    """One measurement. Names in `costs` end with their unit; `note` says what a cost leaves out."""

    role: str
    axis: str
    size: dict[str, float]
    costs: dict[str, float | None]
    assumptions: dict[str, float]
    seed: int
    commit: str
    date: str
    held_out: bool = False
    virtual_seconds: float = 0.0
    stopped_early: bool = False
    note: str = ""


@cache
def commit() -> str:
    """Returns the measured commit as of the first call, with `+changed` where files differ from it."""
    root = Path(__file__).parents[2]

    def git(*arguments: str) -> str:
        """Returns the output of a git command."""
        ran = subprocess.run(["git", *arguments], cwd=root, capture_output=True, text=True, check=False)
        return ran.stdout.strip()

    changed = git("status", "--porcelain", "--", "martenlead", "benchmarks/scale/*.py")
    return (git("rev-parse", "--short", "HEAD") or "unknown") + ("+changed" if changed else "")


def now() -> str:
    """Returns the current time in UTC as ISO 8601."""
    return datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def rounded(costs: dict[str, float | None]) -> dict[str, float | None]:
    """Rounds to four significant digits; None for costs that could not be measured."""
    return {name: _significant(value) for name, value in costs.items()}


def _significant(value: float | None) -> float | None:
    if value is None or not math.isfinite(value):
        return None
    return value if isinstance(value, int) or value == 0 else float(f"{value:.4g}")


def line(record: Record) -> str:
    """Encodes a record as one line of JSON."""
    return msgspec.json.encode(record).decode()


def record(role: Role, size: FleetSize, costs: dict[str, float | None], **fields: Any) -> Record:
    """Creates a record with the current time and commit."""
    return Record(
        role=role.value, size=size.record(), costs=rounded(costs), commit=commit(), date=now(), **fields
    )
