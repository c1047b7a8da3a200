"""Knowledge of an earlier run: how confidence falls, what is not restored, and what a restart gains."""

from __future__ import annotations

from functools import cache
from pathlib import Path
from statistics import fmean
from typing import Any

import anyio
import msgspec
import pytest
from structlog.testing import capture_logs

from martenlead.capture import events as ev
from martenlead.capture.recorder import CaptureRecorder
from martenlead.capture.replay import replay
from martenlead.config.edge import DurableStateSettings
from martenlead.config.load import decode, evaluate
from martenlead.days.report import has_passed
from martenlead.days.script import Day, ScriptedFault, plan
from martenlead.durable_state.knowledge import (
    DEFAULT_CHANGE_PER_SECOND,
    SECOND,
    UNKNOWN_AGE_NS,
    SavedFunction,
    SavedKnowledge,
    SavedReplica,
    SavedWorker,
    build_earlier_run,
    compute_age_ns,
    compute_confidence,
    list_draining_workers,
    list_reloads,
    measure_changes,
)
from martenlead.edge.knowledge_saver import KNOWLEDGE, KnowledgeSaver
from martenlead.emulator.edge import Edge
from martenlead.emulator.fleet import Fleet
from support.fleet import after_delay, respond_ok, run_edge, until

DAYS = Path(__file__).parent.parent / "days"


def make_knowledge(**changes: Any) -> SavedKnowledge:
    """Returns knowledge of a function with three replicas and of two draining workers, with `changes`."""
    function = SavedFunction("m", 4, 100.0, [0.0, 8.0], 8e8, 20.0, 10 * SECOND, SECOND, SECOND, [])
    function.replicas = [
        SavedReplica("a", "1", SECOND),
        SavedReplica("b", "1", 3 * SECOND),
        SavedReplica("c", "1", SECOND),
    ]
    workers = [SavedWorker(name, "1", 20.0, True) for name in "ab"]
    knowledge = SavedKnowledge(
        50.0,
        60.0,
        [function],
        workers,
        [SECOND, 4 * SECOND],
        dict(DEFAULT_CHANGE_PER_SECOND),
        "boot",
        100 * SECOND,
    )
    return msgspec.structs.replace(knowledge, **changes)


def test_confidence_falls_with_the_age_and_with_the_rate_of_change() -> None:
    """The rate of change is measured between two gatherings; it is kept if the clock has stepped back."""
    assert compute_confidence(1 / 60, 0) == 1
    assert compute_confidence(1 / 60, 60 * SECOND) == 0.5
    assert compute_confidence(1 / 600, 60 * SECOND) > 0.9
    assert compute_confidence(1e9, SECOND) == 0.5  # the rate is limited to 1 per second
    before = make_knowledge()
    unchanged = make_knowledge()
    changed = make_knowledge()
    changed.functions[0].latency_sum_ns *= 3
    slow_change = measure_changes((0, before), (SECOND, unchanged))["latency"]
    fast_change = measure_changes((0, before), (SECOND, changed))["latency"]
    assert slow_change < DEFAULT_CHANGE_PER_SECOND["latency"] < fast_change
    # A clock that steps back changes no rate.
    assert measure_changes((SECOND, before), (0, changed)) == before.change_per_second


def test_a_stepped_wall_clock_does_not_make_knowledge_younger() -> None:
    """Guards against trusting old knowledge because the wall clock was set back."""
    knowledge = make_knowledge()
    saved_ns = 1_000_000 * SECOND
    # The machine has not restarted, so its uptime counts, and not the wall clock.
    assert compute_age_ns(knowledge, saved_ns, saved_ns - 3600 * SECOND, "boot", 107 * SECOND) == 7 * SECOND
    assert compute_age_ns(knowledge, saved_ns, saved_ns + 3600 * SECOND, "boot", 107 * SECOND) == 7 * SECOND
    # The machine has restarted, so the wall clock counts, unless it has stepped back.
    assert compute_age_ns(knowledge, saved_ns, saved_ns + 9 * SECOND, "other", 3 * SECOND) == 9 * SECOND
    assert compute_age_ns(knowledge, saved_ns, saved_ns - 1, "other", 3 * SECOND) == UNKNOWN_AGE_NS
    assert compute_age_ns(knowledge, saved_ns, saved_ns + 5 * SECOND, "boot", 3 * SECOND) == 5 * SECOND
    assert compute_confidence(DEFAULT_CHANGE_PER_SECOND["latency"], UNKNOWN_AGE_NS) < 0.01


def test_restarted_workers_and_expired_entries_are_not_restored() -> None:
    """Worker b has restarted and c is gone; load requests and replicas expire with their age."""
    knowledge = make_knowledge()
    workers: dict[str, tuple[Any, str]] = {"a": ("worker a", "1"), "b": ("worker b", "2")}
    earlier_run = build_earlier_run(knowledge, 2 * SECOND, {"m": "function m"}, workers, 5 * SECOND)
    assert [(entry.worker, entry.concurrency_limit) for entry in earlier_run.workers] == [("worker a", 20.0)]
    assert list_draining_workers(knowledge, workers) == ["a"]
    assert earlier_run.load_ages_ns == [3 * SECOND]  # the other one is outside the window of the load budget
    assert [restored.function for restored in earlier_run.functions] == ["function m"]
    assert build_earlier_run(knowledge, 0, {}, workers, 0).functions == []  # the function is no longer known
    assert [reload[0] for reload in list_reloads(knowledge, 2 * SECOND, 8 * SECOND, workers)] == ["a"]
    assert list_reloads(knowledge, 8 * SECOND, 8 * SECOND, workers) == []


# -- restarts


@cache
def restart_without_knowledge(seed: int) -> tuple[float, int, bool]:
    """A mass restart without any knowledge; two tests compare with it."""
    return restart(0.96, False, seed)


def restart(share_of_edges: float, is_durable: bool, seed: int) -> tuple[float, int, bool]:
    """Simulates a restart of a share of the edges; looks at the ten seconds after it.

    Returns the share of requests that succeeded, the number of loads, and whether the rules were kept.
    """
    base = decode(evaluate(DAYS / "mass-restart.jsonnet"), Day, "mass-restart")
    replace = msgspec.structs.replace
    day = replace(
        base,
        capture=False,
        seconds=20,
        edges=10,
        clients=replace(base.clients, rate_per_s=150),
        troubles=[ScriptedFault(at_s=8, kind="dispatcher_crash", for_s=0.2, part=share_of_edges)],
    )
    fleet = Fleet(plan(day, seed), has_durable_state=is_durable)
    fleet.run()
    tally = fleet.statistics
    seconds_after = range(9, 19)
    sent = sum(tally.by_second[second][0] for second in seconds_after)
    service = sum(tally.by_second[second][1] for second in seconds_after) / sent
    return service, sum(tally.loads[second] for second in seconds_after), has_passed(fleet.report())


def test_saved_knowledge_halves_the_cost_of_a_mass_restart() -> None:
    """Compares lost service and loads after the restart of nearly all edges, with and without knowledge."""
    without_knowledge = [restart_without_knowledge(seed) for seed in (1, 2)]
    with_knowledge = [restart(0.96, True, seed) for seed in (1, 2)]
    # Only one edge restarts: the smallest disturbance.
    undisturbed = [restart(0.001, False, seed) for seed in (1, 2)]
    assert all(kept_rules for _, _, kept_rules in without_knowledge + with_knowledge)
    undisturbed_service, service_without, service_with = (
        fmean(service for service, _, _ in runs) for runs in (undisturbed, without_knowledge, with_knowledge)
    )
    assert service_without < undisturbed_service - 0.01
    assert undisturbed_service - service_with <= (undisturbed_service - service_without) / 2
    assert sum(loads for _, loads, _ in with_knowledge) <= sum(loads for _, loads, _ in without_knowledge) / 2


def test_wrong_knowledge_costs_little(monkeypatch: pytest.MonkeyPatch) -> None:
    """Service with outdated, foreign and inverted knowledge is at most 0.02 below that without any."""
    restore = Edge._restore

    def restore_wrong_knowledge(self: Edge, saved_ns: int, knowledge: SavedKnowledge) -> None:
        """Restores the knowledge after falsifying every part of it."""
        for index, function in enumerate(knowledge.functions):
            function.latency_sum_ns *= 20 if index % 2 else 0.05
            function.latency_bins = [*function.latency_bins[7:], *function.latency_bins[:7]]
            function.recent_requests *= 10 if index % 3 else 0
            function.replicas = [
                msgspec.structs.replace(replica, worker=f"runner-{index % 8}", incarnation="0")
                for replica in function.replicas
            ]
        for worker in knowledge.workers:
            worker.concurrency_limit = 30.0 if worker.name[-1] in "0246" else 0.3
        knowledge.succeeded_per_second *= 10
        restore(self, saved_ns, knowledge)

    without_knowledge = [restart_without_knowledge(seed) for seed in (1, 2)]
    monkeypatch.setattr(Edge, "_restore", restore_wrong_knowledge)
    with_wrong_knowledge = [restart(0.96, True, seed) for seed in (1, 2)]
    assert all(kept_rules for _, _, kept_rules in with_wrong_knowledge)
    assert (
        fmean(service for service, _, _ in with_wrong_knowledge)
        >= fmean(service for service, _, _ in without_knowledge) - 0.02
    )


def test_a_run_that_restored_knowledge_replays_with_the_same_decisions() -> None:
    """A replay needs only the events; without the restored knowledge among them it diverges."""
    runs_by_edge: dict[str, list[list[ev.CaptureEvent]]] = {}

    def make_recorder(edge: Edge) -> Any:
        """Records the events of one run of an edge."""
        events: list[ev.CaptureEvent] = []
        runs_by_edge.setdefault(edge.name, []).append(events)
        return CaptureRecorder(events.append, edge.name)

    base = decode(evaluate(DAYS / "restart-lasting.jsonnet"), Day, "restart-lasting")
    crash = [ScriptedFault(at_s=5, kind="dispatcher_crash", for_s=0.2, part=1.0)]
    fleet = Fleet(
        plan(msgspec.structs.replace(base, seconds=9, edges=2, troubles=crash), 1),
        make_recorder=make_recorder,
    )
    fleet.run()
    assert len(runs_by_edge) == 2
    for runs in runs_by_edge.values():
        assert len(runs) == 2
        (restored,) = (event for event in runs[1] if isinstance(event, ev.KnowledgeRestored))
        assert len(restored.functions) > 10
        outcome = replay(runs[1])
        assert outcome.divergence is None
        assert outcome.decisions > 100
        without = replay([event for event in runs[1] if event is not restored])
        assert without.divergence is not None  # the knowledge affects decisions


# -- on sockets

pytestmark = pytest.mark.anyio


async def test_a_restarted_edge_confirms_its_replicas_instead_of_loading_them(tmp_path: Path) -> None:
    """The second run knows the latencies and the loaded replicas of the first one."""
    state_settings = DurableStateSettings(folder=str(tmp_path), every_ms=50)
    async with run_edge({"a": [after_delay(5, respond_ok)], "b": [after_delay(5, respond_ok)]}) as rig:
        saver = KnowledgeSaver(rig.settings, state_settings)
        rig.task_group.start_soon(saver.run, rig.dispatcher)
        for _ in range(12):
            assert (await rig.call())[0] == 200
        await until(
            lambda: any(replica.is_retained and replica.is_loaded for replica in _replicas(rig.dispatcher))
        )
        await until(
            lambda: (
                saver.counts["saved"] and saver.last_gathered and saver.last_gathered[1].functions[0].replicas
            )
        )
        await anyio.sleep(0.2)
    assert saver.store is not None
    saver.store.close()
    async with run_edge({"a": [after_delay(5, respond_ok)], "b": [after_delay(5, respond_ok)]}) as rig:
        saver = KnowledgeSaver(rig.settings, state_settings)
        assert saver.earlier_knowledge is not None and saver.earlier_knowledge[1] < 60 * SECOND
        rig.task_group.start_soon(saver.run, rig.dispatcher)
        await until(lambda: rig.dispatcher.counts["ask", "satisfied"])
        (function,) = rig.dispatcher.by_policy_function
        assert function.latency.total > 2
        assert any(replica.is_retained and replica.is_loaded for replica in _replicas(rig.dispatcher))
        assert (await rig.call())[0] == 200


def _replicas(dispatcher: Any) -> list[Any]:
    return [replica for function in dispatcher.by_policy_function for replica in function.replicas.values()]


async def test_an_unusable_folder_does_not_stop_the_edge(tmp_path: Path) -> None:
    """A file stands where the folder of the edge should be."""
    (tmp_path / "edge").write_text("no folder")
    async with run_edge() as rig:
        saver = KnowledgeSaver(rig.settings, DurableStateSettings(folder=str(tmp_path)))
        assert saver.store is None
        rig.task_group.start_soon(saver.run, rig.dispatcher)
        assert (await rig.call())[0] == 200


async def test_an_exception_while_restoring_or_saving_affects_no_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The exception is reported once, and saving is retried until it succeeds."""
    state_settings = DurableStateSettings(folder=str(tmp_path), every_ms=20)

    def raise_error(*_: Any) -> Any:
        """Fails in place of a function that the saver calls."""
        raise ZeroDivisionError

    with capture_logs() as logs:
        async with run_edge() as rig:
            saver = KnowledgeSaver(rig.settings, state_settings)
            saver.earlier_knowledge = make_knowledge(), 0
            monkeypatch.setattr("martenlead.edge.knowledge_saver.build_earlier_run", raise_error)
            monkeypatch.setattr("martenlead.edge.knowledge_saver.gather_in_steps", raise_error)
            rig.task_group.start_soon(saver.run, rig.dispatcher)
            await until(lambda: saver.counts["failed"] > 3)
            assert (await rig.call())[0] == 200
            assert saver.counts["saved"] == 0
            monkeypatch.undo()
            await until(lambda: saver.counts["saved"] >= 2)
            assert (await rig.call())[0] == 200
    events = [line["event"] for line in logs if line["event"].startswith(("fault", "state_"))]
    assert events == ["fault_recorded", "state_save_failed", "state_save_recovered"]


async def test_a_second_edge_of_the_same_name_saves_nothing_and_invalid_state_is_skipped(
    tmp_path: Path,
) -> None:
    """The folder is locked by the first edge, which has saved state of an unknown structure."""
    state_settings = DurableStateSettings(folder=str(tmp_path), every_ms=20)
    async with run_edge() as rig:
        first = KnowledgeSaver(rig.settings, state_settings)
        assert first.store is not None
        first.store.write(KNOWLEDGE, {"models": "none"})
        assert KnowledgeSaver(rig.settings, state_settings).store is None
        first.store.close()
        second = KnowledgeSaver(rig.settings, state_settings)
        assert second.earlier_knowledge is None and second.store is not None
        rig.task_group.start_soon(second.run, rig.dispatcher)
        assert (await rig.call())[0] == 200
        await until(lambda: second.counts["saved"] >= 2)
