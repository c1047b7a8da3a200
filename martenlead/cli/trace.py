"""`martenlead trace`: inspects, converts and plays public cluster traces."""

# ruff: noqa: PLC0415 - reading Parquet and the emulator are slow to import; only these commands need them

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple, TypedDict, TypeVar, Unpack

import click
import msgspec

from martenlead.cli.output import print_json
from martenlead.config.load import ConfigError, decode, evaluate

if TYPE_CHECKING:
    from martenlead.days.script import Day
    from martenlead.emulator.tally import LatencyHistogram
    from martenlead.traces.problems import TraceProblems
    from martenlead.traces.schemas import Invocation

KINDS = ["minutes", "invocations", "tasks"]
NS_PER_SECOND = 1e9
NS_PER_MINUTE = 60_000_000_000
NEVER_NS = 1 << 62
TOP_FUNCTIONS = 10
QUANTILES = (0.1, 0.5, 0.9, 0.99)

file_type = click.Path(path_type=Path)
Command = TypeVar("Command", bound=Callable[..., None])


class ReadOptions(TypedDict):
    """The options for reading a trace that `reading_options` adds to a command."""

    schema: str | None
    durations: Path | None
    memory: Path | None
    day: int
    seed: int
    bad: float


class MappingOptions(TypedDict):
    """Options that override fields of the mapping."""

    from_s: float | None
    until_s: float | None
    speed: float | None
    sample: float | None


class TraceReading(NamedTuple):
    """A trace that is being read, and the problems found so far."""

    schema: str
    invocations: Iterator[Invocation]
    problems: TraceProblems


@click.group()
def trace() -> None:
    """Inspect, convert and play public cluster traces in CSV."""


def reading_options(command: Command) -> Command:
    """Adds the options of `ReadOptions` to a command."""
    options = [
        click.option("--schema", type=click.Choice(KINDS), help="default: guessed"),
        click.option(
            "--durations",
            type=file_type,
            help="file of function durations for a `minutes` file",
        ),
        click.option(
            "--memory", type=file_type, help="file of application memory for a `minutes` file"
        ),
        click.option(
            "--day", type=click.IntRange(0), default=0, help="day that a `minutes` file covers"
        ),
        click.option("--seed", default=1, help="seed for the details that a `minutes` file lacks"),
        click.option(
            "--bad",
            type=click.FloatRange(0, 1),
            default=0.05,
            help="accepted share of unusable rows",
        ),
    ]
    for option in reversed(options):
        command = option(command)
    return command


def _open(file: Path, options: ReadOptions) -> TraceReading:
    """Starts reading a trace. Raises `TraceError`."""
    from martenlead.traces import schemas, store
    from martenlead.traces.problems import TraceProblems

    problems = TraceProblems(options["bad"])
    if file.suffix == ".parquet":
        return TraceReading("converted", store.read_trace(file), problems)
    schema = options["schema"] or schemas.guess_schema(file)
    reader_options = schemas.ReaderOptions(
        durations_path=options["durations"],
        memory_path=options["memory"],
        day=options["day"],
        seed=options["seed"],
    )
    return TraceReading(schema, schemas.SCHEMAS[schema](file, reader_options, problems), problems)


class TraceSummary:
    """Collects the statistics of a trace."""

    def __init__(self, durations: LatencyHistogram) -> None:
        self.durations = durations
        self.functions: Counter[str] = Counter()
        self.owners: set[str] = set()
        self.by_minute: Counter[int] = Counter()
        self.first_ns = NEVER_NS
        self.last_ns = 0

    def add(self, invocation: Invocation) -> None:
        """Counts one invocation."""
        self.functions[invocation.function] += 1
        self.owners.add(invocation.owner)
        self.by_minute[invocation.start_ns // NS_PER_MINUTE] += 1
        self.durations.add(invocation.duration_ns)
        self.first_ns = min(self.first_ns, invocation.start_ns)
        self.last_ns = max(self.last_ns, invocation.start_ns)

    def to_json_object(self) -> dict[str, object]:
        """The statistics, by the keys that `inspect` prints."""
        total = self.functions.total()
        span_seconds = max(1.0, (self.last_ns - self.first_ns) / NS_PER_SECOND)
        top = sum(count for _, count in self.functions.most_common(TOP_FUNCTIONS))
        quantiles = {f"p{q * 100:g}": self.durations.quantile_ms(q) for q in QUANTILES}
        return {
            "invocations": total,
            "functions": len(self.functions),
            "owners": len(self.owners),
            "from_s": self.first_ns / NS_PER_SECOND if total else None,
            "until_s": self.last_ns / NS_PER_SECOND if total else None,
            "a_second": round(total / span_seconds, 3) if total else 0,
            "busiest_minute": self._busiest_minute(),
            "called_once": sum(count == 1 for count in self.functions.values()),
            "share_of_the_top_ten": round(top / max(1, total), 4),
            "took_ms": quantiles,
        }

    def _busiest_minute(self) -> dict[str, int] | None:
        for minute, count in self.by_minute.most_common(1):
            return {"minute": minute, "invocations": count}
        return None


@trace.command()
@click.argument("file", type=file_type)
@reading_options
def inspect(file: Path, **options: Unpack[ReadOptions]) -> None:
    """Print a trace's time span, functions, skew and problems."""
    from martenlead.emulator.tally import LatencyHistogram
    from martenlead.traces.problems import TraceError

    summary = TraceSummary(LatencyHistogram())
    try:
        reading = _open(file, options)
        for invocation in reading.invocations:
            summary.add(invocation)
        reading.problems.check_unusable_share()
    except TraceError as error:
        raise ConfigError(str(error)) from None
    problems = reading.problems.to_json_object()
    print_json({"schema": reading.schema, **summary.to_json_object(), "problems": problems})


@trace.command()
@click.argument("file", type=file_type)
@click.argument("target", metavar="OUT", type=file_type)
@reading_options
def convert(file: Path, target: Path, **options: Unpack[ReadOptions]) -> None:
    """Sort a trace by time into a Parquet file, for the emulator and the stand-in clients."""
    from martenlead.traces import store
    from martenlead.traces.problems import TraceError

    try:
        reading = _open(file, options)
        written = store.write_trace(target, _read_checked(reading))
    except (TraceError, OSError) as error:
        raise ConfigError(str(error)) from None
    print_json({"schema": reading.schema, **written, "problems": reading.problems.to_json_object()})


def _read_checked(reading: TraceReading) -> Iterator[Invocation]:
    """All invocations; raises `TraceError` after the last one, before the file is renamed."""
    yield from reading.invocations
    reading.problems.check_unusable_share()


@trace.command()
@click.argument("file", type=file_type)
@click.argument("script", type=file_type)
@click.option(
    "--on",
    "clock",
    type=click.Choice(["virtual", "sockets"]),
    default="virtual",
    help="play in virtual time or on sockets",
)
@click.option(
    "--map", "mapping", type=file_type, help="settings of the mapping; default: the script's"
)
@click.option("--from", "from_s", type=float, help="start in the trace, s; default: the mapping's")
@click.option("--until", "until_s", type=float)
@click.option(
    "--speed",
    type=click.FloatRange(0, min_open=True),
    help="speed-up: 60 plays an hour in a minute",
)
@click.option(
    "--sample", type=click.FloatRange(0, 1, min_open=True), help="share of the functions to play"
)
@click.option(
    "--seconds",
    type=click.FloatRange(0, min_open=True),
    help="length of the day; default: the script's",
)
@click.option("--seed", type=int, help="default: the script's")
@click.option("--policy", default="module", help="the deciding policy (virtual time only)")
@click.option("--audit/--no-audit", default=True, help="audit the rules (virtual time only)")
@click.option(
    "--report", "report_file", type=file_type, help="write the report to this file as JSON"
)
def run(
    file: Path,
    script: Path,
    clock: str,
    mapping: Path | None,
    seconds: float | None,
    seed: int | None,
    policy: str,
    audit: bool,
    report_file: Path | None,
    **changes: Unpack[MappingOptions],
) -> None:
    """Play a converted trace against a script's fleet. Exit 0 only if every rule was kept."""
    from martenlead.cli.day import run_on_sockets
    from martenlead.cli.emulate import run_emulated
    from martenlead.traces.problems import TraceError
    from martenlead.traces.store import read_trace

    day = _make_day(file, script, mapping, changes)
    day = msgspec.structs.replace(day, seconds=seconds or day.seconds)
    try:
        next(read_trace(file), None)  # reports an invalid file here instead of in a child process
        if clock == "virtual":
            run_emulated(day, str(script), seed, policy, audit, report_file)
        else:
            run_on_sockets(day, str(script), seed, report_file)
    except TraceError as error:
        raise ConfigError(str(error)) from None


def _make_day(file: Path, script: Path, mapping_file: Path | None, changes: MappingOptions) -> Day:
    """The script's day, with its clients' requests replaced by the trace."""
    from martenlead.days.script import Day
    from martenlead.standins.settings import TraceMapping

    replace = msgspec.structs.replace
    day = decode(evaluate(script), Day, str(script))
    mapping = day.clients.mapping
    if mapping_file is not None:
        mapping = decode(evaluate(mapping_file), TraceMapping, str(mapping_file))
    given = {name: value for name, value in changes.items() if value is not None}
    mapping = replace(mapping, **given)
    clients = replace(day.clients, trace=str(file.resolve()), mapping=mapping)
    return replace(day, clients=clients)


@trace.command()
@click.argument("folder", type=file_type)
@click.option("--seed", default=1)
def sample(folder: Path, seed: int) -> None:
    """Write small generated traces, one for each schema."""
    from martenlead.traces.samples import write_samples

    try:
        for path in write_samples(folder, seed):
            click.echo(str(path))
    except OSError as error:
        message = f"{folder}: {error.strerror or error}"
        raise ConfigError(message) from None
