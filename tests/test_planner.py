"""The link and the policy replica in virtual time: replicated state, fencing, load budget over restarts."""

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


def send_requests(
    pair: EdgePlannerSimulation, duration_ms: int, interval_ms: int = 20, functions: int = 4
) -> None:
    """Sends a request for a random function in each interval."""
    for number in range(duration_ms // interval_ms):
        pair.submit_request(pair.random.randrange(functions), "notice" if number % 7 == 0 else "estimate")
        pair.run(interval_ms)


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
def test_frames_are_decoded_from_chunks_of_any_size(messages: list[fr.AnyMessage], sizes: list[int]) -> None:
    data = b"".join(fr.encode_frame(m) for m in messages)
    reader, found, offset = fr.FrameReader(), [], 0
    for size in [*sizes, len(data)]:
        found += reader.feed(data[offset : offset + size])
        offset += size
    assert found == messages


@given(st.binary(min_size=1, max_size=60), st.integers(0, 59))
def test_corrupt_or_random_bytes_never_decode_to_a_message(data: bytes, position: int) -> None:
    good = fr.encode_frame(fr.ResyncRequest("some reason or other"))
    bad = bytearray(good)
    bad[position % len(good)] ^= data[0] or 1
    for stream in (bytes(bad), data):
        reader = fr.FrameReader(max_payload_bytes=1 << 20)
        try:
            found = reader.feed(stream)
        except fr.FrameError:
            continue
        assert found == []  # the frame is incomplete


def test_the_planner_replicates_the_edges_policy_and_decides_on_loads() -> None:
    pair = EdgePlannerSimulation()
    send_requests(pair, 500)
    pair.connect()
    send_requests(pair, 6000)
    pair.run(100)
    assert pair.differences_once_settled() == []
    assert (pair.planner_client.plans_locally, pair.planner_client.counts["handed over"]) == (False, 1)
    assert pair.planner_client.counts["orders"] > 3
    assert pair.load_requests_over_budget() == 0
    assert (pair.session.epoch, pair.session.counts["snapshots"]) == (1, 1)


def test_a_lost_connection_is_resumed_and_a_new_planner_gets_a_snapshot() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    send_requests(pair, 2000)
    pair.disconnect()
    send_requests(pair, 300)
    pair.connect()
    send_requests(pair, 500)
    pair.run(50)
    assert (pair.session.counts["resumed"], pair.session.counts["snapshots"]) == (1, 1)
    assert pair.differences_once_settled() == []
    pair.kill_planner()
    send_requests(pair, 300)
    pair.connect()
    send_requests(pair, 500)
    pair.run(50)
    assert (pair.session.counts["resumed"], pair.session.counts["snapshots"]) == (1, 2)
    assert pair.differences_once_settled() == []
    assert pair.epochs == [1, 2, 3]


def test_a_lost_decision_is_repeated_by_a_complete_update_after_a_reconnect() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    send_requests(pair, 3000)
    pair.run(100)
    retained = len(pair.planner_client._retained)
    assert retained
    worker, function = next(iter(pair.planner_client._retained))
    pair.policy_boundary.set_retained(
        pair.planner_client.recorder.workers_by_number[worker],
        pair.planner_client.recorder.functions_by_number[function],
        False,
    )
    pair.planner_client._retained.discard((worker, function))  # simulates a lost update
    pair.disconnect()
    pair.connect()
    pair.run(100)
    assert pair.session.counts["resumed"] == 1
    assert pair.differences_once_settled() == []


def test_decisions_of_a_planner_whose_lease_expired_are_dropped() -> None:
    pair = EdgePlannerSimulation(lease_ms=1000)
    pair.connect()
    send_requests(pair, 1000)
    stale = fr.PlanUpdate(pair.session.epoch, pair.session.last_sequence, [(1, 0, 0)], [])
    pair.stalled_until_ns = pair.now + 5000 * NS_PER_MS
    send_requests(pair, 1500)
    assert (str(pair.protocol_error), pair.session.state) == ("the planner has not answered in time", "down")
    pair.stalled_until_ns = 0
    pair.planner.poll()  # resumes and sends decisions on the closed connection
    pair.connect()
    pair.run(50)
    requested = len(pair.load_request_times)
    pair.session.receive_message(stale)
    pair.planner_client.apply_decisions()
    assert (pair.session.counts["fenced"], len(pair.load_request_times) - requested) == (1, 0)
    send_requests(pair, 500)
    pair.run(50)
    assert pair.differences_once_settled() == []


def test_load_requests_over_the_load_budget_are_refused_whoever_sends_them() -> None:
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


def test_a_decision_from_before_a_new_snapshot_is_dropped() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    send_requests(pair, 1000)
    pair.run(50)
    sequence = pair.session.last_sequence
    pair.session.receive_message(fr.ResyncRequest("for a test"))
    pair.run(600)
    pair.session.receive_message(
        fr.PlanUpdate(pair.session.epoch, sequence, [], [(0, 0, True), (1, 1, True)])
    )
    assert (pair.session.counts["outdated"], pair.session.counts["snapshots"]) == (1, 2)
    send_requests(pair, 500)
    pair.run(50)
    assert pair.differences_once_settled() == []


def test_the_outbox_stays_within_its_limit_while_the_planner_stalls() -> None:
    pair = EdgePlannerSimulation(outbox_bytes=4000, lease_ms=10_000)
    pair.connect()
    send_requests(pair, 500)
    pair.stalled_until_ns = pair.now + 3000 * NS_PER_MS
    for _ in range(40):
        for function in range(10):
            pair.submit_request(function)
        pair.run(20)
        assert pair.session.report_status().outbox_bytes <= 4000
    assert pair.session.counts["overflow"] >= 1
    pair.run(4000)
    assert pair.differences_once_settled() == []


def test_no_load_is_requested_at_a_worker_that_only_the_edge_knows_to_drain() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    send_requests(pair, 1000)
    worker = pair.workers[1]
    facts = dataclasses.replace(worker.facts, state=WorkerState.DRAINING)
    pair.policy_boundary.update_workers([(worker, facts)], False)
    before = len(pair.load_request_times)
    pair.session.receive_message(
        fr.PlanUpdate(pair.session.epoch, pair.session.last_sequence, [(1, 1, 0)], [(1, 0, True)])
    )
    pair.planner_client.apply_decisions()
    assert (len(pair.load_request_times) - before, pair.planner_client.counts["orders refused"]) == (0, 1)
    assert pair.differences_once_settled() == []


def test_a_link_that_stalls_for_ten_seconds_recovers_and_ignores_repeated_events() -> None:
    pair = EdgePlannerSimulation(lease_ms=20_000, outbox_bytes=1 << 20)
    pair.connect()
    send_requests(pair, 1000)
    sent: list[bytes] = []
    next_frame = pair.session.next_frame

    def record_frame() -> bytes | None:
        data = next_frame()
        if data is not None:
            sent.append(data)
        return data

    pair.session.next_frame = record_frame  # type: ignore[method-assign]
    pair.stalled_until_ns = pair.now + 10_000 * NS_PER_MS
    send_requests(pair, 10_000)
    assert pair.differences_once_settled() == []
    pair.disconnect()
    pair.connect()
    pair.run(20)
    for data in sent:  # late frames of the closed connection
        for message in fr.FrameReader().feed(data):
            if isinstance(message, fr.Events):
                pair.planner.receive_message(message)
    assert pair.planner.counts["again"] >= len(sent) - 5 > 50
    send_requests(pair, 500)
    assert pair.differences_once_settled() == []
    assert pair.session.counts["snapshots"] == 1


def test_a_restarted_planner_counts_earlier_loads_and_repeats_none() -> None:
    pair = EdgePlannerSimulation(workers=8)
    pair.connect()
    send_requests(pair, 6000)
    assert pair.differences_once_settled() == []
    for _ in range(6):
        pair.kill_planner()
        pair.connect()
        pair.run(600)  # snapshots are sent at most twice a second
        policy_replica = pair.planner.policy_replica
        assert policy_replica is not None
        start = pair.now - 5000 * NS_PER_MS
        before = [t for t in pair.load_request_times if t > start]
        assert len([t for t in policy_replica.policy.load_budget.load_times_ns if t > start]) >= len(before)
    requested = len(pair.load_request_times)
    pair.run(300)
    assert (
        len(pair.load_request_times) - requested <= 4
    )  # renewals that are due; retained replicas are not loaded again
    assert pair.load_requests_over_budget() == 0


def test_a_snapshot_over_the_function_limit_prefers_retained_functions() -> None:
    pair = EdgePlannerSimulation(snapshot_models=5, workers=8)
    pair.connect()
    send_requests(pair, 4000, functions=3)
    for function in range(3, 40):
        pair.submit_request(function)
    pair.run(500)
    retained = {number for _, number in pair.planner_client._retained}
    assert retained
    pair.kill_planner()
    pair.connect()
    pair.run(600)
    policy_replica = pair.planner.policy_replica
    assert policy_replica is not None
    assert len(policy_replica.restored.functions) == 5
    assert retained <= set(policy_replica.restored.functions)
    send_requests(pair, 1000, functions=40)  # omitted functions are added by later events
    pair.run(600)
    assert pair.planner.counts["needed"] == 0
    assert len(policy_replica.restored.functions) > 5


def test_a_snapshot_that_does_not_arrive_is_requested_again() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    pair.run(100)
    assert pair.planner.policy_replica is not None
    pair.planner.policy_replica = None  # simulates a lost snapshot
    pair.run(3000)
    assert pair.planner.counts["needed"] == 1
    assert pair.differences_once_settled() == []


def test_the_outbox_stays_within_its_limit_without_a_planner() -> None:
    pair = EdgePlannerSimulation(outbox_bytes=20_000)
    pair.connect()
    send_requests(pair, 500)
    pair.disconnect()
    for _ in range(100):
        for function in range(10):
            pair.submit_request(function)
        pair.run(20)
        assert pair.session.report_status().outbox_bytes <= 20_000
        assert len(pair.session._batch) < 512
    assert pair.session.counts["overflow"] == 1
    pair.connect()
    assert pair.differences_once_settled() == []


def test_a_replica_that_misses_events_is_found_to_differ() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    send_requests(pair, 1000)
    assert pair.differences_once_settled() == []
    policy_replica = pair.planner.policy_replica
    assert policy_replica is not None
    apply, calls = policy_replica.apply_events, 0

    def drop_events_of_the_third_call(events: list[ev.AnyEvent]) -> None:
        nonlocal calls
        calls += 1
        apply(
            [e for e in events if not (calls == 3 and isinstance(e, ev.RequestAccepted | ev.AttemptStarted))]
        )

    policy_replica.apply_events = drop_events_of_the_third_call  # type: ignore[method-assign]
    send_requests(pair, 200)
    assert pair.differences_once_settled() != []


@pytest.mark.parametrize("ahead", [10**15, -(10**9)])
@pytest.mark.parametrize("rate", [1.0, 1.00005, 0.99995])
def test_a_planner_whose_clock_is_offset_or_drifts_follows_the_edges_clock(ahead: int, rate: float) -> None:
    pair = EdgePlannerSimulation(planner_ahead=ahead, rate=rate)
    pair.connect()
    send_requests(pair, 5000)
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
    send_requests(pair, 2000)
    pair.run(50)
    assert (pair.session.version, pair.differences_once_settled(), pair.confirmed_replicas) == (1, [], [])


def test_a_link_without_a_common_version_is_refused_with_a_reason() -> None:
    pair = EdgePlannerSimulation()
    pair.connect()
    with pytest.raises(LinkProtocolError, match="no common version: 3 to 4"):
        pair.planner.receive_message(fr.Hello(3, 4, "edge", "x", ""))
    with pytest.raises(LinkProtocolError, match="speaks unsupported version 9"):
        pair.session.receive_message(fr.Welcome(9, "p", "x", -1))


def test_a_restarted_edge_gets_the_replicas_that_its_predecessor_retained() -> None:
    pair = EdgePlannerSimulation()
    pair.planner.find_earlier_replicas = lambda name: (
        [("r0", "m0", 2, 1000.0, 50.0)] if name == "edge" else []
    )
    pair.connect()
    pair.run(100)
    assert [list(replica) for replica in pair.confirmed_replicas] == [["r0", "m0", 2, 1000.0, 50.0]]


def test_a_snapshot_of_another_policy_version_is_restored_where_fields_match() -> None:
    pair = EdgePlannerSimulation()
    send_requests(pair, 1000)
    state, _ = pair.planner_client._take_snapshot()
    packed = msgspec.msgpack.decode(encode_snapshot(state))
    packed["brain"]["a new field"] = 7
    del packed["brain"]["rate"]
    packed["models"][0][5]["latency"] = {"bins": [1.0], "total": 1.0, "sum": 1.0}
    pair.planner.receive_message(fr.Hello(1, 2, "edge", "x", "another"))
    pair.planner.receive_message(fr.Lease(1, 1000))
    pair.planner.receive_message(fr.Snapshot(1, pair.now, msgspec.Raw(msgspec.msgpack.encode(packed))))
    assert pair.planner.policy_replica is not None
    del packed["models"][0][5:]
    with pytest.raises(LinkProtocolError, match="the state can not be read"):
        pair.planner.receive_message(fr.Snapshot(2, pair.now, msgspec.Raw(msgspec.msgpack.encode(packed))))


class LinkFaults(RuleBasedStateMachine):
    """Applies faults to the link in any order. The load budget holds over all planners, epochs are unique,
    only decisions of the latest epoch are applied, and the outbox stays within its limit."""

    def __init__(self) -> None:
        super().__init__()
        self.pair = EdgePlannerSimulation(outbox_bytes=20_000, lease_ms=800)

    @rule(count=st.integers(1, 15), function=st.integers(0, 5))
    def send_a_burst_of_requests(self, count: int, function: int) -> None:
        for _ in range(count):
            self.pair.submit_request(function)
        self.pair.run(10)

    @rule(duration_ms=st.sampled_from([20, 100, 400, 1500]))
    def advance_time(self, duration_ms: int) -> None:
        self.pair.run(duration_ms)

    @rule()
    def connect(self) -> None:
        if self.pair.connection is None:
            self.pair.connect()

    @rule()
    def lose_connection(self) -> None:
        self.pair.disconnect()

    @rule()
    def kill_planner(self) -> None:
        self.pair.kill_planner()

    @rule(duration_ms=st.sampled_from([100, 700, 2000]))
    def stall_planner(self, duration_ms: int) -> None:
        self.pair.stalled_until_ns = self.pair.now + duration_ms * NS_PER_MS

    @rule()
    def send_update_of_an_earlier_epoch(self) -> None:
        """A planner of the previous epoch requests loads."""
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
    def lose_a_frame_to_the_planner(self) -> None:
        wire = self.pair.connection
        if wire is not None and len(wire.to_planner) > 2:
            wire.to_planner.pop(1)

    @invariant()
    def load_budget_holds(self) -> None:
        assert self.pair.load_requests_over_budget() == 0

    @invariant()
    def only_the_latest_epoch_is_applied(self) -> None:
        assert all(epoch == sender for epoch, sender in self.pair.applied_epochs)
        assert self.pair.epochs == sorted(set(self.pair.epochs))

    @invariant()
    def outbox_is_within_its_limit(self) -> None:
        assert self.pair.session.report_status().outbox_bytes <= 20_000

    def teardown(self) -> None:
        """Checks that without faults the planner catches up and every request ends."""
        pair = self.pair
        pair.stalled_until_ns = 0
        for _ in range(3):
            if pair.connection is None:
                pair.connect()
            pair.run(1500)
        pair.run(4000)
        assert pair.differences_once_settled() == []
        assert pair.closed_requests == len(pair.request_times)


TestLinkFaults = LinkFaults.TestCase
TestLinkFaults.settings = settings(
    max_examples=100,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
