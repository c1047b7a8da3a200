"""Loads whole images: resolves the name, downloads and checks every chunk, assembles the files."""

from __future__ import annotations

import hashlib
import os
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import anyio
import anyio.lowlevel
import anyio.to_thread

from martenlead.layers.cache import Cache
from martenlead.layers.choice import MS, Chooser, Failure
from martenlead.layers.chunk_downloader import ChunkDownloader
from martenlead.layers.image import (
    BadImageError,
    Chunk,
    Layer,
    read_layer,
    read_manifest,
    unpack,
)
from martenlead.layers.name_resolver import NameResolver
from martenlead.layers.naming import Resolved
from martenlead.layers.settings import AgentSettings
from martenlead.system.durable_file import write_all

CHUNK_READ_ATTEMPTS = 2
FILE_MODE = 0o644


class LoadFailedError(Exception):
    """An image cannot be loaded; `failure` is the name that the worker receives."""

    def __init__(self, kind: Failure, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind, self.failure, self.detail = kind, kind.value, detail


@dataclass(slots=True)
class LoadedImage:
    """An image whose chunks are all in the cache.

    `is_stale`: the store could not confirm that the name still refers to this release.
    """

    ref: str
    digest: str
    layers: list[Layer]
    size_bytes: int
    duration_seconds: float
    is_stale: bool


class ImageLoader:
    """Loads images for one agent."""

    def __init__(
        self,
        settings: AgentSettings,
        cache: Cache,
        chooser: Chooser,
        resolver: NameResolver,
        downloader: ChunkDownloader,
    ) -> None:
        self.settings, self.cache, self.chooser = settings, cache, chooser
        self.resolver, self.downloader = resolver, downloader

    async def load(self, ref: str, within_ms: float, into: str | None = None) -> LoadedImage:
        """Bring every chunk of an image into the cache, checked.

        With `into`, its files are assembled in that subfolder of the setting `files`, which the
        caller owns from then on. Raises `LoadFailedError`.
        """
        started_ns = self.chooser.clock()
        deadline_ns = started_ns + int(within_ms * MS)
        try:
            with anyio.fail_after(within_ms / 1000):
                resolved, layers = await self._load_release(ref, deadline_ns, into)
        except (TimeoutError, LoadFailedError) as error:
            # at the deadline this timeout or that of an inner step may come first
            if isinstance(error, LoadFailedError) and error.kind is not Failure.LATE:
                raise
            failure = self.chooser.store_state.failure_at_deadline(started_ns)
            raise LoadFailedError(failure, ref) from None
        size_bytes = sum(layer.size for layer in layers)
        duration_seconds = (self.chooser.clock() - started_ns) / 1e9
        return LoadedImage(
            ref, resolved.release.digest, layers, size_bytes, duration_seconds, resolved.is_stale
        )

    async def _load_release(
        self, ref: str, deadline_ns: int, into: str | None
    ) -> tuple[Resolved, list[Layer]]:
        """Load the release of a name; resolve the name again if its chunks have disappeared.

        Raises `LoadFailedError`.
        """
        resolved = await self._resolve(ref, deadline_ns)
        retries = 0
        while True:
            try:
                return resolved, await self._load_manifest(
                    resolved.release.digest, deadline_ns, into
                )
            except LoadFailedError as error:
                if not self.resolver.names.should_resolve_again(error.kind, retries):
                    raise
                latest = await self.resolver.resolve(ref, deadline_ns)
                if isinstance(latest, Failure):
                    raise
                if latest.release.digest == resolved.release.digest:
                    raise
                resolved, retries = latest, retries + 1

    async def _resolve(self, ref: str, deadline_ns: int) -> Resolved:
        resolved = await self.resolver.resolve(ref, deadline_ns)
        if isinstance(resolved, Failure):
            raise LoadFailedError(resolved, ref)
        return resolved

    async def _load_manifest(self, digest: str, deadline_ns: int, into: str | None) -> list[Layer]:
        """Load the chunks of one manifest. Raises `LoadFailedError`."""
        try:
            data = await self._read_manifest_blob(digest, deadline_ns)
            layers = []
            for descriptor in read_manifest(data, digest).layers:
                blob = Chunk(descriptor.digest, descriptor.size, descriptor.size)
                layer_list = await self._read_chunk(blob, deadline_ns)
                layers.append(read_layer(layer_list, descriptor.digest))
            chunks = {chunk.digest: chunk for layer in layers for chunk in layer.chunks}
            with self.cache.pinned(chunks):
                await self._ensure_all_cached(chunks, deadline_ns)
                if into is not None:
                    await self._assemble_files(layers, into, deadline_ns)
        except BadImageError as error:
            raise LoadFailedError(Failure.CORRUPT, str(error)) from None
        return layers

    async def _read_manifest_blob(self, digest: str, deadline_ns: int) -> bytes:
        data = self.cache.get(digest)
        if data is None:
            await self._resolve(digest, deadline_ns)
            data = self.cache.get(digest)
            if data is None:
                raise LoadFailedError(Failure.NO_ROOM, digest)
        return data

    async def _ensure_all_cached(self, chunks: dict[str, Chunk], deadline_ns: int) -> None:
        """Download the chunks that are missing, several at a time."""
        planned = iter(self.chooser.plan_downloads(chunks))
        errors: list[LoadFailedError] = []

        async def download_planned() -> None:
            """Download planned chunks until none is left; an error ends the load."""
            for digest in planned:
                try:
                    await self._ensure_cached(chunks[digest], deadline_ns)
                except LoadFailedError as error:
                    errors.append(error)
                    group.cancel_scope.cancel()  # the load has failed; stop its other downloads

        async with anyio.create_task_group() as group:
            for _ in range(min(len(chunks), self.settings.at_once)):
                group.start_soon(download_planned)
        if errors:
            raise errors[0]

    async def _assemble_files(self, layers: list[Layer], into: str, deadline_ns: int) -> None:
        """Write the files of an image. Raises `LoadFailedError` and `BadImageError`."""
        if self.settings.files is None:
            raise LoadFailedError(Failure.NO_ROOM, "no `files` in the agent's settings")
        folder = Path(self.settings.files) / into
        for layer in layers:
            temporary = folder / f".{layer.name}.new"
            try:
                folder.mkdir(parents=True, exist_ok=True)
                await self._write_file(layer, temporary, deadline_ns)
                os.replace(temporary, folder / layer.name)
            except OSError as error:
                raise LoadFailedError(Failure.NO_ROOM, f"{folder}: {error.strerror}") from None
            finally:
                with suppress(OSError):
                    temporary.unlink(missing_ok=True)

    async def _write_file(self, layer: Layer, path: Path, deadline_ns: int) -> None:
        """Write one file, check its digest and sync it: no file may have wrong content.

        Raises `BadImageError` and OSError.
        """
        file_hash = hashlib.sha256()
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(path, flags, FILE_MODE)
        try:
            for chunk in layer.chunks:
                stored = await self._read_chunk(chunk, deadline_ns)
                data = unpack(chunk, stored, layer.packed)
                file_hash.update(data)
                write_all(descriptor, data)  # brief: a chunk is small and the disk is local
                await anyio.lowlevel.checkpoint()
            await anyio.to_thread.run_sync(os.fsync, descriptor)  # fsync may take seconds
        finally:
            os.close(descriptor)
        if f"sha256:{file_hash.hexdigest()}" != layer.digest:
            raise BadImageError(layer.name, "the assembled file has another digest")

    async def _ensure_cached(self, chunk: Chunk, deadline_ns: int) -> None:
        """Check a chunk in the cache, or download it. Raises `LoadFailedError`."""
        if self.cache.get(chunk.digest) is not None:
            await anyio.lowlevel.checkpoint()
            return
        download = await self.downloader.download(chunk.digest, chunk.stored, deadline_ns)
        if download.failure is not None:
            raise LoadFailedError(download.failure, chunk.digest)

    async def _read_chunk(self, chunk: Chunk, deadline_ns: int) -> bytes:
        """Return the bytes of a chunk, downloaded where needed. Raises `LoadFailedError`."""
        for _ in range(CHUNK_READ_ATTEMPTS):
            await self._ensure_cached(chunk, deadline_ns)
            data = self.cache.get(chunk.digest)
            if data is not None:
                return data
        raise LoadFailedError(Failure.CORRUPT, f"{chunk.digest}: the cache cannot keep it")
