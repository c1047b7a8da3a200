"""A dispatcher's policy driven by hand: virtual time, named workers and functions, a trace of decisions."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

from martenlead.policy import types
from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy

MS = 1_000_000
IDEMPOTENT = types.RequestClass(500 * MS, types.Effect.IDEMPOTENT, types.DeduplicationScope.ALL, 0)
WITH_KEY = types.RequestClass(
    300 * MS, types.Effect.WITH_IDEMPOTENCY_KEY, types.DeduplicationScope.ZONE, 8000 * MS
)
NON_IDEMPOTENT = types.RequestClass(300 * MS, types.Effect.NON_IDEMPOTENT, types.DeduplicationScope.ALL, 0)
SETTINGS = types.Settings(
    dispatchers=1,
    tick_ns=2 * MS,
    attempt_limit=3,
    may_hedge=False,
    may_cancel=True,
    may_request_loads=True,
    tells_warmth=True,
    loads_on_miss=True,
    retry_after_limit_ns=500 * MS,
    keep_alive_ns=8000 * MS,
    connect_timeout_ns=0,
    load_window_ns=0,
    free_loads_per_window=0,
    loads_per_request=0,
    slow_start_share=0.2,
    slow_start_ns=10_000 * MS,
    slow_start_multiple=2.5,
    over_share=0.2,
    rate_limit_per_second=1e9,
    late_value=0.2,
    load_price=0.04,
    memory_price=0.0,
    lists_workers=False,
    list_interval_ns=10_000 * MS,
    request_classes=[IDEMPOTENT, WITH_KEY, NON_IDEMPOTENT],
)


class ScriptedDispatcher:
    """A policy with its engine; the test sends requests, ends attempts and loads, and moves the clock.

    `trace` has one line for each decision and event, with its time in ms.
    """

    def __init__(self, workers: str = "abc", seed: int = 7, **changes: Any) -> None:
        """Lists one worker for each letter of `workers`; `changes` are settings that differ from SETTINGS."""
        self.trace: list[str] = []
        self.policy = Policy(replace(SETTINGS, **changes), seed)
        self.engine = Engine(self.policy, self.perform)
        self.names: dict[Any, str] = {}
        self.attempts: list[types.Attempt] = []
        self.load_requests: list[types.LoadRequest] = []
        self.workers = {name: self.policy.new_worker(self.worker_facts(name)) for name in workers}
        self.names |= {worker: name for name, worker in self.workers.items()}
        self.functions: dict[str, Any] = {}
        self.list_all_workers()
        self.engine.start()

    def worker_facts(
        self, name: str, state: types.WorkerState = types.WorkerState.UP, started_ms: int = 0
    ) -> types.WorkerFacts:
        """What discovery reports of a worker; `a`, `b` and `c` are in one zone, all others in another."""
        zone = "east" if name in "abc" else "west"
        return types.WorkerFacts(ord(name), zone, 0, 50_000.0, 1.0, state, started_ms * MS)

    def list_all_workers(self) -> None:
        """Gives the policy a snapshot of all workers."""
        self.policy.update_workers([(r, r.facts) for r in self.workers.values()], True)

    def list_worker(
        self, name: str, state: types.WorkerState = types.WorkerState.UP, started_ms: int = 0
    ) -> None:
        """Gives the policy a changed state or start of one worker."""
        self.record(f"listed {name} {state.value}")
        self.policy.update_workers([(self.workers[name], self.worker_facts(name, state, started_ms))], False)

    def record(self, text: str) -> None:
        """Adds a line to the trace."""
        self.trace.append(f"{self.policy.state.now_ns // MS:6} {text}")

    def perform(self, action: types.Action) -> None:
        """Records an action of the policy, and keeps attempts and load requests for the test to end."""
        match action:
            case types.Attempt(request=request, worker=worker):
                self.attempts.append(action)
                self.record(f"{self.names[request]} -> {self.names[worker]}")
            case types.LoadRequest(worker=worker, function=function, replicas=replicas):
                self.load_requests.append(action)
                self.record(f"{'hold' if replicas else 'ask'} {self.names[function]} at {self.names[worker]}")
            case types.Reject(request=request, retry_after_ns=retry_after_ns):
                self.record(f"{self.names[request]} turned back, come again in {retry_after_ns // MS}")
            case types.Fail(request=request):
                self.record(f"{self.names[request]} scrapped")
            case types.Cancel(attempt=attempt):
                self.record(f"{self.names[attempt.request]} called off at {self.names[attempt.worker]}")

    def send_request(
        self,
        name: str,
        function: str = "m",
        request_class: types.RequestClass = IDEMPOTENT,
        timeout_ms: int = 4000,
        **optional: Any,
    ) -> Any:
        """Sends a request for a function; `tenant` and `is_retry` are optional."""
        if function not in self.functions:
            self.functions[function] = self.policy.new_function(types.FunctionFacts(ord(function), 2, 3000.0))
            self.names[self.functions[function]] = function
        deadline_ns = self.policy.state.now_ns + timeout_ms * MS
        request = types.Request(
            self.functions[function],
            request_class,
            optional.get("tenant"),
            deadline_ns,
            optional.get("is_retry", False),
            0.0,
        )
        self.names[request] = name
        self.engine.handle_request(request)
        return request

    def end_attempt(
        self,
        result: types.Result = types.Result.SUCCEEDED,
        warmth: types.Warmth = types.Warmth.WARM,
        index: int = -1,
    ) -> None:
        """Ends an attempt in flight, the latest unless `index` says otherwise; a success ends its request."""
        attempt = self.attempts.pop(index)
        self.record(f"{self.names[attempt.request]} {result.value} at {self.names[attempt.worker]}")
        latency_ns = self.policy.state.now_ns - attempt.sent_ns
        is_final = result is types.Result.SUCCEEDED
        self.engine.record_result(types.AttemptResult(attempt, result, is_final, warmth, latency_ns))
        if is_final:
            self.engine.close_request(attempt.request)

    def end_load_requests(self, loaded_at: str = "", result: types.Result = types.Result.SUCCEEDED) -> None:
        """Ends all open load requests with `result`.

        Those that only ask are answered, with a replica at the workers named in `loaded_at`.
        """
        load_requests, self.load_requests = self.load_requests, []
        for load in load_requests:
            is_loaded = int(load.replicas > 0 and result is types.Result.SUCCEEDED)
            is_loaded = is_loaded or int(self.names[load.worker] in loaded_at)
            self.engine.record_load_end(load, result if load.replicas else types.Result.SUCCEEDED, is_loaded)

    def advance_to(self, time_ms: int) -> None:
        """Moves the clock, stopping wherever something is due."""
        while (due := self.engine.next_due_ns()) is not None and due <= time_ms * MS:
            self.policy.state.now_ns = max(self.policy.state.now_ns, due)
            self.engine.advance(self.policy.state.now_ns)
        self.policy.state.now_ns = time_ms * MS

    def raise_concurrency_limits(self) -> None:
        """Allows four attempts in flight at each worker."""
        for worker in self.workers.values():
            worker.concurrency_limit = 4.0

    def serve_requests(self, count: int, function: str = "m", interval_ms: int = 50) -> None:
        """Sends requests that all succeed on warm replicas, and leaves them out of the trace."""
        kept = len(self.trace)
        for _ in range(count):
            self.send_request("-", function)
            self.end_load_requests()
            self.advance_to(self.policy.state.now_ns // MS + interval_ms)
            self.end_attempt()
        del self.trace[kept:]


def check_trace(dispatcher: ScriptedDispatcher, name: str) -> None:
    """Asserts that the trace equals the stored one of this name."""
    path = Path(__file__).parent / "traces" / f"{name}.txt"
    assert "\n".join(dispatcher.trace) + "\n" == path.read_text(), f"differs from {path.name}"
