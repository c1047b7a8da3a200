"""The link and the mirror in virtual time: what a planner knows, who is obeyed, and the ration over lives."""

from __future__ import annotations

import dataclasses

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from martenlead.capture import events as ev
from martenlead.planner import frames as fr
from martenlead.planner.link import NS_PER_MS, LinkProtocolError
from martenlead.planner.snapshot import encode_snapshot
from martenlead.policy.types import WorkerState
from support.pair import EdgePlannerSimulation


def busy(pair: EdgePlannerSimulation, ms: int, every: int = 20, models: int = 4) -> None:
    for n in range(ms // every):
        pair.submit_request(pair.random.randrange(models), "notice" if n % 7 == 0 else "estimate")
        pair.run(every)


# -- frames


MESSAGES = st.one_of(
    st.builds(fr.Hello, st.integers(0, 9), st.integers(0, 9), st.text(), st.text(), st.text()),
    st.builds(fr.Welcome, st.integers(0, 9), st.text(), st.text(), st.integers(-1, 1 << 62)),
    st.builds(fr.Lease, st.integers(0, 1 << 62), st.floats(0, 1e9), st.booleans()),
    st.builds(fr.Heartbeat, st.integers(0, 1 << 62), st.integers(0, 1 << 62)),
    st.builds(
        fr.Events,
        st.integers(0, 1 << 62),
        st.integers(0, 1 << 62),
        st.lists(st.builds(ev.AttemptStarted, *[st.integers(0, 1 << 40)] * 4), max_size=4),
    ),
    st.builds(fr.ResyncRequest, st.text()),
)


@given(st.lists(MESSAGES, max_size=5), st.lists(st.integers(1, 40), max_size=40))
def test_frames_come_out_as_they_went_in_however_they_are_cut(
    messages: list[fr.AnyMessage], cuts: list[int]
) -> None:
    data = b"".join(fr.encode_frame(m) for m in messages)
    reader, found, at = fr.FrameReader(), [], 0
    for cut in [*cuts, len(data)]:
        found += reader.feed(data[at : at + cut])
        at += cut
    assert found == messages


@given(st.binary(min_size=1, max_size=60), st.integers(0, 59))
def test_no_bytes_are_taken_for_another_message(data: bytes, at: int) -> None:
    good = fr.encode_frame(fr.ResyncRequest("some reason or other"))
    bad = bytearray(good)
    bad[at % len(good)] ^= data[0] or 1
    for stream in (bytes(bad), data):
        reader = fr.FrameReader(max_payload_bytes=1 << 20)
        try:
            found = reader.feed(stream)
        except fr.FrameError:
            continue
        assert found == []  # more is waited for


# -- what the planner knows


def test_the_planner_knows_what_the_edge_knows_and_decides_for_it() -> None:
    pair = EdgePlannerSimulation()
    busy(pair, 500)
    pair.connect()
    busy(pair, 6000)
    pair.run(100)
    assert pair.differences_once_settled() == []
    assert (pair.planner_client.plans_locally, pair.planner_client.counts["handed over"]) == (False, 1)
    assert pair.planner_client.counts["orders"] > 3
    assert pair.load_requests_over_budget() == 0
    assert (pair.session.epoch, pair.session.counts["snapshots"]) == (1, 1)


def test_a_break_is_resumed_and_a_new_planner_is_told_all() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    busy(pair, 2000)
    pair.disconnect()
    busy(pair, 300)
    pair.connect()
    busy(pair, 500)
    pair.run(50)
    assert (pair.session.counts["resumed"], pair.session.counts["snapshots"]) == (1, 1)
    assert pair.differences_once_settled() == []
    pair.kill_planner()
    busy(pair, 300)
    pair.connect()
    busy(pair, 500)
    pair.run(50)
    assert (pair.session.counts["resumed"], pair.session.counts["snapshots"]) == (1, 2)
    assert pair.differences_once_settled() == []
    assert pair.epochs == [1, 2, 3]


def test_what_was_decided_and_lost_on_the_way_is_said_again_whole() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    busy(pair, 3000)
    pair.run(100)
    held = len(pair.planner_client._retained)
    assert held
    runner, model = next(iter(pair.planner_client._retained))
    pair.policy_boundary.set_retained(
        pair.planner_client.recorder.workers_by_number[runner],
        pair.planner_client.recorder.functions_by_number[model],
        False,
    )
    pair.planner_client._retained.discard((runner, model))  # as if the word had been lost
    pair.disconnect()
    pair.connect()
    pair.run(100)
    assert pair.session.counts["resumed"] == 1
    assert pair.differences_once_settled() == []


def test_a_planner_that_hangs_loses_its_word() -> None:
    pair = EdgePlannerSimulation(lease_ms=1000)
    pair.connect()
    busy(pair, 1000)
    stale = fr.PlanUpdate(pair.session.epoch, pair.session.last_sequence, [(1, 0, 0)], [])
    pair.stalled_until_ns = pair.now + 5000 * NS_PER_MS
    busy(pair, 1500)
    assert (str(pair.protocol_error), pair.session.state) == ("the planner has not answered in time", "down")
    pair.stalled_until_ns = 0
    pair.planner.poll()  # it wakes, and says what it thinks on a connection that is gone
    pair.connect()
    pair.run(50)
    given = len(pair.load_request_times)
    pair.session.receive_message(stale)
    pair.planner_client.apply_decisions()
    assert (pair.session.counts["fenced"], len(pair.load_request_times) - given) == (1, 0)
    busy(pair, 500)
    pair.run(50)
    assert pair.differences_once_settled() == []


def test_an_order_without_room_in_the_ration_is_not_given_whoever_sends_it() -> None:
    pair = EdgePlannerSimulation()
    pair.submit_request(0)
    pair.connect()
    pair.run(300)
    for number in range(50):
        pair.session.receive_message(
            fr.PlanUpdate(pair.session.epoch, pair.session.last_sequence, [(number, number % 4, 0)], [])
        )
    pair.planner_client.apply_decisions()
    assert pair.planner_client.counts["orders refused"] > 40
    assert pair.load_requests_over_budget() == 0
    pair.run(100)
    assert pair.planner.policy_replica is not None
    assert not pair.planner.policy_replica.load_requests


def test_a_decision_made_before_a_new_state_does_not_undo_it() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    busy(pair, 1000)
    pair.run(50)
    seq = pair.session.last_sequence
    pair.session.receive_message(fr.ResyncRequest("for a test"))
    pair.run(600)
    pair.session.receive_message(fr.PlanUpdate(pair.session.epoch, seq, [], [(0, 0, True), (1, 1, True)]))
    assert (pair.session.counts["outdated"], pair.session.counts["snapshots"]) == (1, 2)
    busy(pair, 500)
    pair.run(50)
    assert pair.differences_once_settled() == []


def test_an_edge_that_floods_its_planner_holds_no_more_than_its_bound() -> None:
    pair = EdgePlannerSimulation(outbox_bytes=4000, lease_ms=10_000)
    pair.connect()
    busy(pair, 500)
    pair.stalled_until_ns = pair.now + 3000 * NS_PER_MS
    for _ in range(40):
        for model in range(10):
            pair.submit_request(model)
        pair.run(20)
        assert pair.session.report_status().outbox_bytes <= 4000
    assert pair.session.counts["overflow"] >= 1
    pair.run(4000)
    assert pair.differences_once_settled() == []


def test_a_drain_that_only_the_edge_has_heard_of_keeps_orders_away() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    busy(pair, 1000)
    runner = pair.workers[1]
    facts = dataclasses.replace(runner.facts, state=WorkerState.DRAINING)
    pair.policy_boundary.update_workers([(runner, facts)], False)
    before = len(pair.load_request_times)
    pair.session.receive_message(
        fr.PlanUpdate(pair.session.epoch, pair.session.last_sequence, [(1, 1, 0)], [(1, 0, True)])
    )
    pair.planner_client.apply_decisions()
    assert (len(pair.load_request_times) - before, pair.planner_client.counts["orders refused"]) == (0, 1)
    assert pair.differences_once_settled() == []


def test_a_link_that_stands_still_for_ten_seconds_and_what_comes_of_it_twice() -> None:
    pair = EdgePlannerSimulation(lease_ms=20_000, outbox_bytes=1 << 20)
    pair.connect()
    busy(pair, 1000)
    sent: list[bytes] = []
    inner = pair.session.next_frame

    def keep() -> bytes | None:
        data = inner()
        if data is not None:
            sent.append(data)
        return data

    pair.session.next_frame = keep  # type: ignore[method-assign]
    pair.stalled_until_ns = pair.now + 10_000 * NS_PER_MS
    busy(pair, 10_000)
    assert pair.differences_once_settled() == []
    pair.disconnect()
    pair.connect()
    pair.run(20)
    for data in sent:  # the connection before still spits out what it had
        for message in fr.FrameReader().feed(data):
            if isinstance(message, fr.Events):
                pair.planner.receive_message(message)
    assert pair.planner.counts["again"] >= len(sent) - 5 > 50
    busy(pair, 500)
    assert pair.differences_once_settled() == []
    assert pair.session.counts["snapshots"] == 1


def test_a_planner_that_starts_anew_orders_nothing_that_stands_and_counts_the_orders_before_it() -> None:
    pair = EdgePlannerSimulation(workers=8)
    pair.connect()
    busy(pair, 6000)
    assert pair.differences_once_settled() == []
    for _ in range(6):
        pair.kill_planner()
        pair.connect()
        pair.run(600)  # a state is sent twice a second at most
        mirror = pair.planner.policy_replica
        assert mirror is not None
        window = pair.now - 5000 * NS_PER_MS
        before = [t for t in pair.load_request_times if t > window]
        assert len([t for t in mirror.policy.load_budget.load_times_ns if t > window]) >= len(before)
    given = len(pair.load_request_times)
    pair.run(300)
    assert len(pair.load_request_times) - given <= 4  # renewals that fall due, no second load of what is held
    assert pair.load_requests_over_budget() == 0


def test_a_state_has_no_more_models_than_it_may_those_that_are_held_first() -> None:
    pair = EdgePlannerSimulation(snapshot_models=5, workers=8)
    pair.connect()
    busy(pair, 4000, models=3)
    for model in range(3, 40):
        pair.submit_request(model)
    pair.run(500)
    held = {m for _, m in pair.planner_client._retained}
    assert held
    pair.kill_planner()
    pair.connect()
    pair.run(600)
    mirror = pair.planner.policy_replica
    assert mirror is not None
    assert len(mirror.restored.functions) == 5
    assert held <= set(mirror.restored.functions)
    busy(pair, 1000, models=40)  # what was left out is learnt as it comes
    pair.run(600)
    assert pair.planner.counts["needed"] == 0
    assert len(mirror.restored.functions) > 5


def test_a_state_that_does_not_come_is_asked_for_again() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    pair.run(100)
    assert pair.planner.policy_replica is not None
    pair.planner.policy_replica = None  # as if it had gone missing
    pair.run(3000)
    assert pair.planner.counts["needed"] == 1
    assert pair.differences_once_settled() == []


def test_while_there_is_no_planner_no_more_is_kept_than_the_bound() -> None:
    pair = EdgePlannerSimulation(outbox_bytes=20_000)
    pair.connect()
    busy(pair, 500)
    pair.disconnect()
    for _ in range(100):
        for model in range(10):
            pair.submit_request(model)
        pair.run(20)
        assert pair.session.report_status().outbox_bytes <= 20_000
        assert len(pair.session._batch) < 512
    assert pair.session.counts["overflow"] == 1
    pair.connect()
    assert pair.differences_once_settled() == []


def test_the_differences_that_these_tests_look_for_are_found() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    busy(pair, 1000)
    assert pair.differences_once_settled() == []
    mirror = pair.planner.policy_replica
    assert mirror is not None
    feed, kept = mirror.apply_events, 0

    def loses_one(events: list[ev.AnyEvent]) -> None:
        nonlocal kept
        kept += 1
        feed([e for e in events if not (kept == 3 and isinstance(e, ev.RequestAccepted | ev.AttemptStarted))])

    mirror.apply_events = loses_one  # type: ignore[method-assign]
    busy(pair, 200)
    assert pair.differences_once_settled() != []


@pytest.mark.parametrize("ahead", [10**15, -(10**9)])
@pytest.mark.parametrize("rate", [1.0, 1.00005, 0.99995])
def test_a_planner_whose_clock_is_ahead_or_drifts_plans_on_the_edges(ahead: int, rate: float) -> None:
    pair = EdgePlannerSimulation(planner_ahead=ahead, rate=rate)
    pair.connect()
    busy(pair, 5000)
    pair.run(50)
    assert pair.differences_once_settled() == []
    assert pair.planner_client.counts["orders"] > 3
    assert pair.planner.policy_replica is not None
    assert abs(pair.planner.policy_replica.policy.state.now_ns - pair.now) < 20 * NS_PER_MS


@pytest.mark.parametrize(("edge", "planner"), [(1, 2), (2, 1), (1, 1)])
def test_versions_that_differ_by_one_work_together(edge: int, planner: int) -> None:
    pair = EdgePlannerSimulation(speaks=edge)
    pair.planner = pair.new_planner(highest_version=planner)
    pair.planner.find_earlier_replicas = lambda _: [("r0", "m0", 2, 1000.0, 50.0)]
    pair.connect()
    busy(pair, 2000)
    pair.run(50)
    assert (pair.session.version, pair.differences_once_settled(), pair.confirmed_replicas) == (1, [], [])


def test_versions_without_one_in_common_are_refused_clearly() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    with pytest.raises(LinkProtocolError, match="no common version: 3 to 4"):
        pair.planner.receive_message(fr.Hello(3, 4, "edge", "x", ""))
    with pytest.raises(LinkProtocolError, match="speaks version 9"):
        pair.session.receive_message(fr.Welcome(9, "p", "x", -1))


def test_a_new_life_of_an_edge_is_asked_what_was_held_in_the_one_before() -> None:
    pair = EdgePlannerSimulation()
    pair.planner.find_earlier_replicas = lambda name: (
        [("r0", "m0", 2, 1000.0, 50.0)] if name == "edge" else []
    )
    pair.connect()
    pair.run(100)
    assert [list(copy) for copy in pair.confirmed_replicas] == [["r0", "m0", 2, 1000.0, 50.0]]


def test_a_state_of_another_module_is_read_as_far_as_it_goes() -> None:
    pair = EdgePlannerSimulation()
    busy(pair, 1000)
    state, _ = pair.planner_client._take_snapshot()
    told = msgspec.msgpack.decode(encode_snapshot(state))
    told["brain"]["a new field"] = 7
    del told["brain"]["rate"]
    told["models"][0][5]["latency"] = {"bins": [1.0], "total": 1.0, "sum": 1.0}
    pair.planner.receive_message(fr.Hello(1, 2, "edge", "x", "another"))
    pair.planner.receive_message(fr.Lease(1, 1000))
    pair.planner.receive_message(fr.Snapshot(1, pair.now, msgspec.Raw(msgspec.msgpack.encode(told))))
    assert pair.planner.policy_replica is not None
    del told["models"][0][5:]
    with pytest.raises(LinkProtocolError, match="the state can not be read"):
        pair.planner.receive_message(fr.Snapshot(2, pair.now, msgspec.Raw(msgspec.msgpack.encode(told))))


class Faults(RuleBasedStateMachine):
    """The link under faults in any order. Whatever happens: the ration holds over all lives of planners, an
    epoch is given once, nobody is obeyed but who holds the latest, and no more is kept than the bound."""

    def __init__(self) -> None:
        super().__init__()
        self.pair = EdgePlannerSimulation(outbox_bytes=20_000, lease_ms=800)

    @rule(n=st.integers(1, 15), model=st.integers(0, 5))
    def tasks(self, n: int, model: int) -> None:
        for _ in range(n):
            self.pair.submit_request(model)
        self.pair.run(10)

    @rule(ms=st.sampled_from([20, 100, 400, 1500]))
    def time(self, ms: int) -> None:
        self.pair.run(ms)

    @rule()
    def connect(self) -> None:
        if self.pair.connection is None:
            self.pair.connect()

    @rule()
    def cut(self) -> None:
        self.pair.disconnect()

    @rule()
    def kill_planner(self) -> None:
        self.pair.kill_planner()

    @rule(ms=st.sampled_from([100, 700, 2000]))
    def stall(self, ms: int) -> None:
        self.pair.stalled_until_ns = self.pair.now + ms * NS_PER_MS

    @rule()
    def another_believes_itself_in_charge(self) -> None:
        """One of an epoch before orders all it can."""
        end = self.pair.session
        if end.state == "up":
            before = len(self.pair.load_request_times)
            for number in range(5):
                end.receive_message(
                    fr.PlanUpdate(end.epoch - 1, end.last_sequence, [(number, 0, 0)], [(0, 0, True)])
                )
            self.pair.planner_client.apply_decisions()
            assert len(self.pair.load_request_times) == before

    @rule()
    def events_go_missing(self) -> None:
        wire = self.pair.connection
        if wire is not None and len(wire.to_planner) > 2:
            wire.to_planner.pop(1)

    @invariant()
    def ration(self) -> None:
        assert self.pair.load_requests_over_budget() == 0

    @invariant()
    def obeyed(self) -> None:
        assert all(epoch == sender for epoch, sender in self.pair.applied_epochs)
        assert self.pair.epochs == sorted(set(self.pair.epochs))

    @invariant()
    def bounded(self) -> None:
        assert self.pair.session.report_status().outbox_bytes <= 20_000

    def teardown(self) -> None:
        """In the end one planner is left in peace: then it knows all, and every task has its end."""
        pair = self.pair
        pair.stalled_until_ns = 0
        for _ in range(3):
            if pair.connection is None:
                pair.connect()
            pair.run(1500)
        pair.run(4000)
        assert pair.differences_once_settled() == []
        assert pair.closed_requests == len(pair.request_times)


TestFaults = Faults.TestCase
TestFaults.settings = settings(
    max_examples=100,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
