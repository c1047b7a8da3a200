"""Stored and sent formats do not change when identifiers in the code are renamed.

tests/stored/before-field-names holds a file of each kind. Each is read with the same values and written with
the same bytes, so that versions before and after the renaming are compatible in both directions.
"""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest

from martenlead.durable_state.disk import StateFolder
from martenlead.durable_state.knowledge import SavedKnowledge
from martenlead.durable_state.store import StateStore, unpack_state
from martenlead.edge.knowledge_saver import KNOWLEDGE
from martenlead.planner.replica_store import SavedReplicas
from martenlead.traces.schemas import Invocation
from martenlead.traces.store import read_trace, write_trace
from martenlead.upstream.endpoints import CachedEndpoints, EndpointUpdate

STORED = Path(__file__).parent / "stored" / "before-field-names"
JSON_FILES: dict[str, Any] = {
    "endpoint-list.json": CachedEndpoints,
    "endpoint-update.json": EndpointUpdate,
    "planner-replicas.json": SavedReplicas,
    "edge-state.json": SavedKnowledge,
}
SAVED_NS = 1_796_000_000_000_000_000
INVOCATIONS = [
    Invocation(1_000_000_000, "g", 40_000_000, 256.0, "p"),
    Invocation(2_000_000_000, "f", 30_000_000, 128.0, "o"),
]


@pytest.mark.parametrize("name", sorted(JSON_FILES))
def test_a_file_is_read_and_written_again_with_the_same_bytes(name: str) -> None:
    data = (STORED / name).read_bytes()
    assert msgspec.json.encode(msgspec.json.decode(data, type=JSON_FILES[name])) == data


def test_a_stored_endpoint_list_is_read_with_the_same_values() -> None:
    data = (STORED / "endpoint-list.json").read_bytes()
    cached = msgspec.json.decode(data, type=CachedEndpoints)
    first, second = cached.endpoints
    assert (cached.version, cached.boot_id, cached.uptime_ns) == (7, "boot-1", 5_000_000_000)
    assert cached.saved_seconds == 1_796_000_000.25
    assert (first.id, first.incarnation, first.agent_port, first.age_ms) == ("a", "life-1", 9100, 1500.0)
    assert (second.id, second.state, second.incarnation) == ("b", "draining", "life-2")


def test_a_stored_endpoint_update_is_read_with_the_same_values() -> None:
    update = msgspec.json.decode((STORED / "endpoint-update.json").read_bytes(), type=EndpointUpdate)
    assert (update.version, update.is_snapshot) == (8, True)
    assert update.endpoints is not None
    assert [endpoint.id for endpoint in update.endpoints] == ["a", "b"]


def test_a_stored_planner_file_is_read_with_the_same_values() -> None:
    saved = msgspec.json.decode((STORED / "planner-replicas.json").read_bytes(), type=SavedReplicas)
    assert (saved.saved_unix_seconds, saved.boot_id, saved.uptime_ns) == (
        1_796_000_000.25,
        "boot-1",
        5_000_000_000,
    )
    assert list(saved.replicas_by_edge) == ["edge"]
    assert [list(replica) for replica in saved.replicas_by_edge["edge"]] == [["a", "m", 2, 100.0, 1500.0]]


def test_the_state_folder_of_an_edge_is_read_and_written_again_with_the_same_content(tmp_path: Path) -> None:
    shutil.copytree(STORED / "edge-state", tmp_path / "edge")
    store = StateStore(StateFolder(tmp_path / "edge"), "here", lambda: SAVED_NS)
    state = store.read(KNOWLEDGE)
    assert state is not None
    assert (state.generation, state.saved_ns) == (1, SAVED_NS)
    expected = msgspec.json.decode((STORED / "edge-state.json").read_bytes(), type=SavedKnowledge)
    knowledge = msgspec.convert(state.value, SavedKnowledge)
    assert knowledge == expected
    assert [worker.name for worker in knowledge.workers if worker.is_draining] == ["c"]
    generation = store.write(KNOWLEDGE, knowledge)
    store.close()
    (before,) = (STORED / "edge-state").glob("knowledge.*")
    (after,) = (tmp_path / "edge").glob(f"knowledge.{generation:016d}.state")
    size = 64_000_000
    old = unpack_state(before.read_bytes(), KNOWLEDGE, "here", size)
    new = unpack_state(after.read_bytes(), KNOWLEDGE, "here", size)
    assert (new.value, new.version) == (old.value, old.version)


def test_a_trace_in_parquet_is_read_and_written_again_with_the_same_rows(tmp_path: Path) -> None:
    assert list(read_trace(STORED / "trace.parquet")) == INVOCATIONS
    write_trace(tmp_path / "trace.parquet", INVOCATIONS)
    assert list(read_trace(tmp_path / "trace.parquet")) == INVOCATIONS
