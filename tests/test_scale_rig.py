"""The scale measurements: bad sizes are rejected, records are complete, counted figures are repeatable."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from time import monotonic

import pytest
from click.testing import CliRunner

from benchmarks.scale import __main__ as command_line
from benchmarks.scale.discovery import EventKind, Member, WorkerState, frame
from benchmarks.scale.footprint import Part, footprint
from benchmarks.scale.measure import Run, lowest_times, measure_one
from benchmarks.scale.popularity import Popularity
from benchmarks.scale.records import Record
from benchmarks.scale.sizes import Assumptions, BadSize, FleetSize, check_memory, total_memory_bytes
from benchmarks.scale.workers import SECOND_NS, Met, WorkerFleet
from martenlead.node.journal import FrameDecoder, JournalTables

ROOT = Path(__file__).parent.parent
SMALL = FleetSize(dispatchers=4, workers=12, functions=30, calls_per_second=80.0, zones=2)
TIMED = ("_us", "_ms", "_percent_core", "_seconds", "rss_growth_bytes")


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs the command line of the measurements in a process."""
    command = [sys.executable, "-m", "benchmarks.scale", *arguments, "--limit-seconds", "30"]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)


def small_run(seed: int = 7) -> list[Record]:
    """Measures one dispatcher of a small fleet for two virtual seconds."""
    return measure_one(Run(SMALL, Assumptions(), seed, 2.0, monotonic() + 30, "one"), check=False)


def counted(record: Record) -> dict[str, object]:
    """Returns the counted costs, memory within 2%: the interpreter shares more once a class has been used."""
    costs = {name: cost for name, cost in record.costs.items() if not name.endswith(TIMED)}
    return {
        name: pytest.approx(cost, rel=0.02) if name.startswith("memory") else cost
        for name, cost in costs.items()
    }


@pytest.mark.parametrize(
    "arguments",
    [
        ("one", "--workers", "0"),
        ("one", "--functions", "-5"),
        ("one", "--calls", "many"),
        ("one", "--seconds", "nan"),
        ("one", "--workers", "1.5"),
        ("one", "--workers", "30000"),
        ("one", "--functions", "9999999999"),
        ("fleet", "--dispatchers", "0"),
        ("fleet", "--dispatchers", "900000", "--workers", "10", "--functions", "10"),
        ("fleet", "--dispatchers", "100000000"),
        ("slopes", "--axis", "moon"),
    ],
)
def test_a_bad_size_gives_one_line_and_a_failure_status(arguments: tuple[str, ...]) -> None:
    ran = run_command(*arguments)
    assert ran.returncode not in (0, 1)
    assert ran.stdout == ""
    assert len(ran.stderr.strip().splitlines()) == 1
    assert ran.stderr.startswith("Error: ")


def test_the_time_limit_ends_a_run_and_says_so() -> None:
    records = measure_one(Run(SMALL, Assumptions(), 7, 1e6, monotonic() + 0.5, "one"), check=False)
    assert all(record.stopped_early for record in records)


def test_one_record_a_role_with_all_costs() -> None:
    ran = run_command(
        "one",
        "--dispatchers",
        "4",
        "--workers",
        "12",
        "--functions",
        "30",
        "--seconds",
        "2",
        "--repeats",
        "2",
    )
    records = {record["role"]: record for record in map(json.loads, ran.stdout.splitlines())}
    assert set(records) == {"dispatcher", "discovery", "configuration", "state", "worker agent"}
    costs = records["dispatcher"]["costs"]
    for name in (
        "serving_cpu_per_call_us",
        "control_percent_core",
        "longest_step_ms",
        "control_sent_bytes_per_second",
        "control_received_bytes_per_second",
        "membership_delta_ms",
        "zone_lost_ms",
        "zone_returned_ms",
        "start_ms",
        "resync_ms",
        "configuration_read_ms",
        *(f"memory_{part.value}_bytes" for part in Part),
    ):
        assert costs[name] > 0, name
    assert {"cold_start_share", "cold_start_p50_ms", "cold_start_p99_ms", "replicas"} <= set(costs)
    assert costs["membership_delta_bytes"] == 40
    assert costs["zone_lost_bytes"] == 13 + 27 * 2  # Zone 0 of ten has two of the twelve workers.
    assert records["discovery"]["costs"]["snapshot_all_bytes"] == 4 * (13 + 27 * 12)


def test_the_same_seed_gives_the_same_counted_figures() -> None:
    small_run()  # The first run of a process also counts what the interpreter allocates once.
    first, second = small_run(), small_run()
    for one, other in zip(first, second, strict=True):
        figures = {name: other.costs[name] for name in counted(other)}
        assert figures == counted(one)
    assert small_run(8)[0].costs["calls"] != first[0].costs["calls"]


def test_the_lowest_times_of_repeated_runs_count() -> None:
    one = {"a_ms": 2.0, "b_us": 1.0, "calls": 5.0, "cold_start_p50_ms": 3.0, "state_gather_ms": None}
    other = {"a_ms": 1.0, "b_us": 4.0, "calls": 4.0, "cold_start_p50_ms": 1.0, "state_gather_ms": None}
    assert lowest_times(one, other) == {**one, "a_ms": 1.0}


def test_the_command_passes_its_options_to_the_measurement(monkeypatch: pytest.MonkeyPatch) -> None:
    runs: list[Run] = []

    def no_records(run: Run) -> list[Record]:
        """Notes the run and returns no records."""
        runs.append(run)
        return []

    monkeypatch.setattr(command_line, "measure_one", no_records)
    ran = CliRunner().invoke(command_line.main, ["one", "--repeats", "2", "--all-functions"])
    assert ran.exit_code == 0
    assert [(run.repeats, run.all_functions, run.held_out) for run in runs] == [(2, True, False)]


def test_a_fleet_shares_warm_instances() -> None:
    ran = run_command("fleet", "--dispatchers", "3", "--workers", "6", "--functions", "10", "--calls", "60")
    records = {record["role"]: record for record in map(json.loads, ran.stdout.splitlines())}
    costs = records["dispatcher"]["costs"]
    assert 400 < costs["calls"] < 800
    assert costs["cold_start_share"] < 0.5
    assert records["discovery"]["costs"]["delta_all_bytes"] == 3 * 40


def test_most_functions_are_rare_at_the_size_to_design_for() -> None:
    law = Popularity(11_000, Assumptions().zipf_exponent, Assumptions().zipf_offset)
    assert law.share_below_once_a_minute(50_000) > 0.5
    assert law.shares.sum() == pytest.approx(1)
    assert law.expected_distinct(0.01) == pytest.approx(0.01, rel=0.01)
    assert law.expected_distinct(1e15) == pytest.approx(11_000)


def test_frames_are_decoded_by_the_program() -> None:
    tables = JournalTables(["a", "b"], ["standard"], {"standard": 5.0}, False)
    data = frame(4, EventKind.DELTA, [Member(7, 1, WorkerState.DRAINING, 99)])
    (update,) = FrameDecoder(tables).feed(data)
    (endpoint,) = update.endpoints or []
    assert (update.version, update.is_snapshot) == (4, False)
    assert (endpoint.id, endpoint.zone, endpoint.state, endpoint.incarnation) == (
        "s-00000007",
        "b",
        "draining",
        "99",
    )


def test_a_worker_evicts_the_least_recently_used_idle_instance() -> None:
    size = FleetSize(workers=1, instances_per_worker=2, functions=4)
    fleet = WorkerFleet(size, Assumptions(), 1)
    busy = fleet.call(0, 0, 0)[2]
    assert busy is not None
    assert fleet.load(0, 1, 0)[0]
    later = 2 * SECOND_NS
    assert fleet.call(0, 2, later)[0] is Met.BEGAN_LOAD  # Evicts 1, as 0 is still running.
    assert set(fleet.replicas(later)) == {0, 2}
    assert fleet.call(0, 3, later)[0] is Met.NO_ROOM


def test_memory_is_counted_once_and_for_its_part() -> None:
    class Function:
        def __init__(self) -> None:
            self.order = [None] * 1000
            self.latency = [0.5]

    class Root:
        def __init__(self) -> None:
            self.functions = {Function(): None}
            self.again = self.functions

    found = footprint(Root())
    assert found[Part.PLACEMENT] == pytest.approx(8_056, abs=100)
    assert 0 < found[Part.FUNCTIONS] < 2_000
    assert found[Part.MEMBERSHIP] == 0


def test_memory_over_half_of_the_machine_is_rejected() -> None:
    with pytest.raises(BadSize, match="half"):
        check_memory(total_memory_bytes() / 2 + 1)
