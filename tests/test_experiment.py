"""Tests of experiments: outcomes do not depend on processes or interruptions; comparisons; the page."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from martenlead.config.load import ConfigError
from martenlead.emulator.experiment import (
    compare,
    make_jobs,
    read_outcome,
    read_plan,
    run_jobs,
    write_outcome,
    write_table,
)
from martenlead.emulator.job import Outcome, run_job
from martenlead.emulator.page import render_page

SCRIPT = """
local day = import 'day.libsonnet';
day { name: 'short', seconds: 3, runners+: { count: 4 }, clients+: { rate_per_s: 40 } }
"""
PLAN = {
    "name": "short",
    "scripts": ["short.jsonnet"],
    "axes": {"edges": [1, 2], "size": [{"name": 4, "runners.count": 4, "clients.rate_per_s": 40}]},
    "policies": ["module", "random"],
    "seeds": 2,
}


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Returns a folder with a script and a plan."""
    (tmp_path / "short.jsonnet").write_text(SCRIPT)
    (tmp_path / "plan.json").write_text(json.dumps(PLAN))
    return tmp_path


def run_plan(folder: Path, out: str, processes: int, stop_after: int | None = None) -> list[Outcome]:
    """Runs the plan, up to `stop_after` jobs, and returns the outcomes in its order."""
    plan = read_plan(folder / "plan.json")
    jobs = make_jobs(plan, folder)
    so_far = 0

    def progress(count: int, _all: int) -> None:
        nonlocal so_far
        so_far = count
        if stop_after is not None and count >= stop_after:
            raise KeyboardInterrupt

    assert list(run_jobs(jobs, folder / out, processes, progress)) == []
    return [o for job in jobs if (o := read_outcome(folder / out, job)) is not None]


def without_duration(outcomes: list[Outcome]) -> list[Outcome]:
    """Returns the outcomes with a run time of 0, which differs between runs."""
    return [msgspec.structs.replace(o, took_s=0.0) for o in outcomes]


def test_outcomes_do_not_depend_on_processes_or_interruptions(folder: Path) -> None:
    alone = run_plan(folder, "alone", 1)
    assert len(alone) == 8
    assert without_duration(run_plan(folder, "four", 4)) == without_duration(alone)
    with pytest.raises(KeyboardInterrupt):
        run_plan(folder, "stopped", 1, stop_after=3)
    left = sorted((folder / "stopped").glob("*.parquet"))
    assert 2 <= len(left) < 8
    before = {path: path.read_bytes() for path in left}
    torn = left[0]
    torn.write_bytes(torn.read_bytes()[:500])  # As a full disk might leave it
    assert without_duration(run_plan(folder, "stopped", 2)) == without_duration(alone)
    assert all(path.read_bytes() == data for path, data in before.items() if path != torn)


def test_a_bundled_trace_gives_the_same_outcomes_in_one_process_or_eight(folder: Path) -> None:
    from martenlead.traces.problems import TraceProblems
    from martenlead.traces.schemas import SCHEMAS, ReaderOptions
    from martenlead.traces.store import write_trace

    bundled = Path(__file__).parent.parent / "samples" / "invocations.csv.gz"
    trace = folder / "trace.parquet"
    write_trace(trace, SCHEMAS["invocations"](bundled, ReaderOptions(), TraceProblems(0.0)))
    plan = {**PLAN, "axes": {"clients.trace": [str(trace)], "edges": [1, 2]}}
    (folder / "plan.json").write_text(json.dumps(plan))
    mapping = "clients+: { mapping: { speed: 100, models: 9, durations: 0.05 } }"
    (folder / "short.jsonnet").write_text(SCRIPT.replace("clients+: { rate_per_s: 40 }", mapping))
    alone, eight = run_plan(folder, "alone", 1), run_plan(folder, "eight", 8)
    assert without_duration(alone) == without_duration(eight)
    assert {o.tasks for o in alone} == {alone[0].tasks}  # Requests come from the trace, whatever the seed
    assert alone[0].tasks > 500


def test_the_page_is_complete_and_self_contained(folder: Path) -> None:
    plan = read_plan(folder / "plan.json")
    outcomes = run_plan(folder, "out", 4)
    html = render_page(plan, outcomes)
    assert html == render_page(plan, outcomes)  # The same bytes each time
    assert html.count("<svg") >= 5
    outside = [part.split('"')[0] for part in html.split('href="')[1:] + html.split('src="')[1:]]
    assert all(link.startswith("#") for link in outside)
    assert "random" in html and "against the baseline" in html
    table = write_table(folder, outcomes, "results")
    import pyarrow.parquet as pq

    assert pq.read_table(table).num_rows == 8


def outcome(policy: str, seed: int, service: float, template: Outcome) -> Outcome:
    """Returns the template with another policy, seed and service."""
    return msgspec.structs.replace(template, policy=policy, seed=seed, service=service)


def test_comparisons_pair_outcomes_by_seed(folder: Path) -> None:
    """The seeds differ far more than the policies; pairing by seed shows the difference all the same."""
    plan = read_plan(folder / "plan.json")
    first, _ = run_job(make_jobs(plan, folder)[0])
    bases = [0.2, 0.5, 0.9, 0.7]
    outcomes = [outcome("module", n, base, first) for n, base in enumerate(bases)]
    outcomes += [outcome("random", n, base - 0.02, first) for n, base in enumerate(bases)]
    outcomes += [
        outcome("least", n, base + d, first)
        for n, (base, d) in enumerate(zip(bases, (0.1, -0.1, 0.2, -0.2), strict=True))
    ]
    found = {c.policy: c for c in compare(outcomes, "module")}
    assert found["random"].difference == pytest.approx(-0.02)
    assert found["random"].high < 0
    assert found["least"].low < 0 < found["least"].high
    assert found["module"].difference == 0


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"policies": ["best"]}, "policies"),
        ({"baseline": "hash"}, "baseline"),
        ({"axes": {"runners.many.more": [1]}}, "no such field"),
        ({"axes": {"edges": ["two"]}}, "edges"),
        ({"seeds": 0}, "seeds"),
        ({"speed": 3}, "speed"),
    ],
)
def test_an_invalid_plan_is_rejected_with_the_field(
    folder: Path, change: dict[str, Any], message: str
) -> None:
    (folder / "plan.json").write_text(json.dumps({**PLAN, **change}))
    with pytest.raises(ConfigError, match=message):
        make_jobs(read_plan(folder / "plan.json"), folder)


def test_a_failed_job_is_reported_and_the_others_run(folder: Path) -> None:
    (folder / "plan.json").write_text(json.dumps({**PLAN, "axes": {"planners.kind": ["none"]}}))
    plan = read_plan(folder / "plan.json")
    jobs = make_jobs(plan, folder)
    bad = msgspec.structs.replace(jobs[0], policy="module@no-such-commit")
    failed = list(run_jobs([bad, *jobs[1:]], folder / "out", 2, lambda *_: None))
    assert [job for job, _ in failed] == [bad]
    assert "no policy package at commit" in failed[0][1]
    assert sum(read_outcome(folder / "out", job) is not None for job in jobs[1:]) == 3
    write_outcome(folder / "out", run_job(jobs[0])[0])
    assert read_outcome(folder / "out", jobs[0]) is not None
