"""The distribution of calls over functions: Zipf-Mandelbrot, share of rank r ~ (r + offset) ** -exponent."""

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
    """The share of each function in all calls, most frequently called first."""

    def __init__(self, functions: int, exponent: float, offset: float) -> None:
        weights = (np.arange(1, functions + 1) + offset) ** -exponent
        self.shares: NDArray[np.float64] = weights / weights.sum()
        self._cumulative = np.cumsum(self.shares)

    def draw(self, uniform: NDArray[np.float64]) -> NDArray[np.int64]:
        """Returns function numbers for uniform draws from [0, 1)."""
        found = np.searchsorted(self._cumulative, uniform, side="right")
        return np.minimum(found, len(self.shares) - 1)

    def rates(self, calls_per_second: float) -> NDArray[np.float64]:
        """Returns the calls per second of each function."""
        return self.shares * calls_per_second

    def share_below_once_a_minute(self, calls_per_second: float) -> float:
        """Returns the share of functions that the fleet calls less than once a minute."""
        return float(np.mean(self.rates(calls_per_second) < 1 / 60))

    def expected_distinct(self, calls: float) -> float:
        """Returns the expected number of distinct functions among a number of calls."""
        return float(np.sum(-np.expm1(-calls * self.shares)))

    def rarities(self, calls_per_second: float) -> list[Rarity]:
        """Returns the rarity of each function."""
        return [rarity_of(rate) for rate in self.rates(calls_per_second)]


def rarity_of(calls_per_second: float) -> Rarity:
    """Returns the rarity of a function that the whole fleet calls at this rate."""
    if calls_per_second >= 1:
        return Rarity.HOT
    if calls_per_second >= 1 / 60:
        return Rarity.COMMON
    return Rarity.RARE if calls_per_second >= 1 / 3600 else Rarity.VERY_RARE
