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
from inspect import signature
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, Protocol

from martenlead.emulator.box import Runner as Worker
from martenlead.policy import types
from martenlead.policy.candidates import RANKED_WHOLE
from martenlead.policy.policy import Brain, Runner
from martenlead.standins.settings import OfferingPart

PACKAGE = "martenlead/policy"
TRIES = 8  # random picks before all runners are looked at
BOUND = 1.25  # of the mean load: what consistent hashing with bounded loads lets a runner have


class ObservedFleet(Protocol):
    """The fleet, as the policy that sees everything looks at it."""

    runners: dict[str, Worker]

    @property
    def names(self) -> Mapping[Any, str]:
        """Of the dispatchers' functions."""

    def offering_of(self, model: str) -> OfferingPart:
        """The request class of a function."""


def alike(policy: type[Brain]) -> type[Brain]:
    """The same decisions, with less work where many dispatchers are in one process: the shared order of a
    model's runners follows from its mark and the roster alone, so whoever needs it first sorts it for all."""
    if "replicas" not in signature(policy.shared_order).parameters:
        return policy  # an earlier text, which ranks for itself
    orders: dict[tuple[int, int], list[int]] = {}
    rosters: dict[tuple[tuple[int, float], ...], int] = {}

    class Alike(policy):  # type: ignore[misc, valid-type]
        ranked_version = -1
        roster_number = -1

        def ranked(self, model: Any) -> list[Any]:
            index = self.index
            if self.ranked_version != index.version:
                facts = tuple((r.facts.mark, r.facts.weight) for r in self.runners)
                self.roster_number = rosters.setdefault(facts, len(rosters))
                self.by_mark = {r.facts.mark: r for r in self.runners}
                self.ranked_version = index.version
            key = model.facts.mark, self.roster_number
            if key not in orders:
                orders[key] = [r.facts.mark for r in index.ranked(model.facts.mark)]
            return [self.by_mark[mark] for mark in orders[key]]

        def shared_order(self, model: Any, replicas: int) -> Iterator[Any]:
            ranking = model.ranking
            if len(self.runners) <= RANKED_WHOLE and ranking.version != self.index.version:
                ranking.found, ranking.version = self.ranked(model), self.index.version
            order: Iterator[Any] = super().shared_order(model, replicas)
            return order

    return Alike


class Baseline(Brain):
    def __init__(self, settings: types.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        settings.orders = False

    def ranked(self, model: Any) -> list[Any]:
        """All runners, the model's first choice first."""
        return self.index.ranked(model.facts.mark)

    def may(self, task: types.Task, runner: Runner, but: set[Runner]) -> bool:
        """What the rules let it have. Widths are the module's own decision, except at a cold runner."""
        return (
            runner not in but
            and self.usable(runner)
            and (runner.credit >= 1 or not task.hand_offs)
            and self.may_repeat(task, runner)
            and (not self.cold(runner) or self.room(runner, task.spare))
        )

    def some(self, task: types.Task, but: set[Runner]) -> Runner | None:
        runners = self.runners
        for _ in range(TRIES if runners else 0):
            runner = runners[int(self.pick() * len(runners))]
            if self.may(task, runner, but):
                return runner
        able = [r for r in runners if self.may(task, r, but)]
        return able[int(self.pick() * len(able))] if able else None


class RandomChoice(Baseline):
    """Any runner."""

    def place(self, task: types.Task, but: set[Runner]) -> Runner | None:
        return self.some(task, but)


class PowerOfTwo(Baseline):
    """Of two at random the one with fewer of this dispatcher's tasks."""

    def place(self, task: types.Task, but: set[Runner]) -> Runner | None:
        two = [r for r in (self.some(task, but), self.some(task, but)) if r is not None]
        return min(two, key=lambda r: r.out, default=None)


class LeastOutstanding(Baseline):
    """The one with the fewest of this dispatcher's tasks; the first by chance of several."""

    def place(self, task: types.Task, but: set[Runner]) -> Runner | None:
        able = [r for r in self.runners if self.may(task, r, but)]
        least = min((r.out for r in able), default=0)
        best = [r for r in able if r.out == least]
        return best[int(self.pick() * len(best))] if best else None


class BoundedHash(Baseline):
    """Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016), on the order that the
    dispatchers share: the first that has no more than a quarter above the mean."""

    def place(self, task: types.Task, but: set[Runner]) -> Runner | None:
        out = sum(r.out for r in self.runners) + 1
        bound = BOUND * out / max(1, len(self.runners))
        order: list[Runner] = self.ranked(task.model)
        for runner in order:
            if runner.out + 1 <= max(1.0, bound) and self.may(task, runner, but):
                return runner
        return next((r for r in order if self.may(task, r, but)), None)


def oracle(fleet: ObservedFleet) -> type[Brain]:
    """One that sees every runner as it is: the one that would be done with the task first."""

    class Oracle(Baseline):
        def place(self, task: types.Task, but: set[Runner]) -> Runner | None:
            able = [r for r in self.runners if self.may(task, r, but)]
            return min(able, key=lambda r: self.takes(task, r), default=None)

        def takes(self, task: types.Task, runner: Runner) -> float:
            """s from now."""
            name = runner.facts.mark.to_bytes(200, "big").lstrip(b"\0").decode()
            there = fleet.runners[name]
            if not there.up or there.draining:
                return 1e9
            part = there.part
            copies = there.copies.get(fleet.names[task.model])
            work = task.cost or 0.1
            speed = part.speed * there.capacity() / there.slow
            beside = there.running + there.waiting + 1
            takes = work * max(1.0, beside / part.cores) / speed
            if copies is None or not (copies.standing or copies.loading):
                return takes + fleet.offering_of(fleet.names[task.model]).load_ms / 1000 * (1 + there.loads)
            if not copies.standing:
                takes += fleet.offering_of(copies.model).load_ms / 2000
            behind = len(copies.waiting) + max(0, copies.running + 1 - copies.lanes * max(1, copies.standing))
            return takes + behind * takes / max(1, copies.lanes)

    return Oracle


NAMED: dict[str, type[Brain]] = {
    "module": Brain,
    "random": RandomChoice,
    "two": PowerOfTwo,
    "least": LeastOutstanding,
    "hash": BoundedHash,
}
NAMES = (*NAMED, "oracle", "module@COMMIT")


def find(name: str) -> Callable[[ObservedFleet], type[Brain]]:
    """Raises `ValueError`."""
    if name == "oracle":
        return oracle
    if name.startswith("module@"):
        earlier = module_at(name.removeprefix("module@"))
        return lambda _: earlier
    if name not in NAMED:
        raise ValueError(f"{name!r} is no policy; {', '.join(NAMES)} are")
    return lambda _: NAMED[name]


def module_at(commit: str) -> type[Brain]:
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


def _imported_from(folder: Path) -> type[Brain]:
    """The policy class of another copy of the package, which the program's own is put back behind."""
    own = {name: module for name, module in sys.modules.items() if name.startswith("martenlead.policy.")}
    package = sys.modules["martenlead.policy"]
    path, attributes = package.__path__, dict(vars(package))
    for name in own.keys() - {"martenlead.policy.types"}:
        del sys.modules[name]
        delattr(package, name.rpartition(".")[2])
    package.__path__ = [str(folder)]
    try:
        found: type[Brain] = import_module("martenlead.policy.policy").Brain
    finally:
        for name in [name for name in sys.modules if name.startswith("martenlead.policy.")]:
            del sys.modules[name]
        sys.modules.update(own)
        vars(package).update(attributes)
        package.__path__ = path
    return found
