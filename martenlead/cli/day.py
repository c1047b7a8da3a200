from __future__ import annotations

import shutil
import signal
import sys
import tempfile
from collections import defaultdict
from pathlib import Path
from typing import Any, Literal, NoReturn

import anyio
import click
import msgspec

from martenlead.capture.outcomes import list_outcomes
from martenlead.capture.reader import find_runs
from martenlead.config.load import ConfigError, decode, evaluate
from martenlead.days.books import balance
from martenlead.days.report import kept, table
from martenlead.days.run import DayFailed, run
from martenlead.days.script import ON_SOCKETS, Day, plan
from martenlead.standins.record import read


@click.command()
@click.argument("script", type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="in place of the script's")
@click.option("--report", "report_file", type=click.Path(path_type=Path), help="take the report as JSON")
@click.option("--keep", type=click.Path(path_type=Path), help="folder for records and logs, kept")
@click.option("--layers", type=click.Choice(["on", "off"]), help="in place of the script's")
@click.option(
    "--planner",
    type=click.Choice(["none", "beside", "one"]),
    help="in place of the script's: who decides on copies",
)
@click.option("--capture", is_flag=True, help="each edge captures, into captures/ of the folder kept")
def day(
    script: Path,
    seed: int | None,
    report_file: Path | None,
    keep: Path | None,
    layers: str | None,
    planner: Literal["none", "beside", "one"] | None,
    capture: bool,
) -> None:
    """Play a scripted day on loopback and audit it. Exit 0 only if every rule was kept."""
    made = decode(evaluate(script), Day, str(script))
    if capture:
        made = msgspec.structs.replace(made, capture=True)
    if layers:
        if made.layers is None:
            raise ConfigError(f"{script}: $.layers: none, so there is nothing to be turned {layers}")
        told_layers = msgspec.structs.replace(made.layers, on=layers == "on")
        made = msgspec.structs.replace(made, layers=told_layers)
    if planner:
        planners = msgspec.structs.replace(made.planners, kind=planner)
        made = msgspec.structs.replace(made, planners=planners)
    run_on_sockets(made, str(script), seed, report_file, keep)


def run_on_sockets(
    made: Day, script: str, seed: int | None, report_file: Path | None, keep: Path | None = None
) -> NoReturn:
    """Plays a day on sockets, tells of it, and exits."""
    for name, count in (("runners.count", made.runners.count), ("edges", made.edges)):
        if count > ON_SOCKETS:
            raise ConfigError(
                f"{script}: $.{name}: at most {ON_SOCKETS} on sockets; `martenlead emulate` plays more"
            )
    chosen = made.seed if seed is None else seed
    try:
        plan(made, chosen)
    except ValueError as error:
        raise ConfigError(f"{script}: {error}") from None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))  # its processes end with it
    with tempfile.TemporaryDirectory(prefix="martenlead-day-") as temporary:
        folder = keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.glob("*.jsonl"):
            old.unlink()
        for old in (folder / "vault", *folder.glob("box-*")):
            shutil.rmtree(old, ignore_errors=True)
        shown = click.progressbar(length=int(made.seconds * 10), label=f"{made.name}, seed {chosen}")
        with shown as bar:

            def progress(at: float) -> None:
                bar.update(int(at * 10) - bar.pos)

            try:
                told = anyio.run(run, made, chosen, folder, progress)
            except DayFailed as error:
                click.echo(str(error), err=True)
                sys.exit(1)
            told["books"] = _books(made, chosen, folder) if made.capture else None
    click.echo(table(told))
    if report_file:
        report_file.write_bytes(msgspec.json.format(msgspec.json.encode(told)))
    sys.exit(0 if kept(told) else 1)


def _books(day: Day, seed: int, folder: Path) -> dict[str, Any]:
    """The dispatchers' captures beside the clients' records."""
    edges = [edge["name"] for edge in plan(day, seed).edges]
    told: dict[tuple[str, str], list[str]] = defaultdict(list)
    for one in find_runs([folder / "captures"]):
        for ident, ends in list_outcomes(one.events()).items():
            told[one.name.replace("_", "-"), ident] += ends
    killed = {edges[r["edge"]] for r in read(folder / "processes.jsonl") if r["what"] == "killed"}
    found = balance(list(read(folder / "clients.jsonl")), edges, told, killed)
    return {"entries": dict(found.entries), "odd": found.odd}
