"""Boxes and a vault in virtual time around real `Chooser`s: bytes counted at the vault, the same run every
time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from martenlead.layers.choice import (
    MS,
    PEER_WAIT_NS,
    Chooser,
    ChunkDownload,
    ChunkOutcome,
    ChunkRequest,
    Failure,
    Pause,
)

CHUNK = 1000


class Swarm:
    def __init__(
        self,
        boxes: int,
        *,
        pace: int = 8,
        most: int = 24,
        uploads: int = 8,
        vault_ms: float = 40,
        seed: int = 1,
        chooser: type[Chooser] = Chooser,
        fetches_for_others: bool = True,
    ) -> None:
        self.now = 0
        self.make, self.fetches_for_others = chooser, fetches_for_others
        self._count = 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self.pace, self.most, self.vault_ms = pace, most, vault_ms
        self.vault_out = self.vault_chunks = self.turned_away = self.worst = 0
        self.vault_down = (0, 0)
        self.vault_wrong: set[str] = set()
        self.boxes = [Box(self, n, seed * 1000 + n, uploads) for n in range(boxes)]
        for box in self.boxes:
            box.chooser.update_members(range(boxes))

    def at(self, when: int, what: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._queue, (max(when, self.now), self._count, what))

    def run(self, until_ms: float = 60_000) -> None:
        while self._queue and self._queue[0][0] <= until_ms * MS:
            self.now, _, what = heappop(self._queue)
            what()

    def vault(self, digest: str, answer: Callable[[ChunkOutcome], None]) -> None:
        if self.vault_down[0] <= self.now < self.vault_down[1]:
            self.at(self.now + 5 * MS, lambda: answer(ChunkOutcome.BROKEN))
            return
        if self.vault_out >= self.most:
            self.turned_away += 1
            self.at(self.now + MS, lambda: answer(ChunkOutcome.BUSY))
            return
        self.vault_out += 1
        self.worst = max(self.worst, self.vault_out)
        took = int(self.vault_ms * MS * max(1.0, self.vault_out / self.pace))

        def done() -> None:
            self.vault_out -= 1
            self.vault_chunks += 1
            answer(ChunkOutcome.WRONG if digest in self.vault_wrong else ChunkOutcome.GOOD)

        self.at(self.now + took, done)


class Box:
    def __init__(self, swarm: Swarm, mark: int, seed: int, uploads: int) -> None:
        self.swarm, self.mark = swarm, mark
        self.chooser = swarm.make(mark, seed, uploads, lambda: swarm.now)
        self.has: set[str] = set()
        self.waiting: dict[str, list[Callable[[ChunkDownload], None]]] = {}
        self.dead = self.lies = self.stalls = False
        self.sent = self.wrong_served = 0
        self.finished: int | None = None
        self.failures: list[Any] = []

    def load(self, digests: list[str], within_ms: float = 30_000, at_once: int = 16) -> None:
        left = {d for d in digests if d not in self.has}
        planned = iter(self.chooser.plan_downloads(sorted(left)))
        deadline = self.swarm.now + int(within_ms * MS)

        def done(want: ChunkDownload) -> None:
            left.discard(want.digest)
            if want.failure:
                self.failures.append(want.failure)
            if not left:
                self.finished = self.swarm.now
            following()

        def following() -> None:
            digest = next(planned, None)
            if digest is not None:
                self.get(digest, deadline, done)

        for _ in range(at_once):
            following()
        if not left:
            self.finished = self.swarm.now

    def get(self, digest: str, deadline: int, done: Callable[[ChunkDownload], None]) -> ChunkDownload:
        new = digest not in self.chooser.downloads
        want = self.chooser.request_chunk(digest, CHUNK, deadline)
        self.waiting.setdefault(digest, []).append(done)
        if new:
            self.swarm.at(self.swarm.now, lambda: self.step(want, None))
        return want

    def step(self, want: ChunkDownload, value: Any) -> None:
        assert want.steps is not None
        try:
            action = want.steps.send(value)
        except StopIteration:
            if want.is_done:
                self.has.add(want.digest)
            for done in self.waiting.pop(want.digest, []):
                done(want)
            return
        if isinstance(action, Pause):
            self.swarm.at(action.until_ns, lambda: self.step(want, None))
            return
        self.ask(want, action)

    def ask(self, want: ChunkDownload, ask: ChunkRequest) -> None:
        answered = False

        def answer(end: ChunkOutcome) -> None:
            nonlocal answered
            if not answered:
                answered = True
                self.step(want, end)

        self.swarm.at(ask.until_ns, lambda: answer(ChunkOutcome.LATE))
        if ask.peer is None:
            self.swarm.vault(want.digest, answer)
        else:
            self.swarm.boxes[ask.peer.worker_id].serve(want.digest, ask.until_ns, answer)

    def serve(self, digest: str, deadline: int, answer: Callable[[ChunkOutcome], None]) -> None:
        """Another box asks: what is not here is fetched for it, as its owner does."""
        swarm = self.swarm
        if self.dead:
            swarm.at(swarm.now + MS, lambda: answer(ChunkOutcome.BROKEN))
            return
        if self.stalls:
            return
        if digest in self.has or self.lies:
            self.send(answer)
            return
        if not swarm.fetches_for_others:
            swarm.at(swarm.now + MS, lambda: answer(ChunkOutcome.MISSING))
            return

        waits = True

        def wait() -> None:
            nonlocal waits
            if waits:
                waits = False
                self.chooser.remove_waiter(want)
                answer(ChunkOutcome.WAIT)

        def fetched(want: ChunkDownload) -> None:
            nonlocal waits
            if not waits:
                return
            waits = False
            if want.failure:
                words = {Failure.MISSING: ChunkOutcome.MISSING, Failure.LATE: ChunkOutcome.WAIT}
                answer(words.get(want.failure, ChunkOutcome.AWAY))
            else:
                self.send(answer)

        want = self.get(digest, deadline, fetched)  # no upload is taken up until the chunk is there
        swarm.at(swarm.now + PEER_WAIT_NS, wait)

    def send(self, answer: Callable[[ChunkOutcome], None]) -> None:
        if not self.chooser.may_send():
            self.swarm.at(self.swarm.now + MS, lambda: answer(ChunkOutcome.BUSY))
            return
        self.chooser.sending += 1

        def sent() -> None:
            self.chooser.sending -= 1
            self.sent += 1
            self.wrong_served += self.lies
            answer(ChunkOutcome.WRONG if self.lies else ChunkOutcome.GOOD)

        self.swarm.at(self.swarm.now + 4 * MS, sent)
