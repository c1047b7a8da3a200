"""Command line of the scale measurements."""

from __future__ import annotations

import math
import sys
from time import monotonic
from typing import Any

import click

from benchmarks.scale.fleet import measure_fleet
from benchmarks.scale.measure import Run, measure_one
from benchmarks.scale.records import Record, commit, line
from benchmarks.scale.sizes import Assumptions, BadSize, FleetSize
from benchmarks.scale.slopes import AXES, slopes


class Positive(click.ParamType[Any]):
    """A finite number above zero, or an integer above zero."""

    name = "number"

    def __init__(self, is_integer: bool) -> None:
        self.is_integer = is_integer

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """Returns the value as a number; fails where it is not one above zero."""
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number) or number <= 0 or (self.is_integer and number != int(number)):
            kind = "a whole number" if self.is_integer else "a number"
            self.fail(f"{value!r} is not {kind} above zero")
        return int(number) if self.is_integer else number


COUNT, NUMBER = Positive(is_integer=True), Positive(is_integer=False)
DEFAULT = FleetSize()


def common(command: Any) -> Any:
    """Adds the options of every command."""
    for option in (
        click.option("--seed", type=click.IntRange(0), default=1, show_default=True),
        click.option(
            "--limit-seconds", type=NUMBER, default=240, show_default=True, help="Limit of wall-clock time."
        ),
        click.option("--zipf-exponent", type=NUMBER, default=2.5, show_default=True),
        click.option(
            "--zipf-offset", type=click.FloatRange(0, 1e6), default=50.0, show_default=True, help="Ranks."
        ),
        click.option("--keep-alive-seconds", type=NUMBER, default=300, show_default=True),
    ):
        command = option(command)
    return command


def size_options(command: Any) -> Any:
    """Adds the options that set the size of a fleet."""
    for name in ("zones", "functions", "instances_per_worker", "workers", "dispatchers"):
        flag = "--" + name.replace("_", "-")
        command = click.option(flag, type=COUNT, default=getattr(DEFAULT, name), show_default=True)(command)
    return command


def assumptions(zipf_exponent: float, zipf_offset: float, keep_alive_seconds: float) -> Assumptions:
    """Returns the default assumptions with the values of the command line."""
    return Assumptions(zipf_exponent=zipf_exponent, zipf_offset=zipf_offset, keep_alive=keep_alive_seconds)


@click.group()
def main() -> None:
    """Measure how costs grow with the size of the fleet. Prints one JSON record per line."""


@main.command()
@size_options
@click.option(
    "--calls", type=NUMBER, default=111, show_default=True, help="Calls per second at this dispatcher."
)
@click.option("--seconds", type=NUMBER, default=30, show_default=True, help="Virtual time.")
@click.option("--repeats", type=COUNT, default=1, show_default=True, help="The lowest times count.")
@click.option("--all-functions", is_flag=True, help="At the end call each function once and measure memory.")
@common
def one(
    dispatchers: int,
    workers: int,
    instances_per_worker: int,
    functions: int,
    calls: float,
    zones: int,
    seconds: float,
    repeats: int,
    all_functions: bool,
    seed: int,
    limit_seconds: float,
    **assumption_options: float,
) -> None:
    """Measure one dispatcher of a fleet of this size."""
    size = FleetSize(dispatchers, workers, instances_per_worker, functions, calls * dispatchers, zones=zones)
    run = Run(
        size,
        assumptions(**assumption_options),
        seed,
        seconds,
        monotonic() + limit_seconds,
        "one",
        all_functions=all_functions,
        repeats=repeats,
    )
    for found in measure_one(run):
        click.echo(line(found))


@main.command(name="slopes")
@click.option("--axis", "names", multiple=True, type=click.Choice(list(AXES)), help="Default: all.")
@click.option(
    "--workers",
    type=COUNT,
    default=1920,
    show_default=True,
    help="Workers on the axes that do not vary them.",
)
@click.option("--functions", type=COUNT, default=DEFAULT.functions, show_default=True)
@click.option(
    "--calls", type=NUMBER, default=111, show_default=True, help="Calls per second at one dispatcher."
)
@click.option("--seconds", type=NUMBER, default=15, show_default=True, help="Virtual time for each size.")
@click.option("--repeats", type=COUNT, default=1, show_default=True, help="The lowest times count.")
@common
def slopes_command(
    names: tuple[str, ...],
    workers: int,
    functions: int,
    calls: float,
    seconds: float,
    repeats: int,
    seed: int,
    limit_seconds: float,
    **assumption_options: float,
) -> None:
    """Measure one dispatcher at five sizes along each axis; the largest is held out of the fit."""
    size = FleetSize(workers=workers, functions=functions, calls_per_second=calls * DEFAULT.dispatchers)
    base = Run(
        size,
        assumptions(**assumption_options),
        seed,
        seconds,
        monotonic() + limit_seconds,
        "base",
        repeats=repeats,
    )
    axis_names = list(names or AXES)
    last: Record | None = None
    for last in slopes(base, axis_names):
        click.echo(line(last))
    if last is None or last.axis != axis_names[-1] or not last.held_out:
        raise BadSize(f"time limit of {limit_seconds:g} s reached: the remaining sizes were not run")


@main.command(name="fleet")
@size_options
@click.option(
    "--calls", type=NUMBER, default=50_000, show_default=True, help="Calls per second of the whole fleet."
)
@click.option("--seconds", type=NUMBER, default=10, show_default=True, help="Measured virtual time.")
@click.option(
    "--warm-up-seconds",
    type=NUMBER,
    default=8,
    show_default=True,
    help="Virtual time before the measured window.",
)
@common
def fleet_command(
    dispatchers: int,
    workers: int,
    instances_per_worker: int,
    functions: int,
    calls: float,
    zones: int,
    seconds: float,
    warm_up_seconds: float,
    seed: int,
    limit_seconds: float,
    **assumption_options: float,
) -> None:
    """Measure many dispatchers and all workers of a fleet in one process."""
    size = FleetSize(dispatchers, workers, instances_per_worker, functions, calls, zones=zones)
    fleet_run = Run(
        size, assumptions(**assumption_options), seed, seconds, monotonic() + limit_seconds, "fleet"
    )
    for found in measure_fleet(fleet_run, warm_up_seconds):
        click.echo(line(found))


def run() -> int:
    """Runs the command and returns the exit status; an invalid size is reported in one line."""
    commit()  # Determined before the run, as files may change during it.
    try:
        main(prog_name="python -m benchmarks.scale", standalone_mode=False)
    except click.exceptions.Exit as ended:
        return ended.exit_code
    except click.ClickException as error:
        click.echo(f"Error: {error.format_message()}", err=True)
        return error.exit_code
    except BadSize as error:
        click.echo(f"Error: {error}", err=True)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(run())
