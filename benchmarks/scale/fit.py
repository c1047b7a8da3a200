"""Fits how costs grow with a fleet's size, and checks the predictions for sizes held out of the fit.

    .venv/bin/python -m benchmarks.scale.fit RECORDS.jsonl... [--json]

Reads one JSON record a line, as `python -m benchmarks.scale` prints them. For each role, axis and cost the
shapes are fitted by least squares. The one with the least residual is chosen, but a growing shape only where
it leaves a much smaller residual than a constant. Bad input ends with one line on stderr and status 1.
"""

from __future__ import annotations

import json
import math
import sys
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path

import click
import msgspec
import numpy as np

from benchmarks.scale.records import Record

AXES = {  # Names of axes in records, and the size that varies along each.
    "dispatchers": "dispatchers",
    "workers": "workers",
    "instances": "instances",
    "functions": "functions",
    "calls": "calls_per_second",
    "changes": "changes_per_day",
    "zones": "zones",
}
SINGLE_RUNS = ("one", "fleet")  # Axes of records that belong to no series.
MINIMUM_SIZES = 4  # Distinct sizes that a series needs to be fitted.
TOLERANCE = 0.20  # Largest relative error of an accepted prediction.
NEGLIGIBLE = 0.02  # Residual of a constant up to which no other shape is tried.
EVIDENCE = 0.5  # A growing shape must leave less than this share of the constant's residual.


class BadRecords(Exception):
    """A file without usable records; the message is one line with the place and the reason."""


class Shape(Enum):
    """How a cost grows along an axis."""

    CONSTANT = "constant"
    LOGARITHMIC = "logarithmic"
    LINEAR = "linear"
    N_LOG_N = "n log n"
    INVERSE = "inverse"  # Falls like a share of a fixed total, or rises to a limit.


GROWTH: dict[Shape, Callable[[float], float]] = {
    Shape.LOGARITHMIC: math.log,
    Shape.LINEAR: float,
    Shape.N_LOG_N: lambda size: size * math.log(size),
    Shape.INVERSE: lambda size: 1 / size,
}
TERMS = {Shape.LOGARITHMIC: "ln n", Shape.LINEAR: "n", Shape.N_LOG_N: "n ln n", Shape.INVERSE: "/ n"}


def _intercept(_size: float) -> float:
    return 1.0


@dataclass(frozen=True, slots=True)
class Fit:
    """`cost = intercept + slope * growth(size)`; `residual` is the standard error over the mean cost."""

    shape: Shape
    intercept: float
    slope: float
    residual: float
    sizes: int
    smallest: float
    largest: float

    def __str__(self) -> str:
        if self.shape is Shape.CONSTANT:
            return f"{self.intercept:.3g}"
        sign = "-" if self.slope < 0 else "+"
        return f"{self.intercept:.3g} {sign} {abs(self.slope):.3g} {TERMS[self.shape]}"

    def at(self, size: float) -> float:
        """Returns the cost at a size of the axis, which is never negative."""
        if self.shape is Shape.CONSTANT:
            return self.intercept
        return max(0.0, self.intercept + self.slope * GROWTH[self.shape](size))


@dataclass(frozen=True, slots=True)
class SeriesName:
    """The role, axis and cost of a series of measurements."""

    role: str
    axis: str
    cost: str


@dataclass(frozen=True, slots=True)
class Prediction:
    """The prediction for a held-out size, by a fit that does not contain it, and the measurement."""

    size: float
    predicted: float
    measured: float

    @property
    def error(self) -> float:
        """Signed error relative to the measurement."""
        if self.measured == 0:
            return 0.0 if self.predicted == 0 else math.inf
        return (self.predicted - self.measured) / self.measured

    @property
    def verdict(self) -> str:
        """Whether the error is within the tolerance, as text."""
        return "within 20%" if abs(self.error) <= TOLERANCE else "missed"


@dataclass(frozen=True, slots=True)
class Judgement:
    """A series' fit, None where it has too few sizes, and the predictions for its held-out sizes."""

    name: SeriesName
    fit: Fit | None
    predictions: tuple[Prediction, ...]


# -- reading


def read(paths: Iterable[Path]) -> list[Record]:
    """Reads all records of some files. Raises `BadRecords`."""
    records: list[Record] = []
    for path in paths:
        records += _read_file(path)
    return records


def _read_file(path: Path) -> list[Record]:
    try:
        lines = path.read_text().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise BadRecords(f"{path}: cannot be read: {error}") from None
    records = [_decode(line, f"{path}:{number}") for number, line in enumerate(lines, 1) if line.strip()]
    if not records:
        raise BadRecords(f"{path}: holds no records")
    return records


def _decode(line: str, place: str) -> Record:
    try:
        record = msgspec.json.decode(line, type=Record)
    except msgspec.DecodeError as error:
        raise BadRecords(f"{place}: {error}") from None
    _check(record, place)
    return record


def _check(record: Record, place: str) -> None:
    if record.axis not in (*AXES, *SINGLE_RUNS):
        raise BadRecords(f"{place}: unknown axis {record.axis!r}")
    for name, value in record.size.items():
        if name not in AXES.values():
            raise BadRecords(f"{place}: unknown size {name!r}")
        if value < 0:
            raise BadRecords(f"{place}: size {name} is negative: {value:g}")
    if record.axis in AXES and record.size.get(AXES[record.axis], 0) <= 0:
        raise BadRecords(f"{place}: size {AXES[record.axis]} is the axis and has to be positive")
    if not record.costs:
        raise BadRecords(f"{place}: no costs")


# -- fitting


def fit_series(sizes: Sequence[float], costs: Sequence[float]) -> Fit:
    """Fits the shape that explains a series best; needs `MINIMUM_SIZES` distinct positive sizes.

    Costs are not negative at any size: shapes without a limit must not fall, and the limit of an inverse is
    at least zero.
    """
    if len(set(sizes)) < MINIMUM_SIZES:
        raise ValueError(f"a fit needs {MINIMUM_SIZES} distinct sizes")
    constant = _fit_shape(Shape.CONSTANT, sizes, costs)
    assert constant is not None
    if constant.residual <= NEGLIGIBLE:
        return constant
    others = [fit for shape in GROWTH if (fit := _fit_shape(shape, sizes, costs)) is not None]
    best = min(others, key=lambda fit: fit.residual)
    return best if best.residual < EVIDENCE * constant.residual else constant


def _fit_shape(shape: Shape, sizes: Sequence[float], costs: Sequence[float]) -> Fit | None:
    """Returns the best fit of one shape; None where it would make costs negative at some size."""
    if shape is Shape.CONSTANT:
        return _least_squares(shape, sizes, costs, [_intercept])
    fit = _least_squares(shape, sizes, costs, [_intercept, GROWTH[shape]])
    if shape is Shape.INVERSE:
        return fit if fit.intercept >= 0 else _least_squares(shape, sizes, costs, [GROWTH[shape]])
    return fit if fit.slope >= 0 else None


def _least_squares(
    shape: Shape, sizes: Sequence[float], costs: Sequence[float], terms: Sequence[Callable[[float], float]]
) -> Fit:
    measured = np.asarray(costs, dtype=float)
    design = np.array([[term(size) for term in terms] for size in sizes])
    solution = np.linalg.lstsq(design, measured, rcond=None)[0]
    deviations = measured - design @ solution
    error = math.sqrt(float(deviations @ deviations) / (len(measured) - len(terms)))
    mean = float(np.mean(np.abs(measured)))
    factors = dict(zip(terms, solution.tolist(), strict=True))
    return Fit(
        shape=shape,
        intercept=factors.get(_intercept, 0.0),
        slope=factors.get(GROWTH[shape], 0.0) if shape in GROWTH else 0.0,
        residual=error / mean if mean else 0.0,
        sizes=len(set(sizes)),
        smallest=min(sizes),
        largest=max(sizes),
    )


def judge(records: Iterable[Record]) -> list[Judgement]:
    """Fits every series of the records, sorted by name; single runs belong to none."""
    fitted: dict[SeriesName, list[tuple[float, float]]] = defaultdict(list)
    held_out: dict[SeriesName, list[tuple[float, float]]] = defaultdict(list)
    for record in records:
        if record.axis not in AXES:
            continue
        points = held_out if record.held_out else fitted
        for cost, value in record.costs.items():
            if value is not None:
                name = SeriesName(record.role, record.axis, cost)
                points[name].append((record.size[AXES[record.axis]], value))
    names = sorted({*fitted, *held_out}, key=lambda name: (name.role, name.axis, name.cost))
    return [_judge_series(name, fitted[name], held_out[name]) for name in names]


def _judge_series(
    name: SeriesName, fitted: list[tuple[float, float]], held_out: list[tuple[float, float]]
) -> Judgement:
    sizes, costs = [size for size, _ in fitted], [cost for _, cost in fitted]
    if len(set(sizes)) < MINIMUM_SIZES:
        return Judgement(name, None, ())
    fit = fit_series(sizes, costs)
    predictions = tuple(Prediction(size, fit.at(size), measured) for size, measured in sorted(held_out))
    return Judgement(name, fit, predictions)


# -- printing


def as_text(judgement: Judgement) -> str:
    """Formats a series as one line, followed by one line for each prediction."""
    name, fit = judgement.name, judgement.fit
    title = f"{name.role} / {name.axis} / {name.cost}"
    if fit is None:
        return f"{title}: not fitted, fewer than {MINIMUM_SIZES} sizes"
    lines = [
        f"{title}: {fit.shape.value}, {fit}, "
        f"residual {fit.residual:.1%}, {fit.sizes} sizes from {fit.smallest:g} to {fit.largest:g}"
    ]
    for prediction in judgement.predictions:
        lines.append(
            f"  at {prediction.size:g}: predicted {prediction.predicted:.4g}, "
            f"measured {prediction.measured:.4g}, {prediction.error:+.1%}, {prediction.verdict}"
        )
    return "\n".join(lines)


def as_json(judgement: Judgement) -> str:
    """Formats a series and its predictions as one JSON object."""
    fit = judgement.fit
    content = {
        **asdict(judgement.name),
        "fit": {**asdict(fit), "shape": fit.shape.value} if fit else None,
        "predictions": [
            {**asdict(each), "error": each.error, "verdict": each.verdict} for each in judgement.predictions
        ],
    }
    return json.dumps(content)


@click.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "json_lines", is_flag=True, help="Print one JSON object per series.")
def main(paths: tuple[Path, ...], json_lines: bool) -> None:
    """Fit the costs in files of scale records."""
    try:
        judgements = judge(read(paths))
    except BadRecords as error:
        click.echo(f"fit: {error}", err=True)
        sys.exit(1)
    for judgement in judgements:
        click.echo(as_json(judgement) if json_lines else as_text(judgement))


if __name__ == "__main__":
    main()
