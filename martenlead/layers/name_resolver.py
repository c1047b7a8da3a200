"""Resolves the names of images at the artifact store, and saves the releases that it found.

`Names` makes the decisions; this module does the I/O on the network and the file.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from urllib.parse import quote

import anyio
import anyio.to_thread
import msgspec

from martenlead.events import http
from martenlead.events.client import Exchange, Pool
from martenlead.events.http import Message
from martenlead.layers.cache import Cache, CacheFullError
from martenlead.layers.choice import Failure
from martenlead.layers.chunk_downloader import BUSY_STATUSES, STATUS_NOT_FOUND, STATUS_OK
from martenlead.layers.image import (
    DIGEST,
    MANIFEST,
    BadImageError,
    check,
    digest_of,
    read_manifest,
)
from martenlead.layers.naming import (
    NameOutcome,
    NameReply,
    NameRequest,
    Names,
    Release,
    Resolved,
)
from martenlead.layers.settings import AgentSettings
from martenlead.system.durable_file import Backoff, read_if_there, remove_leftovers, replace_file
from martenlead.system.state_saver import Log, SaveHealth, StateSaver

NAMES_FILE = "names.json"


class NameResolver:
    """Resolves names for one agent."""

    def __init__(
        self,
        settings: AgentSettings,
        cache: Cache,
        names: Names,
        artifact_store: Pool,
        log: Log,
    ) -> None:
        self.cache, self.names, self.artifact_store, self.log = cache, names, artifact_store, log
        self.manifests_path = f"/v2/{quote(settings.repository)}/manifests"
        self._path = cache.folder / NAMES_FILE
        self._is_file_unread = False  # if True, the file must not be overwritten yet
        self._read_file()
        self.saves = Counter[str]()  # number of saves by result
        self.saver = self._make_saver(settings.random_seed)

    def _read_file(self) -> None:
        """Read the names that an earlier run saved; an unreadable file is read again later."""
        try:
            self.names.known = self._decode_file()
        except OSError as error:
            self.names.known = {}
            self._is_file_unread = True
            self.log.warning("names_unread", reason=str(error))

    def _decode_file(self) -> dict[str, Release]:
        """Return the saved names, or none if the content is invalid. Raises OSError."""
        data = read_if_there(self._path)
        try:
            return msgspec.json.decode(data or b"", type=dict[str, Release])
        except msgspec.DecodeError:
            return {}

    async def _read_unread_file(self) -> None:
        """Merge a file that was unreadable at the start; later names win. Raises OSError."""
        if self._is_file_unread:
            saved = await anyio.to_thread.run_sync(self._decode_file)
            self.names.known = {**saved, **self.names.known}
            self._is_file_unread = False

    def _make_saver(self, seed: int) -> StateSaver[bytes]:
        remove_leftovers(self._path)
        health = SaveHealth(
            "names",
            self.log,
            Backoff(Random(seed)),
            count=lambda event, _state: self.saves.update([event]),
        )
        return StateSaver(
            lambda: msgspec.json.encode(self.names.known),
            lambda data: replace_file(self._path, data),
            health,
            prepare=self._read_unread_file,
        )

    async def resolve(self, ref: str, deadline_ns: int) -> Resolved | Failure:
        """Return the release that a name or digest refers to, or why there is none."""
        steps, before = self.names.resolve(ref, deadline_ns), self.names.known.get(ref)
        reply: NameReply | None = None
        try:
            while True:
                action = steps.send(reply)
                if isinstance(action, NameRequest):
                    reply = await self._send_request(action)
                else:
                    await anyio.sleep(self._seconds_until(action.until_ns))
                    reply = None
        except StopIteration as stop:
            result: Resolved | Failure = stop.value
        if self.names.known.get(ref) != before:
            self.saver.changed()
        return result

    def _seconds_until(self, time_ns: int) -> float:
        return max(0, time_ns - self.names.clock()) / 1e9

    async def _send_request(self, request: NameRequest) -> NameReply:
        target = f"{self.manifests_path}/{quote(request.ref, safe=':')}".encode()
        accept = [(b"accept", MANIFEST.encode())]
        exchange: Exchange | None = None
        with anyio.move_on_after(self._seconds_until(request.until_ns)):
            message = http.request(b"GET", target, b"vault", accept)
            exchange = await self.artifact_store.exchange(message)
        if exchange is None:
            return NameOutcome.LATE, None
        response = exchange.message
        if response is None:
            return NameOutcome.BROKEN, None
        if response.status == STATUS_OK:
            return self._accept_manifest(request.ref, response)
        if response.status in BUSY_STATUSES:
            return NameOutcome.BUSY, None
        if response.status == STATUS_NOT_FOUND:
            return NameOutcome.MISSING, None
        return NameOutcome.BROKEN, None

    def _accept_manifest(self, ref: str, response: Message) -> NameReply:
        """Check a manifest and put it into the cache."""
        digest = digest_of(response.body)
        try:
            if DIGEST.match(ref):
                check(response.body, ref)
            manifest = read_manifest(response.body, digest)
            self.cache.put(digest, response.body)
        except BadImageError as error:
            self.log.warning("manifest_rejected", ref=ref, reason=str(error))
            return NameOutcome.WRONG, None
        except CacheFullError as error:
            self.log.warning("cache_exhausted", reason=str(error))
        return NameOutcome.RESOLVED, Release(digest, manifest.created)
