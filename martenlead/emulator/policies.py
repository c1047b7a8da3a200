"""Whom a task goes to, decided otherwise: baselines to compare the module with, and one that sees everything.

Each keeps the module's guards of the rules (drains, cold runners, repeats, one out at a time) and its care
for each task; only the place is chosen by another rule, and no copies are ordered ahead: runners load on a
miss. An earlier text of the module is one too: `module@COMMIT`.
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

from martenlead.emulator.box import Runner
from martenlead.policy import types
from martenlead.policy.candidates import FULLY_RANKED_WORKERS
from martenlead.policy.placement import Placement
from martenlead.policy.policy import Policy
from martenlead.policy.state import Worker
from martenlead.standins.settings import RequestClassSettings

PACKAGE = "martenlead/policy"
TRIES = 8  # random picks before all runners are looked at
BOUND = 1.25  # of the mean load: what consistent hashing with bounded loads lets a runner have


class ObservedFleet(Protocol):
    """The fleet, as the policy that sees everything looks at it."""

    runners: dict[str, Runner]

    @property
    def names(self) -> Mapping[Any, str]:
        """Of the dispatchers' functions."""

    def offering_of(self, model: str) -> RequestClassSettings:
        """The request class of a function."""


def alike(policy: type[Policy]) -> type[Policy]:
    """The same decisions, with less work where many dispatchers are in one process.

    The shared order of a function's workers follows from its mark and the list alone, so whoever needs it
    first sorts it for all.
    """
    orders: dict[tuple[int, int], list[int]] = {}
    rosters: dict[tuple[tuple[int, float], ...], int] = {}

    class AlikePlacement(policy.placement_type):  # type: ignore[misc, name-defined]
        ranked_version = -1
        roster_number = -1

        def ranked(self, function: Any) -> list[Any]:
            index = self.state.index
            if self.ranked_version != index.version:
                facts = tuple((w.facts.mark, w.facts.weight) for w in self.state.workers)
                self.roster_number = rosters.setdefault(facts, len(rosters))
                self.by_mark = {w.facts.mark: w for w in self.state.workers}
                self.ranked_version = index.version
            key = function.facts.mark, self.roster_number
            if key not in orders:
                orders[key] = [w.facts.mark for w in index.ranked(function.facts.mark)]
            return [self.by_mark[mark] for mark in orders[key]]

        def candidates(self, function: Any, replicas: int = 0) -> Iterator[Any]:
            ranking, index = function.ranking, self.state.index
            if len(self.state.workers) <= FULLY_RANKED_WORKERS and ranking.version != index.version:
                ranking.found, ranking.version = self.ranked(function), index.version
            order: Iterator[Any] = super().candidates(function, replicas)
            return order

    class Alike(policy):  # type: ignore[misc, valid-type]
        placement_type = AlikePlacement

    return Alike


class BaselinePlacement(Placement):
    """The guards of the rules and the care for each request, without the choice among the workers."""

    def ranked(self, function: Any) -> list[Any]:
        """All workers, the function's first choice first."""
        return self.state.index.ranked(function.facts.mark)

    def may(self, request: types.Request, worker: Worker, excluded: set[Worker]) -> bool:
        """What the rules let it have. Limits are the policy's own decision, except at a warming worker."""
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

    def some(self, request: types.Request, excluded: set[Worker]) -> Worker | None:
        workers = self.state.workers
        for _ in range(TRIES if workers else 0):
            worker = workers[int(self.state.random() * len(workers))]
            if self.may(request, worker, excluded):
                return worker
        able = [w for w in workers if self.may(request, w, excluded)]
        return able[int(self.state.random() * len(able))] if able else None


class RandomChoice(BaselinePlacement):
    """Any worker."""

    def choose_worker(self, request: types.Request, excluded: set[Worker]) -> Worker | None:
        return self.some(request, excluded)


class PowerOfTwo(BaselinePlacement):
    """Of two at random the one with fewer of this dispatcher's requests."""

    def choose_worker(self, request: types.Request, excluded: set[Worker]) -> Worker | None:
        two = [w for w in (self.some(request, excluded), self.some(request, excluded)) if w is not None]
        return min(two, key=lambda w: w.in_flight, default=None)


class LeastOutstanding(BaselinePlacement):
    """The one with the fewest of this dispatcher's requests; the first by chance of several."""

    def choose_worker(self, request: types.Request, excluded: set[Worker]) -> Worker | None:
        able = [w for w in self.state.workers if self.may(request, w, excluded)]
        least = min((w.in_flight for w in able), default=0)
        best = [w for w in able if w.in_flight == least]
        return best[int(self.state.random() * len(best))] if best else None


class BoundedHash(BaselinePlacement):
    """Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016).

    On the order that the dispatchers share: the first that has no more than a quarter above the mean.
    """

    def choose_worker(self, request: types.Request, excluded: set[Worker]) -> Worker | None:
        in_flight = sum(w.in_flight for w in self.state.workers) + 1
        bound = BOUND * in_flight / max(1, len(self.state.workers))
        order: list[Worker] = self.ranked(request.function)
        for worker in order:
            if worker.in_flight + 1 <= max(1.0, bound) and self.may(request, worker, excluded):
                return worker
        return next((w for w in order if self.may(request, w, excluded)), None)


def oracle(fleet: ObservedFleet) -> type[Policy]:
    """One that sees every worker as it is: the one that would be done with the request first."""

    class OraclePlacement(BaselinePlacement):
        def choose_worker(self, request: types.Request, excluded: set[Worker]) -> Worker | None:
            able = [w for w in self.state.workers if self.may(request, w, excluded)]
            return min(able, key=lambda w: self.takes(request, w), default=None)

        def takes(self, request: types.Request, worker: Worker) -> float:
            """s from now."""
            name = worker.facts.mark.to_bytes(200, "big").lstrip(b"\0").decode()
            there = fleet.runners[name]
            if not there.up or there.is_draining:
                return 1e9
            part = there.settings
            copies = there.replicas.get(fleet.names[request.function])
            work = request.cost or 0.1
            speed = part.speed * there.speed_share() / there.slow_factor
            beside = there.running_count + there.waiting_count + 1
            takes = work * max(1.0, beside / part.cores) / speed
            if copies is None or not (copies.ready or copies.loading):
                load_ms = fleet.offering_of(fleet.names[request.function]).load_ms
                return takes + load_ms / 1000 * (1 + there.active_loads)
            if not copies.ready:
                takes += fleet.offering_of(copies.function).load_ms / 2000
            behind = len(copies.queue) + max(0, copies.running + 1 - copies.lanes * max(1, copies.ready))
            return takes + behind * takes / max(1, copies.lanes)

    return baseline(OraclePlacement)


def baseline(placement: type[BaselinePlacement]) -> type[Policy]:
    """The policy with another placement, and without load requests ahead of requests."""

    class Baseline(Policy):
        placement_type = placement

        def __init__(self, settings: types.Settings, seed: int) -> None:
            super().__init__(settings, seed)
            settings.may_request_loads = False

    return Baseline


NAMED: dict[str, type[Policy]] = {
    "module": Policy,
    "random": baseline(RandomChoice),
    "two": baseline(PowerOfTwo),
    "least": baseline(LeastOutstanding),
    "hash": baseline(BoundedHash),
}
NAMES = (*NAMED, "oracle", "module@COMMIT")


def find(name: str) -> Callable[[ObservedFleet], type[Policy]]:
    """Raises `ValueError`."""
    if name == "oracle":
        return oracle
    if name.startswith("module@"):
        earlier = module_at(name.removeprefix("module@"))
        return lambda _: earlier
    if name not in NAMED:
        raise ValueError(f"{name!r} is no policy; {', '.join(NAMES)} are")
    return lambda _: NAMED[name]


def module_at(commit: str) -> type[Policy]:
    """The policy's text at a commit or tag of this project's own history, with the types of today. Raises
    `ValueError`, also for a commit before the policy was a package."""
    if not re.fullmatch(r"[A-Za-z0-9._/~^-]+", commit) or commit.startswith("-"):
        raise ValueError(f"{commit!r} is no name of a commit")
    root = Path(__file__).parent.parent.parent
    told = subprocess.run(
        ["git", "archive", "--format=tar", commit, PACKAGE], cwd=root, capture_output=True, check=False
    )
    if told.returncode:
        raise ValueError(f"no module at {commit!r}: {told.stderr.decode().strip()}")
    with TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(told.stdout)) as archive:
            archive.extractall(folder, filter="data")
        return _imported_from(Path(folder) / PACKAGE)


def _imported_from(folder: Path) -> type[Policy]:
    """The policy class of another copy of the package, which the program's own is put back behind."""
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
