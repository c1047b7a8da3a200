"""The workers a function may be placed on, ranked alike by all dispatchers with the same list.

Weighted rendezvous hashing (Thaler and Ravishankar, 1998) ranks a short list whole. The workers of
a long one are leaves of a tree over the hashes of their ids, and candidates are drawn one by one
(hierarchical rendezvous, Wang and Ravishankar, 2009): a draw descends from the root, choosing
between two children by a hash and their summed weights. Draws and changes of the list cost the
tree's height.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterator
from itertools import islice
from struct import Struct
from typing import Any
from zlib import crc32

from xxhash import xxh3_64_intdigest

FULLY_RANKED_WORKERS = 256  # workers up to which a function ranks all of them
LEAVES = 1 << 13  # of the tree: each has the few workers whose hashes fall there
CANDIDATES = 32  # workers that a function looks at beyond those it has replicas on
DRAWS = 4  # for each candidate: a draw may name a worker that was drawn before
LEAST_WEIGHT = 1e-9  # a worker that is told to have none is ranked all the same
CHOICE = Struct(
    "<QQQ"
)  # what a choice is hashed from: function, number of its draw, node or worker


def score(mixed: int, weight: float) -> float:
    """Of 32 random bits; the least of several scores is each one's as often as its weight says."""
    return -math.log((mixed + 1) / 2**32) / max(weight, LEAST_WEIGHT)


def digest(mark: int) -> int:
    """The hash of a worker's or a function's mark, 64 bits."""
    return xxh3_64_intdigest(b"%d" % mark)


class CandidateIndex:
    """The listed workers, by their `facts`, which stay the same while a worker is in it."""

    def __init__(self) -> None:
        self.workers: list[Any] = []  # by mark
        self.weight = self.memory = 0.0  # of all; MB
        self.version = 0  # grows with each change
        self._weights = [0.0] * (2 * LEAVES)  # the root at 1, the children of n at 2n and 2n + 1
        self._leaves: dict[int, list[Any]] = {}

    def add(self, worker: Any) -> None:
        """Lists a worker that is not listed."""
        insort(self.workers, worker, key=lambda w: w.facts.mark)
        self._leaves.setdefault(self._leaf(worker), []).append(worker)
        self._changed(worker, worker.facts.memory_mb)

    def remove(self, worker: Any) -> None:
        """Takes a listed worker out."""
        at = bisect_left(self.workers, worker.facts.mark, key=lambda w: w.facts.mark)
        del self.workers[self.workers.index(worker, at)]
        self._leaves[self._leaf(worker)].remove(worker)
        self._changed(worker, -worker.facts.memory_mb)

    def _leaf(self, worker: Any) -> int:
        return LEAVES + digest(worker.facts.mark) % LEAVES

    def _changed(self, worker: Any, memory: float) -> None:
        self.version += 1
        self.memory += memory
        node = self._leaf(worker)
        self._weights[node] = math.fsum(
            max(w.facts.weight, LEAST_WEIGHT) for w in self._leaves[node]
        )
        while node > 1:
            node //= 2
            self._weights[node] = self._weights[2 * node] + self._weights[2 * node + 1]
        self.weight = self._weights[1]

    def ranked(self, mark: int) -> list[Any]:
        """All workers, the function's first choice first."""

        def place(worker: Any) -> float:
            return score(crc32(b"%d %d" % (mark, worker.facts.mark)), worker.facts.weight)

        return sorted(self.workers, key=place)

    def draw(self, function: int, number: int) -> Any:
        """What this draw gives to a function, which is known by its digest."""
        node, weights = 1, self._weights
        while node < LEAVES:
            mixed = xxh3_64_intdigest(CHOICE.pack(function, number, node))
            node *= 2
            left, right = weights[node], weights[node + 1]
            node += right > 0 and mixed / 2**64 * (left + right) >= left

        def place(worker: Any) -> float:
            mixed = xxh3_64_intdigest(CHOICE.pack(function, number, digest(worker.facts.mark)))
            return score(mixed >> 32, worker.facts.weight)

        return min(self._leaves[node], key=place)


class Ranking:
    """The candidates of one function, found as far as they were asked for."""

    def __init__(self, mark: int) -> None:
        self.mark, self.version, self.draws = mark, -1, 0
        self.found: list[Any] = []

    def candidates(self, index: CandidateIndex, replicas: int) -> Iterator[Any]:
        """Of a long list `CANDIDATES` at most, and as many more as the function has `replicas`."""
        short = len(index.workers) <= FULLY_RANKED_WORKERS
        if self.version != index.version:
            self.version, self.draws = index.version, 0
            self.found = index.ranked(self.mark) if short else []
        function, limit = digest(self.mark), len(index.workers) if short else CANDIDATES + replicas
        yield from islice(self.found, limit)
        while not short and len(self.found) < limit and self.draws < DRAWS * limit:
            self.draws += 1
            worker = index.draw(function, self.draws)
            if worker not in self.found:
                self.found.append(worker)
                yield worker
