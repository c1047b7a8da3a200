"""Many dispatchers and all workers of a fleet in one process.

Before the measured window each function is called once at a random dispatcher, with the probability that the
fleet calls it within a keep-alive, so that the window begins with a warm fleet. Dispatchers share the decoded
endpoints of the list and nothing else.
"""

from __future__ import annotations

import gc
from collections import Counter, defaultdict
from dataclasses import replace
from statistics import fmean
from time import thread_time_ns

import numpy as np

from benchmarks.scale import discovery
from benchmarks.scale.discovery import EventKind, Member, WorkerState
from benchmarks.scale.footprint import footprint
from benchmarks.scale.hollow import HollowDispatcher
from benchmarks.scale.measure import (
    Run,
    common_fields,
    configured,
    estimate_memory_bytes,
    logs_discarded,
    outcome_costs,
)
from benchmarks.scale.meter import Activity, Meter
from benchmarks.scale.popularity import Rarity
from benchmarks.scale.records import Record, Role, record
from benchmarks.scale.simulation import Outcomes, Simulation
from benchmarks.scale.sizes import check_memory, resident_bytes

SAMPLED = 5  # Dispatchers whose memory is measured object by object.
WARM_UP_BEFORE_SWEEP = 0.25  # Share of the warm-up with the usual traffic only.
# Garbage collection thresholds; the heap of a fleet is far larger than that of one dispatcher.
COLLECT_AFTER = (200_000, 20, 100)


class FleetRun:
    """The dispatchers of a fleet through start, warm-up, a measured window, one change and a resync."""

    def __init__(self, run: Run, warm_up: float) -> None:
        self.run, self.warm_up = run, warm_up
        self.size = run.size
        self.meter = Meter(without_collections=True)
        self.simulation = Simulation(run.size, run.assumptions, run.seed, run.deadline)
        self.costs: dict[str, float | None] = {}
        self.worker_costs: dict[str, float | None] = {}
        self.discovery_costs: dict[str, float | None] = {}
        self.passed = 0.0

    @property
    def dispatchers(self) -> list[HollowDispatcher]:
        """The dispatchers of the simulation."""
        return self.simulation.dispatchers

    def measure(self) -> None:
        """Runs all steps and records the costs. Raises BadSize."""
        resident = resident_bytes()
        with self.meter.collections():
            self._measure(resident)

    def _measure(self, resident: int) -> None:
        self.start()
        gc.set_threshold(*COLLECT_AFTER)
        freeze_heap()
        self.warm()
        freeze_heap()
        self.window()
        self.costs["memory_rss_per_dispatcher_bytes"] = (resident_bytes() - resident) / len(self.dispatchers)
        self.memory()
        if not self.simulation.stopped:
            self.one_change()
            self.resynchronise_all()

    def start(self) -> None:
        """Starts all dispatchers and records the cost of it."""
        listed = discovery.members(self.size)
        first, _, _ = configured(self.run, 0, listed)
        began = thread_time_ns()
        for number in range(self.size.dispatchers):
            self.simulation.check_time("the dispatchers started")
            node_config, _, _ = configured(self.run, number, [])
            self.simulation.add(
                HollowDispatcher(node_config, self.simulation.clock, self.meter, first.initial_updates)
            )
        spent = self.meter.spent[Activity.MEMBERSHIP] + self.meter.spent[Activity.TIMERS]
        self.costs["start_ms"] = spent / len(self.dispatchers) / 1e6
        self.costs["start_all_cpu_seconds"] = (thread_time_ns() - began) / 1e9

    def warm(self) -> None:
        """Runs the usual traffic, and one call of each function drawn as called within a keep-alive."""
        simulation = self.simulation
        simulation.measuring = False
        simulation.traffic(self.size.calls_per_second, self.warm_up)
        simulation.run(self.warm_up * WARM_UP_BEFORE_SWEEP)
        rates = simulation.popularity.rates(self.size.calls_per_second)
        called = -np.expm1(-rates * self.run.assumptions.keep_alive)
        drawn = np.random.default_rng(self.run.seed + 1).random(len(rates)) < called
        left = self.warm_up * (1 - WARM_UP_BEFORE_SWEEP)
        simulation.sweep(np.flatnonzero(drawn).tolist(), left)
        simulation.run(left)

    def window(self) -> None:
        """Runs the measured seconds and records their costs."""
        simulation, meter, run = self.simulation, self.meter, self.run
        simulation.measuring = True
        simulation.outcomes = Outcomes()
        meter.spent.clear()
        meter.steps.clear()
        meter.longest.clear()
        before, loads = self._totals(), simulation.workers.loads
        evictions = simulation.workers.evictions
        simulation.traffic(self.size.calls_per_second, run.seconds)
        self.passed = max(simulation.run(run.seconds), 1e-9)
        sent = {name: total - before[name] for name, total in self._totals().items()}
        count, seconds, calls = len(self.dispatchers), self.passed, max(1, simulation.outcomes.calls)
        control = sum(meter.spent[activity] for activity in Activity if activity is not Activity.SERVING)
        self.costs |= {
            "calls": calls,
            "cpu_per_call_us": sum(meter.spent.values()) / calls / 1e3,
            "serving_cpu_per_call_us": meter.spent[Activity.SERVING] / calls / 1e3,
            "serving_percent_core": meter.spent[Activity.SERVING] / seconds / count / 1e7,
            "control_percent_core": control / seconds / count / 1e7,
            "policy_percent_core": sum(meter.steps.values()) / seconds / count / 1e7,
            "longest_step_ms": meter.longest_step() / 1e6,
            "control_sent_bytes_per_second": sent["load_sent"] / seconds / count,
            "control_received_bytes_per_second": sent["received"] / seconds / count,
            "load_requests_per_second_all": sent["loads"] / seconds,
            "loads_per_second_all": (simulation.workers.loads - loads) / seconds,
            "evictions_per_second_all": (simulation.workers.evictions - evictions) / seconds,
            "attempts_per_call": sent["attempts"] / calls,
            "functions_known": fmean(len(d.dispatcher.functions_by_name) for d in self.dispatchers),
            "share_of_functions_under_once_a_minute": simulation.popularity.share_below_once_a_minute(
                self.size.calls_per_second
            ),
            **outcome_costs(simulation.outcomes),
            **self._replicas(),
        }
        contacts = [sum(contacted) for contacted in zip(*simulation.contacted, strict=True)]
        used = contacts[: self.size.workers]
        self.worker_costs = {
            "dispatchers_met_mean": fmean(used),
            "dispatchers_met_most": max(used),
            "calls_per_second": calls / seconds / self.size.workers,
            "load_requests_per_second": sent["loads"] / seconds / self.size.workers,
            "load_request_bytes_per_second": sent["load_sent"] / seconds / self.size.workers,
        }

    def _totals(self) -> Counter[str]:
        totals: Counter[str] = Counter()
        for dispatcher in self.dispatchers:
            link = dispatcher.link.counts
            totals["loads"] += link.loads
            totals["load_sent"] += link.load_sent_bytes
            totals["attempts"] += link.attempts
            totals["received"] += dispatcher.control.received_bytes + link.load_received_bytes
        return totals

    def _replicas(self) -> dict[str, float | None]:
        """Loaded instances in total, and by rarity the mean of a function that has any."""
        loaded = self.simulation.workers.replicas(self.simulation.now)
        counts_by_rarity: dict[Rarity, list[int]] = defaultdict(list)
        for function, number in loaded.items():
            counts_by_rarity[self.simulation.rarities[function]].append(number)
        costs: dict[str, float | None] = {
            "replicas_all": sum(loaded.values()),
            "functions_with_replicas": len(loaded),
        }
        for rarity in Rarity:
            costs[f"replicas_per_function_{rarity.value}"] = (
                fmean(counts_by_rarity[rarity]) if counts_by_rarity[rarity] else None
            )
        return costs

    def memory(self) -> None:
        """Records the mean memory of some dispatchers, each including the endpoints that it shares."""
        found = [footprint(dispatcher) for dispatcher in self.dispatchers[:SAMPLED]]
        self.costs["memory_bytes"] = fmean(sum(parts.values()) for parts in found)
        for part in found[0]:
            self.costs[f"memory_{part.value}_bytes"] = fmean(parts[part] for parts in found)

    def one_change(self) -> None:
        """Measures a delta to every dispatcher, in which one worker is draining."""
        version = self.dispatchers[0].source.endpoint_list.version + 1
        data = discovery.frame(version, EventKind.DELTA, [Member(0, 0, WorkerState.DRAINING)])
        spent, total = self._deliver_to_all(data)
        self.costs["membership_delta_ms"] = spent
        self.discovery_costs["delta_all_bytes"] = total

    def resynchronise_all(self) -> None:
        """Measures a snapshot of the complete list to every dispatcher."""
        version = self.dispatchers[0].source.endpoint_list.version + 1
        data = discovery.frame(version, EventKind.SNAPSHOT, discovery.members(self.size))
        spent, total = self._deliver_to_all(data)
        self.costs["resync_ms"] = spent
        self.costs["resync_all_cpu_seconds"] = spent * len(self.dispatchers) / 1e3
        self.discovery_costs["snapshot_bytes"] = len(data)
        self.discovery_costs["snapshot_all_bytes"] = total

    def _deliver_to_all(self, data: bytes) -> tuple[float, int]:
        """Delivers a frame to all dispatchers; returns the mean CPU ms of one and the bytes of all."""
        began = thread_time_ns()
        for dispatcher in self.dispatchers:
            self.simulation.check_time("a change was delivered to all dispatchers")
            dispatcher.membership(data)
        spent = thread_time_ns() - began
        return spent / len(self.dispatchers) / 1e6, len(data) * len(self.dispatchers)


def freeze_heap() -> None:
    """Excludes all present objects from later garbage collections."""
    gc.collect()
    gc.freeze()


def measure_fleet(run: Run, warm_up: float) -> list[Record]:
    """Measures a complete fleet and returns its records. Raises BadSize."""
    with logs_discarded():
        with_warm_up = replace(run, seconds=run.seconds + warm_up)
        check_memory(estimate_memory_bytes(with_warm_up, run.size.dispatchers))
        measured = FleetRun(run, warm_up)
        measured.measure()
    common = common_fields(run, measured.simulation, measured.passed)
    note = "means of all dispatchers; garbage collection left out; many in one process miss the caches more"
    return [
        record(Role.DISPATCHER, run.size, measured.costs, note=note, **common),
        record(Role.WORKER_AGENT, run.size, measured.worker_costs, **common),
        record(Role.DISCOVERY, run.size, measured.discovery_costs, **common),
    ]
