"""Turns client messages into dispatcher requests, and outcomes into responses. No decisions."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from functools import partial

from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.records import FinalOutcome, IncomingRequest, PendingRequest
from martenlead.node import client_protocol
from martenlead.node.client_connection import ClientConnection
from martenlead.node.client_protocol import (
    Call,
    InvalidCallError,
    Refusal,
    encode_error,
    encode_ping_result,
    encode_result,
)
from martenlead.system.finished_ids import FinishedIds, retention_ns

REQUESTS_PER_CONNECTION = 32  # open requests that the protocol allows
ERRORS_PER_CONNECTION = 16  # a connection with more errors is closed
NS_PER_MS = 1_000_000
# Finished ids that are remembered, as a multiple of the limit of open requests
IDS_PER_REQUEST = 64
# Time after the response for which a request still counts as open to its client
RESPONSE_TRANSIT_NS = 5 * NS_PER_MS


class RequestHandler:
    """Accepts, cancels and answers the requests of all connections of a node.

    At most `request_limit` requests are open, with bodies of `body_bytes_limit` bytes in total.
    """

    def __init__(self, dispatcher: Dispatcher, request_limit: int, body_bytes_limit: int) -> None:
        self.dispatcher = dispatcher
        self.request_limit, self.body_bytes_limit = request_limit, body_bytes_limit
        retry_after_ns = dispatcher.settings.policy_settings.retry_after_limit_ns
        self.retry_after_ms = retry_after_ns // NS_PER_MS
        self.open_requests: dict[str, PendingRequest] = {}  # keyed by id
        self.finished_ids = FinishedIds(
            request_limit * IDS_PER_REQUEST, retention_ns(dispatcher.deadlines_ns.values())
        )
        self.rejects_requests = False  # set when the node stops before a worker could respond

    # -- messages

    def handle_messages(
        self, connection: ClientConnection, messages: list[bytes], arrived_ns: int, read_ns: int
    ) -> None:
        """Handles messages of one read, which arrived at `arrived_ns` at the earliest.

        A request that a later one of these messages cancels is not accepted at all. What was
        answered since `read_ns` counts as open: the client sent them before it had the responses.
        """
        now_ns = self.dispatcher.clock()
        calls = [self._parse(message) for message in messages]
        # Cancels come first: accepting a request may start further attempts of open requests.
        for call in calls:
            if isinstance(call, Call) and call.method == "abort":
                self._cancel(connection, call.cancelled_id, now_ns)
        cancelled = _find_cancelled(calls) if len(calls) > 1 else ()
        for index, call in enumerate(calls):
            if connection.is_closed:
                return
            if isinstance(call, Refusal):
                self._refuse(connection, call)
                continue
            try:
                self._handle_call(connection, call, read_ns, arrived_ns, index in cancelled)
                connection.has_sent_message = True
            except InvalidCallError as error:
                self._refuse(connection, error.refusal)
            except Exception as error:  # a fault of this program: handle the other messages
                self._report_fault(connection, call, error)

    def _parse(self, message: bytes) -> Call | Refusal:
        try:
            return client_protocol.parse_call(message)
        except InvalidCallError as error:
            return error.refusal
        except Exception as error:  # a fault of this program: the client may resend
            self.dispatcher.record_fault(error)
            return client_protocol.refuse_unparsed(message)

    def _handle_call(
        self,
        connection: ClientConnection,
        call: Call,
        read_ns: int,
        arrived_ns: int,
        is_cancelled: bool,
    ) -> None:
        if call.method == "abort":
            self._cancel(connection, call.cancelled_id, self.dispatcher.clock())
            return
        if call.method == "ping":
            is_ready = self.dispatcher.snapshot_received.is_set()
            connection.write(encode_ping_result(call.number, is_ready))
        else:
            self._accept_request(connection, call, read_ns, arrived_ns, is_cancelled)
        if connection.write_blocked_since_ns:
            connection.error_count += 1  # the client keeps sending but does not read
            if connection.error_count > ERRORS_PER_CONNECTION:
                connection.begin_graceful_close()

    def _refuse(self, connection: ClientConnection, refusal: Refusal) -> None:
        self.dispatcher.counts["refused", str(refusal.code)] += 1
        connection.error_count += 1
        number = refusal.number
        if number is not None and number in connection.open_requests:
            number = None  # the open request's own response is still due
        response = encode_error(number, refusal.code, refusal.detail)
        if number is None:
            connection.write(response)
        else:
            connection.respond(number, response)
        if number is None or connection.error_count > ERRORS_PER_CONNECTION:
            connection.begin_graceful_close()

    def _report_fault(self, connection: ClientConnection, call: Call, error: Exception) -> None:
        """Answers a message that was not handled because of a fault in this program."""
        self.dispatcher.record_fault(error)
        number = call.number
        if number is None or call.method == "abort":
            return
        if number in connection.open_requests or number in connection.answered_in_read:
            return
        failure = encode_error(number, client_protocol.REQUEST_FAILED, "a fault of the dispatcher")
        connection.respond(number, failure)

    # -- requests

    def _accept_request(
        self,
        connection: ClientConnection,
        call: Call,
        read_ns: int,
        arrived_ns: int,
        is_cancelled: bool,
    ) -> None:
        number, size_bytes = call.number, len(call.body_base64)
        assert number is not None
        self._check(connection, call, number)
        if is_cancelled:
            self._finish(call.request_id)
            return
        if self._is_full(connection, size_bytes, read_ns):
            self._reject(connection, number)
            return
        # It refers to the numbers alone: a reference to `call` would keep the body in memory.
        on_outcome = partial(self._respond, connection, number)
        incoming = _read_incoming(call)
        # The outcome may be set before `accept` returns.
        request = self.dispatcher.accept(
            incoming, arrived_ns, call, size_bytes, on_outcome=on_outcome, client=connection
        )
        if request.outcome is None:
            connection.open_requests[number] = request
            self.open_requests[call.request_id] = request

    def _respond(self, connection: ClientConnection, number: int, request: PendingRequest) -> None:
        """Writes the only response to a request that has its outcome."""
        dispatcher = self.dispatcher
        connection.open_requests.pop(number, None)
        connection.counted_until_ns.append(dispatcher.clock() + RESPONSE_TRANSIT_NS)
        self._finish(request.incoming.id)
        connection.respond(number, _encode_outcome(number, request))
        closing = connection.graceful_close
        if closing is not None:  # in the next loop iteration: a decision may be in progress
            asyncio.get_running_loop().call_soon(closing.close_if_finished)
        # Releases the bodies now: a request and its attempts refer to each other, so they stay in
        # memory until they are garbage-collected.
        request.content = request.response = None
        dispatcher.defer(dispatcher.close, request)

    def _check(self, connection: ClientConnection, call: Call, number: int) -> None:
        """Raises InvalidCallError for an unknown method or tenant, or a reused number or id."""
        dispatcher = self.dispatcher
        if number <= connection.last_number:
            raise InvalidCallError(client_protocol.INVALID_REQUEST, "a number that was used before")
        connection.last_number = number
        if call.method not in dispatcher.request_classes:
            raise InvalidCallError(client_protocol.METHOD_NOT_FOUND, "no such method", number)
        if dispatcher.tenants and call.tenant not in dispatcher.tenants:
            raise InvalidCallError(client_protocol.INVALID_PARAMS, "tenant: no such tenant", number)
        if call.request_id in self.open_requests:
            raise InvalidCallError(
                client_protocol.INVALID_PARAMS, "id: of a request that is open", number
            )
        if call.request_id in self.finished_ids:
            raise InvalidCallError(
                client_protocol.INVALID_PARAMS, "id: of a request that was answered", number
            )

    def _is_full(self, connection: ClientConnection, size_bytes: int, read_ns: int) -> bool:
        dispatcher = self.dispatcher
        return bool(
            self.rejects_requests
            or connection.graceful_close is not None
            or connection.write_blocked_since_ns
            or connection.count_open_requests(read_ns) >= REQUESTS_PER_CONNECTION
            or len(dispatcher.pending_requests) >= self.request_limit
            or self.finished_ids.is_full(dispatcher.clock())
            or dispatcher.pending_bytes + size_bytes > self.body_bytes_limit
        )

    def _reject(self, connection: ClientConnection, number: int) -> None:
        self.dispatcher.counts["final", FinalOutcome.REJECTED.value] += 1
        rejection = encode_error(
            number, client_protocol.REQUEST_REJECTED, "too much is open", self.retry_after_ms
        )
        connection.respond(number, rejection)

    def _cancel(
        self, connection: ClientConnection, cancelled_id: int | str | None, now_ns: int
    ) -> None:
        """Ends a request that its client has cancelled; neither it nor the cancel gets a response.

        Its worker may continue to run it. So it counts as open for a while; otherwise hundreds of
        requests that are cancelled at once would lead to hundreds of attempts.
        """
        for number, request in connection.open_requests.items():
            if cancelled_id in (number, request.incoming.id):
                del connection.open_requests[number]
                decided = request.policy_request
                if decided is not None and decided.attempts:
                    objective_ns = decided.request_class.latency_objective_ns
                    connection.counted_until_ns.append(now_ns + objective_ns)
                self.abandon_request(request)
                return

    def abandon_request(self, request: PendingRequest) -> None:
        """Ends a request whose client no longer waits for the response."""
        if request.outcome is not None:
            return
        request.on_outcome = request.content = None
        self._finish(request.incoming.id)
        request.end(FinalOutcome.CLIENT_LEFT)
        self.dispatcher.defer(self.dispatcher.close, request)

    def _finish(self, request_id: str) -> None:
        """Records an id that may not be used again.

        Otherwise hundreds of requests with one id would count as accepted, and allow further load
        requests.
        """
        self.open_requests.pop(request_id, None)
        self.finished_ids.add(request_id, self.dispatcher.clock())


def _find_cancelled(calls: list[Call | Refusal]) -> Collection[int]:
    """Returns the indexes of the requests that a later message cancels."""
    cancelled_ids: set[int | str | None] = set()
    indexes: set[int] = set()
    for index in range(len(calls) - 1, -1, -1):
        call = calls[index]
        if isinstance(call, Refusal):
            continue
        if call.method == "abort":
            cancelled_ids.add(call.cancelled_id)
        elif call.number in cancelled_ids or call.request_id in cancelled_ids:
            indexes.add(index)
    return indexes


def _read_incoming(call: Call) -> IncomingRequest:
    return IncomingRequest(
        call.method,
        call.function,
        call.tenant,
        call.lanes,
        call.memory_mb,
        call.cost_seconds,
        call.time_left_ns,
        call.is_retry,
        call.request_id,
    )


def _encode_outcome(number: int, request: PendingRequest) -> bytes:
    """Encodes the response to a request that has an outcome."""
    if request.outcome is FinalOutcome.SUCCEEDED:
        return encode_result(number, request.response)
    if request.outcome is FinalOutcome.REJECTED:
        reason = request.reason or "no runner may take it now"
        retry_after_ms = request.retry_after_ns // NS_PER_MS
        return encode_error(number, client_protocol.REQUEST_REJECTED, reason, retry_after_ms)
    reason = request.reason or "no runner had an answer"
    return encode_error(number, client_protocol.REQUEST_FAILED, reason)
