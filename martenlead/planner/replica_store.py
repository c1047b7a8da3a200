"""The planner's file of retained replicas, used when an edge or the planner restarts.

The file is JSON. The age of its entries is measured by the uptime if the machine has not restarted
since they were saved, otherwise by the wall clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random

import anyio.to_thread
import msgspec

from martenlead.planner.frames import RetainedReplica
from martenlead.planner.link import NS_PER_MS, NS_PER_SECOND
from martenlead.system import clocks
from martenlead.system.clocks import Moment
from martenlead.system.durable_file import Backoff, read_if_there, remove_leftovers, replace_file
from martenlead.system.state_saver import Log, SaveHealth, StateSaver

ReplicasByEdge = dict[str, list[RetainedReplica]]


class SavedReplicas(msgspec.Struct):
    """The replicas that each edge retained, and the time by wall clock and uptime.

    Files of earlier versions have no boot ID and uptime.
    """

    saved_unix_seconds: float = msgspec.field(name="saved")
    replicas_by_edge: ReplicasByEdge = msgspec.field(name="edges")
    boot_id: str = msgspec.field(default="", name="boot")
    uptime_ns: int = msgspec.field(default=0, name="uptime")


def saved_moment(saved: SavedReplicas) -> Moment:
    """Returns the time when replicas were saved."""
    saved_unix_ns = round(saved.saved_unix_seconds * NS_PER_SECOND)
    return Moment(saved_unix_ns, saved.boot_id, saved.uptime_ns)


def age_replica(replica: RetainedReplica, passed_ms: float) -> RetainedReplica:
    """Returns the replica with a longer idle time."""
    return replica._replace(idle_ms=replica.idle_ms + passed_ms)


class ReplicaStore:
    """The replicas that edges retain, in memory and, if there is a path, in a file."""

    def __init__(
        self, path: Path | None, planner_name: str, log: Log, moment: Callable[[], Moment]
    ) -> None:
        self.path, self.log, self.moment = path, log, moment
        self._is_unread = False  # an existing file could not be read and must not be overwritten
        self.saved = self._read_at_start()
        self.save_counts = Counter[str]()  # number of saves by outcome
        self.saver = self._make_saver(planner_name)

    # -- the file

    def _read_at_start(self) -> SavedReplicas:
        """Reads the file; one that cannot be read now is read again before the first write."""
        try:
            return self._read_file()
        except OSError as error:
            self._is_unread = True
            self.log.warning("state_unread", reason=str(error))
            return self._as_of_now({})

    def _read_file(self) -> SavedReplicas:
        """Reads the file; raises OSError if it exists and cannot be read now."""
        if self.path is None:
            return self._as_of_now({})
        data = read_if_there(self.path)
        try:
            return msgspec.json.decode(data or b"", type=SavedReplicas)
        except msgspec.DecodeError:
            return self._as_of_now({})

    def _as_of_now(self, replicas: ReplicasByEdge) -> SavedReplicas:
        now = self.moment()
        return SavedReplicas(now.wall / NS_PER_SECOND, replicas, now.boot, now.uptime)

    async def _read_unread(self) -> None:
        """Reads and merges a file that could not be read at the start.

        Replicas of edges that have connected since are newer and take precedence. Raises OSError.
        """
        if not self._is_unread:
            return
        found = await anyio.to_thread.run_sync(self._read_file)
        passed_ms = clocks.passed(saved_moment(found), saved_moment(self.saved)) / NS_PER_MS
        for edge, replicas in found.replicas_by_edge.items():
            aged = [age_replica(replica, passed_ms) for replica in replicas]
            self.saved.replicas_by_edge.setdefault(edge, aged)
        self._is_unread = False

    def _make_saver(self, planner_name: str) -> StateSaver[bytes]:
        health = SaveHealth(
            "planner",
            self.log,
            Backoff(Random(planner_name)),
            count=lambda event, _state: self.save_counts.update([event]),
        )
        return StateSaver(
            lambda: msgspec.json.encode(self.saved),
            self.write_file,
            health,
            prepare=self._read_unread,
        )

    def write_file(self, data: bytes) -> None:
        """Replaces the file; called in a thread. Raises OSError."""
        if self.path is not None:
            replace_file(self.path, data)

    def remove_leftovers(self) -> None:
        """Removes temporary files of interrupted writes."""
        if self.path is not None:
            remove_leftovers(self.path)

    # -- the replicas

    def find(self, edge: str, keep_alive_ms: float) -> list[RetainedReplica]:
        """Returns the replicas that an edge retained, without those that have expired since."""
        passed_ms = clocks.passed(saved_moment(self.saved), self.moment()) / NS_PER_MS
        replicas = self.saved.replicas_by_edge.get(edge, [])
        aged = [age_replica(replica, passed_ms) for replica in replicas]
        return [replica for replica in aged if replica.idle_ms < keep_alive_ms]

    def update(self, replicas: ReplicasByEdge) -> bool:
        """Replaces the replicas of these edges; returns whether the set of replicas changed."""
        before = self.saved.replicas_by_edge
        now = {**before, **replicas}
        self.saved = self._as_of_now(now)
        return _names(now) != _names(before)


def _names(replicas: ReplicasByEdge) -> dict[str, list[tuple[str, str]]]:
    return {
        edge: [(replica.worker, replica.function) for replica in listed]
        for edge, listed in replicas.items()
    }
