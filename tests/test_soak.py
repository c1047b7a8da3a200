"""The soak: a seed always gives the same schedule, each check can fail, and a few seeds pass."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from functools import partial
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import pytest

from support.node_wire import SETTINGS
from support.soak.play import play_seed
from support.soak.records import ProcessSample, RecordBook
from support.soak.schedule import draw_schedule
from support.soak.verdict import DESCRIPTOR_LIMIT, MEMORY_LIMIT_BYTES, judge

SEEDS = (8, 11, 14)  # they have a crowd, a journal service that moves, a deadline of 0.3 s
MS = 1_000_000


def test_a_seed_draws_the_same_schedule_again_and_another_seed_another_one() -> None:
    assert draw_schedule(5) == draw_schedule(5) != draw_schedule(6)
    schedules = [draw_schedule(seed) for seed in range(300)]
    crowded = sum(schedule.has_crowd for schedule in schedules)
    assert 70 < crowded < 130
    assert {r.signals for s in schedules for r in s.restarts} >= {("TERM", "TERM"), ("HUP", "HUP", "TERM")}


def make_successful_run(method: str = "unsafe") -> RecordBook:
    """Returns the records of a run with one request, which succeeded."""
    book = RecordBook(ready_seconds=[0.5], exit_statuses=[0], samples=[ProcessSample(0, 1, 1)])
    request = {"try": "1", "edge": 0}
    came = {"way": "a 1", "id": "1", "try": "1", "offering": method, "runner": "a", "edge": "n0"}
    book.clients = [
        {"t": 0, "what": "sent", "give_up": 2000 * MS, **request},
        {"t": 30 * MS, "what": "answer", "final": "satisfied", "status": 200, **request},
    ]
    book.workers = [
        {"t": 10 * MS, "what": "came", "zone": "east", "cell": 0, **came},
        {"t": 10 * MS, "what": "ran", "way": "a 1"},
        {"t": 20 * MS, "what": "answered", "way": "a 1"},
    ]
    return book


def answered_late(book: RecordBook) -> None:
    book.clients[1]["t"] = 2600 * MS


def never_answered(book: RecordBook) -> None:
    book.clients[1]["what"] = "no answer"


def closed_unanswered(book: RecordBook) -> None:
    book.clients[1]["what"] = "broken"


def answered_twice(book: RecordBook) -> None:
    book.clients.append({"t": 40 * MS, "what": "stray", "try": "1", "edge": 0})


def forwarded_once_it_was_over(book: RecordBook) -> None:
    book.clients[1] |= {"what": "left", "t": 1 * MS}
    book.workers[0]["t"] = 200 * MS


def sent_twice(book: RecordBook) -> None:
    book.workers += [
        {**book.workers[0], "t": 200 * MS, "way": "b 1", "runner": "b"},
        {"t": 210 * MS, "what": "ran", "way": "b 1"},
    ]


def rejected_though_it_ran(book: RecordBook) -> None:
    book.clients[1]["final"] = "turned back"


def sent_to_a_draining_worker(book: RecordBook) -> None:
    book.membership = [
        {"t": -400 * MS, "what": "told", "edge": "n0", "whole": False, "lines": [("a", "draining", "0")]}
    ]


def forwarded_though_it_crossed_the_close(book: RecordBook) -> None:
    book.clients[1]["what"] = "unreached"


def served_with_another_body(book: RecordBook) -> None:
    book.wrong_bodies.append("1")


def started_late(book: RecordBook) -> None:
    book.ready_seconds.append(11.0)


def crashed(book: RecordBook) -> None:
    book.exit_statuses.append(-11)


def had_to_be_killed(book: RecordBook) -> None:
    book.record_kill(0)


def too_much_memory(book: RecordBook) -> None:
    book.samples.append(ProcessSample(0, MEMORY_LIMIT_BYTES + 1, 1))


def too_many_descriptors(book: RecordBook) -> None:
    book.samples.append(ProcessSample(0, 1, DESCRIPTOR_LIMIT + 1))


BREACHES = {
    answered_late: "rule one_answer",
    never_answered: "rule one_answer",
    closed_unanswered: "rule one_answer",
    answered_twice: "rule one_answer",
    forwarded_once_it_was_over: "rule one_answer",
    sent_twice: "rule no_effect_twice",
    rejected_though_it_ran: "rule no_effect_twice",
    sent_to_a_draining_worker: "rule drains",
    forwarded_though_it_crossed_the_close: "an attempt for a request that crossed a close",
    served_with_another_body: "another body than the request's",
    started_late: "not ready in time",
    crashed: "an exit status",
    had_to_be_killed: "killed after SIGTERM: it had not ended by itself",
    too_much_memory: "over its memory or its descriptors",
    too_many_descriptors: "over its memory or its descriptors",
}


def test_a_run_without_breaches_has_no_failure() -> None:
    assert judge(make_successful_run(), SETTINGS) == []


@pytest.mark.parametrize("breach", BREACHES, ids=lambda breach: breach.__name__)
def test_each_check_can_fail(breach: Any) -> None:
    book = make_successful_run()
    breach(book)
    assert BREACHES[breach] in {failure.kind for failure in judge(book, SETTINGS)}


def test_a_few_seeds_keep_all_rules(tmp_path: Path) -> None:
    """`python -m support.soak --seeds 50` runs more of them."""
    with ProcessPoolExecutor(len(SEEDS), mp_context=get_context("spawn")) as pool:
        lines = list(pool.map(partial(play_seed, keep=tmp_path), SEEDS))
    assert [line for line in lines if not line.endswith(": passed")] == []
