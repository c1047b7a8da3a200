"""An agent on a failing disk: names are saved by a retry, and the cache raises only `CacheFullError`."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from random import Random
from typing import Any

import anyio
import msgspec
import pytest
from structlog.testing import capture_logs

from martenlead.layers.agent import Agent
from martenlead.layers.cache import Cache, CacheFullError
from martenlead.layers.image import digest_of
from martenlead.layers.naming import Release
from martenlead.layers.settings import AgentSettings, StoreAddress
from support.disk_faults import DiskFaults
from support.fleet import until
from tests.disk_fault_rig import QUICK, each_errno
from tests.test_agent import random_bytes, run_agents

POWER_CUTS = 30  # each loses another part of the unsynced data


@pytest.mark.anyio
async def test_saved_names_survive_a_failing_disk(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("martenlead.layers.name_resolver.Backoff", QUICK)
    settings = AgentSettings(name="box", cache=str(tmp_path), artifact_store=StoreAddress(port=1))
    cache = Cache(tmp_path, 1000)
    path = tmp_path / "names.json"
    path.write_bytes(msgspec.json.encode({"away": Release("1"), "here": Release("2")}))
    disk = DiskFaults(tmp_path, Random(1))
    with capture_logs() as logs, disk():
        disk.fail(errno.EIO, 1)
        agent = Agent(settings, cache)
        agent.names.known["here"] = Release("3")
        async with anyio.create_task_group() as group:
            group.start_soon(agent.resolver.saver.run)
            agent.resolver.saver.changed()
            await until(lambda: agent.resolver.saves["state_save_failed"] > 2)
            disk.heal()
            await until(lambda: agent.resolver.saves["state_saved"])
            group.cancel_scope.cancel()
        disk.crash()
        assert agent.status().saves["state_save_recovered"] == 1
        known = msgspec.json.decode(path.read_bytes(), type=dict[str, Release])
        assert known == {"away": Release("1"), "here": Release("3")}
    events = [line["event"] for line in logs]
    assert events == ["names_unread", "state_save_failed", "state_save_recovered"]
    cache.close()


@pytest.mark.anyio
async def test_an_assembled_file_is_complete_or_missing_after_a_power_cut(tmp_path: Path) -> None:
    """Guards against a file with wrong content, which a worker would read unchecked."""
    files = tmp_path / "files"
    files.mkdir()
    data = random_bytes(1, 90_000)
    async with run_agents(tmp_path, 1, files=str(files)) as fleet:
        fleet.publish("m:1", data)
        for seed in range(POWER_CUTS):
            disk = DiskFaults(files, Random(seed))
            with disk():
                await fleet.agents[0].load("m:1", 5000, f"life-{seed}")
                disk.crash()
            path = files / f"life-{seed}" / "weights"
            assert not path.exists() or path.read_bytes() == data, seed


@each_errno
def test_a_disk_failure_at_any_cache_call_raises_only_cache_full_error(tmp_path: Path, code: int) -> None:
    """Otherwise a chunk is missing; on a repaired disk earlier chunks are there and writes succeed."""
    old, new = b"o" * 300, b"n" * 300
    for call_number in range(1, 12):
        root = tmp_path / str(call_number)
        cache = Cache(root, 700)
        cache.put(digest_of(old), old)
        disk = DiskFaults(root, Random(call_number))
        with disk():
            disk.fail(code, call_number, 2)
            for data in (new, b"x" * 300, b"y" * 300):  # the last ones evict
                try:
                    cache.put(digest_of(data), data)
                except CacheFullError:
                    continue
                assert cache.get(digest_of(data)) in (data, None)
            disk.heal()
            cache.put(digest_of(old), old)
            assert cache.get(digest_of(old)) == old
            assert cache.size_bytes <= 700
            on_disk = sum(p.stat().st_size for p in (root / "chunks").rglob("*") if p.is_file())
            assert on_disk <= 700 + 300  # room for one temporary file
        cache.close()
        reopened = Cache(root, 700)
        assert reopened.get(digest_of(old)) == old
        reopened.close()


def test_a_chunk_is_returned_although_utime_fails(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_read_only(*_: Any, **_named: Any) -> None:
        raise OSError(errno.EROFS, "Read-only file system")

    data, further = b"d" * 300, b"e" * 300
    cache = Cache(tmp_path, 1000)
    cache.put(digest_of(data), data)
    monkeypatch.setattr(os, "utime", raise_read_only)
    assert cache.get(digest_of(data)) == data
    cache.put(digest_of(further), further)
    assert cache.get(digest_of(further)) == further
    cache.close()


def test_an_unreadable_chunk_is_not_set_aside(tmp_path: Path) -> None:
    data = b"d" * 300
    cache = Cache(tmp_path, 1000)
    cache.put(digest_of(data), data)
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        disk.fail(errno.EIO, 1, 1)
        assert cache.get(digest_of(data)) == data  # read again after the error
        disk.fail(errno.EIO, 1)
        assert cache.get(digest_of(data)) is None
        assert digest_of(data) not in cache
        disk.heal()
        assert (cache.set_aside_count, list((tmp_path / "aside").iterdir())) == (0, [])
        cache.put(digest_of(data), data)
        assert (cache.get(digest_of(data)), cache.size_bytes) == (data, 300)
    cache.close()
