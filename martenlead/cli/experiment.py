from __future__ import annotations

import os
from pathlib import Path

import click
import msgspec

from martenlead.config.load import ConfigError


@click.command()
@click.argument("plan", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="folder of the results; else the plan's name")
@click.option("--processes", type=click.IntRange(1), help="at once; as many as there are cores")
@click.option("--against", "against", multiple=True, help="compare with the module at this commit too")
@click.option("--seeds", type=click.IntRange(1), help="in place of the plan's")
def experiment(
    plan: Path, out: Path | None, processes: int | None, against: tuple[str, ...], seeds: int | None
) -> None:
    """Run a plan's emulated days in parallel; one table and one page. Stopped, it goes on where it was."""
    from martenlead.emulator import experiment as e
    from martenlead.emulator.page import page, plots
    from martenlead.emulator.policies import find

    made = e.read(plan)
    if seeds:
        made = msgspec.structs.replace(made, seeds=seeds)
    if against:
        more = [f"module@{commit}" for commit in against]
        made = msgspec.structs.replace(made, policies=[*made.policies, *more])
        for policy in more:
            try:
                find(policy)
            except ValueError as error:
                raise ConfigError(str(error)) from None
    todo = e.jobs(made, plan.parent)
    folder = out or plan.with_suffix("")
    failed = []
    at_once = processes or os.cpu_count() or 1
    with click.progressbar(length=len(todo), label=made.name) as bar:
        for job, why in e.do(
            todo,
            folder / "jobs",
            at_once,
            lambda done, _: bar.update(done - bar.pos),
        ):
            failed.append((job, why))
    outcomes = [o for job in todo if (o := e.kept(folder / "jobs", job)) is not None]
    for job, why in failed:
        click.echo(f"failed: {job.script} {job.at} {job.policy} seed {job.seed}: {why}", err=True)
    if not outcomes:
        raise SystemExit(1)
    table = e.together(folder, outcomes, "results")
    shown = folder / "report.html"
    shown.write_text(page(made, outcomes))
    (folder / "plots").mkdir(exist_ok=True)
    for title, drawn in plots(made, outcomes).items():
        (folder / "plots" / f"{title.lower().replace(' ', '-')}.svg").write_text(drawn[drawn.index("<svg") :])
    for c in e.compare(outcomes, made.baseline):
        interval = f"{c.difference:+.4f} ({c.low:+.4f} to {c.high:+.4f})"
        click.echo(f"{c.script} {c.at} {c.policy:12} {c.mean:.4f}  {interval}")
    click.echo(f"{table}, {shown}")
    if failed or any(o.breaches for o in outcomes):
        raise SystemExit(1)
