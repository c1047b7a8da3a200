"""Extrapolation of costs to another size: growth along several axes, and the page's arithmetic."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from click.testing import CliRunner

from benchmarks.scale import capacity
from benchmarks.scale.assumptions import DEFAULT, varied
from benchmarks.scale.extrapolation import Estimate, estimates
from benchmarks.scale.quantities import QUANTITIES
from benchmarks.scale.records import Record

WORKERS, FUNCTIONS = 1000.0, 500.0
TARGET = {"workers": 7700.0, "functions": 11_000.0}


def record(axis: str, workers: float, functions: float, cost: float, held_out: bool = False) -> Record:
    """Returns a record of one size with one cost."""
    size = {"workers": workers, "functions": functions}
    costs: dict[str, float | None] = {"memory_mb": cost}
    return Record("dispatcher", axis, size, costs, {}, 1, "0000000", "2026-12-02", held_out)


def estimated(cost: Callable[[float, float], float], *more: Record) -> Estimate:
    """Returns the estimate at the target size from series that follow a cost function."""
    records = [record("workers", n, FUNCTIONS, cost(n, FUNCTIONS)) for n in (250, 500, 1000, 2000)]
    records += [record("functions", WORKERS, n, cost(WORKERS, n)) for n in (125, 250, 500, 1000)]
    (found,) = estimates([*records, *more], TARGET)
    return found


def test_growth_along_two_axes_multiplies() -> None:
    found = estimated(lambda workers, functions: 8 * workers * functions / 1e6)
    assert found.predicted == pytest.approx(8 * 7700 * 11_000 / 1e6, rel=0.001)
    assert found.measured is None and found.best == found.predicted


def test_an_axis_that_does_not_matter_leaves_the_other_as_it_is() -> None:
    found = estimated(lambda workers, functions: 3 + 0.01 * workers)
    assert found.predicted == pytest.approx(3 + 77, rel=0.001)


@pytest.mark.parametrize(
    ("other", "measured"),
    [
        (record("workers", 7700, 11_000, 5.0, held_out=True), 5.0),
        (record("workers", 7650, 11_000, 5.0, held_out=True), 5.0),
        (record("workers", 7700, 10_000, 5.0, held_out=True), None),
        (record("fleet", 7700, 11_000, 5.0), None),
    ],
)
def test_a_held_out_measurement_at_the_target_size_is_reported(other: Record, measured: float | None) -> None:
    assert estimated(lambda workers, functions: 1.0, other).measured == measured


def test_every_quantity_stays_finite_across_the_ranges() -> None:
    for quantity in QUANTITIES:
        for setting in (DEFAULT, *varied(DEFAULT)):
            assert 0 <= quantity.compute(setting) < 1e12, quantity.name


def test_most_functions_are_rare_across_the_whole_range_of_the_exponent() -> None:
    for setting in (DEFAULT, *varied(DEFAULT)):
        assert setting.popularity.share_below_once_a_minute(setting.size.calls_per_second) > 0.5


def test_records_that_cannot_be_read_give_one_line_and_a_failure_status(tmp_path: object) -> None:
    result = CliRunner().invoke(capacity.main, [f"{tmp_path}/none.jsonl"])
    assert result.exit_code == 1
    assert len(result.stderr.splitlines()) == 1
