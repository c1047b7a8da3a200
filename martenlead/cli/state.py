"""`martenlead state`: shows, checks and prunes the durable state of dispatchers."""

# ruff: noqa: PLC0415 - the state store is imported only where a folder is read

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from martenlead.cli.output import print_json
from martenlead.config.load import ConfigError

if TYPE_CHECKING:
    from martenlead.durable_state.store import StoredState

SET_ASIDE_SUFFIX, TEMPORARY_SUFFIX = ".aside", ".part"
SET_ASIDE, UNREADABLE, COMPLETE = "set aside", "unreadable", "whole"  # in the output
NS_PER_SECOND = 1e9
MAX_STATE_BYTES = 1 << 30

folder_argument = click.argument("folder", type=click.Path(path_type=Path))
deployment_option = click.option(
    "--deployment", default="martenlead", help="name of the deployment in the settings"
)


class StateFile(msgspec.Struct, frozen=True, kw_only=True):
    """Describes one file of a state folder; `contents` depends on the kind of state."""

    file: str
    state: str
    size_bytes: int | None = None
    reason: str | None = None
    generation: int | None = None
    version: int | None = None
    age_seconds: float | None = None
    contents: dict[str, object] = msgspec.field(default_factory=dict)

    def to_json_object(self) -> dict[str, object]:
        """The known fields, by the keys of the output."""
        fields: dict[str, object | None] = {
            "file": self.file,
            "bytes": self.size_bytes,
            "state": self.state,
            "why": self.reason,
            "generation": self.generation,
            "version": self.version,
            "age_s": self.age_seconds,
        }
        known = {name: value for name, value in fields.items() if value is not None}
        return {**known, **self.contents}


@click.group()
def state() -> None:
    """Inspect the durable state that dispatchers keep across restarts in a folder."""


def _read_folder(folder: Path, deployment: str) -> list[StateFile]:
    """Describes every state file below a folder, without a lock. Raises `ConfigError`."""
    from martenlead.durable_state.store import STATE_FILE_NAME

    _check_folder(folder)
    found: list[StateFile] = []
    for path in sorted(folder.rglob("*")):
        match = STATE_FILE_NAME.match(path.name)
        if path.name.endswith(SET_ASIDE_SUFFIX):
            found.append(StateFile(file=str(path.relative_to(folder)), state=SET_ASIDE))
        if match:
            found.append(_read_file(path, str(path.relative_to(folder)), match[1], deployment))
    return found


def _check_folder(folder: Path) -> None:
    if not folder.is_dir():
        error = f"{folder}: no such folder"
        raise ConfigError(error)


def _read_file(path: Path, name: str, kind: str, deployment: str) -> StateFile:
    """Reads a state file of any version, without migrating it."""
    from martenlead.durable_state.store import (
        EPOCHS_KIND,
        StateKind,
        UnreadableStateError,
        read_version,
        unpack_state,
    )

    size_bytes = path.stat().st_size
    try:
        data = path.read_bytes()
        kind_as_written = StateKind(kind, read_version(data))
        stored = unpack_state(data, kind_as_written, deployment, MAX_STATE_BYTES)
    except (UnreadableStateError, OSError) as error:
        return StateFile(file=name, size_bytes=size_bytes, state=UNREADABLE, reason=str(error))
    return StateFile(
        file=name,
        size_bytes=size_bytes,
        state=COMPLETE,
        generation=stored.generation,
        version=stored.version,
        age_seconds=round(_age(stored) / NS_PER_SECOND, 1),
        contents=_summarize(stored.value, is_epoch=kind == EPOCHS_KIND),
    )


def _summarize(value: object, *, is_epoch: bool) -> dict[str, object]:
    """The fields of a state, with each list replaced by its length."""
    if is_epoch:
        return {"epoch": value}
    if not isinstance(value, dict):
        return {}
    return {name: len(part) if isinstance(part, list) else part for name, part in value.items()}


def _age(stored: StoredState) -> int:
    """The time since a state was saved, ns.

    Uses the boot clock if the state was saved since the machine booted, else the wall clock.
    """
    from martenlead.system import clocks

    value = stored.value if isinstance(stored.value, dict) else {}
    boot, uptime = value.get("boot"), value.get("at")
    if not isinstance(boot, str) or not isinstance(uptime, int):
        boot, uptime = "", 0
    return clocks.passed(clocks.Moment(stored.saved_ns, boot, uptime), clocks.moment())


@state.command()
@folder_argument
@deployment_option
def show(folder: Path, deployment: str) -> None:
    """Print the state files with their ages and summaries of their contents."""
    print_json([found.to_json_object() for found in _read_folder(folder, deployment)])


@state.command()
@folder_argument
@deployment_option
def check(folder: Path, deployment: str) -> None:
    """Check all state files. Exit 1 if one cannot be read."""
    files = _read_folder(folder, deployment)
    unreadable = [found for found in files if found.state == UNREADABLE]
    for found in unreadable:
        click.echo(f"{found.file}: {found.reason}", err=True)
    raise SystemExit(1 if unreadable else 0)


@state.command()
@folder_argument
def prune(folder: Path) -> None:
    """Remove state files that were set aside and temporary files of interrupted writes."""
    _check_folder(folder)
    set_aside, temporary = (
        folder.rglob(f"*{SET_ASIDE_SUFFIX}"),
        folder.rglob(f"*{TEMPORARY_SUFFIX}"),
    )
    for path in sorted([*set_aside, *temporary]):
        try:
            path.unlink()
        except OSError as error:
            message = f"{path}: {error.strerror or error}"
            raise ConfigError(message) from None
        click.echo(str(path))
