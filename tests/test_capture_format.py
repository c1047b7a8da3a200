"""The bytes of a capture file: frames, their index, damage, and other versions."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenlead.capture import events as ev
from martenlead.capture import format as fm
from tests.capture_rig import CAPTURES
from tests.play import SETTINGS

ADVANCES = st.lists(st.builds(ev.Advance, st.integers(0, 2**40)), min_size=1, max_size=30)


def segment(*batches: list[ev.CaptureEvent], index: bool = True) -> bytes:
    packer, data, entries = fm.FrameEncoder(), fm.pack_header(0, 7, 0), []
    for batch in batches:
        entries.append(fm.index_entry(len(data), batch))
        data += packer.pack_events(batch)
    return data + (packer.pack_index(entries) if index else b"")


def read(data: bytes) -> list[ev.CaptureEvent]:
    return [event for frame in fm.Segment(data).frames() for event in frame.events()]


@given(st.lists(ADVANCES, min_size=1, max_size=4))
def test_what_was_written_is_read(batches: list[list[ev.CaptureEvent]]) -> None:
    assert read(segment(*batches)) == [event for batch in batches for event in batch]
    assert fm.Segment(segment(*batches)).index() == fm.Segment(segment(*batches, index=False)).index()


def test_cut_at_any_byte_it_gives_all_whole_frames_before() -> None:
    batches: list[list[ev.CaptureEvent]] = [[ev.Advance(n * 10 + m) for m in range(5)] for n in range(6)]
    data = segment(*batches)
    ends = [entry.offset for entry in fm.Segment(data).index()][1:]
    for cut in range(fm.HEADER_BYTES, len(data)):
        whole = sum(end <= cut for end in ends) + (cut >= len(segment(*batches, index=False)))
        assert read(data[:cut]) == [event for batch in batches[:whole] for event in batch]
    for cut in range(fm.HEADER_BYTES):
        with pytest.raises(fm.CaptureFormatError):
            read(data[:cut])


def test_a_flipped_bit_anywhere_never_gives_a_wrong_event() -> None:
    batches: list[list[ev.CaptureEvent]] = [[ev.Advance(n)] for n in range(4)]
    data, all_events = segment(*batches), [event for batch in batches for event in batch]
    for at in range(len(data)):
        broken = bytearray(data)
        broken[at] ^= 0x10
        try:
            found = read(bytes(broken))
        except fm.CaptureFormatError:
            continue
        assert found == all_events[: len(found)]


def test_a_newer_version_is_refused_by_name() -> None:
    data = bytearray(segment([ev.Advance(1)]))
    data[8] = fm.VERSION + 1
    with pytest.raises(
        fm.CaptureFormatError, match=f"version {fm.VERSION + 1} of the format.* up to {fm.VERSION}"
    ):
        read(bytes(data))


def test_the_index_tells_of_each_task_where_it_stands() -> None:
    data = (CAPTURES / "drain-1796000000000000000-000000.mlc").read_bytes()
    found = fm.Segment(data)
    frames = {frame.offset: frame for frame in found.frames()}
    index = found.index()
    assert found.is_closed
    assert [entry.offset for entry in index] == list(frames)
    for entry in index:
        tasks = {n for event in frames[entry.offset].events() if (n := ev.request_number(event)) is not None}
        assert tasks == set(entry.requests)


def test_settings_of_another_version_are_read_as_far_as_they_are_known() -> None:
    """A planner and its edges are replaced one after the other."""
    told = ev.pack_settings(SETTINGS)
    newer = {**told, "a_setting_of_tomorrow": 1}
    older = {name: value for name, value in told.items() if name != "functions"}
    assert ev.unpack_settings(newer).keep_alive_ns == SETTINGS.keep_alive_ns
    assert ev.unpack_settings(older).function_limit == SETTINGS.function_limit
