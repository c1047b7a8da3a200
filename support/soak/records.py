"""What passed on the sockets of a run, in the form that `martenlead.days.audit` reads."""

from __future__ import annotations

from dataclasses import dataclass, field
from time import monotonic_ns
from typing import Any

Record = dict[str, Any]


@dataclass
class ProcessSample:
    """What the kernel says of one node's process."""

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
    ready_seconds: list[float] = field(default_factory=list)  # from the start of a process until it was up
    exit_statuses: list[int] = field(default_factory=list)  # of processes that ended by themselves
    samples: list[ProcessSample] = field(default_factory=list)
    own_lag_ns: int = 0  # the most by which the loop of the peers was late within the last second or so
    wrong_bodies: list[str] = field(default_factory=list)  # ids of requests served with another body

    def client(self, what: str, **about: Any) -> None:
        """A client sent a request, or a request of it ended."""
        self.clients.append({"t": monotonic_ns(), "what": what, **about})

    def worker(self, what: str, **about: Any) -> None:
        """An attempt came to a worker, ran, was refused or ended."""
        self.workers.append({"t": monotonic_ns(), "what": what, **about})

    def told(self, edge: str, lines: list[tuple[str, str, str]], *, is_whole: bool = False) -> None:
        """A node counts as told of these workers: name, state and life."""
        self.membership.append(
            {"t": monotonic_ns(), "what": "told", "edge": edge, "whole": is_whole, "lines": lines}
        )

    def killed(self, node: int) -> None:
        """A process of a node was killed."""
        self.processes.append({"t": monotonic_ns(), "what": "killed", "edge": node})
