"""Which release a name refers to: scripted responses of the store and the decisions that follow."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from martenlead.layers.choice import MS, SECOND, Failure
from martenlead.layers.naming import NameOutcome, NameRequest, Names, Release, Resolved

OLD, NEW = Release("sha256:old", "2026-01-01T00:00:01Z"), Release("sha256:new", "2026-01-01T00:00:02Z")


class ScriptedStore:
    """Gives scripted responses in turn, then repeats the last; each takes 10 ms."""

    def __init__(self, *, last_known: bool = True) -> None:
        self.now_ns = 0
        self.names = Names(lambda: self.now_ns, lambda wait: self.now_ns + int(wait), last_known=last_known)
        self.request_count = 0

    def resolve(self, *responses: Any, within_ns: int = 20 * SECOND) -> str:
        """Resolves a name with these responses; returns the result and its time."""
        steps = self.names.resolve("m", self.now_ns + within_ns)
        started_ns, reply, remaining = self.now_ns, None, list(responses)
        try:
            while True:
                action = steps.send(reply)
                if isinstance(action, NameRequest):
                    self.request_count += 1
                    self.now_ns += 10 * MS
                    step = remaining.pop(0) if len(remaining) > 1 else remaining[0]
                    reply = (NameOutcome.RESOLVED, step) if isinstance(step, Release) else (step, None)
                else:
                    self.now_ns = max(self.now_ns, action.until_ns)
                    reply = None
        except StopIteration as stop:
            result: Resolved | Failure = stop.value
        elapsed_ms = (self.now_ns - started_ns) // MS
        if isinstance(result, Failure):
            return f"{result.value} after {elapsed_ms} ms"
        return f"{result.release.digest}{', stale' if result.is_stale else ''} after {elapsed_ms} ms"


def test_an_older_release_never_replaces_a_newer_one() -> None:
    store = ScriptedStore()
    assert store.resolve(OLD) == "sha256:old after 10 ms"
    assert store.resolve(NEW) == "sha256:new after 10 ms"
    assert store.resolve(OLD) == "sha256:new, stale after 10 ms"
    assert store.names.old_release_count == 1
    undated = Release("sha256:undated")
    assert store.resolve(undated) == "sha256:undated after 10 ms"  # one of unknown age is accepted


def test_an_unreachable_store_is_retried_before_the_known_release_is_used() -> None:
    store = ScriptedStore()
    assert store.resolve(NameOutcome.BROKEN, NameOutcome.BUSY, NEW) == "sha256:new after 330 ms"
    assert store.resolve(NameOutcome.BROKEN, within_ns=4 * SECOND) == "sha256:new, stale after 1550 ms"
    assert store.resolve(NameOutcome.BUSY, within_ns=4 * SECOND) == "sha256:new, stale after 1550 ms"
    assert store.resolve(NameOutcome.MISSING) == "missing after 10 ms"
    assert ScriptedStore().resolve(NameOutcome.BROKEN) == "vault-away after 8620 ms"
    assert ScriptedStore().resolve(NameOutcome.BROKEN, within_ns=2 * SECOND) == "vault-away after 2000 ms"
    assert ScriptedStore().resolve(NameOutcome.BUSY, within_ns=2 * SECOND) == "late after 2000 ms"
    without_last_known = ScriptedStore(last_known=False)
    without_last_known.resolve(NEW)
    assert without_last_known.resolve(NameOutcome.BROKEN) == "vault-away after 8620 ms"


def test_an_invalid_manifest_is_requested_once_more() -> None:
    store = ScriptedStore()
    assert store.resolve(NameOutcome.WRONG, NEW) == "sha256:new after 120 ms"
    assert store.resolve(NameOutcome.WRONG) == "sha256:new, stale after 120 ms"
    assert ScriptedStore().resolve(NameOutcome.WRONG) == "corrupt after 120 ms"


def test_a_name_is_resolved_again_a_few_times_if_chunks_are_missing_or_corrupt() -> None:
    names = ScriptedStore().names
    results = [(f.value, names.should_resolve_again(f, 0), names.should_resolve_again(f, 3)) for f in Failure]
    assert results == [
        ("vault-away", False, False),
        ("corrupt", True, False),
        ("missing", True, False),
        ("late", False, False),
        ("no-room", False, False),
    ]


RESPONSES = st.one_of(
    st.sampled_from([NameOutcome.BROKEN, NameOutcome.BUSY, NameOutcome.WRONG, NameOutcome.MISSING]),
    st.builds(lambda n: Release(f"sha256:{n}", f"2026-01-01T00:00:{n:02}Z"), st.integers(0, 59)),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(st.lists(RESPONSES, min_size=1, max_size=5), min_size=1, max_size=6), st.integers(1, 20))
def test_a_resolution_ends_in_time_and_never_goes_back(scripts: list[Any], within_seconds: int) -> None:
    store = ScriptedStore()
    newest = -1
    for responses in scripts:
        started_ns = store.now_ns
        result = store.resolve(*responses, within_ns=within_seconds * SECOND)
        assert store.now_ns - started_ns <= within_seconds * SECOND + 10 * MS
        if result.startswith("sha256:"):
            number = int(result.partition(" ")[0].rstrip(",").removeprefix("sha256:"))
            assert number >= newest
            newest = number
