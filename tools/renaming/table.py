"""The table that says what is to be renamed, and the files that it is applied to."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from pathlib import Path

FOLDERS = ("martenlead", "tests", "support", "benchmarks", "tools")


@dataclass
class Table:
    """What is to be renamed."""

    modules: dict[str, str] = field(default_factory=dict)
    names: dict[str, dict[str, str]] = field(default_factory=dict)
    members: dict[str, dict[str, str]] = field(default_factory=dict)
    receivers: dict[str, str] = field(default_factory=dict)

    @classmethod
    def read(cls, path: Path) -> Table:
        return cls(**tomllib.loads(path.read_text()))


def sources(root: Path) -> list[Path]:
    """Every Python file of the tree that the project owns."""
    return sorted(p for folder in FOLDERS for p in (root / folder).rglob("*.py"))


def module_of(root: Path, path: Path) -> str:
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
