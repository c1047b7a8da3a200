"""The workers that this process knows, and their states.

A membership source calls `Membership.update_endpoints`. A link calls `Membership.mark_draining`
when a worker announces that it is draining. Only changes are passed to the policy.
"""

from __future__ import annotations

import anyio
import msgspec
import structlog

from martenlead.edge.address_owners import AddressOwners
from martenlead.edge.decision_loop import DecisionLoop
from martenlead.edge.interfaces import ConnectionFactory
from martenlead.edge.records import PolicyWorker, UpstreamWorker
from martenlead.policy.types import WorkerFacts, WorkerState
from martenlead.upstream.endpoints import Endpoint, EndpointList

STATES = {"up": WorkerState.UP, "draining": WorkerState.DRAINING, "gone": WorkerState.GONE}
LOGGED_WORKERS = 64  # an update of more workers gets one log line instead of one per worker
UNKNOWN_WEIGHT = 1.0  # default for an endpoint with neither weight nor memory
NS_PER_MS = 1e6

WorkerChange = tuple[PolicyWorker, WorkerFacts]


class Membership:
    """The workers, by id and by the policy's object."""

    def __init__(
        self,
        endpoint_list: EndpointList,
        decision_loop: DecisionLoop,
        connection_factory: ConnectionFactory,
        name: str,
    ) -> None:
        """`endpoint_list` is the source's; `name` is the dispatcher's, for the log."""
        self.endpoint_list, self.decision_loop = endpoint_list, decision_loop
        self.workers: dict[str, UpstreamWorker] = {}
        self.by_policy_worker: dict[PolicyWorker, UpstreamWorker] = {}
        self.snapshot_received = anyio.Event()  # set at the first snapshot
        self.log = structlog.get_logger().bind(edge=name)
        self._connection_factory = connection_factory
        self._address_owners = AddressOwners()

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Applies a delta or a snapshot.

        Of a repeated snapshot only the differences are passed to the policy: passing all of a long
        one would block the event loop.
        """
        is_first = not self.workers
        is_logged_each = not is_first and len(endpoints) <= LOGGED_WORKERS
        gone = self._missing_workers(endpoints) if is_snapshot and not is_first else []
        changes: list[WorkerChange] = [
            (worker.policy_worker, self._gone_facts(worker)) for worker in gone
        ]
        displaced: list[UpstreamWorker] = []
        for endpoint in endpoints:
            worker = None if self._is_known(endpoint) else self._find_or_add_worker(endpoint)
            if worker is None:
                continue
            if endpoint.state == "gone":
                gone.append(worker)
                worker.is_gone = True  # set now: a successor with the same id may follow
            else:
                other = self._address_owners.find_other(endpoint)
                worker.endpoint = endpoint
                self._address_owners.set_owner(worker)
                displaced += [other] if other is not None else []
            facts = self._update_facts(worker, endpoint)
            changes.append((worker.policy_worker, facts))
            if is_logged_each:
                self._log_change(endpoint, facts)
        for worker in self._find_displaced(displaced):
            changes.append((worker.policy_worker, self._gone_facts(worker)))
            gone.append(worker)
            self.log.info("worker_displaced", worker=worker.endpoint.id)
        boundary = self.decision_loop.policy_boundary
        self.decision_loop.decide(boundary.update_workers, changes, is_snapshot and is_first)
        for worker in gone:
            self._remove(worker)
        if is_snapshot or not is_logged_each:
            self._log_update(is_snapshot, len(endpoints), len(changes))
        if is_snapshot:
            self.snapshot_received.set()

    def _find_displaced(self, candidates: list[UpstreamWorker]) -> list[UpstreamWorker]:
        """Returns those whose address a worker has that started later: they have gone."""
        owners = self._address_owners
        return [
            worker
            for worker in dict.fromkeys(candidates)
            if not worker.is_gone and owners.has_later_owner(worker.endpoint, worker.started_ns)
        ]

    def _missing_workers(self, endpoints: list[Endpoint]) -> list[UpstreamWorker]:
        """Returns the workers that a snapshot does not list."""
        listed = {endpoint.id for endpoint in endpoints}
        return [worker for worker_id, worker in self.workers.items() if worker_id not in listed]

    @staticmethod
    def _gone_facts(worker: UpstreamWorker) -> WorkerFacts:
        return worker.build_facts(WorkerState.GONE, worker.started_ns, UNKNOWN_WEIGHT)

    def _remove(self, worker: UpstreamWorker) -> None:
        worker.is_gone = True
        self._address_owners.remove(worker)
        self._connection_factory.retire_connections(worker.connections)
        self.forget_if_gone(worker)

    def _log_change(self, endpoint: Endpoint, facts: WorkerFacts) -> None:
        version = self.endpoint_list.version
        self.log.info(
            "worker_updated", worker=endpoint.id, state=facts.state.value, version=version
        )

    def _log_update(self, is_snapshot: bool, workers: int, changed: int) -> None:
        event = "snapshot_applied" if is_snapshot else "delta_applied"
        self.log.info(event, workers=workers, changed=changed, version=self.endpoint_list.version)

    def _is_known(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is unchanged, apart from the age of its process."""
        worker = self.workers.get(endpoint.id)
        if worker is None or worker.is_gone:
            return False
        known = worker.endpoint
        return known == endpoint or known == msgspec.structs.replace(endpoint, age_ms=known.age_ms)

    def _find_or_add_worker(self, endpoint: Endpoint) -> UpstreamWorker | None:
        """Returns the worker of an endpoint, created if it is new.

        None if it is unknown and gone, as is one whose address a later worker has.
        """
        worker = self.workers.get(endpoint.id)
        if endpoint.state == "gone":
            return worker
        factory = self._connection_factory
        if worker is None or worker.is_gone:  # new process with that id: nothing in flight
            started_ns = self._to_started_ns(endpoint.age_ms)
            if self._address_owners.has_later_owner(endpoint, started_ns):
                return None
            worker = UpstreamWorker(endpoint, factory.create_connections(endpoint))
            self.workers[endpoint.id] = worker
        elif _names_process(endpoint) != _names_process(worker.endpoint):
            factory.retire_connections(worker.connections)
            worker.connections = factory.create_connections(endpoint)
        return worker

    def _update_facts(self, worker: UpstreamWorker, endpoint: Endpoint) -> WorkerFacts:
        """Returns the facts of an endpoint; adds its worker to the policy if it is new there."""
        if not worker.policy_worker or endpoint.incarnation != worker.started_incarnation:
            worker.started_ns = self._to_started_ns(endpoint.age_ms)
            worker.started_incarnation = endpoint.incarnation
        state = STATES[endpoint.state]
        draining = worker.draining_incarnation
        if state is WorkerState.UP and draining and draining == endpoint.incarnation:
            state = WorkerState.DRAINING  # its own announcement is newer than this, until a restart
        facts = worker.build_facts(state, worker.started_ns, _weight(endpoint))
        if worker.policy_worker is None:
            boundary = self.decision_loop.policy_boundary
            worker.policy_worker = boundary.add_worker(facts, endpoint.id)
            self.by_policy_worker[worker.policy_worker] = worker
        return facts

    def _to_started_ns(self, age_ms: float | None) -> int:
        """Returns the start time by the local clock: 0 for long ago, and never later than now."""
        if age_ms is None:
            return 0
        age_ns = max(0, round(age_ms * NS_PER_MS))
        return max(1, self.decision_loop.clock() - age_ns)

    def is_listed_up(self, worker: UpstreamWorker) -> bool:
        """Whether the source lists this worker as up."""
        endpoint = worker.endpoint
        return endpoint.id in self.endpoint_list.endpoints and endpoint.state == "up"

    def forget_if_gone(self, worker: UpstreamWorker) -> None:
        """Removes a worker that is gone, once nothing is in flight to it any more."""
        if worker.is_gone and not worker.in_flight:
            self.by_policy_worker.pop(worker.policy_worker, None)
            if self.workers.get(worker.endpoint.id) is worker:
                del self.workers[worker.endpoint.id]

    def mark_draining(self, worker: UpstreamWorker) -> None:
        """Marks a worker as draining by its own announcement, which overrides the source."""
        if worker.has_announced_draining:
            return
        endpoint = worker.endpoint
        worker.draining_incarnation = endpoint.incarnation
        facts = worker.build_facts(WorkerState.DRAINING, worker.started_ns, _weight(endpoint))
        if endpoint.id in self.endpoint_list.endpoints:
            boundary = self.decision_loop.policy_boundary
            change: WorkerChange = worker.policy_worker, facts
            self.decision_loop.decide(boundary.update_workers, [change], False)
            self.log.info("drain_announced", worker=endpoint.id)


def _names_process(endpoint: Endpoint) -> tuple[str, int, str]:
    """Returns what differs for another process, to which no connection of this one leads."""
    return endpoint.host, endpoint.port, endpoint.incarnation


def _weight(endpoint: Endpoint) -> float:
    return endpoint.weight or endpoint.memory_mb or UNKNOWN_WEIGHT
