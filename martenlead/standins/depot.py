"""A vault that serves images by the OCI distribution specification: capacity, refusals, stops, wrong bytes on
cue."""

from __future__ import annotations

import hashlib
import re
from pathlib import Path
from time import monotonic_ns

import anyio
import msgspec

from martenlead.events.http import Message
from martenlead.events.server import Reply
from martenlead.standins.life import plain
from martenlead.standins.record import Recorder

PATH = re.compile(r"/v2/(?P<name>[^/]+)/(?P<kind>manifests|blobs)/(?P<ref>[^/]+)\Z")


class Depot:
    """Serves an OCI image layout. `mb_s` is the pace of one fetch while no more than `pace` are out."""

    def __init__(
        self, layout: Path, *, pace: int = 8, most: int = 24, mb_s: float = 100, record: str | None = None
    ) -> None:
        self.layout, self.pace, self.most, self.mb_s = layout, pace, most, mb_s
        self.record = Recorder(record)
        self.out = self.served = self.bytes = self.turned_away = self.worst = 0
        self.down_until = 0
        self.wrong: set[str] = set()
        self.short: set[str] = set()

    async def handle(self, message: Message, _now: int) -> Reply:
        found = PATH.match(message.target.decode("latin-1").partition("?")[0])
        if found is None or message.method != b"GET":
            return plain(404)
        if monotonic_ns() < self.down_until:
            return Reply(500, [], b"", close=True)
        if found["kind"] == "manifests":
            return self.manifest(found["ref"])
        path = self.layout / "blobs" / "sha256" / found["ref"].removeprefix("sha256:")
        if not re.match(r"sha256:[0-9a-f]{64}\Z", found["ref"]) or not path.exists():
            return plain(404)
        if self.out >= self.most:
            self.turned_away += 1
            self.record("turned away", digest=found["ref"])
            return Reply(503, [(b"retry-after", b"1")])
        data = path.read_bytes()
        self.out += 1
        self.worst = max(self.worst, self.out)
        try:
            await anyio.sleep(len(data) / (self.mb_s * 1e6) * max(1.0, self.out / self.pace))
        finally:
            self.out -= 1
        self.served += 1
        self.bytes += len(data)
        self.record("blob", digest=found["ref"], size=len(data))
        if found["ref"] in self.wrong:
            data = data[:-1] + bytes([data[-1] ^ 1])
        if found["ref"] in self.short:
            data = data[: len(data) // 2]
        return Reply(200, [(b"content-type", b"application/octet-stream")], data)

    def manifest(self, ref: str) -> Reply:
        index = msgspec.json.decode((self.layout / "index.json").read_bytes())
        for line in index["manifests"]:
            names = line.get("annotations", {})
            if ref in (line["digest"], names.get("org.opencontainers.image.ref.name")):
                data = (self.layout / "blobs" / "sha256" / line["digest"][7:]).read_bytes()
                told = f"sha256:{hashlib.sha256(data).hexdigest()}".encode()
                kind = line["mediaType"].encode()
                return Reply(200, [(b"content-type", kind), (b"docker-content-digest", told)], data)
        return plain(404)
