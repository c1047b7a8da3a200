"""An artifact store that serves images by the OCI distribution specification 1.1, with limited capacity and
faults: stops, slowness, wrong bytes, short bodies, old manifests and new releases.

Simplified: no pushes, no tokens, no ranges; chunks are small enough to be fetched in one piece.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import AsyncGenerator
from pathlib import Path
from time import monotonic_ns

import anyio
import msgspec
import xxhash

from martenlead.events.http import Message
from martenlead.events.server import Reply, listen
from martenlead.standins.crowding import OverloadDetector
from martenlead.standins.life import (
    announce_ready,
    make_server,
    run_faults,
    run_for,
    text_reply,
    wait_for_epoch,
)
from martenlead.standins.record import RecordWriter
from martenlead.standins.settings import ArtifactStoreSettings, Fault

PATH_PATTERN = re.compile(r"/v2/(?P<name>[^/]+)/(?P<kind>manifests|blobs)/(?P<ref>[^/]+)\Z")
DIGEST_PATTERN = re.compile(r"sha256:[0-9a-f]{64}\Z")
REF_NAME_ANNOTATION = "org.opencontainers.image.ref.name"
NS_PER_MS = 1_000_000
TRANSFER_STEP_S = 0.02  # how often a fetch adapts to the load


class ArtifactStore:
    """Serves the images of a layout on disk."""

    def __init__(self, settings: ArtifactStoreSettings) -> None:
        self.settings = settings
        self.layout = Path(settings.layout)
        self.write_record = RecordWriter(settings.record)
        self.active_fetches = self.blobs_served = self.bytes_served = self.rejected_count = (
            self.peak_fetches
        ) = self.stop_count = 0
        self.manifests_served = 0
        self.down_until = 0
        self.overload = OverloadDetector(settings.fall_multiple, settings.fall_ms)
        self.slow_factor = 1.0
        self.corrupt_digests: set[str] = set()
        self.fault_shares: dict[str, float] = {}  # share of all blobs that each kind of fault affects
        self.releases: dict[str, int] = {}  # present release of each function
        self.serves_old_releases = False
        self._index: tuple[int, dict[str, dict[str, str]]] = (0, {})

    async def handle(self, message: Message, now: int) -> Reply:
        """Answers a fetch of a manifest or a blob."""
        match = PATH_PATTERN.match(message.target.decode("latin-1").partition("?")[0])
        if match is None or message.method != b"GET":
            return text_reply(404)
        if now < self.down_until:
            return Reply(500, [], b"", close=True)
        if match["kind"] == "manifests":
            return self.serve_manifest(match["ref"])
        ref = match["ref"]
        path = self.layout / "blobs" / "sha256" / ref.removeprefix("sha256:")
        if not DIGEST_PATTERN.match(ref) or not path.exists():
            return text_reply(404)
        if self.stop_if_overloaded(now):
            return Reply(500, [], b"", close=True)
        if self.active_fetches >= self.settings.most:
            self.rejected_count += 1
            self.write_record("turned away", digest=ref, out=self.active_fetches)
            return Reply(503, [(b"retry-after", b"1")])
        data = path.read_bytes()
        self.active_fetches += 1
        self.peak_fetches = max(self.peak_fetches, self.active_fetches)
        started_at = monotonic_ns()
        try:
            await self.transfer(len(data))
        finally:
            self.active_fetches -= 1
        if started_at < self.down_until:
            return Reply(500, [], b"", close=True)
        self.blobs_served += 1
        self.bytes_served += len(data)
        self.write_record("blob", digest=ref, size=len(data), out=self.active_fetches + 1)
        if ref in self.corrupt_digests or self.is_affected("wrong", ref):
            self.write_record("wrong bytes", digest=ref)
            data = data[:-1] + bytes([data[-1] ^ 1])
        if self.is_affected("short", ref):
            self.write_record("short body", digest=ref)
            data = data[: len(data) // 2]
        if self.is_affected("cut", ref):
            self.write_record("cut", digest=ref)
            return Reply(200, [], truncated_body(data), close=True)
        return Reply(200, [(b"content-type", b"application/octet-stream")], data)

    def is_affected(self, kind: str, ref: str) -> bool:
        """Whether a fault affects a blob: the same blobs for as long as the fault lasts."""
        share = self.fault_shares.get(kind, 0.0)
        return (
            bool(share)
            and xxhash.xxh3_64_intdigest(f"{kind} {self.settings.seed} {ref}".encode()) % 1000 < share * 1000
        )

    async def transfer(self, size: int) -> None:
        """Takes the time of a fetch: its delay, and its bytes at its share of the throughput."""
        await anyio.sleep(self.settings.delay_ms * self.slow_factor / 1000)
        left_s = size / (self.settings.mb_s * 1e6)
        while left_s > 0 and monotonic_ns() >= self.down_until:
            load = max(1.0, self.active_fetches / self.settings.pace) * self.slow_factor
            step_s = min(left_s, TRANSFER_STEP_S / load)
            await anyio.sleep(step_s * load)
            left_s -= step_s

    def stop_if_overloaded(self, now: int) -> bool:
        """Stops after demand beyond the overload limit for a while; rejected fetches count too."""
        if not self.overload.is_overloaded(now, (self.active_fetches + 1) / self.settings.pace):
            return False
        self.stop(self.settings.down_ms, "pushed over")
        return True

    def stop(self, for_ms: float, why: str) -> None:
        """Stops serving for a time, and drops the fetches that are under way."""
        self.stop_count += 1
        self.down_until = monotonic_ns() + int(for_ms * NS_PER_MS)
        self.write_record("down", for_ms=for_ms, why=why)

    def read_index(self) -> dict[str, dict[str, str]]:
        """The layout's index, read again when it has changed: names to manifests."""
        path = self.layout / "index.json"
        changed = path.stat().st_mtime_ns
        if self._index[0] != changed:
            entries = msgspec.json.decode(path.read_bytes())["manifests"]
            self._index = (
                changed,
                {entry.get("annotations", {}).get(REF_NAME_ANNOTATION, ""): entry for entry in entries},
            )
        return self._index[1]

    def serve_manifest(self, ref: str) -> Reply:
        """Serves a manifest by digest or by name; a name gives the function's present release."""
        self.manifests_served += 1
        path = self.layout / "blobs" / "sha256" / ref.removeprefix("sha256:")
        if not DIGEST_PATTERN.match(ref):
            function, _, suffix = ref.partition(".whole")
            number = 0 if self.serves_old_releases else self.releases.get(function, 0)
            entries = self.read_index()
            name = (
                f"{function}.r{number}{'.whole' if ref.endswith('.whole') else ''}{suffix}" if number else ref
            )
            entry = entries.get(name) or entries.get(ref)
            if entry is None:
                return text_reply(404)
            path = self.layout / "blobs" / "sha256" / entry["digest"][7:]
        if not path.exists():
            return text_reply(404)
        data = path.read_bytes()
        self.write_record("manifest", ref=ref, size=len(data))
        digest = f"sha256:{hashlib.sha256(data).hexdigest()}".encode()
        media_type = b"application/vnd.oci.image.manifest.v1+json"
        return Reply(200, [(b"content-type", media_type), (b"docker-content-digest", digest)], data)

    async def apply_fault(self, fault: Fault) -> None:
        """Applies a fault for its duration."""
        self.write_record("fault", kind=fault.kind, for_ms=fault.for_ms, size=fault.size)
        match fault.kind:
            case "stop":
                self.stop(fault.for_ms, "on cue")
            case "release":
                for function in fault.models:
                    self.releases[function] = self.releases.get(function, 0) + 1
            case "slow":
                self.slow_factor = fault.size or 4.0
                await anyio.sleep(fault.for_ms / 1000)
                self.slow_factor = 1.0
            case "old":
                self.serves_old_releases = True
                await anyio.sleep(fault.for_ms / 1000)
                self.serves_old_releases = False
            case "wrong" | "short" | "cut":
                self.fault_shares[fault.kind] = fault.size or 0.2
                await anyio.sleep(fault.for_ms / 1000)
                self.fault_shares.pop(fault.kind)

    async def run(self) -> None:
        """Serves fetches and applies the faults."""
        listener, port = await listen("127.0.0.1", self.settings.port)
        announce_ready(port=port)
        async with anyio.create_task_group() as group:
            group.start_soon(make_server(self.handle).serve, listener)
            await run_faults(
                await wait_for_epoch(self.settings.epoch_ns), self.settings.faults, self.apply_fault
            )


async def truncated_body(data: bytes) -> AsyncGenerator[bytes]:
    """The first half of a body, after which the connection breaks."""
    yield data[: len(data) // 2]
    raise anyio.ClosedResourceError  # closes the connection


async def run(settings: ArtifactStoreSettings) -> None:
    """Runs the store's process; `martenlead standin depot`."""
    await run_for(settings.seconds, ArtifactStore(settings).run)
