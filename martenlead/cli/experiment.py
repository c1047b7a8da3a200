"""`martenlead experiment`: runs a plan's emulated days and compares their outcomes."""

# ruff: noqa: PLC0415 - the emulator and its plots are slow to import; no other sub-command needs them

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from martenlead.config.load import ConfigError

if TYPE_CHECKING:
    from martenlead.emulator.experiment import Plan
    from martenlead.emulator.job import Job, Outcome


@click.command()
@click.argument("plan", type=click.Path(path_type=Path))
@click.option(
    "--out",
    "results_folder",
    type=click.Path(path_type=Path),
    help="folder of the results; default: named like the plan",
)
@click.option(
    "--processes",
    type=click.IntRange(1),
    help="number of parallel processes; default: one per core",
)
@click.option(
    "--against", "commits", multiple=True, help="also compare with the policy at this commit"
)
@click.option("--seeds", type=click.IntRange(1), help="number of seeds; default: the plan's")
def experiment(
    plan: Path,
    results_folder: Path | None,
    processes: int | None,
    commits: tuple[str, ...],
    seeds: int | None,
) -> None:
    """Run a plan's emulated days in parallel; write one table and one page.

    After an interruption, the next run resumes where it stopped.
    """
    from martenlead.emulator import experiment as experiments

    chosen = _add_policies(experiments.read_plan(plan), commits)
    if seeds:
        chosen = msgspec.structs.replace(chosen, seeds=seeds)
    folder = results_folder or plan.with_suffix("")
    jobs = experiments.make_jobs(chosen, plan.parent)
    failed = _run_jobs(chosen, jobs, folder, processes or os.cpu_count() or 1)
    found = [experiments.read_outcome(folder / "jobs", job) for job in jobs]
    outcomes = [outcome for outcome in found if outcome is not None]
    for job, reason in failed:
        place = f"{job.script} {job.at} {job.policy} seed {job.seed}"
        click.echo(f"failed: {place}: {reason}", err=True)
    if not outcomes:
        raise SystemExit(1)
    _write_results(chosen, outcomes, folder)
    if failed or any(outcome.breaches for outcome in outcomes):
        raise SystemExit(1)


def _add_policies(plan: Plan, commits: tuple[str, ...]) -> Plan:
    """Adds the policies at these commits to the plan. Raises `ConfigError`."""
    from martenlead.emulator.policies import find_policy

    policies = [f"module@{commit}" for commit in commits]
    for policy in policies:
        try:
            find_policy(policy)
        except ValueError as error:
            raise ConfigError(str(error)) from None
    return msgspec.structs.replace(plan, policies=[*plan.policies, *policies])


def _run_jobs(plan: Plan, jobs: list[Job], folder: Path, processes: int) -> list[tuple[Job, str]]:
    """Runs the jobs without an outcome yet; returns the failed ones with the reasons."""
    from martenlead.emulator.experiment import run_jobs

    with click.progressbar(length=len(jobs), label=plan.name) as bar:

        def show_progress(done: int, _: object) -> None:
            """Moves the progress bar to this number of jobs."""
            bar.update(done - bar.pos)

        return list(run_jobs(jobs, folder / "jobs", processes, show_progress))


def _write_results(plan: Plan, outcomes: list[Outcome], folder: Path) -> None:
    """Writes the table, the page and the plots, and prints the comparison."""
    from martenlead.emulator.experiment import compare, write_table
    from martenlead.emulator.page import render_page, render_plots

    table = write_table(folder, outcomes, "results")
    report = folder / "report.html"
    report.write_text(render_page(plan, outcomes))
    (folder / "plots").mkdir(exist_ok=True)
    for title, drawn in render_plots(plan, outcomes).items():
        path = folder / "plots" / f"{title.lower().replace(' ', '-')}.svg"
        path.write_text(drawn[drawn.index("<svg") :])
    for result in compare(outcomes, plan.baseline):
        interval = f"{result.difference:+.4f} ({result.low:+.4f} to {result.high:+.4f})"
        click.echo(f"{result.script} {result.at} {result.policy:12} {result.mean:.4f}  {interval}")
    click.echo(f"{table}, {report}")
