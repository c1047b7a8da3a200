"""Evaluates Jsonnet and decodes it into checked structures; errors are one line with file, path and
expectation."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any, TypeVar

import _jsonnet
import msgspec

TEMPLATES = Path(__file__).parent / "templates"
StructT = TypeVar("StructT")


class ConfigError(Exception):
    """One line: the file, the path in it, what was expected."""


def evaluate(path: Path, variables: dict[str, str] | None = None) -> Any:
    """The value of a Jsonnet file. Imports are sought beside it, then among our templates
    (`shapes.libsonnet`).

    `variables` are texts for `std.extVar`. Raises `BadConfig`.
    """
    if not path.is_file():
        raise ConfigError(f"{path}: no such file")
    try:
        text = _jsonnet.evaluate_file(
            str(path), jpathdir=[str(path.parent), str(TEMPLATES)], ext_vars=variables or {}, max_stack=200
        )
    except RuntimeError as error:
        raise ConfigError(f"{path}: {_first(str(error))}") from None
    return json.loads(text)


def _first(text: str) -> str:
    """Jsonnet tells what and then where, over several lines; both in one, its own noise aside."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    what = re.sub(r"^(STATIC|RUNTIME) ERROR: ", "", lines[0]) if lines else "not Jsonnet"
    where = next((line.split("\t")[0] for line in lines[1:] if re.search(r":\(?\d+", line)), "")
    return f"{what} ({where})" if where else what


def decode(value: Any, kind: type[StructT], source: str) -> StructT:
    """Checks a value against a structure. Raises `BadConfig` with the first thing that is wrong."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `")
        raise ConfigError(f"{source}: {where.rstrip('`') or '$'}: {what}") from None


def load(path: Path, kind: type[StructT], variables: dict[str, str] | None = None) -> StructT:
    return decode(evaluate(path, variables), kind, str(path))


def build_json_schema(kind: type) -> dict[str, Any]:
    """JSON Schema (2020-12) of a structure."""
    found = msgspec.json.schema(kind)
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **found}
