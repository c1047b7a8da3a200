"""Experiments: the same whatever processes do it and wherever they were stopped; intervals; the page."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from martenlead.config.load import ConfigError
from martenlead.emulator.experiment import compare, do, jobs, keep, kept, read, together
from martenlead.emulator.job import Outcome, run
from martenlead.emulator.page import page

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
    (tmp_path / "short.jsonnet").write_text(SCRIPT)
    (tmp_path / "plan.json").write_text(json.dumps(PLAN))
    return tmp_path


def done(folder: Path, out: str, processes: int, stop_after: int | None = None) -> list[Outcome]:
    made = read(folder / "plan.json")
    todo = jobs(made, folder)
    so_far = 0

    def progress(count: int, _all: int) -> None:
        nonlocal so_far
        so_far = count
        if stop_after is not None and count >= stop_after:
            raise KeyboardInterrupt

    assert list(do(todo, folder / out, processes, progress)) == []
    return [o for job in todo if (o := kept(folder / out, job)) is not None]


def same(outcomes: list[Outcome]) -> list[Outcome]:
    return [msgspec.structs.replace(o, took_s=0.0) for o in outcomes]


def test_one_process_or_four_stopped_or_not_the_results_are_the_same(folder: Path) -> None:
    alone = done(folder, "alone", 1)
    assert len(alone) == 8
    assert same(done(folder, "four", 4)) == same(alone)
    with pytest.raises(KeyboardInterrupt):
        done(folder, "stopped", 1, stop_after=3)
    left = sorted((folder / "stopped").glob("*.parquet"))
    assert 2 <= len(left) < 8
    before = {path: path.read_bytes() for path in left}
    torn = left[0]
    torn.write_bytes(torn.read_bytes()[:500])  # as a full disk might leave it
    assert same(done(folder, "stopped", 2)) == same(alone)
    assert all(path.read_bytes() == data for path, data in before.items() if path != torn)


def test_a_bundled_trace_in_one_process_or_eight(folder: Path) -> None:
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
    alone, eight = done(folder, "alone", 1), done(folder, "eight", 8)
    assert same(alone) == same(eight)
    assert {o.tasks for o in alone} == {alone[0].tasks}  # the trace's, whatever the seed
    assert alone[0].tasks > 500


def test_the_page_holds_all_and_asks_nobody(folder: Path) -> None:
    made = read(folder / "plan.json")
    outcomes = done(folder, "out", 4)
    told = page(made, outcomes)
    assert told == page(made, outcomes)  # the same bytes each time
    assert told.count("<svg") >= 5
    outside = [part.split('"')[0] for part in told.split('href="')[1:] + told.split('src="')[1:]]
    assert all(link.startswith("#") for link in outside)
    assert "random" in told and "against the baseline" in told
    table = together(folder, outcomes, "results")
    import pyarrow.parquet as pq

    assert pq.read_table(table).num_rows == 8


def outcome(policy: str, seed: int, service: float, template: Outcome) -> Outcome:
    return msgspec.structs.replace(template, policy=policy, seed=seed, service=service)


def test_differences_are_of_pairs(folder: Path) -> None:
    """The seeds differ by far more than the policies do, and pairing shows the difference all the same."""
    made = read(folder / "plan.json")
    first, _ = run(jobs(made, folder)[0])
    bases = [0.2, 0.5, 0.9, 0.7]
    told = [outcome("module", n, base, first) for n, base in enumerate(bases)]
    told += [outcome("random", n, base - 0.02, first) for n, base in enumerate(bases)]
    told += [
        outcome("least", n, base + d, first)
        for n, (base, d) in enumerate(zip(bases, (0.1, -0.1, 0.2, -0.2), strict=True))
    ]
    found = {c.policy: c for c in compare(told, "module")}
    assert found["random"].difference == pytest.approx(-0.02)
    assert found["random"].high < 0
    assert found["least"].low < 0 < found["least"].high
    assert found["module"].difference == 0


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"policies": ["best"]}, "policies"),
        ({"baseline": "hash"}, "baseline"),
        ({"axes": {"runners.many.more": [1]}}, "no such field"),
        ({"axes": {"edges": ["two"]}}, "edges"),
        ({"seeds": 0}, "seeds"),
        ({"speed": 3}, "speed"),
    ],
)
def test_what_is_wrong_with_a_plan_is_said(folder: Path, change: dict[str, Any], said: str) -> None:
    (folder / "plan.json").write_text(json.dumps({**PLAN, **change}))
    with pytest.raises(ConfigError, match=said):
        jobs(read(folder / "plan.json"), folder)


def test_a_job_that_fails_is_told_and_the_others_are_done(folder: Path) -> None:
    (folder / "plan.json").write_text(json.dumps({**PLAN, "axes": {"planners.kind": ["none"]}}))
    made = read(folder / "plan.json")
    todo = jobs(made, folder)
    bad = msgspec.structs.replace(todo[0], policy="module@no-such-commit")
    failed = list(do([bad, *todo[1:]], folder / "out", 2, lambda *_: None))
    assert [job for job, _ in failed] == [bad]
    assert "no module at" in failed[0][1]
    assert sum(kept(folder / "out", job) is not None for job in todo[1:]) == 3
    keep(folder / "out", run(todo[0])[0])
    assert kept(folder / "out", todo[0]) is not None
