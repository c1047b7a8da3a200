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

from martenlead.capture.events import InputEvent, RunStarted
from martenlead.capture.format import CaptureFormatError
from martenlead.capture.recorder import DECISION_MODULES, policy_hash
from martenlead.capture.replay_state import ReplayState
from martenlead.policy import types
from martenlead.policy.attempts import MARGIN_SHARE, Attempts
from martenlead.policy.engine import Engine, Process
from martenlead.policy.policy import Policy
from martenlead.policy.replica_scaling import ReplicaScaling
from martenlead.policy.types import Request, Result, Wait
from martenlead.system.durable_file import remove_leftovers, replace_file

MAGIC = b"mlcheckp\x01"


class Checkpoint(InputEvent, frozen=True, tag=12):
    """In place of the events before it; stands in no segment but in a file of its own."""

    policy_hash: str = msgspec.field(name="module")
    state: bytes


class CheckpointError(Exception):
    """A generator stands where no checkpoint knows it."""


# -- where a generator stands


def _line_of(function: Any, text: str) -> int:
    """The line of the one statement of a function that holds a text."""
    lines, first = inspect.getsourcelines(function)
    found = [first + n for n, line in enumerate(lines) if text in line]
    if len(found) != 1:
        raise CheckpointError(f"{function.__name__} has {len(found)} lines with {text!r}; one was expected")
    return found[0]


def _stands() -> dict[int, str]:
    return {
        _line_of(Attempts.handle, "Wait(min(last_ns + tick_ns, overdue_ns))"): "latest",
        _line_of(Attempts.handle, "answer = yield Wait(last_ns + tick_ns)"): "all",
        _line_of(ReplicaScaling.run, "Wait(state.now_ns + first)"): "first",
        _line_of(ReplicaScaling.run, "Wait(state.now_ns + interval)"): "period",
    }


def _describe(process: Process) -> dict[str, Any]:
    frame = getattr(process.steps, "gi_frame", None)
    if not process.alive or frame is None:
        return {"stand": "over"}
    stand = _stands().get(frame.f_lineno)
    if stand is None:
        raise CheckpointError(f"a generator stands at line {frame.f_lineno} of the module")
    local = frame.f_locals
    if stand in ("latest", "all"):
        return {"stand": stand, "task": local["request"], "last": local["last_ns"]}
    return {"stand": stand, "born": local.get("begun_ns"), "last": local.get("last_ns")}


def _lead(policy: Policy, told: dict[str, Any]) -> Any:
    """A generator at the wait at which that one stood. Leaves the policy as it was."""
    state = policy.state
    parts: list[Any] = [
        state,
        state.traffic,
        policy.scaling,
        policy.tenant_shares,
        policy.load_budget,
        policy.placement,
        policy.attempts,
    ]
    kept = [dict(vars(part)) for part in parts]
    tick = policy.settings.tick_ns
    try:
        if told["stand"] in ("latest", "all"):
            return _lead_task(policy, told)
        return _lead_checks(policy, told)
    finally:
        for part, before in zip(parts, kept, strict=True):
            for name in set(vars(part)) - set(before):
                delattr(part, name)
            vars(part).update(before)
        policy.settings.tick_ns = tick


def _lead_task(policy: Policy, told: dict[str, Any]) -> Any:
    task: Request = told["task"]
    last = told["last"]
    hand_offs = list(task.attempts)
    results = [h.result for h in hand_offs]
    budgets = {id(h.worker): (h.worker, h.worker.retry_budget) for h in hand_offs}
    # one after the other is placed and begun as it was; all before the latest count as ended
    placed, begun = iter(hand_offs), iter(hand_offs)
    # so long before its end that its tick is no share of its time, and comes out as it was
    policy.state.now_ns = last - round((task.deadline_ns - last + 1) / MARGIN_SHARE)
    vars(policy.placement)["choose_worker"] = lambda *_: next((h.worker for h in placed), None)
    vars(policy.load_budget)["allows"] = lambda *_: False
    vars(policy.attempts).update(
        count_request=lambda _: iter(()), begin_attempt=lambda *_: _put(task, next(begun))
    )
    policy.settings.tick_ns = (task.deadline_ns - last) // 3
    policy.settings.attempt_limit, limit = (
        len(hand_offs) + (told["stand"] == "all"),
        policy.settings.attempt_limit,
    )
    try:
        task.attempts = []
        for h in hand_offs[:-1] if told["stand"] == "latest" else hand_offs:
            h.result = Result.NO_RESPONSE  # ended, and no error that would end the task
        steps = policy.handle_request(task)
        action = next(steps)
        while not isinstance(action, Wait):
            if told["stand"] == "all" and len(task.attempts) == len(hand_offs):
                for h, result in zip(hand_offs, results, strict=True):
                    h.result = result
                # the latest may be out: it is passed over as one that is waited for no more
                policy.state.now_ns = last + 1
            action = steps.send(None)
    finally:
        policy.settings.attempt_limit = limit
        task.attempts = hand_offs
        for h, result in zip(hand_offs, results, strict=True):
            h.result = result
        for runner, budget in budgets.values():
            runner.retry_budget = budget
    return steps


def _put(task: Request, hand_off: Any) -> Any:
    task.attempts.append(hand_off)
    return hand_off


def _lead_checks(policy: Policy, told: dict[str, Any]) -> Any:
    state = policy.state
    state.random = lambda: 0.0
    if told["last"] is not None:  # earlier checkpoints have none while the first wait lasts
        state.now_ns = told["last"]
    steps = policy.scaling.run()
    next(steps)
    if told["stand"] == "first":
        return steps
    state.functions, state.paced_workers = {}, {}
    policy.tenant_shares.requests_in_period, policy.scaling.unchecked = {}, deque()
    state.now_ns = told["born"]
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
        for known in (*DECISION_MODULES, types):
            found = getattr(known, what, None)
            if name == known.__name__ and isinstance(found, type) and found.__module__ == name:
                return found
        raise CaptureFormatError(f"a checkpoint holds {name}.{what}, which is none of ours")


def write(replayer: ReplayState) -> bytes:
    """The state between two events. Raises `CannotWrite`."""
    if replayer.pending_decisions:
        raise CheckpointError("decisions have not been taken up yet")
    engine = replayer.engine
    due = sorted((e for e in engine._due if Engine._waiting(e)), key=lambda e: e[:2])  # sorted, a heap again
    state = {
        "policy": vars(replayer.policy),
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
        "tape": replayer._tape.pack_state(),
        "start": msgspec.msgpack.encode(replayer.start),
    }
    with _without_replicas_of_workers(replayer.policy, replayer.runners):
        out = io.BytesIO()
        _Pickler(out, protocol=5).dump(state)
    return zstandard.ZstdCompressor(level=3).compress(out.getvalue())


@contextmanager
def _without_replicas_of_workers(policy: Policy, workers: Iterable[Any]) -> Iterator[None]:
    """Functions name the replicas at their workers. That workers name them too would join all objects to one
    graph, along which pickle recurses too deep; it is put back from the functions when it is read."""
    listed, functions = policy.state.workers, policy.state.functions
    known = {*workers, *listed, *(worker for function in functions for worker in function.replicas)}
    replicas = {worker: worker.replicas for worker in known}
    try:
        for worker in known:
            worker.replicas = {}
        yield
    finally:
        for worker, copies in replicas.items():
            worker.replicas = copies


def restore(replayer: ReplayState, checkpoint: Checkpoint) -> None:
    """Puts a replayer where the one was that wrote it. Raises `BadCapture`."""
    if checkpoint.policy_hash != policy_hash():
        raise CaptureFormatError("the checkpoint is of another version of the module")
    data = zstandard.ZstdDecompressor().decompress(checkpoint.state)
    state = _Unpickler(io.BytesIO(data)).load()
    policy = Policy.__new__(Policy)
    vars(policy).update(state["policy"])
    for model in policy.state.functions:
        for worker, copy in model.replicas.items():
            worker.replicas[model] = copy
    replayer.policy = policy
    replayer._settings = policy.settings
    replayer.engine = engine = Engine(policy, replayer._outlet)
    engine._count = state["count"]
    for name, value in state["replayer"].items():
        setattr(replayer, name, value)
    replayer._tape.restore_state(state["tape"])
    replayer.start = msgspec.msgpack.decode(state["start"], type=RunStarted)

    def process(stub: Any) -> Process:
        if stub.process is None:
            over = stub.told["stand"] == "over"
            steps: Any = iter(()) if over else _lead(policy, stub.told)
            stub.process = Process(steps)
            stub.process.alive, stub.process.turn = stub.alive, stub.turn
        found: Process = stub.process
        return found

    for task in replayer.tasks.values():
        if isinstance(task.process, _Stub):
            task.process = process(task.process)
    engine._due = [(until, n, process(stub), turn) for until, n, stub, turn in state["due"]]


# -- files


def checkpoint_path(segment: Path) -> Path:
    """Where the state before a segment lies."""
    return segment.with_suffix(".ckpt")


def save(path: Path, t: int, replayer: ReplayState) -> None:
    body = msgspec.msgpack.encode((t, policy_hash(), write(replayer)))
    remove_leftovers(path)
    replace_file(path, MAGIC + xxhash.xxh3_64_digest(body) + body)


def load(path: Path) -> Checkpoint:
    """Raises `BadCapture`, and OSError where there is none."""
    data = path.read_bytes()
    at = len(MAGIC)
    if not data.startswith(MAGIC) or xxhash.xxh3_64_digest(data[at + 8 :]) != data[at : at + 8]:
        raise CaptureFormatError(f"{path}: no checkpoint, or not with its checksum")
    t, told, state = msgspec.msgpack.decode(data[at + 8 :], type=tuple[int, str, bytes])
    return Checkpoint(t, told, state)


__all__ = ["Checkpoint", "CheckpointError", "checkpoint_path", "load", "restore", "save", "write"]
