"""The table of renames, and the files that it is applied to."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from pathlib import Path

FOLDERS = ("martenlead", "tests", "support", "benchmarks", "tools")


@dataclass
class Table:
    """A table of renames; `tools/rename.py` describes its parts."""

    modules: dict[str, str] = field(default_factory=dict)
    names: dict[str, dict[str, str]] = field(default_factory=dict)
    members: dict[str, dict[str, str]] = field(default_factory=dict)
    receivers: dict[str, str] = field(default_factory=dict)

    @classmethod
    def read(cls, path: Path) -> Table:
        """Reads a table from a TOML file."""
        return cls(**tomllib.loads(path.read_text()))


def sources(root: Path) -> list[Path]:
    """All Python files of the project."""
    return sorted(p for folder in FOLDERS for p in (root / folder).rglob("*.py"))


def module_of(root: Path, path: Path) -> str:
    """The dotted name of the module in a file."""
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
