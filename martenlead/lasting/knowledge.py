"""What of a dispatcher's knowledge is kept, and what it is still worth when it is read: free of I/O.

Kept: usual latencies and demand of models, the tasks a second that were satisfied, runners' widths,
copies held, drains heard, orders of the ration's window. Not kept, since it is not true of another life:
tasks that were out, credit, what went unanswered, randomness. Not trusted: anything of a runner whose process
has started anew since; copies that lay idle longer than they are kept, and any copy until its runner has said
that it stands.

Each kind ages by how fast it was seen to change: its mean change a second, in parts, is measured between
two savings and kept with it. What was known counts for 1 / (1 + change x age). An age that cannot be
known, since clocks stepped back, is taken for a long one. Times are ns.
"""

from __future__ import annotations

from collections.abc import Generator
from statistics import fmean, median
from typing import Any

import msgspec

from martenlead.policy import types as io
from martenlead.policy.policy import Policy

SECOND = 1_000_000_000
UNKNOWN_AGE = 24 * 3600 * SECOND
USUAL = {"latency": 1 / 600, "demand": 1 / 60, "width": 1 / 30}  # change a second, until it was seen
SLOWEST, FASTEST = 1 / 86_400, 1.0
SEEN = 0.1  # of a newly seen change, in the mean
MOST_MODELS = 10_000
SLICE = 25  # models that are read at a time
SOME = 200  # models, those used last, that tell how fast things change
MOST_ASKS = 200  # of copies, after a start


class KnownCopy(msgspec.Struct, array_like=True):
    runner: str
    start: str  # the life of its process
    idle: int  # since its last use


class KnownModel(msgspec.Struct, array_like=True):
    name: str
    lanes: int
    memory_mb: float
    bins: list[float]  # of its latencies
    lag: float
    tasks: float  # within span
    span: int
    gap: int  # mean time between two tasks
    idle: int  # since its last task
    copies: list[KnownCopy]


class KnownRunner(msgspec.Struct, array_like=True):
    name: str
    start: str
    width: float
    drains: bool


class Knowledge(msgspec.Struct):
    rate: float
    asked: float
    models: list[KnownModel]
    runners: list[KnownRunner]
    orders: list[int]  # their ages
    change: dict[str, float]
    boot: str = ""  # which start of the machine `at` counts from
    at: int = 0  # its uptime


def gather(
    policy: Policy,
    now: int,
    names: dict[Any, str],
    boxes: dict[Any, tuple[str, str, bool]],
    before: tuple[int, Knowledge] | None = None,
) -> Knowledge:
    """All of `gathering` in one go."""
    steps = gathering(policy, now, names, boxes, before)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            told: Knowledge = stop.value
            return told


def gathering(
    policy: Policy,
    now: int,
    names: dict[Any, str],
    boxes: dict[Any, tuple[str, str, bool]],
    before: tuple[int, Knowledge] | None = None,
) -> Generator[None, None, Knowledge]:
    """Reads the module and changes nothing, some models at a time: ten thousand at once would hold up an
    event loop for as long as some tasks have. `names` are the models', `boxes` tells of each runner its
    name, its life, and whether it said that it drains; `before` is what was gathered last, and when."""
    keep = policy.settings.keep_alive_ns
    models = sorted(policy.state.functions, key=lambda m: (-m.last_request_ns, m.facts.mark))[:MOST_MODELS]
    known = []
    for number, model in enumerate(models):
        if number % SLICE == SLICE - 1:
            yield
        if model.requests < 1 and not model.replicas:
            continue
        copies = [
            KnownCopy(*boxes[c.worker][:2], max(0, now - c.last_used_ns))
            for c in model.replicas.values()
            if c.is_retained and c.is_loaded and c.worker in boxes and now - c.last_used_ns < keep
        ]
        gap = (
            (model.last_request_ns - model.first_request_ns) // (model.requests - 1)
            if model.requests > 1
            else 0
        )
        known.append(
            KnownModel(
                names[model],
                model.facts.lanes,
                model.facts.memory_mb,
                [round(n, 3) for n in model.latency.bins] if model.latency.total else [],
                model.latency.sum_ns,
                model.rated_requests + model.new_requests[1],
                model.rated_span_ns,
                gap,
                max(0, now - model.last_request_ns),
                copies,
            )
        )
    runners = [
        KnownRunner(*boxes[r][:2], r.concurrency_limit, boxes[r][2])
        for r in policy.state.workers
        if r in boxes
    ]
    yield
    window = policy.settings.load_window_ns
    orders = [now - t for t in policy.load_budget.load_times_ns if now - t < window]
    told = Knowledge(
        policy.state.traffic.succeeded_per_second,
        policy.state.traffic.new_requests_per_second,
        known,
        runners,
        orders,
        dict(USUAL),
    )
    if before is not None:
        told.change = changes(before, (now, told))
    return told


def changes(before: tuple[int, Knowledge], after: tuple[int, Knowledge]) -> dict[str, float]:
    """How fast each kind changes, parts a second: the median over all that both know, into the mean so
    far."""
    (then, old), (now, new) = before, after
    seconds = (now - then) / SECOND
    found = dict(old.change)
    if seconds <= 0:
        return found
    for kind, was, is_ in (
        ("latency", _means(old), _means(new)),
        ("demand", _rates(old), _rates(new)),
        ("width", {r.name: r.width for r in old.runners}, {r.name: r.width for r in new.runners}),
    ):
        parts = [abs(is_[n] - was[n]) / was[n] for n in was.keys() & is_.keys() if was[n] > 0]
        if parts:
            seen = min(FASTEST, max(SLOWEST, median(parts) / seconds))
            found[kind] = found.get(kind, USUAL[kind]) * (1 - SEEN) + SEEN * seen
    return found


def _means(told: Knowledge) -> dict[str, float]:
    some = told.models[:SOME]
    return {m.name: m.lag / sum(m.bins) for m in some if m.bins and sum(m.bins) > 0}


def _rates(told: Knowledge) -> dict[str, float]:
    return {m.name: m.tasks / m.span for m in told.models[:SOME] if m.span > 0 and m.tasks >= 4}


def age(told: Knowledge, saved: int, wall: int, boot: str, uptime: int) -> int:
    """Since it was saved: by the machine's uptime where it has not started anew, else by the wall clock; one
    that runs backwards says nothing."""
    if told.boot and told.boot == boot and uptime >= told.at:
        return uptime - told.at
    return wall - saved if wall >= saved else UNKNOWN_AGE


def worth(change: float, age_ns: int) -> float:
    return 1 / (1 + min(FASTEST, max(SLOWEST, change)) * age_ns / SECOND)


def past(
    told: Knowledge, age_ns: int, models: dict[str, Any], runners: dict[str, tuple[Any, str]], window: int
) -> io.EarlierRun:
    """For the module: `models` and `runners` are its objects by name, with the runners' present lives."""
    of = {kind: worth(told.change.get(kind, usual), age_ns) for kind, usual in USUAL.items()}
    return io.EarlierRun(
        succeeded_per_second=told.rate,
        new_requests_per_second=told.asked,
        weight=of["demand"],
        functions=[
            io.EarlierFunction(
                models[m.name],
                m.bins,
                m.lag,
                of["latency"],
                m.tasks,
                m.span,
                m.gap,
                m.idle + age_ns,
                of["demand"],
            )
            for m in told.models
            if m.name in models
        ],
        workers=[
            io.EarlierWorker(runners[r.name][0], r.width, of["width"])
            for r in told.runners
            if r.name in runners and runners[r.name][1] == r.start
        ],
        load_ages_ns=[a + age_ns for a in told.orders if a + age_ns < window],
    )


def asks(
    told: Knowledge, age_ns: int, keep: int, runners: dict[str, tuple[Any, str]]
) -> list[tuple[str, str, int, float, float]]:
    """Copies to ask their runners for: runner, model, lanes, MB, ms since they were used. Those that were
    used last first; what has lapsed by its age, or was of another life, is not asked for."""
    found = [
        (copy.runner, model.name, model.lanes, model.memory_mb, (copy.idle + age_ns) / 1e6)
        for model in told.models
        for copy in model.copies
        if copy.idle + age_ns < keep and runners.get(copy.runner, (None, ""))[1] == copy.start
        if copy.runner in runners
    ]
    return sorted(found, key=lambda ask: ask[4])[:MOST_ASKS]


def drained(told: Knowledge, runners: dict[str, tuple[Any, str]]) -> list[str]:
    """Runners that said themselves that they drain, in the life that they still live."""
    return [r.name for r in told.runners if r.drains and r.name in runners and runners[r.name][1] == r.start]


def mean_worth(told: Knowledge, age_ns: int) -> float:
    """For operators: what it counts for, all kinds together."""
    return fmean(worth(told.change.get(kind, usual), age_ns) for kind, usual in USUAL.items())
