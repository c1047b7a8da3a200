"""The wire: one batch a line in, one reply a line out, an engine for each instance."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import msgspec

from martenlead.benchlink.settings import BadSettings, Profile, ns
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
WARMTH = {1: Warmth.WARM, 2: Warmth.STARTED_LOAD, 3: Warmth.AWAITED_LOAD, 4: Warmth.LOAD_FAILED}
STATES = {"U": WorkerState.UP, "L": WorkerState.DRAINING, "D": WorkerState.GONE}
CHECK = "check"
MOST = 1e15  # of any figure in an event: beyond, a time in ns may have no end


class Batch(msgspec.Struct):
    clock: float
    happened: list[dict[str, Any]]


def number(told: Any) -> float:
    """A figure as it should be; one that is absent, or is none, says nothing."""
    return told if isinstance(told, (int, float)) and 0 <= told <= MOST else 0


def text(told: Any) -> str:
    return told if isinstance(told, str) else ""


class Instance:
    """One dispatcher: its engine, and the ids that stand for its objects."""

    def __init__(self, number: int, event: dict[str, Any], now: int, out: list[dict[str, Any]]) -> None:
        self.number = number
        self.out = out
        self.profile = Profile(event["profile-data"])
        self.policy = Policy(self.profile.settings, event["seed"])
        self.policy.state.now_ns = now
        self.engine = Engine(self.policy, self.act)
        self.runners: dict[str, Any] = {}
        self.runner_ids: dict[Any, str] = {}
        self.models: dict[str, Any] = {}
        self.model_ids: dict[Any, str] = {}
        self.tasks: dict[str, Request] = {}
        self.task_ids: dict[Request, str] = {}
        self.open: dict[tuple[str, int], Attempt] = {}
        self.orders: dict[tuple[str, str], list[LoadRequest]] = {}
        self.begun = False
        self.armed: int | None = None

    # -- events

    def hear(self, event: dict[str, Any], now: int) -> None:
        self.policy.state.now_ns = now
        handler = self.HANDLERS.get(text(event.get("msg")))
        if handler:
            handler(self, event, now)

    def settle(self, now: int) -> None:
        self.policy.state.now_ns = now
        self.engine.advance(now)
        due = self.engine.next_due_ns()
        if due is not None and (self.armed is None or due < self.armed):
            self.armed = max(due, now + 1000)
            self.say("remind", after=(self.armed - now) / 1e9, tag=CHECK)

    def update(self, event: dict[str, Any], now: int) -> None:
        news = []
        for line in event.get("items") or []:
            if not isinstance(line, dict) or not (name := text(line.get("runner"))):
                continue
            kind = text(line.get("machine"))
            memory = self.profile.memory.get(kind, 1.0)
            facts = WorkerFacts(
                mark=msgspec_mark(name),
                zone=text(line.get("campus")),
                cell=int(number(line.get("cluster"))),
                memory_mb=memory,
                weight=memory if self.profile.silent_weights else number(line.get("heft", 1.0)),
                state=STATES.get(
                    text(line.get("status", "U")), WorkerState.DRAINING
                ),  # unknown: no proof that it is up
                started_ns=ns(number(line.get("online-since"))),
            )
            if name not in self.runners:
                runner = self.policy.new_worker(facts)
                self.runners[name], self.runner_ids[runner] = runner, name
            news.append((self.runners[name], facts))
        if event.get("form") != "X":
            self.policy.update_workers(news, event.get("form") in ("F", "C"))
        if not self.begun:
            self.begun = True
            self.engine.start()

    def request(self, event: dict[str, Any], now: int) -> None:
        ref, name, give_up = text(event.get("ref")), text(event.get("fn")), number(event.get("give-up-at"))
        offering = self.profile.offerings.get(text(event.get("band")))
        try:
            if offering is None or not give_up:
                raise ValueError
            if name not in self.models:
                lanes, memory = int(number(event.get("per-copy"))), number(event.get("ram-mb"))
                model = self.policy.new_function(FunctionFacts(int(name, 16), max(1, lanes), memory))
                self.models[name], self.model_ids[model] = model, name
        except ValueError:  # nobody can say where it may run, or until when
            self.say("finish-error", ref=ref)
            return
        task = Request(
            function=self.models[name],
            request_class=offering,
            tenant=self.profile.customers.get(text(event.get("client-group"))),
            deadline_ns=ns(give_up),
            is_retry=bool(event.get("retry")),
            cost=number(event.get("cost")),
        )
        self.tasks[ref], self.task_ids[task] = task, ref
        self.engine.handle_request(task)

    def outcome(self, event: dict[str, Any], now: int) -> None:
        ref, hop = text(event.get("ref")), int(number(event.get("hop")))
        hand_off = self.open.pop((ref, hop), None)
        if hand_off is None:
            return
        final = bool(event.get("terminal"))
        warmth = WARMTH.get(int(number(event.get("note"))) % 8, Warmth.UNKNOWN)
        # a word that is not known proves nothing: it may have run
        result = RESULTS.get(text(event.get("reason")), Result.ERROR)
        self.engine.record_result(
            AttemptResult(hand_off, result, final, warmth, ns(number(event.get("lag"))))
        )
        if final:
            self.drop(ref)

    def expired(self, event: dict[str, Any], now: int) -> None:
        self.drop(text(event.get("ref")))

    def drop(self, ref: str) -> None:
        task = self.tasks.pop(ref, None)
        if task is not None:
            del self.task_ids[task]
            self.engine.close_request(task)

    def timer(self, event: dict[str, Any], now: int) -> None:
        if self.armed is not None and now >= self.armed - 1000:
            self.armed = None

    def in_place(self, event: dict[str, Any], now: int) -> None:
        waiting = self.orders.get((text(event.get("runner")), text(event.get("fn"))))
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

    def act(self, action: Action) -> None:
        match action:
            case Attempt(request=task, worker=runner, timeout_ns=patience):
                ref = self.task_ids[task]
                self.open[ref, len(task.attempts) - 1] = action
                self.say("issue", ref=ref, runner=self.runner_ids[runner], within=patience / 1e9)
            case Reject(request=task, retry_after_ns=wait):
                self.say("say-no", ref=self.task_ids[task], wait=wait / 1e9)
                self.forget(task)
            case Fail(request=task):
                self.say("finish-error", ref=self.task_ids[task])
                self.forget(task)
            case Cancel(attempt=hand_off):
                for (ref, hop), open_one in self.open.items():
                    if open_one is hand_off:
                        self.say("stop-attempt", ref=ref, hop=hop)
            case LoadRequest(worker=runner, function=model, replicas=copies):
                names = self.runner_ids[runner], self.model_ids[model]
                self.orders.setdefault(names, []).append(action)
                self.say("load", runner=names[0], fn=names[1], number=copies)
            case ListWorkers():
                self.say("stream-changes", want=True)

    def forget(self, task: Request) -> None:
        self.tasks.pop(self.task_ids.pop(task), None)

    def say(self, word: str, **fields: Any) -> None:
        self.out.append({"msg": word, "dispatcher": self.number, **fields})


def msgspec_mark(name: str) -> int:
    """The same number for the same id at every dispatcher."""
    return int.from_bytes(name.encode(), "big")


def main(make: Callable[[int, dict[str, Any], int, list[dict[str, Any]]], Instance]) -> None:
    decode, encode = msgspec.json.Decoder(Batch).decode, msgspec.json.Encoder().encode
    instances: dict[int, Instance] = {}
    read, write = sys.stdin.buffer, sys.stdout.buffer
    for line in read:
        try:
            batch = decode(line)
            now = ns(batch.clock)
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
                    except BadSettings as error:
                        refused = f"settings that can't be used: {error}"
                        out.append({"msg": "panic", "dispatcher": who, "reason-text": refused})
                elif event.get("msg") == "exit":
                    instances.pop(who, None)
                    touched.pop(who, None)
                    continue
                if who in instances:
                    touched[who] = None
                    instances[who].out = out
                    instances[who].hear(event, now)
            except Exception as error:
                out.append(
                    {"msg": "panic", "dispatcher": who, "reason-text": f"{type(error).__name__}: {error}"}
                )
        for who in touched:
            try:
                instances[who].settle(now)
            except Exception as error:
                out.append(
                    {"msg": "panic", "dispatcher": who, "reason-text": f"{type(error).__name__}: {error}"}
                )
        write.write(encode({"out": out}))
        write.write(b"\n")
        write.flush()
        if refused:
            sys.exit(refused)
