"""Images, the chunk cache under kills and failures, and the choice of chunk sources in virtual time."""

from __future__ import annotations

import os
import random
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import example, given, settings
from hypothesis import strategies as st

from martenlead.cli.main import commands
from martenlead.layers import image
from martenlead.layers.cache import Cache, CacheFullError, CacheRefusedError
from martenlead.layers.choice import Failure
from martenlead.layers.image import BadImageError, Cutting, Layout, digest_of, pack, verify
from support.swarm import Swarm

CHUNKS = [digest_of(b"%d" % n) for n in range(60)]


def random_bytes(seed: int, size: int) -> bytes:
    """Returns the same random bytes for the same seed and size."""
    return random.Random(seed).randbytes(size)


# -- images


@pytest.mark.parametrize(
    "cutting", [Cutting("fixed", 4096), Cutting("content", 4096), Cutting("content", 4096, 3)]
)
def test_an_image_is_packed_verified_and_shares_chunks_with_another(tmp_path: Path, cutting: Cutting) -> None:
    layout = Layout(tmp_path / "layout")
    files = [tmp_path / "weights", tmp_path / "words"]
    base = random_bytes(1, 300_000)
    files[0].write_bytes(base)
    files[1].write_bytes(b"word\n" * 5000)
    first = pack(layout, "m:1", files, cutting)
    assert verify(layout, "m:1") == (first.chunks, first.size)
    assert pack(layout, "again:1", files, cutting).new_chunks == 0
    files[0].write_bytes(base[:150_000] + b"inserted" + base[150_000:])
    pack(layout, "m:2", files, cutting)
    difference = image.diff(layout, "m:1", "m:2")
    if cutting.kind == "content":  # the cuts after an insertion stay the same
        assert difference.fetched < 0.2 * difference.stored
    else:
        assert difference.fetched > 0.4 * difference.stored


def test_errors_in_an_image_are_reported_by_cause(tmp_path: Path) -> None:
    layout = Layout(tmp_path)
    file = tmp_path / "weights"
    file.write_bytes(random_bytes(2, 50_000))
    pack(layout, "m:1", [file], Cutting("fixed", 8192))
    _, manifest = layout.manifest("m:1")
    (layer,) = layout.layers(manifest)
    path = layout.path(layer.chunks[2].digest)
    good = path.read_bytes()
    for bad, reason in ((good[:-1], "8191 bytes where 8192"), (good[:-1] + b"x", "another digest")):
        path.write_bytes(bad)
        with pytest.raises(BadImageError, match=reason):
            verify(layout, "m:1")
    path.unlink()
    with pytest.raises(BadImageError, match="no such blob"):
        verify(layout, "m:1")
    with pytest.raises(BadImageError, match="no manifest of that name"):
        layout.manifest("m:2")
    with pytest.raises(BadImageError, match="a sha256 digest was expected"):
        layout.path("sha256:../../etc/passwd")


@example(b'{"x": ' + b"[" * 100_000)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_rejected_as_manifest_and_layer(data: bytes) -> None:
    for read in (image.read_manifest, image.read_layer):
        with pytest.raises(BadImageError):
            read(data, digest_of(data))


# -- the cache


def test_eviction_removes_the_least_recently_used_chunk_that_is_not_pinned(tmp_path: Path) -> None:
    cache = Cache(tmp_path, 3000)
    chunks = {digest_of(data): data for data in (random_bytes(n, 1000) for n in range(5))}
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


def test_a_corrupt_chunk_is_set_aside_and_counts_as_missing(tmp_path: Path) -> None:
    cache = Cache(tmp_path, 10_000)
    data = random_bytes(1, 500)
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


def test_a_restart_lists_chunks_without_reading_them(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    cache = Cache(tmp_path, 10_000)
    names = []
    for n in range(4):
        data = random_bytes(n, 100)
        names.append(digest_of(data))
        cache.put(names[-1], data)
        os.utime(cache.path(names[-1]), (n + 1, 10 - n))
    (cache.path(names[0]).parent / "half.new").write_bytes(b"x")
    with pytest.raises(CacheRefusedError, match="another agent"):
        Cache(tmp_path, 10_000)
    cache.close()
    monkeypatch.setattr(Path, "read_bytes", None)
    reopened = Cache(tmp_path, 250)
    assert list(reopened) == [names[1], names[0]]
    assert not list(tmp_path.rglob("*.new"))
    reopened.close()
    (tmp_path / "version").write_text("7")
    with pytest.raises(CacheRefusedError, match="of version 7"):
        Cache(tmp_path, 250)


def test_a_failed_write_on_a_full_disk_leaves_no_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    cache = Cache(tmp_path, 10_000)
    data = random_bytes(1, 500)

    def raise_disk_full(*_: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "replace", raise_disk_full)
    with pytest.raises(CacheFullError, match="No space left"):
        cache.put(digest_of(data), data)
    monkeypatch.undo()
    assert (list(cache), cache.size_bytes, list(tmp_path.rglob("*.new"))) == ([], 0, [])
    cache.put(digest_of(data), data)
    cache.close()


KILL_SCRIPT = """
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


def test_the_cache_has_only_complete_chunks_after_a_kill_at_any_moment(tmp_path: Path) -> None:
    result = subprocess.run(
        [sys.executable, "-c", KILL_SCRIPT, str(tmp_path)], capture_output=True, text=True, timeout=120
    )
    assert (result.stdout, result.stderr) == ("True True\n", "")


def test_the_latest_chunks_are_lent_from_memory_within_its_limit(tmp_path: Path) -> None:
    cache = Cache(tmp_path, 10_000, memory_limit_bytes=2500)
    names = []
    for n in range(4):
        data = random_bytes(n, 1000)
        names.append(digest_of(data))
        cache.put(names[-1], data)
    for name in names:
        cache.path(name).write_bytes(b"rot")
    assert [cache.lend(name) is not None for name in names] == [False, False, True, True]
    assert cache.get(names[3]) is None  # `get` reads the disk only
    assert cache.lend(names[3]) is None  # and a missing chunk is not lent
    cache.close()


def test_a_newer_release_evicts_the_older_one_except_shared_chunks(tmp_path: Path) -> None:
    cache = Cache(tmp_path, 6000)
    chunks = {digest_of(data): data for data in (random_bytes(n, 1000) for n in range(8))}
    names = list(chunks)
    older, newer = names[:5], names[3:]  # share two chunks
    for name in older:
        cache.put(name, chunks[name])
    with cache.pinned(newer):
        for name in newer:
            if name not in cache:
                cache.put(name, chunks[name])
        assert [n for n in names if n in cache] == names[2:]
        cache.put(digest_of(b"x"), b"x")  # evicts the last chunk of the older one
        assert names[2] not in cache
        assert set(newer) <= set(cache)
    cache.close()


# -- where chunks come from


def start_loads(agent_count: int, **options: int) -> Swarm:
    """Returns a swarm in which every agent loads `CHUNKS`."""
    swarm = Swarm(agent_count, **options)  # type: ignore[arg-type]
    for agent in swarm.agents:
        agent.load_chunks(CHUNKS)
    return swarm


def summarize(swarm: Swarm) -> str:
    """Returns the result of a run in one line, for messages and comparisons."""
    finish_times = [agent.finished_ns for agent in swarm.agents]
    live_agents = [agent for agent in swarm.agents if not agent.is_down]
    complete = sum(agent.finished_ns is not None and not agent.failures for agent in live_agents)
    last_ms = max((time for time in finish_times if time is not None), default=0) // 1_000_000
    return (
        f"{complete} of {len(live_agents)} agents complete, {swarm.store_chunks / len(CHUNKS):.2f} images "
        f"from the store, {swarm.store_rejections} rejected, {swarm.peak_requests} at once, "
        f"last after {last_ms} ms"
    )


def test_simulated_agents_that_load_together_read_the_store_about_once() -> None:
    summaries = []
    for agent_count in (1, 4, 16, 32):
        swarm = start_loads(agent_count)
        swarm.run()
        summaries.append(summarize(swarm))
        assert swarm.store_chunks <= 1.2 * len(CHUNKS)
        assert all(agent.chunks == set(CHUNKS) for agent in swarm.agents)
        largest_sent = max(agent.sent_chunks for agent in swarm.agents)
        assert largest_sent <= 6 * len(CHUNKS) * max(1, agent_count - 1) / agent_count  # uploads are spread
    repeated = [start_loads(32), start_loads(32)]
    for swarm in repeated:
        swarm.run()
    assert summarize(repeated[0]) == summarize(repeated[1]) == summaries[-1]


def test_loads_complete_despite_dead_corrupting_and_stalling_agents() -> None:
    for fault in ("is_down", "sends_wrong_chunks", "is_stalled"):
        swarm = Swarm(8)
        setattr(swarm.agents[3], fault, True)
        for agent in swarm.agents:
            if agent.worker_id != 3:
                agent.load_chunks(CHUNKS)
        swarm.run()
        healthy = [agent for agent in swarm.agents if agent.worker_id != 3]
        assert all(a.chunks == set(CHUNKS) and not a.failures for a in healthy), (fault, summarize(swarm))
        assert swarm.store_chunks <= 3 * len(CHUNKS)
        if fault == "sends_wrong_chunks":
            assert all(agent.chooser.peers[3].trust < 1 for agent in healthy)
            assert swarm.agents[3].sent_wrong_chunks <= 8 * 7  # requests before the agents' first checks


def test_loads_complete_after_a_store_outage() -> None:
    swarm = start_loads(16)
    swarm.store_outage_ns = (60_000_000, 1_500_000_000)
    swarm.run()
    assert all(agent.chunks == set(CHUNKS) for agent in swarm.agents), summarize(swarm)
    assert swarm.store_chunks <= 1.5 * len(CHUNKS)


def test_an_unreachable_store_fails_all_loads_in_time() -> None:
    swarm = start_loads(4)
    swarm.store_outage_ns = (0, 1 << 62)
    swarm.run(13_000)
    failures = {failure for agent in swarm.agents for failure in agent.failures}
    assert failures == {Failure.STORE_AWAY}
    assert all(agent.failures for agent in swarm.agents)


def test_wrong_bytes_from_the_store_fail_loads_and_are_never_cached() -> None:
    swarm = start_loads(8)
    swarm.store_corrupt = {CHUNKS[7]}
    swarm.run()
    for agent in swarm.agents:
        assert agent.chunks == set(CHUNKS) - {CHUNKS[7]}
        assert agent.failures in ([Failure.CORRUPT], [Failure.MISSING])
    assert any(agent.failures == [Failure.CORRUPT] for agent in swarm.agents)


def test_a_small_store_is_not_overloaded() -> None:
    swarm = start_loads(32, full_speed_requests=4, request_limit=8)
    swarm.run()
    assert all(agent.chunks == set(CHUNKS) for agent in swarm.agents), summarize(swarm)
    assert swarm.peak_requests <= 8
    assert swarm.store_rejections < 2 * len(CHUNKS)


def test_downloads_without_waiters_end() -> None:
    swarm = Swarm(1, full_speed_requests=1, request_limit=1)
    agent = swarm.agents[0]
    downloads = [agent.fetch_chunk(digest, 10**12, lambda _: None) for digest in CHUNKS]
    swarm.run(200)
    for download in downloads:
        agent.chooser.remove_waiter(download)
    swarm.run()
    assert swarm.store_chunks < 15
    assert not agent.chooser.downloads


def test_concurrent_loads_of_one_image_share_downloads() -> None:
    swarm = Swarm(1)
    for _ in range(3):
        swarm.agents[0].load_chunks(CHUNKS)
    swarm.run()
    assert swarm.store_chunks == len(CHUNKS)


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10**6), st.integers(2, 12), st.sets(st.integers(0, 11), max_size=4), st.integers(0, 2))
def test_loads_of_healthy_agents_complete_whichever_others_fail(
    seed: int, count: int, failed_workers: set[int], fault: int
) -> None:
    swarm = Swarm(count, seed=seed)
    for worker_id in failed_workers:
        if worker_id < count:
            setattr(swarm.agents[worker_id], ("is_down", "sends_wrong_chunks", "is_stalled")[fault], True)
    healthy = [agent for agent in swarm.agents if agent.worker_id not in failed_workers]
    for agent in healthy:
        agent.load_chunks(CHUNKS[:20])
    swarm.run()
    for agent in healthy:
        assert agent.chunks == set(CHUNKS[:20])
        assert agent.chooser.sending == agent.chooser.store_in_flight == 0
        assert all(peer.in_flight == 0 for peer in agent.chooser.peers.values())


def test_the_layers_commands_pack_verify_and_compare_images(tmp_path: Path) -> None:
    file = tmp_path / "weights"
    file.write_bytes(random_bytes(1, 100_000))
    layout = str(tmp_path / "layout")

    def run_command(*arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(commands, ["layers", arguments[0], layout, *arguments[1:]])
        return result.exit_code, result.output.strip()

    assert run_command("pack", "m:1", str(file), "--average-kb", "4")[0] == 0
    file.write_bytes(random_bytes(1, 100_000)[:-1])
    assert run_command("pack", "m:2", str(file), "--average-kb", "4")[0] == 0
    assert run_command("verify", "m:2")[1].endswith("99999 bytes")
    code, text = run_command("diff", "m:1", "m:2")
    assert (code, float(text.split("(")[1].rstrip("%)")) < 25) == (0, True)
    assert run_command("verify", "m:3") == (1, f"m:3: no manifest of that name in {layout}")
