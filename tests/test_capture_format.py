"""The format of a capture file: frames, their index, damage, and other versions."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenlead.capture import events as ev
from martenlead.capture import format as fm
from tests.capture_rig import CAPTURES
from tests.play import SETTINGS

ADVANCES = st.lists(st.builds(ev.Advance, st.integers(0, 2**40)), min_size=1, max_size=30)


def pack(*batches: list[ev.CaptureEvent], index: bool = True) -> bytes:
    """Encodes a segment with one frame per batch, and an index unless it is switched off."""
    encoder, data, entries = fm.FrameEncoder(), fm.pack_header(0, 7, 0), []
    for batch in batches:
        entries.append(fm.index_entry(len(data), batch))
        data += encoder.pack_events(batch)
    return data + (encoder.pack_index(entries) if index else b"")


def decode_events(data: bytes) -> list[ev.CaptureEvent]:
    return [event for frame in fm.Segment(data).frames() for event in frame.events()]


@given(st.lists(ADVANCES, min_size=1, max_size=4))
def test_written_events_are_read_back(batches: list[list[ev.CaptureEvent]]) -> None:
    assert decode_events(pack(*batches)) == [event for batch in batches for event in batch]
    assert fm.Segment(pack(*batches)).index() == fm.Segment(pack(*batches, index=False)).index()


def test_a_truncated_segment_gives_all_complete_frames() -> None:
    batches: list[list[ev.CaptureEvent]] = [[ev.Advance(n * 10 + m) for m in range(5)] for n in range(6)]
    data = pack(*batches)
    ends = [entry.offset for entry in fm.Segment(data).index()][1:]
    for cut in range(fm.HEADER_BYTES, len(data)):
        complete = sum(end <= cut for end in ends) + (cut >= len(pack(*batches, index=False)))
        assert decode_events(data[:cut]) == [event for batch in batches[:complete] for event in batch]
    for cut in range(fm.HEADER_BYTES):
        with pytest.raises(fm.CaptureFormatError):
            decode_events(data[:cut])


def test_a_flipped_bit_anywhere_never_gives_a_wrong_event() -> None:
    batches: list[list[ev.CaptureEvent]] = [[ev.Advance(n)] for n in range(4)]
    data, all_events = pack(*batches), [event for batch in batches for event in batch]
    for position in range(len(data)):
        broken = bytearray(data)
        broken[position] ^= 0x10
        try:
            found = decode_events(bytes(broken))
        except fm.CaptureFormatError:
            continue
        assert found == all_events[: len(found)]


def test_a_newer_format_version_is_refused_with_its_number() -> None:
    data = bytearray(pack([ev.Advance(1)]))
    data[8] = fm.VERSION + 1
    with pytest.raises(
        fm.CaptureFormatError, match=f"version {fm.VERSION + 1} of the format.* up to {fm.VERSION}"
    ):
        decode_events(bytes(data))


def test_the_index_lists_the_requests_of_each_frame() -> None:
    data = (CAPTURES / "drain-1796000000000000000-000000.mlc").read_bytes()
    found = fm.Segment(data)
    frames = {frame.offset: frame for frame in found.frames()}
    index = found.index()
    assert found.is_closed
    assert [entry.offset for entry in index] == list(frames)
    for entry in index:
        requests = {n for e in frames[entry.offset].events() if (n := ev.request_number(e)) is not None}
        assert requests == set(entry.requests)


def test_known_settings_of_another_version_are_read() -> None:
    """A planner and its edges may run different versions while they are upgraded."""
    stored = ev.pack_settings(SETTINGS)
    newer = {**stored, "a_future_setting": 1}
    older = {name: value for name, value in stored.items() if name != "functions"}
    assert ev.unpack_settings(newer).keep_alive_ns == SETTINGS.keep_alive_ns
    assert ev.unpack_settings(older).function_limit == SETTINGS.function_limit
