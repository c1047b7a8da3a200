"""The records of a run, in the form that `martenlead.days.audit` reads."""

from __future__ import annotations

from dataclasses import dataclass, field
from time import monotonic_ns
from typing import Any

Record = dict[str, Any]


@dataclass
class ProcessSample:
    """Resident memory and open descriptors of one node's process at one time."""

    node: int
    resident_bytes: int
    descriptors: int


@dataclass
class RecordBook:
    """All records of a run. Times are monotonic ns."""

    clients: list[Record] = field(default_factory=list)
    workers: list[Record] = field(default_factory=list)
    membership: list[Record] = field(default_factory=list)
    processes: list[Record] = field(default_factory=list)
    ready_seconds: list[float] = field(default_factory=list)  # time that each process took to be up
    exit_statuses: list[int] = field(default_factory=list)  # one for each process that was not killed
    samples: list[ProcessSample] = field(default_factory=list)
    own_lag_ns: int = 0  # largest delay of the peers' event loop within about the last second
    wrong_bodies: list[str] = field(default_factory=list)  # ids of requests served with another body

    def record_client(self, what: str, **about: Any) -> None:
        """Records that a client sent a request, or that a request ended."""
        self.clients.append({"t": monotonic_ns(), "what": what, **about})

    def record_worker(self, what: str, **about: Any) -> None:
        """Records that an attempt reached a worker, ran, was refused or ended."""
        self.workers.append({"t": monotonic_ns(), "what": what, **about})

    def record_membership(
        self, edge: str, lines: list[tuple[str, str, str]], *, is_whole: bool = False
    ) -> None:
        """Records that a node must know these workers from now on: name, state and incarnation."""
        self.membership.append(
            {"t": monotonic_ns(), "what": "told", "edge": edge, "whole": is_whole, "lines": lines}
        )

    def record_kill(self, node: int) -> None:
        """Records that a process of a node was killed."""
        self.processes.append({"t": monotonic_ns(), "what": "killed", "edge": node})
