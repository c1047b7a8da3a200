"""Images of functions: layers cut into content-addressed chunks.

They are stored in an OCI image layout (image-spec 1.1). A manifest is an OCI image manifest. Each
of its layers is a small blob that lists the layer's chunks. Each chunk is a blob, compressed or
not, named by the SHA-256 of what is stored. Layers and chunks that two functions or two releases
have in common are the same blobs. A layer's list also contains the SHA-256 of the complete file,
so that the assembled file is checked once more.
"""

from __future__ import annotations

import hashlib
import os
import re
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Literal

import msgspec
import zstandard
from fastcdc import fastcdc

from martenlead.system.clocks import wall_ns
from martenlead.system.decode_errors import DECODE_ERRORS

DIGEST = re.compile(r"sha256:[0-9a-f]{64}\Z")
HEX = slice(7, None)  # the digits of a digest, after "sha256:"
TIME = re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z\Z")
MANIFEST = "application/vnd.oci.image.manifest.v1+json"
CONFIG = "application/vnd.martenlead.model.config.v1+json"
LAYER = "application/vnd.martenlead.model.layer.v1+json"
REF = "org.opencontainers.image.ref.name"
TITLE = "org.opencontainers.image.title"
CREATED = "org.opencontainers.image.created"
LARGEST_CHUNK = 64 * 1024 * 1024  # bytes
LARGEST_LIST = 64 * 1024 * 1024  # bytes
LEAST_CHUNK_BYTES = 64
CHUNK_SIZE_SPREAD = 4  # the largest and the smallest chunk, as multiples of the average


class BadImageError(Exception):
    """A blob, list or manifest (`subject`) is invalid or missing; the text says why."""

    def __init__(self, subject: object, reason: object) -> None:
        super().__init__(f"{subject}: {reason}")


class Descriptor(msgspec.Struct, rename="camel", omit_defaults=True):
    """An OCI content descriptor."""

    media_type: str
    digest: str
    size: int
    annotations: dict[str, str] = {}


class Manifest(msgspec.Struct, rename="camel"):
    """An OCI image manifest."""

    config: Descriptor
    layers: list[Descriptor]
    schema_version: int = 2
    media_type: str = MANIFEST
    annotations: dict[str, str] = {}

    @property
    def created(self) -> str:
        """The creation time, RFC 3339 in UTC; "" where the manifest has no valid one."""
        created = self.annotations.get(CREATED, "")
        return created if TIME.match(created) else ""


class Index(msgspec.Struct, rename="camel"):
    """`index.json` of a layout: its manifests by their names."""

    manifests: list[Descriptor]
    schema_version: int = 2


class Chunk(msgspec.Struct, array_like=True, frozen=True):
    """A blob's `digest` and `stored` size, and the `size` of its content; sizes in bytes."""

    digest: str
    stored: int
    size: int


class Layer(msgspec.Struct, rename="camel"):
    """One file of a function.

    `digest` is that of the complete file, `packed` whether its chunks are Zstandard frames.
    """

    name: str
    digest: str
    size: int
    packed: bool
    chunks: list[Chunk]


class Cutting(msgspec.Struct, frozen=True):
    """How files are cut: at equal sizes, or by content (FastCDC) around an average (bytes)."""

    kind: Literal["content", "fixed"] = "content"
    average: int = 256 * 1024
    level: int = 0  # Zstandard level; 0 stores chunks uncompressed


def digest_of(data: bytes | memoryview) -> str:
    """Return the digest that names a blob."""
    return "sha256:" + hashlib.sha256(data).hexdigest()


def check(data: bytes, digest: str, size_bytes: int | None = None) -> None:
    """Raise `BadImageError` unless these bytes have this digest, and this size if given."""
    if size_bytes is not None and len(data) != size_bytes:
        raise BadImageError(digest, f"{len(data)} bytes where {size_bytes} were expected")
    if digest_of(data) != digest:
        raise BadImageError(digest, "the bytes have another digest")


class Layout:
    """An OCI image layout on disk: `oci-layout`, `index.json`, `blobs/sha256/HEX`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.blobs = folder / "blobs" / "sha256"
        self.blobs.mkdir(parents=True, exist_ok=True)
        marker = folder / "oci-layout"
        if not marker.exists():
            marker.write_text('{"imageLayoutVersion": "1.0.0"}')

    def path(self, digest: str) -> Path:
        """Return a blob's file. Raises `BadImageError` for a name that could leave the folder."""
        if not DIGEST.match(digest):
            raise BadImageError(repr(digest[:80]), "a sha256 digest was expected")
        return self.blobs / digest[HEX]

    def put(self, data: bytes) -> Descriptor:
        """Store a blob."""
        digest = digest_of(data)
        path = self.path(digest)
        if not path.exists():
            _write(path, data)
        return Descriptor("application/octet-stream", digest, len(data))

    def get(self, digest: str, size_bytes: int | None = None) -> bytes:
        """Read a blob. Raises `BadImageError` where it is missing or has other bytes."""
        try:
            data = self.path(digest).read_bytes()
        except OSError:
            raise BadImageError(digest, f"no such blob in {self.folder}") from None
        check(data, digest, size_bytes)
        return data

    def index(self) -> Index:
        """Read the index. Raises `BadImageError`."""
        path = self.folder / "index.json"
        if not path.exists():
            return Index([])
        try:
            return msgspec.json.decode(path.read_bytes(), type=Index)
        except DECODE_ERRORS as error:
            raise BadImageError(path, f"{error}") from None

    def name(self, ref: str, manifest: Descriptor) -> None:
        """Name a manifest; the previous one of that name loses it, its blobs stay."""
        others = [m for m in self.index().manifests if m.annotations.get(REF) != ref]
        named = msgspec.structs.replace(manifest, media_type=MANIFEST, annotations={REF: ref})
        _write(self.folder / "index.json", msgspec.json.encode(Index([*others, named])))

    def manifest(self, ref: str) -> tuple[Descriptor, Manifest]:
        """Find a manifest by its name or digest. Raises `BadImageError`."""
        for found in self.index().manifests:
            if found.annotations.get(REF) == ref or found.digest == ref:
                return found, read_manifest(self.get(found.digest, found.size), found.digest)
        raise BadImageError(ref, f"no manifest of that name in {self.folder}")

    def layers(self, manifest: Manifest) -> list[Layer]:
        """Read the layers of a manifest. Raises `BadImageError`."""
        return [read_layer(self.get(d.digest, d.size), d.digest) for d in manifest.layers]


def _write(path: Path, data: bytes) -> None:
    temporary = path.with_name(f"{path.name}.{os.getpid()}.new")
    temporary.write_bytes(data)
    os.replace(temporary, path)


def read_manifest(data: bytes, digest: str) -> Manifest:
    """Decode a manifest. Raises `BadImageError`: wrong digest, no manifest, or unknown layers."""
    check(data, digest)
    try:
        manifest = msgspec.json.decode(data, type=Manifest)
    except DECODE_ERRORS as error:
        raise BadImageError(digest, f"no manifest: {error}") from None
    for layer in manifest.layers:
        is_valid = (
            layer.media_type == LAYER
            and DIGEST.match(layer.digest)
            and 0 < layer.size <= LARGEST_LIST
        )
        if not is_valid:
            raise BadImageError(digest, f"a layer of kind {layer.media_type}, {layer.size} bytes")
    return manifest


def read_layer(data: bytes, digest: str) -> Layer:
    """Decode a layer's list and check its sizes before they are used. Raises `BadImageError`."""
    check(data, digest)
    try:
        layer = msgspec.json.decode(data, type=Layer)
    except DECODE_ERRORS as error:
        raise BadImageError(digest, f"no layer: {error}") from None
    for chunk in layer.chunks:
        is_valid = (
            DIGEST.match(chunk.digest)
            and 0 < chunk.size <= LARGEST_CHUNK
            and 0 < chunk.stored <= LARGEST_CHUNK
        )
        if not is_valid:
            raise BadImageError(digest, f"a chunk of {chunk.stored} bytes for {chunk.size}")
    if sum(chunk.size for chunk in layer.chunks) != layer.size:
        raise BadImageError(digest, f"its chunks do not add up to {layer.size} bytes")
    if "/" in layer.name or layer.name in ("", ".", ".."):
        raise BadImageError(digest, f"{layer.name!r} is no file name")
    return layer


# -- packing


def cut(data: memoryview, cutting: Cutting) -> Iterator[memoryview]:
    """Yield the pieces of a file in sequence."""
    if cutting.kind == "fixed":
        for start in range(0, len(data), cutting.average):
            yield data[start : start + cutting.average]
        return
    least_bytes = max(LEAST_CHUNK_BYTES, cutting.average // CHUNK_SIZE_SPREAD)
    largest_bytes = cutting.average * CHUNK_SIZE_SPREAD
    for piece in fastcdc(data, least_bytes, cutting.average, largest_bytes, fat=False):
        yield data[piece.offset : piece.offset + piece.length]


@dataclass
class Packed:
    """The result of packing: bytes and chunks in total, and those that are new in the layout."""

    manifest: Descriptor
    size: int = 0
    chunks: int = 0
    new_chunks: int = 0
    new_bytes: int = 0


def pack(
    layout: Layout, ref: str, files: list[Path], cutting: Cutting, created: str = ""
) -> Packed:
    """Make an image of some files and name it, as of now or of `created` (RFC 3339, UTC).

    If the name already refers to an image with the same layers, that image is kept unchanged.
    Raises OSError, and `BadImageError` for two files of the same name.
    """
    if len({path.name for path in files}) < len(files):
        raise BadImageError(ref, "two files of one name")
    result = Packed(Descriptor(MANIFEST, "", 0))
    paths = sorted(files, key=lambda path: path.name)
    layers = [_pack_file(layout, path, cutting, result) for path in paths]
    config = layout.put(msgspec.json.encode({"files": [path.name for path in files]}))
    if any(found.annotations.get(REF) == ref for found in layout.index().manifests):
        result.manifest, before = layout.manifest(ref)
        if before.layers == layers:
            return result
    manifest = Manifest(
        Descriptor(CONFIG, config.digest, config.size),
        layers,
        annotations={CREATED: created or _format_now()},
    )
    result.manifest = layout.put(msgspec.json.encode(manifest))
    layout.name(ref, result.manifest)
    return result


def _pack_file(layout: Layout, path: Path, cutting: Cutting, result: Packed) -> Descriptor:
    """Store the chunks of a file and the list of them, and count them in the result."""
    compressor = zstandard.ZstdCompressor(level=cutting.level) if cutting.level else None
    data = memoryview(path.read_bytes())
    chunks = []
    for piece in cut(data, cutting):
        stored = compressor.compress(piece) if compressor else bytes(piece)
        digest = digest_of(stored)
        if not layout.path(digest).exists():
            result.new_chunks += 1
            result.new_bytes += len(stored)
        layout.put(stored)
        chunks.append(Chunk(digest, len(stored), len(piece)))
    layer = Layer(path.name, digest_of(data), len(data), bool(cutting.level), chunks)
    blob = layout.put(msgspec.json.encode(layer))
    result.size += len(data)
    result.chunks += len(chunks)
    return Descriptor(LAYER, blob.digest, blob.size, {TITLE: path.name})


def _format_now() -> str:
    now = datetime.fromtimestamp(wall_ns() / 1e9, UTC)
    return now.isoformat(timespec="microseconds").replace("+00:00", "Z")


def unpack(chunk: Chunk, stored: bytes, is_packed: bool) -> bytes:
    """Check a chunk and return its content. Raises `BadImageError`."""
    check(stored, chunk.digest, chunk.stored)
    if not is_packed:
        return stored
    try:
        data = zstandard.ZstdDecompressor().decompress(stored, max_output_size=chunk.size)
    except zstandard.ZstdError as error:
        raise BadImageError(chunk.digest, f"{error}") from None
    if len(data) != chunk.size:
        raise BadImageError(
            chunk.digest, f"unpacks to {len(data)} bytes where {chunk.size} were expected"
        )
    return data


def verify(layout: Layout, ref: str) -> tuple[int, int]:
    """Check every chunk and file of an image; return the numbers of chunks and bytes.

    Raises `BadImageError`.
    """
    _, manifest = layout.manifest(ref)
    chunk_count = size_bytes = 0
    for layer in layout.layers(manifest):
        file_hash = hashlib.sha256()
        for chunk in layer.chunks:
            file_hash.update(unpack(chunk, layout.get(chunk.digest, chunk.stored), layer.packed))
            chunk_count += 1
        if f"sha256:{file_hash.hexdigest()}" != layer.digest:
            raise BadImageError(ref, f"{layer.name}: the assembled file has another digest")
        size_bytes += layer.size
    return chunk_count, size_bytes


@dataclass
class Difference:
    """What a worker with one image downloads for another; `stored`, `fetched` in bytes."""

    chunks: int
    shared_chunks: int
    stored: int
    fetched: int


def diff(layout: Layout, present: str, requested: str) -> Difference:
    """Compare two images. Raises `BadImageError`."""

    def stored_bytes_by_digest(ref: str) -> dict[str, int]:
        """Return the stored sizes of an image's chunks."""
        _, manifest = layout.manifest(ref)
        return {c.digest: c.stored for layer in layout.layers(manifest) for c in layer.chunks}

    present_chunks = stored_bytes_by_digest(present)
    chunks = stored_bytes_by_digest(requested)
    new = {digest: size for digest, size in chunks.items() if digest not in present_chunks}
    return Difference(len(chunks), len(chunks) - len(new), sum(chunks.values()), sum(new.values()))
