"""The five rules' guards, and bad input."""

import json
import subprocess
import sys

import pytest

from martenlead.policy import types as io
from tests.play import MS, ONCE, POST, Play, check


def test_one_answer_in_time_and_at_once() -> None:
    play = Play(runners="a")
    play.served(1)
    play.task("silent", patience=1000)
    play.to(2000)
    play.answer(io.Result.NO_RESPONSE)
    play.task("too late", patience=0)
    check(play, "in_time")


@pytest.mark.parametrize(
    ("tick", "patience", "is_sent", "ends_within"),
    [
        (2, 300, True, 300 - 2 * 2),
        (100, 300, True, 300 - 2 * 50),  # half of its time is its own
        (100, 4000, True, 4000 - 2 * 100),
        (100, 40, True, 40 - 2 * 10),
        (100, 30, False, 0),  # nothing is that quick
        (10, 30, False, 0),
    ],
)
def test_what_is_kept_free_before_a_deadline_leaves_a_request_half_of_its_time(
    tick: int, patience: int, is_sent: bool, ends_within: int
) -> None:
    play = Play(tick_ns=tick * MS, may_cancel=False, attempt_limit=1)
    play.task("t", patience=patience)
    assert bool(play.hand_offs) is is_sent
    play.to(ends_within - 1)
    assert any("turned back" in line for line in play.lines) is not is_sent
    play.to(ends_within)
    assert any("turned back" in line for line in play.lines)


def test_no_effect_twice() -> None:
    play = Play(runners="abde")
    for offering, result in (
        (ONCE, io.Result.ERROR),
        (ONCE, io.Result.UNREACHABLE),
        (POST, io.Result.CONNECTION_LOST),
    ):
        play.served(12)
        play.task(f"{offering.effect.value} {result.value}", offering=offering)
        play.answer(result)
        if play.hand_offs:
            play.to(play.policy.state.now_ns // 1_000_000 + 10)
            play.answer()
    check(play, "no_effect_twice")


def test_never_two_out_where_forbidden() -> None:
    for twice in (False, True):
        play = Play(may_hedge=twice)
        play.served(12)
        for runner in play.runners.values():
            runner.retry_budget = 5.0
            play.policy.state.replica(play.models["m"], runner).is_loaded = True
            play.policy.state.replica(play.models["m"], runner).last_used_ns = play.policy.state.now_ns
        play.task("t")
        play.to(2500)
        if not twice:
            play.answer(io.Result.CANCELLED)
        check(play, f"twice_out_{twice}")


def test_a_further_hand_off_needs_credit() -> None:
    play = Play()
    for runner in play.runners.values():
        runner.retry_budget = 0.0
    play.task("t")
    play.stands()
    play.to(50)
    play.answer(io.Result.UNREACHABLE)
    check(play, "credit")


def test_nothing_for_a_draining_runner() -> None:
    play = Play(runners="a")
    play.served(5)
    play.list_one("a", io.WorkerState.DRAINING)
    play.task("t1")
    play.to(9000)
    play.list_one("a", io.WorkerState.UP, since=9000)
    check(play, "drain")


def test_a_cold_runner_gets_a_part() -> None:
    play = Play(runners="a")
    play.served(60)
    play.list_one("a", since=2900)
    for ms in range(3100, 4000, 100):
        play.to(ms)
        play.task(f"t{ms}", patience=200)
    check(play, "cold")


def count_sent(play: Play) -> None:
    """Forty tasks, of which the trace tells only how many were sent on."""
    sent = 0
    for ms in range(9200, 13_200, 100):
        play.to(ms)
        before = len(play.hand_offs)
        play.task(f"t{ms}", patience=200)
        sent += len(play.hand_offs) - before
    play.lines = [f"{sent} of 40"]


def test_what_a_cold_runner_gets_is_of_the_best_rate_seen() -> None:
    """In a release less is satisfied: of that, the new runners got next to nothing and stood idle."""
    play = Play(runners="a", keep_alive_ns=4_000_000_000)
    play.served(60)
    for n in range(120):  # as much is asked, and one of twenty is satisfied
        play.task("-", patience=49)
        play.to(3000 + 50 * (n + 1))
        play.answer(io.Result.CANCELLED if n % 20 else io.Result.SUCCEEDED)
    play.list_one("a", since=9100)
    count_sent(play)
    check(play, "cold_best")


def test_what_a_cold_runner_gets_is_of_no_more_than_is_asked_now() -> None:
    """Traffic that went to others is counted by them: the best rate of old would count it twice."""
    play = Play(runners="a", keep_alive_ns=4_000_000_000)
    play.served(60)
    play.served(6, every=1000)
    play.list_one("a", since=9100)
    count_sent(play)
    check(play, "cold_moved")


def test_one_just_begun_sends_a_cold_runner_little_until_it_knows_its_part() -> None:
    """One request in some seconds, and not none until it is warm: no rate would ever come to be known."""
    play = Play(runners="a")
    play.list_one("a", since=1)
    first = []
    for ms in range(100, 30_000, 100):
        play.to(ms)
        play.task(f"t{ms}", patience=50)
        if play.hand_offs and not first:
            first.append(play.policy.state.now_ns)
    play.lines = [f"first at {first[0] // MS} ms"]
    check(play, "cold_begun")


def test_a_start_told_as_in_the_future_is_one_just_made() -> None:
    """5 a second is what it may get then: 2.5 times a fifth of the 20 a second that were satisfied, halved
    as it may do half of what its weight says."""
    play = Play(runners="a")
    play.served(60)
    play.wide()
    play.list_one("a", since=36_000_000)
    for ms in range(3020, 4020, 20):
        play.to(ms)
        play.task(f"t{ms}", patience=200)
        while play.hand_offs and play.hand_offs[0].sent_ns < (ms - 100) * MS:
            play.answer(which=0)
    sent = sum(" -> a" in line for line in play.lines)
    assert 4 <= sent <= 6


def test_a_task_whose_holders_are_full_may_go_to_a_runner_just_started() -> None:
    """It holds nothing that a load would push out; at any other runner one would."""
    play = Play(runners="abc", dispatchers=2, may_request_loads=False)
    play.served(60)
    holder = next(iter(c.worker for c in play.models["m"].replicas.values() if c.is_loaded))
    holder.concurrency_limit, holder.warm_in_flight = 1.0, 1
    play.task("t1", patience=200)
    new = "abc"[("abc".index(play.names[holder]) + 1) % 3]
    play.list_one(new, since=2500)
    for ms in range(3100, 4000, 100):
        play.to(ms)
        play.task(f"t{ms}", patience=200)
    check(play, "new_runner")


def test_a_cold_runner_is_not_sent_a_first_task_at_once_by_each_of_many() -> None:
    first = 0
    for seed in range(90):
        play = Play(runners="a", seed=seed, dispatchers=90)
        play.wide()
        play.served(20, every=100)
        play.list_one("a", since=2000)
        play.task("t", patience=200)
        first += len(play.hand_offs)
    play.lines = [f"{first} of 90 at once"]
    check(play, "cold_many")


def test_the_ration_of_load_orders() -> None:
    play = Play(load_window_ns=10_000 * MS, free_loads_per_window=2, loads_per_request=0.0)
    for n in range(4):
        play.task(f"t{n}", "mnop"[n])
        play.stands()
        play.to(20 * n + 20)
        play.task(f"u{n}", "mnop"[n])
    check(play, "ration")


def test_an_order_counts_until_a_window_after_it_may_have_arrived() -> None:
    """Given to a runner that is cut off they come six seconds late, also the one that is answered then: with
    the next two, four in a window."""
    play = Play(load_window_ns=10_000 * MS, free_loads_per_window=2, loads_per_request=0.0)
    runner, models = (
        play.runners["a"],
        [play.policy.new_function(io.FunctionFacts(n, 2, 3000.0)) for n in range(2)],
    )
    first, second = (
        play.policy.scaling.request_load(play.policy.state.replica(model, runner)) for model in models
    )
    play.to(6000)
    play.policy.record_load_end(first, io.Result.SUCCEEDED, 1)  # as it came up, and the copy stood already
    play.to(6500)
    play.policy.record_load_end(second, io.Result.NO_RESPONSE, 0)  # may have arrived only now
    for time in (10_100, 16_000):
        play.to(time)
        assert not play.policy.load_budget.allows(runner)
    play.to(16_100)
    assert [play.policy.load_budget.allows(runner) for _ in range(2)] == [True, True]
    play.policy.scaling.request_load(play.policy.state.replica(models[0], runner))
    assert not play.policy.load_budget.allows(runner)
    play.to(16_600)
    assert play.policy.load_budget.allows(runner)
    play.to(26_300)  # one whose end is never told counts for two windows, not for good
    play.policy.scaling.request_load(play.policy.state.replica(models[1], runner))
    assert not play.policy.load_budget.allows(runner)
    play.to(36_200)
    assert (play.policy.load_budget.allows(runner), len(play.policy.load_budget.loads_in_flight)) == (True, 1)


def test_without_a_ration_nothing_is_kept_to_count_by() -> None:
    play = Play()
    for n in range(50):
        play.policy.scaling.request_load(
            play.policy.state.replica(
                play.policy.new_function(io.FunctionFacts(n, 2, 3000.0)), play.runners["a"]
            )
        )
        play.task(f"t{n}")
    assert (
        len(play.policy.load_budget.load_times_ns),
        len(play.policy.load_budget.loads_in_flight),
        len(play.policy.load_budget.request_times_ns),
    ) == (0, 0, 1)


def test_tasks_that_were_taken_back_make_no_room_for_orders() -> None:
    play = Play(
        load_window_ns=10_000 * MS, free_loads_per_window=0, loads_per_request=0.3, may_request_loads=False
    )
    for n in range(40):
        play.to(10 * n)
        task = play.task(f"t{n}")
        if play.hand_offs:
            play.engine.close_request(task)
            play.answer()
    assert (
        len(play.policy.load_budget.request_times_ns),
        play.policy.load_budget.allows(play.runners["a"]),
    ) == (0, False)
    for n in range(4):
        play.to(500 + 50 * n)
        play.task(f"u{n}")
        play.answer()
    assert (
        len(play.policy.load_budget.request_times_ns),
        play.policy.load_budget.allows(play.runners["a"]),
    ) == (4, True)


def test_an_order_may_arrive_as_late_as_a_connection_comes_up() -> None:
    """It is counted against the tasks before it arrives: some before it was given may be too old by then."""
    play = Play(
        load_window_ns=10_000 * MS,
        free_loads_per_window=0,
        loads_per_request=0.5,
        connect_timeout_ns=1000 * MS,
        may_request_loads=False,
    )
    for n in range(2):
        play.task(f"t{n}")
    play.to(8900)
    assert play.policy.load_budget.allows(play.runners["a"])
    play.to(9100)
    assert not play.policy.load_budget.allows(play.runners["a"])


def test_left_by_the_client() -> None:
    play = Play()
    task = play.task("t")
    play.stands()
    play.to(50)
    play.engine.close_request(task)
    check(play, "left")


@pytest.mark.parametrize("state", [None, io.WorkerState.DRAINING])
def test_nowhere_to_go(state: io.WorkerState | None) -> None:
    play = Play(runners="a" if state else "")
    if state:
        play.list_one("a", state)
    play.task("t1")
    check(play, f"nowhere_{state.value if state else 'empty'}")


def test_a_model_that_fits_no_runner() -> None:
    play = Play()
    play.task("t1")
    play.stands()
    play.to(20)
    while play.hand_offs:
        play.answer(io.Result.AT_CAPACITY)
    check(play, "fits_nowhere")


def wire(*lines: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "martenlead.simulator_adapter"]
    return subprocess.run(command, input="\n".join(lines) + "\n", capture_output=True, text=True, check=False)


def test_what_is_no_longer_held_and_what_is_not_stated() -> None:
    profile = {
        "allowed": {"attempts-cap": 2},
        "balancers": 1,
        "granularity": 0.002,
        "classes": [{"name": "c", "on-time": 0.5, "effect": "read_like"}],
        "rules": {"cold-from": 0.2, "cold": 9.0, "fall-multiple": 2.0},
    }
    hello = {"msg": "hello", "dispatcher": 0, "seed": 1, "profile-data": profile}
    roster = {"msg": "update", "dispatcher": 0, "form": "C", "items": [{"runner": "1.1.1.1:1"}]}
    left = [
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
    task = {
        "msg": "request",
        "dispatcher": 0,
        "ref": "1" * 16,
        "fn": "1" * 16,
        "band": "c",
        "give-up-at": 9.0,
    }
    batches = ([hello, roster], left, [task])
    played = wire(*(json.dumps({"clock": 1.0 + n, "happened": b}) for n, b in enumerate(batches)))
    said = [[a["msg"] for a in json.loads(line)["out"]] for line in played.stdout.splitlines()]
    assert (said, played.returncode) == ([["remind"], [], ["issue"]], 0)


def test_bad_lines_and_settings() -> None:
    unknown = {"clock": 1.0, "happened": [{"msg": "news", "dispatcher": 0, "what": 1}], "more": 2}
    missing = {"clock": 1.0, "happened": [{"msg": "hello", "dispatcher": 0, "seed": 1, "profile-data": {}}]}
    played = wire(json.dumps(unknown), json.dumps(missing), "[1")
    replies = [json.loads(line) for line in played.stdout.splitlines()]
    said = "settings that can't be used: Object missing required field `allowed`"
    assert replies == [{"out": []}, {"out": [{"msg": "panic", "dispatcher": 0, "reason-text": said}]}]
    assert (played.returncode, played.stderr) == (1, said + "\n")
    for line in ("[1", '{"clock": 1.0, "happened": [7]}', '{"clock": 1e308, "happened": []}'):
        played = wire(line)
        assert played.returncode == 1
        assert played.stderr.startswith("not a batch: ") and played.stderr.count("\n") == 1


def test_a_release_of_all_models_on_a_quiet_day() -> None:
    """No list change tells of it: copies are gone wherever they are looked for. Orders stay in the ration,
    each model is served again by its next tasks, and no runner gets all that comes."""
    play = Play(
        runners="abcde",
        load_window_ns=10_000 * MS,
        free_loads_per_window=2,
        loads_per_request=0.3,
        dispatchers=3,
    )
    for model in "mnop":
        play.served(6, model, every=300)
    play.to(20_000)
    given: list[int] = []
    loads: dict[str, int] = {}
    for n in range(40):  # one task in half a second: each model one in two
        play.to(20_000 + 500 * n)
        before = len(play.orders)
        play.task(f"t{n}", "mnop"[n % 4])
        given += [play.policy.state.now_ns // MS] * (len(play.orders) - before)
        hand_off = play.hand_offs[-1]
        where = f"{play.names[hand_off.request.function]} at {play.names[hand_off.worker]}"
        loads[where] = loads.get(where, 0) + 1
        play.stands()
        play.answer(warmth=io.Warmth.STARTED_LOAD if loads[where] == 1 else io.Warmth.WARM)
    for at in given:
        tasks = sum(at - 10_000 < 20_000 + 500 * n <= at for n in range(40))
        assert sum(at - 10_000 < t <= at for t in given) <= 2 + 0.3 * tasks
    assert len(loads) <= 8  # of 20 places: service is back with the first load of each, and stays there
    assert max(loads.values()) < 20
