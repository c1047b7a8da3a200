from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from martenlead.config.load import ConfigError

if TYPE_CHECKING:
    from martenlead.durable_state.store import StoredState

FOLDER = click.Path(path_type=Path)


@click.group()
def state() -> None:
    """What dispatchers keep over their lives, in a folder."""


def _read(folder: Path, deployment: str) -> list[dict[str, Any]]:
    """Every state file below a folder; reads only, and holds no lock."""
    from martenlead.durable_state.store import (
        EPOCHS_KIND,
        STATE_FILE_NAME,
        StateKind,
        UnreadableStateError,
        read_version,
        unpack_state,
    )

    if not folder.is_dir():
        raise ConfigError(f"{folder}: no such folder")
    found: list[dict[str, Any]] = []
    for path in sorted(folder.rglob("*")):
        match = STATE_FILE_NAME.match(path.name)
        if path.name.endswith(".aside"):
            found.append({"file": str(path.relative_to(folder)), "state": "set aside"})
        if not match:
            continue
        about: dict[str, Any] = {"file": str(path.relative_to(folder)), "bytes": path.stat().st_size}
        try:
            data = path.read_bytes()
            # as it was written, of whatever version: nothing is migrated to be looked at
            told = unpack_state(data, StateKind(match[1], read_version(data)), deployment, 1 << 30)
        except (UnreadableStateError, OSError) as error:
            found.append({**about, "state": "unreadable", "why": str(error)})
            continue
        about |= {"state": "whole", "generation": told.generation, "version": told.version}
        about["age_s"] = round(_age(told) / 1e9, 1)
        if match[1] == EPOCHS_KIND:
            about["epoch"] = told.value
        elif isinstance(told.value, dict):
            about |= {
                name: len(value) if isinstance(value, list) else value for name, value in told.value.items()
            }
        found.append(about)
    return found


def _age(told: StoredState) -> int:
    """Since a state was saved, ns: by the boot clock where it holds one of this start of the machine."""
    from martenlead.system import clocks

    value = told.value if isinstance(told.value, dict) else {}
    boot, uptime = value.get("boot"), value.get("at")
    if not isinstance(boot, str) or not isinstance(uptime, int):
        boot, uptime = "", 0
    return clocks.passed(clocks.Moment(told.saved_ns, boot, uptime), clocks.moment())


def _json(told: Any) -> None:
    click.echo(msgspec.json.format(msgspec.json.encode(told)))


@state.command()
@click.argument("folder", type=FOLDER)
@click.option("--deployment", default="martenlead", help="as in the settings")
def show(folder: Path, deployment: str) -> None:
    """What is kept: files, ages, and how much of each."""
    _json(_read(folder, deployment))


@state.command()
@click.argument("folder", type=FOLDER)
@click.option("--deployment", default="martenlead", help="as in the settings")
def check(folder: Path, deployment: str) -> None:
    """Exit 1 if a state cannot be read."""
    bad = [one for one in _read(folder, deployment) if one["state"] == "unreadable"]
    for one in bad:
        click.echo(f"{one['file']}: {one['why']}", err=True)
    raise SystemExit(1 if bad else 0)


@state.command()
@click.argument("folder", type=FOLDER)
def prune(folder: Path) -> None:
    """Remove what was set aside, and what is left of writes that were cut short."""
    if not folder.is_dir():
        raise ConfigError(f"{folder}: no such folder")
    for path in sorted([*folder.rglob("*.aside"), *folder.rglob("*.part")]):
        try:
            path.unlink()
        except OSError as error:
            raise ConfigError(f"{path}: {error.strerror or error}") from None
        click.echo(str(path))
