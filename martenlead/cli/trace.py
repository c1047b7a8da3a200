from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from martenlead.config.load import ConfigError, decode, evaluate

if TYPE_CHECKING:
    from martenlead.traces.schemas import Invocation

KINDS = ["minutes", "invocations", "tasks"]
FILE = click.Path(path_type=Path)


@click.group()
def trace() -> None:
    """Public cluster traces in CSV: looked at, converted, and played."""


def of_reading(command: Any) -> Any:
    for option in reversed(
        [
            click.option(
                "--schema", type=click.Choice(["minutes", "invocations", "tasks"]), help="else guessed"
            ),
            click.option("--durations", type=FILE, help="beside a `minutes` file: its functions' durations"),
            click.option("--memory", type=FILE, help="beside a `minutes` file: its applications' memory"),
            click.option("--day", type=click.IntRange(0), default=0, help="which day a `minutes` file is"),
            click.option("--seed", default=1, help="of what a `minutes` file leaves open"),
            click.option("--bad", type=click.FloatRange(0, 1), default=0.05, help="share that may be"),
        ]
    ):
        command = option(command)
    return command


def _read(
    file: Path,
    schema: str | None,
    durations: Path | None,
    memory: Path | None,
    day: int,
    seed: int,
    bad: float,
) -> tuple[str, Iterator[Invocation], Any]:
    from martenlead.traces import schemas, store
    from martenlead.traces.problems import Problems

    problems = Problems(bad)
    if file.suffix == ".parquet":
        return "converted", store.read(file), problems
    found = schema or schemas.guess(file)
    options = schemas.Options(durations=durations, memory=memory, day=day, seed=seed)
    return found, schemas.SCHEMAS[found](file, options, problems), problems


def _json(told: Any) -> None:
    click.echo(msgspec.json.format(msgspec.json.encode(told)))


@trace.command()
@click.argument("file", type=FILE)
@of_reading
def inspect(file: Path, **how: Any) -> None:
    """What is in a trace: its span, its functions, how skewed they are, and what is wrong with it."""
    from martenlead.emulator.tally import Latencies
    from martenlead.traces.problems import BadTrace

    try:
        schema, found, problems = _read(file, **how)
        functions: Counter[str] = Counter()
        owners: set[str] = set()
        by_minute: Counter[int] = Counter()
        took = Latencies()
        first, last = 1 << 62, 0
        for one in found:
            functions[one.function] += 1
            owners.add(one.owner)
            by_minute[one.at // 60_000_000_000] += 1
            took.add(one.took)
            first, last = min(first, one.at), max(last, one.at)
        problems.check()
    except BadTrace as error:
        raise ConfigError(str(error)) from None
    total = functions.total()
    busiest = by_minute.most_common(1)
    _json(
        {
            "schema": schema,
            "invocations": total,
            "functions": len(functions),
            "owners": len(owners),
            "from_s": first / 1e9 if total else None,
            "until_s": last / 1e9 if total else None,
            "a_second": round(total / max(1.0, (last - first) / 1e9), 3) if total else 0,
            "busiest_minute": {"minute": busiest[0][0], "invocations": busiest[0][1]} if busiest else None,
            "called_once": sum(n == 1 for n in functions.values()),
            "share_of_the_top_ten": round(sum(n for _, n in functions.most_common(10)) / max(1, total), 4),
            "took_ms": {f"p{q * 100:g}": took.quantile_ms(q) for q in (0.1, 0.5, 0.9, 0.99)},
            "problems": problems.told(),
        }
    )


@trace.command()
@click.argument("file", type=FILE)
@click.argument("out", type=FILE)
@of_reading
def convert(file: Path, out: Path, **how: Any) -> None:
    """Sort a trace by time into a Parquet file, which the emulator and the stand-in clients read."""
    from martenlead.traces import store
    from martenlead.traces.problems import BadTrace

    try:
        schema, found, problems = _read(file, **how)

        def whole() -> Iterator[Invocation]:
            yield from found
            problems.check()  # before the file takes its place

        told = store.write(out, whole())
    except (BadTrace, OSError) as error:
        raise ConfigError(str(error)) from None
    _json({"schema": schema, **told, "problems": problems.told()})


@trace.command()
@click.argument("file", type=FILE)
@click.argument("script", type=FILE)
@click.option("--on", type=click.Choice(["virtual", "sockets"]), default="virtual", help="where it is played")
@click.option("--map", "mapping", type=FILE, help="settings of the mapping; else the script's")
@click.option("--from", "from_s", type=float, help="s of the trace's time; in place of the mapping's")
@click.option("--until", "until_s", type=float)
@click.option("--speed", type=click.FloatRange(0, min_open=True), help="60 plays an hour in a minute")
@click.option("--sample", type=click.FloatRange(0, 1, min_open=True), help="share of the functions")
@click.option("--seconds", type=click.FloatRange(0, min_open=True), help="of the day; else the script's")
@click.option("--seed", type=int, help="in place of the script's")
@click.option("--policy", default="module", help="virtual time only: who decides")
@click.option("--audit/--no-audit", default=True, help="virtual time only: check the rules")
@click.option("--report", "report_file", type=FILE, help="take the report as JSON")
def run(
    file: Path,
    script: Path,
    on: str,
    mapping: Path | None,
    seconds: float | None,
    seed: int | None,
    policy: str,
    audit: bool,
    report_file: Path | None,
    **changed: Any,
) -> None:
    """Play a converted trace against a script's fleet. Exit 0 only if every rule was kept."""
    from martenlead.cli.day import run_on_sockets
    from martenlead.cli.emulate import run_emulated
    from martenlead.days.script import Day
    from martenlead.standins.settings import Mapping
    from martenlead.traces.problems import BadTrace
    from martenlead.traces.store import read

    replace = msgspec.structs.replace
    day = decode(evaluate(script), Day, str(script))
    told = day.clients.mapping
    if mapping is not None:
        told = decode(evaluate(mapping), Mapping, str(mapping))
    told = replace(told, **{name: value for name, value in changed.items() if value is not None})
    clients = replace(day.clients, trace=str(file.resolve()), mapping=told)
    day = replace(day, clients=clients, seconds=seconds or day.seconds)
    try:
        next(read(file), None)  # what is no trace is told here, and not by a process that does not start
        if on == "virtual":
            run_emulated(day, str(script), seed, policy, audit, report_file)
        else:
            run_on_sockets(day, str(script), seed, report_file)
    except BadTrace as error:
        raise ConfigError(str(error)) from None


@trace.command()
@click.argument("folder", type=FILE)
@click.option("--seed", default=1)
def sample(folder: Path, seed: int) -> None:
    """Write small traces of the project's own, in each schema."""
    from martenlead.traces.samples import make

    try:
        for path in make(folder, seed):
            click.echo(str(path))
    except OSError as error:
        raise ConfigError(f"{folder}: {error.strerror or error}") from None
