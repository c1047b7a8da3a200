"""The listener for operators: the dispatcher's state, its metrics, and the limits of its queues."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from martenlead.admission.controller import AdmissionController, AdmissionLimits
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.listener import EventListener
from martenlead.edge.responses import BAD_REQUEST, INTERNAL_ERROR, NOT_FOUND, OK, unreadable_message
from martenlead.edge.status_report import report_status
from martenlead.events.http import Message
from martenlead.events.problem import problem
from martenlead.events.server import Reply, Server, ServerLimits

CONFLICT = 409
CONNECTION_LIMIT = 16
JSON_TYPE = b"application/json"


class LimitsUpdate(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The body of `PUT /limits`; limits that are absent remain unchanged."""

    waiting: Annotated[int, Meta(ge=1)] | None = None
    bytes: Annotated[int, Meta(ge=1)] | None = None
    weights: dict[str, Annotated[float, Meta(gt=0)]] = {}


class AdminListener:
    """Serves GET /state (JSON), GET /metrics (Prometheus text format) and PUT /limits (queues)."""

    def __init__(self, dispatcher: Dispatcher, listener: EventListener | None = None) -> None:
        # imported here, so that edges without this listener start without the metrics library
        from martenlead.edge.metrics import Metrics  # noqa: PLC0415

        self.dispatcher, self.listener = dispatcher, listener
        self.metrics = Metrics(dispatcher)
        self.server = Server(
            self.handle,
            ServerLimits(max_connections=CONNECTION_LIMIT),
            make_error_reply=unreadable_message,
            make_fault_reply=lambda _: unreadable_message(INTERNAL_ERROR, "failed"),
        )

    async def handle(self, message: Message, _arrived_ns: int) -> Reply:
        """Answers one request of an operator."""
        if message.target == b"/state":
            state = msgspec.json.format(msgspec.json.encode(report_status(self.dispatcher)))
            return Reply(OK, [(b"content-type", JSON_TYPE)], state)
        if message.target == b"/metrics":
            headers = [(b"content-type", self.metrics.content_type)]
            return Reply(OK, headers, self.metrics.render())
        if message.target == b"/limits" and message.method == b"PUT":
            return self._update_limits(message.body)
        return problem(NOT_FOUND, "No such path", "/state, /metrics and PUT /limits are here")

    def _update_limits(self, body: bytes) -> Reply:
        """Applies all stated limits, or none if one is invalid; queued requests stay queued."""
        controller = self.listener.admission_controller if self.listener is not None else None
        if controller is None:
            return problem(CONFLICT, "Not changed", "this edge has no `queues`")
        try:
            update = msgspec.json.decode(body, type=LimitsUpdate)
        except msgspec.DecodeError as error:
            return problem(BAD_REQUEST, "Not changed", str(error))
        unknown = sorted(update.weights.keys() - controller.limits.weights.keys())
        if unknown:
            detail = f"$.weights: no customer {unknown[0]!r}"
            return problem(BAD_REQUEST, "Not changed", detail)
        limits = _merge_limits(controller, update)
        controller.update_limits(limits)
        return Reply(OK, [(b"content-type", JSON_TYPE)], msgspec.json.encode(limits))


def _merge_limits(controller: AdmissionController, update: LimitsUpdate) -> AdmissionLimits:
    current = controller.limits
    return AdmissionLimits(
        update.waiting or current.waiting,
        update.bytes or current.bytes,
        {**current.weights, **update.weights},
    )
