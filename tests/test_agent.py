"""Agents of several boxes on sockets around a vault: bytes are counted on the vault's side."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from time import monotonic_ns
from typing import Any

import anyio
import msgspec
import pytest

from martenlead.days.run import free_port
from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.events.server import Reply, listen
from martenlead.layers.agent import Agent, LoadFailedError
from martenlead.layers.cache import Cache
from martenlead.layers.image import Cutting, Layout, pack
from martenlead.layers.settings import AgentSettings, EndpointListLink, Member, StoreAddress, hash_worker_name
from martenlead.standins.depot import Depot
from martenlead.standins.life import server
from martenlead.standins.roster import Roster
from martenlead.standins.settings import DepotPart, RosterPart
from support.virtual_time import VIRTUAL_TIME, follow_loop_time
from tests.test_layers import some_bytes

pytestmark = pytest.mark.anyio
virtual_time = pytest.mark.parametrize("anyio_backend", [VIRTUAL_TIME], ids=["virtual time"])


class Boxes:
    def __init__(self, folder: Path, **vault: Any) -> None:
        self.folder = folder
        self.layout = Layout(folder / "layout")
        self.depot = Depot(DepotPart(**{"layout": str(self.layout.folder), "mb_s": 20, **vault}))
        self.agents: list[Agent] = []
        self.ports: list[int] = []
        self.scopes: list[anyio.CancelScope] = []
        self.ends: list[anyio.Event] = []

    async def stop(self, n: int) -> None:
        """Ends a life of a box, and waits for what it saves at its end."""
        self.scopes[n].cancel()
        await self.ends[n].wait()

    def release(self, ref: str, data: bytes) -> int:
        """Makes an image; the bytes that its chunks take."""
        file = self.folder / "weights"
        file.write_bytes(data)
        pack(self.layout, ref, [file], Cutting("content", 8192))
        return self.size(ref)

    def size(self, ref: str) -> int:
        _, manifest = self.layout.manifest(ref)
        return sum(c.stored for layer in self.layout.layers(manifest) for c in layer.chunks)

    async def load_all(self, ref: str, within_ms: float = 8000) -> list[str]:
        """How each box's load ended."""
        told = [""] * len(self.agents)

        async def one(n: int, agent: Agent) -> None:
            try:
                await agent.load(ref, within_ms)
                told[n] = "loaded"
            except LoadFailedError as error:
                told[n] = error.failure

        async with anyio.create_task_group() as group:
            for n, agent in enumerate(self.agents):
                if not self.scopes[n].cancel_called:
                    group.start_soon(one, n, agent)
        return told


async def one_life(agent: Agent, listener: Any, scope: anyio.CancelScope, end: anyio.Event) -> None:
    with scope:
        await agent.run(listener)
    end.set()


@asynccontextmanager
async def boxes(
    folder: Path,
    count: int,
    known: bool = True,
    vault: dict[str, Any] | None = None,
    clock: Callable[[], int] = monotonic_ns,
    **settings: Any,
) -> AsyncIterator[Boxes]:
    """`known`: whether the boxes are told of each other."""
    made = Boxes(folder, **(vault or {}))
    async with anyio.create_task_group() as group:
        listener, vault_port = await listen("127.0.0.1", 0)
        group.start_soon(server(made.depot.handle).serve, listener)
        listeners = [await listen("127.0.0.1", 0) for _ in range(count)]
        members = [
            Member(worker_id=hash_worker_name(f"box-{n}"), port=port) for n, (_, port) in enumerate(listeners)
        ]
        made.ports = [port for _, port in listeners]
        for n, (own, _) in enumerate(listeners):
            told = AgentSettings(
                name=f"box-{n}",
                cache=str(folder / f"cache{n}"),
                artifact_store=StoreAddress(port=vault_port),
                **{"members": members if known else [], **settings},
            )
            cache = Cache(Path(told.cache), told.cache_bytes)
            agent = Agent(told, cache, clock)
            made.agents.append(agent)
            scope = anyio.CancelScope()
            made.scopes.append(scope)
            made.ends.append(anyio.Event())
            group.start_soon(one_life, agent, own, scope, made.ends[n])
        await anyio.sleep(0.02)
        yield made
        group.cancel_scope.cancel()
    for agent in made.agents:
        agent.cache.close()


async def test_cold_boxes_that_load_together_read_the_vault_about_once(tmp_path: Path) -> None:
    async with boxes(tmp_path, 8) as b:
        base = some_bytes(1, 400_000)
        size = b.release("m:1", base)
        assert await b.load_all("m:1") == ["loaded"] * 8
        assert b.depot.bytes <= 1.2 * size
        before = b.depot.bytes
        b.release("m:2", base[:100_000] + some_bytes(2, 20_000) + base[120_000:])
        assert await b.load_all("m:2") == ["loaded"] * 8
        assert b.depot.bytes - before <= 0.3 * size
        assert sum(agent.downloader.peer_bytes for agent in b.agents) >= 6 * size


async def test_uploads_stay_bound_and_end_with_their_takers(tmp_path: Path) -> None:
    async with boxes(tmp_path, 6, uploads=1) as b:
        b.release("m:1", some_bytes(1, 200_000))
        assert await b.load_all("m:1") == ["loaded"] * 6
        assert all(agent.chooser.sending == agent.parked == 0 for agent in b.agents)
        assert (
            sum(agent.sent_bytes for agent in b.agents)
            >= sum(agent.downloader.peer_bytes for agent in b.agents)
            > 0
        )


async def test_a_chunk_that_is_wrong_everywhere_is_named_and_never_kept(tmp_path: Path) -> None:
    async with boxes(tmp_path, 3) as b:
        b.release("m:1", some_bytes(1, 100_000))
        _, manifest = b.layout.manifest("m:1")
        bad = b.layout.layers(manifest)[0].chunks[3].digest
        b.depot.wrong = {bad}
        told = await b.load_all("m:1")
        assert set(told) <= {"corrupt", "vault-away"}
        assert "corrupt" in told
        assert all(bad not in agent.cache for agent in b.agents)
        b.depot.wrong = set()
        assert await b.load_all("m:1") == ["loaded"] * 3


async def test_a_dead_box_and_a_lying_box_cost_time_only(tmp_path: Path) -> None:
    async with boxes(tmp_path, 4) as b:
        b.release("m:1", some_bytes(1, 200_000))
        b.scopes[0].cancel()
        liar = b.agents[1]

        async def lie(digest: str, query: str) -> Any:
            from martenlead.events.server import Reply

            return Reply(200, [], bytes(int(query.partition("=")[2])))

        liar.serve = lie  # type: ignore[method-assign]
        await anyio.sleep(0.05)
        told = await b.load_all("m:1")
        assert told[1:] == ["loaded"] * 3
        assert any(agent.chooser.counts.wrong for agent in b.agents)
        for agent in b.agents[2:]:
            assert all(agent.cache.get(digest) is not None for digest in list(agent.cache))
            assert agent.cache.set_aside_count == 0


async def test_a_corrupt_chunk_on_the_own_disk_is_fetched_anew(tmp_path: Path) -> None:
    async with boxes(tmp_path, 2) as b:
        b.release("m:1", some_bytes(1, 60_000))
        await b.load_all("m:1")
        agent = b.agents[0]
        digest = next(iter(agent.cache))
        agent.cache.path(digest).write_bytes(b"rot")
        assert await b.load_all("m:1") == ["loaded"] * 2
        assert (agent.cache.set_aside_count, agent.cache.get(digest) is not None) == (1, True)


async def test_the_vault_stops_in_the_middle(tmp_path: Path) -> None:
    async with boxes(tmp_path, 4) as b:
        size = b.release("m:1", some_bytes(1, 400_000))

        async def stop() -> None:
            await anyio.sleep(0.03)
            b.depot.down_until = monotonic_ns() + 800_000_000

        async with anyio.create_task_group() as group:
            group.start_soon(stop)
            assert await b.load_all("m:1") == ["loaded"] * 4
        assert b.depot.bytes <= 1.5 * size


async def test_failures_have_their_names_in_time(tmp_path: Path) -> None:
    async with boxes(tmp_path, 1, cache_bytes=30_000) as b:
        b.release("m:1", some_bytes(1, 100_000))
        assert await b.load_all("m:1") == ["no-room"]
        assert await b.load_all("m:9") == ["missing"]
        b.depot.down_until = 1 << 62
        begun = monotonic_ns()
        assert await b.load_all("m:1", 300) == ["vault-away"]
        assert monotonic_ns() - begun < 2_000_000_000


@pytest.mark.parametrize(
    ("manifests", "blobs", "told"),
    [
        (500, 500, "vault-away"),
        (200, 500, "vault-away"),
        (503, 503, "late"),
        (200, 503, "late"),
        (0, 0, "late"),
    ],
)
@pytest.mark.parametrize("first", ["the load", "what it waits for"])
@virtual_time
async def test_a_load_is_told_at_its_deadline_whether_the_vault_failed(
    first: str, manifests: int, blobs: int, told: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """By the vault's last answer (0: none comes), whichever of the two notices the deadline first."""
    now, asks, real = 0, 0, Depot.handle

    async def handle(depot: Depot, message: http.Message, at: int) -> Reply:
        nonlocal now, asks
        status = manifests if b"/manifests/" in message.target else blobs
        if status == 200:
            return await real(depot, message, at)
        asks += 1
        if first != "the load" and asks == 2:
            now = 3_000_000_000  # behind the load's 2 s
        if status == 0:
            await anyio.sleep_forever()
        return Reply(status, [], close=True)

    monkeypatch.setattr(Depot, "handle", handle)
    async with boxes(tmp_path, 1) as b:
        b.release("m:1", some_bytes(1, 20_000))
        for part in (b.agents[0], b.agents[0].chooser, b.agents[0].names):
            part.clock = lambda: now  # type: ignore[attr-defined]
        assert await b.load_all("m:1", 300 if first == "the load" else 2000) == [told]


async def test_what_is_asked_wrongly_is_refused(tmp_path: Path) -> None:
    async with boxes(tmp_path, 1) as b:
        b.release("m:1", some_bytes(1, 20_000))
        listener, port = await listen("127.0.0.1", 0)
        async with anyio.create_task_group() as group:
            group.start_soon(server(b.agents[0].handle).serve, listener)
            pool = Pool("127.0.0.1", port)

            async def ask(method: bytes, target: bytes, body: bytes = b"") -> tuple[int, Any]:
                exchange = await pool.exchange(http.request(method, target, b"x", [], body))
                assert exchange.message is not None
                return exchange.message.status, exchange.message.body

            assert (await ask(b"GET", b"/chunks/../../etc?size=5"))[0] == 400
            assert (await ask(b"GET", b"/chunks/sha256:" + b"0" * 64))[0] == 400
            assert (await ask(b"GET", b"/chunks/sha256:" + b"0" * 64 + b"?size=5"))[0] == 404
            assert (await ask(b"POST", b"/load", b"[]"))[0] == 400
            status, body = await ask(b"POST", b"/load", b'{"ref": "m:1"}')
            assert (status, msgspec.json.decode(body)["size"]) == (200, 20_000)
            group.cancel_scope.cancel()


async def test_the_program_loads_for_its_runner_and_ends_when_told(tmp_path: Path) -> None:
    async with boxes(tmp_path, 1) as b:
        b.release("m:1", some_bytes(1, 20_000))
        vault = {"port": b.agents[0].artifact_store.port}
        config = tmp_path / "agent.json"
        config.write_bytes(msgspec.json.encode({"name": "x", "cache": str(tmp_path / "own"), "vault": vault}))
        command = [sys.executable, "-m", "martenlead", "layers", "agent", str(config)]
        process = await anyio.open_process(command, stderr=None)
        assert process.stdout is not None
        with anyio.fail_after(20):
            port = msgspec.json.decode(await process.stdout.receive())["ready"]["port"]
            exchange = await Pool("127.0.0.1", port).exchange(
                http.request(b"POST", b"/load", b"x", [], b'{"ref": "m:1"}')
            )
            assert exchange.message is not None
            assert exchange.message.status == 200
            second = await anyio.run_process(command, check=False)
            assert (second.returncode, second.stderr.count(b"\n")) == (2, 1)
            assert b"another agent uses it" in second.stderr
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0


@virtual_time
async def test_32_boxes_start_at_once_after_a_release_and_the_vault_stands(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Alone, the same boxes push the same vault over. In virtual time: a machine that gives this process no
    time makes each fetch last longer, and the vault falls of that alone."""
    clock = follow_loop_time(monkeypatch)
    vault = {"mb_s": 2, "pace": 4, "most": 100, "fall_multiple": 2, "fall_ms": 50, "down_ms": 200}
    ends = []
    for known in (True, False):
        folder = tmp_path / str(known)
        folder.mkdir()
        async with boxes(folder, 32, known, vault, clock, at_once=4) as b:
            size = b.release("m:1", some_bytes(1, 200_000))
            assert await b.load_all("m:1", 60_000) == ["loaded"] * 32
            ends.append((b.depot.stops > 0, b.depot.bytes <= 1.2 * size))
    assert ends == [(False, True), (True, False)]


async def test_short_broken_and_wrong_bodies_are_asked_for_again(tmp_path: Path) -> None:
    async with boxes(tmp_path, 3) as b:
        for number, kind in enumerate(("short", "cut", "wrong")):
            b.release(f"m:{number}", some_bytes(number, 100_000))
            b.depot.spoilt[kind] = 1.0

            async def cure(kind: str = kind) -> None:
                await anyio.sleep(0.05)
                b.depot.spoilt.pop(kind)

            async with anyio.create_task_group() as group:
                group.start_soon(cure)
                assert await b.load_all(f"m:{number}") == ["loaded"] * 3, kind
        for agent in b.agents:
            assert all(agent.cache.get(digest) is not None for digest in list(agent.cache))


async def test_a_manifest_replaced_as_its_chunks_are_fetched_is_begun_anew(tmp_path: Path) -> None:
    async with boxes(tmp_path, 2, vault={"mb_s": 1, "delay_ms": 5}, at_once=2) as b:
        b.release("m:1", some_bytes(1, 150_000))
        old, manifest = b.layout.manifest("m:1")
        chunks = [c.digest for layer in b.layout.layers(manifest) for c in layer.chunks]

        async def replace() -> None:
            await anyio.sleep(0.04)
            b.release("m:1", some_bytes(2, 150_000))
            for digest in chunks:  # and the vault drops what nothing names any more
                b.layout.path(digest).unlink()

        async with anyio.create_task_group() as group:
            group.start_soon(replace)
            loaded = await b.agents[0].load("m:1", 8000)
        new, _ = b.layout.manifest("m:1")
        assert loaded.digest == new.digest != old.digest
        assert (loaded.size_bytes, loaded.is_stale) == (150_000, False)


async def test_an_old_manifest_and_a_vault_that_is_away_do_not_take_a_box_back(tmp_path: Path) -> None:
    async with boxes(tmp_path, 1) as b:
        agent = b.agents[0]
        b.release("m", some_bytes(1, 50_000))
        b.release("m.r1", some_bytes(2, 60_000))
        assert (await agent.load("m", 5000)).size_bytes == 50_000
        b.depot.releases["m"] = 1
        assert (await agent.load("m", 5000)).size_bytes == 60_000
        b.depot.old = True
        told = await agent.load("m", 5000)
        assert (told.size_bytes, told.is_stale) == (60_000, True)
        b.depot.down_until = 1 << 62
        await b.stop(0)
        again = Agent(agent.settings, agent.cache)  # another life of it
        listener, _ = await listen("127.0.0.1", 0)
        async with anyio.create_task_group() as group:
            group.start_soon(again.run, listener)
            told = await again.load("m", 1000)
            group.cancel_scope.cancel()
        assert (told.size_bytes, told.is_stale) == (60_000, True)


async def test_the_roster_says_which_boxes_there_are_and_dead_ones_cost_time_only(tmp_path: Path) -> None:
    up = [{"id": f"box-{n}", "port": 1} for n in range(3)]
    dead = [{"id": f"dead-{n}", "port": 1, "layers": await free_port()} for n in range(2)]
    none = [{"id": "no-agent", "port": 1}]
    roster = Roster(RosterPart(lines=[]))
    async with anyio.create_task_group() as group:
        listener, port = await listen("127.0.0.1", 0)
        group.start_soon(server(roster.handle).serve, listener)
        async with boxes(tmp_path, 3, False, endpoint_list=EndpointListLink(port=port)) as b:
            for line, own in zip(up, b.ports, strict=True):
                line["layers"] = own
            roster.list.lines = {line["id"]: line for line in [*up, *dead, *none]}
            roster.list.version += 1
            roster.changed.set()
            with anyio.fail_after(5):
                while any(agent.chooser.worker_count < 5 for agent in b.agents):
                    await anyio.sleep(0.01)
            size = b.release("m:1", some_bytes(1, 150_000))
            assert await b.load_all("m:1") == ["loaded"] * 3
            assert b.depot.bytes <= 2.5 * size
            assert sum(agent.downloader.peer_bytes for agent in b.agents) > size / 2
            gone = {**dead[0], "state": "gone"}
            roster.list.lines.pop(dead[0]["id"])
            roster.list.version += 1
            roster.list.changes[roster.list.version] = gone
            roster.changed.set()
            with anyio.fail_after(5):
                while any(agent.chooser.worker_count > 4 for agent in b.agents):
                    await anyio.sleep(0.01)
        group.cancel_scope.cancel()


async def test_a_box_of_another_release_is_passed_over(tmp_path: Path) -> None:
    async with boxes(tmp_path, 3) as b:
        b.release("m:1", some_bytes(1, 100_000))
        answers = iter([Reply(404, [], b"no such path"), Reply(200, [], b'{"v": 0}'), Reply(426, [])] * 100)

        async def other(_digest: str, _query: str) -> Reply:
            return next(answers)

        b.agents[0].serve = other  # type: ignore[method-assign]
        assert await b.load_all("m:1") == ["loaded"] * 3
        assert all(agent.cache.set_aside_count == 0 for agent in b.agents)


async def test_a_load_whose_runner_left_gives_its_place_up(tmp_path: Path) -> None:
    async with boxes(tmp_path, 1, vault={"mb_s": 0.1}) as b:
        b.release("m:1", some_bytes(1, 400_000))
        agent, pool = b.agents[0], Pool("127.0.0.1", b.ports[0])
        with anyio.move_on_after(0.2):
            await pool.exchange(http.request(b"POST", b"/load", b"x", [], b'{"ref": "m:1"}'))
        with anyio.fail_after(10):
            while agent.chooser.downloads or agent.loading or b.depot.out:
                await anyio.sleep(0.01)
        assert b.depot.bytes < 200_000


async def test_more_loads_than_are_taken_are_refused_at_once(tmp_path: Path) -> None:
    async with boxes(tmp_path, 1, vault={"mb_s": 0.01}, loads=2) as b:
        b.release("m:1", some_bytes(1, 100_000))
        told = []

        async def ask() -> None:
            body = b'{"ref": "m:1", "within_ms": 700}'
            exchange = await Pool("127.0.0.1", b.ports[0]).exchange(
                http.request(b"POST", b"/load", b"x", [], body)
            )
            assert exchange.message is not None
            told.append(msgspec.json.decode(exchange.message.body)["failure"])

        async with anyio.create_task_group() as group:
            for _ in range(4):
                group.start_soon(ask)
        assert sorted(told) == ["busy", "busy", "late", "late"]


async def test_files_are_put_together_for_the_runner_and_checked_whole(tmp_path: Path) -> None:
    async with boxes(tmp_path, 1, files=str(tmp_path / "files")) as b:
        data = some_bytes(1, 90_000)
        b.release("m:1", data)
        agent = b.agents[0]
        await agent.load("m:1", 5000, "one")
        assert (tmp_path / "files" / "one" / "weights").read_bytes() == data
        digest = next(iter(agent.cache))
        agent.cache.path(digest).write_bytes(b"rot")  # found, fetched anew, and put together all the same
        await agent.load("m:1", 5000, "two")
        assert (tmp_path / "files" / "two" / "weights").read_bytes() == data
        (tmp_path / "files" / "three").write_text("in the way")
        with pytest.raises(LoadFailedError, match=r"no-room: .*three"):
            await agent.load("m:1", 5000, "three")
        assert not list(tmp_path.rglob(".*.new"))
        body = b'{"ref": "m:1", "into": "../out"}'
        exchange = await Pool("127.0.0.1", b.ports[0]).exchange(
            http.request(b"POST", b"/load", b"x", [], body)
        )
        assert exchange.message is not None
        assert exchange.message.status == 400


async def test_a_full_disk_is_a_failure_of_that_name_and_passes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with boxes(tmp_path, 2) as b:
        b.release("m:1", some_bytes(1, 100_000))
        real = os.replace
        monkeypatch.setattr(os, "replace", full_disk)
        assert await b.load_all("m:1") == ["no-room"] * 2
        monkeypatch.setattr(os, "replace", real)
        assert await b.load_all("m:1") == ["loaded"] * 2


def full_disk(*_: object) -> None:
    raise OSError(28, "No space left on device")


async def test_at_the_end_an_upload_that_is_out_is_finished(tmp_path: Path) -> None:
    async with boxes(tmp_path, 1) as b:
        b.release("m:1", some_bytes(1, 3_000_000))
        agent = b.agents[0]
        assert await b.load_all("m:1") == ["loaded"]
        _, manifest = b.layout.manifest("m:1")
        listed = b.layout.layers(manifest)[0].chunks[0]
        stream = await anyio.connect_tcp("127.0.0.1", b.ports[0])
        target = f"/chunks/{listed.digest}?size={listed.stored}".encode()
        await stream.send(http.request(b"GET", target, b"x", []))
        got = await stream.receive(100)
        async with anyio.create_task_group() as group:
            group.start_soon(agent.drain)
            await anyio.sleep(0.01)
            with pytest.raises(OSError):
                await anyio.connect_tcp("127.0.0.1", b.ports[0])
            while not got.endswith(b"\r\n0\r\n\r\n"):
                got += await stream.receive()
        assert len(got) > listed.stored
        assert not agent.server.connections
