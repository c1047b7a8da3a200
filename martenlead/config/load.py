"""Evaluates Jsonnet and checks the result against structures.

An error is one line with the file, the path in it, and what was expected.
"""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any, TypeVar

import _jsonnet
import msgspec

TEMPLATES = Path(__file__).parent / "templates"
MAX_STACK_DEPTH = 200  # of Jsonnet calls
JSON_SCHEMA_VERSION = "https://json-schema.org/draft/2020-12/schema"

JsonValue = Any  # what Jsonnet evaluates to; only `decode` knows its shape
StructT = TypeVar("StructT")


class ConfigError(Exception):
    """Settings that cannot be used: one line with file, path in it, and expectation."""


def evaluate(path: Path, variables: dict[str, str] | None = None) -> JsonValue:
    """The value of a Jsonnet file.

    Imports are looked for beside the file, then among the templates here (`shapes.libsonnet`).
    `variables` are texts for `std.extVar`. Raises `ConfigError`.
    """
    if not path.is_file():
        message = f"{path}: no such file"
        raise ConfigError(message)
    try:
        text = _jsonnet.evaluate_file(
            str(path),
            jpathdir=[str(path.parent), str(TEMPLATES)],
            ext_vars=variables or {},
            max_stack=MAX_STACK_DEPTH,
        )
    except RuntimeError as error:
        message = f"{path}: {_summarize(str(error))}"
        raise ConfigError(message) from None
    return json.loads(text)


def _summarize(text: str) -> str:
    """One line of a Jsonnet error: what went wrong, and where."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    what = re.sub(r"^(STATIC|RUNTIME) ERROR: ", "", lines[0]) if lines else "not Jsonnet"
    where = next((line.split("\t")[0] for line in lines[1:] if re.search(r":\(?\d+", line)), "")
    return f"{what} ({where})" if where else what


def decode(value: JsonValue, kind: type[StructT], source: str) -> StructT:
    """Checks a value against a structure.

    Raises `ConfigError` for the first thing that is wrong; `source` names the file in it.
    """
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `")
        message = f"{source}: {where.rstrip('`') or '$'}: {what}"
        raise ConfigError(message) from None


def load(path: Path, kind: type[StructT], variables: dict[str, str] | None = None) -> StructT:
    """The structure that a Jsonnet file describes. Raises `ConfigError`."""
    return decode(evaluate(path, variables), kind, str(path))


def build_json_schema(kind: type) -> dict[str, object]:
    """JSON Schema (2020-12) of a structure."""
    return {"$schema": JSON_SCHEMA_VERSION, **msgspec.json.schema(kind)}
