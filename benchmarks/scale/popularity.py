"""How calls are spread over functions: a Zipf-Mandelbrot law, share of rank r ~ (r + offset) ** -exponent."""

from __future__ import annotations

from enum import Enum

import numpy as np
from numpy.typing import NDArray


class Rarity(Enum):
    """Classes of functions by how often the whole fleet calls them."""

    HOT = "over_once_a_second"
    COMMON = "over_once_a_minute"
    RARE = "under_once_a_minute"
    VERY_RARE = "under_once_an_hour"


class Popularity:
    """The share of each function in all calls, most called first."""

    def __init__(self, functions: int, exponent: float, offset: float) -> None:
        weights = (np.arange(1, functions + 1) + offset) ** -exponent
        self.shares: NDArray[np.float64] = weights / weights.sum()
        self._cumulative = np.cumsum(self.shares)

    def draw(self, uniform: NDArray[np.float64]) -> NDArray[np.int64]:
        """Function numbers for uniform draws from [0, 1)."""
        found = np.searchsorted(self._cumulative, uniform, side="right")
        return np.minimum(found, len(self.shares) - 1)

    def rates(self, calls_per_second: float) -> NDArray[np.float64]:
        """Calls a second of each function."""
        return self.shares * calls_per_second

    def share_below_once_a_minute(self, calls_per_second: float) -> float:
        """The part of functions that the fleet calls less than once a minute."""
        return float(np.mean(self.rates(calls_per_second) < 1 / 60))

    def expected_distinct(self, calls: float) -> float:
        """How many functions that many calls meet, on average."""
        return float(np.sum(-np.expm1(-calls * self.shares)))

    def rarities(self, calls_per_second: float) -> list[Rarity]:
        """The class of each function."""
        return [rarity_of(rate) for rate in self.rates(calls_per_second)]


def rarity_of(calls_per_second: float) -> Rarity:
    if calls_per_second >= 1:
        return Rarity.HOT
    if calls_per_second >= 1 / 60:
        return Rarity.COMMON
    return Rarity.RARE if calls_per_second >= 1 / 3600 else Rarity.VERY_RARE
