"""The audit against days with known breaches: it has to find each breach, and pass a day without any."""

from __future__ import annotations

from typing import Any

import pytest

from martenlead.days.audit import RULE_NAMES, Audit, Rules
from martenlead.days.books import LOST_WITH_DISPATCHER, reconcile

NS_PER_MS = 1_000_000
REQUEST_CLASSES = {
    "estimate": {"effect": "idempotent", "group": "all", "window_ms": 0, "work_ms": 100},
    "post": {"effect": "deduplicated", "group": "zone", "window_ms": 1000, "work_ms": 100},
    "notice": {"effect": "unrepeatable", "group": "all", "window_ms": 0, "work_ms": 100},
}
WORKERS = {
    "a": {"zone": "n", "cell": 0, "cores": 2, "speed": 1},
    "b": {"zone": "n", "cell": 0, "cores": 2, "speed": 1},
    "c": {"zone": "s", "cell": 0, "cores": 2, "speed": 1},
}


class HandWrittenDay:
    """A small day whose records are written by hand; times are ms."""

    def __init__(self, **rules: Any) -> None:
        self.rules = Rules(REQUEST_CLASSES, WORKERS, ["edge"], **rules)
        self.client_records: list[dict[str, Any]] = []
        self.worker_records: list[dict[str, Any]] = []
        self.endpoint_records: list[dict[str, Any]] = []
        self.process_records: list[dict[str, Any]] = []
        self.attempt_count = 0

    def send_try(
        self, at_ms: float, try_name: str, request_class: str = "estimate", patience_ms: float = 1000
    ) -> None:
        """A client sends a try that it gives up after `patience_ms`."""
        self.client_records.append(
            {
                "t": int(at_ms * NS_PER_MS),
                "what": "sent",
                "try": try_name,
                "id": try_name.split(".")[0],
                "edge": 0,
                "offering": request_class,
                "give_up": int((at_ms + patience_ms) * NS_PER_MS),
                "first": True,
            }
        )

    def end_try(self, at_ms: float, try_name: str, what: str = "answer", final: str = "satisfied") -> None:
        """A try ends for its client."""
        record = {
            "t": int(at_ms * NS_PER_MS),
            "what": what,
            "try": try_name,
            "id": try_name.split(".")[0],
            "edge": 0,
        }
        self.client_records.append(record | ({"final": final, "status": 200} if what == "answer" else {}))

    def add_attempt(
        self,
        at_ms: float,
        try_name: str,
        worker: str,
        request_class: str = "estimate",
        *later: tuple[float, str],
    ) -> None:
        """An attempt arrives at a worker; `later` are its further records, as `(5, "refused draining")`."""
        self.attempt_count += 1
        attempt_id = {"way": f"w{self.attempt_count}"}
        location = {k: WORKERS[worker][k] for k in ("zone", "cell")}
        fields = {"try": try_name, "id": try_name.split(".")[0], "runner": worker, "edge": "edge"}
        fields["offering"] = request_class
        self.worker_records.append(
            {"t": int(at_ms * NS_PER_MS), "what": "came", **fields, **location, **attempt_id}
        )
        for then_ms, what in later:
            what, _, why = what.partition(" ")
            self.worker_records.append(
                {"t": int(then_ms * NS_PER_MS), "what": what, "why": why or "full", **attempt_id}
            )

    def add_load_request(self, at_ms: float, worker: str, copies: int = 1) -> None:
        """An edge asks a worker for replicas."""
        self.worker_records.append(
            {"t": int(at_ms * NS_PER_MS), "what": "order", "edge": "edge", "runner": worker, "copies": copies}
        )

    def publish(self, at_ms: float, *endpoints: str, is_snapshot: bool = False) -> None:
        """The edge is sent endpoints, each as `WORKER/STATE/INCARNATION`."""
        states = [[*endpoint.split("/")] for endpoint in endpoints]
        self.endpoint_records.append(
            {
                "t": int(at_ms * NS_PER_MS),
                "what": "told",
                "edge": "edge",
                "whole": is_snapshot,
                "lines": states,
            }
        )

    def breaches(self) -> list[str]:
        """The breaches that the audit finds, as `RULE: REASON`."""
        verdicts = Audit(
            self.rules, self.client_records, self.worker_records, self.endpoint_records, self.process_records
        ).verdicts()
        assert list(verdicts) == list(RULE_NAMES)
        return [
            f"{name}: {breach['why']}" for name, verdict in verdicts.items() for breach in verdict.breaches
        ]


def test_a_day_without_breaches_passes() -> None:
    day = HandWrittenDay(load_budget={"window_ms": 5000, "free": 1, "share": 0.5})
    day.publish(0, "a/up/0", "b/up/0", "c/up/0", is_snapshot=True)
    for n in range(20):
        day.send_try(n * 10, f"{n}")
        day.add_attempt(n * 10 + 1, f"{n}", "a", "estimate", (n * 10 + 2, "ran"), (n * 10 + 9, "answered"))
        day.end_try(n * 10 + 10, f"{n}")
    day.add_load_request(150, "b")
    day.publish(300, "a/draining/0")
    assert day.breaches() == []


def test_one_answer() -> None:
    late, unanswered, broken_connection, stray_response, attempt_after_end = (
        HandWrittenDay(),
        HandWrittenDay(),
        HandWrittenDay(),
        HandWrittenDay(),
        HandWrittenDay(),
    )
    late.send_try(0, "1", patience_ms=100)
    late.end_try(130, "1")
    unanswered.send_try(0, "1")
    unanswered.end_try(1020, "1", "no answer")
    broken_connection.send_try(0, "1")
    broken_connection.end_try(50, "1", "broken")
    stray_response.client_records.append({"t": 1, "what": "stray", "edge": 0})
    attempt_after_end.send_try(0, "1")
    attempt_after_end.end_try(10, "1", final="turned back")
    attempt_after_end.add_attempt(60, "1", "a")
    without_end = HandWrittenDay()
    without_end.send_try(0, "1")
    wrong_status = HandWrittenDay()
    wrong_status.send_try(0, "1")
    wrong_status.end_try(5, "1", final="refused")
    assert [
        day.breaches()
        for day in (
            late,
            unanswered,
            broken_connection,
            stray_response,
            attempt_after_end,
            without_end,
            wrong_status,
        )
    ] == [
        ["one_answer: the answer came after the client had given up"],
        ["one_answer: no answer before the client gave up"],
        ["one_answer: the connection broke though the edge lived"],
        ["one_answer: an answer that no request had asked for"],
        ["one_answer: a hand-off for a task that was over"],
        ["one_answer: the client's records have no end of it"],
        ["one_answer: no final answer but status 200"],
    ]


def test_a_connection_may_break_when_its_edge_is_killed() -> None:
    day = HandWrittenDay()
    day.send_try(0, "1")
    day.end_try(50, "1", "broken")
    day.process_records.append({"t": 48 * NS_PER_MS, "what": "killed", "edge": 0})
    assert day.breaches() == []


@pytest.mark.parametrize(
    ("request_class", "first_end", "second_worker", "expected"),
    [
        ("notice", "refused", "b", []),
        ("notice", "ran", "b", ["a further hand-off of what may have run"]),
        ("notice", "cut", "b", ["a further hand-off of what may have run"]),
        ("post", "cut", "b", []),
        ("post", "cut", "c", ["sent again outside its group"]),
        ("post", "refused", "c", []),
        ("estimate", "ran", "c", []),
    ],
)
def test_further_attempts(
    request_class: str, first_end: str, second_worker: str, expected: list[str]
) -> None:
    day = HandWrittenDay()
    day.send_try(0, "1", request_class)
    day.add_attempt(1, "1", "a", request_class, (2, first_end), (50, "cut"))
    day.add_attempt(100, "1", second_worker, request_class, (150, "answered"))
    day.end_try(200, "1")
    assert day.breaches() == [f"no_effect_twice: {why}" for why in expected]


def test_repeats_of_what_may_have_run() -> None:
    two_at_once, after_window, ran_twice, rejected = (
        HandWrittenDay(),
        HandWrittenDay(),
        HandWrittenDay(),
        HandWrittenDay(),
    )
    two_at_once.send_try(0, "1")
    two_at_once.add_attempt(1, "1", "a")
    two_at_once.add_attempt(100, "1", "b")
    two_at_once.end_try(200, "1")
    after_window.send_try(0, "1", "post", 3000)
    after_window.add_attempt(1, "1", "a", "post", (50, "cut"))
    after_window.add_attempt(1500, "1", "b", "post")
    after_window.end_try(1600, "1")
    ran_twice.send_try(0, "1.0", "notice")
    ran_twice.add_attempt(1, "1.0", "a", "notice", (2, "ran"), (5, "answered"))
    ran_twice.end_try(10, "1.0")
    ran_twice.send_try(20, "1.1", "notice")
    ran_twice.add_attempt(21, "1.1", "b", "notice", (22, "ran"), (25, "answered"))
    ran_twice.end_try(30, "1.1")
    rejected.send_try(0, "1", "post")
    rejected.add_attempt(1, "1", "a", "post", (2, "ran"), (50, "cut"))
    rejected.end_try(60, "1", final="turned back")
    assert [day.breaches() for day in (two_at_once, after_window, ran_twice, rejected)] == [
        ["no_effect_twice: two hand-offs out at once"],
        ["no_effect_twice: sent again after its window"],
        ["no_effect_twice: it ran 2 times"],
        ["no_effect_twice: turned back though it may have run"],
    ]


def test_nothing_is_sent_to_a_worker_known_to_drain() -> None:
    by_list, load_request, missing_in_snapshot, by_refusal, restarted = (
        HandWrittenDay(),
        HandWrittenDay(),
        HandWrittenDay(),
        HandWrittenDay(),
        HandWrittenDay(),
    )
    for day in (by_list, load_request, missing_in_snapshot, by_refusal, restarted):
        day.publish(0, "a/up/0", "b/up/0", is_snapshot=True)
        day.send_try(0, "1", patience_ms=5000)
    by_list.publish(10, "a/draining/0")
    by_list.add_attempt(300, "1", "a")
    load_request.publish(10, "a/draining/0")
    load_request.add_load_request(200, "a")
    load_request.add_load_request(300, "a", 0)
    load_request.add_load_request(301, "a")
    missing_in_snapshot.publish(10, "b/up/0", is_snapshot=True)
    missing_in_snapshot.add_attempt(300, "1", "a")
    by_refusal.add_attempt(1, "1", "a", "estimate", (2, "refused draining"))
    by_refusal.publish(20, "a/up/0")
    by_refusal.add_attempt(300, "1", "a")
    restarted.publish(10, "a/gone/0")
    restarted.publish(200, "a/up/1")
    restarted.add_attempt(1000, "1", "a")
    for day in (by_list, load_request, missing_in_snapshot, by_refusal, restarted):
        day.end_try(1001, "1")
    breach = "drains: sent to a runner that drains or is gone"
    assert [
        day.breaches() for day in (by_list, load_request, missing_in_snapshot, by_refusal, restarted)
    ] == [[breach], [breach], [breach], [breach], []]


def test_too_much_work_for_a_cold_worker() -> None:
    breaches = []
    for count in (20, 21 * 2):
        day = HandWrittenDay(cold_ms=10_000, cold_from=0.2, fall_multiple=2.5, fall_ms=2000)
        day.worker_records.append({"t": 0, "what": "up", "runner": "a", "life": 1})
        for n in range(count):
            day.send_try(n, f"{n}")
            day.add_attempt(n + 1, f"{n}", "a")
            day.end_try(n + 2, f"{n}")
        breaches.append(day.breaches())
    assert breaches[0] == []
    assert breaches[1] == ["cold_runners: 2.3 s of work within 2000 ms, 0.8 s can be done"]


def test_load_requests_over_the_budget() -> None:
    day = HandWrittenDay(load_budget={"window_ms": 1000, "free": 2, "share": 0.1})
    for n in range(10):
        day.send_try(n, f"{n}")
        day.end_try(n + 1, f"{n}")
    for n in range(4):
        day.add_load_request(100 + n * 50, "a")
    day.add_load_request(2000, "a")
    assert day.breaches() == ["load_ration: 4 orders against 10 tasks"]


def test_client_records_and_captures_are_reconciled() -> None:
    day = HandWrittenDay()
    ends = {
        "1.0": ("answer", "satisfied"),
        "2.0": ("answer", "turned back"),
        "2.1": ("answer", "satisfied"),
        "3.0": ("broken", ""),
        "4.0": ("broken", ""),
        "5.0": ("answer", "scrapped"),
        "6.0": ("unreached", ""),
        "7.0": ("left", ""),
    }
    for at_ms, (try_name, (what, final)) in enumerate(ends.items()):
        day.send_try(at_ms, try_name)
        day.end_try(at_ms + 100, try_name, what, final)
    captured = {
        ("edge", "1"): ["satisfied"],
        ("edge", "2"): ["turned back", "satisfied"],
        ("edge", "3"): [LOST_WITH_DISPATCHER],
        ("edge", "5"): [LOST_WITH_DISPATCHER],
        ("edge", "7"): ["left"],
    }
    result = reconcile(day.client_records, ["edge"], captured, {"edge"})
    assert result.mismatches == []
    assert dict(result.entries) == {
        "unreached": 1,
        "satisfied": 2,
        "turned back": 1,
        LOST_WITH_DISPATCHER: 1,
        "died with its dispatcher, untold": 1,
        "scrapped, and its end was not on disk when its dispatcher died": 1,
        "left": 1,
    }
    assert sum(result.entries.values()) == len(ends)
    for record in day.client_records:  # the capture has no request that was rejected before it
        if record["what"] == "answer" and record["final"] == "turned back":
            record["door"] = True
    captured["edge", "2"] = ["satisfied"]
    result = reconcile(day.client_records, ["edge"], captured, {"edge"})
    assert (result.entries["turned back at the door"], result.mismatches) == (1, [])
    result_if_alive = reconcile(day.client_records, ["edge"], captured, set())
    assert result_if_alive.mismatches == [
        "4.0 at edge: broken for its client, nothing in the capture",
        f"5.0 at edge: scrapped for its client, ['{LOST_WITH_DISPATCHER}'] in the capture",
    ]
