"""The log of decisions, a line each, with what became of them; written only where the settings ask for it."""

from __future__ import annotations

from typing import Any

import structlog

from martenlead.edge.records import FunctionEntry, InFlightAttempt, PendingRequest, UpstreamWorker
from martenlead.policy.types import (
    Action,
    Attempt,
    Cancel,
    Fail,
    ListWorkers,
    LoadRequest,
    Reject,
    Request,
    Wait,
)
from martenlead.upstream.outcome import UpstreamOutcome

# the words by which operators know decisions, in `what`
LOGGED_AS: dict[type[Action], str] = {
    Attempt: "HandOff",
    Wait: "Wait",
    Reject: "TurnBack",
    Fail: "Scrap",
    Cancel: "CallOff",
    LoadRequest: "Order",
    ListWorkers: "AskRoster",
}


class DecisionLog:
    """Names workers, functions and requests by the tables of the dispatcher, which it only reads."""

    def __init__(
        self,
        name: str,
        workers: dict[Any, UpstreamWorker],
        functions: dict[Any, FunctionEntry],
        held: dict[Request, PendingRequest],
    ) -> None:
        self._log = structlog.get_logger().bind(edge=name)
        self._workers, self._functions, self._pending_requests = workers, functions, held

    def log_decision(self, action: Action) -> None:
        """A decision, as it is carried out."""
        about: dict[str, Any] = {"what": LOGGED_AS[type(action)]}
        worker = getattr(action, "worker", None)
        if worker in self._workers:
            about["runner"] = self._workers[worker].endpoint.id
        attempt = getattr(action, "attempt", None)
        task = getattr(action, "request", None) or (attempt.request if attempt else None)
        if task in self._pending_requests:
            about["task"] = self._pending_requests[task].incoming.id
        if isinstance(action, LoadRequest) and action.function in self._functions:
            about |= {"model": self._functions[action.function].name, "copies": action.replicas}
        self._log.info("decides", **about)

    def log_attempt_end(self, out: InFlightAttempt, told: UpstreamOutcome) -> None:
        """What a worker answered to an attempt."""
        request, worker = out.request.incoming.id, out.worker.endpoint.id
        self._log.info("hears", task=request, runner=worker, result=told.result.value, why=told.reason)

    def log_load_end(self, order: LoadRequest, box: UpstreamWorker, heard: UpstreamOutcome) -> None:
        """What a worker answered to a load request."""
        known = self._functions.get(order.function)
        name = known.name if known is not None else ""
        result, why = heard.result.value, heard.reason
        self._log.info("order ends", runner=box.endpoint.id, model=name, result=result, why=why)
