"""The edge's end of the link with its planner, as a state machine without I/O."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

import msgspec

from martenlead.capture import events as ev
from martenlead.planner import frames as fr
from martenlead.planner.link import LONG_AGO_NS, NS_PER_MS, LinkProtocolError, SessionLimits
from martenlead.planner.snapshot import PolicySnapshot, encode_snapshot
from martenlead.planner.status import EdgeLinkStatus

EVENTS_PER_FRAME = 512  # a full batch is framed at once, also without a connection
STALLED_LEASES = 4  # lease durations without an acknowledgement before a planner counts as stalled
PLANNER_EVENTS = (
    ev.RequestAccepted,
    ev.AttemptStarted,
    ev.AttemptEnded,
    ev.RequestClosed,
    ev.WorkerAdded,
    ev.WorkersUpdated,
    ev.TickChanged,
    ev.LoadPlanned,
    ev.LoadRequested,
    ev.LoadEnded,
    ev.ReplicaConfirmed,
)
EVENTS_OF_A_FUNCTION = (ev.RequestAccepted, ev.LoadPlanned, ev.ReplicaConfirmed)


class ConnectionState(StrEnum):
    """The state of the connection; `GREETING` until the planner's `Welcome`."""

    DOWN = "down"
    GREETING = "greeting"
    UP = "up"


class TakenSnapshot(NamedTuple):
    """A snapshot of the edge's policy, and the numbers of the functions in it."""

    state: PolicySnapshot
    functions: set[int]


class OutboxFrame(NamedTuple):
    """An encoded frame of events that the planner has not acknowledged."""

    sequence: int
    data: bytes


class Outbox:
    """Unacknowledged frames in the order of their sequence numbers, and their total size."""

    def __init__(self) -> None:
        self.frames: deque[OutboxFrame] = deque()
        self.size_bytes = 0

    def append(self, frame: OutboxFrame) -> None:
        """Adds the newest frame."""
        self.frames.append(frame)
        self.size_bytes += len(frame.data)

    def acknowledge(self, sequence: int) -> None:
        """Drops all frames up to and including a sequence number."""
        while self.frames and self.frames[0].sequence <= sequence:
            self.size_bytes -= len(self.frames.popleft().data)

    def clear(self) -> None:
        """Drops all frames."""
        self.frames.clear()
        self.size_bytes = 0


class EdgeSession:
    """An edge's end of the link; it is reused across connections and planners.

    Only `record_event` runs while a request is handled. It never blocks, and the size of the frames
    that it keeps is bounded by `SessionLimits.outbox_bytes`.
    """

    def __init__(
        self,
        edge_name: str,
        incarnation: str,
        policy_hash: str,
        clock: Callable[[], int],
        take_snapshot: Callable[[], TakenSnapshot],
        limits: SessionLimits,
    ) -> None:
        self.edge_name = edge_name
        self.incarnation = incarnation
        self.policy_hash = policy_hash
        self.clock = clock
        self.take_snapshot = take_snapshot
        self.limits = limits
        self.epoch = 0
        self.lease_end_ns = 0
        self.state = ConnectionState.DOWN
        self.planner_name = self.planner_incarnation = ""
        self.version = 0
        self.last_sequence = self.acknowledged_sequence = 0
        self.counts: Counter[str] = Counter()
        self.pending_decisions: deque[fr.PlanUpdate | fr.RestoreReplicas] = deque()
        self._records_events = False
        self._needs_snapshot = False
        self._batch: list[ev.AnyEvent] = []
        self._outbox = Outbox()
        self._sent_sequence = 0  # sequence number of the last frame sent on this connection
        self._control_frames: deque[bytes] = deque()
        self._functions: dict[int, ev.FunctionAdded] = {}
        self._known_functions: set[int] = set()  # functions that the planner knows
        self._snapshot_ns = LONG_AGO_NS
        self._snapshot_sequence = 0
        self._lease_start_ns = 0
        self._heartbeat_sequence = 0  # highest sequence acknowledged on this connection
        self._progress_ns = 0  # last time it increased or covered everything sent

    # -- events of the policy

    def record_event(self, event: ev.CaptureEvent) -> None:
        """Records an input or a decision of the policy when it occurs."""
        if isinstance(event, ev.FunctionAdded):
            self._functions[event.function] = event
        if not self._records_events or not isinstance(event, PLANNER_EVENTS):
            return
        if isinstance(event, EVENTS_OF_A_FUNCTION) and event.function not in self._known_functions:
            self._known_functions.add(event.function)
            self._batch.append(self._functions[event.function])
        self._batch.append(event)
        if len(self._batch) >= EVENTS_PER_FRAME:
            self.flush()

    def flush(self) -> None:
        """Appends the events since the last flush to the outbox as one frame."""
        if not self._batch:
            return
        self.last_sequence += 1
        data = fr.encode_frame(fr.Events(self.last_sequence, self.clock(), self._batch))
        self._batch = []
        self._outbox.append(OutboxFrame(self.last_sequence, data))
        self.counts["bytes"] += len(data)
        if self._outbox.size_bytes > self.limits.outbox_bytes:
            self.counts["overflow"] += 1
            self._require_snapshot()

    def _require_snapshot(self) -> None:
        """Drops all events and records none until the next snapshot."""
        self._outbox.clear()
        self._batch = []
        self._records_events, self._needs_snapshot = False, True

    # -- the connection

    def is_leased(self) -> bool:
        """Returns whether a planner holds the lease and may decide for this edge now."""
        return self.state is ConnectionState.UP and self.clock() < self.lease_end_ns

    def is_established(self) -> bool:
        """Returns whether the planner has held its lease for a lease duration and makes progress.

        If the connection to such a planner is lost, it is tried again before the next in the list.
        """
        now_ns = self.clock()
        is_stalled = now_ns - self._progress_ns > STALLED_LEASES * self.limits.lease_ns
        has_kept_lease = now_ns - self._lease_start_ns > self.limits.lease_ns
        return self.state is ConnectionState.UP and has_kept_lease and not is_stalled

    def connection_made(self) -> None:
        """Handles a new connection; the first frame to send is a `Hello`."""
        self.state = ConnectionState.GREETING
        self.lease_end_ns = self.clock() + self.limits.lease_ns
        self._control_frames.clear()
        hello = fr.Hello(
            fr.LOWEST_VERSION,
            self.limits.highest_version,
            self.edge_name,
            self.incarnation,
            self.policy_hash,
        )
        self._control_frames.append(fr.encode_frame(hello))

    def connection_lost(self) -> None:
        """Handles the end of a connection; the outbox is kept and may be sent on the next one."""
        self.state = ConnectionState.DOWN
        self._control_frames.clear()
        self.pending_decisions.clear()

    # -- messages of the planner

    def receive_message(self, message: fr.AnyMessage) -> None:
        """Handles a message of the planner.

        Raises:
            LinkProtocolError: the connection has to be closed.
        """
        match message:
            case fr.Welcome() if self.state is ConnectionState.GREETING:
                self._start_lease(message)
            case fr.Heartbeat(epoch=epoch, sequence=sequence) if self.state is ConnectionState.UP:
                if epoch == self.epoch:
                    self._renew_lease(sequence)
            case fr.PlanUpdate() | fr.RestoreReplicas():
                self._receive_decision(message)
            case fr.ResyncRequest():
                self.counts["needs"] += 1
                self._require_snapshot()
            case fr.LinkRefused(reason=reason):
                error = f"the planner refused the link: {reason}"
                raise LinkProtocolError(error)
            case _:
                error = f"unexpected {type(message).__name__} in state {self.state}"
                raise LinkProtocolError(error)

    def _receive_decision(self, message: fr.PlanUpdate | fr.RestoreReplicas) -> None:
        """Queues a decision unless its epoch, the lease or the last snapshot invalidates it."""
        if message.epoch != self.epoch or not self.is_leased():
            self.counts["fenced"] += 1
        elif isinstance(message, fr.PlanUpdate) and message.sequence < self._snapshot_sequence:
            self.counts["outdated"] += 1
        else:
            self.pending_decisions.append(message)

    def _start_lease(self, welcome: fr.Welcome) -> None:
        """Begins a new epoch, so that messages of earlier connections are rejected."""
        if not fr.LOWEST_VERSION <= welcome.version <= self.limits.highest_version:
            error = f"the planner speaks unsupported version {welcome.version}"
            raise LinkProtocolError(error)
        is_resumed = self._can_resume(welcome)
        self.planner_name = welcome.planner_name
        self.planner_incarnation = welcome.incarnation
        self.version = welcome.version
        self.state = ConnectionState.UP
        self.epoch += 1
        now_ns = self.clock()
        self.lease_end_ns = now_ns + self.limits.lease_ns
        self._lease_start_ns = self._progress_ns = now_ns
        self._heartbeat_sequence = 0
        lease = fr.Lease(self.epoch, self.limits.lease_ns / NS_PER_MS, is_resumed)
        self._control_frames.append(fr.encode_frame(lease))
        if is_resumed:
            self.counts["resumed"] += 1
            self._acknowledge(welcome.last_sequence)
            self._sent_sequence = welcome.last_sequence
        else:
            self._require_snapshot()

    def _can_resume(self, welcome: fr.Welcome) -> bool:
        """Returns whether the same planner run is back and the outbox has all events it lacks."""
        frames = self._outbox.frames
        first_sequence = frames[0].sequence if frames else self.last_sequence + 1
        return (
            self._records_events
            and welcome.incarnation == self.planner_incarnation
            and welcome.last_sequence >= 0
            and first_sequence <= welcome.last_sequence + 1 <= self.last_sequence + 1
        )

    def _renew_lease(self, sequence: int) -> None:
        now_ns = self.clock()
        self.lease_end_ns = now_ns + self.limits.lease_ns
        if sequence > self._heartbeat_sequence or sequence >= self._sent_sequence:
            self._heartbeat_sequence, self._progress_ns = sequence, now_ns
        elif now_ns - self._progress_ns > STALLED_LEASES * self.limits.lease_ns:
            error = "the planner is alive and acknowledges nothing"
            raise LinkProtocolError(error)
        self._acknowledge(sequence)

    def _acknowledge(self, sequence: int) -> None:
        self._outbox.acknowledge(sequence)
        self.acknowledged_sequence = max(self.acknowledged_sequence, sequence)

    # -- frames to the planner

    def next_frame(self) -> bytes | None:
        """Returns the next frame to send, or None.

        Raises:
            LinkProtocolError: the lease has expired, and the connection has to be closed.
        """
        if self.state is ConnectionState.DOWN:
            return None
        if self.clock() >= self.lease_end_ns:
            error = "the planner has not answered in time"
            raise LinkProtocolError(error)
        if self._control_frames:
            return self._control_frames.popleft()
        if self.state is not ConnectionState.UP:
            return None
        if self._is_snapshot_due():
            return self._snapshot_frame()
        self.flush()
        return self._next_outbox_frame()

    def _next_outbox_frame(self) -> bytes | None:
        for sequence, data in self._outbox.frames:
            if sequence > self._sent_sequence:
                self._sent_sequence = sequence
                return data
        return None

    def _is_snapshot_due(self) -> bool:
        earliest_ns = self._snapshot_ns + self.limits.snapshot_interval_ns
        return self._needs_snapshot and self.clock() >= earliest_ns

    def _snapshot_frame(self) -> bytes:
        """Returns a snapshot frame; its new sequence number marks earlier decisions as outdated."""
        snapshot = self.take_snapshot()
        self._known_functions = snapshot.functions
        self._snapshot_ns = self.clock()
        self._needs_snapshot, self._records_events = False, True
        self.last_sequence += 1
        self._snapshot_sequence = self._sent_sequence = self.last_sequence
        self.acknowledged_sequence = self.last_sequence
        self.counts["snapshots"] += 1
        state = msgspec.Raw(encode_snapshot(snapshot.state))
        return fr.encode_frame(fr.Snapshot(self.last_sequence, self.clock(), state))

    def report_status(self) -> EdgeLinkStatus:
        """Returns the status of the link for operators."""
        left_ns = self.lease_end_ns - self.clock() if self.state is ConnectionState.UP else 0
        return EdgeLinkStatus(
            planner_name=self.planner_name,
            state=self.state.value,
            version=self.version,
            epoch=self.epoch,
            lease_ms=max(0.0, left_ns / NS_PER_MS),
            last_sequence=self.last_sequence,
            unacknowledged=self.last_sequence - self.acknowledged_sequence,
            outbox_bytes=self._outbox.size_bytes,
            counts=dict(self.counts),
        )
