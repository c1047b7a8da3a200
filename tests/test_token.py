"""Reservation tokens: one that a dispatcher issued is accepted by another, and no other text is."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from martenlead.admission import reservation_token as token

SECRET = b"sixteen letters.."
request_ids = st.tuples(st.text(max_size=20), st.text(max_size=20))
times_ms = st.integers(0, 10**13)


@settings(derandomize=True)
@given(request_ids, times_ms, st.integers(0, 10**6))
def test_issued_token_is_accepted(request_id: tuple[str, str], since_ms: int, length_ms: int) -> None:
    issued = token.issue(SECRET, request_id, since_ms, since_ms + length_ms)
    assert len(issued) <= token.MAX_TOKEN_LENGTH
    assert token.verify(SECRET, request_id, issued, since_ms) == (
        (since_ms, since_ms + length_ms) if length_ms <= token.MAX_AHEAD_MS else None
    )


@settings(derandomize=True)
@given(request_ids, request_ids, times_ms, st.binary(min_size=16, max_size=20))
def test_token_is_valid_for_one_request_and_one_secret(
    request_id: tuple[str, str], other_id: tuple[str, str], since_ms: int, secret: bytes
) -> None:
    issued = token.issue(SECRET, request_id, since_ms, since_ms + 2000)
    assert (token.verify(SECRET, other_id, issued, since_ms) is not None) == (request_id == other_id)
    assert (token.verify(secret, request_id, issued, since_ms) is not None) == (secret == SECRET)


@settings(derandomize=True)
@given(st.integers(0, 70), st.integers(0, 255))
def test_changed_byte_is_detected(position: int, byte: int) -> None:
    issued = token.issue(SECRET, ("/portal", "7"), 1000, 3000)
    changed = issued[: position % len(issued)] + chr(byte) + issued[position % len(issued) + 1 :]
    assert changed == issued or token.verify(SECRET, ("/portal", "7"), changed, 1000) is None


@settings(derandomize=True)
@given(st.text())
def test_arbitrary_text_is_rejected(text: str) -> None:
    assert token.verify(SECRET, ("/portal", "7"), text, 1000) is None


def test_requests_whose_source_and_id_join_to_the_same_text_are_distinguished() -> None:
    issued = token.issue(SECRET, ("/a", "bc"), 0, 10)
    assert token.verify(SECRET, ("/ab", "c"), issued, 0) is None
