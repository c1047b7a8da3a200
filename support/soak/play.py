"""Plays one seed from start to end, and says in a line what came of it."""

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
    """Plays one seed in a folder, which keeps configurations, logs, records and the report."""
    schedule = draw_schedule(seed)
    run = SoakRun(schedule, folder)
    book = anyio.run(run.play)
    failures = judge(book, run.settings)
    ends = [record["what"] for record in book.clients if record["what"] != "sent"]
    report = {
        "schedule": schedule.to_json_object(),
        "requests": len(ends),
        "ends": {what: ends.count(what) for what in sorted(set(ends))},
        "ready_seconds": book.ready_seconds,
        "failures": [{"kind": f.kind, "count": f.count, "examples": f.examples} for f in failures],
    }
    (folder / "report.json").write_text(json.dumps(report, indent=1))
    (folder / "records.json").write_text(json.dumps(asdict(book)))
    return failures


def play_seed(seed: int, keep: Path | None) -> str:
    """Plays one seed; `keep` is a folder for logs and reports."""
    if keep is not None:
        folder = keep / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        return _describe(seed, play(seed, folder), folder)
    with tempfile.TemporaryDirectory() as temporary:
        return _describe(seed, play(seed, Path(temporary)), Path(temporary))


def _describe(seed: int, failures: list[Failure], folder: Path) -> str:
    report = json.loads((folder / "report.json").read_text())
    told = f"seed {seed}: {report['requests']} requests, {report['ends']}"
    if not failures:
        return f"{told}: passed"
    kinds = "; ".join(f"{failure.count} x {failure.kind}" for failure in failures)
    return f"{told}: FAILED: {kinds}\n    again: python -m support.soak --seed {seed} --keep found"
