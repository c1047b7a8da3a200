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
UNKNOWN_AGE_NS = 24 * 3600 * SECOND
DEFAULT_CHANGE_PER_SECOND = {
    "latency": 1 / 600,
    "demand": 1 / 60,
    "width": 1 / 30,
}  # change a second, until it was seen
MIN_CHANGE_PER_SECOND, MAX_CHANGE_PER_SECOND = 1 / 86_400, 1.0
SMOOTHING_FACTOR = 0.1  # of a newly seen change, in the mean
MAX_FUNCTIONS = 10_000
FUNCTIONS_PER_STEP = 25  # models that are read at a time
SAMPLED_FUNCTIONS = 200  # models, those used last, that tell how fast things change
MAX_RELOADS = 200  # of copies, after a start


class SavedReplica(msgspec.Struct, array_like=True):
    worker: str
    incarnation: str  # the life of its process
    idle_ns: int  # since its last use


class SavedFunction(msgspec.Struct, array_like=True):
    name: str
    lanes: int
    memory_mb: float
    latency_bins: list[float]  # of its latencies
    latency_sum_ns: float
    recent_requests: float  # within span
    recent_span_ns: int
    mean_gap_ns: int  # mean time between two tasks
    idle_ns: int  # since its last task
    replicas: list[SavedReplica]


class SavedWorker(msgspec.Struct, array_like=True):
    name: str
    incarnation: str
    concurrency_limit: float
    is_draining: bool


class SavedKnowledge(msgspec.Struct):
    succeeded_per_second: float = msgspec.field(name="rate")
    new_requests_per_second: float = msgspec.field(name="asked")
    functions: list[SavedFunction] = msgspec.field(name="models")
    workers: list[SavedWorker] = msgspec.field(name="runners")
    load_ages_ns: list[int] = msgspec.field(name="orders")  # their ages
    change_per_second: dict[str, float] = msgspec.field(name="change")
    boot_id: str = msgspec.field(default="", name="boot")  # which start of the machine `at` counts from
    uptime_ns: int = msgspec.field(default=0, name="at")  # its uptime


def gather_knowledge(
    policy: Policy,
    now: int,
    names: dict[Any, str],
    boxes: dict[Any, tuple[str, str, bool]],
    before: tuple[int, SavedKnowledge] | None = None,
) -> SavedKnowledge:
    """All of `gathering` in one go."""
    steps = gather_in_steps(policy, now, names, boxes, before)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            told: SavedKnowledge = stop.value
            return told


def gather_in_steps(
    policy: Policy,
    now: int,
    names: dict[Any, str],
    boxes: dict[Any, tuple[str, str, bool]],
    before: tuple[int, SavedKnowledge] | None = None,
) -> Generator[None, None, SavedKnowledge]:
    """Reads the module and changes nothing, some models at a time: ten thousand at once would hold up an
    event loop for as long as some tasks have. `names` are the models', `boxes` tells of each runner its
    name, its life, and whether it said that it drains; `before` is what was gathered last, and when."""
    keep = policy.settings.keep_alive_ns
    models = sorted(policy.state.functions, key=lambda m: (-m.last_request_ns, m.facts.mark))[:MAX_FUNCTIONS]
    known = []
    for number, model in enumerate(models):
        if number % FUNCTIONS_PER_STEP == FUNCTIONS_PER_STEP - 1:
            yield
        if model.requests < 1 and not model.replicas:
            continue
        copies = [
            SavedReplica(*boxes[c.worker][:2], max(0, now - c.last_used_ns))
            for c in model.replicas.values()
            if c.is_retained and c.is_loaded and c.worker in boxes and now - c.last_used_ns < keep
        ]
        gap = (
            (model.last_request_ns - model.first_request_ns) // (model.requests - 1)
            if model.requests > 1
            else 0
        )
        known.append(
            SavedFunction(
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
        SavedWorker(*boxes[r][:2], r.concurrency_limit, boxes[r][2])
        for r in policy.state.workers
        if r in boxes
    ]
    yield
    window = policy.settings.load_window_ns
    orders = [now - t for t in policy.load_budget.load_times_ns if now - t < window]
    told = SavedKnowledge(
        policy.state.traffic.succeeded_per_second,
        policy.state.traffic.new_requests_per_second,
        known,
        runners,
        orders,
        dict(DEFAULT_CHANGE_PER_SECOND),
    )
    if before is not None:
        told.change_per_second = measure_changes(before, (now, told))
    return told


def measure_changes(
    before: tuple[int, SavedKnowledge], after: tuple[int, SavedKnowledge]
) -> dict[str, float]:
    """How fast each kind changes, parts a second: the median over all that both know, into the mean so
    far."""
    (then, old), (now, new) = before, after
    seconds = (now - then) / SECOND
    found = dict(old.change_per_second)
    if seconds <= 0:
        return found
    for kind, was, is_ in (
        ("latency", _means(old), _means(new)),
        ("demand", _rates(old), _rates(new)),
        (
            "width",
            {r.name: r.concurrency_limit for r in old.workers},
            {r.name: r.concurrency_limit for r in new.workers},
        ),
    ):
        parts = [abs(is_[n] - was[n]) / was[n] for n in was.keys() & is_.keys() if was[n] > 0]
        if parts:
            seen = min(MAX_CHANGE_PER_SECOND, max(MIN_CHANGE_PER_SECOND, median(parts) / seconds))
            found[kind] = (
                found.get(kind, DEFAULT_CHANGE_PER_SECOND[kind]) * (1 - SMOOTHING_FACTOR)
                + SMOOTHING_FACTOR * seen
            )
    return found


def _means(told: SavedKnowledge) -> dict[str, float]:
    some = told.functions[:SAMPLED_FUNCTIONS]
    return {
        m.name: m.latency_sum_ns / sum(m.latency_bins)
        for m in some
        if m.latency_bins and sum(m.latency_bins) > 0
    }


def _rates(told: SavedKnowledge) -> dict[str, float]:
    return {
        m.name: m.recent_requests / m.recent_span_ns
        for m in told.functions[:SAMPLED_FUNCTIONS]
        if m.recent_span_ns > 0 and m.recent_requests >= 4
    }


def compute_age_ns(told: SavedKnowledge, saved: int, wall: int, boot: str, uptime: int) -> int:
    """Since it was saved: by the machine's uptime where it has not started anew, else by the wall clock; one
    that runs backwards says nothing."""
    if told.boot_id and told.boot_id == boot and uptime >= told.uptime_ns:
        return uptime - told.uptime_ns
    return wall - saved if wall >= saved else UNKNOWN_AGE_NS


def compute_confidence(change: float, age_ns: int) -> float:
    return 1 / (1 + min(MAX_CHANGE_PER_SECOND, max(MIN_CHANGE_PER_SECOND, change)) * age_ns / SECOND)


def build_earlier_run(
    told: SavedKnowledge,
    age_ns: int,
    models: dict[str, Any],
    runners: dict[str, tuple[Any, str]],
    window: int,
) -> io.EarlierRun:
    """For the module: `models` and `runners` are its objects by name, with the runners' present lives."""
    of = {
        kind: compute_confidence(told.change_per_second.get(kind, usual), age_ns)
        for kind, usual in DEFAULT_CHANGE_PER_SECOND.items()
    }
    return io.EarlierRun(
        succeeded_per_second=told.succeeded_per_second,
        new_requests_per_second=told.new_requests_per_second,
        weight=of["demand"],
        functions=[
            io.EarlierFunction(
                models[m.name],
                m.latency_bins,
                m.latency_sum_ns,
                of["latency"],
                m.recent_requests,
                m.recent_span_ns,
                m.mean_gap_ns,
                m.idle_ns + age_ns,
                of["demand"],
            )
            for m in told.functions
            if m.name in models
        ],
        workers=[
            io.EarlierWorker(runners[r.name][0], r.concurrency_limit, of["width"])
            for r in told.workers
            if r.name in runners and runners[r.name][1] == r.incarnation
        ],
        load_ages_ns=[a + age_ns for a in told.load_ages_ns if a + age_ns < window],
    )


def list_reloads(
    told: SavedKnowledge, age_ns: int, keep: int, runners: dict[str, tuple[Any, str]]
) -> list[tuple[str, str, int, float, float]]:
    """Copies to ask their runners for: runner, model, lanes, MB, ms since they were used. Those that were
    used last first; what has lapsed by its age, or was of another life, is not asked for."""
    found = [
        (copy.worker, model.name, model.lanes, model.memory_mb, (copy.idle_ns + age_ns) / 1e6)
        for model in told.functions
        for copy in model.replicas
        if copy.idle_ns + age_ns < keep and runners.get(copy.worker, (None, ""))[1] == copy.incarnation
        if copy.worker in runners
    ]
    return sorted(found, key=lambda ask: ask[4])[:MAX_RELOADS]


def list_draining_workers(told: SavedKnowledge, runners: dict[str, tuple[Any, str]]) -> list[str]:
    """Runners that said themselves that they drain, in the life that they still live."""
    return [
        r.name
        for r in told.workers
        if r.is_draining and r.name in runners and runners[r.name][1] == r.incarnation
    ]


def mean_confidence(told: SavedKnowledge, age_ns: int) -> float:
    """For operators: what it counts for, all kinds together."""
    return fmean(
        compute_confidence(told.change_per_second.get(kind, usual), age_ns)
        for kind, usual in DEFAULT_CHANGE_PER_SECOND.items()
    )
