"""Builds a policy from the snapshot of another one."""

from __future__ import annotations

from martenlead.capture import events as ev
from martenlead.planner.snapshot import FunctionRecord, PolicySnapshot, RequestRecord
from martenlead.planner.snapshot_fields import (
    FUNCTION_NAMES,
    POLICY_NAMES,
    REPLICA_NAMES,
    WORKER_NAMES,
    list_field_owners,
    unpack_fields,
)
from martenlead.policy.policy import Policy
from martenlead.policy.state import Function, Worker
from martenlead.policy.types import Attempt, Request, Result, Tenant, WorkerFacts

DERIVED_POLICY_FIELDS = ("memory", "period", "soft")  # computed from workers and settings
DERIVED_WORKER_FIELDS = ("listed", "part")  # computed from the list of workers


class RestoredPolicy:
    """A policy, and its objects by the numbers and names that the edge's events use."""

    def __init__(self, snapshot: PolicySnapshot, now_ns: int) -> None:
        """Raises KeyError, ValueError, TypeError or IndexError for an inconsistent snapshot."""
        self.settings = ev.unpack_settings(snapshot.settings)
        self.policy = Policy(self.settings, snapshot.seed)
        self.policy.state.now_ns = now_ns
        self.tenants = [Tenant(float(tenant.rate_limit_per_second)) for tenant in snapshot.tenants]
        self.workers: dict[int, Worker] = {}
        self.worker_numbers: dict[Worker, int] = {}
        self.functions: dict[int, Function] = {}
        self.function_numbers: dict[Function, int] = {}
        self.requests: dict[int, Request] = {}
        self.names: dict[Worker | Function, str] = {}
        self._restore_workers(snapshot)
        for function in snapshot.functions:
            self._restore_function(function, now_ns)
        self._restore_policy_fields(snapshot)
        for request in snapshot.requests:
            self._restore_request(request)

    def _restore_workers(self, snapshot: PolicySnapshot) -> None:
        listed: list[tuple[Worker, WorkerFacts]] = []
        for record in snapshot.workers:
            facts = ev.unpack_facts(record.facts)
            worker = self.add_worker(record.number, record.name, facts)
            if record.is_listed:
                listed.append((worker, facts))
        self.policy.update_workers(listed, True)
        for record in snapshot.workers:
            fields = {k: v for k, v in record.fields.items() if k not in DERIVED_WORKER_FIELDS}
            unpack_fields(self.workers[record.number], fields, WORKER_NAMES)

    def _restore_function(self, record: FunctionRecord, now_ns: int) -> None:
        function = self.add_function(
            ev.FunctionAdded(
                now_ns, record.number, record.name, record.mark, record.lanes, record.memory_mb
            )
        )
        unpack_fields(function, record.fields, FUNCTION_NAMES)
        function.home = self.workers[record.home] if record.home >= 0 else None
        for at_worker in record.replicas:
            replica = self.policy.state.replica(function, self.workers[at_worker.worker])
            unpack_fields(replica, at_worker.fields, REPLICA_NAMES)

    def _restore_policy_fields(self, snapshot: PolicySnapshot) -> None:
        fields = {k: v for k, v in snapshot.policy_fields.items() if k not in DERIVED_POLICY_FIELDS}
        for owner in list_field_owners(self.policy):
            unpack_fields(owner, fields, POLICY_NAMES)
        shares = self.policy.tenant_shares
        shares.requests_in_period = {
            self.tenants[one.tenant]: one.requests for one in snapshot.requests_in_period
        }
        shares.requests_per_second = {
            self.tenants[one.tenant]: one.requests_per_second
            for one in snapshot.requests_per_second
        }

    def _restore_request(self, record: RequestRecord) -> None:
        request = self.add_request(
            record.number,
            Request(
                self.functions[record.function],
                self.settings.request_classes[record.request_class],
                self._find_tenant(record.tenant),
                record.deadline_ns,
                record.is_retry,
                record.cost,
            ),
        )
        for sent in record.attempts:
            attempt = Attempt(
                request,
                self.workers[sent.worker],
                sent.timeout_ns,
                sent.sent_ns,
                sent.expects_warm,
                Result(sent.result) if sent.result else None,
            )
            request.attempts.append(attempt)

    def _find_tenant(self, number: int) -> Tenant | None:
        return self.tenants[number] if number >= 0 else None

    def add_worker(self, number: int, name: str, facts: WorkerFacts) -> Worker:
        """Adds a worker, which is not listed yet."""
        worker = self.policy.new_worker(facts)
        self.workers[number], self.worker_numbers[worker] = worker, number
        self.names[worker] = name
        return worker

    def add_function(self, event: ev.FunctionAdded) -> Function:
        """Adds a function."""
        function = self.policy.new_function(ev.unpack_function_facts(event))
        self.functions[event.function], self.function_numbers[function] = function, event.function
        self.names[function] = event.name
        return function

    def accept_request(self, event: ev.RequestAccepted) -> Request:
        """Adds the request of an event without counting it."""
        request = Request(
            self.functions[event.function],
            self.settings.request_classes[event.request_class],
            self._find_tenant(event.tenant),
            event.deadline_ns,
            event.is_retry,
            event.cost,
        )
        return self.add_request(event.request, request)

    def add_request(self, number: int, request: Request) -> Request:
        """Registers a request by its number."""
        self.requests[number] = request
        return request
