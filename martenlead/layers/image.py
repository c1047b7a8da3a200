"""Images of models: layers cut into content-addressed chunks, kept in an OCI image layout (image-spec 1.1).

A manifest is an OCI image manifest; each of its layers is a small blob that lists the layer's chunks; each
chunk is a blob, compressed or not, named by the SHA-256 of what is stored. Layers and chunks that two models
or two releases have in common are the same blobs. A layer's list also names the SHA-256 of the whole file, so
that what was put together is checked once more.
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

DIGEST = re.compile(r"sha256:[0-9a-f]{64}\Z")
TIME = re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z\Z")
MANIFEST = "application/vnd.oci.image.manifest.v1+json"
CONFIG = "application/vnd.martenlead.model.config.v1+json"
LAYER = "application/vnd.martenlead.model.layer.v1+json"
REF = "org.opencontainers.image.ref.name"
TITLE = "org.opencontainers.image.title"
CREATED = "org.opencontainers.image.created"
LARGEST_CHUNK = 64 * 1024 * 1024
LARGEST_LIST = 64 * 1024 * 1024


class BadImage(Exception):
    """A blob, list or manifest is not what its name says; tells which and what was expected."""


class Descriptor(msgspec.Struct, rename="camel", omit_defaults=True):
    media_type: str
    digest: str
    size: int
    annotations: dict[str, str] = {}


class Manifest(msgspec.Struct, rename="camel"):
    config: Descriptor
    layers: list[Descriptor]
    schema_version: int = 2
    media_type: str = MANIFEST
    annotations: dict[str, str] = {}

    @property
    def created(self) -> str:
        """When it was made, RFC 3339 in UTC with microseconds; "" where it does not say."""
        told = self.annotations.get(CREATED, "")
        return told if TIME.match(told) else ""


class Index(msgspec.Struct, rename="camel"):
    """`index.json` of a layout: its manifests by the names that they were given."""

    manifests: list[Descriptor]
    schema_version: int = 2


class Chunk(msgspec.Struct, array_like=True, frozen=True):
    """`digest` and `stored` are of the blob, `size` of what it unpacks to."""

    digest: str
    stored: int
    size: int


class Layer(msgspec.Struct, rename="camel"):
    """One file of a model. `digest` is of the whole file, `packed` whether its chunks are Zstandard
    frames."""

    name: str
    digest: str
    size: int
    packed: bool
    chunks: list[Chunk]


class Cutting(msgspec.Struct, frozen=True):
    """How files are cut: at equal sizes, or where their content says (FastCDC), around an average size."""

    kind: Literal["content", "fixed"] = "content"
    average: int = 256 * 1024
    level: int = 0  # of Zstandard; 0 stores chunks as they are


def digest_of(data: bytes | memoryview) -> str:
    return "sha256:" + hashlib.sha256(data).hexdigest()


def check(data: bytes, digest: str, size: int | None = None) -> None:
    """Raises `BadImage` unless these bytes are the blob of that name."""
    if size is not None and len(data) != size:
        raise BadImage(f"{digest}: {len(data)} bytes where {size} were expected")
    if digest_of(data) != digest:
        raise BadImage(f"{digest}: the bytes have another digest")


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
        """Raises `BadImage` for what is no digest: a name must not lead out of the folder."""
        if not DIGEST.match(digest):
            raise BadImage(f"{digest[:80]!r}: a sha256 digest was expected")
        return self.blobs / digest[7:]

    def put(self, data: bytes) -> Descriptor:
        digest = digest_of(data)
        path = self.path(digest)
        if not path.exists():
            _write(path, data)
        return Descriptor("application/octet-stream", digest, len(data))

    def get(self, digest: str, size: int | None = None) -> bytes:
        """Raises `BadImage` where the blob is missing or is another."""
        try:
            data = self.path(digest).read_bytes()
        except OSError:
            raise BadImage(f"{digest}: no such blob in {self.folder}") from None
        check(data, digest, size)
        return data

    def index(self) -> Index:
        path = self.folder / "index.json"
        if not path.exists():
            return Index([])
        try:
            return msgspec.json.decode(path.read_bytes(), type=Index)
        except msgspec.DecodeError as error:
            raise BadImage(f"{path}: {error}") from None

    def name(self, ref: str, manifest: Descriptor) -> None:
        """Gives a manifest a name; the one that had it before loses it and keeps its blobs."""
        index = self.index()
        kept = [m for m in index.manifests if m.annotations.get(REF) != ref]
        named = msgspec.structs.replace(manifest, media_type=MANIFEST, annotations={REF: ref})
        _write(self.folder / "index.json", msgspec.json.encode(Index([*kept, named])))

    def manifest(self, ref: str) -> tuple[Descriptor, Manifest]:
        """Raises `BadImage`."""
        for found in self.index().manifests:
            if found.annotations.get(REF) == ref or found.digest == ref:
                return found, read_manifest(self.get(found.digest, found.size), found.digest)
        raise BadImage(f"{ref}: no manifest of that name in {self.folder}")

    def layers(self, manifest: Manifest) -> list[Layer]:
        return [read_layer(self.get(d.digest, d.size), d.digest) for d in manifest.layers]


def _write(path: Path, data: bytes) -> None:
    temporary = path.with_name(f"{path.name}.{os.getpid()}.new")
    temporary.write_bytes(data)
    os.replace(temporary, path)


def read_manifest(data: bytes, digest: str) -> Manifest:
    """Raises `BadImage`: another digest, no manifest, layers of an unknown kind."""
    check(data, digest)
    try:
        manifest = msgspec.json.decode(data, type=Manifest)
    except msgspec.DecodeError as error:
        raise BadImage(f"{digest}: no manifest: {error}") from None
    for layer in manifest.layers:
        if layer.media_type != LAYER or not DIGEST.match(layer.digest) or not 0 < layer.size <= LARGEST_LIST:
            raise BadImage(f"{digest}: a layer of kind {layer.media_type}, {layer.size} bytes")
    return manifest


def read_layer(data: bytes, digest: str) -> Layer:
    """Raises `BadImage`; sizes are checked before anything is made of them."""
    check(data, digest)
    try:
        layer = msgspec.json.decode(data, type=Layer)
    except msgspec.DecodeError as error:
        raise BadImage(f"{digest}: no layer: {error}") from None
    for chunk in layer.chunks:
        good = (
            DIGEST.match(chunk.digest)
            and 0 < chunk.size <= LARGEST_CHUNK
            and 0 < chunk.stored <= LARGEST_CHUNK
        )
        if not good:
            raise BadImage(f"{digest}: a chunk of {chunk.stored} bytes for {chunk.size}")
    if sum(chunk.size for chunk in layer.chunks) != layer.size:
        raise BadImage(f"{digest}: its chunks do not add up to {layer.size} bytes")
    if "/" in layer.name or layer.name in ("", ".", ".."):
        raise BadImage(f"{digest}: {layer.name!r} is no file name")
    return layer


# -- packing


def cut(data: memoryview, cutting: Cutting) -> Iterator[memoryview]:
    """The pieces of a file, in order."""
    if cutting.kind == "fixed":
        for at in range(0, len(data), cutting.average):
            yield data[at : at + cutting.average]
        return
    least, most = max(64, cutting.average // 4), cutting.average * 4
    for piece in fastcdc(data, least, cutting.average, most, fat=False):
        yield data[piece.offset : piece.offset + piece.length]


@dataclass
class Packed:
    """What packing did: bytes and chunks in all, and those that were not there before."""

    manifest: Descriptor
    size: int = 0
    chunks: int = 0
    new_chunks: int = 0
    new_bytes: int = 0


def pack(layout: Layout, ref: str, files: list[Path], cutting: Cutting, created: str = "") -> Packed:
    """Makes an image of some files and names it, as of now or of `created` (RFC 3339, UTC). What the name
    stands for already is left as it is. Raises OSError, and `BadImage` for files of one name."""
    if len({path.name for path in files}) < len(files):
        raise BadImage("two files of one name")
    compressor = zstandard.ZstdCompressor(level=cutting.level) if cutting.level else None
    told = Packed(Descriptor(MANIFEST, "", 0))
    descriptors = []
    for path in sorted(files, key=lambda p: p.name):
        data = memoryview(path.read_bytes())
        chunks = []
        for piece in cut(data, cutting):
            stored = compressor.compress(piece) if compressor else bytes(piece)
            digest = digest_of(stored)
            if not layout.path(digest).exists():
                told.new_chunks += 1
                told.new_bytes += len(stored)
            layout.put(stored)
            chunks.append(Chunk(digest, len(stored), len(piece)))
        layer = Layer(path.name, digest_of(data), len(data), bool(cutting.level), chunks)
        listed = layout.put(msgspec.json.encode(layer))
        descriptors.append(Descriptor(LAYER, listed.digest, listed.size, {TITLE: path.name}))
        told.size += len(data)
        told.chunks += len(chunks)
    config = layout.put(msgspec.json.encode({"files": [path.name for path in files]}))
    if any(found.annotations.get(REF) == ref for found in layout.index().manifests):
        told.manifest, before = layout.manifest(ref)
        if before.layers == descriptors:
            return told
    made = created or datetime.fromtimestamp(wall_ns() / 1e9, UTC).isoformat(timespec="microseconds").replace(
        "+00:00", "Z"
    )
    manifest = Manifest(
        Descriptor(CONFIG, config.digest, config.size), descriptors, annotations={CREATED: made}
    )
    told.manifest = layout.put(msgspec.json.encode(manifest))
    layout.name(ref, told.manifest)
    return told


def unpack(chunk: Chunk, stored: bytes, packed: bool) -> bytes:
    """What a chunk holds, checked. Raises `BadImage`."""
    check(stored, chunk.digest, chunk.stored)
    if not packed:
        return stored
    try:
        data = zstandard.ZstdDecompressor().decompress(stored, max_output_size=chunk.size)
    except zstandard.ZstdError as error:
        raise BadImage(f"{chunk.digest}: {error}") from None
    if len(data) != chunk.size:
        raise BadImage(f"{chunk.digest}: unpacks to {len(data)} bytes where {chunk.size} were expected")
    return data


def verify(layout: Layout, ref: str) -> tuple[int, int]:
    """Reads an image through, every chunk and every whole file. Its chunks and bytes. Raises `BadImage`."""
    _, manifest = layout.manifest(ref)
    count = size = 0
    for layer in layout.layers(manifest):
        whole = hashlib.sha256()
        for chunk in layer.chunks:
            whole.update(unpack(chunk, layout.get(chunk.digest, chunk.stored), layer.packed))
            count += 1
        if f"sha256:{whole.hexdigest()}" != layer.digest:
            raise BadImage(f"{ref}: {layer.name} put together has another digest")
        size += layer.size
    return count, size


@dataclass
class Difference:
    """What a box that has one image would fetch for another."""

    chunks: int
    shared_chunks: int
    stored: int
    fetched: int


def diff(layout: Layout, has: str, wants: str) -> Difference:
    """Raises `BadImage`."""

    def chunks(ref: str) -> dict[str, int]:
        _, manifest = layout.manifest(ref)
        return {c.digest: c.stored for layer in layout.layers(manifest) for c in layer.chunks}

    here, there = chunks(has), chunks(wants)
    new = {digest: size for digest, size in there.items() if digest not in here}
    return Difference(len(there), len(there) - len(new), sum(there.values()), sum(new.values()))
