"""What one instance of the module knows, written for another: by the names of its fields, never by its code.

A field that the reader does not have is passed over, one that the writer does not have stays as a new object
has it. So two programs whose module differs a little understand each other, and what they do not share is
learnt anew. Models that hold nothing and were not asked for lately are left out.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any

from martenlead.capture import events as ev
from martenlead.policy.policy import Brain, Histogram
from martenlead.policy.types import Customer, HandOff, Result, Settings, Task

NUMBERS = (int, float, bool)
NOT_OURS = {"now", "roster_version", "order_made"}  # made anew by whoever reads


def fields_of(thing: Any) -> dict[str, Any]:
    """Numbers, histograms and rows of numbers of an object."""
    told: dict[str, Any] = {}
    for name, value in vars(thing).items():
        if name in NOT_OURS:
            continue
        if isinstance(value, NUMBERS):
            told[name] = value
        elif isinstance(value, Histogram):
            told[name] = {"bins": value.bins, "total": value.total, "sum": value.sum}
        elif isinstance(value, (list, deque)) and all(isinstance(v, NUMBERS) for v in value) and value:
            told[name] = list(value)
    return told


def put_fields(thing: Any, told: Mapping[str, Any]) -> None:
    """The other way round; what does not fit is passed over."""
    for name, value in told.items():
        here = getattr(thing, name, None)
        if here is None or name in NOT_OURS:
            continue
        if isinstance(here, Histogram):
            if isinstance(value, dict) and len(value.get("bins", ())) == len(here.bins):
                here.bins = [float(n) for n in value["bins"]]
                here.total, here.sum = float(value["total"]), float(value["sum"])
        elif isinstance(here, deque):
            if isinstance(value, list):
                here.clear()
                here.extend(value)
        elif isinstance(here, list):
            if isinstance(value, list) and len(value) == len(here):
                setattr(thing, name, list(value))
        elif isinstance(here, NUMBERS) and isinstance(value, NUMBERS):
            setattr(thing, name, type(here)(value) if isinstance(here, bool) else value)


def take(
    brain: Brain,
    start: ev.Start,
    runners: Mapping[Any, int],
    models: Mapping[Any, int],
    tasks: Mapping[Task, int],
    customers: Mapping[Customer, int],
    names: tuple[Mapping[Any, str], Mapping[Any, str]],
    most: int = 1 << 30,
) -> dict[str, Any]:
    """All that `Restored` needs; `names` are the runners' and the models'. Reads and changes nothing. Of the
    models `most` are written: those with copies that are held, and then those that were asked for most."""
    lively = [m for m in brain.models if m.copies or m.counts[1] or m.seen >= 1]
    if len(lively) > most:
        out = {t.model for t in tasks}
        weight = {m: (any(c.held for c in m.copies.values()), m in out, m.seen + m.counts[1]) for m in lively}
        lively = sorted(lively, key=weight.__getitem__, reverse=True)[:most]
    written = set(lively)
    offerings = {id(o): n for n, o in enumerate(brain.settings.offerings)}
    return {
        "settings": {**start.settings, "tick": brain.settings.tick},  # as stated: who plans now is no matter
        "seed": start.seed,
        "customers": start.customers,
        "brain": fields_of(brain),
        "served": [[customers[c], n] for c, n in brain.served.items()],
        "rates": [[customers[c], n] for c, n in brain.rates.items()],
        "runners": [
            [n, names[0][r], ev.pack_facts(r.facts), r.listed, fields_of(r)] for r, n in runners.items()
        ],
        "models": [
            [
                models[m],
                names[1][m],
                f"{m.facts.mark:x}",
                m.facts.lanes,
                m.facts.memory,
                fields_of(m),
                runners[m.home] if m.home is not None else -1,
                [[runners[r], fields_of(c)] for r, c in m.copies.items()],
            ]
            for m in lively
        ],
        "tasks": [
            [
                n,
                models[t.model],
                offerings[id(t.offering)],
                customers[t.customer] if t.customer is not None else -1,
                t.give_up,
                t.again,
                t.cost,
                [[runners[h.runner], h.patience, h.sent, h.expected, _result(h)] for h in t.hand_offs],
            ]
            for t, n in tasks.items()
            if t.model in written and any(h.result is None for h in t.hand_offs)
        ],
    }


def _result(hand_off: HandOff) -> str:
    return hand_off.result.value if hand_off.result is not None else ""


class Restored:
    """An instance of the module, and the objects that numbers stand for."""

    def __init__(self, state: Mapping[str, Any], now: int, settings: Settings | None = None) -> None:
        """Raises KeyError, ValueError, TypeError or IndexError for what no edge writes."""
        self.settings = settings or ev.settings_of(state["settings"])
        self.brain = brain = Brain(self.settings, int(state["seed"]))
        brain.now = now
        self.customers = [Customer(float(quota)) for _, quota in state["customers"]]
        self.runners: dict[int, Any] = {}
        self.models: dict[int, Any] = {}
        self.tasks: dict[int, Task] = {}
        self.names: dict[Any, str] = {}
        listed, facts = [], {}
        for number, name, packed, on, _ in state["runners"]:
            facts[number] = ev.facts_of(ev.Facts(*packed) if isinstance(packed, list) else packed)
            runner = self.runners[number] = brain.runner(facts[number])
            self.names[runner] = name
            if on:
                listed.append((runner, facts[number]))
        brain.roster(listed, True)
        for number, _, _, _, told in state["runners"]:
            put_fields(self.runners[number], {k: v for k, v in told.items() if k not in ("listed", "part")})
        for number, name, mark, lanes, memory, told, home, copies in state["models"]:
            model = self.model(ev.NewModel(now, number, name, mark, lanes, memory))
            put_fields(model, told)
            model.home = self.runners[home] if home >= 0 else None
            for at, fields in copies:
                put_fields(brain.copy(model, self.runners[at]), fields)
        put_fields(brain, {k: v for k, v in state["brain"].items() if k not in ("memory", "period", "soft")})
        brain.served = {self.customers[n]: tasks for n, tasks in state["served"]}
        brain.rates = {self.customers[n]: rate for n, rate in state["rates"]}
        for number, m, offering, customer, give_up, again, cost, hand_offs in state["tasks"]:
            task = self.task(number, m, offering, customer, give_up, again, cost)
            for at, patience, sent, expected, result in hand_offs:
                done = Result(result) if result else None
                task.hand_offs.append(HandOff(task, self.runners[at], patience, sent, expected, done))

    def model(self, event: ev.NewModel) -> Any:
        model = self.models[event.model] = self.brain.model(ev.model_facts(event))
        self.names[model] = event.name
        return model

    def task(
        self, number: int, model: int, offering: int, customer: int, give_up: int, again: bool, cost: float
    ) -> Task:
        who = self.customers[customer] if customer >= 0 else None
        task = Task(self.models[model], self.settings.offerings[offering], who, give_up, again, cost)
        self.tasks[number] = task
        return task
