"""The optional decision log: one line per decision, attempt result and load request result."""

from __future__ import annotations

import structlog

from martenlead.edge.records import (
    FunctionEntry,
    InFlightAttempt,
    PendingRequest,
    PolicyFunction,
    PolicyWorker,
    UpstreamWorker,
)
from martenlead.policy.types import Action, LoadRequest, Request
from martenlead.upstream.outcome import UpstreamOutcome


class DecisionLog:
    """Writes the log; takes names from the dispatcher's tables, which it only reads."""

    def __init__(
        self,
        name: str,
        workers: dict[PolicyWorker, UpstreamWorker],
        functions: dict[PolicyFunction, FunctionEntry],
        pending_requests: dict[Request, PendingRequest],
    ) -> None:
        self._log = structlog.get_logger().bind(edge=name)
        self._workers, self._functions = workers, functions
        self._pending_requests = pending_requests

    def log_decision(self, action: Action) -> None:
        """Logs a decision as it is carried out."""
        fields: dict[str, str | int] = {"action": type(action).__name__}
        worker = getattr(action, "worker", None)
        if worker in self._workers:
            fields["worker"] = self._workers[worker].endpoint.id
        attempt = getattr(action, "attempt", None)
        request = getattr(action, "request", None) or (attempt.request if attempt else None)
        if request in self._pending_requests:
            fields["request"] = self._pending_requests[request].incoming.id
        if isinstance(action, LoadRequest) and action.function in self._functions:
            fields["function"] = self._functions[action.function].name
            fields["replicas"] = action.replicas
        self._log.info("decision_made", **fields)

    def log_attempt_end(self, attempt: InFlightAttempt, outcome: UpstreamOutcome) -> None:
        """Logs how an attempt ended."""
        self._log.info(
            "attempt_ended",
            request=attempt.request.incoming.id,
            worker=attempt.worker.endpoint.id,
            result=outcome.result.value,
            reason=outcome.reason,
        )

    def log_load_end(
        self, load_request: LoadRequest, worker: UpstreamWorker, outcome: UpstreamOutcome
    ) -> None:
        """Logs how a load request ended."""
        entry = self._functions.get(load_request.function)
        self._log.info(
            "load_request_ended",
            worker=worker.endpoint.id,
            function=entry.name if entry is not None else "",
            result=outcome.result.value,
            reason=outcome.reason,
        )
