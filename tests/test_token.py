"""Appointments that travel: what one door gave is read by another, and nothing else is."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from martenlead.admission import reservation_token as token

SECRET = b"sixteen letters.."
marks = st.tuples(st.text(max_size=20), st.text(max_size=20))
times = st.integers(0, 10**13)


@settings(derandomize=True)
@given(marks, times, st.integers(0, 10**6))
def test_what_was_given_is_taken(mark: tuple[str, str], since: int, span: int) -> None:
    told = token.issue(SECRET, mark, since, since + span)
    assert len(told) <= token.MAX_TOKEN_LENGTH
    assert token.verify(SECRET, mark, told, since) == (
        (since, since + span) if span <= token.MAX_AHEAD_MS else None
    )


@settings(derandomize=True)
@given(marks, marks, times, st.binary(min_size=16, max_size=20))
def test_it_is_one_tasks_and_one_deployments(
    mark: tuple[str, str], other: tuple[str, str], since: int, secret: bytes
) -> None:
    told = token.issue(SECRET, mark, since, since + 2000)
    assert (token.verify(SECRET, other, told, since) is not None) == (mark == other)
    assert (token.verify(secret, mark, told, since) is not None) == (secret == SECRET)


@settings(derandomize=True)
@given(st.integers(0, 70), st.integers(0, 255))
def test_a_byte_that_was_changed_is_found(at: int, byte: int) -> None:
    told = token.issue(SECRET, ("/portal", "7"), 1000, 3000)
    bad = told[: at % len(told)] + chr(byte) + told[at % len(told) + 1 :]
    assert bad == told or token.verify(SECRET, ("/portal", "7"), bad, 1000) is None


@settings(derandomize=True)
@given(st.text())
def test_nonsense_is_no_appointment(text: str) -> None:
    assert token.verify(SECRET, ("/portal", "7"), text, 1000) is None


def test_two_tasks_whose_names_run_together_are_told_apart() -> None:
    told = token.issue(SECRET, ("/a", "bc"), 0, 10)
    assert token.verify(SECRET, ("/ab", "c"), told, 0) is None
