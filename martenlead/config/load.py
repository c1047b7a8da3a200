"""Evaluates Jsonnet and validates the result against typed structures.

An error message is one line with the file, the path in it, and what was expected.
"""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any, TypeVar

import _jsonnet
import msgspec

TEMPLATES = Path(__file__).parent / "templates"
MAX_STACK_DEPTH = 200  # nested Jsonnet calls
JSON_SCHEMA_VERSION = "https://json-schema.org/draft/2020-12/schema"

JsonValue = Any  # an evaluated value that `decode` has not validated yet
StructT = TypeVar("StructT")


class ConfigError(Exception):
    """Invalid settings; the message is one line with file, path in it, and expectation."""


def evaluate(path: Path, variables: dict[str, str] | None = None) -> JsonValue:
    """Evaluates a Jsonnet file.

    Imports are searched in the file's folder, then in `templates` here (`shapes.libsonnet`).
    `variables` are strings for `std.extVar`. Raises `ConfigError`.
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
    """Summarizes a Jsonnet error in one line: the message, and its position."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    what = re.sub(r"^(STATIC|RUNTIME) ERROR: ", "", lines[0]) if lines else "not Jsonnet"
    where = next((line.split("\t")[0] for line in lines[1:] if re.search(r":\(?\d+", line)), "")
    return f"{what} ({where})" if where else what


def decode(value: JsonValue, kind: type[StructT], source: str) -> StructT:
    """Converts a value to a structure and validates it.

    Raises `ConfigError` for the first error; `source` is the file that it names.
    """
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `")
        message = f"{source}: {where.rstrip('`') or '$'}: {what}"
        raise ConfigError(message) from None


def load(path: Path, kind: type[StructT], variables: dict[str, str] | None = None) -> StructT:
    """Reads a structure from a Jsonnet file. Raises `ConfigError`."""
    return decode(evaluate(path, variables), kind, str(path))


def build_json_schema(kind: type) -> dict[str, object]:
    """Returns the JSON Schema (2020-12) of a structure."""
    return {"$schema": JSON_SCHEMA_VERSION, **msgspec.json.schema(kind)}
