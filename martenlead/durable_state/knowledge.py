"""The knowledge of a dispatcher that survives a restart, and how it ages; does no I/O.

Saved are the latencies and the demand of functions, the requests that succeed per second, the
concurrency limits of workers, replicas, draining workers, and the load requests in the window of
the load budget. State that is not valid for another incarnation is not saved: attempts in flight,
retry budgets, requests without a response, random state. Not restored is anything about a worker
that has restarted since, and replicas that were idle longer than their keep-alive; a replica is
used only after its worker has confirmed it.

Each aspect ages at the rate at which it was measured to change. Its mean relative change per second
is measured between two saves and saved with it. A saved value has the weight
1 / (1 + change * age). If the age is unknown because a clock was stepped back, a long age
(`UNKNOWN_AGE_NS`) is assumed. Times are in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Generator, Mapping
from statistics import fmean, median
from typing import Any, NamedTuple

import msgspec

from martenlead.policy.policy import Policy
from martenlead.policy.state import Function
from martenlead.policy.types import EarlierFunction, EarlierRun, EarlierWorker

SECOND = 1_000_000_000
UNKNOWN_AGE_NS = 24 * 3600 * SECOND
# relative change per second of each aspect until it is measured; the keys are stored in files
DEFAULT_CHANGE_PER_SECOND = {"latency": 1 / 600, "demand": 1 / 60, "width": 1 / 30}
MIN_CHANGE_PER_SECOND, MAX_CHANGE_PER_SECOND = 1 / 86_400, 1.0
SMOOTHING_FACTOR = 0.1  # weight of a new measurement in the moving average
MAX_FUNCTIONS = 10_000
FUNCTIONS_PER_STEP = 25  # functions read before the event loop runs other tasks
SAMPLED_FUNCTIONS = 200  # most recently used functions, on which changes are measured
MIN_SAMPLED_REQUESTS = 4  # functions with fewer requests are left out of the demand change
MAX_RELOADS = 200  # replicas that workers are asked to confirm after a start
NS_PER_MS = 1e6

# handles of the policy's objects: hashable, and opaque to all code but the policy
PolicyFunction = Any
PolicyWorker = Any
WorkerIdentity = tuple[str, str, bool]  # name, incarnation, whether it reports that it is draining
LiveWorkers = Mapping[str, tuple[PolicyWorker, str]]  # name -> worker and current incarnation


class SavedReplica(msgspec.Struct, array_like=True):
    """A replica that was loaded when it was saved."""

    worker: str
    incarnation: str  # incarnation of the worker
    idle_ns: int  # time since the last use


class SavedFunction(msgspec.Struct, array_like=True):
    """The saved knowledge of a function."""

    name: str
    lanes: int
    memory_mb: float
    latency_bins: list[float]  # bins of the policy's latency histogram
    latency_sum_ns: float
    recent_requests: float  # requests within `recent_span_ns`
    recent_span_ns: int
    mean_gap_ns: int  # mean time between two requests
    idle_ns: int  # time since the last request
    replicas: list[SavedReplica]


class SavedWorker(msgspec.Struct, array_like=True):
    """The saved knowledge of a worker."""

    name: str
    incarnation: str
    concurrency_limit: float
    is_draining: bool


class SavedKnowledge(msgspec.Struct):
    """The saved knowledge of one dispatcher."""

    succeeded_per_second: float = msgspec.field(name="rate")
    new_requests_per_second: float = msgspec.field(name="asked")
    functions: list[SavedFunction] = msgspec.field(name="models")
    workers: list[SavedWorker] = msgspec.field(name="runners")
    load_ages_ns: list[int] = msgspec.field(name="orders")  # ages of load requests
    change_per_second: dict[str, float] = msgspec.field(name="change")
    boot_id: str = msgspec.field(default="", name="boot")  # identifies the boot of the machine
    uptime_ns: int = msgspec.field(default=0, name="at")  # time since that boot when it was saved


class ReplicaReload(NamedTuple):
    """A replica that a worker is asked to confirm after a start."""

    worker: str
    function: str
    lanes: int
    memory_mb: float
    idle_ms: float


Gathered = tuple[int, SavedKnowledge]  # when the knowledge was gathered, and the knowledge


# -- gathering


def gather_knowledge(
    policy: Policy,
    now_ns: int,
    names: Mapping[PolicyFunction, str],
    workers: Mapping[PolicyWorker, WorkerIdentity],
    before: Gathered | None = None,
) -> SavedKnowledge:
    """Runs all steps of `gather_in_steps` at once and returns the knowledge."""
    steps = gather_in_steps(policy, now_ns, names, workers, before)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            knowledge: SavedKnowledge = stop.value
            return knowledge


def gather_in_steps(
    policy: Policy,
    now_ns: int,
    names: Mapping[PolicyFunction, str],
    workers: Mapping[PolicyWorker, WorkerIdentity],
    before: Gathered | None = None,
) -> Generator[None, None, SavedKnowledge]:
    """Gathers knowledge from the policy, a few functions per step, without changing the policy.

    Reading ten thousand functions at once would block the event loop for longer than the deadlines
    of some requests. `names` are the names of the functions, `before` the previous result.
    """
    functions = sorted(policy.state.functions, key=lambda f: (-f.last_request_ns, f.facts.mark))[
        :MAX_FUNCTIONS
    ]
    saved_functions = []
    for number, function in enumerate(functions):
        if number % FUNCTIONS_PER_STEP == FUNCTIONS_PER_STEP - 1:
            yield
        if function.requests < 1 and not function.replicas:
            continue
        replicas = _save_replicas(policy, function, workers, now_ns)
        saved_functions.append(_save_function(function, names[function], replicas, now_ns))
    saved_workers = _save_workers(policy, workers)
    yield
    window_ns = policy.settings.load_window_ns
    loads_ns = policy.load_budget.load_times_ns
    knowledge = SavedKnowledge(
        policy.state.traffic.succeeded_per_second,
        policy.state.traffic.new_requests_per_second,
        saved_functions,
        saved_workers,
        [now_ns - load_ns for load_ns in loads_ns if now_ns - load_ns < window_ns],
        dict(DEFAULT_CHANGE_PER_SECOND),
    )
    if before is not None:
        knowledge.change_per_second = measure_changes(before, (now_ns, knowledge))
    return knowledge


def _save_function(
    function: Function, name: str, replicas: list[SavedReplica], now_ns: int
) -> SavedFunction:
    span_ns = function.last_request_ns - function.first_request_ns
    return SavedFunction(
        name,
        function.facts.lanes,
        function.facts.memory_mb,
        [round(n, 3) for n in function.latency.bins] if function.latency.total else [],
        function.latency.sum_ns,
        function.rated_requests + function.new_requests[1],
        function.rated_span_ns,
        span_ns // (function.requests - 1) if function.requests > 1 else 0,
        max(0, now_ns - function.last_request_ns),
        replicas,
    )


def _save_replicas(
    policy: Policy,
    function: Function,
    workers: Mapping[PolicyWorker, WorkerIdentity],
    now_ns: int,
) -> list[SavedReplica]:
    keep_alive_ns = policy.settings.keep_alive_ns
    found = []
    for replica in function.replicas.values():
        idle_ns = now_ns - replica.last_used_ns
        is_loaded = replica.is_retained and replica.is_loaded
        if is_loaded and replica.worker in workers and idle_ns < keep_alive_ns:
            name, incarnation, _ = workers[replica.worker]
            found.append(SavedReplica(name, incarnation, max(0, idle_ns)))
    return found


def _save_workers(
    policy: Policy, workers: Mapping[PolicyWorker, WorkerIdentity]
) -> list[SavedWorker]:
    found = []
    for worker in policy.state.workers:
        if worker in workers:
            name, incarnation, is_draining = workers[worker]
            found.append(SavedWorker(name, incarnation, worker.concurrency_limit, is_draining))
    return found


# -- aging


def measure_changes(before: Gathered, after: Gathered) -> dict[str, float]:
    """Returns the moving average of the relative change per second of each aspect.

    A measurement is the median over all functions or workers that occur in both results.
    """
    (before_ns, old), (after_ns, new) = before, after
    seconds = (after_ns - before_ns) / SECOND
    found = dict(old.change_per_second)
    if seconds <= 0:
        return found
    for aspect, was, now in (
        ("latency", _mean_latencies(old), _mean_latencies(new)),
        ("demand", _request_rates(old), _request_rates(new)),
        ("width", _concurrency_limits(old), _concurrency_limits(new)),
    ):
        changes = [abs(now[n] - was[n]) / was[n] for n in was.keys() & now.keys() if was[n] > 0]
        if changes:
            measured = _bound_change(median(changes) / seconds)
            mean = found.get(aspect, DEFAULT_CHANGE_PER_SECOND[aspect])
            found[aspect] = mean * (1 - SMOOTHING_FACTOR) + SMOOTHING_FACTOR * measured
    return found


def _bound_change(change_per_second: float) -> float:
    return min(MAX_CHANGE_PER_SECOND, max(MIN_CHANGE_PER_SECOND, change_per_second))


def _mean_latencies(knowledge: SavedKnowledge) -> dict[str, float]:
    return {
        f.name: f.latency_sum_ns / sum(f.latency_bins)
        for f in knowledge.functions[:SAMPLED_FUNCTIONS]
        if f.latency_bins and sum(f.latency_bins) > 0
    }


def _request_rates(knowledge: SavedKnowledge) -> dict[str, float]:
    return {
        f.name: f.recent_requests / f.recent_span_ns
        for f in knowledge.functions[:SAMPLED_FUNCTIONS]
        if f.recent_span_ns > 0 and f.recent_requests >= MIN_SAMPLED_REQUESTS
    }


def _concurrency_limits(knowledge: SavedKnowledge) -> dict[str, float]:
    return {worker.name: worker.concurrency_limit for worker in knowledge.workers}


def compute_age_ns(
    knowledge: SavedKnowledge, saved_ns: int, unix_time_ns: int, boot_id: str, uptime_ns: int
) -> int:
    """Returns the time since the knowledge was saved.

    It is measured by the uptime if the machine has not restarted, otherwise by the wall clock.
    If the wall clock ran backwards, the age is unknown: `UNKNOWN_AGE_NS`.
    """
    is_same_boot = bool(knowledge.boot_id) and knowledge.boot_id == boot_id
    if is_same_boot and uptime_ns >= knowledge.uptime_ns:
        return uptime_ns - knowledge.uptime_ns
    return unix_time_ns - saved_ns if unix_time_ns >= saved_ns else UNKNOWN_AGE_NS


def compute_confidence(change_per_second: float, age_ns: int) -> float:
    """Returns the weight of a saved value of that age, in (0, 1]."""
    return 1 / (1 + _bound_change(change_per_second) * age_ns / SECOND)


def _confidences(knowledge: SavedKnowledge, age_ns: int) -> dict[str, float]:
    return {
        aspect: compute_confidence(knowledge.change_per_second.get(aspect, default), age_ns)
        for aspect, default in DEFAULT_CHANGE_PER_SECOND.items()
    }


def mean_confidence(knowledge: SavedKnowledge, age_ns: int) -> float:
    """Returns the mean weight of the saved knowledge over all aspects, for operators."""
    return fmean(_confidences(knowledge, age_ns).values())


# -- restoring


def build_earlier_run(
    knowledge: SavedKnowledge,
    age_ns: int,
    functions: Mapping[str, PolicyFunction],
    workers: LiveWorkers,
    load_window_ns: int,
) -> EarlierRun:
    """Returns the knowledge to restore; `functions` and `workers` map names to policy objects."""
    confidence = _confidences(knowledge, age_ns)
    return EarlierRun(
        succeeded_per_second=knowledge.succeeded_per_second,
        new_requests_per_second=knowledge.new_requests_per_second,
        weight=confidence["demand"],
        functions=[
            EarlierFunction(
                functions[saved.name],
                saved.latency_bins,
                saved.latency_sum_ns,
                confidence["latency"],
                saved.recent_requests,
                saved.recent_span_ns,
                saved.mean_gap_ns,
                saved.idle_ns + age_ns,
                confidence["demand"],
            )
            for saved in knowledge.functions
            if saved.name in functions
        ],
        workers=[
            EarlierWorker(workers[saved.name][0], saved.concurrency_limit, confidence["width"])
            for saved in knowledge.workers
            if _is_same_incarnation(saved.name, saved.incarnation, workers)
        ],
        load_ages_ns=[
            load_age_ns + age_ns
            for load_age_ns in knowledge.load_ages_ns
            if load_age_ns + age_ns < load_window_ns
        ],
    )


def _is_same_incarnation(name: str, incarnation: str, workers: LiveWorkers) -> bool:
    """Returns whether a worker is listed and has not restarted since it was saved."""
    return name in workers and workers[name][1] == incarnation


def list_reloads(
    knowledge: SavedKnowledge, age_ns: int, keep_alive_ns: int, workers: LiveWorkers
) -> list[ReplicaReload]:
    """Lists the replicas that workers are asked to confirm, the most recently used first.

    Omits replicas whose keep-alive has expired, and those of workers that have restarted.
    """
    found = [
        ReplicaReload(
            replica.worker,
            function.name,
            function.lanes,
            function.memory_mb,
            (replica.idle_ns + age_ns) / NS_PER_MS,
        )
        for function in knowledge.functions
        for replica in function.replicas
        if replica.idle_ns + age_ns < keep_alive_ns
        if _is_same_incarnation(replica.worker, replica.incarnation, workers)
    ]
    return sorted(found, key=lambda reload: reload.idle_ms)[:MAX_RELOADS]


def list_draining_workers(knowledge: SavedKnowledge, workers: LiveWorkers) -> list[str]:
    """Lists the workers that reported a drain and have not restarted since."""
    return [
        saved.name
        for saved in knowledge.workers
        if saved.is_draining and _is_same_incarnation(saved.name, saved.incarnation, workers)
    ]
