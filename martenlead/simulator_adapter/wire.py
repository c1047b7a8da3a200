"""The wire: one batch a line in, one reply a line out, an engine for each instance."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import msgspec

from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy
from martenlead.policy.types import (
    Action,
    Attempt,
    AttemptResult,
    Cancel,
    Fail,
    FunctionFacts,
    ListWorkers,
    LoadRequest,
    Reject,
    Request,
    Result,
    Warmth,
    WorkerFacts,
    WorkerState,
)
from martenlead.simulator_adapter.settings import Profile, SettingsError, seconds_to_ns

RESULTS = {
    "served": Result.SUCCEEDED,
    "server_error": Result.ERROR,
    "turned_away": Result.AT_CAPACITY,
    "no_answer": Result.NO_RESPONSE,
    "no_connection": Result.UNREACHABLE,
    "connection_lost": Result.CONNECTION_LOST,
    "called_off": Result.CANCELLED,
    "not_sent": Result.NOT_SENT,
    "not_stored": Result.FUNCTION_MISSING,
}
WARMTHS = {1: Warmth.WARM, 2: Warmth.STARTED_LOAD, 3: Warmth.AWAITED_LOAD, 4: Warmth.LOAD_FAILED}
WORKER_STATES = {"U": WorkerState.UP, "L": WorkerState.DRAINING, "D": WorkerState.GONE}
CHECK = "check"
MAX_FIGURE = 1e15  # of any figure in an event: beyond, a time in ns may have no end


class Batch(msgspec.Struct):
    clock: float
    happened: list[dict[str, Any]]


def number(told: Any) -> float:
    """A figure as it should be; one that is absent, or is none, says nothing."""
    return told if isinstance(told, (int, float)) and 0 <= told <= MAX_FIGURE else 0


def text(told: Any) -> str:
    return told if isinstance(told, str) else ""


class SimulatedDispatcher:
    """One dispatcher: its engine, and the ids that stand for its objects."""

    def __init__(self, number: int, event: dict[str, Any], now: int, out: list[dict[str, Any]]) -> None:
        self.number = number
        self.replies = out
        self.profile = Profile(event["profile-data"])
        self.policy = Policy(self.profile.settings, event["seed"])
        self.policy.state.now_ns = now
        self.engine = Engine(self.policy, self.perform)
        self.workers: dict[str, Any] = {}
        self.worker_ids: dict[Any, str] = {}
        self.functions: dict[str, Any] = {}
        self.function_ids: dict[Any, str] = {}
        self.requests: dict[str, Request] = {}
        self.request_ids: dict[Request, str] = {}
        self.open_attempts: dict[tuple[str, int], Attempt] = {}
        self.load_requests: dict[tuple[str, str], list[LoadRequest]] = {}
        self.is_started = False
        self.timer_due_ns: int | None = None

    # -- events

    def handle_event(self, event: dict[str, Any], now: int) -> None:
        self.policy.state.now_ns = now
        handler = self.HANDLERS.get(text(event.get("msg")))
        if handler:
            handler(self, event, now)

    def advance_timers(self, now: int) -> None:
        self.policy.state.now_ns = now
        self.engine.advance(now)
        due = self.engine.next_due_ns()
        if due is not None and (self.timer_due_ns is None or due < self.timer_due_ns):
            self.timer_due_ns = max(due, now + 1000)
            self.say("remind", after=(self.timer_due_ns - now) / 1e9, tag=CHECK)

    def update(self, event: dict[str, Any], now: int) -> None:
        news = []
        for line in event.get("items") or []:
            if not isinstance(line, dict) or not (name := text(line.get("runner"))):
                continue
            kind = text(line.get("machine"))
            memory = self.profile.memory_mb_by_kind.get(kind, 1.0)
            facts = WorkerFacts(
                mark=mark_from_id(name),
                zone=text(line.get("campus")),
                cell=int(number(line.get("cluster"))),
                memory_mb=memory,
                weight=memory if self.profile.has_silent_weights else number(line.get("heft", 1.0)),
                state=WORKER_STATES.get(
                    text(line.get("status", "U")), WorkerState.DRAINING
                ),  # unknown: no proof that it is up
                started_ns=seconds_to_ns(number(line.get("online-since"))),
            )
            if name not in self.workers:
                runner = self.policy.new_worker(facts)
                self.workers[name], self.worker_ids[runner] = runner, name
            news.append((self.workers[name], facts))
        if event.get("form") != "X":
            self.policy.update_workers(news, event.get("form") in ("F", "C"))
        if not self.is_started:
            self.is_started = True
            self.engine.start()

    def request(self, event: dict[str, Any], now: int) -> None:
        ref, name, give_up = text(event.get("ref")), text(event.get("fn")), number(event.get("give-up-at"))
        offering = self.profile.request_classes.get(text(event.get("band")))
        try:
            if offering is None or not give_up:
                raise ValueError
            if name not in self.functions:
                lanes, memory = int(number(event.get("per-copy"))), number(event.get("ram-mb"))
                model = self.policy.new_function(FunctionFacts(int(name, 16), max(1, lanes), memory))
                self.functions[name], self.function_ids[model] = model, name
        except ValueError:  # nobody can say where it may run, or until when
            self.say("finish-error", ref=ref)
            return
        task = Request(
            function=self.functions[name],
            request_class=offering,
            tenant=self.profile.tenants.get(text(event.get("client-group"))),
            deadline_ns=seconds_to_ns(give_up),
            is_retry=bool(event.get("retry")),
            cost=number(event.get("cost")),
        )
        self.requests[ref], self.request_ids[task] = task, ref
        self.engine.handle_request(task)

    def outcome(self, event: dict[str, Any], now: int) -> None:
        ref, hop = text(event.get("ref")), int(number(event.get("hop")))
        hand_off = self.open_attempts.pop((ref, hop), None)
        if hand_off is None:
            return
        final = bool(event.get("terminal"))
        warmth = WARMTHS.get(int(number(event.get("note"))) % 8, Warmth.UNKNOWN)
        # a word that is not known proves nothing: it may have run
        result = RESULTS.get(text(event.get("reason")), Result.ERROR)
        self.engine.record_result(
            AttemptResult(hand_off, result, final, warmth, seconds_to_ns(number(event.get("lag"))))
        )
        if final:
            self.drop(ref)

    def expired(self, event: dict[str, Any], now: int) -> None:
        self.drop(text(event.get("ref")))

    def drop(self, ref: str) -> None:
        task = self.requests.pop(ref, None)
        if task is not None:
            del self.request_ids[task]
            self.engine.close_request(task)

    def timer(self, event: dict[str, Any], now: int) -> None:
        if self.timer_due_ns is not None and now >= self.timer_due_ns - 1000:
            self.timer_due_ns = None

    def in_place(self, event: dict[str, Any], now: int) -> None:
        waiting = self.load_requests.get((text(event.get("runner")), text(event.get("fn"))))
        if waiting:
            result = RESULTS.get(text(event.get("reason")), Result.ERROR)
            self.engine.record_load_end(waiting.pop(0), result, int(number(event.get("number"))))

    HANDLERS = {  # noqa: RUF012
        "update": update,
        "request": request,
        "closed-attempt": outcome,
        "expired": expired,
        "deadline-hit": timer,
        "in-place": in_place,
    }

    # -- actions

    def perform(self, action: Action) -> None:
        match action:
            case Attempt(request=task, worker=runner, timeout_ns=patience):
                ref = self.request_ids[task]
                self.open_attempts[ref, len(task.attempts) - 1] = action
                self.say("issue", ref=ref, runner=self.worker_ids[runner], within=patience / 1e9)
            case Reject(request=task, retry_after_ns=wait):
                self.say("say-no", ref=self.request_ids[task], wait=wait / 1e9)
                self.forget(task)
            case Fail(request=task):
                self.say("finish-error", ref=self.request_ids[task])
                self.forget(task)
            case Cancel(attempt=hand_off):
                for (ref, hop), open_one in self.open_attempts.items():
                    if open_one is hand_off:
                        self.say("stop-attempt", ref=ref, hop=hop)
            case LoadRequest(worker=runner, function=model, replicas=copies):
                names = self.worker_ids[runner], self.function_ids[model]
                self.load_requests.setdefault(names, []).append(action)
                self.say("load", runner=names[0], fn=names[1], number=copies)
            case ListWorkers():
                self.say("stream-changes", want=True)

    def forget(self, task: Request) -> None:
        self.requests.pop(self.request_ids.pop(task), None)

    def say(self, word: str, **fields: Any) -> None:
        self.replies.append({"msg": word, "dispatcher": self.number, **fields})


def mark_from_id(name: str) -> int:
    """The same number for the same id at every dispatcher."""
    return int.from_bytes(name.encode(), "big")


def main(make: Callable[[int, dict[str, Any], int, list[dict[str, Any]]], SimulatedDispatcher]) -> None:
    decode, encode = msgspec.json.Decoder(Batch).decode, msgspec.json.Encoder().encode
    instances: dict[int, SimulatedDispatcher] = {}
    read, write = sys.stdin.buffer, sys.stdout.buffer
    for line in read:
        try:
            batch = decode(line)
            now = seconds_to_ns(batch.clock)
        except (msgspec.DecodeError, OverflowError) as error:
            sys.exit(f"not a batch: {error!r}")
        out: list[dict[str, Any]] = []
        touched: dict[int, None] = {}
        refused = ""
        for event in batch.happened:
            who: Any = event.get("dispatcher")
            try:
                if event.get("msg") == "hello":
                    try:
                        instances[who] = make(who, event, now, out)
                    except SettingsError as error:
                        refused = f"settings that can't be used: {error}"
                        out.append({"msg": "panic", "dispatcher": who, "reason-text": refused})
                elif event.get("msg") == "exit":
                    instances.pop(who, None)
                    touched.pop(who, None)
                    continue
                if who in instances:
                    touched[who] = None
                    instances[who].replies = out
                    instances[who].handle_event(event, now)
            except Exception as error:
                out.append(
                    {"msg": "panic", "dispatcher": who, "reason-text": f"{type(error).__name__}: {error}"}
                )
        for who in touched:
            try:
                instances[who].advance_timers(now)
            except Exception as error:
                out.append(
                    {"msg": "panic", "dispatcher": who, "reason-text": f"{type(error).__name__}: {error}"}
                )
        write.write(encode({"out": out}))
        write.write(b"\n")
        write.flush()
        if refused:
            sys.exit(refused)
