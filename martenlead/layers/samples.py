"""Sample functions for measurements and rehearsals.

They are grouped in families, of a base and its variants, and have releases. Half of the bytes are
random and half take few values, as the two halves of 16-bit weights do. A variant overwrites some
places of its base; a release overwrites some more and inserts bytes, which shifts those after them.
"""

from __future__ import annotations

import tempfile
from pathlib import Path
from random import Random

import msgspec

from martenlead.layers.image import Cutting, Layout, pack

PLACES = 5  # number of places that a variant or a release overwrites
INSERTION = b"a few more words in the vocabulary"
BYTES_PER_MB = 1e6
BYTES_PER_KB = 1024
SINGLE_CHUNK_BYTES = 1 << 26
FREQUENT_VALUES = range(40, 60)


class Samples(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Which samples to make. `tuned` and `changed` are shares of a function's bytes.

    The releases of a function are named NAME, NAME.r1, NAME.r2 and so on. With `with_single_chunk`
    each is also packed as one chunk, as NAME.whole and so on.
    """

    functions: list[str] = msgspec.field(name="models")
    mb: float = 2
    families: int = 1
    tuned: float = 0.03
    changed: float = 0.05
    releases: int = 1
    average_kb: int = 256
    level: int = 0
    with_single_chunk: bool = msgspec.field(default=False, name="whole")
    seed: int = 1


def make_base(random: Random, size_bytes: int) -> bytes:
    """Return the bytes of a family's base."""
    data = bytearray(size_bytes)
    half = (size_bytes + 1) // 2
    data[0::2] = random.randbytes(half)
    data[1::2] = bytes(random.choices(FREQUENT_VALUES, k=size_bytes - half))
    return bytes(data)


def overwrite_places(random: Random, data: bytes, share: float) -> bytes:
    """Return the data with this share of the bytes overwritten, in a few places."""
    result = bytearray(data)
    place_bytes = int(share * len(data) / PLACES)
    for _ in range(PLACES if place_bytes else 0):
        start = random.randrange(len(data) - place_bytes)
        result[start : start + place_bytes] = random.randbytes(place_bytes)
    return bytes(result)


def make_release(random: Random, data: bytes, share: float) -> bytes:
    """Return the next release: some places overwritten, and an insertion."""
    result = overwrite_places(random, data, share)
    start = len(result) // 3
    return result[:start] + INSERTION + result[start:]


def make(layout: Layout, samples: Samples) -> int:
    """Make and pack the samples; return the total size of one release in bytes. Raises OSError."""
    random = Random(samples.seed)
    size_bytes = int(samples.mb * BYTES_PER_MB)
    bases = [make_base(random, size_bytes) for _ in range(samples.families)]
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "weights"
        for index, name in enumerate(samples.functions):
            data = overwrite_places(random, bases[index % samples.families], samples.tuned)
            for number in range(samples.releases):
                if number:
                    data = make_release(random, data, samples.changed)
                file.write_bytes(data)
                _pack_release(layout, samples, name, number, file)
    return size_bytes * len(samples.functions)


def _pack_release(layout: Layout, samples: Samples, name: str, number: int, file: Path) -> None:
    cutting = Cutting("content", samples.average_kb * BYTES_PER_KB, samples.level)
    ref = f"{name}.r{number}" if number else name
    created = f"2026-01-01T00:00:{number:02}.000000Z"
    pack(layout, ref, [file], cutting, created)
    if samples.with_single_chunk:
        pack(layout, f"{ref}.whole", [file], Cutting("fixed", SINGLE_CHUNK_BYTES), created)
