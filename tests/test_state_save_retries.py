"""Failed saves are retried with backoff until the newest value is saved; their start and end are logged."""

from __future__ import annotations

import errno
from collections import Counter
from functools import partial
from pathlib import Path
from random import Random

import anyio
import pytest
from structlog.testing import capture_logs

from martenlead.system.durable_file import Backoff, replace_file
from martenlead.system.state_saver import SaveHealth, StateSaver
from support.disk_faults import ERRNOS, DiskFaults
from support.fleet import until
from tests.disk_fault_rig import QUICK, NoRetry


def test_backoff_delays_grow_have_full_jitter_and_are_the_same_for_a_seed() -> None:
    def draw_delays(seed: int) -> list[float]:
        """Returns the delays after eight failures in a row."""
        backoff = Backoff(Random(seed), first_seconds=1.0, longest_seconds=8.0)
        return [backoff.next_seconds() for _ in range(8)]

    assert draw_delays(1) == draw_delays(1) != draw_delays(2)
    delays_by_seed = [draw_delays(seed) for seed in range(300)]
    for failure, bound in enumerate((1, 2, 4, 8, 8, 8)):
        delays = [row[failure] for row in delays_by_seed]
        assert max(delays) <= bound and max(delays) > 0.9 * bound and min(delays) < 0.1 * bound
    backoff = Backoff(Random(1), 1.0, 8.0)
    for _ in range(5):
        backoff.next_seconds()
    backoff.reset()
    assert backoff.next_seconds() <= 1.0


def test_failures_in_a_row_log_one_line_at_their_start_and_one_at_their_end() -> None:
    now = 0.0
    counts: Counter[tuple[str, str]] = Counter()
    with capture_logs() as logs:
        import structlog

        health = SaveHealth(
            "thing",
            structlog.get_logger(),
            QUICK(Random(1)),
            lambda: now,
            lambda event, state: counts.update([(event, state)]),
        )
        health.success()
        for n in range(5):
            now = 10.0 + n
            health.failure(f"error {n}")
        assert health.is_failing
        now = 20.0
        health.success()
        health.success()
    assert [(line["event"], line["state"]) for line in logs] == [
        ("state_save_failed", "thing"),
        ("state_save_recovered", "thing"),
    ]
    assert (logs[0]["reason"], logs[1]["failures"], logs[1]["seconds"]) == ("error 0", 5, 10.0)
    assert counts == {
        ("state_saved", "thing"): 3,
        ("state_save_failed", "thing"): 5,
        ("state_save_recovered", "thing"): 1,
    }
    assert (health.saved, health.failed, health.recovered) == (3, 5, 1)


@pytest.mark.anyio
async def test_the_newest_value_is_saved_once_the_disk_has_recovered(tmp_path: Path) -> None:
    import structlog

    disk = DiskFaults(tmp_path, Random(1))
    path, value = tmp_path / "file", b"1"

    def is_saved() -> bool:
        """Whether the newest value is on the disk."""
        return not health.is_failing and path.read_bytes() == value

    with capture_logs() as logs, disk():
        health = SaveHealth("thing", structlog.get_logger(), QUICK(Random(1)))
        saver: StateSaver[bytes] = StateSaver(lambda: value, partial(replace_file, path), health)
        async with anyio.create_task_group() as group:
            group.start_soon(saver.run)
            for code in ERRNOS:
                disk.fail(code, 1)
                saver.changed()
                failures = health.failed
                await until(lambda failures=failures: health.failed > failures + 2)  # type: ignore[misc]
                value += b"1"
                saver.changed()
                disk.heal()
                await until(is_saved)
            group.cancel_scope.cancel()
    events = [line["event"] for line in logs]
    assert events == ["state_save_failed", "state_save_recovered"] * len(ERRNOS)


@pytest.mark.anyio
async def test_an_unsaved_value_is_tried_once_more_at_the_end(tmp_path: Path) -> None:
    import structlog

    disk = DiskFaults(tmp_path, Random(1))
    path = tmp_path / "file"
    with disk():
        health = SaveHealth("thing", structlog.get_logger(), NoRetry(Random(1)))
        saver: StateSaver[bytes] = StateSaver(lambda: b"last", partial(replace_file, path), health)
        async with anyio.create_task_group() as group:
            group.start_soon(saver.run)
            disk.fail(errno.EIO, 1)
            saver.changed()
            await until(lambda: health.is_failing)
            disk.heal()
            group.cancel_scope.cancel()
        disk.crash()
        assert path.read_bytes() == b"last"
