"""Images, the cache at any byte, and the choice of sources in virtual time."""

from __future__ import annotations

import os
import random
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from martenlead.cli.main import commands
from martenlead.layers import image
from martenlead.layers.cache import Cache, CacheFullError, CacheRefusedError
from martenlead.layers.choice import Failure
from martenlead.layers.image import BadImageError, Cutting, Layout, digest_of, pack, verify
from support.swarm import Swarm

MODEL = [digest_of(b"%d" % n) for n in range(60)]


def some_bytes(seed: int, size: int) -> bytes:
    return random.Random(seed).randbytes(size)


# -- images


@pytest.mark.parametrize(
    "cutting", [Cutting("fixed", 4096), Cutting("content", 4096), Cutting("content", 4096, 3)]
)
def test_an_image_is_packed_verified_and_shared_with_the_next(tmp_path: Path, cutting: Cutting) -> None:
    layout = Layout(tmp_path / "layout")
    files = [tmp_path / "weights", tmp_path / "words"]
    base = some_bytes(1, 300_000)
    files[0].write_bytes(base)
    files[1].write_bytes(b"word\n" * 5000)
    first = pack(layout, "m:1", files, cutting)
    assert verify(layout, "m:1") == (first.chunks, first.size)
    assert pack(layout, "again:1", files, cutting).new_chunks == 0
    files[0].write_bytes(base[:150_000] + b"inserted" + base[150_000:])
    pack(layout, "m:2", files, cutting)
    told = image.diff(layout, "m:1", "m:2")
    if cutting.kind == "content":  # what follows an insertion is cut at the same places again
        assert told.fetched < 0.2 * told.stored
    else:
        assert told.fetched > 0.4 * told.stored


def test_what_is_wrong_in_an_image_is_named(tmp_path: Path) -> None:
    layout = Layout(tmp_path)
    file = tmp_path / "weights"
    file.write_bytes(some_bytes(2, 50_000))
    pack(layout, "m:1", [file], Cutting("fixed", 8192))
    _, manifest = layout.manifest("m:1")
    (layer,) = layout.layers(manifest)
    path = layout.path(layer.chunks[2].digest)
    good = path.read_bytes()
    for bad, why in ((good[:-1], "8191 bytes where 8192"), (good[:-1] + b"x", "another digest")):
        path.write_bytes(bad)
        with pytest.raises(BadImageError, match=why):
            verify(layout, "m:1")
    path.unlink()
    with pytest.raises(BadImageError, match="no such blob"):
        verify(layout, "m:1")
    with pytest.raises(BadImageError, match="no manifest of that name"):
        layout.manifest("m:2")
    with pytest.raises(BadImageError, match="a sha256 digest was expected"):
        layout.path("sha256:../../etc/passwd")


@given(st.binary(max_size=300))
def test_no_bytes_are_taken_for_a_manifest_or_a_layer(data: bytes) -> None:
    for reads in (image.read_manifest, image.read_layer):
        with pytest.raises(BadImageError):
            reads(data, digest_of(data))


# -- the cache


def test_the_least_lately_used_goes_first_and_pins_stay(tmp_path: Path) -> None:
    cache = Cache(tmp_path, 3000)
    chunks = {digest_of(data): data for data in (some_bytes(n, 1000) for n in range(5))}
    names = list(chunks)
    for name in names[:3]:
        cache.put(name, chunks[name])
    assert cache.get(names[0]) == chunks[names[0]]
    with cache.pinned([names[1]]):
        cache.put(names[3], chunks[names[3]])
    assert [names.index(n) for n in cache] == [1, 0, 3]
    with cache.pinned(cache), pytest.raises(CacheFullError):
        cache.put(names[4], chunks[names[4]])
    assert cache.size_bytes == 3000
    with pytest.raises(BadImageError):
        cache.put(names[4], b"other")
    cache.close()


def test_a_corrupt_chunk_is_found_set_aside_and_missing(tmp_path: Path) -> None:
    cache = Cache(tmp_path, 10_000)
    data = some_bytes(1, 500)
    name = digest_of(data)
    cache.put(name, data)
    cache.path(name).write_bytes(data[:-1] + b"!")
    assert cache.get(name) is None
    assert (name in cache, cache.size_bytes, cache.set_aside_count, len(list(cache.aside.iterdir()))) == (
        False,
        0,
        1,
        1,
    )
    cache.put(name, data)
    assert cache.get(name) == data
    cache.close()


def test_a_restart_knows_what_is_there_and_its_order_without_reading(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    cache = Cache(tmp_path, 10_000)
    names = []
    for n in range(4):
        data = some_bytes(n, 100)
        names.append(digest_of(data))
        cache.put(names[-1], data)
        os.utime(cache.path(names[-1]), (n + 1, 10 - n))
    (cache.path(names[0]).parent / "half.new").write_bytes(b"x")
    with pytest.raises(CacheRefusedError, match="another agent"):
        Cache(tmp_path, 10_000)
    cache.close()
    monkeypatch.setattr(Path, "read_bytes", None)
    again = Cache(tmp_path, 250)
    assert list(again) == [names[1], names[0]]
    assert not list(tmp_path.rglob("*.new"))
    again.close()
    (tmp_path / "version").write_text("7")
    with pytest.raises(CacheRefusedError, match="of version 7"):
        Cache(tmp_path, 250)


def test_a_full_disk_in_mid_write_leaves_nothing_behind(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    cache = Cache(tmp_path, 10_000)
    data = some_bytes(1, 500)

    def full(*_: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "replace", full)
    with pytest.raises(CacheFullError, match="No space left"):
        cache.put(digest_of(data), data)
    monkeypatch.undo()
    assert (list(cache), cache.size_bytes, list(tmp_path.rglob("*.new"))) == ([], 0, [])
    cache.put(digest_of(data), data)
    cache.close()


KILLER = """
import os
import signal
import sys
import time
from pathlib import Path
from random import Random
from martenlead.layers.cache import Cache
from martenlead.layers.image import digest_of
folder, chance, kept, torn = Path(sys.argv[1]), Random(7), 0, 0
for round in range(300):
    reader, writer = os.pipe()
    child = os.fork()
    if not child:
        cache, own = Cache(folder, 40_000), Random(round)
        os.write(writer, b"x")
        while True:
            data = own.randbytes(own.randrange(1, 3000))
            cache.put(digest_of(data), data)
    os.read(reader, 1)
    time.sleep(chance.uniform(0, 0.004))
    os.kill(child, signal.SIGKILL)
    os.waitpid(child, 0)
    os.close(reader)
    os.close(writer)
    torn += len(list(folder.rglob("*.new")))
    cache = Cache(folder, 40_000)
    assert all(cache.get(name) is not None for name in list(cache)), round
    assert cache.set_aside_count == 0 and cache.size_bytes <= 40_000, round
    assert not list(folder.rglob("*.new")), round
    kept += len(cache)
    cache.close()
print(kept > 300, torn > 0)
"""


def test_killed_at_any_moment_it_holds_whole_chunks_only(tmp_path: Path) -> None:
    done = subprocess.run(
        [sys.executable, "-c", KILLER, str(tmp_path)], capture_output=True, text=True, timeout=120
    )
    assert (done.stdout, done.stderr) == ("True True\n", "")


def test_what_came_last_is_lent_from_memory_and_within_its_bound(tmp_path: Path) -> None:
    cache = Cache(tmp_path, 10_000, memory_limit_bytes=2500)
    names = []
    for n in range(4):
        data = some_bytes(n, 1000)
        names.append(digest_of(data))
        cache.put(names[-1], data)
    for name in names:
        cache.path(name).write_bytes(b"rot")
    assert [cache.lend(name) is not None for name in names] == [False, False, True, True]
    assert cache.get(names[3]) is None  # a load of its own trusts the disk only
    assert cache.lend(names[3]) is None  # and what is missing is not lent
    cache.close()


def test_the_older_release_goes_while_the_newer_loads_and_what_they_share_stays(tmp_path: Path) -> None:
    cache = Cache(tmp_path, 6000)
    chunks = {digest_of(data): data for data in (some_bytes(n, 1000) for n in range(8))}
    names = list(chunks)
    older, newer = names[:5], names[3:]  # two are in both
    for name in older:
        cache.put(name, chunks[name])
    with cache.pinned(newer):
        for name in newer:
            if name not in cache:
                cache.put(name, chunks[name])
        assert [n for n in names if n in cache] == names[2:]
        cache.put(digest_of(b"x"), b"x")  # the last of the older goes for it
        assert names[2] not in cache
        assert set(newer) <= set(cache)
    cache.close()


# -- where chunks come from


def storm(boxes: int, **about: int) -> Swarm:
    swarm = Swarm(boxes, **about)  # type: ignore[arg-type]
    for box in swarm.agents:
        box.load_chunks(MODEL)
    return swarm


def story(swarm: Swarm) -> str:
    ends = [box.finished_ns for box in swarm.agents]
    alive = [box for box in swarm.agents if not box.is_down]
    whole = sum(box.finished_ns is not None and not box.failures for box in alive)
    last = max((e for e in ends if e is not None), default=0) // 1_000_000
    return (
        f"{whole} of {len(alive)} boxes whole, {swarm.store_chunks / len(MODEL):.2f} models from the vault, "
        f"{swarm.store_rejections} turned away, {swarm.peak_requests} at once there, last after {last} ms"
    )


def test_boxes_that_start_together_read_the_vault_about_once() -> None:
    told = []
    for boxes in (1, 4, 16, 32):
        swarm = storm(boxes)
        swarm.run()
        told.append(story(swarm))
        assert swarm.store_chunks <= 1.2 * len(MODEL)
        assert all(box.chunks == set(MODEL) for box in swarm.agents)
        most = max(box.sent_chunks for box in swarm.agents)
        assert most <= 6 * len(MODEL) * max(1, boxes - 1) / boxes  # no uplink carries the whole release
    again = [storm(32), storm(32)]
    for swarm in again:
        swarm.run()
    assert story(again[0]) == story(again[1]) == told[-1]


def test_dead_lying_and_stalling_boxes_cost_time_and_no_wrong_byte() -> None:
    for fault in ("is_down", "sends_wrong_chunks", "is_stalled"):
        swarm = Swarm(8)
        setattr(swarm.agents[3], fault, True)
        for box in swarm.agents:
            if box.worker_id != 3:
                box.load_chunks(MODEL)
        swarm.run()
        good = [box for box in swarm.agents if box.worker_id != 3]
        assert all(box.chunks == set(MODEL) and not box.failures for box in good), (fault, story(swarm))
        assert swarm.store_chunks <= 3 * len(MODEL)
        if fault == "sends_wrong_chunks":
            assert all(box.chooser.peers[3].trust < 1 for box in good)
            assert (
                swarm.agents[3].sent_wrong_chunks <= 8 * 7
            )  # each box, as often as it had asked before the first was read


def test_the_vault_stops_in_the_middle_and_comes_back() -> None:
    swarm = storm(16)
    swarm.store_outage_ns = (60_000_000, 1_500_000_000)
    swarm.run()
    assert all(box.chunks == set(MODEL) for box in swarm.agents), story(swarm)
    assert swarm.store_chunks <= 1.5 * len(MODEL)


def test_a_vault_that_stays_away_is_a_failure_of_that_name_in_time() -> None:
    swarm = storm(4)
    swarm.store_outage_ns = (0, 1 << 62)
    swarm.run(13_000)
    failures = {failure for box in swarm.agents for failure in box.failures}
    assert failures == {Failure.STORE_AWAY}
    assert all(box.failures for box in swarm.agents)


def test_wrong_bytes_at_the_vault_are_a_clear_error_and_never_kept() -> None:
    swarm = storm(8)
    swarm.store_corrupt = {MODEL[7]}
    swarm.run()
    for box in swarm.agents:
        assert box.chunks == set(MODEL) - {MODEL[7]}
        assert box.failures in ([Failure.CORRUPT], [Failure.MISSING])
    assert any(box.failures == [Failure.CORRUPT] for box in swarm.agents)


def test_a_small_vault_is_not_pushed_over() -> None:
    swarm = storm(32, full_speed_requests=4, request_limit=8)
    swarm.run()
    assert all(box.chunks == set(MODEL) for box in swarm.agents), story(swarm)
    assert swarm.peak_requests <= 8
    assert swarm.store_rejections < 2 * len(MODEL)


def test_a_load_that_nobody_waits_for_gives_its_place_up() -> None:
    swarm = Swarm(1, full_speed_requests=1, request_limit=1)
    box = swarm.agents[0]
    wants = [box.fetch_chunk(digest, 10**12, lambda _: None) for digest in MODEL]
    swarm.run(200)
    for want in wants:
        box.chooser.remove_waiter(want)
    swarm.run()
    assert swarm.store_chunks < 15
    assert not box.chooser.downloads


def test_two_loads_of_one_model_make_one_fetch() -> None:
    swarm = Swarm(1)
    for _ in range(3):
        swarm.agents[0].load_chunks(MODEL)
    swarm.run()
    assert swarm.store_chunks == len(MODEL)


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10**6), st.integers(2, 12), st.sets(st.integers(0, 11), max_size=4), st.integers(0, 2))
def test_whatever_boxes_fail_the_others_have_all_or_know_why(
    seed: int, count: int, bad: set[int], how: int
) -> None:
    swarm = Swarm(count, seed=seed)
    for mark in bad:
        if mark < count:
            setattr(swarm.agents[mark], ("is_down", "sends_wrong_chunks", "is_stalled")[how], True)
    good = [box for box in swarm.agents if box.worker_id not in bad]
    for box in good:
        box.load_chunks(MODEL[:20])
    swarm.run()
    for box in good:
        assert box.chunks == set(MODEL[:20])
        assert box.chooser.sending == box.chooser.store_in_flight == 0
        assert all(peer.in_flight == 0 for peer in box.chooser.peers.values())


def test_the_command_line(tmp_path: Path) -> None:
    file = tmp_path / "weights"
    file.write_bytes(some_bytes(1, 100_000))
    layout = str(tmp_path / "layout")

    def run(*words: str) -> tuple[int, str]:
        told = CliRunner().invoke(commands, ["layers", words[0], layout, *words[1:]])
        return told.exit_code, told.output.strip()

    assert run("pack", "m:1", str(file), "--average-kb", "4")[0] == 0
    file.write_bytes(some_bytes(1, 100_000)[:-1])
    assert run("pack", "m:2", str(file), "--average-kb", "4")[0] == 0
    assert run("verify", "m:2")[1].endswith("99999 bytes")
    code, text = run("diff", "m:1", "m:2")
    assert (code, float(text.split("(")[1].rstrip("%)")) < 25) == (0, True)
    assert run("verify", "m:3") == (1, f"m:3: no manifest of that name in {layout}")
