"""Boxes' agents and a vault of chunks in virtual time: each agent's `Chooser` as it is, bytes as counts.

Images are lists of chunks: a family's base, of which each model has some places of its own, and each release
overwrites more. What is not here: names that are asked for, disks that lie, cut-off answers' bytes.
"""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any, Protocol

import xxhash

from martenlead.days.script import AgentEvent, LayersScript, Plan
from martenlead.emulator.kernel import Kernel, Process, Signal, Steps
from martenlead.emulator.records import Records
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
from martenlead.standins.crowding import OverloadDetector
from martenlead.standins.settings import ArtifactStoreSettings, Fault

STEP = 20 * MS
ANSWER = 2 * MS  # of a peer or the vault that has nothing to send
PLACES = 5  # that a variant or a release overwrites
AT_ONCE = 16  # chunks of one load


class StoreFleet(Protocol):
    """What the store of layers needs of the fleet."""

    made: Plan
    kernel: Kernel
    vault_records: Records

    @property
    def runners(self) -> Mapping[str, object]:
        """The workers by name, in the order of the script: one agent for each."""


class Images:
    """Which chunks a model is, in each of its releases."""

    def __init__(self, layers: LayersScript, models: list[str], seed: int) -> None:
        self.layers, self.seed = layers, seed
        self.chunk_bytes = layers.average_kb * 1024
        self.count = max(1, round(layers.model_mb * 1e6 / self.chunk_bytes))
        self.family = {model: n % layers.families for n, model in enumerate(models)}
        self._made: dict[tuple[str, int], list[str]] = {}

    def chunks(self, model: str, release: int) -> list[str]:
        key = model, release
        if key not in self._made:
            if release:
                made = list(self.chunks(model, release - 1))
                part, name = self.layers.changed, f"{model}.r{release}"
            else:
                made = [f"base{self.family.get(model, 0)}.{n}" for n in range(self.count)]
                part, name = self.layers.tuned, model
            chance = Random(f"{self.seed} {name}")
            each = part * self.count / PLACES
            for _ in range(PLACES if part else 0):
                at = chance.uniform(0, self.count - each)
                # a place that begins within a chunk makes that one new too
                for n in range(int(at), min(self.count, int(at + each) + 1)):
                    made[n] = f"{name}.{n}"
            self._made[key] = made
        return self._made[key]


class Depot:
    """The vault: chunks and whole models at a pace, a delay, turns away, stops when pushed too far."""

    def __init__(self, fleet: StoreFleet, part: ArtifactStoreSettings) -> None:
        self.fleet, self.kernel, self.part = fleet, fleet.kernel, part
        self.record = fleet.vault_records
        self.out = 0
        self.down_until = 0
        self.fall = OverloadDetector(part.fall_multiple, part.fall_ms)
        self.slow = 1.0
        self.releases: dict[str, int] = {}
        self.old = False
        self.spoilt: dict[str, float] = {}

    def release(self, model: str) -> int:
        return 0 if self.old else self.releases.get(model, 0)

    def spoils(self, kind: str, ref: str) -> bool:
        part = self.spoilt.get(kind, 0.0)
        told = f"{kind} {self.part.seed} {ref}".encode()
        return bool(part) and xxhash.xxh3_64_intdigest(told) % 1000 < part * 1000

    def get(self, ref: str, size: int) -> Steps:
        """Returns how it ended, as whoever asked sees it."""
        part, now = self.part, self.kernel.now
        if now < self.down_until or self._pushed_over(now):
            yield ANSWER
            return ChunkOutcome.BROKEN
        if self.out >= part.most:
            self.record("turned away", digest=ref, out=self.out)
            yield ANSWER
            return ChunkOutcome.BUSY
        self.out += 1
        try:
            yield int(part.delay_ms * self.slow * MS)
            left = size / (part.mb_s * 1e6)
            while left > 0 and self.kernel.now >= self.down_until:
                crowd = max(1.0, self.out / part.pace) * self.slow
                step = min(left, STEP / 1e9 / crowd)
                yield max(1, int(step * crowd * 1e9))
                left -= step
        finally:
            self.out -= 1
        if now < self.down_until:
            return ChunkOutcome.BROKEN
        self.record("blob", digest=ref, size=size, out=self.out + 1)
        if self.spoils("wrong", ref):
            return ChunkOutcome.WRONG
        return (
            ChunkOutcome.BROKEN if self.spoils("short", ref) or self.spoils("cut", ref) else ChunkOutcome.GOOD
        )

    def _pushed_over(self, now: int) -> bool:
        if not self.fall.is_overloaded(now, (self.out + 1) / self.part.pace):
            return False
        self._stop(self.part.down_ms)
        return True

    def _stop(self, for_ms: float) -> None:
        self.down_until = self.kernel.now + int(for_ms * MS)
        self.record("down", for_ms=for_ms)

    def play(self, fault: Fault) -> Steps:
        span = int(fault.for_ms * MS)
        match fault.kind:
            case "stop":
                self._stop(fault.for_ms)
            case "release":
                for model in fault.models:
                    self.releases[model] = self.releases.get(model, 0) + 1
            case "slow":
                self.slow = fault.size or 4.0
                yield span
                self.slow = 1.0
            case "old":
                self.old = True
                yield span
                self.old = False
            case "wrong" | "short" | "cut":
                self.spoilt[fault.kind] = fault.size or 0.2
                yield span
                self.spoilt.pop(fault.kind, None)


class Agent:
    """One box's: what it has, and a chooser that knows the roster's boxes."""

    def __init__(self, store: Store, name: str, mark: int) -> None:
        self.store, self.kernel, self.name, self.mark = store, store.fleet.kernel, name, mark
        self.has: dict[str, None] = {}  # by last use
        self.most = max(1, int(store.layers.cache_mb * 1e6 / store.images.chunk_bytes))
        self.up, self.life = True, 0
        self.chooser = self._chooser()
        self.ended: dict[ChunkDownload, Signal] = {}
        self.releases: dict[str, int] = {}  # the latest that it heard of: never back to an older one

    def _chooser(self) -> Chooser:
        uploads = int(self.store.layers.agent.get("uploads", 8))
        chooser = Chooser(
            self.mark, self.store.fleet.made.seed * 1000 + self.mark, uploads, self.kernel.clock
        )
        chooser.update_members(
            range(len(self.store.fleet.runners)) if self.store.layers.share else [self.mark]
        )
        return chooser

    def does(self, what: str, wipe: bool) -> None:
        if what == "kill":
            self.up = False
            self.life += 1
            for ended in self.ended.values():
                self.kernel.come(ended)
            self.ended.clear()
            self.releases.clear()
            if wipe:
                self.has.clear()
        elif not self.up:
            self.up = True
            self.chooser = self._chooser()

    def keep(self, digest: str) -> None:
        self.has.pop(digest, None)
        self.has[digest] = None
        while len(self.has) > self.most:
            del self.has[next(iter(self.has))]

    def load(self, model: str, within: int) -> Steps:
        """Returns "" or why it failed, as `layers` names it."""
        if not self.up:
            yield ANSWER
            return "agent-away"
        life, deadline = self.life, self.kernel.now + within
        release = max(self.releases.get(model, 0), self.store.depot.release(model))
        self.releases[model] = release
        chunks = dict.fromkeys(self.store.images.chunks(model, release))
        planned = iter(self.chooser.plan_downloads(chunks))
        failures: list[Failure] = []
        done = [Signal() for _ in range(min(AT_ONCE, len(chunks)))]

        def some(own: Signal) -> Steps:
            for digest in planned:
                if failures or life != self.life:
                    break
                if digest in self.has:
                    self.keep(digest)
                    continue
                want = self.want(digest, deadline)
                if not want.is_done and want.failure is None:
                    yield self.ended[want]
                if want.failure is not None:
                    failures.append(want.failure)
            self.kernel.come(own)
            yield 0

        for own in done:
            self.kernel.spawn(some(own))
        for own in done:
            yield own
        if life != self.life:
            return "agent-away"
        return failures[0].value if failures else ""

    def want(self, digest: str, deadline: int) -> ChunkDownload:
        new = digest not in self.chooser.downloads
        want = self.chooser.request_chunk(digest, self.store.images.chunk_bytes, deadline)
        if new:
            self.ended[want] = Signal()
            self.kernel.spawn(self._fetch(want, self.life))
        return want

    def _fetch(self, want: ChunkDownload, life: int) -> Steps:
        steps, value = want.steps, None
        assert steps is not None
        while life == self.life:
            try:
                action = steps.send(value)
            except StopIteration:
                if want.is_done:
                    self.keep(want.digest)
                break
            if isinstance(action, Pause):
                yield max(0, action.until_ns - self.kernel.now)
                value = None
            else:
                value = yield from self._ask(action)
        ended = self.ended.pop(want, None)
        if ended is not None:
            self.kernel.come(ended)

    def _ask(self, ask: ChunkRequest) -> Steps:
        """Returns the `End`; nobody waits beyond its `until`."""
        digest = ask.download.digest
        answered = Signal()
        told: list[Any] = []

        def asked(steps: Steps) -> Steps:
            told.append((yield from steps))
            self.kernel.come(answered)

        if ask.peer is None:
            steps = self.store.depot.get(digest, ask.download.size_bytes)
        else:
            steps = self.store.by_mark[ask.peer.worker_id].serve(digest, ask.until_ns)
        process: Process = self.kernel.spawn(asked(steps))
        yield answered, max(0, ask.until_ns - self.kernel.now)
        if told:
            return told[0]
        self.kernel.cancel(process)
        return ChunkOutcome.LATE

    def serve(self, digest: str, deadline: int) -> Steps:
        """Another box asks: what is not here is fetched for it, as its owner does."""
        yield ANSWER // 2
        if not self.up:
            return ChunkOutcome.BROKEN
        if digest not in self.has:
            life = self.life
            want = self.want(digest, deadline)
            ended = self.ended[want]
            if not ended.come:
                yield ended, PEER_WAIT_NS
            if life != self.life:
                return ChunkOutcome.BROKEN
            if not want.is_done:
                self.chooser.remove_waiter(want)
                if want.failure is None or want.failure is Failure.LATE:
                    return ChunkOutcome.WAIT
                return ChunkOutcome.MISSING if want.failure is Failure.MISSING else ChunkOutcome.AWAY
        if not self.chooser.may_send():
            yield ANSWER // 2
            return ChunkOutcome.BUSY
        self.chooser.sending += 1
        try:
            yield ANSWER + int(self.store.images.chunk_bytes / self.store.uplink * 1e9)
        finally:
            self.chooser.sending -= 1
        return ChunkOutcome.GOOD


class Store:
    """Where the runners' loads come from on a day with `layers`: by an agent a box, or in whole models."""

    uplink = 100e6  # bytes a second

    def __init__(self, fleet: StoreFleet, layers: LayersScript) -> None:
        made = fleet.made
        assert made.samples is not None and made.depot is not None
        self.fleet, self.layers = fleet, layers
        self.images = Images(layers, made.samples["models"], made.seed)
        told = {name: value for name, value in made.depot.items() if name != "faults"}
        self.depot = Depot(fleet, ArtifactStoreSettings(layout="", **told))
        self.agents: dict[str, Agent] = {}
        if layers.on:
            self.agents = {name: Agent(self, name, n) for n, name in enumerate(fleet.runners)}
        self.by_mark = list(self.agents.values())
        self.chance = Random(f"{made.seed} whole")

    def event(self, event: AgentEvent) -> None:
        self.agents[event.box].does(event.what, event.wipe)

    def fetch(self, runner: str, model: str) -> Steps:
        """Returns "" or the name of what failed."""
        if self.agents:
            return (yield from self.agents[runner].load(model, 29_000 * MS))
        size = self.images.count * self.images.chunk_bytes
        for attempt in range(5):
            end = yield from self.depot.get(f"{model}.whole", size)
            if end is ChunkOutcome.GOOD:
                return ""
            wait = 1.0 if end is ChunkOutcome.BUSY else 0.2 * 2**attempt
            yield int(wait * self.chance.uniform(0.5, 1.5) * 1e9)
        return "vault-away"
