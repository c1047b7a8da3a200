"""Checkpoints: the state of a replayed dispatcher between two events, where a replay can resume.

The policy's objects are pickled directly, except for its suspended generators (suspension.py). A
checkpoint is made by a replay, outside the dispatcher's process, and can only be restored with the
same source code of the policy. The unpickler accepts the policy's classes, a few of the standard
library's, and no others.
"""

from __future__ import annotations

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
from martenlead.capture.replay_state import STORED_STATE, ReplayState
from martenlead.capture.suspension import (
    OVER,
    CheckpointError,
    Suspension,
    describe_process,
    resume_at,
)
from martenlead.policy import types
from martenlead.policy.engine import Engine, Process
from martenlead.policy.policy import Policy
from martenlead.policy.state import Worker
from martenlead.system.durable_file import remove_leftovers, replace_file

MAGIC = b"mlcheckp\x01"
CHECKSUM_BYTES = 8
PICKLE_PROTOCOL = 5
COMPRESSION_LEVEL = 3
SUFFIX = ".ckpt"


class Checkpoint(InputEvent, frozen=True, tag=12):
    """Replaces the events before it; stored in a file of its own, never in a segment."""

    policy_hash: str = msgspec.field(name="module")
    state: bytes


# -- pickling


class _Pickler(pickle.Pickler):
    """Pickles a process as the description of its wait, and all other objects as usual."""

    def reducer_override(self, value: object) -> Any:  # noqa: ANN401 - the signature of `pickle.Pickler`
        """Reduces a process to a stub; leaves all other objects to pickle."""
        if isinstance(value, Process):
            described = describe_process(value).pack()
            return _Stub, (), {"alive": value.alive, "turn": value.turn, "told": described}
        return NotImplemented


class _Stub:
    """The pickled form of a process. Checkpoints store the module and name of this class."""

    is_alive: bool
    turn: int
    suspension: Suspension
    process: Process | None = None  # set once the process has been restored

    def __setstate__(self, stored: dict[str, Any]) -> None:
        self.is_alive, self.turn = stored["alive"], stored["turn"]
        self.suspension = Suspension.unpack(stored["told"])


ALLOWED: dict[tuple[str, str], object] = {
    ("collections", "deque"): deque,
    ("random", "Random"): Random,
    ("builtins", "getattr"): getattr,
    ("martenlead.capture.checkpoint", "_Stub"): _Stub,
}


class _Unpickler(pickle.Unpickler):
    """Unpickles the allowed classes only. Raises `CaptureFormatError` for any other."""

    def find_class(self, module_name: str, name: str, /) -> object:
        """Returns the class of a stored name. Raises `CaptureFormatError` if it is not allowed."""
        if (module_name, name) in ALLOWED:
            return ALLOWED[module_name, name]
        for module in (*DECISION_MODULES, types):
            found = getattr(module, name, None)
            is_defined_there = isinstance(found, type) and found.__module__ == module_name
            if module_name == module.__name__ and is_defined_there:
                return found
        error = f"a checkpoint holds {module_name}.{name}, which is none of ours"
        raise CaptureFormatError(error)


def pack_state(replayer: ReplayState) -> bytes:
    """Serializes the state between two events. Raises `CheckpointError`."""
    if replayer.pending_decisions:
        error = "decisions have not been taken up yet"
        raise CheckpointError(error)
    engine = replayer.engine
    # a sorted list is a valid heap
    due = sorted((e for e in engine._due if Engine._waiting(e)), key=lambda e: e[:2])
    state = {
        "policy": vars(replayer.policy),
        "due": due,
        "count": engine._count,
        "replayer": {stored: getattr(replayer, name) for stored, name in STORED_STATE.items()},
        "tape": replayer.recorder.pack_state(),
        "start": msgspec.msgpack.encode(replayer.start),
    }
    with _without_replicas_of_workers(replayer.policy, replayer.workers):
        buffer = io.BytesIO()
        _Pickler(buffer, protocol=PICKLE_PROTOCOL).dump(state)
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(buffer.getvalue())


@contextmanager
def _without_replicas_of_workers(policy: Policy, workers: Iterable[Worker]) -> Iterator[None]:
    """Removes the replicas from the workers temporarily; the functions refer to them too.

    With both references all objects form one connected graph, on which pickle recurses too deep.
    When a checkpoint is restored, the workers get their replicas back from the functions.
    """
    listed, functions = policy.state.workers, policy.state.functions
    known = {*workers, *listed, *(worker for f in functions for worker in f.replicas)}
    replicas = {worker: worker.replicas for worker in known}
    try:
        for worker in known:
            worker.replicas = {}
        yield
    finally:
        for worker, own in replicas.items():
            worker.replicas = own


def restore(replayer: ReplayState, checkpoint: Checkpoint) -> None:
    """Gives a replayer the state of the one that wrote it. Raises `CaptureFormatError`."""
    if checkpoint.policy_hash != policy_hash():
        error = "the checkpoint is of another version of the module"
        raise CaptureFormatError(error)
    data = zstandard.ZstdDecompressor().decompress(checkpoint.state)
    state = _Unpickler(io.BytesIO(data)).load()
    policy = _restore_policy(state["policy"])
    replayer.policy, replayer.settings = policy, policy.settings
    replayer.engine = Engine(policy, replayer.perform)
    for stored, value in state["replayer"].items():
        setattr(replayer, STORED_STATE[stored], value)
    replayer.recorder.restore_state(state["tape"])
    replayer.start = msgspec.msgpack.decode(state["start"], type=RunStarted)
    _restore_processes(replayer, state["due"], state["count"])


def _restore_policy(variables: dict[str, object]) -> Policy:
    policy = Policy.__new__(Policy)
    vars(policy).update(variables)
    for function in policy.state.functions:
        for worker, replica in function.replicas.items():
            worker.replicas[function] = replica
    return policy


def _restore_processes(
    replayer: ReplayState, due: list[tuple[int, int, _Stub, int]], count: int
) -> None:
    """Restores the processes of the open requests and of all scheduled waits."""
    policy, engine = replayer.policy, replayer.engine
    for request in replayer.requests.values():
        if isinstance(request.process, _Stub):
            request.process = _restore_process(policy, request.process)
    engine._count = count
    engine._due = [
        (until_ns, n, _restore_process(policy, stub), turn) for until_ns, n, stub, turn in due
    ]


def _restore_process(policy: Policy, stub: _Stub) -> Process:
    if stub.process is None:
        is_over = stub.suspension.wait == OVER
        # a finished process is never resumed, so any iterator will do
        steps: Any = iter(()) if is_over else resume_at(policy, stub.suspension)
        stub.process = Process(steps)
        stub.process.alive, stub.process.turn = stub.is_alive, stub.turn
    return stub.process


# -- files


def checkpoint_path(segment: Path) -> Path:
    """The path of the checkpoint that holds the state before a segment."""
    return segment.with_suffix(SUFFIX)


def save(path: Path, time_ns: int, replayer: ReplayState) -> None:
    """Writes the state before the input at `time_ns`. Raises `CheckpointError` and OSError."""
    body = msgspec.msgpack.encode((time_ns, policy_hash(), pack_state(replayer)))
    remove_leftovers(path)
    replace_file(path, MAGIC + xxhash.xxh3_64_digest(body) + body)


def load(path: Path) -> Checkpoint:
    """Reads a checkpoint file. Raises `CaptureFormatError`, or OSError if it cannot be read."""
    data = path.read_bytes()
    magic, checksum = data[: len(MAGIC)], data[len(MAGIC) : len(MAGIC) + CHECKSUM_BYTES]
    body = data[len(MAGIC) + CHECKSUM_BYTES :]
    if magic != MAGIC or xxhash.xxh3_64_digest(body) != checksum:
        error = f"{path}: no checkpoint, or not with its checksum"
        raise CaptureFormatError(error)
    time_ns, written_by, state = msgspec.msgpack.decode(body, type=tuple[int, str, bytes])
    return Checkpoint(time_ns, written_by, state)


__all__ = ["Checkpoint", "CheckpointError", "checkpoint_path", "load", "restore", "save"]
