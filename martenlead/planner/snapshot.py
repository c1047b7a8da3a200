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
from martenlead.policy.latency import LatencyHistogram
from martenlead.policy.policy import Policy
from martenlead.policy.types import Attempt, Request, Result, Settings, Tenant

NUMBERS = (int, float, bool)
OMITTED_FIELDS = {"now_ns"}  # made anew by whoever reads


# the wire's names of fields, where they are others than here; docs/protocol-plan.md
WORKER_NAMES = {
    "is_listed": "listed",
    "in_flight": "out",
    "warm_in_flight": "running",
    "concurrency_limit": "width",
    "retry_budget": "credit",
    "refused_in_a_row": "fulls",
    "unanswered_in_a_row": "silent",
    "late_share": "late",
    "last_error_ns": "failed_last",
    "last_response_ns": "heard",
    "limit_cut_ns": "widened",
    "overdue_since_ns": "waiting",
    "next_attempt_ns": "next",
    "ramp_start_ns": "ramp",
    "latency_ratio": "ratio",
}
FUNCTION_NAMES = {
    "first_request_ns": "first",
    "last_request_ns": "last",
    "requests": "tasks",
    "second_start_ns": "second",
    "new_requests": "counts",
    "rated_requests": "seen",
    "rated_span_ns": "span",
    "mean_cost": "cost",
    "capacity_per_second": "most",
    "replicas_added": "added",
}
REPLICA_NAMES = {
    "in_flight": "out",
    "is_retained": "held",
    "is_loaded": "stands",
    "last_used_ns": "touched",
    "load_failed_ns": "refused",
    "load_requested_ns": "ordered",
}
POLICY_NAMES = {
    "highest_weight": "weight",
    "warm_in_flight": "running",
    "check_period_ns": "period",
    "shortest_objective_ns": "soft",
    "succeeded_per_second": "rate",
    "peak_succeeded_per_second": "best",
    "new_requests_per_second": "asked",
    "equivalent_dispatchers": "peers",
    "succeeded_in_period": "satisfied",
    "new_requests_in_period": "first_tries",
    "all_functions": "latency",
    "last_period_ns": "span",
    "request_times_ns": "taken",
    "load_times_ns": "orders",
}


def list_field_owners(policy: Policy) -> list[Any]:
    """The objects of a policy whose fields are the wire's fields of one."""
    state = policy.state
    return [state, state.traffic, state.latencies, policy.scaling, policy.load_budget]


def pack_fields(thing: Any, names: Mapping[str, str]) -> dict[str, Any]:
    """Numbers, histograms and rows of numbers of an object, by the wire's names."""
    told: dict[str, Any] = {}
    for name, value in vars(thing).items():
        if name in OMITTED_FIELDS:
            continue
        wire = names.get(name, name)
        if isinstance(value, NUMBERS):
            told[wire] = value
        elif isinstance(value, LatencyHistogram):
            told[wire] = {"bins": value.bins, "total": value.total, "sum": value.sum_ns}
        elif isinstance(value, (list, deque)) and all(isinstance(v, NUMBERS) for v in value) and value:
            told[wire] = list(value)
    return told


def unpack_fields(thing: Any, told: Mapping[str, Any], names: Mapping[str, str]) -> None:
    """The other way round; what does not fit is passed over."""
    for name, here in list(vars(thing).items()):
        wire = names.get(name, name)
        if name in OMITTED_FIELDS or wire not in told:
            continue
        value = told[wire]
        if isinstance(here, LatencyHistogram):
            if isinstance(value, dict) and len(value.get("bins", ())) == len(here.bins):
                here.bins = [float(n) for n in value["bins"]]
                here.total, here.sum_ns = float(value["total"]), float(value["sum"])
        elif isinstance(here, deque):
            if isinstance(value, list):
                here.clear()
                here.extend(value)
        elif isinstance(here, list):
            if isinstance(value, list) and len(value) == len(here):
                setattr(thing, name, list(value))
        elif isinstance(here, NUMBERS) and isinstance(value, NUMBERS):
            setattr(thing, name, type(here)(value) if isinstance(here, bool) else value)


def take_snapshot(
    policy: Policy,
    start: ev.RunStarted,
    runners: Mapping[Any, int],
    models: Mapping[Any, int],
    tasks: Mapping[Request, int],
    customers: Mapping[Tenant, int],
    names: tuple[Mapping[Any, str], Mapping[Any, str]],
    most: int = 1 << 30,
) -> dict[str, Any]:
    """All that `Restored` needs; `names` are the runners' and the models'. Reads and changes nothing. Of the
    models `most` are written: those with copies that are held, and then those that were asked for most."""
    lively = [m for m in policy.state.functions if m.replicas or m.new_requests[1] or m.rated_requests >= 1]
    if len(lively) > most:
        out = {t.function for t in tasks}
        weight = {
            f: (
                any(r.is_retained for r in f.replicas.values()),
                f in out,
                f.rated_requests + f.new_requests[1],
            )
            for f in lively
        }
        lively = sorted(lively, key=weight.__getitem__, reverse=True)[:most]
    written = set(lively)
    own = [pack_fields(part, POLICY_NAMES) for part in list_field_owners(policy)]
    offerings = {id(o): n for n, o in enumerate(policy.settings.request_classes)}
    return {
        "settings": {
            **start.settings,
            "tick": policy.settings.tick_ns,
        },  # as stated: who plans now is no matter
        "seed": start.seed,
        "customers": start.tenants,
        "brain": {name: value for part in own for name, value in part.items()},
        "served": [[customers[c], n] for c, n in policy.tenant_shares.requests_in_period.items()],
        "rates": [[customers[c], n] for c, n in policy.tenant_shares.requests_per_second.items()],
        "runners": [
            [n, names[0][r], ev.pack_facts(r.facts), r.is_listed, pack_fields(r, WORKER_NAMES)]
            for r, n in runners.items()
        ],
        "models": [
            [
                models[m],
                names[1][m],
                f"{m.facts.mark:x}",
                m.facts.lanes,
                m.facts.memory_mb,
                pack_fields(m, FUNCTION_NAMES),
                runners[m.home] if m.home is not None else -1,
                [[runners[r], pack_fields(c, REPLICA_NAMES)] for r, c in m.replicas.items()],
            ]
            for m in lively
        ],
        "tasks": [
            [
                n,
                models[t.function],
                offerings[id(t.request_class)],
                customers[t.tenant] if t.tenant is not None else -1,
                t.deadline_ns,
                t.is_retry,
                t.cost,
                [
                    [runners[h.worker], h.timeout_ns, h.sent_ns, h.expects_warm, _result(h)]
                    for h in t.attempts
                ],
            ]
            for t, n in tasks.items()
            if t.function in written and any(h.result is None for h in t.attempts)
        ],
    }


def _result(hand_off: Attempt) -> str:
    return hand_off.result.value if hand_off.result is not None else ""


class RestoredPolicy:
    """An instance of the module, and the objects that numbers stand for."""

    def __init__(self, state: Mapping[str, Any], now: int, settings: Settings | None = None) -> None:
        """Raises KeyError, ValueError, TypeError or IndexError for what no edge writes."""
        self.settings = settings or ev.unpack_settings(state["settings"])
        self.policy = policy = Policy(self.settings, int(state["seed"]))
        policy.state.now_ns = now
        self.tenants = [Tenant(float(quota)) for _, quota in state["customers"]]
        self.workers: dict[int, Any] = {}
        self.functions: dict[int, Any] = {}
        self.requests: dict[int, Request] = {}
        self.names: dict[Any, str] = {}
        listed, facts = [], {}
        for number, name, packed, on, _ in state["runners"]:
            facts[number] = ev.unpack_facts(
                ev.PackedWorkerFacts(*packed) if isinstance(packed, list) else packed
            )
            runner = self.workers[number] = policy.new_worker(facts[number])
            self.names[runner] = name
            if on:
                listed.append((runner, facts[number]))
        policy.update_workers(listed, True)
        for number, _, _, _, told in state["runners"]:
            known = {k: v for k, v in told.items() if k not in ("listed", "part")}
            unpack_fields(self.workers[number], known, WORKER_NAMES)
        for number, name, mark, lanes, memory, told, home, copies in state["models"]:
            model = self.add_function(ev.FunctionAdded(now, number, name, mark, lanes, memory))
            unpack_fields(model, told, FUNCTION_NAMES)
            model.home = self.workers[home] if home >= 0 else None
            for at, fields in copies:
                unpack_fields(policy.state.replica(model, self.workers[at]), fields, REPLICA_NAMES)
        own = {k: v for k, v in state["brain"].items() if k not in ("memory", "period", "soft")}
        for part in list_field_owners(policy):
            unpack_fields(part, own, POLICY_NAMES)
        policy.tenant_shares.requests_in_period = {self.tenants[n]: tasks for n, tasks in state["served"]}
        policy.tenant_shares.requests_per_second = {self.tenants[n]: rate for n, rate in state["rates"]}
        for number, m, offering, customer, give_up, again, cost, hand_offs in state["tasks"]:
            task = self.add_request(number, m, offering, customer, give_up, again, cost)
            for at, patience, sent, expected, result in hand_offs:
                done = Result(result) if result else None
                task.attempts.append(Attempt(task, self.workers[at], patience, sent, expected, done))

    def add_function(self, event: ev.FunctionAdded) -> Any:
        model = self.functions[event.function] = self.policy.new_function(ev.unpack_function_facts(event))
        self.names[model] = event.name
        return model

    def add_request(
        self, number: int, model: int, offering: int, customer: int, give_up: int, again: bool, cost: float
    ) -> Request:
        who = self.tenants[customer] if customer >= 0 else None
        task = Request(
            self.functions[model], self.settings.request_classes[offering], who, give_up, again, cost
        )
        self.requests[number] = task
        return task
