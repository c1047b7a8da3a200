"""The wire: one batch a line in, one reply a line out, an engine for each instance."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import msgspec

from martenlead.benchlink.settings import Profile, ns
from martenlead.brain import Brain
from martenlead.engine import Engine
from martenlead.interface import (
    Action,
    Answer,
    AskRoster,
    CallOff,
    HandOff,
    ModelFacts,
    Order,
    Result,
    RunnerFacts,
    Scrap,
    State,
    Task,
    TurnBack,
    Warmth,
)

RESULTS = {
    "served": Result.SATISFIED,
    "server_error": Result.ERROR,
    "turned_away": Result.FULL,
    "no_answer": Result.SILENT,
    "no_connection": Result.UNREACHED,
    "connection_lost": Result.BROKEN,
    "called_off": Result.CALLED_OFF,
    "not_sent": Result.NOT_SENT,
    "not_stored": Result.MISSING,
}
WARMTH = {1: Warmth.WARM, 2: Warmth.BEGAN, 3: Warmth.WAITED, 4: Warmth.LOAD_FAILED}
STATES = {"U": State.UP, "L": State.DRAINING, "D": State.GONE}
CHECK = "check"


class Instance:
    """One dispatcher: its engine, and the ids that stand for its objects."""

    def __init__(self, number: int, event: dict[str, Any], now: int, out: list[dict[str, Any]]) -> None:
        self.number = number
        self.out = out
        self.profile = Profile(event["profile-data"])
        self.brain = Brain(self.profile.settings, event["seed"])
        self.brain.now = now
        self.engine = Engine(self.brain, self.act)
        self.runners: dict[str, Any] = {}
        self.runner_ids: dict[Any, str] = {}
        self.models: dict[str, Any] = {}
        self.model_ids: dict[Any, str] = {}
        self.tasks: dict[str, Task] = {}
        self.task_ids: dict[Task, str] = {}
        self.open: dict[tuple[str, int], HandOff] = {}
        self.orders: dict[tuple[str, str], list[Order]] = {}
        self.begun = False
        self.armed: int | None = None

    # -- events

    def hear(self, event: dict[str, Any], now: int) -> None:
        self.brain.now = now
        handler = self.HANDLERS.get(event["msg"])
        if handler:
            handler(self, event, now)

    def settle(self, now: int) -> None:
        self.brain.now = now
        self.engine.advance(now)
        due = self.engine.due()
        if due is not None and (self.armed is None or due < self.armed):
            self.armed = max(due, now + 1000)
            self.say("remind", after=(self.armed - now) / 1e9, tag=CHECK)

    def update(self, event: dict[str, Any], now: int) -> None:
        news = []
        for line in event.get("items") or []:
            name, kind = line["runner"], line.get("machine", "")
            memory = self.profile.memory.get(kind, 1.0)
            facts = RunnerFacts(
                mark=msgspec_mark(name),
                zone=line.get("campus", ""),
                cell=line.get("cluster", 0),
                memory=memory,
                weight=memory if self.profile.silent_weights else line.get("heft", 1.0),
                state=STATES.get(line.get("status", "U"), State.UP),
                since=ns(line.get("online-since") or 0),
            )
            if name not in self.runners:
                runner = self.brain.runner(facts)
                self.runners[name], self.runner_ids[runner] = runner, name
            news.append((self.runners[name], facts))
        if event["form"] != "X":
            self.brain.roster(news, event["form"] in ("F", "C"))
        if not self.begun:
            self.begun = True
            self.engine.begin()

    def request(self, event: dict[str, Any], now: int) -> None:
        name = event["fn"]
        if name not in self.models:
            facts = ModelFacts(
                int(name, 16), max(1, int(event.get("per-copy") or 1)), event.get("ram-mb") or 0.0
            )
            model = self.brain.model(facts)
            self.models[name], self.model_ids[model] = model, name
        task = Task(
            model=self.models[name],
            offering=self.profile.offerings[event["band"]],
            customer=self.profile.customers.get(event.get("client-group") or ""),
            give_up=ns(event["give-up-at"]),
            again=bool(event.get("retry")),
            cost=event.get("cost") or 0.0,
        )
        self.tasks[event["ref"]], self.task_ids[task] = task, event["ref"]
        self.engine.take(task)

    def outcome(self, event: dict[str, Any], now: int) -> None:
        ref, hop = event["ref"], event.get("hop") or 0
        hand_off = self.open.pop((ref, hop), None)
        if hand_off is None:
            return
        final = bool(event.get("terminal"))
        warmth = WARMTH.get((event.get("note") or 0) % 8, Warmth.UNTOLD)
        result = RESULTS.get(event["reason"], Result.ERROR)
        self.engine.answered(Answer(hand_off, result, final, warmth, ns(event.get("lag") or 0)))
        if final:
            self.drop(ref)

    def expired(self, event: dict[str, Any], now: int) -> None:
        self.drop(event["ref"])

    def drop(self, ref: str) -> None:
        task = self.tasks.pop(ref, None)
        if task is not None:
            del self.task_ids[task]
            self.engine.closed(task)

    def timer(self, event: dict[str, Any], now: int) -> None:
        if self.armed is not None and now >= self.armed - 1000:
            self.armed = None

    def in_place(self, event: dict[str, Any], now: int) -> None:
        waiting = self.orders.get((event["runner"], event["fn"]))
        if waiting:
            result = RESULTS.get(event["reason"], Result.ERROR)
            self.engine.ordered(waiting.pop(0), result, event.get("number") or 0)

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
            case HandOff(task=task, runner=runner, patience=patience):
                ref = self.task_ids[task]
                self.open[ref, len(task.hand_offs) - 1] = action
                self.say("issue", ref=ref, runner=self.runner_ids[runner], within=patience / 1e9)
            case TurnBack(task=task, wait=wait):
                self.say("say-no", ref=self.task_ids[task], wait=wait / 1e9)
                self.forget(task)
            case Scrap(task=task):
                self.say("finish-error", ref=self.task_ids[task])
                self.forget(task)
            case CallOff(hand_off=hand_off):
                for (ref, hop), open_one in self.open.items():
                    if open_one is hand_off:
                        self.say("stop-attempt", ref=ref, hop=hop)
            case Order(runner=runner, model=model, copies=copies):
                names = self.runner_ids[runner], self.model_ids[model]
                self.orders.setdefault(names, []).append(action)
                self.say("load", runner=names[0], fn=names[1], number=copies)
            case AskRoster():
                self.say("stream-changes", want=True)

    def forget(self, task: Task) -> None:
        self.tasks.pop(self.task_ids.pop(task), None)

    def say(self, word: str, **fields: Any) -> None:
        self.out.append({"msg": word, "dispatcher": self.number, **fields})


def msgspec_mark(name: str) -> int:
    """The same number for the same id at every dispatcher."""
    return int.from_bytes(name.encode(), "big")


def main(make: Callable[[int, dict[str, Any], int, list[dict[str, Any]]], Instance]) -> None:
    decode, encode = msgspec.json.Decoder().decode, msgspec.json.Encoder().encode
    instances: dict[int, Instance] = {}
    read, write = sys.stdin.buffer, sys.stdout.buffer
    for line in read:
        try:
            batch = decode(line)
            now, happened = ns(batch["clock"]), batch["happened"]
        except (msgspec.DecodeError, TypeError, KeyError) as error:
            sys.exit(f"not a batch: {error!r}")
        out: list[dict[str, Any]] = []
        touched: dict[int, None] = {}
        for event in happened:
            number = event.get("dispatcher")
            try:
                if event.get("msg") == "hello":
                    instances[number] = make(number, event, now, out)
                elif event.get("msg") == "exit":
                    instances.pop(number, None)
                    touched.pop(number, None)
                    continue
                if number in instances:
                    touched[number] = None
                    instances[number].out = out
                    instances[number].hear(event, now)
            except Exception as error:
                out.append(
                    {"msg": "panic", "dispatcher": number, "reason-text": f"{type(error).__name__}: {error}"}
                )
        for number in touched:
            try:
                instances[number].settle(now)
            except Exception as error:
                out.append(
                    {"msg": "panic", "dispatcher": number, "reason-text": f"{type(error).__name__}: {error}"}
                )
        write.write(encode({"out": out}))
        write.write(b"\n")
        write.flush()
