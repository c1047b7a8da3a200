"""Both ends of the link between an edge and its planner, as state machines: no I/O, no clock of their own.

What is guaranteed, and by whom: an order is carried out only if the edge itself still counts its sender as
its planner (the epoch is the edge's latest, and its lease has not run out) and its own module finds room
for it in the ration and its runner up. So two planners that both believe to be in charge can together order
no more than one, whatever clocks and networks do, without any word between them. What is not guaranteed:
that there is a planner at all, or that two planners of two edges hold no copy twice.

A planner is told everything in order and without a gap, from a state on: events are numbered, kept until
they are acknowledged, sent again after a break, and where that is too much the state is sent anew.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from martenlead.capture import events as ev
from martenlead.planner import frames as fr
from martenlead.planner.policy_replica import EdgeClock, OutOfSyncError, PolicyReplica

NS_PER_MS = 1_000_000
EVENTS_PER_FRAME = 512  # events that become a frame without waiting for more, also while there is no planner
SNAPSHOT_TIMEOUT_NS = 2000 * NS_PER_MS  # after which a state that has not come is asked for again
STALLED_LEASES = 4  # leases for which a planner may live and take nothing in
PLANNER_EVENTS = (  # what a planner needs to hear of
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


class LinkProtocolError(Exception):
    """The connection is of no use any more; says why."""


@dataclass(slots=True, frozen=True)
class SessionLimits:
    """Times in ns."""

    lease: int = 1500 * NS_PER_MS
    outbox: int = 8_388_608
    snapshot: int = 500 * NS_PER_MS
    speaks: int = fr.HIGHEST_VERSION


class EdgeSession:
    """The edge's end. `put` is all that happens on a task's path; it never waits and holds `outbox` bytes at
    most."""

    def __init__(
        self,
        name: str,
        life: str,
        module: str,
        clock: Callable[[], int],
        snapshot: Callable[[], tuple[dict[str, Any], set[int]]],
        limits: SessionLimits,
    ) -> None:
        """`snapshot` gives all that the module knows, and the numbers of the models in it."""
        self.edge_name, self.incarnation, self.policy_hash = name, life, module
        self.clock, self.take_snapshot, self.limits = clock, snapshot, limits
        self.epoch = 0
        self.lease_end_ns = 0  # when the lease runs out
        self.state = "down"  # greeting, up
        self.planner_name = self.planner_incarnation = ""
        self.version = 0
        self.last_sequence = self.acknowledged_sequence = 0
        self.counts: Counter[str] = Counter()
        self.pending_decisions: deque[fr.PlanUpdate | fr.RestoreReplicas] = deque()
        self._recording = False
        self._stale = False
        self._batch: list[ev.AnyEvent] = []
        self._outbox: deque[tuple[int, bytes]] = deque()
        self._bytes = 0
        self._sent = 0  # number of the last events that went out on this connection
        self._control: deque[bytes] = deque()
        self._models: dict[int, ev.FunctionAdded] = {}
        self._known: set[int] = set()  # models that the planner knows of
        self._snapped = -1 << 62
        self._snapped_seq = 0
        self._leased = 0  # since when
        self._heard = self._moved = 0  # the last number acknowledged, and when that was a new one

    # -- what the module is told and decides, as it happens

    def record_event(self, event: ev.CaptureEvent) -> None:
        if isinstance(event, ev.FunctionAdded):
            self._models[event.function] = event
        if not self._recording or not isinstance(event, PLANNER_EVENTS):
            return
        number = (
            getattr(event, "function", -1)
            if isinstance(event, (ev.RequestAccepted, ev.LoadPlanned, ev.ReplicaConfirmed))
            else -1
        )
        if number >= 0 and number not in self._known:
            self._known.add(number)
            self._batch.append(self._models[number])
        self._batch.append(event)
        if len(self._batch) >= EVENTS_PER_FRAME:
            self.flush()

    def flush(self) -> None:
        """What was told since goes into the outbox, as one frame."""
        if not self._batch:
            return
        self.last_sequence += 1
        data = fr.encode_frame(fr.Events(self.last_sequence, self.clock(), self._batch))
        self._batch = []
        self._outbox.append((self.last_sequence, data))
        self._bytes += len(data)
        self.counts["bytes"] += len(data)
        if self._bytes > self.limits.outbox:
            self.counts["overflow"] += 1
            self._forget()

    def _forget(self) -> None:
        """The planner will be told the whole state; until then nothing is kept for it."""
        self._outbox.clear()
        self._batch = []
        self._bytes = 0
        self._recording, self._stale = False, True

    # -- the connection

    def is_leased(self) -> bool:
        return self.state == "up" and self.clock() < self.lease_end_ns

    def connection_made(self) -> None:
        self.state = "greeting"
        self.lease_end_ns = self.clock() + self.limits.lease
        self._control.clear()
        hello = fr.Hello(
            fr.LOWEST_VERSION, self.limits.speaks, self.edge_name, self.incarnation, self.policy_hash
        )
        self._control.append(fr.encode_frame(hello))

    def connection_lost(self) -> None:
        """The connection is gone; what is kept may be sent on the next."""
        self.state = "down"
        self._control.clear()
        self.pending_decisions.clear()

    def receive_message(self, message: fr.AnyMessage) -> None:
        """Raises `Broken`."""
        match message:
            case fr.Welcome() if self.state == "greeting":
                self._welcomed(message)
            case fr.Heartbeat(epoch=epoch, sequence=seq) if self.state == "up":
                if epoch == self.epoch:
                    self._beaten(seq)
            case fr.PlanUpdate(epoch=epoch) | fr.RestoreReplicas(epoch=epoch):
                if epoch != self.epoch or not self.is_leased():
                    self.counts["fenced"] += 1
                elif isinstance(message, fr.PlanUpdate) and message.sequence < self._snapped_seq:
                    self.counts["outdated"] += 1  # decided before the planner knew all that it knows now
                else:
                    self.pending_decisions.append(message)
            case fr.ResyncRequest():
                self.counts["needs"] += 1
                self._forget()
            case fr.LinkRefused(reason=why):
                raise LinkProtocolError(f"the planner refuses: {why}")
            case _:
                raise LinkProtocolError(f"{type(message).__name__} was not expected while {self.state}")

    def _welcomed(self, message: fr.Welcome) -> None:
        if not fr.LOWEST_VERSION <= message.version <= self.limits.speaks:
            raise LinkProtocolError(f"the planner speaks version {message.version}")
        first = self._outbox[0][0] if self._outbox else self.last_sequence + 1
        resumes = (
            self._recording
            and message.incarnation == self.planner_incarnation
            and message.last_sequence >= 0
            and first <= message.last_sequence + 1 <= self.last_sequence + 1
        )
        self.planner_name, self.planner_incarnation, self.version = (
            message.planner_name,
            message.incarnation,
            message.version,
        )
        self.state = "up"
        self.epoch += 1  # whatever still comes of a connection before is of an epoch before
        now = self.clock()
        self.lease_end_ns, self._leased, self._moved, self._heard = now + self.limits.lease, now, now, 0
        self._control.append(fr.encode_frame(fr.Lease(self.epoch, self.limits.lease / NS_PER_MS, resumes)))
        if resumes:
            self.counts["resumed"] += 1
            self._acknowledged(message.last_sequence)
            self._sent = message.last_sequence
        else:
            self._forget()

    def _beaten(self, seq: int) -> None:
        now = self.clock()
        self.lease_end_ns = now + self.limits.lease
        if seq > self._heard or seq >= self._sent:
            self._heard, self._moved = seq, now
        elif now - self._moved > STALLED_LEASES * self.limits.lease:
            raise LinkProtocolError("the planner lives and takes nothing in")
        self._acknowledged(seq)

    def is_established(self) -> bool:
        """Whether the planner at hand has kept its lease for a while: one that breaks off is asked again
        first then, else the next in the list."""
        now = self.clock()
        stuck = now - self._moved > STALLED_LEASES * self.limits.lease
        return self.state == "up" and now - self._leased > self.limits.lease and not stuck

    def _acknowledged(self, seq: int) -> None:
        while self._outbox and self._outbox[0][0] <= seq:
            self._bytes -= len(self._outbox.popleft()[1])
        self.acknowledged_sequence = max(self.acknowledged_sequence, seq)

    def next_frame(self) -> bytes | None:
        """The next frame to be written, None if there is none now. Raises `Broken` when the planner's time is
        over."""
        if self.state == "down":
            return None
        if self.clock() >= self.lease_end_ns:
            raise LinkProtocolError("the planner has not answered in time")
        if self._control:
            return self._control.popleft()
        if self.state != "up":
            return None
        if self._stale and self.clock() >= self._snapped + self.limits.snapshot:
            return self._snap()
        self.flush()
        for seq, data in self._outbox:
            if seq > self._sent:
                self._sent = seq
                return data
        return None

    def _snap(self) -> bytes:
        state, self._known = self.take_snapshot()
        self._snapped = self.clock()
        self._stale, self._recording = False, True
        self.last_sequence += (
            1  # its own, so that what was decided before it can be told from what comes after
        )
        self._snapped_seq = self._sent = self.acknowledged_sequence = self.last_sequence
        self.counts["snapshots"] += 1
        return fr.encode_frame(fr.Snapshot(self.last_sequence, self.clock(), state))

    def report_status(self) -> dict[str, Any]:
        """For operators."""
        now = self.clock()
        return {
            "planner": self.planner_name,
            "state": self.state,
            "version": self.version,
            "epoch": self.epoch,
            "lease_ms": max(0.0, (self.lease_end_ns - now) / NS_PER_MS) if self.state == "up" else 0.0,
            "events": self.last_sequence,
            "unacknowledged": self.last_sequence - self.acknowledged_sequence,
            "outbox_bytes": self._bytes,
            **{f"link_{name}": n for name, n in sorted(self.counts.items())},
        }


class PlannerSession:
    """A planner's end, for one edge; lives on when the connection breaks."""

    def __init__(
        self,
        planner: str,
        life: str,
        clock: Callable[[], int],
        numbers: Callable[[], int],
        recall: Callable[[str], list[fr.RetainedReplica]] | None = None,
        beat: int = 200 * NS_PER_MS,
        speaks: int = fr.HIGHEST_VERSION,
    ) -> None:
        """`recall` gives what is known to have been held for an edge of that name, in a life before."""
        self.planner_name, self.incarnation, self.own_clock, self.next_number = planner, life, clock, numbers
        self.find_earlier_replicas, self.beat, self.speaks = recall, beat, speaks
        self.edge_name = self.edge_incarnation = ""
        self.epoch = -1
        self.last_sequence = -1
        self.policy_replica: PolicyReplica | None = None
        self.edge_clock = EdgeClock(clock)
        self.counts: Counter[str] = Counter()
        self.version = 0
        self._out: deque[bytes] = deque()
        self._beaten = -1 << 62
        self._wants = clock()  # a state, since when

    def connection_made(self) -> None:
        """A new connection: whatever stood to be written on the last is void."""
        self._out.clear()
        self.epoch = -1

    def receive_message(self, message: fr.AnyMessage) -> None:
        """Raises `Broken`."""
        match message:
            case fr.Hello():
                self._greeted(message)
            case fr.Lease(epoch=epoch, is_resumed=resumes):
                self.epoch = epoch
                self._beaten = -1 << 62
                if not resumes:
                    self.policy_replica, self._wants = None, self.own_clock()
                elif self.policy_replica is not None:
                    self.policy_replica.resume()
            case fr.Snapshot(sequence=seq, edge_time_ns=t, state=state):
                self._snapped(seq, t, state)
            case fr.Events(sequence=seq, edge_time_ns=t, events=events):
                self._events(seq, t, events)
            case fr.LinkRefused(reason=why):
                raise LinkProtocolError(f"the edge refuses: {why}")
            case _:
                raise LinkProtocolError(f"{type(message).__name__} is not for a planner")

    def _greeted(self, message: fr.Hello) -> None:
        most = min(message.highest_version, self.speaks)
        if most < max(message.lowest_version, fr.LOWEST_VERSION):
            raise LinkProtocolError(
                f"no common version: {message.lowest_version} to {message.highest_version} is spoken there"
            )
        self.version = most
        if message.incarnation != self.edge_incarnation:
            self.policy_replica, self.last_sequence = None, -1
            self.edge_clock = EdgeClock(self.own_clock)
        self.edge_name, self.edge_incarnation = message.edge_name, message.incarnation
        last = self.last_sequence if self.policy_replica is not None else -1
        self._out.append(fr.encode_frame(fr.Welcome(most, self.planner_name, self.incarnation, last)))

    def _snapped(self, seq: int, t: int, state: dict[str, Any]) -> None:
        self.edge_clock.record_edge_time(t)
        self.counts["snapshots"] += 1
        try:
            self.policy_replica = PolicyReplica(state, max(t, self.edge_clock()), self.next_number)
        except OutOfSyncError as error:
            raise LinkProtocolError(str(error)) from None
        self.last_sequence = seq
        if (
            self.find_earlier_replicas is not None
            and self.version >= 2
            and not self.policy_replica.list_retained()
        ):
            copies = self.find_earlier_replicas(self.edge_name)
            if copies:
                self.counts["recalled"] += len(copies)
                self._out.append(fr.encode_frame(fr.RestoreReplicas(self.epoch, copies)))

    def _events(self, seq: int, t: int, events: list[ev.AnyEvent]) -> None:
        self.edge_clock.record_edge_time(t)
        if self.policy_replica is None:
            return  # a state is on its way
        if seq <= self.last_sequence:
            self.counts["again"] += 1
            return
        if seq != self.last_sequence + 1:
            self._need(f"{self.last_sequence} and then {seq}")
            return
        try:
            self.policy_replica.apply_events(events)
        except OutOfSyncError as error:
            self._need(str(error))
            return
        self.last_sequence = seq

    def _need(self, why: str) -> None:
        self.policy_replica = None
        self._wants = self.own_clock()
        self.counts["needed"] += 1
        self._out.append(fr.encode_frame(fr.ResyncRequest(why)))

    def next_due_ns(self) -> int:
        """When there is next something to be done without a message, on the own clock."""
        beat = self._beaten + self.beat
        due = self.policy_replica.next_due_ns() if self.policy_replica is not None else None
        return beat if due is None else min(beat, due - self.edge_clock.offset_ns)

    def poll(self) -> None:
        """Lets the module plan, and says what it decided."""
        if self.epoch < 0:
            return
        if self.policy_replica is None and self.own_clock() >= self._wants + SNAPSHOT_TIMEOUT_NS:
            self._need("the state has not come")
        if self.policy_replica is not None:
            try:
                self.policy_replica.advance(self.edge_clock())
            except Exception as error:  # a fault of the module's costs a new state, not the planner
                self._need(f"{type(error).__name__} {error}")
        if self.policy_replica is not None:
            decided = self.policy_replica.take_changes()
            if decided:
                self.counts["orders"] += len(decided.load_requests)
                told = fr.PlanUpdate(
                    self.epoch,
                    self.last_sequence,
                    decided.load_requests,
                    decided.retained,
                    decided.is_complete,
                )
                self._out.append(fr.encode_frame(told))
        if self.own_clock() >= self._beaten + self.beat:
            self._beaten = self.own_clock()
            self._out.append(fr.encode_frame(fr.Heartbeat(self.epoch, max(self.last_sequence, 0))))

    def next_frame(self) -> bytes | None:
        return self._out.popleft() if self._out else None

    def report_status(self) -> dict[str, Any]:
        """For operators."""
        mirror = self.policy_replica
        return {
            "edge": self.edge_name,
            "version": self.version,
            "epoch": self.epoch,
            "events": self.last_sequence,
            "mirrors": mirror is not None,
            "held": len(mirror.list_retained()) if mirror else 0,
            "orders_out": len(mirror.load_requests) if mirror else 0,
            "tasks": mirror.request_count if mirror else 0,
            **{f"link_{name}": n for name, n in sorted(self.counts.items())},
        }
