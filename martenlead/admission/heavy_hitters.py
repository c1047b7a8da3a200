"""Bounded knowledge of unbounded names: the heaviest by name, everyone by a bucket.

`Heavy` is the space-saving algorithm (Metwally, Agrawal, El Abbadi 2005): with k counters, whoever has more
than a k-th of all that was counted is among them, and no count is over by more than the least of them.
"""

from __future__ import annotations

import xxhash


def hash_bucket(name: str, buckets: int, salt: int) -> int:
    """Where a name falls. The salt is a process's own: names cannot be chosen to meet another's bucket."""
    return xxhash.xxh3_64_intdigest(name.encode("utf-8", "replace"), salt) % buckets


class HeavyHitters:
    def __init__(self, counters: int) -> None:
        self.counters = counters
        self.counts: dict[str, float] = {}
        self.total = 0.0

    def add(self, name: str, weight: float = 1.0) -> None:
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
        """What was long ago counts half."""
        self.total /= 2
        self.counts = {name: n / 2 for name, n in self.counts.items()}

    def heaviest(self, count: int) -> list[tuple[str, float]]:
        """The heaviest, each with its part of all, at most."""
        ranked = sorted(self.counts.items(), key=lambda pair: (-pair[1], pair[0]))[:count]
        return [(name, n / self.total) for name, n in ranked] if self.total else []
