"""One JSON object a line for each measured size and role."""

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
    """One measurement. Units stand at the end of the names in `costs`; `note` says what a cost leaves out."""

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
    """The commit that is measured, as it stood when first asked for, with a mark where files differ."""
    root = Path(__file__).parents[2]

    def git(*arguments: str) -> str:
        ran = subprocess.run(["git", *arguments], cwd=root, capture_output=True, text=True, check=False)
        return ran.stdout.strip()

    changed = git("status", "--porcelain", "--", "martenlead", "benchmarks/scale/*.py")
    return (git("rev-parse", "--short", "HEAD") or "unknown") + ("+changed" if changed else "")


def now() -> str:
    return datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def rounded(costs: dict[str, float | None]) -> dict[str, float | None]:
    """Four significant digits; None for what could not be measured."""
    return {name: _significant(value) for name, value in costs.items()}


def _significant(value: float | None) -> float | None:
    if value is None or not math.isfinite(value):
        return None
    return value if isinstance(value, int) or value == 0 else float(f"{value:.4g}")


def line(record: Record) -> str:
    return msgspec.json.encode(record).decode()


def record(role: Role, size: FleetSize, costs: dict[str, float | None], **about: Any) -> Record:
    """A record of now."""
    return Record(
        role=role.value, size=size.record(), costs=rounded(costs), commit=commit(), date=now(), **about
    )
