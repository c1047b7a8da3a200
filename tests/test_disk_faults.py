"""Whatever a disk does at whichever call of a save, an old or the new state is found whole, and the newest
one arrives once the disk is well again; a kill in between changes nothing of that."""

from __future__ import annotations

import errno
import os
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import anyio
import msgspec
import pytest
from structlog.testing import capture_logs

from martenlead.config.edge import DurableStateSettings
from martenlead.durable_state.disk import StateFolder
from martenlead.durable_state.store import (
    MAX_GENERATIONS,
    RETAINED_GENERATIONS,
    FolderInUseError,
    StateKind,
    StateStore,
)
from martenlead.edge.http_dispatcher import create_dispatcher
from martenlead.edge.knowledge_saver import KNOWLEDGE, KnowledgeSaver
from martenlead.edge.status_report import report_status
from martenlead.layers.agent import Agent, AgentSettings, Place
from martenlead.layers.cache import Cache, NoRoom
from martenlead.layers.image import digest_of
from martenlead.layers.naming import Release
from martenlead.planner.frames import RetainedReplica
from martenlead.planner.replica_store import SavedReplicas
from martenlead.planner.server import Planner
from martenlead.planner.settings import PlannerSettings
from martenlead.system.clocks import Moment
from martenlead.system.durable_file import Backoff, read_if_there, remove_leftovers, replace_file
from martenlead.system.state_saver import SaveHealth, StateSaver
from martenlead.upstream import endpoints
from support.disk_faults import ERRNOS, DiskFaults, Killed
from support.fleet import after, fleet, satisfied, until

THING = StateKind("thing")
QUICK = partial(Backoff, first_seconds=0.001, longest_seconds=0.004)


class NoRetry(Backoff):
    """Waits for longer than any test."""

    def next_seconds(self) -> float:
        return 3600.0


# -- what uses the folders: each saves a number, and finds one at its start


class Lasts:
    """`lasting`: generations in a folder."""

    def __init__(self, root: Path) -> None:
        self.store = StateStore(StateFolder(root / "edge"), "here", lambda: 1_000)
        state = self.store.read(THING)
        self.found = state.value if state is not None else None

    def save(self, number: int) -> None:
        self.store.write(THING, number)


class RosterList:
    def __init__(self, root: Path) -> None:
        self.path = root / "list"
        found = endpoints.load_cached_endpoints(self.path)
        self.found = found.version if found is not None else None

    def save(self, number: int) -> None:
        endpoints.save_cached_endpoints(
            self.path, endpoints.CachedEndpoints(number, 0.0, [endpoints.Endpoint(id="a" * 100)])
        )


class PlannerState:
    def __init__(self, root: Path) -> None:
        settings = PlannerSettings(state_path=str(root / "planner"))
        self.planner = Planner(settings, moment=lambda: Moment(0, "boot", 0))
        self.found = int(self.planner.store.saved.saved_unix_seconds) or None

    def save(self, number: int) -> None:
        self.planner.store.write_file(
            msgspec.json.encode(SavedReplicas(number, {"edge": [RetainedReplica("r", "m", 1, 1.0, 0.0)]}))
        )


class AgentNames:
    def __init__(self, root: Path) -> None:
        self.path = root / "names.json"
        data = read_if_there(self.path)
        known = msgspec.json.decode(data, type=dict[str, Release]) if data is not None else {}
        self.found = int(known["m"].digest) if "m" in known else None

    def save(self, number: int) -> None:
        replace_file(self.path, msgspec.json.encode({"m": Release(str(number))}))


USERS: dict[str, Callable[[Path], Any]] = {
    "lasting": Lasts,
    "roster": RosterList,
    "planner": PlannerState,
    "names": AgentNames,
}
each_user = pytest.mark.parametrize("user", list(USERS))
each_errno = pytest.mark.parametrize("code", ERRNOS, ids=[errno.errorcode[e] for e in ERRNOS])


def calls_of_a_save(tmp_path: Path, user: str) -> list[str]:
    """Counted on a disk that is well, for a second save."""
    disk = DiskFaults(tmp_path / "count", Random(0))
    disk.root.mkdir()
    with disk():
        using = USERS[user](disk.root)
        using.save(1)
        disk.heal()
        using.save(2)
        return list(disk.calls)


def begin(tmp_path: Path, user: str, name: str, chance: Random) -> DiskFaults:
    """A folder that holds the state 1, durable."""
    disk = DiskFaults(tmp_path / name, chance)
    disk.root.mkdir()
    using = USERS[user](disk.root)
    using.save(1)
    if isinstance(using, Lasts):
        using.store.close()
    return disk


def found(disk: DiskFaults, user: str) -> Any:
    return USERS[user](disk.root).found


def temporary_files(root: Path) -> list[Path]:
    return [path for path in root.rglob("*") if path.name.endswith((".new", ".part"))]


def is_saved(using: Any, number: int) -> bool:
    try:
        using.save(number)
    except OSError:
        return False
    return True


@each_user
def test_a_save_makes_its_calls_in_the_order_that_makes_it_durable(tmp_path: Path, user: str) -> None:
    calls = [c for c in calls_of_a_save(tmp_path, user) if c not in ("scandir", "unlink")]
    assert calls == ["open", "write", "fsync", "rename", "open", "fsync_folder"]


@each_user
@each_errno
@pytest.mark.parametrize("for_calls", (1, 3), ids=("once", "for a while"))
def test_a_disk_that_fails_at_any_call_then_a_kill_leaves_old_or_new(
    tmp_path: Path, user: str, code: int, for_calls: int
) -> None:
    """And what was reported as saved is there; after the kill the newest state arrives as well."""
    for k in range(1, len(calls_of_a_save(tmp_path, user)) + 1):
        for seed in range(6):
            disk = begin(tmp_path, user, f"{k}-{seed}", Random(seed))
            with disk():
                using = USERS[user](disk.root)
                disk.fail(code, k, for_calls)
                saved = is_saved(using, 2)
                disk.crash()
                at = found(disk, user)
                assert at in ((2,) if saved else (1, 2)), (k, seed, saved, at)
                disk.crash()
                USERS[user](disk.root).save(3)
                disk.crash()
                assert found(disk, user) == 3, (k, seed)


@each_user
@each_errno
def test_a_disk_that_fails_at_every_kth_call_then_a_kill_leaves_what_was_saved_or_newer(
    tmp_path: Path, user: str, code: int
) -> None:
    for k in range(1, len(calls_of_a_save(tmp_path, user)) + 4):
        for seed in range(4):
            disk = begin(tmp_path, user, f"{k}-{seed}", Random(seed))
            with disk():
                using = USERS[user](disk.root)
                disk.fail_every(code, k)
                last = 1
                for number in range(2, 8):
                    last = number if is_saved(using, number) else last
                disk.crash()
                assert last <= found(disk, user) <= 7, (k, seed)
                disk.crash()
                USERS[user](disk.root).save(8)
                disk.crash()
                assert found(disk, user) == 8, (k, seed)


@each_user
@each_errno
def test_a_save_that_failed_is_durable_once_a_later_one_succeeds(
    tmp_path: Path, user: str, code: int
) -> None:
    """In the same life, at the same names: a sync that failed is not taken for done by the next attempt."""
    for k in range(1, len(calls_of_a_save(tmp_path, user)) + 1):
        for seed in range(6):
            disk = begin(tmp_path, user, f"{k}-{seed}", Random(seed))
            with disk():
                using = USERS[user](disk.root)
                disk.fail(code, k, 1)
                is_saved(using, 2)
                disk.heal()
                assert temporary_files(disk.root) == []
                using.save(3)
                assert temporary_files(disk.root) == []
                disk.crash()
                assert found(disk, user) == 3, (k, seed)


@each_user
def test_a_kill_at_any_call_leaves_old_or_new(tmp_path: Path, user: str) -> None:
    seen = set()
    for k in range(1, len(calls_of_a_save(tmp_path, user)) + 1):
        for seed in range(20):
            disk = begin(tmp_path, user, f"{k}-{seed}", Random(seed))
            with disk():
                using = USERS[user](disk.root)
                disk.kill(k)
                with pytest.raises(Killed):
                    using.save(2)
                disk.crash()
                at = found(disk, user)
                assert at in (1, 2), (k, seed, at)
                seen.add(at)
                disk.crash()
                USERS[user](disk.root).save(3)
                disk.crash()
                assert found(disk, user) == 3, (k, seed)
    assert seen == {1, 2}


@each_user
def test_writes_that_take_one_byte_write_all(tmp_path: Path, user: str) -> None:
    disk = begin(tmp_path, user, "folder", Random(1))
    with disk():
        using = USERS[user](disk.root)
        disk.write_one_byte(1)
        using.save(2)
        assert disk.calls.count("write") > 20
        disk.crash()
        assert found(disk, user) == 2


@each_user
def test_a_save_without_its_syncs_is_found_out(
    tmp_path: Path, user: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The tests before can fail."""
    lost = 0
    for seed in range(40):
        disk = begin(tmp_path, user, str(seed), Random(seed))
        with disk():
            monkeypatch.setattr(os, "fsync", lambda _: None)
            try:
                USERS[user](disk.root).save(2)
                disk.crash()
                lost += found(disk, user) != 2
            except (msgspec.DecodeError, ValueError):
                lost += 1
            monkeypatch.undo()
    assert lost > 5


def test_temporary_files_of_processes_that_are_gone_are_removed(tmp_path: Path) -> None:
    path = tmp_path / "list"
    for process in (1 << 30, (1 << 30) + 1):
        (tmp_path / f"list.{process}.new").write_bytes(b"half")
    ours = [f"list.{os.getppid()}.new", "list.x.new", "other.1073741824.new"]
    for name in ours:
        (tmp_path / name).write_bytes(b"another's")
    remove_leftovers(path)
    assert sorted(p.name for p in tmp_path.iterdir()) == sorted(ours)


# -- the store


def test_a_store_that_could_not_be_opened_can_be_opened_later_in_the_same_process(tmp_path: Path) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        store = StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1)
        store.write(THING, 1)
        store.close()
        disk.heal()
        StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1).close()
        for k in range(1, len(disk.calls) + 1):
            disk.fail(errno.EIO, k)
            with_error = None
            try:
                StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1).close()
            except OSError as error:
                with_error = error
            disk.heal()
            again = StateStore(
                StateFolder(tmp_path / "edge"), "here", lambda: 1
            )  # InUse, were the lock still held
            state = again.read(THING)
            assert state is not None and state.value == 1, (k, with_error)
            again.close()


def test_a_disk_that_takes_nothing_still_gives_what_was_kept(tmp_path: Path) -> None:
    first = StateStore(StateFolder(tmp_path), "here", lambda: 1)
    first.write(THING, "kept")
    first.close()

    def read_only(path: Any, flags: int, *rest: Any, real: Any = os.open) -> int:
        if flags & os.O_ACCMODE != os.O_RDONLY:
            raise OSError(errno.EROFS, "Read-only file system")
        return int(real(path, flags, *rest))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(os, "open", read_only)
        second = StateStore(StateFolder(tmp_path), "here", lambda: 1)
        state = second.read(THING)
        assert (state.value if state else None, second.epoch) == ("kept", 0)
        with pytest.raises(OSError, match="Read-only"):
            second.write(THING, "new")
        with pytest.raises(FolderInUseError):
            StateStore(StateFolder(tmp_path), "here", lambda: 1)
    assert second.write(THING, "new") == 2
    assert second.epoch == 2  # counted anew, with the first write that could be made


def test_an_epoch_that_is_not_durable_is_not_given(tmp_path: Path) -> None:
    """Each epoch that was given is given once, whatever the disk does while it is counted."""
    given: Counter[int] = Counter()
    for seed in range(120):
        chance = Random(seed)
        root = tmp_path / str(seed // 12)
        root.mkdir(exist_ok=True)
        if seed % 12 == 0:
            given.clear()
        disk = DiskFaults(root, chance)
        with disk():
            disk.fail(chance.choice(ERRNOS), 1 + chance.randrange(14), 1 + chance.randrange(4))
            try:
                epoch = StateStore(StateFolder(root / "edge"), "here", lambda: 1).epoch
            except OSError:
                epoch = 0
            disk.crash()
        given[epoch] += bool(epoch)
        assert max(given.values(), default=0) <= 1, (seed, given)


def test_generations_that_cannot_be_removed_are_bounded(tmp_path: Path) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        store = StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1)
        store.write(THING, 0)
        disk.fail(errno.EIO, 1, only="unlink")
        written = 0
        with pytest.raises(OSError, match="cannot be removed"):
            for n in range(1, 100):
                store.write(THING, n)
                written = n
        state = store.read(THING)
        assert state is not None and state.value == written > 5
        files = list(tmp_path.rglob("thing.*.state"))
        assert len(files) == MAX_GENERATIONS
        disk.heal()
        store.write(THING, "newest")
        assert len(list(tmp_path.rglob("thing.*.state"))) == RETAINED_GENERATIONS


def test_a_write_cut_short_that_cannot_be_removed_stops_no_start(tmp_path: Path) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    (tmp_path / "thing.part").write_bytes(b"half")
    with disk():
        disk.fail(errno.EIO, 1, only="unlink")
        store = StateStore(StateFolder(tmp_path), "here", lambda: 1)
        assert store.write(THING, "new") == 1
        assert temporary_files(tmp_path) == []  # written over, and renamed


def test_a_read_that_fails_for_a_moment_costs_no_generation(tmp_path: Path) -> None:
    store = StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1)
    store.write(THING, "old")
    store.write(THING, "new")
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        disk.fail(errno.EIO, 1, 2, only="open")
        disk.fail(errno.EIO, 2, 2)  # the listing goes well, two openings fail
        state = store.read(THING)
        assert state is not None and state.value == "new"
        assert store.read_errors == 0


# -- health and waits


def test_waits_grow_are_drawn_in_full_and_are_the_same_for_a_seed() -> None:
    def waits(seed: int) -> list[float]:
        backoff = Backoff(Random(seed), first_seconds=1.0, longest_seconds=8.0)
        return [backoff.next_seconds() for _ in range(8)]

    assert waits(1) == waits(1) != waits(2)
    drawn = [waits(seed) for seed in range(300)]
    for n, bound in enumerate((1, 2, 4, 8, 8, 8)):
        column = [row[n] for row in drawn]
        assert max(column) <= bound and max(column) > 0.9 * bound and min(column) < 0.1 * bound
    backoff = Backoff(Random(1), 1.0, 8.0)
    for _ in range(5):
        backoff.next_seconds()
    backoff.reset()
    assert backoff.next_seconds() <= 1.0


def test_a_trouble_has_one_line_at_its_start_and_one_at_its_end() -> None:
    now = 0.0
    counts: Counter[tuple[str, str]] = Counter()
    with capture_logs() as logs:
        import structlog

        health = SaveHealth(
            "thing",
            structlog.get_logger(),
            QUICK(Random(1)),
            lambda: now,
            lambda e, s: counts.update([(e, s)]),
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
    assert (logs[0]["why"], logs[1]["failures"], logs[1]["seconds"]) == ("error 0", 5, 10.0)
    assert counts == {
        ("state_saved", "thing"): 3,
        ("state_save_failed", "thing"): 5,
        ("state_save_recovered", "thing"): 1,
    }
    assert (health.saved, health.failed, health.recovered) == (3, 5, 1)


# -- the programs


@pytest.mark.anyio
async def test_the_newest_value_is_saved_once_the_disk_is_well(tmp_path: Path) -> None:
    import structlog

    disk = DiskFaults(tmp_path, Random(1))
    path, value = tmp_path / "file", b"1"

    def has_arrived() -> bool:
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
                await until(has_arrived)
            group.cancel_scope.cancel()
    events = [line["event"] for line in logs]
    assert events == ["state_save_failed", "state_save_recovered"] * len(ERRNOS)


@pytest.mark.anyio
async def test_what_is_not_saved_at_the_end_is_tried_once_more(tmp_path: Path) -> None:
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


@pytest.mark.anyio
async def test_a_planner_keeps_the_newest_and_never_writes_over_what_it_could_not_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
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
        again = Planner(PlannerSettings(state_path=str(path)), moment=lambda: Moment(10**9, "boot", 10**9))
        assert again.store.saved.replicas_by_edge == {
            "away": [("r", "m", 1, 1.0, 1005.0)],
            "here": [RetainedReplica("r", "new", 1, 1.0, 0.0)],
        }
        assert planner.report_status().saves["state_save_recovered"] == 1
    events = [line["event"] for line in logs]
    assert events == ["state_unread", "state_save_failed", "state_save_recovered"]


@pytest.mark.anyio
async def test_an_agent_keeps_names_and_never_writes_over_what_it_could_not_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("martenlead.layers.agent.Backoff", QUICK)
    settings = AgentSettings(name="box", cache=str(tmp_path), vault=Place(port=1))
    cache = Cache(tmp_path, 1000)
    path = tmp_path / "names.json"
    path.write_bytes(msgspec.json.encode({"away": Release("1"), "here": Release("2")}))
    disk = DiskFaults(tmp_path, Random(1))
    with capture_logs() as logs, disk():
        disk.fail(errno.EIO, 1)
        agent = Agent(settings, cache)
        agent.names.known["here"] = Release("3")
        async with anyio.create_task_group() as group:
            group.start_soon(agent.names_saver.run)
            agent.names_saver.changed()
            await until(lambda: agent.saves["state_save_failed"] > 2)
            disk.heal()
            await until(lambda: agent.saves["state_saved"])
            group.cancel_scope.cancel()
        disk.crash()
        assert agent.state()["saves"]["state_save_recovered"] == 1
        known = msgspec.json.decode(path.read_bytes(), type=dict[str, Release])
        assert known == {"away": Release("1"), "here": Release("3")}
    events = [line["event"] for line in logs]
    assert events == ["names_unread", "state_save_failed", "state_save_recovered"]
    cache.close()


# -- chunks


@each_errno
def test_a_disk_that_fails_at_any_call_of_the_cache_raises_no_other_error(tmp_path: Path, code: int) -> None:
    """`NoRoom`, or a chunk that is missing; with a disk that is well again all of it works, and what was
    there before is there."""
    old, new = b"o" * 300, b"n" * 300
    for k in range(1, 12):
        root = tmp_path / str(k)
        cache = Cache(root, 700)
        cache.put(digest_of(old), old)
        disk = DiskFaults(root, Random(k))
        with disk():
            disk.fail(code, k, 2)
            for data in (new, b"x" * 300, b"y" * 300):  # the last ones evict
                try:
                    cache.put(digest_of(data), data)
                except NoRoom:
                    continue
                assert cache.get(digest_of(data)) in (data, None)
            disk.heal()
            cache.put(digest_of(old), old)
            assert cache.get(digest_of(old)) == old
            assert cache.size <= 700
            on_disk = sum(p.stat().st_size for p in (root / "chunks").rglob("*") if p.is_file())
            assert on_disk <= 700 + 300  # a temporary file at most
        cache.close()
        again = Cache(root, 700)
        assert again.get(digest_of(old)) == old
        again.close()


def test_a_chunk_whose_use_cannot_be_written_down_is_given(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def read_only(*_: Any, **_named: Any) -> None:
        raise OSError(errno.EROFS, "Read-only file system")

    data, further = b"d" * 300, b"e" * 300
    cache = Cache(tmp_path, 1000)
    cache.put(digest_of(data), data)
    monkeypatch.setattr(os, "utime", read_only)
    assert cache.get(digest_of(data)) == data
    cache.put(digest_of(further), further)
    assert cache.get(digest_of(further)) == further
    cache.close()


def test_a_chunk_that_cannot_be_read_now_is_not_set_aside(tmp_path: Path) -> None:
    data = b"d" * 300
    cache = Cache(tmp_path, 1000)
    cache.put(digest_of(data), data)
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        disk.fail(errno.EIO, 1, 1)
        assert cache.get(digest_of(data)) == data  # once more
        disk.fail(errno.EIO, 1)
        assert cache.get(digest_of(data)) is None
        assert digest_of(data) not in cache
        disk.heal()
        assert (cache.set_aside, list((tmp_path / "aside").iterdir())) == (0, [])
        cache.put(digest_of(data), data)
        assert (cache.get(digest_of(data)), cache.size) == (data, 300)
    cache.close()
