"""Carries costs that were fitted along one axis at a time to a size that differs along several of them.

The prediction multiplies the growth along each axis from the base that the series share to the wanted size.
Where that size itself was measured, the measurement stands beside the prediction and is what counts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from benchmarks.scale.fit import AXES, Fit, Judgement, Shape, judge
from benchmarks.scale.records import Record

Size = Mapping[str, float]
SAME_SIZE = 0.01  # relative difference up to which two sizes count as the same


@dataclass(frozen=True, slots=True)
class AxisGrowth:
    """How a cost grows along one axis, from the common base to the wanted size."""

    axis: str
    fit: Fit
    base: float
    wanted: float

    @property
    def factor(self) -> float:
        at_base = self.fit.at(self.base)
        return self.fit.at(self.wanted) / at_base if at_base else 1.0

    def __str__(self) -> str:
        return f"{self.axis}: {self.fit.shape.value} ({self.fit.residual:.0%})"


@dataclass(frozen=True, slots=True)
class Estimate:
    """A cost at the wanted size. `measured` was seen at that size and is in no fit, None where none was."""

    role: str
    cost: str
    at_base: float
    growths: tuple[AxisGrowth, ...]
    measured: float | None

    @property
    def predicted(self) -> float:
        value = self.at_base
        for growth in self.growths:
            value *= growth.factor
        return value

    @property
    def best(self) -> float:
        return self.predicted if self.measured is None else self.measured


def estimates(records: Sequence[Record], wanted: Size) -> list[Estimate]:
    """One for each role and cost that has a fitted series."""
    by_cost: dict[tuple[str, str], list[Judgement]] = {}
    for judgement in judge(records):
        if judgement.fit is not None:
            by_cost.setdefault((judgement.name.role, judgement.name.cost), []).append(judgement)
    return [_estimate(role, cost, found, records, wanted) for (role, cost), found in by_cost.items()]


def _estimate(
    role: str, cost: str, judgements: Sequence[Judgement], records: Sequence[Record], wanted: Size
) -> Estimate:
    growths = []
    for judgement in judgements:
        axis, fitted = judgement.name.axis, judgement.fit
        assert fitted is not None
        base = _base(role, axis, records)
        growths.append(AxisGrowth(axis, fitted, fitted.largest if base is None else base, wanted[AXES[axis]]))
    at_base = sum(growth.fit.at(growth.base) for growth in growths) / len(growths)
    return Estimate(role, cost, at_base, tuple(growths), _measured(role, cost, records, wanted))


def _base(role: str, axis: str, records: Sequence[Record]) -> float | None:
    """The size along an axis that the series along the other axes share; None where there are no others."""
    sizes = Counter(
        record.size[AXES[axis]]
        for record in records
        if record.role == role and record.axis in AXES and record.axis != axis
    )
    return sizes.most_common(1)[0][0] if sizes else None


def _measured(role: str, cost: str, records: Sequence[Record], wanted: Size) -> float | None:
    """The mean of what was measured at the wanted size and is in no fit."""
    found = [
        value
        for record in records
        if record.role == role and record.held_out and _is_size(record.size, wanted)
        if (value := record.costs.get(cost)) is not None
    ]
    return sum(found) / len(found) if found else None


def _is_size(size: Size, wanted: Size) -> bool:
    return all(abs(size.get(name, 0) - value) <= SAME_SIZE * value for name, value in wanted.items())


@dataclass(frozen=True, slots=True)
class BudgetedCost:
    """A cost of a role that the page shows, and what it may be; None where no budget is stated."""

    role: str
    cost: str
    budget: float | None


def rows(found: Sequence[Estimate], wanted: Sequence[BudgetedCost]) -> Iterator[str]:
    """Markdown rows of the costs that were asked for, in their order; those without records are left out."""
    yield "| role | cost | grows with (residual) | at base | predicted | measured | budget | ratio |"
    yield "| --- | --- | --- | --- | --- | --- | --- | --- |"
    by_name = {(estimate.role, estimate.cost): estimate for estimate in found}
    for each in wanted:
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
