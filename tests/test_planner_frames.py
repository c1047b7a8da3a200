"""Both ends of the link read the frames of an earlier version and encode them to the same bytes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from martenlead.capture import events as ev
from martenlead.planner import frames as fr
from martenlead.planner.edge_session import EdgeSession, TakenSnapshot
from martenlead.planner.link import SessionLimits
from martenlead.planner.planner_session import PlannerSession
from martenlead.planner.snapshot import decode_snapshot, encode_snapshot

STORED = Path(__file__).parent / "stored" / "planner-link"
DIRECTIONS = ("to-planner", "to-edge")

# earlier name of a message -> its class, and its fields in order: earlier name -> present name
MESSAGES: dict[str, tuple[type[fr.Message], dict[str, str]]] = {
    "Hello": (
        fr.Hello,
        {
            "least": "lowest_version",
            "most": "highest_version",
            "edge": "edge_name",
            "life": "incarnation",
            "module": "policy_hash",
        },
    ),
    "Welcome": (
        fr.Welcome,
        {"version": "version", "planner": "planner_name", "life": "incarnation", "last": "last_sequence"},
    ),
    "Lease": (fr.Lease, {"epoch": "epoch", "for_ms": "duration_ms", "resumes": "is_resumed"}),
    "Snapshot": (fr.Snapshot, {"seq": "sequence", "t": "edge_time_ns"}),
    "Events": (fr.Events, {"seq": "sequence", "t": "edge_time_ns"}),
    "Beat": (fr.Heartbeat, {"epoch": "epoch", "seq": "sequence"}),
    "Decide": (
        fr.PlanUpdate,
        {
            "epoch": "epoch",
            "seq": "sequence",
            "orders": "load_requests",
            "held": "retained",
            "whole": "is_complete",
        },
    ),
    "Need": (fr.ResyncRequest, {"why": "reason"}),
    "Recall": (fr.RestoreReplicas, {"epoch": "epoch", "copies": "replicas"}),
    "Refuse": (fr.LinkRefused, {"why": "reason"}),
}
EVENTS: dict[str, tuple[type[ev.CaptureEvent], tuple[str, ...]]] = {
    "Take": (
        ev.RequestAccepted,
        ("t", "task", "name", "model", "offering", "customer", "give_up", "again", "cost"),
    ),
    "HandedOff": (ev.AttemptStarted, ("task", "hand_off", "runner", "patience")),
    "Answered": (ev.AttemptEnded, ("t", "task", "hand_off", "result", "final", "warmth", "lag")),
    "Closed": (ev.RequestClosed, ("t", "task", "final")),
    "NewRunner": (ev.WorkerAdded, ("t", "runner", "name", "facts")),
    "NewModel": (ev.FunctionAdded, ("t", "model", "name", "mark", "lanes", "memory")),
    "Roster": (ev.WorkersUpdated, ("t", "whole", "lines")),
    "Tick": (ev.TickChanged, ("t", "tick")),
    "Carry": (ev.LoadPlanned, ("t", "plan", "runner", "model")),
    "Ordered": (ev.LoadRequested, ("order", "runner", "model", "copies")),
    "OrderEnded": (ev.LoadEnded, ("t", "order", "result", "copies")),
    "Recalled": (ev.ReplicaConfirmed, ("t", "runner", "model", "result", "copies", "touched")),
}


def stored_frames(direction: str) -> list[bytes]:
    """Returns the encoded frames that an earlier version sent in one direction."""
    data = (STORED / f"{direction}.frames").read_bytes()
    found: list[bytes] = []
    while data:
        end = fr.HEADER_BYTES + int.from_bytes(data[:4], "big")
        found.append(data[:end])
        data = data[end:]
    return found


def stored_values(direction: str) -> list[dict[str, Any]]:
    """Returns type and fields of each frame as the earlier version decoded it."""
    return [one for one in json.loads((STORED / "read.json").read_text()) if one["to"] == direction]


def to_json_value(value: Any) -> Any:
    """Returns the value as decoded from JSON, like the stored values."""
    return msgspec.json.decode(msgspec.json.encode(value))


def decode_one(frame: bytes) -> fr.AnyMessage:
    """Returns the only message in a frame."""
    (message,) = fr.FrameReader().feed(frame)
    return message


def check_event(event: ev.AnyEvent, earlier: dict[str, Any]) -> None:
    """Checks an event against the values that the earlier version decoded."""
    kind, names = EVENTS[earlier["type"]]
    assert type(event) is kind
    assert kind.__struct_encode_fields__ == names
    for name, stored_name in zip(kind.__struct_fields__, names, strict=True):
        assert to_json_value(getattr(event, name)) == earlier["fields"][stored_name]


@pytest.mark.parametrize("direction", DIRECTIONS)
def test_stored_frames_decode_to_the_stored_values_and_encode_to_the_same_bytes(direction: str) -> None:
    for frame, earlier in zip(stored_frames(direction), stored_values(direction), strict=True):
        message = decode_one(frame)
        kind, names = MESSAGES[earlier["type"]]
        assert type(message) is kind
        for old, new in names.items():
            assert to_json_value(getattr(message, new)) == earlier["fields"][old]
        if isinstance(message, fr.Events):
            for event, stored in zip(message.events, earlier["fields"]["events"], strict=True):
                check_event(event, stored)
        if isinstance(message, fr.Snapshot):
            snapshot = decode_snapshot(message.state)
            assert encode_snapshot(snapshot) == bytes(message.state)
        assert fr.encode_frame(message) == frame


def test_the_stored_frames_contain_every_message_and_every_event_of_the_link() -> None:
    read = [one for direction in DIRECTIONS for one in stored_values(direction)]
    assert {one["type"] for one in read} == set(MESSAGES)
    assert {kind for kind, _ in MESSAGES.values()} == set(fr.Message.__subclasses__())
    events = {event["type"] for one in read for event in one["fields"].get("events", [])}
    assert events == set(EVENTS)


def test_a_planner_follows_the_stored_session_of_an_earlier_edge() -> None:
    now = 1_000_000_000
    numbers = iter(range(1 << 20))
    planner = PlannerSession("planner-1", "life-1", lambda: now, lambda: next(numbers))
    planner.connection_made()
    frames = stored_frames("to-planner")
    *session, refused = (decode_one(frame) for frame in frames)
    accepted, sequence = 0, -1
    for message in session:
        now = max(now, getattr(message, "edge_time_ns", 0))
        planner.receive_message(message)
        if isinstance(message, fr.Snapshot):
            accepted = 0
        if isinstance(message, fr.Snapshot | fr.Events):
            sequence = message.sequence
        if isinstance(message, fr.Events):
            accepted += sum(isinstance(event, ev.RequestAccepted) for event in message.events)
    assert isinstance(refused, fr.LinkRefused)
    assert planner.policy_replica is not None
    assert (planner.counts["needed"], planner.counts["snapshots"]) == (0, 2)
    assert (planner.last_sequence, planner.policy_replica.request_count) == (sequence, accepted)
    assert accepted > 0
    assert planner.edge_name == "edge"


def take_snapshot() -> TakenSnapshot:
    raise AssertionError("no stored frame makes a snapshot due")


def test_an_edge_follows_the_stored_session_of_an_earlier_planner() -> None:
    hello = decode_one(stored_frames("to-planner")[0])
    assert isinstance(hello, fr.Hello)
    edge = EdgeSession(
        "edge", hello.incarnation, hello.policy_hash, lambda: 0, take_snapshot, SessionLimits()
    )
    received: list[fr.PlanUpdate | fr.RestoreReplicas] = []
    sent = []
    for frame in stored_frames("to-edge")[:-1]:
        message = decode_one(frame)
        if isinstance(message, fr.Welcome):
            edge.connection_made()
            assert edge.next_frame() == stored_frames("to-planner")[0]
        if isinstance(message, fr.PlanUpdate | fr.RestoreReplicas):
            sent.append(message)
        edge.receive_message(message)
        received += edge.pending_decisions
        edge.pending_decisions.clear()
    assert received == sent
    assert len(received) > 3
    assert (edge.planner_name, edge.planner_incarnation, edge.version) == ("planner-1", "life-1", 2)
    assert (edge.epoch, edge.counts["needs"], edge.counts["fenced"]) == (2, 1, 0)
