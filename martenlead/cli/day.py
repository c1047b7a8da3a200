"""`martenlead day`: plays a scripted day on sockets and audits it."""

from __future__ import annotations

import shutil
import signal
import sys
import tempfile
from collections import defaultdict
from pathlib import Path
from typing import Any, Literal, NoReturn, TypedDict

import anyio
import click
import msgspec

from martenlead.capture.outcomes import list_outcomes
from martenlead.capture.reader import find_runs
from martenlead.cli.output import format_json
from martenlead.config.load import ConfigError, decode, evaluate
from martenlead.days.books import reconcile
from martenlead.days.report import format_report, has_passed
from martenlead.days.run import DayFailed, run
from martenlead.days.script import MAX_ON_SOCKETS, Day, plan
from martenlead.standins.record import read_records

TERMINATED_EXIT_CODE = 128 + signal.SIGTERM
STEPS_PER_SECOND = 10  # progress bar steps per second of the day

Report = dict[str, Any]  # the audit report, as days/report.py builds it


class LedgerReport(TypedDict):
    """The result of comparing the dispatchers' captures with the clients' records."""

    entries: dict[str, int]
    odd: list[str]


@click.command()
@click.argument("script", type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="default: the script's")
@click.option(
    "--report",
    "report_file",
    type=click.Path(path_type=Path),
    help="write the report to this file as JSON",
)
@click.option(
    "--keep",
    "keep_folder",
    type=click.Path(path_type=Path),
    help="folder in which records and logs are kept",
)
@click.option("--layers", type=click.Choice(["on", "off"]), help="default: the script's")
@click.option(
    "--planner",
    type=click.Choice(["none", "beside", "one"]),
    help="which process plans replicas; default: the script's",
)
@click.option(
    "--capture",
    is_flag=True,
    help="every edge writes captures to captures/ in the folder of --keep",
)
def day(
    script: Path,
    seed: int | None,
    report_file: Path | None,
    keep_folder: Path | None,
    layers: str | None,
    planner: Literal["none", "beside", "one"] | None,
    capture: bool,
) -> None:
    """Play a scripted day on loopback and audit it. Exit 0 only if every rule was kept."""
    played = decode(evaluate(script), Day, str(script))
    if capture:
        played = msgspec.structs.replace(played, capture=True)
    if layers:
        if played.layers is None:
            error = f"{script}: $.layers: none, so there is nothing to be turned {layers}"
            raise ConfigError(error)
        changed_layers = msgspec.structs.replace(played.layers, on=layers == "on")
        played = msgspec.structs.replace(played, layers=changed_layers)
    if planner:
        planners = msgspec.structs.replace(played.planners, kind=planner)
        played = msgspec.structs.replace(played, planners=planners)
    run_on_sockets(played, str(script), seed, report_file, keep_folder)


def run_on_sockets(
    day: Day,
    script: str,
    seed: int | None,
    report_file: Path | None,
    keep_folder: Path | None = None,
) -> NoReturn:
    """Plays a day on sockets, prints its report, and exits."""
    seed = day.seed if seed is None else seed
    _check(day, script, seed)
    # exits by an exception, so that the cleanup stops the child processes
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(TERMINATED_EXIT_CODE))
    with tempfile.TemporaryDirectory(prefix="martenlead-day-") as temporary:
        folder = keep_folder or Path(temporary)
        _clear(folder)
        report = _play(day, seed, folder)
        report["books"] = _compare_records(day, seed, folder) if day.capture else None
    click.echo(format_report(report))
    if report_file:
        report_file.write_bytes(format_json(report))
    sys.exit(0 if has_passed(report) else 1)


def _check(day: Day, script: str, seed: int) -> None:
    """Raises `ConfigError` for a day that cannot be played on sockets."""
    for name, count in (("runners.count", day.runners.count), ("edges", day.edges)):
        if count > MAX_ON_SOCKETS:
            limit = f"at most {MAX_ON_SOCKETS} on sockets; `martenlead emulate` plays more"
            error = f"{script}: $.{name}: {limit}"
            raise ConfigError(error)
    try:
        plan(day, seed)
    except ValueError as error:
        message = f"{script}: {error}"
        raise ConfigError(message) from None


def _clear(folder: Path) -> None:
    """Creates the folder and removes the files of an earlier day."""
    folder.mkdir(parents=True, exist_ok=True)
    for records in folder.glob("*.jsonl"):
        records.unlink()
    for old in (folder / "vault", *folder.glob("box-*")):
        shutil.rmtree(old, ignore_errors=True)


def _play(day: Day, seed: int, folder: Path) -> Report:
    """Plays the day with a progress bar; exits 1 if it fails."""
    steps = int(day.seconds * STEPS_PER_SECOND)
    with click.progressbar(length=steps, label=f"{day.name}, seed {seed}") as bar:

        def show_progress(played_seconds: float) -> None:
            """Moves the progress bar to this time of the day."""
            bar.update(int(played_seconds * STEPS_PER_SECOND) - bar.pos)

        try:
            return anyio.run(run, day, seed, folder, show_progress)
        except DayFailed as error:
            click.echo(str(error), err=True)
            sys.exit(1)


def _compare_records(day: Day, seed: int, folder: Path) -> LedgerReport:
    """Compares the dispatchers' captures with the clients' records."""
    edges = [edge["name"] for edge in plan(day, seed).edges]
    outcomes: dict[tuple[str, str], list[str]] = defaultdict(list)
    for captured in find_runs([folder / "captures"]):
        edge = captured.name.replace("_", "-")
        for request, found in list_outcomes(captured.events()).items():
            outcomes[edge, request] += found
    processes = read_records(folder / "processes.jsonl")
    killed = {edges[record["edge"]] for record in processes if record["what"] == "killed"}
    compared = reconcile(list(read_records(folder / "clients.jsonl")), edges, outcomes, killed)
    return {"entries": dict(compared.entries), "odd": compared.mismatches}
