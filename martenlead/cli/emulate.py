from __future__ import annotations

from pathlib import Path

import click
import msgspec

from martenlead.config.load import ConfigError, decode, evaluate
from martenlead.days.report import kept, table
from martenlead.days.script import Day


@click.command()
@click.argument("script", type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="in place of the script's")
@click.option("--policy", default="module", help="who decides: module, random, two, least, hash, oracle")
@click.option("--runners", type=click.IntRange(1), help="in place of the script's")
@click.option("--edges", type=click.IntRange(1), help="in place of the script's")
@click.option("--rate", type=click.FloatRange(0, min_open=True), help="tasks a second, for the script's")
@click.option("--audit/--no-audit", default=True, help="check the rules; keeps all records in memory")
@click.option("--report", "report_file", type=click.Path(path_type=Path), help="take the report as JSON")
def emulate(
    script: Path,
    seed: int | None,
    policy: str,
    runners: int | None,
    edges: int | None,
    rate: float | None,
    audit: bool,
    report_file: Path | None,
) -> None:
    """Play a scripted day in virtual time and audit it. Exit 0 only if every rule was kept."""
    replace = msgspec.structs.replace
    day = decode(evaluate(script), Day, str(script))
    if runners:
        day = replace(day, runners=replace(day.runners, count=runners))
    if edges:
        day = replace(day, edges=edges)
    if rate:
        more = rate / day.clients.rate_per_s
        clients = replace(day.clients, rate_per_s=rate)
        day = replace(day, clients=clients, quota_per_s=day.quota_per_s * more)
    run_emulated(day, str(script), seed, policy, audit, report_file)


def run_emulated(
    day: Day, script: str, seed: int | None, policy: str, audit: bool, report_file: Path | None
) -> None:
    """Plays a day in virtual time and tells of it. Raises `BadConfig`."""
    from martenlead.emulator.job import Job, run

    chosen = day.seed if seed is None else seed
    job = Job(script=script, day=day, seed=chosen, policy=policy, audit=audit)
    try:
        with click.progressbar(length=int(day.seconds * 10), label=f"{day.name}, seed {job.seed}") as bar:
            outcome, fleet = run(job, lambda at: bar.update(min(bar.length or 0, int(at * 10)) - bar.pos))
    except ValueError as error:
        raise ConfigError(f"{script}: {error}") from None
    told = fleet.report() if audit else msgspec.to_builtins(outcome)
    if report_file is not None:
        report_file.write_bytes(msgspec.json.format(msgspec.json.encode(told)) + b"\n")
    if audit:
        click.echo(table(told))
    else:
        click.echo(msgspec.json.format(msgspec.json.encode(fleet.tally.told())))
    click.echo(f"{outcome.events} events; {day.seconds:g} s of the day in {outcome.took_s:.1f} s")
    if audit and not kept(told):
        raise SystemExit(1)
