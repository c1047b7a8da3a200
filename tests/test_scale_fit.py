"""Fits of scale records: shapes are distinguished, held-out sizes judged, bad input reported in one line."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest
from click.testing import CliRunner

from benchmarks.scale.fit import Judgement, Shape, judge, main, read

SIZES = (100, 300, 1000, 3000, 7700)


def record(workers: float, cost: float, **other: Any) -> dict[str, Any]:
    """Returns a record of one size with one cost, as written to a file."""
    fields = {
        "role": "dispatcher",
        "axis": "workers",
        "size": {"workers": workers, "functions": 11_000},
        "costs": {"memory_mb": cost},
        "assumptions": {},
        "held_out": False,
        "seed": 1,
        "commit": "0000000",
        "date": "2026-12-02",
    }
    return fields | other


def judged(folder: Path, records: list[dict[str, Any]]) -> list[Judgement]:
    """Writes records to a file, reads it and fits the series."""
    path = folder / "records.jsonl"
    path.write_text("".join(json.dumps(each) + "\n" for each in records))
    return judge(read([path]))


@pytest.mark.parametrize(
    ("growth", "shape"),
    [
        (lambda size: 5.0, Shape.CONSTANT),
        (lambda size: 100 + size / 10_000, Shape.CONSTANT),
        (lambda size: 2 + 3 * math.log(size), Shape.LOGARITHMIC),
        (lambda size: 7 + 0.01 * size, Shape.LINEAR),
        (lambda size: 1 + 0.002 * size * math.log(size), Shape.N_LOG_N),
        (lambda size: 2 + 900 / size, Shape.INVERSE),
        (lambda size: 30 - 900 / size, Shape.INVERSE),
        (lambda size: 900 / size, Shape.INVERSE),
    ],
)
def test_shapes_are_distinguished_under_one_percent_of_noise(
    tmp_path: Path, growth: Callable[[float], float], shape: Shape
) -> None:
    chance = Random(7)
    records = [record(size, growth(size) * chance.uniform(0.99, 1.01)) for size in SIZES]
    (found,) = judged(tmp_path, records)
    assert found.fit is not None
    assert found.fit.shape is shape
    assert found.fit.residual < 0.02
    assert found.fit.at(20_000) == pytest.approx(growth(20_000), rel=0.05)


def test_no_fit_says_that_a_cost_becomes_negative(tmp_path: Path) -> None:
    falling = [record(size, 100 - 12 * math.log(size)) for size in SIZES[:-1]]
    (found,) = judged(tmp_path, falling)
    assert found.fit is not None
    assert all(found.fit.at(size) > 0 for size in (*SIZES, 1e5, 1e7))


@pytest.mark.parametrize(
    ("measured", "verdict"),
    [(170.0, "within 20%"), (205.0, "within 20%"), (100.0, "missed"), (0.0, "missed")],
)
def test_a_held_out_size_is_predicted_without_it_and_judged(
    tmp_path: Path, measured: float, verdict: str
) -> None:
    records = [record(size, 7 + 0.01 * size) for size in SIZES]
    records.append(record(17_000, measured, held_out=True))
    (found,) = judged(tmp_path, records)
    (prediction,) = found.predictions
    assert prediction.predicted == pytest.approx(177.0)
    assert prediction.verdict == verdict


def test_roles_axes_and_costs_are_fitted_apart_and_single_runs_left_out(tmp_path: Path) -> None:
    records = [record(size, 1.0) for size in SIZES]
    records += [record(size, 2.0 * size, role="state") for size in SIZES]
    records.append(record(7700, 99.0, axis="fleet"))
    records.append(record(7700, 99.0, axis="one"))
    records.append(record(7700, 1.0, costs={"memory_mb": None}))
    found = judged(tmp_path, records)
    assert [(each.name.role, each.fit and each.fit.shape) for each in found] == [
        ("dispatcher", Shape.CONSTANT),
        ("state", Shape.LINEAR),
    ]


def test_a_series_with_too_few_sizes_is_not_fitted(tmp_path: Path) -> None:
    (found,) = judged(tmp_path, [record(size, 1.0) for size in (10, 10, 20, 30)])
    assert found.fit is None


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "holds no records"),
        ('{"role": "dispatcher", "axis"\n', "records.jsonl:1"),
        ("[1, 2]\n", "records.jsonl:1"),
        (json.dumps(record(-5, 1.0)), "negative"),
        (json.dumps(record(0, 1.0)), "positive"),
        (json.dumps(record(5, 1.0, axis="moons")), "unknown axis"),
        (json.dumps(record(5, 1.0, size={"workers": "many"})), "records.jsonl:1"),
        (json.dumps(record(5, 1.0, costs={})), "no costs"),
        ('{"size": {"workers": NaN}}', "records.jsonl:1"),
    ],
)
def test_bad_input_gives_one_line_and_a_failure_status(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "records.jsonl"
    path.write_text(text)
    result = CliRunner().invoke(main, [str(path)])
    assert result.exit_code == 1
    assert result.stdout == ""
    assert len(result.stderr.splitlines()) == 1
    assert message in result.stderr


def test_a_missing_file_gives_one_line_and_a_failure_status(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, [str(tmp_path / "none.jsonl")])
    assert result.exit_code == 1
    assert len(result.stderr.splitlines()) == 1


def test_the_command_prints_the_fit_and_the_verdict(tmp_path: Path) -> None:
    records = [record(size, 7 + 0.01 * size) for size in SIZES]
    records.append(record(17_000, 100.0, held_out=True))
    judged(tmp_path, records)
    path = str(tmp_path / "records.jsonl")
    text = CliRunner().invoke(main, [path]).stdout
    assert "dispatcher / workers / memory_mb: linear" in text and "missed" in text
    printed = json.loads(CliRunner().invoke(main, [path, "--json"]).stdout)
    assert printed["fit"]["shape"] == "linear" and printed["predictions"][0]["verdict"] == "missed"
