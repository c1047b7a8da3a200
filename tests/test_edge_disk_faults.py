"""An edge on a failing disk: it serves requests, and saves its knowledge and its endpoint list later."""

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
from support.fleet import after_delay, respond_ok, run_edge, until
from tests.disk_fault_rig import QUICK, NoRetry, each_errno


@pytest.mark.anyio
@each_errno
async def test_an_edge_saves_its_knowledge_once_its_folder_works_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, code: int
) -> None:
    """The folder fails from before the start, and again later; requests are answered all the time."""
    monkeypatch.setattr("martenlead.edge.knowledge_saver.Backoff", QUICK)
    state_settings = DurableStateSettings(folder=str(tmp_path), every_ms=5)
    disk = DiskFaults(tmp_path, Random(1))
    with capture_logs() as logs, disk():
        async with run_edge({"a": [after_delay(5, respond_ok)]}) as rig:
            disk.fail(code, 1)
            saver = KnowledgeSaver(rig.settings, state_settings)
            assert saver.store is None
            rig.task_group.start_soon(saver.run, rig.dispatcher)
            counts = rig.dispatcher.counts
            for _ in range(3):
                assert (await rig.call())[0] == 200
            await until(lambda: counts["state_save_failed", "knowledge"] > 3)
            disk.heal()
            await until(lambda: counts["state_saved", "knowledge"] >= 2)
            disk.fail(code, 1)
            await until(lambda: saver.health.is_failing)
            assert (await rig.call())[0] == 200
            disk.heal()
            await until(lambda: counts["state_save_recovered", "knowledge"] == 2)
            assert (await rig.call())[0] == 200
            assert "state_saved/knowledge" in report_status(rig.dispatcher).counts
        disk.crash()
        store = StateStore(StateFolder(tmp_path / "edge"), state_settings.deployment, lambda: 1)
        state = store.read(KNOWLEDGE)
        assert state is not None and state.value["models"]
    events = [line["event"] for line in logs if line["event"].startswith("state_")]
    assert events == ["state_save_failed", "state_save_recovered"] * 2


@pytest.mark.anyio
async def test_knowledge_unreadable_at_the_start_is_restored_later_and_not_overwritten(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against saving new knowledge over that of an earlier run that could not be read yet."""
    monkeypatch.setattr("martenlead.edge.knowledge_saver.Backoff", QUICK)
    state_settings = DurableStateSettings(folder=str(tmp_path), every_ms=5)
    async with run_edge({"a": [after_delay(5, respond_ok)]}) as rig:
        saver = KnowledgeSaver(rig.settings, state_settings)
        rig.task_group.start_soon(saver.run, rig.dispatcher)
        for _ in range(5):
            assert (await rig.call())[0] == 200
        await until(
            lambda: saver.last_gathered and saver.last_gathered[1].functions and saver.counts["saved"] > 2
        )
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        async with run_edge({"a": [after_delay(5, respond_ok)]}) as rig:
            disk.fail(errno.EIO, 1)
            saver = KnowledgeSaver(rig.settings, state_settings)
            assert saver.store is None and saver.earlier_knowledge is None
            with capture_logs() as logs:
                rig.task_group.start_soon(saver.run, rig.dispatcher)
                await until(lambda: saver.counts["failed"] > 3)
                disk.heal()
                await until(lambda: saver.counts["saved"])
            assert [line["functions"] for line in logs if line["event"] == "knowledge_restored"] == [1]


@pytest.mark.anyio
async def test_a_short_run_without_its_folder_overwrites_nothing_at_its_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What an earlier run has learnt is worth more than what this one could learn."""
    monkeypatch.setattr("martenlead.edge.knowledge_saver.Backoff", NoRetry)
    state_settings = DurableStateSettings(folder=str(tmp_path))
    earlier = StateStore(StateFolder(tmp_path / "edge"), state_settings.deployment, lambda: 1)
    earlier.write(KNOWLEDGE, {"models": "earlier"})
    earlier.close()
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        async with run_edge({"a": [after_delay(5, respond_ok)]}) as rig:
            disk.fail(errno.EIO, 1)
            saver = KnowledgeSaver(rig.settings, state_settings)
            rig.task_group.start_soon(saver.run, rig.dispatcher)
            assert (await rig.call())[0] == 200
            disk.heal()
        state = StateStore(StateFolder(tmp_path / "edge"), state_settings.deployment, lambda: 1).read(
            KNOWLEDGE
        )
        assert state is not None and (state.value, state.generation) == ({"models": "earlier"}, 1)


@pytest.mark.anyio
async def test_an_edge_caches_the_newest_endpoint_list_once_its_disk_works_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disk is full from the start; the list is used meanwhile, and survives a crash once saved."""
    monkeypatch.setattr("martenlead.edge.http_membership.Backoff", QUICK)
    path = tmp_path / "list"
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        async with run_edge() as rig:
            disk.fail(errno.ENOSPC, 1)
            second = create_dispatcher(
                msgspec.structs.replace(
                    rig.settings,
                    endpoint_list=msgspec.structs.replace(rig.settings.endpoint_list, kept=str(path)),
                )
            )
            rig.task_group.start_soon(second.run)
            await until(lambda: second.counts["state_save_failed", "list"] > 2)
            assert second.snapshot_received.is_set()
            disk.heal()
            await until(lambda: second.counts["state_save_recovered", "list"] == 1)
            disk.crash()
            found = endpoints.load_cached_endpoints(path)
            assert found is not None and [endpoint.id for endpoint in found.endpoints] == ["a", "b"]


@pytest.mark.anyio
async def test_a_cached_endpoint_list_unreadable_at_the_start_is_read_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Discovery cannot be reached, so without the cached list the edge has no workers."""
    monkeypatch.setattr("martenlead.edge.http_membership.Backoff", QUICK)
    path = tmp_path / "list"
    endpoints.save_cached_endpoints(
        path, endpoints.CachedEndpoints(3, 0.0, [endpoints.Endpoint(id="a", port=1, memory_mb=1.0)])
    )
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        async with run_edge() as rig:
            disk.fail(errno.EIO, 1)
            unreachable = msgspec.structs.replace(rig.settings.endpoint_list, port=1, kept=str(path))
            second = create_dispatcher(msgspec.structs.replace(rig.settings, endpoint_list=unreachable))
            rig.task_group.start_soon(second.run)
            await until(lambda: len(disk.calls) > 5)
            assert not second.snapshot_received.is_set()
            disk.heal()
            await until(second.snapshot_received.is_set)
            assert [endpoint.id for endpoint in second.endpoint_list.endpoints.values()] == ["a"]
            assert len(report_status(second).workers) == 1
