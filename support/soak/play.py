"""Runs one seed of the soak from start to end, and describes its result in a line."""

from __future__ import annotations

import json
import tempfile
from dataclasses import asdict
from pathlib import Path

import anyio

from support.soak.run import SoakRun
from support.soak.schedule import draw_schedule
from support.soak.verdict import Failure, judge


def play(seed: int, folder: Path) -> list[Failure]:
    """Runs one seed; writes configurations, logs, records and the report to `folder`."""
    schedule = draw_schedule(seed)
    run = SoakRun(schedule, folder)
    book = anyio.run(run.play)
    failures = judge(book, run.settings)
    outcomes = [record["what"] for record in book.clients if record["what"] != "sent"]
    report = {
        "schedule": schedule.to_json_object(),
        "requests": len(outcomes),
        "ends": {what: outcomes.count(what) for what in sorted(set(outcomes))},
        "ready_seconds": book.ready_seconds,
        "failures": [{"kind": f.kind, "count": f.count, "examples": f.examples} for f in failures],
    }
    (folder / "report.json").write_text(json.dumps(report, indent=1))
    (folder / "records.json").write_text(json.dumps(asdict(book)))
    return failures


def play_seed(seed: int, keep: Path | None) -> str:
    """Runs one seed and describes its result; `keep` is a folder for logs and reports."""
    if keep is not None:
        folder = keep / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        return _describe(seed, play(seed, folder), folder)
    with tempfile.TemporaryDirectory() as temporary:
        return _describe(seed, play(seed, Path(temporary)), Path(temporary))


def _describe(seed: int, failures: list[Failure], folder: Path) -> str:
    report = json.loads((folder / "report.json").read_text())
    summary = f"seed {seed}: {report['requests']} requests, {report['ends']}"
    if not failures:
        return f"{summary}: passed"
    kinds = "; ".join(f"{failure.count} x {failure.kind}" for failure in failures)
    return f"{summary}: FAILED: {kinds}\n    again: python -m support.soak --seed {seed} --keep found"
