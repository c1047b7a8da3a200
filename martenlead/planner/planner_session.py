"""A planner's end of the link with one edge, as a state machine without I/O."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from martenlead.planner import frames as fr
from martenlead.planner.edge_clock import EdgeClock
from martenlead.planner.link import LONG_AGO_NS, NS_PER_MS, LinkProtocolError
from martenlead.planner.policy_replica import OutOfSyncError, PolicyReplica
from martenlead.planner.status import PlannerLinkStatus

SNAPSHOT_TIMEOUT_NS = 2000 * NS_PER_MS  # wait before an outstanding snapshot is requested again
NO_EPOCH = NO_SEQUENCE = -1


class PlannerSession:
    """A planner's end of the link with one edge; it is reused across connections."""

    def __init__(
        self,
        planner_name: str,
        incarnation: str,
        own_clock: Callable[[], int],
        next_number: Callable[[], int],
        find_earlier_replicas: Callable[[str], list[fr.RetainedReplica]] | None = None,
        heartbeat_interval_ns: int = 200 * NS_PER_MS,
        highest_version: int = fr.HIGHEST_VERSION,
    ) -> None:
        """`find_earlier_replicas` returns the replicas that an edge's predecessor retained."""
        self.planner_name = planner_name
        self.incarnation = incarnation
        self.own_clock = own_clock
        self.next_number = next_number
        self.find_earlier_replicas = find_earlier_replicas
        self.heartbeat_interval_ns = heartbeat_interval_ns
        self.highest_version = highest_version
        self.edge_name = self.edge_incarnation = ""
        self.epoch = NO_EPOCH
        self.last_sequence = NO_SEQUENCE
        self.policy_replica: PolicyReplica | None = None
        self.edge_clock = EdgeClock(own_clock)
        self.counts: Counter[str] = Counter()
        self.version = 0
        self._frames: deque[bytes] = deque()  # frames to send
        self._heartbeat_ns = LONG_AGO_NS
        self._snapshot_awaited_ns = own_clock()  # start of the wait for a snapshot

    # -- the connection and the edge's messages

    def connection_made(self) -> None:
        """Handles a new connection; frames for an earlier one are discarded."""
        self._frames.clear()
        self.epoch = NO_EPOCH

    def receive_message(self, message: fr.AnyMessage) -> None:
        """Handles a message of the edge.

        Raises:
            LinkProtocolError: the connection has to be closed.
        """
        match message:
            case fr.Hello():
                self._welcome(message)
            case fr.Lease():
                self._start_lease(message)
            case fr.Snapshot():
                self._restore(message)
            case fr.Events():
                self._apply_events(message)
            case fr.LinkRefused(reason=reason):
                error = f"the edge refuses: {reason}"
                raise LinkProtocolError(error)
            case _:
                error = f"{type(message).__name__} is not for a planner"
                raise LinkProtocolError(error)

    def _welcome(self, hello: fr.Hello) -> None:
        version = min(hello.highest_version, self.highest_version)
        if version < max(hello.lowest_version, fr.LOWEST_VERSION):
            spoken = f"{hello.lowest_version} to {hello.highest_version}"
            error = f"no common version: {spoken} is spoken there"
            raise LinkProtocolError(error)
        self.version = version
        if hello.incarnation != self.edge_incarnation:
            self.policy_replica, self.last_sequence = None, NO_SEQUENCE
            self.edge_clock = EdgeClock(self.own_clock)
        self.edge_name, self.edge_incarnation = hello.edge_name, hello.incarnation
        last_sequence = self.last_sequence if self.policy_replica is not None else NO_SEQUENCE
        self._send(fr.Welcome(version, self.planner_name, self.incarnation, last_sequence))

    def _start_lease(self, lease: fr.Lease) -> None:
        self.epoch = lease.epoch
        self._heartbeat_ns = LONG_AGO_NS
        if not lease.is_resumed:
            self.policy_replica, self._snapshot_awaited_ns = None, self.own_clock()
        elif self.policy_replica is not None:
            self.policy_replica.resume()

    def _restore(self, snapshot: fr.Snapshot) -> None:
        self.edge_clock.record_edge_time(snapshot.edge_time_ns)
        self.counts["snapshots"] += 1
        now_ns = max(snapshot.edge_time_ns, self.edge_clock())
        try:
            self.policy_replica = PolicyReplica(snapshot.state, now_ns, self.next_number)
        except OutOfSyncError as error:
            raise LinkProtocolError(str(error)) from None
        self.last_sequence = snapshot.sequence
        if self.version >= fr.RESTORE_VERSION and not self.policy_replica.list_retained():
            self._send_earlier_replicas()

    def _send_earlier_replicas(self) -> None:
        """Sends an edge that has just started the replicas that its predecessor retained."""
        if self.find_earlier_replicas is None:
            return
        replicas = self.find_earlier_replicas(self.edge_name)
        if replicas:
            self.counts["recalled"] += len(replicas)
            self._send(fr.RestoreReplicas(self.epoch, replicas))

    def _apply_events(self, message: fr.Events) -> None:
        self.edge_clock.record_edge_time(message.edge_time_ns)
        if self.policy_replica is None:
            return  # no snapshot has arrived yet
        if message.sequence <= self.last_sequence:
            self.counts["again"] += 1
            return
        if message.sequence != self.last_sequence + 1:
            self._request_resync(f"{self.last_sequence} and then {message.sequence}")
            return
        try:
            self.policy_replica.apply_events(message.events)
        except OutOfSyncError as error:
            self._request_resync(str(error))
            return
        self.last_sequence = message.sequence

    def _request_resync(self, reason: str) -> None:
        self.policy_replica = None
        self._snapshot_awaited_ns = self.own_clock()
        self.counts["needed"] += 1
        self._send(fr.ResyncRequest(reason))

    # -- decisions and heartbeats

    def next_due_ns(self) -> int:
        """Returns the time on the own clock when `poll` is due if no message arrives."""
        heartbeat_ns = self._heartbeat_ns + self.heartbeat_interval_ns
        due_ns = self.policy_replica.next_due_ns() if self.policy_replica is not None else None
        return (
            heartbeat_ns
            if due_ns is None
            else min(heartbeat_ns, due_ns - self.edge_clock.offset_ns)
        )

    def poll(self) -> None:
        """Runs the policy and queues its decisions, and a heartbeat if one is due."""
        if self.epoch == NO_EPOCH:
            return
        if self.policy_replica is None:
            if self.own_clock() >= self._snapshot_awaited_ns + SNAPSHOT_TIMEOUT_NS:
                self._request_resync("the state has not come")
        else:
            self._advance(self.policy_replica)
        if self.own_clock() >= self._heartbeat_ns + self.heartbeat_interval_ns:
            self._heartbeat_ns = self.own_clock()
            self._send(fr.Heartbeat(self.epoch, max(self.last_sequence, 0)))

    def _advance(self, policy_replica: PolicyReplica) -> None:
        """Runs the policy; an error in it causes a resync and does not end the planner."""
        try:
            policy_replica.advance(self.edge_clock())
        except Exception as error:
            self._request_resync(f"{type(error).__name__} {error}")
            return
        changes = policy_replica.take_changes()
        if changes:
            self.counts["orders"] += len(changes.load_requests)
            update = fr.PlanUpdate(
                self.epoch,
                self.last_sequence,
                changes.load_requests,
                changes.retained,
                changes.is_complete,
            )
            self._send(update)

    def _send(self, message: fr.Message) -> None:
        self._frames.append(fr.encode_frame(message))

    @property
    def has_frames(self) -> bool:
        """Whether frames wait to be sent."""
        return bool(self._frames)

    def next_frame(self) -> bytes | None:
        """Returns the next frame to send, or None."""
        return self._frames.popleft() if self._frames else None

    def report_status(self) -> PlannerLinkStatus:
        """Returns the status of the link for operators."""
        policy_replica = self.policy_replica
        return PlannerLinkStatus(
            edge_name=self.edge_name,
            version=self.version,
            epoch=self.epoch,
            last_sequence=self.last_sequence,
            has_replica=policy_replica is not None,
            retained=len(policy_replica.list_retained()) if policy_replica else 0,
            load_requests=len(policy_replica.load_requests) if policy_replica else 0,
            requests=policy_replica.request_count if policy_replica else 0,
            counts=dict(self.counts),
        )
