"""Counts over an unbounded set of names in bounded memory: heavy hitters and hash buckets."""

from __future__ import annotations

import xxhash


def hash_bucket(name: str, buckets: int, salt: int) -> int:
    """The bucket of a name.

    Each process has its own salt, so that nobody can choose a name that falls into the bucket of
    another name.
    """
    return xxhash.xxh3_64_intdigest(name.encode("utf-8", "replace"), salt) % buckets


class HeavyHitters:
    """Counts of the most frequent names, by the space-saving algorithm.

    Metwally, Agrawal and El Abbadi, 2005: with k counters, each name with more than 1/k of the
    total has a counter, and no count is too high by more than the lowest count.
    """

    def __init__(self, counters: int) -> None:
        self.counters = counters
        self.counts: dict[str, float] = {}
        self.total = 0.0

    def add(self, name: str, weight: float = 1.0) -> None:
        """Counts a name; a new one takes over the lowest counter and its count if none is free."""
        counts = self.counts
        self.total += weight
        if name in counts:
            counts[name] += weight
        elif len(counts) < self.counters:
            counts[name] = weight
        else:
            least = min(counts, key=counts.__getitem__)
            counts[name] = counts.pop(least) + weight

    def decay(self) -> None:
        """Halves all counts."""
        self.total /= 2
        self.counts = {name: count / 2 for name, count in self.counts.items()}

    def heaviest(self, number: int) -> list[tuple[str, float]]:
        """The most frequent names, each with an upper bound of its share of the total."""
        if not self.total:
            return []
        ranked = sorted(self.counts.items(), key=lambda pair: (-pair[1], pair[0]))[:number]
        return [(name, count / self.total) for name, count in ranked]
