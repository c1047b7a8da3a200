"""Carries costs that were fitted along one axis at a time to a size that differs along several of them.

The prediction multiplies the growth along each axis from the base that the series share to the target size.
Where the target size itself was measured, the measurement is shown too and takes precedence.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from statistics import fmean

from benchmarks.scale.fit import AXES, Fit, Judgement, Shape, judge
from benchmarks.scale.records import Record

Size = Mapping[str, float]
SAME_SIZE = 0.01  # Largest relative difference of two sizes that count as the same.


@dataclass(frozen=True, slots=True)
class AxisGrowth:
    """How a cost grows along one axis, from the common base to the target size."""

    axis: str
    fit: Fit
    base: float
    target: float

    @property
    def factor(self) -> float:
        """The ratio of the cost at the target size to the cost at the base."""
        at_base = self.fit.at(self.base)
        return self.fit.at(self.target) / at_base if at_base else 1.0

    def __str__(self) -> str:
        return f"{self.axis}: {self.fit} ({self.fit.residual:.0%})"


@dataclass(frozen=True, slots=True)
class Estimate:
    """A cost at the target size. `measured` is from that size and in no fit; None if not measured."""

    role: str
    cost: str
    at_base: float
    growths: tuple[AxisGrowth, ...]
    measured: float | None

    @property
    def predicted(self) -> float:
        """The cost at the base times the growth along each axis."""
        value = self.at_base
        for growth in self.growths:
            value *= growth.factor
        return value

    @property
    def best(self) -> float:
        """The measured cost, or the predicted one where none was measured."""
        return self.predicted if self.measured is None else self.measured


def estimates(records: Sequence[Record], target: Size) -> list[Estimate]:
    """Returns an estimate for each role and cost that has a fitted series."""
    by_cost: dict[tuple[str, str], list[Judgement]] = {}
    for judgement in judge(records):
        if judgement.fit is not None:
            by_cost.setdefault((judgement.name.role, judgement.name.cost), []).append(judgement)
    return [_estimate(role, cost, found, records, target) for (role, cost), found in by_cost.items()]


def _estimate(
    role: str, cost: str, judgements: Sequence[Judgement], records: Sequence[Record], target: Size
) -> Estimate:
    base = _base(role, records)
    growths = []
    for judgement in judgements:
        assert judgement.fit is not None
        size = AXES[judgement.name.axis]
        growths.append(AxisGrowth(judgement.name.axis, judgement.fit, base[size], target[size]))
    at_base = _mean_cost(role, cost, records, base, held_out=False)
    if at_base is None:
        at_base = fmean(growth.fit.at(growth.base) for growth in growths)
    measured = _mean_cost(role, cost, records, target, held_out=True)
    return Estimate(role, cost, at_base, tuple(growths), measured)


def _base(role: str, records: Sequence[Record]) -> Size:
    """The size that the series of a role share: the most frequent value along each axis."""
    found: dict[str, Counter[float]] = {}
    for record in records:
        if record.role == role and record.axis in AXES:
            for name, value in record.size.items():
                found.setdefault(name, Counter())[value] += 1
    return {name: counted.most_common(1)[0][0] for name, counted in found.items()}


def _mean_cost(role: str, cost: str, records: Sequence[Record], size: Size, held_out: bool) -> float | None:
    """Mean cost measured at a size, either in the fits or held out of them; None if not measured."""
    found = [
        value
        for record in records
        if record.role == role
        and record.axis in AXES
        and record.held_out is held_out
        and _is_size(record.size, size)
        and (value := record.costs.get(cost)) is not None
    ]
    return fmean(found) if found else None


def _is_size(size: Size, target: Size) -> bool:
    return all(abs(size.get(name, 0) - value) <= SAME_SIZE * value for name, value in target.items())


@dataclass(frozen=True, slots=True)
class BudgetedCost:
    """A cost of a role that the page shows, and its budget; None where no budget is stated."""

    role: str
    cost: str
    budget: float | None


def rows(found: Sequence[Estimate], budgeted_costs: Sequence[BudgetedCost]) -> Iterator[str]:
    """Yields Markdown rows of the given costs in their order, without those that have no records."""
    yield "| role | cost | fits along axes (residual) | at base | predicted | measured | budget | ratio |"
    yield "| --- | --- | --- | --- | --- | --- | --- | --- |"
    by_name = {(estimate.role, estimate.cost): estimate for estimate in found}
    for each in budgeted_costs:
        estimate = by_name.get((each.role, each.cost))
        if estimate is not None:
            yield _row(estimate, each.budget)


def _row(estimate: Estimate, budget: float | None) -> str:
    growing = [str(growth) for growth in estimate.growths if growth.fit.shape is not Shape.CONSTANT]
    flat = [growth.axis for growth in estimate.growths if growth.fit.shape is Shape.CONSTANT]
    if flat:
        growing.append("constant in " + ", ".join(flat))
    cells = (
        estimate.role,
        estimate.cost,
        "; ".join(growing),
        f"{estimate.at_base:.3g}",
        f"{estimate.predicted:.3g}",
        "" if estimate.measured is None else f"{estimate.measured:.3g}",
        "" if budget is None else f"{budget:g}",
        "" if budget is None else f"{estimate.best / budget:.2g}",
    )
    return "| " + " | ".join(cells) + " |"
