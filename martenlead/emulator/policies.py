"""Other ways to choose a worker: baselines to compare the policy with, and an oracle with full knowledge.

Each keeps the policy's rules (draining and cold workers, repeats, one attempt at a time) and its handling of
requests. Only the worker is chosen by another rule, and no replicas are loaded ahead of requests: workers
load on a miss. An earlier version of the policy can be named too: `module@COMMIT`.
"""

from __future__ import annotations

import io
import re
import subprocess
import sys
import tarfile
from collections.abc import Callable, Iterator, Mapping
from importlib import import_module
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, Protocol

from martenlead.emulator.box import EmulatedWorker
from martenlead.policy import types
from martenlead.policy.candidates import FULLY_RANKED_WORKERS
from martenlead.policy.placement import Placement
from martenlead.policy.policy import Policy
from martenlead.policy.state import Worker
from martenlead.standins.settings import RequestClassSettings

POLICY_PACKAGE = "martenlead/policy"
RANDOM_PICKS = 8  # Before all workers are considered
LOAD_BOUND = (
    1.25  # Largest load of a worker, as a multiple of the mean, in consistent hashing with bounded loads
)


class ObservedFleet(Protocol):
    """What the oracle needs of the fleet."""

    workers: dict[str, EmulatedWorker]

    @property
    def function_names(self) -> Mapping[Any, str]:
        """Names by function of any dispatcher."""

    def request_class_of(self, function: str) -> RequestClassSettings:
        """Returns the request class of a function."""


def share_rankings(policy: type[Policy]) -> type[Policy]:
    """Returns the policy with rankings that all dispatchers of this process share, to save work.

    The ranking of workers for a function depends only on its mark and the endpoint list, so it is computed
    once for all dispatchers. Decisions are the same.
    """
    rankings: dict[tuple[int, int], list[int]] = {}
    list_numbers: dict[tuple[tuple[int, float], ...], int] = {}

    class SharedRankingPlacement(policy.placement_type):  # type: ignore[misc, name-defined]
        """The placement with rankings from the shared table."""

        ranked_version = -1
        list_number = -1

        def ranked(self, function: Any) -> list[Any]:
            """Returns all workers in the function's rendezvous order."""
            index = self.state.index
            if self.ranked_version != index.version:
                facts = tuple((w.facts.mark, w.facts.weight) for w in self.state.workers)
                self.list_number = list_numbers.setdefault(facts, len(list_numbers))
                self.by_mark = {w.facts.mark: w for w in self.state.workers}
                self.ranked_version = index.version
            key = function.facts.mark, self.list_number
            if key not in rankings:
                rankings[key] = [w.facts.mark for w in index.ranked(function.facts.mark)]
            return [self.by_mark[mark] for mark in rankings[key]]

        def candidates(self, function: Any, replicas: int = 0) -> Iterator[Any]:
            """Returns the candidates from a full ranking while the workers are few enough."""
            ranking, index = function.ranking, self.state.index
            if len(self.state.workers) <= FULLY_RANKED_WORKERS and ranking.version != index.version:
                ranking.found, ranking.version = self.ranked(function), index.version
            found: Iterator[Any] = super().candidates(function, replicas)
            return found

    class SharedRankingPolicy(policy):  # type: ignore[misc, valid-type]
        """The policy with shared rankings."""

        placement_type = SharedRankingPlacement

    return SharedRankingPolicy


class BaselinePlacement(Placement):
    """The policy's rules and its handling of requests, without its choice of a worker."""

    def ranked(self, function: Any) -> list[Any]:
        """Returns all workers in the function's rendezvous order."""
        return self.state.index.ranked(function.facts.mark)

    def is_allowed(self, request: types.Request, worker: Worker, excluded: set[Worker]) -> bool:
        """Returns whether the rules allow the request at a worker.

        Concurrency limits belong to the policy's own choice, and apply here only to a worker in slow start.
        """
        return (
            worker not in excluded
            and self.outliers.is_usable(worker)
            and (worker.retry_budget >= 1 or not request.attempts)
            and self.repeats.may_send(request, worker)
            and (
                not self.slow_start.is_warming_up(worker)
                or self.concurrency.has_room(worker, request.is_deferrable)
            )
        )

    def choose_random(self, request: types.Request, excluded: set[Worker]) -> Worker | None:
        """Returns a random worker that the rules allow; None if there is none."""
        workers = self.state.workers
        for _ in range(RANDOM_PICKS if workers else 0):
            worker = workers[int(self.state.random() * len(workers))]
            if self.is_allowed(request, worker, excluded):
                return worker
        allowed = [w for w in workers if self.is_allowed(request, w, excluded)]
        return allowed[int(self.state.random() * len(allowed))] if allowed else None


class RandomChoice(BaselinePlacement):
    """A random worker."""

    def choose_worker(self, request: types.Request, excluded: set[Worker]) -> Worker | None:
        """Returns a random worker that the rules allow."""
        return self.choose_random(request, excluded)


class PowerOfTwo(BaselinePlacement):
    """Of two random workers the one with fewer attempts of this dispatcher."""

    def choose_worker(self, request: types.Request, excluded: set[Worker]) -> Worker | None:
        """Returns the less busy of two random workers."""
        pair = [
            w
            for w in (self.choose_random(request, excluded), self.choose_random(request, excluded))
            if w is not None
        ]
        return min(pair, key=lambda w: w.in_flight, default=None)


class LeastOutstanding(BaselinePlacement):
    """A worker with the fewest attempts of this dispatcher, at random among several."""

    def choose_worker(self, request: types.Request, excluded: set[Worker]) -> Worker | None:
        """Returns a worker with the fewest attempts."""
        allowed = [w for w in self.state.workers if self.is_allowed(request, w, excluded)]
        least = min((w.in_flight for w in allowed), default=0)
        best = [w for w in allowed if w.in_flight == least]
        return best[int(self.state.random() * len(best))] if best else None


class BoundedHash(BaselinePlacement):
    """Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016).

    The first worker in rendezvous order whose load is at most a quarter above the mean.
    """

    def choose_worker(self, request: types.Request, excluded: set[Worker]) -> Worker | None:
        """Returns the first worker below the bound, else the first that the rules allow."""
        in_flight = sum(w.in_flight for w in self.state.workers) + 1
        bound = LOAD_BOUND * in_flight / max(1, len(self.state.workers))
        ranking: list[Worker] = self.ranked(request.function)
        for worker in ranking:
            if worker.in_flight + 1 <= max(1.0, bound) and self.is_allowed(request, worker, excluded):
                return worker
        return next((w for w in ranking if self.is_allowed(request, w, excluded)), None)


def make_oracle(fleet: ObservedFleet) -> type[Policy]:
    """Returns a policy that sees each worker's true state and chooses the one that would finish first."""

    class OraclePlacement(BaselinePlacement):
        """The placement of the oracle."""

        def choose_worker(self, request: types.Request, excluded: set[Worker]) -> Worker | None:
            """Returns the worker that would finish the request first."""
            allowed = [w for w in self.state.workers if self.is_allowed(request, w, excluded)]
            return min(allowed, key=lambda w: self.seconds_to_finish(request, w), default=None)

        def seconds_to_finish(self, request: types.Request, worker: Worker) -> float:
            """Returns the seconds until the worker would have finished the request."""
            name = worker.facts.mark.to_bytes(200, "big").lstrip(b"\0").decode()
            emulated_worker = fleet.workers[name]
            if not emulated_worker.up or emulated_worker.is_draining:
                return 1e9
            part = emulated_worker.settings
            replicas = emulated_worker.replicas.get(fleet.function_names[request.function])
            work = request.cost or 0.1
            speed = part.speed * emulated_worker.speed_share() / emulated_worker.slow_factor
            concurrent = emulated_worker.running_count + emulated_worker.waiting_count + 1
            takes = work * max(1.0, concurrent / part.cores) / speed
            if replicas is None or not (replicas.ready or replicas.loading):
                load_ms = fleet.request_class_of(fleet.function_names[request.function]).load_ms
                return takes + load_ms / 1000 * (1 + emulated_worker.active_loads)
            if not replicas.ready:
                takes += fleet.request_class_of(replicas.function).load_ms / 2000
            queued = len(replicas.queue) + max(
                0, replicas.running + 1 - replicas.lanes * max(1, replicas.ready)
            )
            return takes + queued * takes / max(1, replicas.lanes)

    return make_baseline(OraclePlacement)


def make_baseline(placement: type[BaselinePlacement]) -> type[Policy]:
    """Returns the policy with another placement, and without load requests ahead of requests."""

    class Baseline(Policy):
        """The policy with the given placement."""

        placement_type = placement

        def __init__(self, settings: types.Settings, seed: int) -> None:
            super().__init__(settings, seed)
            settings.may_request_loads = False

    return Baseline


POLICIES: dict[str, type[Policy]] = {
    "module": Policy,
    "random": make_baseline(RandomChoice),
    "two": make_baseline(PowerOfTwo),
    "least": make_baseline(LeastOutstanding),
    "hash": make_baseline(BoundedHash),
}
POLICY_NAMES = (*POLICIES, "oracle", "module@COMMIT")


def find_policy(name: str) -> Callable[[ObservedFleet], type[Policy]]:
    """Returns the function that makes a policy for a fleet. Raises `ValueError` for an unknown name."""
    if name == "oracle":
        return make_oracle
    if name.startswith("module@"):
        earlier = load_policy_at(name.removeprefix("module@"))
        return lambda _: earlier
    if name not in POLICIES:
        raise ValueError(f"unknown policy {name!r}; expected one of {', '.join(POLICY_NAMES)}")
    return lambda _: POLICIES[name]


def load_policy_at(commit: str) -> type[Policy]:
    """Returns the policy of a commit or tag of this repository, with the current types.

    Raises `ValueError`, also for a commit before the policy was a package.
    """
    if not re.fullmatch(r"[A-Za-z0-9._/~^-]+", commit) or commit.startswith("-"):
        raise ValueError(f"{commit!r} is not a valid name of a commit")
    root = Path(__file__).parent.parent.parent
    archive_result = subprocess.run(
        ["git", "archive", "--format=tar", commit, POLICY_PACKAGE], cwd=root, capture_output=True, check=False
    )
    if archive_result.returncode:
        raise ValueError(f"no policy package at commit {commit!r}: {archive_result.stderr.decode().strip()}")
    with TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(archive_result.stdout)) as archive:
            archive.extractall(folder, filter="data")
        return _imported_from(Path(folder) / POLICY_PACKAGE)


def _imported_from(folder: Path) -> type[Policy]:
    """Imports the policy class from another copy of the package, and restores the program's own package."""
    own = {name: module for name, module in sys.modules.items() if name.startswith("martenlead.policy.")}
    package = sys.modules["martenlead.policy"]
    path, attributes = package.__path__, dict(vars(package))
    for name in own.keys() - {"martenlead.policy.types"}:
        del sys.modules[name]
        delattr(package, name.rpartition(".")[2])
    package.__path__ = [str(folder)]
    try:
        found: type[Policy] = import_module("martenlead.policy.policy").Policy
    except (ImportError, AttributeError) as error:
        raise ValueError(f"the policy there is not one for the types of today: {error}") from None
    finally:
        for name in [name for name in sys.modules if name.startswith("martenlead.policy.")]:
            del sys.modules[name]
        sys.modules.update(own)
        vars(package).update(attributes)
        package.__path__ = path
    return found
