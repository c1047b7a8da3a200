"""Measures the cost of saving a dispatcher's knowledge and of a start with it, for 100 to 10,000 models.

PYTHONPATH=. .venv/bin/python benchmarks/lasting.py
"""

from __future__ import annotations

import gc
import json
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from martenlead.config.edge import build_policy_settings
from martenlead.config.load import decode
from martenlead.durable_state.disk import StateFolder
from martenlead.durable_state.knowledge import (
    SECOND,
    SavedKnowledge,
    build_earlier_run,
    gather_in_steps,
    list_reloads,
)
from martenlead.durable_state.store import StateKind, StateStore
from martenlead.policy.policy import Policy
from martenlead.policy.types import FunctionFacts, WorkerFacts, WorkerState
from support.fleet import REQUEST_CLASSES


def make_policy(models: int) -> tuple[Policy, dict[Any, str], dict[Any, tuple[str, str, bool]]]:
    """Creates a policy that knows a number of functions and 100 workers."""
    from martenlead.config.edge import EdgeSettings

    settings, _, _ = build_policy_settings(
        decode({"roster": {"port": 1}, "offerings": REQUEST_CLASSES}, EdgeSettings, "bench")
    )
    policy = Policy(settings, 1)
    policy.state.now_ns = 1000 * SECOND
    chance = Random(1)
    workers = [policy.new_worker(WorkerFacts(n + 1, "z", 0, 4e4, 4.0, WorkerState.UP, 0)) for n in range(100)]
    policy.update_workers([(r, r.facts) for r in workers], True)
    names = {}
    for n in range(models):
        model = policy.new_function(FunctionFacts(n + 1, 4, 3000.0))
        names[model] = f"offering.{n:016x}"
        model.requests, model.first_request_ns = 50, policy.state.now_ns - 100 * SECOND
        model.last_request_ns = policy.state.now_ns - chance.randrange(5 * SECOND)
        model.rated_requests, model.rated_span_ns = 20.0, 10 * SECOND
        for _ in range(30):
            model.latency.add(chance.randrange(10_000_000, 900_000_000))
        for worker in chance.sample(workers, 3):
            replica = policy.state.replica(model, worker)
            replica.is_retained = replica.is_loaded = True
            replica.last_used_ns = model.last_request_ns
    return policy, names, {r: (f"runner-{n}", "1", False) for n, r in enumerate(workers)}


def main() -> None:
    """Print the cost of saving and of a start for each number of functions."""
    for count in (100, 1000, 10_000):
        policy, names, workers = make_policy(count)
        gc.collect()
        gc.freeze()  # As the edge program does.
        gc.set_threshold(20_000, 20, 50)
        with tempfile.TemporaryDirectory() as folder:
            store = StateStore(StateFolder(Path(folder)), "bench", time.time_ns)
            kind = StateKind("knowledge")
            last: tuple[int, SavedKnowledge] | None = None
            gathered = written = longest = 0.0
            for n in range(5):
                began = time.perf_counter()
                steps = gather_in_steps(policy, policy.state.now_ns + n * SECOND, names, workers, last)
                while True:
                    slice_began = time.perf_counter()
                    try:
                        next(steps)
                    except StopIteration as stop:
                        knowledge = stop.value
                        break
                    finally:
                        longest = max(longest, time.perf_counter() - slice_began)
                last = policy.state.now_ns + n * SECOND, knowledge
                middle = time.perf_counter()
                store.write(kind, knowledge)
                gathered += middle - began
                written += time.perf_counter() - middle
            size = max(p.stat().st_size for p in Path(folder).glob("knowledge.*"))
            store.close()
            began = time.perf_counter()
            again = StateStore(StateFolder(Path(folder)), "bench", time.time_ns)
            state = again.read(kind)
            assert state is not None
            known = msgspec.convert(state.value, SavedKnowledge)
            fresh = Policy(policy.settings, 2)
            fresh.state.now_ns = policy.state.now_ns
            models = {
                m.name: fresh.new_function(FunctionFacts(1, m.lanes, m.memory_mb)) for m in known.functions
            }
            restored_workers = {
                name: (fresh.new_worker(r.facts), incarnation)
                for r, (name, incarnation, _) in workers.items()
            }
            fresh.restore(build_earlier_run(known, 5 * SECOND, models, restored_workers, 0))
            reload_count = len(list_reloads(known, SECOND, 10 * SECOND, restored_workers))
            started = time.perf_counter() - began
        print(
            json.dumps(
                {
                    "models": count,
                    "ms in the event loop a saving": round(gathered / 5 * 1000, 1),
                    "of it at a time, at most": round(longest * 1000, 1),
                    "ms in a thread": round(written / 5 * 1000, 1),
                    "KB on disk": round(size / 1000),
                    "ms to start with it": round(started * 1000, 1),
                    "copies asked for": reload_count,
                }
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
