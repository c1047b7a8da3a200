"""One simulated dispatcher: its engine, and the mapping between ids and objects."""

from __future__ import annotations

from typing import Any, ClassVar

from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy
from martenlead.policy.state import Function, Worker
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
    RequestClass,
    WorkerFacts,
)
from martenlead.simulator_adapter import messages
from martenlead.simulator_adapter.messages import EventFields, read_number, read_text
from martenlead.simulator_adapter.settings import Profile, seconds_to_ns

NS_PER_SECOND = 1e9
TIMER_SLACK_NS = 1000  # the simulator's clock is in float seconds, which are rounded
HEXADECIMAL = 16


class SimulatedDispatcher:
    """Turns events into calls of the engine, and the engine's actions into replies."""

    def __init__(
        self, number: int, hello: EventFields, now_ns: int, replies: list[messages.Reply]
    ) -> None:
        """Raises SettingsError for settings that cannot be used, and KeyError without any."""
        self.number = number
        self.replies = replies
        self.profile = Profile(hello["profile-data"])
        self.policy = Policy(self.profile.settings, hello["seed"])
        self.policy.state.now_ns = now_ns
        self.engine = Engine(self.policy, self.perform)
        self.workers: dict[str, Worker] = {}
        self.worker_ids: dict[Worker, str] = {}
        self.functions: dict[str, Function] = {}
        self.function_ids: dict[Function, str] = {}
        self.requests: dict[str, Request] = {}
        self.request_ids: dict[Request, str] = {}
        self.open_attempts: dict[tuple[str, int], Attempt] = {}  # key: request id, attempt index
        # key: worker id, function id
        self.load_requests: dict[tuple[str, str], list[LoadRequest]] = {}
        self.is_started = False
        self.timer_due_ns: int | None = None

    # -- events

    def handle_event(self, event: EventFields, now_ns: int) -> None:
        """Handles one event; ignores those of an unknown kind."""
        self.policy.state.now_ns = now_ns
        handler = self.HANDLERS.get(read_text(event.get("msg")))
        if handler:
            handler(self, event, now_ns)

    def advance_timers(self, now_ns: int) -> None:
        """Resumes the generators that are due, and sets a timer for the next one."""
        self.policy.state.now_ns = now_ns
        self.engine.advance(now_ns)
        due_ns = self.engine.next_due_ns()
        if due_ns is not None and (self.timer_due_ns is None or due_ns < self.timer_due_ns):
            self.timer_due_ns = max(due_ns, now_ns + TIMER_SLACK_NS)
            after_seconds = (self.timer_due_ns - now_ns) / NS_PER_SECOND
            self.replies.append(messages.SetTimer(self.number, after_seconds))

    def _update_workers(self, event: EventFields, _now_ns: int) -> None:
        updates = []
        for worker_id, fields in messages.listed_workers(event):
            facts = self._worker_facts(worker_id, fields)
            if worker_id not in self.workers:
                worker = self.policy.new_worker(facts)
                self.workers[worker_id], self.worker_ids[worker] = worker, worker_id
            updates.append((self.workers[worker_id], facts))
        form = event.get("form")
        if form != messages.EMPTY_FORM:
            self.policy.update_workers(updates, form in messages.COMPLETE_FORMS)
        if not self.is_started:
            self.is_started = True
            self.engine.start()

    def _worker_facts(self, worker_id: str, fields: EventFields) -> WorkerFacts:
        kind = read_text(fields.get("machine"))
        memory_mb = self.profile.memory_mb_by_kind.get(kind, 1.0)
        has_silent_weights = self.profile.has_silent_weights
        return WorkerFacts(
            mark=mark_from_id(worker_id),
            zone=read_text(fields.get("campus")),
            cell=int(read_number(fields.get("cluster"))),
            memory_mb=memory_mb,
            weight=memory_mb if has_silent_weights else read_number(fields.get("heft", 1.0)),
            state=messages.read_worker_state(fields),
            started_ns=seconds_to_ns(read_number(fields.get("online-since"))),
        )

    def _accept_request(self, event: EventFields, _now_ns: int) -> None:
        request_id, function_id = read_text(event.get("ref")), read_text(event.get("fn"))
        deadline_seconds = read_number(event.get("give-up-at"))
        request_class = self.profile.request_classes.get(read_text(event.get("band")))
        function = None
        if request_class is not None and deadline_seconds:
            function = self._find_function(function_id, event)
        if request_class is None or function is None:
            self.replies.append(messages.FailRequest(self.number, request_id))
            return
        self._begin_request(request_id, function, request_class, deadline_seconds, event)

    def _find_function(self, function_id: str, event: EventFields) -> Function | None:
        """The function of an id, or None if the id is not hexadecimal and cannot be placed."""
        if function_id in self.functions:
            return self.functions[function_id]
        lanes, memory_mb = int(read_number(event.get("per-copy"))), read_number(event.get("ram-mb"))
        try:
            facts = FunctionFacts(int(function_id, HEXADECIMAL), max(1, lanes), memory_mb)
        except ValueError:
            return None
        function = self.policy.new_function(facts)
        self.functions[function_id], self.function_ids[function] = function, function_id
        return function

    def _begin_request(
        self,
        request_id: str,
        function: Function,
        request_class: RequestClass,
        deadline_seconds: float,
        event: EventFields,
    ) -> None:
        request = Request(
            function=function,
            request_class=request_class,
            tenant=self.profile.tenants.get(read_text(event.get("client-group"))),
            deadline_ns=seconds_to_ns(deadline_seconds),
            is_retry=bool(event.get("retry")),
            cost=read_number(event.get("cost")),
        )
        self.requests[request_id], self.request_ids[request] = request, request_id
        self.engine.handle_request(request)

    def _record_result(self, event: EventFields, _now_ns: int) -> None:
        request_id, index = read_text(event.get("ref")), int(read_number(event.get("hop")))
        attempt = self.open_attempts.pop((request_id, index), None)
        if attempt is None:
            return
        result = AttemptResult(
            attempt=attempt,
            result=messages.read_result(event),
            is_final=bool(event.get("terminal")),
            warmth=messages.read_warmth(event),
            latency_ns=seconds_to_ns(read_number(event.get("lag"))),
        )
        self.engine.record_result(result)
        if result.is_final:
            self._close_request(request_id)

    def _expire_request(self, event: EventFields, _now_ns: int) -> None:
        self._close_request(read_text(event.get("ref")))

    def _close_request(self, request_id: str) -> None:
        request = self.requests.pop(request_id, None)
        if request is not None:
            del self.request_ids[request]
            self.engine.close_request(request)

    def _end_timer(self, _event: EventFields, now_ns: int) -> None:
        if self.timer_due_ns is not None and now_ns >= self.timer_due_ns - TIMER_SLACK_NS:
            self.timer_due_ns = None

    def _record_load_end(self, event: EventFields, _now_ns: int) -> None:
        key = read_text(event.get("runner")), read_text(event.get("fn"))
        waiting = self.load_requests.get(key)
        if waiting:
            replicas = int(read_number(event.get("number")))
            self.engine.record_load_end(waiting.pop(0), messages.read_result(event), replicas)

    HANDLERS: ClassVar[dict[str, Any]] = {  # unbound methods, which take the instance first
        "update": _update_workers,
        "request": _accept_request,
        "closed-attempt": _record_result,
        "expired": _expire_request,
        "deadline-hit": _end_timer,
        "in-place": _record_load_end,
    }

    # -- actions

    def perform(self, action: Action) -> None:
        """Sends the reply for an action of the policy."""
        match action:
            case Attempt():
                self._send_attempt(action)
            case Reject(request=request, retry_after_ns=retry_after_ns):
                request_id = self._forget_request(request)
                seconds = retry_after_ns / NS_PER_SECOND
                self.replies.append(messages.RejectRequest(self.number, request_id, seconds))
            case Fail(request=request):
                request_id = self._forget_request(request)
                self.replies.append(messages.FailRequest(self.number, request_id))
            case Cancel(attempt=attempt):
                self._cancel_attempt(attempt)
            case LoadRequest():
                self._request_load(action)
            case ListWorkers():
                self.replies.append(messages.WatchWorkers(self.number))

    def _send_attempt(self, attempt: Attempt) -> None:
        request = attempt.request
        request_id, worker_id = self.request_ids[request], self.worker_ids[attempt.worker]
        self.open_attempts[request_id, len(request.attempts) - 1] = attempt
        timeout_seconds = attempt.timeout_ns / NS_PER_SECOND
        self.replies.append(
            messages.SendAttempt(self.number, request_id, worker_id, timeout_seconds)
        )

    def _cancel_attempt(self, cancelled: Attempt) -> None:
        for (request_id, index), attempt in self.open_attempts.items():
            if attempt is cancelled:
                self.replies.append(messages.CancelAttempt(self.number, request_id, index))

    def _request_load(self, load: LoadRequest) -> None:
        worker_id, function_id = self.worker_ids[load.worker], self.function_ids[load.function]
        self.load_requests.setdefault((worker_id, function_id), []).append(load)
        self.replies.append(
            messages.LoadFunction(self.number, worker_id, function_id, load.replicas)
        )

    def _forget_request(self, request: Request) -> str:
        """Removes a request and returns its id."""
        request_id = self.request_ids.pop(request)
        self.requests.pop(request_id, None)
        return request_id


def mark_from_id(worker_id: str) -> int:
    """The mark of a worker: a number that is the same for the same id at every dispatcher."""
    return int.from_bytes(worker_id.encode(), "big")
