"""A planner on a failing disk saves the newest state and never overwrites a file that it could not read."""

from __future__ import annotations

import errno
from pathlib import Path
from random import Random

import anyio
import msgspec
import pytest
from structlog.testing import capture_logs

from martenlead.planner.frames import RetainedReplica
from martenlead.planner.replica_store import SavedReplicas
from martenlead.planner.server import Planner
from martenlead.planner.settings import PlannerSettings
from martenlead.system.clocks import Moment
from support.disk_faults import DiskFaults
from support.fleet import until
from tests.disk_fault_rig import QUICK


@pytest.mark.anyio
async def test_an_unread_file_is_never_overwritten(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("martenlead.planner.replica_store.Backoff", QUICK)
    path = tmp_path / "kept"
    older = SavedReplicas(
        0.0,
        {
            "away": [RetainedReplica("r", "m", 1, 1.0, 5.0)],
            "here": [RetainedReplica("r", "old", 1, 1.0, 5.0)],
        },
    )
    path.write_bytes(msgspec.json.encode(older))
    disk = DiskFaults(tmp_path, Random(1))
    with capture_logs() as logs, disk():
        disk.fail(errno.EIO, 1)
        planner = Planner(PlannerSettings(state_path=str(path)), moment=lambda: Moment(10**9, "boot", 10**9))
        assert planner.store.saved.replicas_by_edge == {}
        planner.store.saved.replicas_by_edge["here"] = [RetainedReplica("r", "new", 1, 1.0, 0.0)]
        async with anyio.create_task_group() as group:
            group.start_soon(planner.store.saver.run)
            planner.store.saver.changed()
            await until(lambda: planner.store.save_counts["state_save_failed"] > 2)
            disk.heal()
            await until(lambda: planner.store.save_counts["state_saved"])
            group.cancel_scope.cancel()
        disk.crash()
        later = Planner(PlannerSettings(state_path=str(path)), moment=lambda: Moment(10**9, "boot", 10**9))
        assert later.store.saved.replicas_by_edge == {
            "away": [("r", "m", 1, 1.0, 1005.0)],
            "here": [RetainedReplica("r", "new", 1, 1.0, 0.0)],
        }
        assert planner.report_status().saves["state_save_recovered"] == 1
    events = [line["event"] for line in logs]
    assert events == ["state_unread", "state_save_failed", "state_save_recovered"]
