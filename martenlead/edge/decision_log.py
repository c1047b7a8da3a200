"""The log of decisions, a line each, with what became of them; written only where the settings ask for it."""

from __future__ import annotations

from typing import Any

import structlog

from martenlead.edge.records import Box, Held, Known, Out
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
from martenlead.runnerlink.heard import Heard

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
        self, name: str, workers: dict[Any, Box], functions: dict[Any, Known], held: dict[Request, Held]
    ) -> None:
        self._log = structlog.get_logger().bind(edge=name)
        self._workers, self._functions, self._held = workers, functions, held

    def decided(self, action: Action) -> None:
        """A decision, as it is carried out."""
        about: dict[str, Any] = {"what": LOGGED_AS[type(action)]}
        worker = getattr(action, "worker", None)
        if worker in self._workers:
            about["runner"] = self._workers[worker].line.id
        attempt = getattr(action, "attempt", None)
        task = getattr(action, "request", None) or (attempt.request if attempt else None)
        if task in self._held:
            about["task"] = self._held[task].wanted.id
        if isinstance(action, LoadRequest) and action.function in self._functions:
            about |= {"model": self._functions[action.function].name, "copies": action.replicas}
        self._log.info("decides", **about)

    def attempt_ended(self, out: Out, told: Heard) -> None:
        """What a worker answered to an attempt."""
        request, worker = out.held.wanted.id, out.box.line.id
        self._log.info("hears", task=request, runner=worker, result=told.result.value, why=told.why)

    def load_ended(self, order: LoadRequest, box: Box, heard: Heard) -> None:
        """What a worker answered to a load request."""
        known = self._functions.get(order.function)
        name = known.name if known is not None else ""
        result, why = heard.result.value, heard.why
        self._log.info("order ends", runner=box.line.id, model=name, result=result, why=why)
