"""Agents of several workers on sockets with a store that counts the bytes it sends."""

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
from martenlead.standins.depot import ArtifactStore
from martenlead.standins.life import make_server
from martenlead.standins.roster import EndpointListServer
from martenlead.standins.settings import ArtifactStoreSettings, EndpointServerSettings
from support.virtual_time import VIRTUAL_TIME, follow_loop_time
from tests.test_layers import random_bytes

pytestmark = pytest.mark.anyio
virtual_time = pytest.mark.parametrize("anyio_backend", [VIRTUAL_TIME], ids=["virtual time"])


class AgentFleet:
    """Running agents, and the store with the images that `publish` packs."""

    def __init__(self, folder: Path, **store_options: Any) -> None:
        self.folder = folder
        self.layout = Layout(folder / "layout")
        self.store = ArtifactStore(
            ArtifactStoreSettings(**{"layout": str(self.layout.folder), "mb_s": 20, **store_options})
        )
        self.agents: list[Agent] = []
        self.ports: list[int] = []
        self.scopes: list[anyio.CancelScope] = []
        self.stopped: list[anyio.Event] = []

    async def stop_agent(self, index: int) -> None:
        """Stops an agent and waits until it has saved its state."""
        self.scopes[index].cancel()
        await self.stopped[index].wait()

    def publish(self, ref: str, data: bytes) -> int:
        """Packs an image and returns the stored size of its chunks in bytes."""
        file = self.folder / "weights"
        file.write_bytes(data)
        pack(self.layout, ref, [file], Cutting("content", 8192))
        return self.stored_bytes(ref)

    def stored_bytes(self, ref: str) -> int:
        """Returns the stored size of an image's chunks."""
        _, manifest = self.layout.manifest(ref)
        return sum(c.stored for layer in self.layout.layers(manifest) for c in layer.chunks)

    async def load_all(self, ref: str, within_ms: float = 8000) -> list[str]:
        """Loads an image on every running agent; returns `loaded` or the failure of each."""
        results = [""] * len(self.agents)

        async def load_one(index: int, agent: Agent) -> None:
            try:
                await agent.load(ref, within_ms)
                results[index] = "loaded"
            except LoadFailedError as error:
                results[index] = error.failure

        async with anyio.create_task_group() as group:
            for index, agent in enumerate(self.agents):
                if not self.scopes[index].cancel_called:
                    group.start_soon(load_one, index, agent)
        return results


async def run_agent(agent: Agent, listener: Any, scope: anyio.CancelScope, stopped: anyio.Event) -> None:
    """Runs an agent until its scope is cancelled, and then sets `stopped`."""
    with scope:
        await agent.run(listener)
    stopped.set()


@asynccontextmanager
async def run_agents(
    folder: Path,
    count: int,
    peers_known: bool = True,
    store_options: dict[str, Any] | None = None,
    clock: Callable[[], int] = monotonic_ns,
    **settings: Any,
) -> AsyncIterator[AgentFleet]:
    """Starts agents and a store. `peers_known`: whether the settings list all agents as members."""
    fleet = AgentFleet(folder, **(store_options or {}))
    async with anyio.create_task_group() as group:
        listener, store_port = await listen("127.0.0.1", 0)
        group.start_soon(make_server(fleet.store.handle).serve, listener)
        listeners = [await listen("127.0.0.1", 0) for _ in range(count)]
        members = [
            Member(worker_id=hash_worker_name(f"box-{i}"), port=port) for i, (_, port) in enumerate(listeners)
        ]
        fleet.ports = [port for _, port in listeners]
        for index, (agent_listener, _) in enumerate(listeners):
            agent_settings = AgentSettings(
                name=f"box-{index}",
                cache=str(folder / f"cache{index}"),
                artifact_store=StoreAddress(port=store_port),
                **{"members": members if peers_known else [], **settings},
            )
            cache = Cache(Path(agent_settings.cache), agent_settings.cache_bytes)
            agent = Agent(agent_settings, cache, clock)
            fleet.agents.append(agent)
            scope = anyio.CancelScope()
            fleet.scopes.append(scope)
            fleet.stopped.append(anyio.Event())
            group.start_soon(run_agent, agent, agent_listener, scope, fleet.stopped[index])
        await anyio.sleep(0.02)
        yield fleet
        group.cancel_scope.cancel()
    for agent in fleet.agents:
        agent.cache.close()


async def test_agents_that_load_together_read_the_store_about_once(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 8) as fleet:
        base = random_bytes(1, 400_000)
        size = fleet.publish("m:1", base)
        assert await fleet.load_all("m:1") == ["loaded"] * 8
        assert fleet.store.bytes_served <= 1.2 * size
        before = fleet.store.bytes_served
        fleet.publish("m:2", base[:100_000] + random_bytes(2, 20_000) + base[120_000:])
        assert await fleet.load_all("m:2") == ["loaded"] * 8
        assert fleet.store.bytes_served - before <= 0.3 * size
        assert sum(agent.downloader.peer_bytes for agent in fleet.agents) >= 6 * size


async def test_uploads_are_limited_and_end_with_their_receivers(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 6, uploads=1) as fleet:
        fleet.publish("m:1", random_bytes(1, 200_000))
        assert await fleet.load_all("m:1") == ["loaded"] * 6
        assert all(agent.chooser.sending == agent.parked == 0 for agent in fleet.agents)
        assert (
            sum(agent.sent_bytes for agent in fleet.agents)
            >= sum(agent.downloader.peer_bytes for agent in fleet.agents)
            > 0
        )


async def test_a_chunk_corrupt_in_the_store_fails_loads_and_is_never_cached(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 3) as fleet:
        fleet.publish("m:1", random_bytes(1, 100_000))
        _, manifest = fleet.layout.manifest("m:1")
        corrupt_digest = fleet.layout.layers(manifest)[0].chunks[3].digest
        fleet.store.corrupt_digests = {corrupt_digest}
        results = await fleet.load_all("m:1")
        assert set(results) <= {"corrupt", "vault-away"}
        assert "corrupt" in results
        assert all(corrupt_digest not in agent.cache for agent in fleet.agents)
        fleet.store.corrupt_digests = set()
        assert await fleet.load_all("m:1") == ["loaded"] * 3


async def test_loads_succeed_despite_a_dead_agent_and_one_that_sends_wrong_bytes(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 4) as fleet:
        fleet.publish("m:1", random_bytes(1, 200_000))
        fleet.scopes[0].cancel()
        corrupting_agent = fleet.agents[1]

        async def send_zeros(digest: str, query: str) -> Any:
            from martenlead.events.server import Reply

            return Reply(200, [], bytes(int(query.partition("=")[2])))

        corrupting_agent.serve = send_zeros  # type: ignore[method-assign]
        await anyio.sleep(0.05)
        results = await fleet.load_all("m:1")
        assert results[1:] == ["loaded"] * 3
        assert any(agent.chooser.counts.wrong for agent in fleet.agents)
        for agent in fleet.agents[2:]:
            assert all(agent.cache.get(digest) is not None for digest in list(agent.cache))
            assert agent.cache.set_aside_count == 0


async def test_a_chunk_corrupted_on_disk_is_downloaded_again(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 2) as fleet:
        fleet.publish("m:1", random_bytes(1, 60_000))
        await fleet.load_all("m:1")
        agent = fleet.agents[0]
        digest = next(iter(agent.cache))
        agent.cache.path(digest).write_bytes(b"rot")
        assert await fleet.load_all("m:1") == ["loaded"] * 2
        assert (agent.cache.set_aside_count, agent.cache.get(digest) is not None) == (1, True)


async def test_loads_succeed_despite_a_short_store_outage(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 4) as fleet:
        size = fleet.publish("m:1", random_bytes(1, 400_000))

        async def stop_store() -> None:
            await anyio.sleep(0.03)
            fleet.store.down_until = monotonic_ns() + 800_000_000

        async with anyio.create_task_group() as group:
            group.start_soon(stop_store)
            assert await fleet.load_all("m:1") == ["loaded"] * 4
        assert fleet.store.bytes_served <= 1.5 * size


async def test_failed_loads_report_their_cause_in_time(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 1, cache_bytes=30_000) as fleet:
        fleet.publish("m:1", random_bytes(1, 100_000))
        assert await fleet.load_all("m:1") == ["no-room"]
        assert await fleet.load_all("m:9") == ["missing"]
        fleet.store.down_until = 1 << 62
        started_ns = monotonic_ns()
        assert await fleet.load_all("m:1", 300) == ["vault-away"]
        assert monotonic_ns() - started_ns < 2_000_000_000


@pytest.mark.parametrize(
    ("manifests", "blobs", "failure"),
    [
        (500, 500, "vault-away"),
        (200, 500, "vault-away"),
        (503, 503, "late"),
        (200, 503, "late"),
        (0, 0, "late"),
    ],
)
@pytest.mark.parametrize("first", ["the load", "an inner step"])
@virtual_time
async def test_a_load_at_its_deadline_reports_whether_the_store_failed(
    first: str, manifests: int, blobs: int, failure: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The status of the store's last response decides (0: none came), whichever timeout expires first."""
    now_ns, failed_requests, real_handle = 0, 0, ArtifactStore.handle

    async def handle_with_fault(store: ArtifactStore, message: http.Message, at_ns: int) -> Reply:
        nonlocal now_ns, failed_requests
        status = manifests if b"/manifests/" in message.target else blobs
        if status == 200:
            return await real_handle(store, message, at_ns)
        failed_requests += 1
        if first != "the load" and failed_requests == 2:
            now_ns = 3_000_000_000  # after the load's deadline of 2 s
        if status == 0:
            await anyio.sleep_forever()
        return Reply(status, [], close=True)

    monkeypatch.setattr(ArtifactStore, "handle", handle_with_fault)
    async with run_agents(tmp_path, 1) as fleet:
        fleet.publish("m:1", random_bytes(1, 20_000))
        for component in (fleet.agents[0], fleet.agents[0].chooser, fleet.agents[0].names):
            component.clock = lambda: now_ns  # type: ignore[attr-defined]
        assert await fleet.load_all("m:1", 300 if first == "the load" else 2000) == [failure]


async def test_invalid_requests_are_rejected(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 1) as fleet:
        fleet.publish("m:1", random_bytes(1, 20_000))
        listener, port = await listen("127.0.0.1", 0)
        async with anyio.create_task_group() as group:
            group.start_soon(make_server(fleet.agents[0].handle).serve, listener)
            pool = Pool("127.0.0.1", port)

            async def send_request(method: bytes, target: bytes, body: bytes = b"") -> tuple[int, Any]:
                exchange = await pool.exchange(http.request(method, target, b"x", [], body))
                assert exchange.message is not None
                return exchange.message.status, exchange.message.body

            assert (await send_request(b"GET", b"/chunks/../../etc?size=5"))[0] == 400
            assert (await send_request(b"GET", b"/chunks/sha256:" + b"0" * 64))[0] == 400
            assert (await send_request(b"GET", b"/chunks/sha256:" + b"0" * 64 + b"?size=5"))[0] == 404
            assert (await send_request(b"POST", b"/load", b"[]"))[0] == 400
            assert (await send_request(b"POST", b"/load", b'{"x": ' + b"[" * 100_000))[0] == 400
            status, body = await send_request(b"POST", b"/load", b'{"ref": "m:1"}')
            assert (status, msgspec.json.decode(body)["size"]) == (200, 20_000)
            group.cancel_scope.cancel()


async def test_the_agent_program_serves_loads_and_stops_on_sigterm(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 1) as fleet:
        fleet.publish("m:1", random_bytes(1, 20_000))
        store = {"port": fleet.agents[0].artifact_store.port}
        config = tmp_path / "agent.json"
        config.write_bytes(msgspec.json.encode({"name": "x", "cache": str(tmp_path / "own"), "vault": store}))
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
async def test_32_agents_do_not_overload_the_store(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Without known peers they do overload it. In virtual time, because on a busy machine the downloads last
    longer, which alone overloads the store."""
    clock = follow_loop_time(monkeypatch)
    store_options = {"mb_s": 2, "pace": 4, "most": 100, "fall_multiple": 2, "fall_ms": 50, "down_ms": 200}
    results = []
    for peers_known in (True, False):
        folder = tmp_path / str(peers_known)
        folder.mkdir()
        async with run_agents(folder, 32, peers_known, store_options, clock, at_once=4) as fleet:
            size = fleet.publish("m:1", random_bytes(1, 200_000))
            assert await fleet.load_all("m:1", 60_000) == ["loaded"] * 32
            results.append((fleet.store.stop_count > 0, fleet.store.bytes_served <= 1.2 * size))
    assert results == [(False, True), (True, False)]


async def test_short_truncated_and_wrong_bodies_are_requested_again(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 3) as fleet:
        for number, kind in enumerate(("short", "cut", "wrong")):
            fleet.publish(f"m:{number}", random_bytes(number, 100_000))
            fleet.store.fault_shares[kind] = 1.0

            async def repair_store(kind: str = kind) -> None:
                await anyio.sleep(0.05)
                fleet.store.fault_shares.pop(kind)

            async with anyio.create_task_group() as group:
                group.start_soon(repair_store)
                assert await fleet.load_all(f"m:{number}") == ["loaded"] * 3, kind
        for agent in fleet.agents:
            assert all(agent.cache.get(digest) is not None for digest in list(agent.cache))


async def test_a_load_restarts_if_its_manifest_is_replaced_meanwhile(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 2, store_options={"mb_s": 1, "delay_ms": 5}, at_once=2) as fleet:
        fleet.publish("m:1", random_bytes(1, 150_000))
        old, manifest = fleet.layout.manifest("m:1")
        chunks = [c.digest for layer in fleet.layout.layers(manifest) for c in layer.chunks]

        async def replace_manifest() -> None:
            await anyio.sleep(0.04)
            fleet.publish("m:1", random_bytes(2, 150_000))
            for digest in chunks:  # the store drops unreferenced chunks
                fleet.layout.path(digest).unlink()

        async with anyio.create_task_group() as group:
            group.start_soon(replace_manifest)
            loaded = await fleet.agents[0].load("m:1", 8000)
        new, _ = fleet.layout.manifest("m:1")
        assert loaded.digest == new.digest != old.digest
        assert (loaded.size_bytes, loaded.is_stale) == (150_000, False)


async def test_an_outdated_or_unreachable_store_does_not_bring_back_an_older_release(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 1) as fleet:
        agent = fleet.agents[0]
        fleet.publish("m", random_bytes(1, 50_000))
        fleet.publish("m.r1", random_bytes(2, 60_000))
        assert (await agent.load("m", 5000)).size_bytes == 50_000
        fleet.store.releases["m"] = 1
        assert (await agent.load("m", 5000)).size_bytes == 60_000
        fleet.store.serves_old_releases = True
        loaded = await agent.load("m", 5000)
        assert (loaded.size_bytes, loaded.is_stale) == (60_000, True)
        fleet.store.down_until = 1 << 62
        await fleet.stop_agent(0)
        restarted_agent = Agent(agent.settings, agent.cache)  # the next incarnation
        listener, _ = await listen("127.0.0.1", 0)
        async with anyio.create_task_group() as group:
            group.start_soon(restarted_agent.run, listener)
            loaded = await restarted_agent.load("m", 1000)
            group.cancel_scope.cancel()
        assert (loaded.size_bytes, loaded.is_stale) == (60_000, True)


async def test_members_follow_the_endpoint_list_and_dead_ones_do_not_fail_loads(tmp_path: Path) -> None:
    live = [{"id": f"box-{n}", "port": 1} for n in range(3)]
    dead = [{"id": f"dead-{n}", "port": 1, "layers": await free_port()} for n in range(2)]
    no_agent = [{"id": "no-agent", "port": 1}]
    endpoint_list_server = EndpointListServer(EndpointServerSettings(lines=[]))
    async with anyio.create_task_group() as group:
        listener, port = await listen("127.0.0.1", 0)
        group.start_soon(make_server(endpoint_list_server.handle).serve, listener)
        async with run_agents(tmp_path, 3, False, endpoint_list=EndpointListLink(port=port)) as fleet:
            for line, agent_port in zip(live, fleet.ports, strict=True):
                line["layers"] = agent_port
            endpoint_list_server.endpoints.endpoints = {
                line["id"]: line for line in [*live, *dead, *no_agent]
            }
            endpoint_list_server.endpoints.version += 1
            endpoint_list_server.changed.set()
            with anyio.fail_after(5):
                while any(agent.chooser.worker_count < 5 for agent in fleet.agents):
                    await anyio.sleep(0.01)
            size = fleet.publish("m:1", random_bytes(1, 150_000))
            assert await fleet.load_all("m:1") == ["loaded"] * 3
            assert fleet.store.bytes_served <= 2.5 * size
            assert sum(agent.downloader.peer_bytes for agent in fleet.agents) > size / 2
            removed_line = {**dead[0], "state": "gone"}
            endpoint_list_server.endpoints.endpoints.pop(dead[0]["id"])
            endpoint_list_server.endpoints.version += 1
            endpoint_list_server.endpoints.changes[endpoint_list_server.endpoints.version] = removed_line
            endpoint_list_server.changed.set()
            with anyio.fail_after(5):
                while any(agent.chooser.worker_count > 4 for agent in fleet.agents):
                    await anyio.sleep(0.01)
        group.cancel_scope.cancel()


async def test_an_agent_of_an_incompatible_version_is_skipped(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 3) as fleet:
        fleet.publish("m:1", random_bytes(1, 100_000))
        replies = iter([Reply(404, [], b"no such path"), Reply(200, [], b'{"v": 0}'), Reply(426, [])] * 100)

        async def send_incompatible_reply(_digest: str, _query: str) -> Reply:
            return next(replies)

        fleet.agents[0].serve = send_incompatible_reply  # type: ignore[method-assign]
        assert await fleet.load_all("m:1") == ["loaded"] * 3
        assert all(agent.cache.set_aside_count == 0 for agent in fleet.agents)


async def test_a_load_is_cancelled_when_its_worker_disconnects(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 1, store_options={"mb_s": 0.1}) as fleet:
        fleet.publish("m:1", random_bytes(1, 400_000))
        agent, pool = fleet.agents[0], Pool("127.0.0.1", fleet.ports[0])
        with anyio.move_on_after(0.2):
            await pool.exchange(http.request(b"POST", b"/load", b"x", [], b'{"ref": "m:1"}'))
        with anyio.fail_after(10):
            while agent.chooser.downloads or agent.loading or fleet.store.active_fetches:
                await anyio.sleep(0.01)
        assert fleet.store.bytes_served < 200_000


async def test_loads_beyond_the_limit_are_rejected_as_busy(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 1, store_options={"mb_s": 0.01}, loads=2) as fleet:
        fleet.publish("m:1", random_bytes(1, 100_000))
        failures = []

        async def request_load() -> None:
            body = b'{"ref": "m:1", "within_ms": 700}'
            exchange = await Pool("127.0.0.1", fleet.ports[0]).exchange(
                http.request(b"POST", b"/load", b"x", [], body)
            )
            assert exchange.message is not None
            failures.append(msgspec.json.decode(exchange.message.body)["failure"])

        async with anyio.create_task_group() as group:
            for _ in range(4):
                group.start_soon(request_load)
        assert sorted(failures) == ["busy", "busy", "late", "late"]


async def test_files_are_assembled_for_the_worker_and_verified(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 1, files=str(tmp_path / "files")) as fleet:
        data = random_bytes(1, 90_000)
        fleet.publish("m:1", data)
        agent = fleet.agents[0]
        await agent.load("m:1", 5000, "one")
        assert (tmp_path / "files" / "one" / "weights").read_bytes() == data
        digest = next(iter(agent.cache))
        agent.cache.path(digest).write_bytes(b"rot")  # detected and downloaded again
        await agent.load("m:1", 5000, "two")
        assert (tmp_path / "files" / "two" / "weights").read_bytes() == data
        (tmp_path / "files" / "three").write_text("in the way")
        with pytest.raises(LoadFailedError, match=r"no-room: .*three"):
            await agent.load("m:1", 5000, "three")
        assert not list(tmp_path.rglob(".*.new"))
        body = b'{"ref": "m:1", "into": "../out"}'
        exchange = await Pool("127.0.0.1", fleet.ports[0]).exchange(
            http.request(b"POST", b"/load", b"x", [], body)
        )
        assert exchange.message is not None
        assert exchange.message.status == 400


async def test_a_full_disk_fails_loads_as_no_room(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async with run_agents(tmp_path, 2) as fleet:
        fleet.publish("m:1", random_bytes(1, 100_000))
        real_replace = os.replace
        monkeypatch.setattr(os, "replace", raise_disk_full)
        assert await fleet.load_all("m:1") == ["no-room"] * 2
        monkeypatch.setattr(os, "replace", real_replace)
        assert await fleet.load_all("m:1") == ["loaded"] * 2


def raise_disk_full(*_: object) -> None:
    """Fails as a call on a full disk."""
    raise OSError(28, "No space left on device")


async def test_a_drain_finishes_uploads_in_flight(tmp_path: Path) -> None:
    async with run_agents(tmp_path, 1) as fleet:
        fleet.publish("m:1", random_bytes(1, 3_000_000))
        agent = fleet.agents[0]
        assert await fleet.load_all("m:1") == ["loaded"]
        _, manifest = fleet.layout.manifest("m:1")
        chunk = fleet.layout.layers(manifest)[0].chunks[0]
        stream = await anyio.connect_tcp("127.0.0.1", fleet.ports[0])
        target = f"/chunks/{chunk.digest}?size={chunk.stored}".encode()
        await stream.send(http.request(b"GET", target, b"x", []))
        received = await stream.receive(100)
        async with anyio.create_task_group() as group:
            group.start_soon(agent.drain)
            await anyio.sleep(0.01)
            with pytest.raises(OSError):
                await anyio.connect_tcp("127.0.0.1", fleet.ports[0])
            while not received.endswith(b"\r\n0\r\n\r\n"):
                received += await stream.receive()
        assert len(received) > chunk.stored
        assert not agent.server.connections
