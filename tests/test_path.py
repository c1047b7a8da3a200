"""The ordinary path of the design, and the failures found on it."""

from martenlead.policy import types as io
from tests.play import MS, ONCE, POST, Play, check


def test_first_sight_goes_by_the_shared_order_then_sticks() -> None:
    play = Play()
    play.task("t1")
    play.to(100)
    play.answer()
    play.task("t2")
    play.stands()
    play.to(200)
    play.answer()
    check(play, "first_sight")


def test_copies_are_added_renewed_and_released() -> None:
    play = Play()
    play.served(3, every=300)
    for ms in range(1000, 12_000, 500):
        play.to(ms)
        play.stands()
        if ms < 6000:
            play.served(9, every=20)
    check(play, "check")


def test_burst_runs_the_check_at_once() -> None:
    play = Play()
    play.served(60, every=100)
    play.to(8500)
    play.stands()
    for n in range(12):
        play.task(f"t{n}")
        play.stands()
    check(play, "burst")


def test_one_off_models_get_no_copy() -> None:
    play = Play()
    play.task("t1", "x")
    play.stands()
    play.to(1500)
    play.answer(warmth=io.Warmth.STARTED_LOAD)
    play.to(6000)
    check(play, "one_off")


def test_full_holders_make_copies_grow_elsewhere_without_a_load_by_task() -> None:
    play = Play()
    play.served(5, every=400)
    play.to(2500)
    play.stands()
    for n in range(3):
        play.task(f"t{n}")
        play.answer(io.Result.AT_CAPACITY)
    play.to(4500)
    play.stands()
    check(play, "full")


def test_lower_quartile_where_warmth_is_not_told() -> None:
    play = Play(tells_warmth=False)
    play.served(6, every=100)
    play.task("slow")
    play.to(3000)
    play.answer(warmth=io.Warmth.UNKNOWN)
    play.say(f"run latency {play.policy.state.latencies.warm_run_ns(play.models['m'].latency) // MS}")
    check(play, "quartile")


def test_a_late_runner_narrows_and_tasks_over_a_share_go_first() -> None:
    customer = io.Tenant(1.0)
    play = Play(runners="a")
    play.policy.tenant_shares.requests_per_second[customer] = 1e9
    play.served(1)
    for n in range(9):
        play.task(f"own{n}")
    play.task("over", customer=customer)
    for _ in range(9):
        play.to(play.policy.state.now_ns // MS + 700)
        play.answer(which=0)
    play.say(f"width {play.runners['a'].concurrency_limit:.1f}")
    check(play, "share")


def believed(play: Play) -> None:
    copies = play.models["m"].replicas.values()
    warm = [play.names[c.worker] for c in copies if play.policy.state.is_warm(c)]
    play.say(f"believed in: {' '.join(warm) or 'none'}")


def test_belief_ends_with_the_keep_alive() -> None:
    play = Play(runners="abcd")
    play.task("t1")
    play.to(20)
    play.answer()
    for ms in (900, 1100, 7900, 8100):
        play.to(ms)
        believed(play)
    check(play, "belief")


def test_new_copies_take_a_part_of_the_ration_only() -> None:
    play = Play(
        runners="abcdefgh",
        load_window_ns=10_000 * MS,
        free_loads_per_window=8,
        loads_per_request=0.0,
        dispatchers=50,
    )
    for n in range(9):
        play.task(f"t{n}")
        play.stands()
    check(play, "growth")


def test_one_that_carries_far_more_than_its_part_is_not_the_mean_of_many() -> None:
    for quota in (1e9, 100.0):
        play = Play(dispatchers=50, rate_limit_per_second=quota)
        play.wide()
        play.served(60)
        one_of = play.policy.state.traffic.equivalent_dispatchers
        play.say(f"a quota of {quota:.0f}: counts as one of {one_of:.0f}")
        check(play, f"peers_{quota:.0f}")


def test_repeats_and_tasks_over_a_share_do_not_swell_the_rate() -> None:
    customer = io.Tenant(1.0)
    play = Play()
    play.policy.tenant_shares.requests_per_second[customer] = 1e9
    for n in range(4):
        play.task(f"over{n}", customer=customer)
    play.task("own")
    play.say(f"counted in R: {play.models['m'].new_requests[1]}")
    check(play, "not_in_rate")


def test_repeats_leave_a_runner_that_narrows() -> None:
    play = Play(runners="a")
    play.runners["a"].concurrency_limit = 4.0
    play.task("repeat", again=True)
    play.task("fresh")
    check(play, "repeats")


def test_of_many_dispatchers_each_has_less_than_one_task_out() -> None:
    play = Play(runners="a", dispatchers=50)
    for ms in range(0, 800, 100):
        play.to(ms)
        play.task(f"t{ms}")
        if play.hand_offs:
            play.to(ms + 90)
            play.answer()
    check(play, "narrow")


def test_a_runner_that_fails_at_once_gets_trials_only() -> None:
    play = Play()
    play.wide()

    def answer() -> None:
        bad = play.hand_offs[-1].worker is play.runners["a"]
        play.answer(io.Result.ERROR if bad else io.Result.SUCCEEDED)

    for n in range(8):
        play.task(f"t{n}", offering=ONCE)
        play.stands()
        play.to(20 * n + 2)
        answer()
        play.to(20 * n + 20)
    play.runners["b"].is_listed = play.runners["c"].is_listed = False  # nobody else is there
    for ms in (170, 1400, 1410):
        play.to(ms)
        play.task(f"at {ms}", offering=ONCE)
        if play.hand_offs:
            answer()
    check(play, "failing")


def test_a_task_that_fails_at_two_runners_is_given_up_and_blames_neither() -> None:
    play = Play()
    play.wide()
    for runner in play.runners.values():
        runner.retry_budget = 10.0
    for n in range(6):
        play.task(f"t{n}")
        play.stands()
        while play.hand_offs:
            play.answer(io.Result.ERROR)
        play.to(1000 * n + 100)
    assert all(max(r.error_shares.values(), default=0) < 0.2 for r in play.runners.values())
    assert all(sum(f" t{n} -> " in line for line in play.lines) == 2 for n in range(6))


def test_runners_that_are_gone_and_models_out_of_use_are_forgotten() -> None:
    play = Play()
    play.served(5, "x")
    play.served(5, "m")
    first = play.policy.state.workers[0]
    for name in "abc":
        play.list_one(name, io.WorkerState.GONE)
    play.to(8000)
    assert all(not model.replicas and model.home is None for model in play.policy.state.functions)
    for name in "abc":
        play.list_one(name)
    play.to(200_000)
    assert not play.policy.state.functions
    play.task("t1", "x")
    play.stands()
    assert list(play.policy.state.functions) == [play.models["x"]]
    assert first in play.policy.state.workers


def test_an_error_goes_to_the_same_runner_once_more_where_no_other_may_have_it() -> None:
    play = Play(runners="ade")  # one in the east, two in the west
    play.wide()
    play.runners["d"].is_listed = play.runners["e"].is_listed = False
    play.task("warms", offering=POST)
    play.stands()
    play.answer()
    play.runners["d"].is_listed = play.runners["e"].is_listed = True
    for runner in play.runners.values():
        runner.retry_budget = 10.0
    play.task("twice", offering=POST)
    for _ in range(2):
        play.answer(io.Result.ERROR)
    play.task("once", offering=ONCE)
    play.answer(io.Result.ERROR)
    assert [line.split(maxsplit=1)[1] for line in play.lines if "warms" not in line] == [
        "twice -> a",
        "twice error at a",
        "twice -> a",
        "twice error at a",
        "twice scrapped",
        "once -> a",
        "once error at a",
        "once scrapped",
    ]


def test_errors_that_come_at_once_are_one() -> None:
    play = Play()
    play.wide()
    for n in range(12):
        play.task(f"t{n}", offering=ONCE)
        play.stands()
        play.answer(io.Result.ERROR)
        play.to(n)
    assert {line[-1] for line in play.lines if "->" in line} == {"a"}
    assert not play.policy.outliers.is_failing(play.runners["a"])
