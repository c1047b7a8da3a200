"""Compares ways in which workers can find chunks at each other, in virtual time: owners (the program's way),
requests on demand, summaries, and none.

    .venv/bin/python benchmarks/sharing.py

Workers and artifact store are those of support/swarm.py; only the choice of the peer differs. Messages are
the requests between workers and, for summaries, what each sends to all others twice a second, at ten bits per
chunk and 40 bytes per message.
"""

from __future__ import annotations

import json
from typing import Any

import click

from martenlead.layers.choice import MS, OWNERS, Chooser, ChunkDownload, Peer
from martenlead.layers.image import digest_of
from support.swarm import Swarm

EVERY = 500 * MS


class Alone(Chooser):
    """Requests no chunk from a peer."""

    def next_owner(self, want: ChunkDownload, passed: set[Peer]) -> Peer | None:
        """Returns no peer."""
        return None


class OnDemand(Chooser):
    """Requests a chunk from randomly chosen peers."""

    def next_owner(self, want: ChunkDownload, passed: set[Peer]) -> Peer | None:
        """Returns a random peer that was not tried yet, up to `OWNERS` of them."""
        others = [peer for peer in self.peers.values() if peer not in passed]
        if len(passed) >= OWNERS or not others:
            return None
        return others[int(self.draw_random() * len(others))]


class Summaries(Chooser):
    """Requests a chunk from a random peer whose summary contains it."""

    announced: dict[int, set[str]]

    def next_owner(self, want: ChunkDownload, passed: set[Peer]) -> Peer | None:
        """Returns a random peer that announced the chunk and was not tried yet."""
        announced = getattr(self, "announced", {})
        having = [p for m, p in self.peers.items() if p not in passed and want.digest in announced.get(m, ())]
        if len(passed) >= OWNERS or not having:
            return None
        return having[int(self.draw_random() * len(having))]


METHODS: dict[str, tuple[type[Chooser], bool]] = {
    "none": (Alone, False),
    "on demand": (OnDemand, False),
    "summaries": (Summaries, False),
    "owners": (Chooser, True),
}


def simulate(method: str, worker_count: int, chunks: int, apart_ms: int) -> dict[str, Any]:
    """All workers load all chunks; each starts `apart_ms` after the one before."""
    chooser, fetches = METHODS[method]
    swarm = Swarm(worker_count, chooser=chooser, fetches_for_others=fetches)
    model = [digest_of(b"%d" % n) for n in range(chunks)]
    for n, worker in enumerate(swarm.agents):
        swarm.call_at(n * apart_ms * MS, lambda worker=worker: worker.load(model, 120_000))  # type: ignore[misc]
    summary_bytes = 0

    def send_summaries() -> None:
        """Sends the summary of each worker to all others, until all have finished."""
        nonlocal summary_bytes
        for worker in swarm.agents:
            for other in swarm.agents:
                if other is not worker:
                    announced = other.chooser.__dict__.setdefault("announced", {})
                    announced[worker.worker_id] = set(worker.chunks)
                    summary_bytes += 40 + len(worker.chunks) * 10 // 8
        if not all(worker.finished_ns for worker in swarm.agents):
            swarm.call_at(swarm.now + EVERY, send_summaries)

    if method == "summaries":
        swarm.call_at(EVERY, send_summaries)
    swarm.run(600_000)
    finished_times = [worker.finished_ns for worker in swarm.agents if worker.finished_ns]
    return {
        "way": method,
        "boxes": worker_count,
        "apart ms": apart_ms,
        "whole": len(finished_times),
        "models from the vault": round(swarm.store_chunks / chunks, 2),
        "turned away": swarm.store_rejections,
        "last ms": max(finished_times, default=0) // MS,
        "asks between boxes": sum(worker.chooser.counts.peer_requests for worker in swarm.agents),
        "KB told": summary_bytes // 1000,
        "most sent by one, models": round(max(worker.sent_chunks for worker in swarm.agents) / chunks, 2),
    }


@click.command()
@click.option("--chunks", default=120)
def main(chunks: int) -> None:
    """Print one JSON object per number of workers, interval of starts and method."""
    for worker_count in (8, 32):
        for apart in (0, 100):
            for method in METHODS:
                print(json.dumps(simulate(method, worker_count, chunks, apart)), flush=True)


if __name__ == "__main__":
    main()
