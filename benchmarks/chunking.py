"""How models are best cut: bytes kept and fetched, and time, on models that this makes, against whole files.

    .venv/bin/python benchmarks/chunking.py [--mb 64]

A base, two fine-tuned variants (3% of its bytes changed, in a few places), a release that changes 5% and
moves the rest by an insertion. Half of the bytes are noise, half take few values, as the halves of 16-bit
weights do.
"""

from __future__ import annotations

import json
import random
import tempfile
from pathlib import Path
from time import perf_counter
from typing import Any

import click

from martenlead.layers.image import Cutting, Layout, diff, digest_of, pack, verify


def models(folder: Path, size: int) -> dict[str, Path]:
    chance = random.Random(5)
    noise, few = chance.randbytes(size // 2), bytes(chance.choices(range(40, 60), k=size // 2))
    base = bytearray(size)
    base[0::2], base[1::2] = noise, few

    def changed(share: float, places: int) -> bytearray:
        made = bytearray(base)
        each = int(share * size / places)
        for _ in range(places):
            at = chance.randrange(size - each)
            made[at : at + each] = chance.randbytes(each)
        return made

    release = changed(0.05, 8)
    release[size // 3 : size // 3] = b"a few more words in the vocabulary"
    made = {"base": base, "tuned-1": changed(0.03, 5), "tuned-2": changed(0.03, 5), "release": release}
    found = {}
    for name, data in made.items():
        (folder / name).mkdir()
        found[name] = folder / name / "weights"
        found[name].write_bytes(data)
    return found


def one(found: dict[str, Path], cutting: Cutting) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as name:
        layout = Layout(Path(name))
        size = sum(path.stat().st_size for path in found.values())
        begun = perf_counter()
        kept = sum(pack(layout, name, [path], cutting).new_bytes for name, path in found.items())
        packed = perf_counter()
        chunks = sum(verify(layout, name)[0] for name in found)
        read = perf_counter()
        base = found["base"].stat().st_size
        return {
            "cut": f"{cutting.kind}, {cutting.average // 1024} KB, level {cutting.level}",
            "kept_of_whole": round(kept / size, 3),
            "release_of_model": round(diff(layout, "base", "release").fetched / base, 3),
            "tuned_of_model": round(diff(layout, "base", "tuned-1").fetched / base, 3),
            "pack_mb_s": round(size / 2**20 / (packed - begun)),
            "check_mb_s": round(size / 2**20 / (read - packed)),
            "chunks_a_model": chunks // len(found),
        }


@click.command()
@click.option("--mb", default=64)
def main(mb: int) -> None:
    with tempfile.TemporaryDirectory() as name:
        found = models(Path(name), mb * 2**20)
        told: list[Any] = []
        for kind in ("fixed", "content"):
            for average in (256, 1024, 4096):
                told.append(one(found, Cutting(kind, average * 1024, 0)))  # type: ignore[arg-type]
        told.append(one(found, Cutting("content", 1024 * 1024, 3)))
        told.append(one(found, Cutting("content", 256 * 1024, 3)))
        data = found["base"].read_bytes()
        begun = perf_counter()
        digest_of(data)
        print(json.dumps({"sha256_mb_s": round(mb / (perf_counter() - begun)), "cuts": told}, indent=1))


if __name__ == "__main__":
    main()
