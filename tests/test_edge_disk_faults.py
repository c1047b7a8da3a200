"""An edge on a failing disk: it serves requests, and saves its state and its list of endpoints later."""

from __future__ import annotations

import errno
from pathlib import Path
from random import Random

import msgspec
import pytest
from structlog.testing import capture_logs

from martenlead.config.edge import DurableStateSettings
from martenlead.durable_state.disk import StateFolder
from martenlead.durable_state.store import StateStore
from martenlead.edge.http_dispatcher import create_dispatcher
from martenlead.edge.knowledge_saver import KNOWLEDGE, KnowledgeSaver
from martenlead.edge.status_report import report_status
from martenlead.upstream import endpoints
from support.disk_faults import DiskFaults
from support.fleet import after, fleet, satisfied, until
from tests.disk_fault_rig import QUICK, NoRetry, each_errno


@pytest.mark.anyio
@each_errno
async def test_an_edge_keeps_what_it_knows_once_its_folder_is_well_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, code: int
) -> None:
    """The folder fails from before the start, and again later; requests are answered all the while."""
    monkeypatch.setattr("martenlead.edge.knowledge_saver.Backoff", QUICK)
    told = DurableStateSettings(folder=str(tmp_path), every_ms=5)
    disk = DiskFaults(tmp_path, Random(1))
    with capture_logs() as logs, disk():
        async with fleet({"a": [after(5, satisfied)]}) as f:
            disk.fail(code, 1)
            keeper = KnowledgeSaver(f.edge, told)
            assert keeper.store is None
            f.group.start_soon(keeper.run, f.dispatcher)
            counts = f.dispatcher.counts
            for _ in range(3):
                assert (await f.call())[0] == 200
            await until(lambda: counts["state_save_failed", "knowledge"] > 3)
            disk.heal()
            await until(lambda: counts["state_saved", "knowledge"] >= 2)
            disk.fail(code, 1)
            await until(lambda: keeper.health.is_failing)
            assert (await f.call())[0] == 200
            disk.heal()
            await until(lambda: counts["state_save_recovered", "knowledge"] == 2)
            assert (await f.call())[0] == 200
            assert "state_saved/knowledge" in report_status(f.dispatcher).counts
        disk.crash()
        store = StateStore(StateFolder(tmp_path / "edge"), told.deployment, lambda: 1)
        state = store.read(KNOWLEDGE)
        assert state is not None and state.value["models"]
    events = [line["event"] for line in logs if line["event"].startswith("state_")]
    assert events == ["state_save_failed", "state_save_recovered"] * 2


@pytest.mark.anyio
async def test_knowledge_that_cannot_be_read_at_the_start_is_taken_up_and_not_written_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("martenlead.edge.knowledge_saver.Backoff", QUICK)
    told = DurableStateSettings(folder=str(tmp_path), every_ms=5)
    async with fleet({"a": [after(5, satisfied)]}) as f:
        keeper = KnowledgeSaver(f.edge, told)
        f.group.start_soon(keeper.run, f.dispatcher)
        for _ in range(5):
            assert (await f.call())[0] == 200
        await until(
            lambda: keeper.last_gathered and keeper.last_gathered[1].functions and keeper.counts["saved"] > 2
        )
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        async with fleet({"a": [after(5, satisfied)]}) as f:
            disk.fail(errno.EIO, 1)
            keeper = KnowledgeSaver(f.edge, told)
            assert keeper.store is None and keeper.earlier_knowledge is None
            with capture_logs() as logs:
                f.group.start_soon(keeper.run, f.dispatcher)
                await until(lambda: keeper.counts["failed"] > 3)
                disk.heal()
                await until(lambda: keeper.counts["saved"])
            assert [line["functions"] for line in logs if line["event"] == "knowledge_restored"] == [1]


@pytest.mark.anyio
async def test_a_short_life_without_its_folder_writes_over_nothing_at_its_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What an earlier life knew is worth more than what this one could have learnt."""
    monkeypatch.setattr("martenlead.edge.knowledge_saver.Backoff", NoRetry)
    told = DurableStateSettings(folder=str(tmp_path))
    earlier = StateStore(StateFolder(tmp_path / "edge"), told.deployment, lambda: 1)
    earlier.write(KNOWLEDGE, {"models": "of then"})
    earlier.close()
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        async with fleet({"a": [after(5, satisfied)]}) as f:
            disk.fail(errno.EIO, 1)
            keeper = KnowledgeSaver(f.edge, told)
            f.group.start_soon(keeper.run, f.dispatcher)
            assert (await f.call())[0] == 200
            disk.heal()
        state = StateStore(StateFolder(tmp_path / "edge"), told.deployment, lambda: 1).read(KNOWLEDGE)
        assert state is not None and (state.value, state.generation) == ({"models": "of then"}, 1)


@pytest.mark.anyio
async def test_an_edge_keeps_the_newest_list_once_its_disk_is_well_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("martenlead.edge.http_membership.Backoff", QUICK)
    path = tmp_path / "list"
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        async with fleet() as f:
            disk.fail(errno.ENOSPC, 1)
            second = create_dispatcher(
                msgspec.structs.replace(
                    f.edge, endpoint_list=msgspec.structs.replace(f.edge.endpoint_list, kept=str(path))
                )
            )
            f.group.start_soon(second.run)
            await until(lambda: second.counts["state_save_failed", "list"] > 2)
            assert second.snapshot_received.is_set()
            disk.heal()
            await until(lambda: second.counts["state_save_recovered", "list"] == 1)
            disk.crash()
            found = endpoints.load_cached_endpoints(path)
            assert found is not None and [line.id for line in found.endpoints] == ["a", "b"]


@pytest.mark.anyio
async def test_a_kept_list_that_cannot_be_read_at_the_start_is_read_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The roster is away: an edge has that list or none."""
    monkeypatch.setattr("martenlead.edge.http_membership.Backoff", QUICK)
    path = tmp_path / "list"
    endpoints.save_cached_endpoints(
        path, endpoints.CachedEndpoints(3, 0.0, [endpoints.Endpoint(id="a", port=1, memory_mb=1.0)])
    )
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        async with fleet() as f:
            disk.fail(errno.EIO, 1)
            away = msgspec.structs.replace(f.edge.endpoint_list, port=1, kept=str(path))
            second = create_dispatcher(msgspec.structs.replace(f.edge, endpoint_list=away))
            f.group.start_soon(second.run)
            await until(lambda: len(disk.calls) > 5)
            assert not second.snapshot_received.is_set()
            disk.heal()
            await until(second.snapshot_received.is_set)
            assert [line.id for line in second.endpoint_list.endpoints.values()] == ["a"]
            assert len(report_status(second).workers) == 1
