"""Describes where a suspended generator of the policy waits, and recreates it at the same wait.

A suspended generator cannot be serialized, but its wait and the local variables it needs there can.
The policy has three kinds of wait: a request waits for its latest attempt, a request waits for all
attempts in flight, and the periodic check waits for its next turn. An unknown wait is an error,
never a guess.

A new generator is advanced to its wait while the policy's choices are replaced, on this instance
only, by the recorded ones; all state that this changes is restored afterwards.
"""

from __future__ import annotations

import inspect
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import cache
from typing import Any

from martenlead.policy.attempts import DEADLINE_MARGIN_TICKS, MARGIN_SHARE, Attempts
from martenlead.policy.engine import Process
from martenlead.policy.policy import Policy
from martenlead.policy.replica_scaling import ReplicaScaling
from martenlead.policy.types import Attempt, Request, Result, Steps, Wait

# the names under which checkpoints store the kinds of wait
OVER = "over"
LATEST_ATTEMPT = "latest"
ALL_ATTEMPTS = "all"
FIRST_CHECK = "first"
NEXT_CHECK = "period"


class CheckpointError(Exception):
    """The state cannot be stored in a checkpoint, for instance because a wait is unknown."""


@dataclass(slots=True)
class Suspension:
    """The wait of a generator and the local variables that it needs to resume."""

    wait: str
    request: Request | None = None
    last_ns: int | None = None  # a request's: end of its attempts; a check's: start of its period
    begun_ns: int | None = None

    def pack(self) -> dict[str, object]:
        """The fields by the names that checkpoints store."""
        if self.wait == OVER:
            return {"stand": self.wait}
        if self.request is not None:
            return {"stand": self.wait, "task": self.request, "last": self.last_ns}
        return {"stand": self.wait, "born": self.begun_ns, "last": self.last_ns}

    @classmethod
    def unpack(cls, stored: dict[str, Any]) -> Suspension:
        """Reads the result of `pack`."""
        return cls(stored["stand"], stored.get("task"), stored.get("last"), stored.get("born"))


# -- describing a suspended generator


def describe_process(process: Process) -> Suspension:
    """Describes where the generator of a process waits. Raises `CheckpointError`."""
    frame = getattr(process.steps, "gi_frame", None)
    if not process.alive or frame is None:
        return Suspension(OVER)
    wait = _waits_by_line().get(frame.f_lineno)
    if wait is None:
        error = f"a generator stands at line {frame.f_lineno} of the module"
        raise CheckpointError(error)
    variables = frame.f_locals
    if wait in (LATEST_ATTEMPT, ALL_ATTEMPTS):
        return Suspension(wait, variables["request"], variables["last_ns"])
    return Suspension(wait, None, variables.get("last_ns"), variables.get("begun_ns"))


@cache
def _waits_by_line() -> dict[int, str]:
    return {
        _line_of(Attempts.handle, "Wait(min(last_ns + tick_ns, overdue_ns))"): LATEST_ATTEMPT,
        _line_of(Attempts.handle, "answer = yield Wait(last_ns + tick_ns)"): ALL_ATTEMPTS,
        _line_of(ReplicaScaling.run, "Wait(state.now_ns + first)"): FIRST_CHECK,
        _line_of(ReplicaScaling.run, "Wait(state.now_ns + interval)"): NEXT_CHECK,
    }


def _line_of(function: Callable[..., object], text: str) -> int:
    """The number of the only line of a function that contains `text`."""
    lines, first = inspect.getsourcelines(function)
    found = [first + n for n, line in enumerate(lines) if text in line]
    if len(found) != 1:
        error = f"{function.__name__} has {len(found)} lines with {text!r}; one was expected"
        raise CheckpointError(error)
    return found[0]


# -- recreating a generator at the same wait


def resume_at(policy: Policy, suspension: Suspension) -> Steps:
    """Creates a generator that waits where the described one did. Leaves the policy unchanged."""
    with _policy_restored(policy):
        if suspension.request is not None:
            return _resume_request(policy, suspension.request, suspension)
        return _resume_checks(policy, suspension)


@contextmanager
def _policy_restored(policy: Policy) -> Iterator[None]:
    """Restores the state of the policy's parts afterwards, including replaced methods."""
    state = policy.state
    parts: list[object] = [
        state,
        state.traffic,
        policy.scaling,
        policy.tenant_shares,
        policy.load_budget,
        policy.placement,
        policy.attempts,
    ]
    variables = [dict(vars(part)) for part in parts]
    tick_ns = policy.settings.tick_ns
    try:
        yield
    finally:
        for part, before in zip(parts, variables, strict=True):
            for name in set(vars(part)) - set(before):
                delattr(part, name)
            vars(part).update(before)
        policy.settings.tick_ns = tick_ns


@contextmanager
def _request_restored(policy: Policy, request: Request) -> Iterator[None]:
    """Restores the request's attempts, their results and their workers' retry budgets."""
    attempts, attempt_limit = list(request.attempts), policy.settings.attempt_limit
    results = [attempt.result for attempt in attempts]
    budgets = {attempt.worker: attempt.worker.retry_budget for attempt in attempts}
    try:
        yield
    finally:
        policy.settings.attempt_limit = attempt_limit
        request.attempts = attempts
        _set_results(attempts, results)
        for worker, budget in budgets.items():
            worker.retry_budget = budget


def _set_results(attempts: list[Attempt], results: list[Result | None]) -> None:
    for attempt, result in zip(attempts, results, strict=True):
        attempt.result = result


def _resume_request(policy: Policy, request: Request, suspension: Suspension) -> Steps:
    last_ns = suspension.last_ns
    assert last_ns is not None
    waits_for_all = suspension.wait == ALL_ATTEMPTS
    attempts = list(request.attempts)
    results = [attempt.result for attempt in attempts]
    with _request_restored(policy, request):
        _repeat_choices(policy, request, attempts)
        # early enough before the deadline that the tick is not limited to a share of the time left
        left_ns = request.deadline_ns - last_ns
        policy.state.now_ns = last_ns - round((left_ns + 1) / MARGIN_SHARE)
        policy.settings.tick_ns = left_ns // DEADLINE_MARGIN_TICKS
        policy.settings.attempt_limit = len(attempts) + waits_for_all
        request.attempts = []
        for attempt in attempts if waits_for_all else attempts[:-1]:
            attempt.result = Result.NO_RESPONSE  # ended, without an error that ends the request
        steps = policy.handle_request(request)
        action = next(steps)
        while not isinstance(action, Wait):
            if waits_for_all and len(request.attempts) == len(attempts):
                _set_results(attempts, results)
                # the latest attempt may be in flight; its own wait is skipped as already over
                policy.state.now_ns = last_ns + 1
            action = steps.send(None)
    return steps


def _repeat_choices(policy: Policy, request: Request, attempts: list[Attempt]) -> None:
    """Makes the policy place and begin the recorded attempts in their order."""
    workers = iter([attempt.worker for attempt in attempts])
    remaining = iter(attempts)

    def begin_next(*_: object) -> Attempt:
        """Begins the next recorded attempt."""
        attempt = next(remaining)
        request.attempts.append(attempt)
        return attempt

    vars(policy.placement)["choose_worker"] = lambda *_: next(workers, None)
    vars(policy.load_budget)["allows"] = lambda *_: False
    vars(policy.attempts).update(count_request=lambda _: iter(()), begin_attempt=begin_next)


def _resume_checks(policy: Policy, suspension: Suspension) -> Steps:
    state = policy.state
    state.random = lambda: 0.0
    if suspension.last_ns is not None:  # older checkpoints have none during the first wait
        state.now_ns = suspension.last_ns
    steps = policy.scaling.run()
    next(steps)
    if suspension.wait == FIRST_CHECK:
        return steps
    assert suspension.begun_ns is not None
    state.functions, state.paced_workers = {}, {}
    policy.tenant_shares.requests_in_period, policy.scaling.unchecked = {}, deque()
    state.now_ns = suspension.begun_ns
    steps.send(None)
    return steps
