"""How boxes might learn who has what, in virtual time: owners (ours), asking on demand, summaries, and
none.

    .venv/bin/python benchmarks/sharing.py

Boxes and vault are those of support/swarm.py; only the choice of whom to ask differs. Words are asks between
boxes and, for summaries, what all tell all twice a second, at ten bits a chunk and 40 bytes a message.
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
    def next_owner(self, want: ChunkDownload, passed: set[Peer]) -> Peer | None:
        return None


class OnDemand(Chooser):
    """Asks some boxes by chance whether they have it."""

    def next_owner(self, want: ChunkDownload, passed: set[Peer]) -> Peer | None:
        others = [peer for peer in self.peers.values() if peer not in passed]
        if len(passed) >= OWNERS or not others:
            return None
        return others[int(self.draw_random() * len(others))]


class Summaries(Chooser):
    """Asks one of those that said that they have it."""

    told: dict[int, set[str]]

    def next_owner(self, want: ChunkDownload, passed: set[Peer]) -> Peer | None:
        told = getattr(self, "told", {})
        having = [p for m, p in self.peers.items() if p not in passed and want.digest in told.get(m, ())]
        if len(passed) >= OWNERS or not having:
            return None
        return having[int(self.draw_random() * len(having))]


WAYS: dict[str, tuple[type[Chooser], bool]] = {
    "none": (Alone, False),
    "on demand": (OnDemand, False),
    "summaries": (Summaries, False),
    "owners": (Chooser, True),
}


def one(way: str, boxes: int, chunks: int, apart_ms: int) -> dict[str, Any]:
    """All boxes want all chunks, each `apart_ms` behind the one before."""
    kind, fetches = WAYS[way]
    swarm = Swarm(boxes, chooser=kind, fetches_for_others=fetches)
    model = [digest_of(b"%d" % n) for n in range(chunks)]
    for n, box in enumerate(swarm.agents):
        swarm.call_at(n * apart_ms * MS, lambda box=box: box.load(model, 120_000))  # type: ignore[misc]
    said = 0

    def tell() -> None:
        nonlocal said
        for box in swarm.agents:
            for other in swarm.agents:
                if other is not box:
                    told = other.chooser.__dict__.setdefault("told", {})
                    told[box.worker_id] = set(box.chunks)
                    said += 40 + len(box.chunks) * 10 // 8
        if not all(box.finished_ns for box in swarm.agents):
            swarm.call_at(swarm.now + EVERY, tell)

    if way == "summaries":
        swarm.call_at(EVERY, tell)
    swarm.run(600_000)
    ends = [box.finished_ns for box in swarm.agents if box.finished_ns]
    return {
        "way": way,
        "boxes": boxes,
        "apart ms": apart_ms,
        "whole": len(ends),
        "models from the vault": round(swarm.store_chunks / chunks, 2),
        "turned away": swarm.store_rejections,
        "last ms": max(ends, default=0) // MS,
        "asks between boxes": sum(box.chooser.counts.peer_requests for box in swarm.agents),
        "KB told": said // 1000,
        "most sent by one, models": round(max(box.sent_chunks for box in swarm.agents) / chunks, 2),
    }


@click.command()
@click.option("--chunks", default=120)
def main(chunks: int) -> None:
    for boxes in (8, 32):
        for apart in (0, 100):
            for way in WAYS:
                print(json.dumps(one(way, boxes, chunks, apart)), flush=True)


if __name__ == "__main__":
    main()
