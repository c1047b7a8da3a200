"""Measures the costs of one dispatcher at one size, and its load on the other roles."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import asdict, dataclass, replace
from multiprocessing import get_context
from pathlib import Path
from statistics import fmean
from time import monotonic, thread_time_ns
from typing import Any

import structlog

from benchmarks.scale import discovery
from benchmarks.scale.discovery import EventKind, Member, WorkerState
from benchmarks.scale.footprint import Footprint, footprint
from benchmarks.scale.hollow import Call, HollowDispatcher
from benchmarks.scale.meter import Activity, Meter
from benchmarks.scale.popularity import Popularity, Rarity
from benchmarks.scale.records import Record, Role, record
from benchmarks.scale.simulation import EPOCH_NS, Outcomes, Simulation, collect_as_the_program_does
from benchmarks.scale.sizes import (
    SECONDS_PER_DAY,
    Assumptions,
    FleetSize,
    check_memory,
    resident_bytes,
)
from benchmarks.scale.workers import SECOND_NS
from martenlead.durable_state import knowledge
from martenlead.durable_state.store import StateKind, pack_state
from martenlead.node import config
from martenlead.node.serve import freeze_heap
from martenlead.system.log import configure_log

DELTAS = 6  # Membership changes that are measured one by one.
AFTER_CHANGE_SECONDS = 1.0
PROBED_FUNCTIONS = 20
TIME_UNITS = ("_us", "_ms", "_percent_core")
# Memory per function that the distribution of calls needs, before the program allocates anything.
POPULARITY_BYTES = 100
MEMORY_OVERHEAD = 1.15  # Factor for memory of the interpreter beyond the counted objects.
RUNTIME_SETTINGS = 1  # Settings that a running dispatcher reloads: only the journal's address.


@dataclass(frozen=True, slots=True)
class Run:
    """The parameters of a run. `deadline` is a time of `time.monotonic`."""

    size: FleetSize
    assumptions: Assumptions
    seed: int
    seconds: float
    deadline: float
    axis: str
    held_out: bool = False
    all_functions: bool = False  # Whether to call each function once at the end to measure its memory.
    repeats: int = 1  # The lowest time counts, as other load on the machine only increases times.


@contextmanager
def logs_discarded() -> Iterator[None]:
    """Writes the program's log as in production, but discards it."""
    before = structlog.get_config()
    with open("/dev/null", "w") as nowhere:
        configure_log(stream=nowhere)
        try:
            yield
        finally:
            structlog.configure(**before)


def configured(run: Run, number: int, listed: list[Member]) -> tuple[config.NodeConfig, int, float]:
    """Returns a dispatcher's configuration, the bytes of its file and the CPU ms to read it."""
    name = f"dispatcher-{number:03d}"
    data = discovery.configuration(run.size, run.assumptions, name, run.seed * 1_000 + number, listed)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "configuration.json"
        path.write_bytes(data)
        began = thread_time_ns()
        node_config = config.read_config(path)
        return node_config, len(data), (thread_time_ns() - began) / 1e6


def estimate_memory_bytes(run: Run, dispatchers: int) -> float:
    """Estimates the memory of the dispatchers at the end of a run, by a probe in a separate process."""
    check_memory(run.size.functions * POPULARITY_BYTES)  # The probe needs the same amount.
    with logs_discarded(), ProcessPoolExecutor(1, mp_context=get_context("fork")) as pool:
        probed = pool.submit(_probe_memory, run).result()
    functions = functions_met(run)
    one, another = (size + probed.function * functions for size in (probed.first, probed.second))
    return (one + another * (dispatchers - 1)) * MEMORY_OVERHEAD


def functions_met(run: Run) -> float:
    """Returns the expected number of functions that one dispatcher is called for in a run."""
    if run.all_functions:
        return run.size.functions
    popularity = Popularity(run.size.functions, run.assumptions.zipf_exponent, run.assumptions.zipf_offset)
    return popularity.expected_distinct(run.size.calls_per_dispatcher * run.seconds)


@dataclass(frozen=True, slots=True)
class Probed:
    """Bytes of a first dispatcher, of a second that shares its endpoints, and of one function."""

    first: float
    second: float
    function: float


def _probe_memory(run: Run) -> Probed:
    """Measures two dispatchers with the complete list, and what a few functions add to the second."""
    simulation = Simulation(run.size, run.assumptions, run.seed, run.deadline, heartbeats=False)
    listed = discovery.members(run.size)
    node_config, _, _ = configured(run, 0, listed)
    first, second = (HollowDispatcher(node_config, simulation.clock, Meter()) for _ in range(2))
    simulation.add(first)
    simulation.add(second)
    both = Footprint()
    both.walk(first)
    size = sum(both.bytes.values())
    both.walk(second)
    another = sum(both.bytes.values()) - size
    before = sum(footprint(second).values())
    probed = min(PROBED_FUNCTIONS, run.size.functions)
    for function in range(probed):
        second.accept_call(Call(f"probe{function}", function, simulation.now))
    each = (sum(footprint(second).values()) - before) / probed
    return Probed(size, another, each)


class DispatcherRun:
    """One dispatcher through start, traffic, membership changes and resynchronisation."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.size = run.size
        self.meter = Meter()
        self.costs: dict[str, float | None] = {}
        self.listed = {member.number: member for member in discovery.members(run.size)}
        self.simulation = Simulation(run.size, run.assumptions, run.seed, run.deadline)
        self.file_bytes = 0
        self.passed = 0.0
        self.dispatcher: HollowDispatcher

    def measure(self) -> None:
        """Runs all steps and records the costs. Raises BadSize."""
        resident = resident_bytes()
        collect_as_the_program_does()
        with self.meter.collections():
            self.start()
            self.traffic()
            self.costs["memory_rss_growth_bytes"] = resident_bytes() - resident
            self.memory()
            self.state()
            if self.run.all_functions:
                self.all_functions()
            self.membership_changes()
            self.zone_change()
            self.resynchronisation()

    def start(self) -> None:
        """Starts the dispatcher from its configuration and records the costs."""
        node_config, self.file_bytes, read_ms = configured(self.run, 0, list(self.listed.values()))
        began = thread_time_ns()
        self.dispatcher = HollowDispatcher(node_config, self.simulation.clock, self.meter)
        self.simulation.add(self.dispatcher)
        self.costs["configuration_read_ms"] = read_ms
        self.costs["start_ms"] = read_ms + (thread_time_ns() - began) / 1e6
        self.costs["start_received_bytes"] = self.file_bytes
        freeze_heap()  # As the program does once the list is known.

    def traffic(self) -> None:
        """Runs the traffic and records its costs."""
        meter, simulation = self.meter, self.simulation
        meter.spent.clear()
        meter.longest.clear()
        meter.steps.clear()
        meter.collecting = 0
        control = self.dispatcher.control
        received = control.received_bytes
        simulation.traffic(self.size.calls_per_dispatcher, self.run.seconds)
        self.passed = max(simulation.run(self.run.seconds), 1e-9)
        calls, seconds = max(1, simulation.outcomes.calls), self.passed
        control_ns = sum(meter.spent[a] for a in Activity if a is not Activity.SERVING)
        link = self.dispatcher.link.counts
        self.costs |= {
            "calls": calls,
            "cpu_per_call_us": sum(meter.spent.values()) / calls / 1e3,
            "serving_cpu_per_call_us": meter.spent[Activity.SERVING] / calls / 1e3,
            "policy_cpu_per_call_us": sum(meter.steps.values()) / calls / 1e3,
            "serving_percent_core": meter.spent[Activity.SERVING] / seconds / 1e7,
            "control_percent_core": control_ns / seconds / 1e7,
            "timers_percent_core": meter.spent[Activity.TIMERS] / seconds / 1e7,
            "load_requests_percent_core": meter.spent[Activity.LOAD_REQUESTS] / seconds / 1e7,
            "membership_percent_core": meter.spent[Activity.MEMBERSHIP] / seconds / 1e7,
            "policy_percent_core": sum(meter.steps.values()) / seconds / 1e7,
            "garbage_collection_percent_core": meter.collecting / seconds / 1e7,
            "longest_step_ms": meter.longest_step() / 1e6,
            "longest_call_step_ms": meter.longest["accept_request"] / 1e6,
            "longest_timer_step_ms": meter.longest["advance"] / 1e6,
            "control_sent_bytes_per_second": link.load_sent_bytes / seconds,
            "control_received_bytes_per_second": (
                control.received_bytes - received + link.load_received_bytes
            )
            / seconds,
            "attempt_bytes_per_second": link.attempt_bytes / seconds,
            "load_requests_per_second": link.loads / seconds,
            "attempts_per_call": link.attempts / calls,
            "functions_known": len(self.dispatcher.dispatcher.functions_by_name),
            "replicas": sum(simulation.workers.replicas(simulation.now).values()),
            "share_of_functions_under_once_a_minute": simulation.popularity.share_below_once_a_minute(
                self.size.calls_per_second
            ),
            **outcome_costs(simulation.outcomes),
        }

    def memory(self) -> None:
        """Records the memory of the dispatcher by part."""
        found = footprint(self.dispatcher)
        self.costs["memory_bytes"] = sum(found.values())
        self.costs |= {f"memory_{part.value}_bytes": size for part, size in found.items()}

    def all_functions(self) -> None:
        """Calls each function once at the usual rate, and measures the memory again."""
        self.simulation.measuring = False
        seconds = self.size.functions / self.size.calls_per_dispatcher
        self.simulation.sweep(list(range(self.size.functions)), seconds)
        self.simulation.run(seconds)
        found = footprint(self.dispatcher)
        self.costs["all_functions_known"] = len(self.dispatcher.dispatcher.functions_by_name)
        self.costs["all_functions_memory_bytes"] = sum(found.values())
        self.costs |= {f"all_functions_memory_{part.value}_bytes": size for part, size in found.items()}

    def state(self) -> None:
        """Records the size of the dispatcher's durable state; None where it cannot be read."""
        self.costs["state_bytes"] = self.costs["state_gather_ms"] = None
        real = self.dispatcher.dispatcher
        workers = {
            worker.policy_worker: (name, worker.endpoint.incarnation, False)
            for name, worker in real.workers.items()
        }
        names = {model: entry.name for model, entry in real.by_policy_function.items()}
        began = thread_time_ns()
        try:
            saved_knowledge = real.policy_boundary.inspect(
                lambda policy, now: knowledge.gather_knowledge(policy, now, names, workers)
            )
        except (AttributeError, TypeError, KeyError):
            return
        self.costs["state_gather_ms"] = (thread_time_ns() - began) / 1e6
        self.costs["state_bytes"] = len(
            pack_state(StateKind("knowledge"), "scale", 1, EPOCH_NS, saved_knowledge)
        )

    def membership_changes(self) -> None:
        """Replaces workers one by one, then runs a second of traffic with the changed list."""
        self.simulation.measuring = False
        version = self.dispatcher.source.endpoint_list.version
        spent, sizes = [], []
        for number in range(min(DELTAS, self.size.workers)):
            started = (self.simulation.now - SECOND_NS) // 1_000_000
            old = Member(number, number % self.size.zones, WorkerState.GONE)
            new = Member(self.size.workers + number, number % self.size.zones, WorkerState.UP, started)
            for member in (old, new):
                version += 1
                data = discovery.frame(version, EventKind.DELTA, [member])
                sizes.append(len(data))
                spent.append(self._apply_frame(data))
            del self.listed[number]
            self.listed[new.number] = new
        self.costs["membership_delta_ms"] = fmean(spent) / 1e6
        self.costs["membership_delta_longest_ms"] = max(spent) / 1e6
        self.costs["membership_delta_bytes"] = fmean(sizes)
        before = self.meter.spent[Activity.SERVING]
        calls = round(self.size.calls_per_dispatcher * AFTER_CHANGE_SECONDS)
        self.simulation.traffic(self.size.calls_per_dispatcher, AFTER_CHANGE_SECONDS)
        self.simulation.run(AFTER_CHANGE_SECONDS)
        serving = self.meter.spent[Activity.SERVING] - before
        self.costs["serving_cpu_per_call_after_change_us"] = serving / max(1, calls) / 1e3

    def zone_change(self) -> None:
        """Removes all workers of a zone in one event, and returns them as new processes in another."""
        version = self.dispatcher.source.endpoint_list.version
        started = self.simulation.now // 1_000_000
        zone = [member for member in self.listed.values() if member.zone == 0]
        lost = [replace(member, state=WorkerState.GONE) for member in zone]
        back = [replace(member, started_ms=started) for member in zone]
        data = discovery.frame(version + 1, EventKind.DELTA, lost)
        self.costs["zone_lost_bytes"] = len(data)
        self.costs["zone_lost_ms"] = self._apply_frame(data) / 1e6
        data = discovery.frame(version + 2, EventKind.DELTA, back)
        self.costs["zone_returned_bytes"] = len(data)
        self.costs["zone_returned_ms"] = self._apply_frame(data) / 1e6
        self.listed |= {member.number: member for member in back}

    def _apply_frame(self, data: bytes) -> int:
        """Delivers an event to the dispatcher and returns the CPU ns."""
        began = thread_time_ns()
        self.dispatcher.membership(data)
        return thread_time_ns() - began

    def resynchronisation(self) -> None:
        """Measures a snapshot of the complete list that contains no change."""
        version = self.dispatcher.source.endpoint_list.version + 1
        data = discovery.frame(version, EventKind.SNAPSHOT, list(self.listed.values()))
        self.costs["resync_ms"] = self._apply_frame(data) / 1e6
        self.costs["resync_bytes"] = len(data)


def outcome_costs(outcomes: Outcomes) -> dict[str, float | None]:
    """Returns the share of succeeded calls, and cold starts by the rarity of functions."""
    calls = max(1, sum(outcomes.finals.values()))
    succeeded = sum(outcomes.succeeded.values())
    cold = sorted(lag for lags in outcomes.cold.values() for lag in lags)
    costs: dict[str, float | None] = {
        "succeeded_share": succeeded / calls,
        "cold_start_share": len(cold) / max(1, succeeded),
        "cold_start_p50_ms": quantile_ms(cold, 0.5),
        "cold_start_p99_ms": quantile_ms(cold, 0.99),
    }
    for rarity in Rarity:
        lags = sorted(outcomes.cold.get(rarity, []))
        rarity_succeeded = outcomes.succeeded[rarity]
        costs[f"cold_start_share_{rarity.value}"] = len(lags) / rarity_succeeded if rarity_succeeded else None
        costs[f"cold_start_p50_{rarity.value}_ms"] = quantile_ms(lags, 0.5)
        costs[f"cold_start_p99_{rarity.value}_ms"] = quantile_ms(lags, 0.99)
    return costs


def quantile_ms(lags: list[int], share: float) -> float | None:
    """Returns a quantile of sorted latencies in ns, as ms; None where there are none."""
    return lags[min(len(lags) - 1, int(share * len(lags)))] / 1e6 if lags else None


def measure_one(run: Run, check: bool = True) -> list[Record]:
    """Measures one dispatcher; returns its records and those of the other roles. Raises BadSize."""
    with logs_discarded():
        if check:
            check_memory(estimate_memory_bytes(run, 1))
        measured = DispatcherRun(run)
        measured.measure()
        for _ in range(run.repeats - 1):
            if monotonic() > run.deadline:
                break
            again = DispatcherRun(run)
            again.measure()
            if not again.simulation.stopped:
                measured.costs = lowest_times(measured.costs, again.costs)
        return records_of(measured)


def lowest_times(one: dict[str, float | None], other: dict[str, float | None]) -> dict[str, float | None]:
    """Returns the first costs, with the lower of both where a cost is a time."""
    return {name: _lower(name, cost, other[name]) for name, cost in one.items()}


def _lower(name: str, one: float | None, other: float | None) -> float | None:
    is_time = name.endswith(TIME_UNITS) and not name.startswith("cold_start")
    return min(one, other) if is_time and one is not None and other is not None else one


def common_fields(run: Run, simulation: Simulation, passed: float) -> dict[str, Any]:
    """Returns the fields that all records of a run share."""
    return {
        "axis": run.axis,
        "assumptions": asdict(run.assumptions),
        "seed": run.seed,
        "held_out": run.held_out,
        "virtual_seconds": round(passed, 3),
        "stopped_early": simulation.stopped,
    }


def records_of(measured: DispatcherRun) -> list[Record]:
    """Returns the records of all roles from the measured costs."""
    run, costs = measured.run, measured.costs
    common = common_fields(run, measured.simulation, measured.passed)
    dispatchers, changes = run.size.dispatchers, run.size.changes_per_day
    return [
        record(
            Role.DISPATCHER,
            run.size,
            costs,
            note="cold starts and replicas are those that this dispatcher alone causes",
            **common,
        ),
        record(
            Role.DISCOVERY,
            run.size,
            {
                "snapshot_bytes": _cost(costs, "resync_bytes"),
                "snapshot_all_bytes": _cost(costs, "resync_bytes") * dispatchers,
                "delta_all_bytes": _cost(costs, "membership_delta_bytes") * dispatchers,
                "heartbeats_bytes_per_second": len(discovery.frame(1, EventKind.HEARTBEAT, [])) * dispatchers,
                "connections": dispatchers,
            },
            note="bytes of real frames; the service is not part of the project, so its CPU is not measured",
            **common,
        ),
        record(
            Role.CONFIGURATION,
            run.size,
            {
                "file_bytes": measured.file_bytes,
                "file_all_bytes": measured.file_bytes * dispatchers,
                "read_ms": costs["configuration_read_ms"],
                "settings_in_file": len(config.ConfigFile.__struct_fields__),
                "settings_in_force_at_reload": RUNTIME_SETTINGS,
                "restart_ms": _cost(costs, "start_ms"),
                "sent_bytes_per_second": measured.file_bytes * dispatchers * changes / SECONDS_PER_DAY,
                "read_percent_core": _cost(costs, "configuration_read_ms") * changes / SECONDS_PER_DAY / 10,
            },
            note="a changed file is read on SIGHUP, where only the journal's address comes into force",
            **common,
        ),
        record(
            Role.STATE,
            run.size,
            {
                "state_bytes": costs["state_bytes"],
                "gather_ms": costs["state_gather_ms"],
                "functions": costs["functions_known"],
            },
            **common,
        ),
        record(
            Role.WORKER_AGENT,
            run.size,
            {
                "calls_per_second": run.size.calls_per_second / run.size.workers,
                "load_requests_per_second": _cost(costs, "load_requests_per_second")
                * dispatchers
                / run.size.workers,
                "load_request_bytes_per_second": (_cost(costs, "control_sent_bytes_per_second"))
                * dispatchers
                / run.size.workers,
                "dispatchers_that_may_connect": dispatchers,
            },
            note="one dispatcher's load requests times the dispatchers; connections are not measured",
            **common,
        ),
    ]


def _cost(costs: dict[str, float | None], name: str) -> float:
    """Returns a cost that is always measured."""
    value = costs[name]
    assert value is not None
    return value
