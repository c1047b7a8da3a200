"""The workers' agents and an artifact store of chunks in virtual time.

Each agent uses the real `Chooser`; bytes are only counted. An image is a list of chunks: the base of its
family, in which each function overwrites some places, and each release some more. Not emulated: requests for
names, corrupted disks and the bytes of truncated responses.
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

TRANSFER_STEP_NS = 20 * MS
EMPTY_RESPONSE_NS = 2 * MS  # Response time of a peer or the store that sends no chunk
CHANGED_PLACES = 5  # Number of places that a variant or a release overwrites
PARALLEL_CHUNKS = 16  # Largest number of concurrent downloads of a load


class StoreFleet(Protocol):
    """What the layer loader needs of the fleet."""

    plan: Plan
    kernel: Kernel
    artifact_store_records: Records

    @property
    def workers(self) -> Mapping[str, object]:
        """The workers by name, in the order of the script: one agent for each."""


class Images:
    """The chunks of each function's image in each of its releases."""

    def __init__(self, layers: LayersScript, functions: list[str], seed: int) -> None:
        self.layers, self.seed = layers, seed
        self.chunk_bytes = layers.average_kb * 1024
        self.chunk_count = max(1, round(layers.model_mb * 1e6 / self.chunk_bytes))
        self.family_by_function = {function: n % layers.families for n, function in enumerate(functions)}
        self._chunks_by_release: dict[tuple[str, int], list[str]] = {}

    def chunks(self, function: str, release: int) -> list[str]:
        """Returns the digests of a release of a function's image."""
        key = function, release
        if key not in self._chunks_by_release:
            if release:
                chunks = list(self.chunks(function, release - 1))
                share, name = self.layers.changed, f"{function}.r{release}"
            else:
                chunks = [
                    f"base{self.family_by_function.get(function, 0)}.{n}" for n in range(self.chunk_count)
                ]
                share, name = self.layers.tuned, function
            chance = Random(f"{self.seed} {name}")
            each = share * self.chunk_count / CHANGED_PLACES
            for _ in range(CHANGED_PLACES if share else 0):
                at = chance.uniform(0, self.chunk_count - each)
                # A place that begins within a chunk replaces that chunk too.
                for n in range(int(at), min(self.chunk_count, int(at + each) + 1)):
                    chunks[n] = f"{name}.{n}"
            self._chunks_by_release[key] = chunks
        return self._chunks_by_release[key]


class ChunkStore:
    """The artifact store: delivers chunks and whole images with a delay, at a limited rate.

    It refuses requests above its limit and is down for a while when overloaded.
    """

    def __init__(self, fleet: StoreFleet, part: ArtifactStoreSettings) -> None:
        self.fleet, self.kernel, self.part = fleet, fleet.kernel, part
        self.record = fleet.artifact_store_records
        self.open_requests = 0
        self.unavailable_until = 0
        self.fall = OverloadDetector(part.fall_multiple, part.fall_ms)
        self.slowdown = 1.0
        self.releases: dict[str, int] = {}
        self.serves_old_releases = False
        self.corrupted_shares: dict[str, float] = {}

    def release(self, function: str) -> int:
        """Returns the release of a function that the store delivers."""
        return 0 if self.serves_old_releases else self.releases.get(function, 0)

    def is_corrupted(self, kind: str, ref: str) -> bool:
        """Returns whether a fault of this kind affects an artifact."""
        share = self.corrupted_shares.get(kind, 0.0)
        key = f"{kind} {self.part.seed} {ref}".encode()
        return bool(share) and xxhash.xxh3_64_intdigest(key) % 1000 < share * 1000

    def get(self, ref: str, size: int) -> Steps:
        """Returns the outcome as the requester sees it."""
        part, now = self.part, self.kernel.now
        if now < self.unavailable_until or self._pushed_over(now):
            yield EMPTY_RESPONSE_NS
            return ChunkOutcome.BROKEN
        if self.open_requests >= part.most:
            self.record("turned away", digest=ref, out=self.open_requests)
            yield EMPTY_RESPONSE_NS
            return ChunkOutcome.BUSY
        self.open_requests += 1
        try:
            yield int(part.delay_ms * self.slowdown * MS)
            left = size / (part.mb_s * 1e6)
            while left > 0 and self.kernel.now >= self.unavailable_until:
                slowdown = max(1.0, self.open_requests / part.pace) * self.slowdown
                step = min(left, TRANSFER_STEP_NS / 1e9 / slowdown)
                yield max(1, int(step * slowdown * 1e9))
                left -= step
        finally:
            self.open_requests -= 1
        if now < self.unavailable_until:
            return ChunkOutcome.BROKEN
        self.record("blob", digest=ref, size=size, out=self.open_requests + 1)
        if self.is_corrupted("wrong", ref):
            return ChunkOutcome.WRONG
        return (
            ChunkOutcome.BROKEN
            if self.is_corrupted("short", ref) or self.is_corrupted("cut", ref)
            else ChunkOutcome.GOOD
        )

    def _pushed_over(self, now: int) -> bool:
        if not self.fall.is_overloaded(now, (self.open_requests + 1) / self.part.pace):
            return False
        self._stop(self.part.down_ms)
        return True

    def _stop(self, for_ms: float) -> None:
        self.unavailable_until = self.kernel.now + int(for_ms * MS)
        self.record("down", for_ms=for_ms)

    def play_fault(self, fault: Fault) -> Steps:
        """Plays a fault of the script for its duration."""
        span = int(fault.for_ms * MS)
        match fault.kind:
            case "stop":
                self._stop(fault.for_ms)
            case "release":
                for function in fault.models:
                    self.releases[function] = self.releases.get(function, 0) + 1
            case "slow":
                self.slowdown = fault.size or 4.0
                yield span
                self.slowdown = 1.0
            case "old":
                self.serves_old_releases = True
                yield span
                self.serves_old_releases = False
            case "wrong" | "short" | "cut":
                self.corrupted_shares[fault.kind] = fault.size or 0.2
                yield span
                self.corrupted_shares.pop(fault.kind, None)


class EmulatedAgent:
    """The agent of one worker: its cache and a chooser of the agents to ask."""

    def __init__(self, store: LayerLoader, name: str, mark: int) -> None:
        self.store, self.kernel, self.name, self.mark = store, store.fleet.kernel, name, mark
        self.cached: dict[str, None] = {}  # Least recently used first
        self.cache_limit_chunks = max(1, int(store.layers.cache_mb * 1e6 / store.images.chunk_bytes))
        self.up, self.incarnation = True, 0
        self.chooser = self._chooser()
        self.download_ends: dict[ChunkDownload, Signal] = {}
        # Latest known release by function; the agent never goes back to an older one.
        self.releases: dict[str, int] = {}

    def _chooser(self) -> Chooser:
        uploads = int(self.store.layers.agent.get("uploads", 8))
        chooser = Chooser(
            self.mark, self.store.fleet.plan.seed * 1000 + self.mark, uploads, self.kernel.clock
        )
        chooser.update_members(
            range(len(self.store.fleet.workers)) if self.store.layers.share else [self.mark]
        )
        return chooser

    def handle_event(self, what: str, wipe: bool) -> None:
        """Plays an event of the script: `kill`, with the cache if `wipe`, or a start."""
        if what == "kill":
            self.up = False
            self.incarnation += 1
            for ended in self.download_ends.values():
                self.kernel.set_signal(ended)
            self.download_ends.clear()
            self.releases.clear()
            if wipe:
                self.cached.clear()
        elif not self.up:
            self.up = True
            self.chooser = self._chooser()

    def add_to_cache(self, digest: str) -> None:
        """Caches a chunk as the most recently used and evicts the oldest ones."""
        self.cached.pop(digest, None)
        self.cached[digest] = None
        while len(self.cached) > self.cache_limit_chunks:
            del self.cached[next(iter(self.cached))]

    def load(self, function: str, within: int) -> Steps:
        """Downloads an image within a time (ns). Returns "" or the failure as `layers` names it."""
        if not self.up:
            yield EMPTY_RESPONSE_NS
            return "agent-away"
        incarnation, deadline = self.incarnation, self.kernel.now + within
        release = max(self.releases.get(function, 0), self.store.chunk_store.release(function))
        self.releases[function] = release
        chunks = dict.fromkeys(self.store.images.chunks(function, release))
        planned = iter(self.chooser.plan_downloads(chunks))
        failures: list[Failure] = []
        done = [Signal() for _ in range(min(PARALLEL_CHUNKS, len(chunks)))]

        def run_downloads(finished: Signal) -> Steps:
            """Downloads planned chunks one after the other."""
            for digest in planned:
                if failures or incarnation != self.incarnation:
                    break
                if digest in self.cached:
                    self.add_to_cache(digest)
                    continue
                download = self.request_chunk(digest, deadline)
                if not download.is_done and download.failure is None:
                    yield self.download_ends[download]
                if download.failure is not None:
                    failures.append(download.failure)
            self.kernel.set_signal(finished)
            yield 0

        for finished in done:
            self.kernel.spawn(run_downloads(finished))
        for finished in done:
            yield finished
        if incarnation != self.incarnation:
            return "agent-away"
        return failures[0].value if failures else ""

    def request_chunk(self, digest: str, deadline: int) -> ChunkDownload:
        """Returns the download of a chunk, which is started unless it runs."""
        new = digest not in self.chooser.downloads
        download = self.chooser.request_chunk(digest, self.store.images.chunk_bytes, deadline)
        if new:
            self.download_ends[download] = Signal()
            self.kernel.spawn(self._fetch(download, self.incarnation))
        return download

    def _fetch(self, download: ChunkDownload, incarnation: int) -> Steps:
        steps, value = download.steps, None
        assert steps is not None
        while incarnation == self.incarnation:
            try:
                action = steps.send(value)
            except StopIteration:
                if download.is_done:
                    self.add_to_cache(download.digest)
                break
            if isinstance(action, Pause):
                yield max(0, action.until_ns - self.kernel.now)
                value = None
            else:
                value = yield from self._run_chunk_request(action)
        ended = self.download_ends.pop(download, None)
        if ended is not None:
            self.kernel.set_signal(ended)

    def _run_chunk_request(self, request: ChunkRequest) -> Steps:
        """Requests a chunk of a peer or the store. Returns the outcome, `LATE` once `until_ns` has passed."""
        digest = request.download.digest
        answered = Signal()
        results: list[Any] = []

        def collect_result(steps: Steps) -> Steps:
            """Keeps the result of the steps."""
            results.append((yield from steps))
            self.kernel.set_signal(answered)

        if request.peer is None:
            steps = self.store.chunk_store.get(digest, request.download.size_bytes)
        else:
            steps = self.store.agents_by_mark[request.peer.worker_id].serve(digest, request.until_ns)
        process: Process = self.kernel.spawn(collect_result(steps))
        yield answered, max(0, request.until_ns - self.kernel.now)
        if results:
            return results[0]
        self.kernel.cancel(process)
        return ChunkOutcome.LATE

    def serve(self, digest: str, deadline: int) -> Steps:
        """Serves a chunk to another agent; one that is not cached is downloaded first."""
        yield EMPTY_RESPONSE_NS // 2
        if not self.up:
            return ChunkOutcome.BROKEN
        if digest not in self.cached:
            incarnation = self.incarnation
            download = self.request_chunk(digest, deadline)
            ended = self.download_ends[download]
            if not ended.is_set:
                yield ended, PEER_WAIT_NS
            if incarnation != self.incarnation:
                return ChunkOutcome.BROKEN
            if not download.is_done:
                self.chooser.remove_waiter(download)
                if download.failure is None or download.failure is Failure.LATE:
                    return ChunkOutcome.WAIT
                return ChunkOutcome.MISSING if download.failure is Failure.MISSING else ChunkOutcome.AWAY
        if not self.chooser.may_send():
            yield EMPTY_RESPONSE_NS // 2
            return ChunkOutcome.BUSY
        self.chooser.sending += 1
        try:
            yield EMPTY_RESPONSE_NS + int(self.store.images.chunk_bytes / self.store.uplink_bytes_per_s * 1e9)
        finally:
            self.chooser.sending -= 1
        return ChunkOutcome.GOOD


class LayerLoader:
    """Where loads come from on a day with `layers`: by an agent on each worker, or as whole images."""

    uplink_bytes_per_s = 100e6

    def __init__(self, fleet: StoreFleet, layers: LayersScript) -> None:
        plan = fleet.plan
        assert plan.samples is not None and plan.depot is not None
        self.fleet, self.layers = fleet, layers
        self.images = Images(layers, plan.samples["models"], plan.seed)
        settings = {name: value for name, value in plan.depot.items() if name != "faults"}
        self.chunk_store = ChunkStore(fleet, ArtifactStoreSettings(layout="", **settings))
        self.agents: dict[str, EmulatedAgent] = {}
        if layers.on:
            self.agents = {name: EmulatedAgent(self, name, n) for n, name in enumerate(fleet.workers)}
        self.agents_by_mark = list(self.agents.values())
        self.chance = Random(f"{plan.seed} whole")

    def handle_agent_event(self, event: AgentEvent) -> None:
        """Plays an event of the script at the agent of its worker."""
        self.agents[event.box].handle_event(event.what, event.wipe)

    def fetch(self, worker: str, function: str) -> Steps:
        """Returns "" or the name of what failed."""
        if self.agents:
            return (yield from self.agents[worker].load(function, 29_000 * MS))
        size = self.images.chunk_count * self.images.chunk_bytes
        for attempt in range(5):
            end = yield from self.chunk_store.get(f"{function}.whole", size)
            if end is ChunkOutcome.GOOD:
                return ""
            wait = 1.0 if end is ChunkOutcome.BUSY else 0.2 * 2**attempt
            yield int(wait * self.chance.uniform(0.5, 1.5) * 1e9)
        return "vault-away"
