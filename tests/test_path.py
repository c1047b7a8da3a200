"""The usual course of requests, replicas and limits, and failures that were found in it."""

from martenlead.policy import types
from tests.play import MS, NON_IDEMPOTENT, WITH_KEY, ScriptedDispatcher, check_trace


def test_a_first_request_goes_by_the_shared_ranking_and_later_ones_stay() -> None:
    """The second request goes to the worker where the first one loaded the function."""
    dispatcher = ScriptedDispatcher()
    dispatcher.send_request("t1")
    dispatcher.advance_to(100)
    dispatcher.end_attempt()
    dispatcher.send_request("t2")
    dispatcher.end_load_requests()
    dispatcher.advance_to(200)
    dispatcher.end_attempt()
    check_trace(dispatcher, "first_sight")


def test_replicas_are_added_renewed_and_released() -> None:
    """Requests for six seconds, and none after that."""
    dispatcher = ScriptedDispatcher()
    dispatcher.serve_requests(3, interval_ms=300)
    for ms in range(1000, 12_000, 500):
        dispatcher.advance_to(ms)
        dispatcher.end_load_requests()
        if ms < 6000:
            dispatcher.serve_requests(9, interval_ms=20)
    check_trace(dispatcher, "check")


def test_a_burst_runs_the_check_at_once() -> None:
    """Twelve requests at the same time are spread over the three workers."""
    dispatcher = ScriptedDispatcher()
    dispatcher.serve_requests(60, interval_ms=100)
    dispatcher.advance_to(8500)
    dispatcher.end_load_requests()
    for n in range(12):
        dispatcher.send_request(f"t{n}")
        dispatcher.end_load_requests()
    check_trace(dispatcher, "burst")


def test_one_off_functions_get_no_replica() -> None:
    """A function with a single request is not retained."""
    dispatcher = ScriptedDispatcher()
    dispatcher.send_request("t1", "x")
    dispatcher.end_load_requests()
    dispatcher.advance_to(1500)
    dispatcher.end_attempt(warmth=types.Warmth.STARTED_LOAD)
    dispatcher.advance_to(6000)
    check_trace(dispatcher, "one_off")


def test_full_workers_cause_replicas_elsewhere_but_no_load_by_a_request() -> None:
    """Workers refuse three requests; after that, the check adds a replica at the third worker."""
    dispatcher = ScriptedDispatcher()
    dispatcher.serve_requests(5, interval_ms=400)
    dispatcher.advance_to(2500)
    dispatcher.end_load_requests()
    for n in range(3):
        dispatcher.send_request(f"t{n}")
        dispatcher.end_attempt(types.Result.AT_CAPACITY)
    dispatcher.advance_to(4500)
    dispatcher.end_load_requests()
    check_trace(dispatcher, "full")


def test_the_lower_quartile_is_used_if_responses_do_not_report_warmth() -> None:
    """One slow response, which may be a cold start, does not change the usual latency."""
    dispatcher = ScriptedDispatcher(tells_warmth=False)
    dispatcher.serve_requests(6, interval_ms=100)
    dispatcher.send_request("slow")
    dispatcher.advance_to(3000)
    dispatcher.end_attempt(warmth=types.Warmth.UNKNOWN)
    dispatcher.record(
        "run latency "
        f"{dispatcher.policy.state.latencies.warm_run_ns(dispatcher.functions['m'].latency) // MS}"
    )
    check_trace(dispatcher, "quartile")


def test_late_responses_lower_the_limit_and_requests_over_a_share_are_rejected_first() -> None:
    """Nine requests of a tenant within its share, one of a tenant over its share, all answered late."""
    tenant = types.Tenant(1.0)
    dispatcher = ScriptedDispatcher(workers="a")
    dispatcher.policy.tenant_shares.requests_per_second[tenant] = 1e9
    dispatcher.serve_requests(1)
    for n in range(9):
        dispatcher.send_request(f"own{n}")
    dispatcher.send_request("over", tenant=tenant)
    for _ in range(9):
        dispatcher.advance_to(dispatcher.policy.state.now_ns // MS + 700)
        dispatcher.end_attempt(index=0)
    dispatcher.record(f"width {dispatcher.workers['a'].concurrency_limit:.1f}")
    check_trace(dispatcher, "share")


def record_warm_replicas(dispatcher: ScriptedDispatcher) -> None:
    """Adds the workers with a warm replica of `m` to the trace."""
    replicas = dispatcher.functions["m"].replicas.values()
    warm = [dispatcher.names[c.worker] for c in replicas if dispatcher.policy.state.is_warm(c)]
    dispatcher.record(f"believed in: {' '.join(warm) or 'none'}")


def test_a_replica_counts_as_warm_until_its_keep_alive_ends() -> None:
    """Its worker may have unloaded it from then on."""
    dispatcher = ScriptedDispatcher(workers="abcd")
    dispatcher.send_request("t1")
    dispatcher.advance_to(20)
    dispatcher.end_attempt()
    for ms in (900, 1100, 7900, 8100):
        dispatcher.advance_to(ms)
        record_warm_replicas(dispatcher)
    check_trace(dispatcher, "belief")


def test_new_replicas_use_only_a_part_of_the_load_budget() -> None:
    """Nine requests of a new function cause two load requests, of eight in the budget."""
    dispatcher = ScriptedDispatcher(
        workers="abcdefgh",
        load_window_ns=10_000 * MS,
        free_loads_per_window=8,
        loads_per_request=0.0,
        dispatchers=50,
    )
    for n in range(9):
        dispatcher.send_request(f"t{n}")
        dispatcher.end_load_requests()
    check_trace(dispatcher, "growth")


def test_a_dispatcher_with_far_more_than_its_part_does_not_count_as_average() -> None:
    """It would take its rate times the number of dispatchers for the rate of the whole fleet."""
    for rate_limit in (1e9, 100.0):
        dispatcher = ScriptedDispatcher(dispatchers=50, rate_limit_per_second=rate_limit)
        dispatcher.raise_concurrency_limits()
        dispatcher.serve_requests(60)
        equivalent = dispatcher.policy.state.traffic.equivalent_dispatchers
        dispatcher.record(f"a quota of {rate_limit:.0f}: counts as one of {equivalent:.0f}")
        check_trace(dispatcher, f"peers_{rate_limit:.0f}")


def test_requests_over_a_share_do_not_count_in_the_expected_rate() -> None:
    """Four requests over a share and one within it count as one."""
    tenant = types.Tenant(1.0)
    dispatcher = ScriptedDispatcher()
    dispatcher.policy.tenant_shares.requests_per_second[tenant] = 1e9
    for n in range(4):
        dispatcher.send_request(f"over{n}", tenant=tenant)
    dispatcher.send_request("own")
    dispatcher.record(f"counted in R: {dispatcher.functions['m'].new_requests[1]}")
    check_trace(dispatcher, "not_in_rate")


def test_client_retries_are_rejected_at_a_lowered_limit() -> None:
    """Retries may not use a concurrency limit that was cut to its lower bound."""
    dispatcher = ScriptedDispatcher(workers="a")
    dispatcher.workers["a"].concurrency_limit = 4.0
    dispatcher.send_request("repeat", is_retry=True)
    dispatcher.send_request("fresh")
    check_trace(dispatcher, "repeats")


def test_each_of_many_dispatchers_has_less_than_one_attempt_in_flight() -> None:
    """A limit below one is kept by the time between attempts."""
    dispatcher = ScriptedDispatcher(workers="a", dispatchers=50)
    for ms in range(0, 800, 100):
        dispatcher.advance_to(ms)
        dispatcher.send_request(f"t{ms}")
        if dispatcher.attempts:
            dispatcher.advance_to(ms + 90)
            dispatcher.end_attempt()
    check_trace(dispatcher, "narrow")


def test_a_worker_that_fails_at_once_gets_trials_only() -> None:
    """Requests avoid it, until it is the only worker and a trial is due."""
    dispatcher = ScriptedDispatcher()
    dispatcher.raise_concurrency_limits()

    def end_attempt() -> None:
        """Ends the latest attempt, with an error at worker `a`."""
        is_failing = dispatcher.attempts[-1].worker is dispatcher.workers["a"]
        dispatcher.end_attempt(types.Result.ERROR if is_failing else types.Result.SUCCEEDED)

    for n in range(8):
        dispatcher.send_request(f"t{n}", request_class=NON_IDEMPOTENT)
        dispatcher.end_load_requests()
        dispatcher.advance_to(20 * n + 2)
        end_attempt()
        dispatcher.advance_to(20 * n + 20)
    dispatcher.workers["b"].is_listed = dispatcher.workers["c"].is_listed = False  # no other worker is left
    for ms in (170, 1400, 1410):
        dispatcher.advance_to(ms)
        dispatcher.send_request(f"at {ms}", request_class=NON_IDEMPOTENT)
        if dispatcher.attempts:
            end_attempt()
    check_trace(dispatcher, "failing")


def test_a_request_that_fails_at_two_workers_fails_and_counts_against_neither() -> None:
    """The error shares of all workers stay low, and no third worker is tried."""
    dispatcher = ScriptedDispatcher()
    dispatcher.raise_concurrency_limits()
    for worker in dispatcher.workers.values():
        worker.retry_budget = 10.0
    for n in range(6):
        dispatcher.send_request(f"t{n}")
        dispatcher.end_load_requests()
        while dispatcher.attempts:
            dispatcher.end_attempt(types.Result.ERROR)
        dispatcher.advance_to(1000 * n + 100)
    assert all(max(r.error_shares.values(), default=0) < 0.2 for r in dispatcher.workers.values())
    assert all(sum(f" t{n} -> " in line for line in dispatcher.trace) == 2 for n in range(6))


def test_workers_that_are_gone_and_unused_functions_are_forgotten() -> None:
    """Replicas go with their workers, functions some time after their last request."""
    dispatcher = ScriptedDispatcher()
    dispatcher.serve_requests(5, "x")
    dispatcher.serve_requests(5, "m")
    first = dispatcher.policy.state.workers[0]
    for name in "abc":
        dispatcher.list_worker(name, types.WorkerState.GONE)
    dispatcher.advance_to(8000)
    assert all(
        not function.replicas and function.home is None for function in dispatcher.policy.state.functions
    )
    for name in "abc":
        dispatcher.list_worker(name)
    dispatcher.advance_to(200_000)
    assert not dispatcher.policy.state.functions
    dispatcher.send_request("t1", "x")
    dispatcher.end_load_requests()
    assert list(dispatcher.policy.state.functions) == [dispatcher.functions["x"]]
    assert first in dispatcher.policy.state.workers


def test_an_error_is_retried_at_the_same_worker_if_no_other_may_have_the_request() -> None:
    """Workers of the other zone may not run a repeat; a non-idempotent request is not repeated at all."""
    dispatcher = ScriptedDispatcher(workers="ade")  # one in the east, two in the west
    dispatcher.raise_concurrency_limits()
    dispatcher.workers["d"].is_listed = dispatcher.workers["e"].is_listed = False
    dispatcher.send_request("warms", request_class=WITH_KEY)
    dispatcher.end_load_requests()
    dispatcher.end_attempt()
    dispatcher.workers["d"].is_listed = dispatcher.workers["e"].is_listed = True
    for worker in dispatcher.workers.values():
        worker.retry_budget = 10.0
    dispatcher.send_request("twice", request_class=WITH_KEY)
    for _ in range(2):
        dispatcher.end_attempt(types.Result.ERROR)
    dispatcher.send_request("once", request_class=NON_IDEMPOTENT)
    dispatcher.end_attempt(types.Result.ERROR)
    assert [line.split(maxsplit=1)[1] for line in dispatcher.trace if "warms" not in line] == [
        "twice -> a",
        "twice error at a",
        "twice -> a",
        "twice error at a",
        "twice scrapped",
        "once -> a",
        "once error at a",
        "once scrapped",
    ]


def test_errors_within_a_short_interval_count_as_one() -> None:
    """Twelve errors in a row, as from a faulty client, do not eject the worker."""
    dispatcher = ScriptedDispatcher()
    dispatcher.raise_concurrency_limits()
    for n in range(12):
        dispatcher.send_request(f"t{n}", request_class=NON_IDEMPOTENT)
        dispatcher.end_load_requests()
        dispatcher.end_attempt(types.Result.ERROR)
        dispatcher.advance_to(n)
    assert {line[-1] for line in dispatcher.trace if "->" in line} == {"a"}
    assert not dispatcher.policy.outliers.is_failing(dispatcher.workers["a"])
