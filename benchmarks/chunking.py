"""Compares ways to cut models into chunks: bytes stored and fetched, and time, on generated models.

    .venv/bin/python benchmarks/chunking.py [--mb 64]

The models are a base, two fine-tuned variants (3% of its bytes changed, in a few places), and a release that
changes 5% and shifts the rest by an insertion. Half of the bytes are noise, half take few values, like the
halves of 16-bit weights.
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


def make_models(folder: Path, size: int) -> dict[str, Path]:
    """Writes the models of about `size` bytes each; returns their paths by name."""
    chance = random.Random(5)
    noise, few_values = chance.randbytes(size // 2), bytes(chance.choices(range(40, 60), k=size // 2))
    base = bytearray(size)
    base[0::2], base[1::2] = noise, few_values

    def changed(share: float, places: int) -> bytearray:
        """Returns the base with a share of its bytes changed, in a number of places."""
        variant = bytearray(base)
        change_bytes = int(share * size / places)
        for _ in range(places):
            offset = chance.randrange(size - change_bytes)
            variant[offset : offset + change_bytes] = chance.randbytes(change_bytes)
        return variant

    release = changed(0.05, 8)
    release[size // 3 : size // 3] = b"a few more words in the vocabulary"
    models = {"base": base, "tuned-1": changed(0.03, 5), "tuned-2": changed(0.03, 5), "release": release}
    paths = {}
    for name, data in models.items():
        (folder / name).mkdir()
        paths[name] = folder / name / "weights"
        paths[name].write_bytes(data)
    return paths


def measure_cutting(paths: dict[str, Path], cutting: Cutting) -> dict[str, Any]:
    """Packs and verifies all models with one way of cutting."""
    with tempfile.TemporaryDirectory() as name:
        layout = Layout(Path(name))
        size = sum(path.stat().st_size for path in paths.values())
        began = perf_counter()
        stored = sum(pack(layout, name, [path], cutting).new_bytes for name, path in paths.items())
        packed = perf_counter()
        chunks = sum(verify(layout, name)[0] for name in paths)
        read = perf_counter()
        base = paths["base"].stat().st_size
        return {
            "cut": f"{cutting.kind}, {cutting.average // 1024} KB, level {cutting.level}",
            "kept_of_whole": round(stored / size, 3),
            "release_of_model": round(diff(layout, "base", "release").fetched / base, 3),
            "tuned_of_model": round(diff(layout, "base", "tuned-1").fetched / base, 3),
            "pack_mb_s": round(size / 2**20 / (packed - began)),
            "check_mb_s": round(size / 2**20 / (read - packed)),
            "chunks_a_model": chunks // len(paths),
        }


@click.command()
@click.option("--mb", default=64)
def main(mb: int) -> None:
    """Measure fixed and content-defined chunks of several sizes."""
    with tempfile.TemporaryDirectory() as name:
        paths = make_models(Path(name), mb * 2**20)
        results: list[Any] = []
        for kind in ("fixed", "content"):
            for average in (256, 1024, 4096):
                results.append(measure_cutting(paths, Cutting(kind, average * 1024, 0)))  # type: ignore[arg-type]
        results.append(measure_cutting(paths, Cutting("content", 1024 * 1024, 3)))
        results.append(measure_cutting(paths, Cutting("content", 256 * 1024, 3)))
        data = paths["base"].read_bytes()
        began = perf_counter()
        digest_of(data)
        print(json.dumps({"sha256_mb_s": round(mb / (perf_counter() - began)), "cuts": results}, indent=1))


if __name__ == "__main__":
    main()
