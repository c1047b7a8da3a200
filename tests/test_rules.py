"""The five rules of the policy, and invalid input of the simulator's adapter."""

import json
import subprocess
import sys

import pytest

from martenlead.policy import types
from tests.play import MS, NON_IDEMPOTENT, WITH_KEY, ScriptedDispatcher, check_trace


def test_a_request_gets_one_final_response_by_its_deadline() -> None:
    """One is rejected before its deadline although its worker is silent, one without time at once."""
    dispatcher = ScriptedDispatcher(workers="a")
    dispatcher.serve_requests(1)
    dispatcher.send_request("silent", timeout_ms=1000)
    dispatcher.advance_to(2000)
    dispatcher.end_attempt(types.Result.NO_RESPONSE)
    dispatcher.send_request("too late", timeout_ms=0)
    check_trace(dispatcher, "in_time")


@pytest.mark.parametrize(
    ("tick_ms", "timeout_ms", "is_sent", "ends_within_ms"),
    [
        (2, 300, True, 300 - 2 * 2),
        (100, 300, True, 300 - 2 * 50),  # the margin takes half of its time
        (100, 4000, True, 4000 - 2 * 100),
        (100, 40, True, 40 - 2 * 10),
        (100, 30, False, 0),  # no request completes in so little time
        (10, 30, False, 0),
    ],
)
def test_the_margin_before_a_deadline_leaves_a_request_half_of_its_time(
    tick_ms: int, timeout_ms: int, is_sent: bool, ends_within_ms: int
) -> None:
    """The margin is three ticks; with long ticks it would take all of a short request's time."""
    dispatcher = ScriptedDispatcher(tick_ns=tick_ms * MS, may_cancel=False, attempt_limit=1)
    dispatcher.send_request("t", timeout_ms=timeout_ms)
    assert bool(dispatcher.attempts) is is_sent
    dispatcher.advance_to(ends_within_ms - 1)
    assert any("turned back" in line for line in dispatcher.trace) is not is_sent
    dispatcher.advance_to(ends_within_ms)
    assert any("turned back" in line for line in dispatcher.trace)


def test_no_effect_twice() -> None:
    """Retries after an error, an unreachable worker and a lost connection, as the request class allows."""
    dispatcher = ScriptedDispatcher(workers="abde")
    for request_class, result in (
        (NON_IDEMPOTENT, types.Result.ERROR),
        (NON_IDEMPOTENT, types.Result.UNREACHABLE),
        (WITH_KEY, types.Result.CONNECTION_LOST),
    ):
        dispatcher.serve_requests(12)
        dispatcher.send_request(f"{request_class.effect.value} {result.value}", request_class=request_class)
        dispatcher.end_attempt(result)
        if dispatcher.attempts:
            dispatcher.advance_to(dispatcher.policy.state.now_ns // 1_000_000 + 10)
            dispatcher.end_attempt()
    check_trace(dispatcher, "no_effect_twice")


def test_no_second_attempt_in_flight_without_hedging() -> None:
    """Without hedging, a retry follows only once the first attempt was cancelled."""
    for may_hedge in (False, True):
        dispatcher = ScriptedDispatcher(may_hedge=may_hedge)
        dispatcher.serve_requests(12)
        for worker in dispatcher.workers.values():
            worker.retry_budget = 5.0
            dispatcher.policy.state.replica(dispatcher.functions["m"], worker).is_loaded = True
            dispatcher.policy.state.replica(
                dispatcher.functions["m"], worker
            ).last_used_ns = dispatcher.policy.state.now_ns
        dispatcher.send_request("t")
        dispatcher.advance_to(2500)
        if not may_hedge:
            dispatcher.end_attempt(types.Result.CANCELLED)
        check_trace(dispatcher, f"twice_out_{may_hedge}")


def test_a_retry_needs_retry_budget() -> None:
    """No worker has budget for a retry, so the request is rejected after one unreachable worker."""
    dispatcher = ScriptedDispatcher()
    for worker in dispatcher.workers.values():
        worker.retry_budget = 0.0
    dispatcher.send_request("t")
    dispatcher.end_load_requests()
    dispatcher.advance_to(50)
    dispatcher.end_attempt(types.Result.UNREACHABLE)
    check_trace(dispatcher, "credit")


def test_a_draining_worker_gets_no_new_work() -> None:
    """A request is rejected while the only worker drains."""
    dispatcher = ScriptedDispatcher(workers="a")
    dispatcher.serve_requests(5)
    dispatcher.list_worker("a", types.WorkerState.DRAINING)
    dispatcher.send_request("t1")
    dispatcher.advance_to(9000)
    dispatcher.list_worker("a", types.WorkerState.UP, started_ms=9000)
    check_trace(dispatcher, "drain")


def test_a_cold_worker_gets_a_part_of_its_requests() -> None:
    """Of ten requests a second, a worker that has just started gets the part that its ramp allows."""
    dispatcher = ScriptedDispatcher(workers="a")
    dispatcher.serve_requests(60)
    dispatcher.list_worker("a", started_ms=2900)
    for ms in range(3100, 4000, 100):
        dispatcher.advance_to(ms)
        dispatcher.send_request(f"t{ms}", timeout_ms=200)
    check_trace(dispatcher, "cold")


def count_sent(dispatcher: ScriptedDispatcher) -> None:
    """Sends forty requests, and leaves only the number of attempts in the trace."""
    sent = 0
    for ms in range(9200, 13_200, 100):
        dispatcher.advance_to(ms)
        before = len(dispatcher.attempts)
        dispatcher.send_request(f"t{ms}", timeout_ms=200)
        sent += len(dispatcher.attempts) - before
    dispatcher.trace = [f"{sent} of 40"]


def test_slow_start_refers_to_the_peak_rate() -> None:
    """Fewer requests succeed during a release. By that rate, new workers got hardly any requests."""
    dispatcher = ScriptedDispatcher(workers="a", keep_alive_ns=4_000_000_000)
    dispatcher.serve_requests(60)
    for n in range(120):  # the demand stays the same, and one of twenty succeeds
        dispatcher.send_request("-", timeout_ms=49)
        dispatcher.advance_to(3000 + 50 * (n + 1))
        dispatcher.end_attempt(types.Result.CANCELLED if n % 20 else types.Result.SUCCEEDED)
    dispatcher.list_worker("a", started_ms=9100)
    count_sent(dispatcher)
    check_trace(dispatcher, "cold_best")


def test_slow_start_refers_to_no_more_than_present_demand() -> None:
    """Traffic that moved to other dispatchers is counted by them; an old peak would count it twice."""
    dispatcher = ScriptedDispatcher(workers="a", keep_alive_ns=4_000_000_000)
    dispatcher.serve_requests(60)
    dispatcher.serve_requests(6, interval_ms=1000)
    dispatcher.list_worker("a", started_ms=9100)
    count_sent(dispatcher)
    check_trace(dispatcher, "cold_moved")


def test_a_new_dispatcher_sends_a_cold_worker_few_requests_until_it_knows_a_rate() -> None:
    """One request in some seconds. Without any, it would never get to know a rate."""
    dispatcher = ScriptedDispatcher(workers="a")
    dispatcher.list_worker("a", started_ms=1)
    first = []
    for ms in range(100, 30_000, 100):
        dispatcher.advance_to(ms)
        dispatcher.send_request(f"t{ms}", timeout_ms=50)
        if dispatcher.attempts and not first:
            first.append(dispatcher.policy.state.now_ns)
    dispatcher.trace = [f"first at {first[0] // MS} ms"]
    check_trace(dispatcher, "cold_begun")


def test_a_start_in_the_future_counts_as_a_start_just_now() -> None:
    """The worker may get 5 requests a second then: 2.5 times a fifth of the 20 a second that succeeded,
    halved since it may have half the capacity that its weight says."""
    dispatcher = ScriptedDispatcher(workers="a")
    dispatcher.serve_requests(60)
    dispatcher.raise_concurrency_limits()
    dispatcher.list_worker("a", started_ms=36_000_000)
    for ms in range(3020, 4020, 20):
        dispatcher.advance_to(ms)
        dispatcher.send_request(f"t{ms}", timeout_ms=200)
        while dispatcher.attempts and dispatcher.attempts[0].sent_ns < (ms - 100) * MS:
            dispatcher.end_attempt(index=0)
    sent = sum(" -> a" in line for line in dispatcher.trace)
    assert 4 <= sent <= 6


def test_a_request_whose_known_workers_are_full_may_go_to_a_worker_just_started() -> None:
    """A load there evicts nothing, since the worker has no replicas yet; at any other worker it could."""
    dispatcher = ScriptedDispatcher(workers="abc", dispatchers=2, may_request_loads=False)
    dispatcher.serve_requests(60)
    holder = next(iter(c.worker for c in dispatcher.functions["m"].replicas.values() if c.is_loaded))
    holder.concurrency_limit, holder.warm_in_flight = 1.0, 1
    dispatcher.send_request("t1", timeout_ms=200)
    new = "abc"[("abc".index(dispatcher.names[holder]) + 1) % 3]
    dispatcher.list_worker(new, started_ms=2500)
    for ms in range(3100, 4000, 100):
        dispatcher.advance_to(ms)
        dispatcher.send_request(f"t{ms}", timeout_ms=200)
    check_trace(dispatcher, "new_runner")


def test_many_dispatchers_do_not_all_send_a_cold_worker_a_first_request_at_once() -> None:
    """Each of 90 dispatchers waits for a random time before its first request."""
    first = 0
    for seed in range(90):
        dispatcher = ScriptedDispatcher(workers="a", seed=seed, dispatchers=90)
        dispatcher.raise_concurrency_limits()
        dispatcher.serve_requests(20, interval_ms=100)
        dispatcher.list_worker("a", started_ms=2000)
        dispatcher.send_request("t", timeout_ms=200)
        first += len(dispatcher.attempts)
    dispatcher.trace = [f"{first} of 90 at once"]
    check_trace(dispatcher, "cold_many")


def test_the_load_budget_limits_load_requests() -> None:
    """Of two load requests in a window, the part for new replicas is less than one, so none is made."""
    dispatcher = ScriptedDispatcher(
        load_window_ns=10_000 * MS, free_loads_per_window=2, loads_per_request=0.0
    )
    for n in range(4):
        dispatcher.send_request(f"t{n}", "mnop"[n])
        dispatcher.end_load_requests()
        dispatcher.advance_to(20 * n + 20)
        dispatcher.send_request(f"u{n}", "mnop"[n])
    check_trace(dispatcher, "ration")


def test_a_load_request_counts_until_a_window_after_its_latest_arrival() -> None:
    """Load requests to a worker that cannot be reached arrive six seconds late, even the one that is answered
    then. With the next two, four would arrive in one window."""
    dispatcher = ScriptedDispatcher(
        load_window_ns=10_000 * MS, free_loads_per_window=2, loads_per_request=0.0
    )
    worker, functions = (
        dispatcher.workers["a"],
        [dispatcher.policy.new_function(types.FunctionFacts(n, 2, 3000.0)) for n in range(2)],
    )
    first, second = (
        dispatcher.policy.scaling.request_load(dispatcher.policy.state.replica(function, worker))
        for function in functions
    )
    dispatcher.advance_to(6000)
    # answered late, with the replica loaded already
    dispatcher.policy.record_load_end(first, types.Result.SUCCEEDED, 1)
    dispatcher.advance_to(6500)
    dispatcher.policy.record_load_end(second, types.Result.NO_RESPONSE, 0)  # may have arrived only now
    for time_ms in (10_100, 16_000):
        dispatcher.advance_to(time_ms)
        assert not dispatcher.policy.load_budget.allows(worker)
    dispatcher.advance_to(16_100)
    assert [dispatcher.policy.load_budget.allows(worker) for _ in range(2)] == [True, True]
    dispatcher.policy.scaling.request_load(dispatcher.policy.state.replica(functions[0], worker))
    assert not dispatcher.policy.load_budget.allows(worker)
    dispatcher.advance_to(16_600)
    assert dispatcher.policy.load_budget.allows(worker)
    dispatcher.advance_to(26_300)  # a load request without an end counts for two windows, not forever
    dispatcher.policy.scaling.request_load(dispatcher.policy.state.replica(functions[1], worker))
    assert not dispatcher.policy.load_budget.allows(worker)
    dispatcher.advance_to(36_200)
    assert (
        dispatcher.policy.load_budget.allows(worker),
        len(dispatcher.policy.load_budget.loads_in_flight),
    ) == (True, 1)


def test_without_a_load_budget_no_times_are_kept() -> None:
    """Times of requests and load requests would otherwise accumulate."""
    dispatcher = ScriptedDispatcher()
    for n in range(50):
        dispatcher.policy.scaling.request_load(
            dispatcher.policy.state.replica(
                dispatcher.policy.new_function(types.FunctionFacts(n, 2, 3000.0)), dispatcher.workers["a"]
            )
        )
        dispatcher.send_request(f"t{n}")
    assert (
        len(dispatcher.policy.load_budget.load_times_ns),
        len(dispatcher.policy.load_budget.loads_in_flight),
        len(dispatcher.policy.load_budget.request_times_ns),
    ) == (0, 0, 1)


def test_cancelled_requests_do_not_raise_the_load_budget() -> None:
    """Forty cancelled requests allow no load request, four that ended normally allow one."""
    dispatcher = ScriptedDispatcher(
        load_window_ns=10_000 * MS, free_loads_per_window=0, loads_per_request=0.3, may_request_loads=False
    )
    for n in range(40):
        dispatcher.advance_to(10 * n)
        request = dispatcher.send_request(f"t{n}")
        if dispatcher.attempts:
            dispatcher.engine.close_request(request)
            dispatcher.end_attempt()
    assert (
        len(dispatcher.policy.load_budget.request_times_ns),
        dispatcher.policy.load_budget.allows(dispatcher.workers["a"]),
    ) == (0, False)
    for n in range(4):
        dispatcher.advance_to(500 + 50 * n)
        dispatcher.send_request(f"u{n}")
        dispatcher.end_attempt()
    assert (
        len(dispatcher.policy.load_budget.request_times_ns),
        dispatcher.policy.load_budget.allows(dispatcher.workers["a"]),
    ) == (4, True)


def test_a_load_request_may_arrive_as_late_as_its_connection_opens() -> None:
    """It counts against the requests before its arrival, of which some may have left the window by then."""
    dispatcher = ScriptedDispatcher(
        load_window_ns=10_000 * MS,
        free_loads_per_window=0,
        loads_per_request=0.5,
        connect_timeout_ns=1000 * MS,
        may_request_loads=False,
    )
    for n in range(2):
        dispatcher.send_request(f"t{n}")
    dispatcher.advance_to(8900)
    assert dispatcher.policy.load_budget.allows(dispatcher.workers["a"])
    dispatcher.advance_to(9100)
    assert not dispatcher.policy.load_budget.allows(dispatcher.workers["a"])


def test_a_client_that_leaves_ends_its_request() -> None:
    """Its attempt in flight is not cancelled."""
    dispatcher = ScriptedDispatcher()
    request = dispatcher.send_request("t")
    dispatcher.end_load_requests()
    dispatcher.advance_to(50)
    dispatcher.engine.close_request(request)
    check_trace(dispatcher, "left")


@pytest.mark.parametrize("state", [None, types.WorkerState.DRAINING])
def test_a_request_without_a_usable_worker_is_rejected(state: types.WorkerState | None) -> None:
    """No worker is listed, or the only one drains."""
    dispatcher = ScriptedDispatcher(workers="a" if state else "")
    if state:
        dispatcher.list_worker("a", state)
    dispatcher.send_request("t1")
    check_trace(dispatcher, f"nowhere_{state.value if state else 'empty'}")


def test_a_function_that_fits_no_worker() -> None:
    """All workers refuse the function for lack of capacity."""
    dispatcher = ScriptedDispatcher()
    dispatcher.send_request("t1")
    dispatcher.end_load_requests()
    dispatcher.advance_to(20)
    while dispatcher.attempts:
        dispatcher.end_attempt(types.Result.AT_CAPACITY)
    check_trace(dispatcher, "fits_nowhere")


def run_adapter(*lines: str) -> subprocess.CompletedProcess[str]:
    """Runs the simulator's adapter with these lines on standard input."""
    command = [sys.executable, "-m", "martenlead.simulator_adapter"]
    return subprocess.run(command, input="\n".join(lines) + "\n", capture_output=True, text=True, check=False)


def test_events_of_unknown_requests_are_ignored_and_settings_may_be_absent() -> None:
    """Results, loads and requests that match nothing lead to no reply; a request is sent all the same."""
    profile = {
        "allowed": {"attempts-cap": 2},
        "balancers": 1,
        "granularity": 0.002,
        "classes": [{"name": "c", "on-time": 0.5, "effect": "read_like"}],
        "rules": {"cold-from": 0.2, "cold": 9.0, "fall-multiple": 2.0},
    }
    hello = {"msg": "hello", "dispatcher": 0, "seed": 1, "profile-data": profile}
    worker_list = {"msg": "update", "dispatcher": 0, "form": "C", "items": [{"runner": "1.1.1.1:1"}]}
    unknown = [
        {"msg": "expired", "dispatcher": 0, "ref": "0" * 16},
        {
            "msg": "closed-attempt",
            "dispatcher": 0,
            "ref": "0" * 16,
            "reason": "served",
            "runner": "1.1.1.1:1",
        },
        {"msg": "in-place", "dispatcher": 0, "runner": "1.1.1.1:1", "fn": "1" * 16, "reason": "served"},
        {"msg": "request", "dispatcher": 7, "ref": "0" * 16},
    ]
    request = {
        "msg": "request",
        "dispatcher": 0,
        "ref": "1" * 16,
        "fn": "1" * 16,
        "band": "c",
        "give-up-at": 9.0,
    }
    batches = ([hello, worker_list], unknown, [request])
    ended = run_adapter(*(json.dumps({"clock": 1.0 + n, "happened": b}) for n, b in enumerate(batches)))
    replies = [[a["msg"] for a in json.loads(line)["out"]] for line in ended.stdout.splitlines()]
    assert (replies, ended.returncode) == ([["remind"], [], ["issue"]], 0)


def test_invalid_lines_and_settings_end_the_program() -> None:
    """Each with one line that gives the reason; events of an unknown kind are ignored."""
    unknown = {"clock": 1.0, "happened": [{"msg": "news", "dispatcher": 0, "what": 1}], "more": 2}
    missing = {"clock": 1.0, "happened": [{"msg": "hello", "dispatcher": 0, "seed": 1, "profile-data": {}}]}
    ended = run_adapter(json.dumps(unknown), json.dumps(missing), "[1")
    replies = [json.loads(line) for line in ended.stdout.splitlines()]
    refusal = "settings that can't be used: Object missing required field `allowed`"
    assert replies == [{"out": []}, {"out": [{"msg": "panic", "dispatcher": 0, "reason-text": refusal}]}]
    assert (ended.returncode, ended.stderr) == (1, refusal + "\n")
    for line in ("[1", '{"clock": 1.0, "happened": [7]}', '{"clock": 1e308, "happened": []}'):
        ended = run_adapter(line)
        assert ended.returncode == 1
        assert ended.stderr.startswith("not a batch: ") and ended.stderr.count("\n") == 1


def test_a_release_of_all_functions_with_little_traffic() -> None:
    """All replicas are unloaded, and no change of the list reports it. Load requests stay within the budget,
    each function is served again by its next requests, and no worker gets all requests."""
    dispatcher = ScriptedDispatcher(
        workers="abcde",
        load_window_ns=10_000 * MS,
        free_loads_per_window=2,
        loads_per_request=0.3,
        dispatchers=3,
    )
    for function in "mnop":
        dispatcher.serve_requests(6, function, interval_ms=300)
    dispatcher.advance_to(20_000)
    load_times_ms: list[int] = []
    attempts_by_place: dict[str, int] = {}
    for n in range(40):  # one request per 0.5 s, each function one per 2 s
        dispatcher.advance_to(20_000 + 500 * n)
        before = len(dispatcher.load_requests)
        dispatcher.send_request(f"t{n}", "mnop"[n % 4])
        load_times_ms += [dispatcher.policy.state.now_ns // MS] * (len(dispatcher.load_requests) - before)
        attempt = dispatcher.attempts[-1]
        place = f"{dispatcher.names[attempt.request.function]} at {dispatcher.names[attempt.worker]}"
        attempts_by_place[place] = attempts_by_place.get(place, 0) + 1
        dispatcher.end_load_requests()
        dispatcher.end_attempt(
            warmth=types.Warmth.STARTED_LOAD if attempts_by_place[place] == 1 else types.Warmth.WARM
        )
    for end_ms in load_times_ms:
        requests = sum(end_ms - 10_000 < 20_000 + 500 * n <= end_ms for n in range(40))
        assert sum(end_ms - 10_000 < t <= end_ms for t in load_times_ms) <= 2 + 0.3 * requests
    # 20 places are possible; each function is served where it is first loaded, and stays there
    assert len(attempts_by_place) <= 8
    assert max(attempts_by_place.values()) < 20
