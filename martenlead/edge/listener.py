"""The HTTP listener for clients: each request gets exactly one final response.

It reads the event, checks the limits, submits the request and returns the response.
"""

from __future__ import annotations

import structlog

from martenlead.admission.controller import AdmissionController
from martenlead.config.edge import EdgeSettings, ms_to_ns
from martenlead.config.schema import LimitSettings
from martenlead.edge.cancellation import UnreadInput
from martenlead.edge.dispatcher import STOP_REASON, Dispatcher
from martenlead.edge.http_upstream import EventContent
from martenlead.edge.protocol import (
    check_forwarded_size,
    countable_attribute,
    encode_content,
    read_request,
)
from martenlead.edge.queue_admission import QueueAdmission
from martenlead.edge.records import FinalOutcome, IncomingRequest, PendingRequest
from martenlead.edge.request_identities import RequestIdentities
from martenlead.edge.responses import (
    final_response,
    internal_error,
    invalid_event,
    no_such_path,
    only_post,
    rejected_before_acceptance,
    unreadable_message,
)
from martenlead.events.cloudevent import (
    Event,
    InvalidEventError,
    decode_event,
    is_structured,
)
from martenlead.events.http import Message, MessageLimits, Peer
from martenlead.events.server import OVERRUN_REASON, Reply, Server, ServerLimits
from martenlead.policy.repeats import is_repeat_harmless
from martenlead.system.finished_ids import retention_ns


class HttpCancellationSource:
    """A `CancellationSource` for HTTP/1.1.

    Only the end of the connection cancels a request: unread bytes are pipelined requests, and need
    not be read before an attempt unless they may hide that end.
    """

    def __init__(self, peer: Peer) -> None:
        self.peer = peer

    def peek_input(self) -> UnreadInput:
        """Checks in the kernel whether the client has left, or may have behind unread bytes."""
        if self.peer.has_left():
            return UnreadInput.END
        return UnreadInput.BYTES if self.peer.may_have_left() else UnreadInput.NOTHING

    def read_unread_input(self) -> bool:
        """Reads nothing, as the connection does; returns whether no end can be hidden."""
        return not self.peer.may_have_left()

    def handle_disconnect(self, request: PendingRequest) -> None:
        """Ends this request now, and all others of the connection in a later loop iteration."""
        request.end(FinalOutcome.CLIENT_LEFT)
        self.peer.end()


class EventListener:
    """Serves clients that post events over HTTP/1.1."""

    def __init__(self, dispatcher: Dispatcher, settings: EdgeSettings) -> None:
        self.dispatcher, self.settings = dispatcher, settings
        self.log = structlog.get_logger().bind(edge=settings.name)
        self.identities = RequestIdentities(
            dispatcher.clock, retention_ns(dispatcher.deadlines_ns.values())
        )
        dispatcher.record_close = self.identities.record_close
        self.queue_admission: QueueAdmission | None = None
        if settings.queues is not None:
            self.queue_admission = QueueAdmission(dispatcher, settings, settings.queues)
        self._retry_after_ns = ms_to_ns(settings.allowed.retry_after_limit_ms)
        self.server = Server(
            self.handle,
            _server_limits(settings.limits),
            make_error_reply=unreadable_message,
            make_fault_reply=self._make_fault_reply,
            make_overrun_reply=self._make_overrun_reply,
            count_refused_input=self._count_refused_input,
            earliest_arrival_ns=dispatcher.event_loop_lag.earliest_arrival,
        )

    @property
    def admission_controller(self) -> AdmissionController | None:
        """The controller of the admission queues, or None if no queues are configured."""
        return self.queue_admission.controller if self.queue_admission is not None else None

    async def handle(self, message: Message, arrived_ns: int) -> Reply:
        """Serves one request. Cancelled if its client leaves."""
        if message.target.split(b"?")[0] != b"/":
            return no_such_path()
        if message.method != b"POST":
            return only_post()
        dispatcher = self.dispatcher
        try:
            event = decode_event(message.headers, message.body)
            incoming = self._read_request(event, arrived_ns)
            content = _to_content(message, event, self.server.limits.message)
        except InvalidEventError as error:
            dispatcher.counts["refused", countable_attribute(error.attribute)] += 1
            return invalid_event(error)
        reason = self._reason_to_reject(incoming, len(message.body))
        if reason:
            dispatcher.counts["final", FinalOutcome.REJECTED.value] += 1
            return rejected_before_acceptance(reason, self._retry_after_ns)
        client = HttpCancellationSource(message.peer) if message.peer is not None else None
        if not incoming.identity:
            return await self._serve(incoming, event, arrived_ns, content, client)
        with self.identities.open(incoming.identity):
            return await self._serve(incoming, event, arrived_ns, content, client)

    async def _serve(
        self,
        incoming: IncomingRequest,
        event: Event,
        arrived_ns: int,
        content: EventContent,
        client: HttpCancellationSource | None,
    ) -> Reply:
        """Serves a request that may be accepted. Cancelled if its client leaves."""
        dispatcher = self.dispatcher
        if self.queue_admission is not None:
            return await self.queue_admission.serve(incoming, event, arrived_ns, content, client)
        size_bytes = len(content.body)
        request = dispatcher.accept(incoming, arrived_ns, content, size_bytes, client=client)
        await dispatcher.wait_for_outcome(request)
        return final_response(request)

    def _read_request(self, event: Event, arrived_ns: int) -> IncomingRequest:
        """Reads an event and checks the names in it. Raises `InvalidEventError`."""
        dispatcher = self.dispatcher
        incoming = read_request(event, dispatcher.clock() - arrived_ns)
        if incoming.request_class not in dispatcher.request_classes:
            raise InvalidEventError("type", "no such offering")
        if dispatcher.tenants and incoming.tenant not in dispatcher.tenants:
            detail = "no such customer" if incoming.tenant else "the attribute is missing"
            raise InvalidEventError("customer", detail)
        if not is_repeat_harmless(dispatcher.request_classes[incoming.request_class]):
            incoming.identity = self.identities.of(event)
            self.identities.check(incoming.identity)
        return incoming

    def _reason_to_reject(self, incoming: IncomingRequest, size_bytes: int) -> str:
        """Returns why a request cannot be accepted now, or an empty string.

        Nothing was started for such a request, so its client may retry, whatever its class.
        """
        limits, dispatcher = self.settings.limits, self.dispatcher
        functions = dispatcher.functions_by_name
        if self.server.is_draining:
            return STOP_REASON
        if len(dispatcher.pending_requests) >= limits.open_requests:
            return f"{limits.open_requests} tasks are held"
        if dispatcher.pending_bytes + size_bytes > limits.pending_bytes:
            return f"{limits.pending_bytes} bytes are held"
        if incoming.function not in functions and len(functions) >= limits.known_functions:
            return f"{limits.known_functions} models are known"
        if incoming.identity and self.identities.is_full():
            return f"{self.identities.finished.limit} identities are remembered"
        return ""

    async def run(self) -> None:
        """Admits waiting requests until it is cancelled; returns if there are no queues."""
        if self.queue_admission is not None:
            await self.queue_admission.run()

    def drain(self) -> None:
        """Stops accepting connections, and rejects the queued requests."""
        self.server.drain()
        if self.queue_admission is not None:
            self.queue_admission.reject_all()

    def _make_overrun_reply(self) -> Reply:
        self.dispatcher.counts["final", FinalOutcome.REJECTED.value] += 1
        self.dispatcher.counts["client", "overrun"] += 1
        return rejected_before_acceptance(OVERRUN_REASON, self._retry_after_ns)

    def _count_refused_input(self) -> None:
        self.dispatcher.counts["client", "refused input"] += 1

    def _make_fault_reply(self, error: BaseException) -> Reply:
        self.log.error("fault_recorded", exc_info=error)
        return internal_error()


def _server_limits(limits: LimitSettings) -> ServerLimits:
    return ServerLimits(
        MessageLimits(limits.head_bytes, limits.body_bytes),
        limits.connections,
        limits.pipelined,
        limits.pending_bytes,
        ms_to_ns(limits.idle_ms),
        ms_to_ns(limits.slow_ms),
    )


def _to_content(message: Message, event: Event, limits: MessageLimits) -> EventContent:
    """Returns the event in binary mode; one received in that mode is not encoded again.

    A message in structured mode may have ce- headers too, which nobody has checked. Raises
    `InvalidEventError`.
    """
    if is_structured(message.header(b"content-type")):
        content = EventContent(*encode_content(event, limits))
    else:
        content = EventContent(
            [pair for pair in message.headers if _is_forwarded(pair[0])], message.body
        )
    check_forwarded_size(content.headers, limits)
    return content


def _is_forwarded(name: bytes) -> bool:
    return name[:3] == b"ce-" or name == b"content-type"
