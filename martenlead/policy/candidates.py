"""The workers a function may be placed on, ranked alike by all dispatchers with the same list.

A short list is ranked in full by weighted rendezvous hashing (Thaler and Ravishankar, 1998). The
workers of a long list are in the leaves of a tree over the hashes of their ids, and candidates are
drawn one by one (hierarchical rendezvous hashing, Wang and Ravishankar, 2009): a draw descends from
the root, choosing between two children by a hash and their summed weights. The cost of a draw or a
change of the list is proportional to the height of the tree.
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

# Lists of up to this many workers are ranked in full.
FULLY_RANKED_WORKERS = 256
# Number of leaves of the tree; each holds the few workers whose hashes fall into it.
LEAVES = 1 << 13
# Number of workers considered for a function, beyond those that it has replicas on.
CANDIDATES = 32
# Limit of draws for each candidate, since a draw may repeat a worker that was drawn before.
DRAWS_PER_CANDIDATE = 4
# Lower bound of weights, so that workers listed with a weight of 0 are ranked too.
LEAST_WEIGHT = 1e-9
# Hash input of a choice: the function's digest, the number of the draw, a tree node or a worker.
CHOICE_KEY = Struct("<QQQ")


def score(hash_bits: int, weight: float) -> float:
    """The rendezvous score of a 32-bit hash and a weight.

    The lowest of several scores wins, each with a probability proportional to its weight.
    """
    return -math.log((hash_bits + 1) / 2**32) / max(weight, LEAST_WEIGHT)


def digest(mark: int) -> int:
    """The 64-bit hash of the mark of a worker or a function."""
    return xxh3_64_intdigest(b"%d" % mark)


class CandidateIndex:
    """The listed workers. The `facts` of a worker must not change while it is in the index."""

    def __init__(self) -> None:
        self.workers: list[Any] = []  # sorted by mark
        self.weight = self.memory = 0.0  # sums over all workers; memory in MB
        self.version = 0  # incremented with each change
        self._weights = [0.0] * (2 * LEAVES)  # root at 1, children of n at 2n and 2n + 1
        self._leaves: dict[int, list[Any]] = {}

    def add(self, worker: Any) -> None:
        """Adds a worker that is not listed."""
        insort(self.workers, worker, key=lambda w: w.facts.mark)
        self._leaves.setdefault(self._leaf(worker), []).append(worker)
        self._update_sums(worker, worker.facts.memory_mb)

    def remove(self, worker: Any) -> None:
        """Removes a listed worker."""
        at = bisect_left(self.workers, worker.facts.mark, key=lambda w: w.facts.mark)
        del self.workers[self.workers.index(worker, at)]
        self._leaves[self._leaf(worker)].remove(worker)
        self._update_sums(worker, -worker.facts.memory_mb)

    def _leaf(self, worker: Any) -> int:
        return LEAVES + digest(worker.facts.mark) % LEAVES

    def _update_sums(self, worker: Any, memory: float) -> None:
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
        """All workers in the rendezvous order of the function with this mark."""

        def score_of(worker: Any) -> float:
            """The score of a worker for the function."""
            return score(crc32(b"%d %d" % (mark, worker.facts.mark)), worker.facts.weight)

        return sorted(self.workers, key=score_of)

    def draw(self, function: int, number: int) -> Any:
        """The worker that a numbered draw gives for the function with this digest."""
        node, weights = 1, self._weights
        while node < LEAVES:
            hash_bits = xxh3_64_intdigest(CHOICE_KEY.pack(function, number, node))
            node *= 2
            left, right = weights[node], weights[node + 1]
            node += right > 0 and hash_bits / 2**64 * (left + right) >= left

        def score_of(worker: Any) -> float:
            """The score of a worker for this draw."""
            hash_bits = xxh3_64_intdigest(
                CHOICE_KEY.pack(function, number, digest(worker.facts.mark))
            )
            return score(hash_bits >> 32, worker.facts.weight)

        return min(self._leaves[node], key=score_of)


class Ranking:
    """The candidates of one function, drawn only as far as they are requested."""

    def __init__(self, mark: int) -> None:
        self.mark, self.version, self.draws = mark, -1, 0
        self.found: list[Any] = []

    def candidates(self, index: CandidateIndex, replicas: int) -> Iterator[Any]:
        """Yields all workers of a short list, at most `CANDIDATES` + `replicas` of a long one."""
        short = len(index.workers) <= FULLY_RANKED_WORKERS
        if self.version != index.version:
            self.version, self.draws = index.version, 0
            self.found = index.ranked(self.mark) if short else []
        function, limit = digest(self.mark), len(index.workers) if short else CANDIDATES + replicas
        yield from islice(self.found, limit)
        while not short and len(self.found) < limit and self.draws < DRAWS_PER_CANDIDATE * limit:
            self.draws += 1
            worker = index.draw(function, self.draws)
            if worker not in self.found:
                self.found.append(worker)
                yield worker
