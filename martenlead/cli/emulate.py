"""`martenlead emulate`: plays a scripted day in virtual time and audits it."""

# ruff: noqa: PLC0415 - the emulator is slow to import, and only this sub-command needs it

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from martenlead.cli.output import format_json, print_json
from martenlead.config.load import ConfigError, decode, evaluate
from martenlead.days.report import format_report, has_passed
from martenlead.days.script import Day

if TYPE_CHECKING:
    from martenlead.emulator.fleet import Fleet
    from martenlead.emulator.job import Job, Outcome

STEPS_PER_SECOND = 10  # progress bar steps per second of the day


@click.command()
@click.argument("script", type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="default: the script's")
@click.option(
    "--policy",
    default="module",
    help="the deciding policy: module, random, two, least, hash, oracle",
)
@click.option("--runners", "workers", type=click.IntRange(1), help="default: the script's")
@click.option("--edges", type=click.IntRange(1), help="default: the script's")
@click.option(
    "--rate",
    type=click.FloatRange(0, min_open=True),
    help="requests per second; default: the script's",
)
@click.option(
    "--audit/--no-audit", default=True, help="audit the rules; keeps all records in memory"
)
@click.option(
    "--report",
    "report_file",
    type=click.Path(path_type=Path),
    help="write the report to this file as JSON",
)
def emulate(
    script: Path,
    seed: int | None,
    policy: str,
    workers: int | None,
    edges: int | None,
    rate: float | None,
    audit: bool,
    report_file: Path | None,
) -> None:
    """Play a scripted day in virtual time and audit it. Exit 0 only if every rule was kept."""
    replace = msgspec.structs.replace
    day = decode(evaluate(script), Day, str(script))
    if workers:
        day = replace(day, runners=replace(day.runners, count=workers))
    if edges:
        day = replace(day, edges=edges)
    if rate:
        factor = rate / day.clients.rate_per_s
        clients = replace(day.clients, rate_per_s=rate)
        day = replace(day, clients=clients, quota_per_s=day.quota_per_s * factor)
    run_emulated(day, str(script), seed, policy, audit, report_file)


def run_emulated(
    day: Day, script: str, seed: int | None, policy: str, audit: bool, report_file: Path | None
) -> None:
    """Plays a day in virtual time and prints its report; exits 1 if a rule was broken.

    Raises:
        ConfigError: the script cannot be played.
    """
    from martenlead.emulator.job import Job

    seed = day.seed if seed is None else seed
    job = Job(script=script, day=day, seed=seed, policy=policy, audit=audit)
    try:
        outcome, fleet = _run_job(job)
    except ValueError as error:
        message = f"{script}: {error}"
        raise ConfigError(message) from None
    report = fleet.report() if audit else msgspec.to_builtins(outcome)
    if report_file is not None:
        report_file.write_bytes(format_json(report) + b"\n")
    if audit:
        click.echo(format_report(report))
    else:
        print_json(fleet.statistics.summary())
    speed = f"{day.seconds:g} s of the day in {outcome.took_s:.1f} s"
    click.echo(f"{outcome.events} events; {speed}")
    if audit and not has_passed(report):
        raise SystemExit(1)


def _run_job(job: Job) -> tuple[Outcome, Fleet]:
    """Runs a job with a progress bar. Raises ValueError for a script that cannot be played."""
    from martenlead.emulator.job import run_job

    steps = int(job.day.seconds * STEPS_PER_SECOND)
    with click.progressbar(length=steps, label=f"{job.day.name}, seed {job.seed}") as bar:

        def show_progress(played_seconds: float) -> None:
            """Moves the progress bar to this time of the day."""
            position = min(bar.length or 0, int(played_seconds * STEPS_PER_SECOND))
            bar.update(position - bar.pos)

        return run_job(job, show_progress)
