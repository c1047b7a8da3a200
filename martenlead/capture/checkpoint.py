"""The state of a replayed dispatcher between two events, written so that a replay can go on from there.

The module's objects can be written as they are. A suspended generator cannot: it is made anew and led to the
wait at which it stood. While that happens the module's own choices are replaced by those of then, on this one
instance, and whatever the way there changed is put back. Three waits exist in the module: a task's for its
latest hand-off, a task's for all that are out, and the periodic check's. `write` reads from the living
generator at which of them it stands and what it has in hand; a stand that it does not know is an error, never
a guess.

A checkpoint is made by a replay, away from the dispatcher, and is of use to the same module text only. It is
read by an unpickler that knows the module's classes, some of the standard library's, and no others.
"""

from __future__ import annotations

import inspect
import io
import pickle
from collections import deque
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import xxhash
import zstandard

from martenlead.capture.events import Input, Start
from martenlead.capture.format import BadCapture
from martenlead.capture.replay_state import ReplayState
from martenlead.capture.tape import module_hash
from martenlead.policy import candidates
from martenlead.policy import policy as module
from martenlead.policy import types as interface
from martenlead.policy.engine import Engine, Process
from martenlead.policy.policy import Brain
from martenlead.policy.types import Result, Task, Wait

MAGIC = b"mlcheckp\x01"


class Checkpoint(Input, frozen=True, tag=12):
    """In place of the events before it; stands in no segment but in a file of its own."""

    module: str
    state: bytes


class CannotWrite(Exception):
    """A generator stands where no checkpoint knows it."""


# -- where a generator stands


def _line_of(function: Any, text: str) -> int:
    """The line of the one statement of a function that holds a text."""
    lines, first = inspect.getsourcelines(function)
    found = [first + n for n, line in enumerate(lines) if text in line]
    if len(found) != 1:
        raise CannotWrite(f"{function.__name__} has {len(found)} lines with {text!r}; one was expected")
    return found[0]


def _stands() -> dict[int, str]:
    return {
        _line_of(Brain.task, "io.Wait(min(last + s.tick, self.now + slow))"): "latest",
        _line_of(Brain.task, "answer = yield io.Wait(last + s.tick)"): "all",
        _line_of(Brain.checks, "io.Wait(self.now + int(self.pick() * FIRST_PERIOD))"): "first",
        _line_of(Brain.checks, "io.Wait(self.now + period)"): "period",
    }


def _describe(process: Process) -> dict[str, Any]:
    frame = getattr(process.steps, "gi_frame", None)
    if not process.alive or frame is None:
        return {"stand": "over"}
    stand = _stands().get(frame.f_lineno)
    if stand is None:
        raise CannotWrite(f"a generator stands at line {frame.f_lineno} of the module")
    local = frame.f_locals
    if stand in ("latest", "all"):
        return {"stand": stand, "task": local["task"], "last": local["last"]}
    return {"stand": stand, "born": local.get("born"), "last": local.get("last")}


def _lead(brain: Brain, told: dict[str, Any]) -> Any:
    """A generator at the wait at which that one stood. Leaves the module as it was."""
    kept = dict(vars(brain))
    tick = brain.settings.tick
    try:
        if told["stand"] in ("latest", "all"):
            return _lead_task(brain, told)
        return _lead_checks(brain, told)
    finally:
        for name in set(vars(brain)) - set(kept):
            delattr(brain, name)
        vars(brain).update(kept)
        brain.settings.tick = tick


def _lead_task(brain: Brain, told: dict[str, Any]) -> Any:
    task: Task = told["task"]
    last = told["last"]
    hand_offs = list(task.hand_offs)
    results = [h.result for h in hand_offs]
    credits = {id(h.runner): (h.runner, h.runner.credit) for h in hand_offs}
    # one after the other is placed and handed off as it was; all before the latest count as ended
    placed, handed = iter(hand_offs), iter(hand_offs)
    vars(brain).update(
        now=last - 1,
        count=lambda _task: iter(()),
        place=lambda _task, _but: next((h.runner for h in placed), None),
        may_order=lambda *_: False,
        hand_off=lambda _task, _runner, _last: _put(task, next(handed)),
    )
    brain.settings.tick = (task.give_up - last) // 3
    brain.settings.hand_offs, limit = len(hand_offs) + (told["stand"] == "all"), brain.settings.hand_offs
    try:
        task.hand_offs = []
        for h in hand_offs[:-1] if told["stand"] == "latest" else hand_offs:
            h.result = Result.SILENT  # ended, and no error that would end the task
        steps = brain.task(task)
        action = next(steps)
        while not isinstance(action, Wait):
            if told["stand"] == "all" and len(task.hand_offs) == len(hand_offs):
                for h, result in zip(hand_offs, results, strict=True):
                    h.result = result
                # the latest may be out: it is passed over as one that is waited for no more
                vars(brain)["now"] = last + 1
            action = steps.send(None)
    finally:
        brain.settings.hand_offs = limit
        task.hand_offs = hand_offs
        for h, result in zip(hand_offs, results, strict=True):
            h.result = result
        for runner, credit in credits.values():
            runner.credit = credit
    return steps


def _put(task: Task, hand_off: Any) -> Any:
    task.hand_offs.append(hand_off)
    return hand_off


def _lead_checks(brain: Brain, told: dict[str, Any]) -> Any:
    brain.pick = lambda: 0.0
    steps = brain.checks()
    next(steps)
    if told["stand"] == "first":
        return steps
    brain.models, brain.paced, brain.served, brain.unchecked = {}, {}, {}, deque()
    brain.now = told["born"]
    steps.send(None)
    if told["last"] != told["born"]:
        brain.now = told["last"]
        steps.send(None)
    return steps


# -- the objects


class _Pickler(pickle.Pickler):
    """Processes by where they stand; everything else as it is."""

    def reducer_override(self, value: Any) -> Any:
        if isinstance(value, Process):
            return _Stub, (), {"alive": value.alive, "turn": value.turn, "told": _describe(value)}
        return NotImplemented


class _Stub:
    """A process as it is read; `_Restored` makes one of it."""

    alive: bool
    turn: int
    told: dict[str, Any]
    process: Process | None = None


ALLOWED = {
    ("collections", "deque"): deque,
    ("random", "Random"): Random,
    ("builtins", "getattr"): getattr,
    ("martenlead.capture.checkpoint", "_Stub"): _Stub,
}


class _Unpickler(pickle.Unpickler):
    def find_class(self, name: str, what: str) -> Any:
        if (name, what) in ALLOWED:
            return ALLOWED[name, what]
        for known in (module, candidates, interface):
            found = getattr(known, what, None)
            if name == known.__name__ and isinstance(found, type) and found.__module__ == name:
                return found
        raise BadCapture(f"a checkpoint holds {name}.{what}, which is none of ours")


def write(replayer: ReplayState) -> bytes:
    """The state between two events. Raises `CannotWrite`."""
    if replayer.made:
        raise CannotWrite("decisions have not been taken up yet")
    engine = replayer.engine
    due = sorted((e for e in engine._due if Engine._waiting(e)), key=lambda e: e[:2])  # sorted, a heap again
    state = {
        "brain": vars(replayer.brain),
        "due": due,
        "count": engine._count,
        "replayer": {
            name: getattr(replayer, name)
            for name in (
                "runners",
                "models",
                "tasks",
                "orders",
                "names",
                "_customers",
                "_made_orders",
                "_closed",
            )
        },
        "tape": {name: value for name, value in vars(replayer._tape).items() if name not in ("sink", "edge")},
        "start": msgspec.msgpack.encode(replayer.start),
    }
    with _without_replicas_of_workers(replayer.brain, replayer.runners):
        out = io.BytesIO()
        _Pickler(out, protocol=5).dump(state)
    return zstandard.ZstdCompressor(level=3).compress(out.getvalue())


@contextmanager
def _without_replicas_of_workers(brain: Brain, workers: Iterable[Any]) -> Iterator[None]:
    """Functions name the replicas at their workers. That workers name them too would join all objects to one
    graph, along which pickle recurses too deep; it is put back from the functions when it is read."""
    known = {*workers, *brain.runners, *(worker for model in brain.models for worker in model.copies)}
    replicas = {worker: worker.copies for worker in known}
    try:
        for worker in known:
            worker.copies = {}
        yield
    finally:
        for worker, copies in replicas.items():
            worker.copies = copies


def restore(replayer: ReplayState, checkpoint: Checkpoint) -> None:
    """Puts a replayer where the one was that wrote it. Raises `BadCapture`."""
    if checkpoint.module != module_hash():
        raise BadCapture("the checkpoint is of another version of the module")
    data = zstandard.ZstdDecompressor().decompress(checkpoint.state)
    state = _Unpickler(io.BytesIO(data)).load()
    brain = Brain.__new__(Brain)
    vars(brain).update(state["brain"])
    for model in brain.models:
        for worker, copy in model.copies.items():
            worker.copies[model] = copy
    replayer.brain = brain
    replayer._settings = brain.settings
    replayer.engine = engine = Engine(brain, replayer._outlet)
    engine._count = state["count"]
    for name, value in state["replayer"].items():
        setattr(replayer, name, value)
    for name, value in state["tape"].items():
        setattr(replayer._tape, name, value)
    replayer.start = msgspec.msgpack.decode(state["start"], type=Start)

    def process(stub: Any) -> Process:
        if stub.process is None:
            over = stub.told["stand"] == "over"
            steps: Any = iter(()) if over else _lead(brain, stub.told)
            stub.process = Process(steps)
            stub.process.alive, stub.process.turn = stub.alive, stub.turn
        found: Process = stub.process
        return found

    for task in replayer.tasks.values():
        if isinstance(task.process, _Stub):
            task.process = process(task.process)
    engine._due = [(until, n, process(stub), turn) for until, n, stub, turn in state["due"]]


# -- files


def path_of(segment: Path) -> Path:
    """Where the state before a segment lies."""
    return segment.with_suffix(".ckpt")


def save(path: Path, t: int, replayer: ReplayState) -> None:
    body = msgspec.msgpack.encode((t, module_hash(), write(replayer)))
    temporary = path.with_suffix(".ckpt.new")
    temporary.write_bytes(MAGIC + xxhash.xxh3_64_digest(body) + body)
    temporary.replace(path)


def load(path: Path) -> Checkpoint:
    """Raises `BadCapture`, and OSError where there is none."""
    data = path.read_bytes()
    at = len(MAGIC)
    if not data.startswith(MAGIC) or xxhash.xxh3_64_digest(data[at + 8 :]) != data[at : at + 8]:
        raise BadCapture(f"{path}: no checkpoint, or not with its checksum")
    t, told, state = msgspec.msgpack.decode(data[at + 8 :], type=tuple[int, str, bytes])
    return Checkpoint(t, told, state)


__all__ = ["CannotWrite", "Checkpoint", "load", "path_of", "restore", "save", "write"]
