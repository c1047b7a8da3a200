"""Stored and sent data from before the policy became a package is read with the same meaning.

Captures from that version are replayed in test_capture_replay.py.
"""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest

from martenlead.capture import events as ev
from martenlead.capture.reader import find_runs
from martenlead.durable_state.disk import StateFolder
from martenlead.durable_state.knowledge import SECOND, SavedKnowledge, build_earlier_run, gather_knowledge
from martenlead.durable_state.store import StateStore
from martenlead.edge.knowledge_saver import KNOWLEDGE
from martenlead.emulator.policies import _imported_from
from martenlead.planner.restored_policy import RestoredPolicy
from martenlead.planner.snapshot import decode_snapshot, encode_snapshot
from martenlead.policy.policy import Policy
from support.pair import EdgePlannerSimulation
from tests.play import MS, SETTINGS, ScriptedDispatcher
from tests.test_planner import send_requests

STORED = Path(__file__).parent / "stored"
SPAN_INDEX = 6  # index of `recent_span_ns` in a stored function
SNAPSHOT = (STORED / "planner-state.msgpack").read_bytes()


def stored_snapshot() -> dict[str, Any]:
    """Returns the stored snapshot, decoded but not converted to its types."""
    found: dict[str, Any] = msgspec.msgpack.decode(SNAPSHOT)
    return found


def stored_knowledge(folder: Path) -> SavedKnowledge:
    """Reads the stored state folder after copying it to `folder`."""
    shutil.copytree(STORED / "edge-state", folder)
    store = StateStore(StateFolder(folder), "here", lambda: 1_000)
    state = store.read(KNOWLEDGE)
    store.close()
    assert state is not None
    return msgspec.convert(state.value, SavedKnowledge)


def test_a_planner_restores_the_snapshot_of_an_earlier_edge() -> None:
    stored = stored_snapshot()
    restored = RestoredPolicy(decode_snapshot(SNAPSHOT), 7 * SECOND)
    state, own = restored.policy.state, stored["brain"]
    assert state.traffic.succeeded_per_second == own["rate"] > 0
    assert state.traffic.peak_succeeded_per_second == own["best"] > 0
    assert state.traffic.new_requests_per_second == own["asked"] > 0
    assert state.latencies.all_functions.sum_ns == own["latency"]["sum"] > 0
    assert list(restored.policy.load_budget.request_times_ns) == own["taken"]
    assert list(restored.policy.load_budget.load_times_ns) == own["orders"]
    for number, _, _, _, fields in stored["runners"]:
        worker = restored.workers[number]
        assert worker.is_listed
        assert worker.concurrency_limit == fields["width"]
        assert (worker.in_flight, worker.retry_budget) == (fields["out"], fields["credit"])
        assert (worker.last_response_ns, worker.next_attempt_ns) == (fields["heard"], fields["next"])
        assert worker.latency_ratio.bins == fields["ratio"]["bins"]
    retained = 0
    for number, _, _, _, _, fields, _, replicas in stored["models"]:
        function = restored.functions[number]
        assert (function.requests, function.new_requests) == (fields["tasks"], fields["counts"])
        assert (function.rated_requests, function.capacity_per_second) == (fields["seen"], fields["most"])
        for at, its in replicas:
            replica = function.replicas[restored.workers[at]]
            assert (replica.is_retained, replica.is_loaded) == (its["held"], its["stands"])
            assert (replica.last_used_ns, replica.load_requested_ns) == (its["touched"], its["ordered"])
            retained += replica.is_retained
    assert retained > 2


ADDED_TO_SNAPSHOT = {"recent_new_requests", "recent_succeeded", "succeeded_share"}  # ignored by readers


def test_a_snapshot_has_the_field_names_of_an_earlier_one() -> None:
    pair = EdgePlannerSimulation()
    send_requests(pair, 1000)
    state, _ = pair.planner_client._take_snapshot()
    now, then = msgspec.msgpack.decode(encode_snapshot(state)), stored_snapshot()
    assert now.keys() == then.keys()
    assert now["brain"].keys() == then["brain"].keys() | ADDED_TO_SNAPSHOT
    assert not then["brain"].keys() & ADDED_TO_SNAPSHOT
    assert now["runners"][0][-1].keys() == then["runners"][0][-1].keys() | {"ramp_rate_per_second"}
    assert now["models"][0][5].keys() == then["models"][0][5].keys()
    assert now["models"][0][7][0][1].keys() == then["models"][0][7][0][1].keys()


def test_settings_are_stored_under_the_names_of_earlier_captures() -> None:
    path = next((Path(__file__).parent / "captures").glob("crash-*.mlc"))
    (start, *_) = find_runs([path])[0].events()
    assert isinstance(start, ev.RunStarted)
    then, now = set(start.settings), set(ev.pack_settings(SETTINGS))
    assert now == then | {"reach", "functions"}
    packed = ev.pack_settings(ev.unpack_settings(start.settings))
    assert {name: packed[name] for name in then} == start.settings


def test_an_edge_restores_the_state_folder_of_an_earlier_one(tmp_path: Path) -> None:
    known = stored_knowledge(tmp_path / "edge")
    assert [m.name for m in known.functions] == ["n", "m"]
    play = ScriptedDispatcher(load_window_ns=10_000 * MS, free_loads_per_window=8, loads_per_request=0.3)
    play.send_request("t1", "m")
    play.send_request("t2", "n")
    incarnations = {name: (worker, "1") for name, worker in play.workers.items()}
    play.policy.restore(build_earlier_run(known, 0, play.functions, incarnations, 10_000 * MS))
    assert play.policy.state.traffic.succeeded_per_second == known.succeeded_per_second == 21.0
    assert play.policy.state.traffic.new_requests_per_second == known.new_requests_per_second == 22.0
    assert len(play.policy.load_budget.load_times_ns) >= len(known.load_ages_ns) == 4
    assert play.functions["n"].latency.total == pytest.approx(3.0)
    assert play.functions["m"].rated_requests == 10.0


def test_knowledge_of_the_same_requests_equals_the_stored_state_folder(tmp_path: Path) -> None:
    play = ScriptedDispatcher(load_window_ns=10_000 * MS, free_loads_per_window=8, loads_per_request=0.3)
    for name in "mn":
        play.serve_requests(20, name)
    names = {play.functions[name]: name for name in play.functions}
    incarnations = {worker: (name, "1", name == "c") for name, worker in play.workers.items()}
    gathered = gather_knowledge(play.policy, play.policy.state.now_ns, names, incarnations)
    packed = msgspec.to_builtins(gathered)
    assert (packed["rate"], packed["asked"]) == pytest.approx((19.532295, 20.287677))
    spans = [model[SPAN_INDEX] for model in packed["models"]]
    assert spans == [500_000_000, 540_479_095]
    # the version that stored the folder did not count the wait before the first period
    packed["rate"], packed["asked"] = 21.0, 22.0
    packed["models"][1][SPAN_INDEX] = 500_000_000
    assert packed == msgspec.to_builtins(stored_knowledge(tmp_path / "edge"))


def test_the_policy_of_another_package_folder_is_imported_beside_the_own(tmp_path: Path) -> None:
    shutil.copytree(Path(__file__).parent.parent / "martenlead" / "policy", tmp_path / "policy")
    other = _imported_from(tmp_path / "policy")
    assert other is not Policy
    assert other.__name__ == "Policy"
    assert ScriptedDispatcher().policy.__class__ is Policy
    assert vars(other(ScriptedDispatcher().policy.settings, 1).state)["now_ns"] == 0
    (tmp_path / "policy" / "policy.py").write_text("class Brain:\n    pass\n")
    with pytest.raises(ValueError, match="not one for the types of today"):
        _imported_from(tmp_path / "policy")
