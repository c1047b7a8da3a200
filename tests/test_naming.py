"""Which release a name stands for: short scripts of what the vault says, against what is decided."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from martenlead.layers.choice import MS, SECOND, Failure
from martenlead.layers.naming import NameOutcome, NameRequest, Names, Release, Resolved

OLD, NEW = Release("sha256:old", "2026-01-01T00:00:01Z"), Release("sha256:new", "2026-01-01T00:00:02Z")


class Vault:
    """Plays its words one after the other, the last for ever; each takes 10 ms."""

    def __init__(self, *, last_known: bool = True) -> None:
        self.now = 0
        self.names = Names(lambda: self.now, lambda wait: self.now + int(wait), last_known=last_known)
        self.asked = 0

    def resolve(self, *words: Any, within: int = 20 * SECOND) -> str:
        steps = self.names.resolve("m", self.now + within)
        begun, value, left = self.now, None, list(words)
        try:
            while True:
                action = steps.send(value)
                if isinstance(action, NameRequest):
                    self.asked += 1
                    self.now += 10 * MS
                    word = left.pop(0) if len(left) > 1 else left[0]
                    value = (NameOutcome.RESOLVED, word) if isinstance(word, Release) else (word, None)
                else:
                    self.now = max(self.now, action.until_ns)
                    value = None
        except StopIteration as stop:
            end: Resolved | Failure = stop.value
        took = (self.now - begun) // MS
        if isinstance(end, Failure):
            return f"{end.value} after {took} ms"
        return f"{end.release.digest}{', stale' if end.is_stale else ''} after {took} ms"


def test_an_old_word_never_takes_a_box_back() -> None:
    vault = Vault()
    assert vault.resolve(OLD) == "sha256:old after 10 ms"
    assert vault.resolve(NEW) == "sha256:new after 10 ms"
    assert vault.resolve(OLD) == "sha256:new, stale after 10 ms"
    assert vault.names.old_release_count == 1
    untold = Release("sha256:untold")
    assert vault.resolve(untold) == "sha256:untold after 10 ms"  # whose age is not known is taken at its word


def test_a_vault_that_is_away_is_waited_for_and_then_done_without() -> None:
    vault = Vault()
    assert vault.resolve(NameOutcome.BROKEN, NameOutcome.BUSY, NEW) == "sha256:new after 330 ms"
    assert vault.resolve(NameOutcome.BROKEN, within=4 * SECOND) == "sha256:new, stale after 1550 ms"
    assert vault.resolve(NameOutcome.BUSY, within=4 * SECOND) == "sha256:new, stale after 1550 ms"
    assert vault.resolve(NameOutcome.MISSING) == "missing after 10 ms"
    assert Vault().resolve(NameOutcome.BROKEN) == "vault-away after 8620 ms"
    assert Vault().resolve(NameOutcome.BROKEN, within=2 * SECOND) == "vault-away after 2000 ms"
    assert Vault().resolve(NameOutcome.BUSY, within=2 * SECOND) == "late after 2000 ms"
    strict = Vault(last_known=False)
    strict.resolve(NEW)
    assert strict.resolve(NameOutcome.BROKEN) == "vault-away after 8620 ms"


def test_what_is_no_manifest_is_asked_for_once_more() -> None:
    vault = Vault()
    assert vault.resolve(NameOutcome.WRONG, NEW) == "sha256:new after 120 ms"
    assert vault.resolve(NameOutcome.WRONG) == "sha256:new, stale after 120 ms"
    assert Vault().resolve(NameOutcome.WRONG) == "corrupt after 120 ms"


def test_a_load_doubts_its_name_only_when_chunks_are_gone_and_a_few_times() -> None:
    names = Vault().names
    doubted = [(f.value, names.should_resolve_again(f, 0), names.should_resolve_again(f, 3)) for f in Failure]
    assert doubted == [
        ("vault-away", False, False),
        ("corrupt", True, False),
        ("missing", True, False),
        ("late", False, False),
        ("no-room", False, False),
    ]


WORDS = st.one_of(
    st.sampled_from([NameOutcome.BROKEN, NameOutcome.BUSY, NameOutcome.WRONG, NameOutcome.MISSING]),
    st.builds(lambda n: Release(f"sha256:{n}", f"2026-01-01T00:00:{n:02}Z"), st.integers(0, 59)),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(st.lists(WORDS, min_size=1, max_size=5), min_size=1, max_size=6), st.integers(1, 20))
def test_whatever_the_vault_says_it_ends_in_time_and_never_goes_back(asks: list[Any], within: int) -> None:
    vault = Vault()
    newest = -1
    for words in asks:
        begun = vault.now
        told = vault.resolve(*words, within=within * SECOND)
        assert vault.now - begun <= within * SECOND + 10 * MS
        if told.startswith("sha256:"):
            number = int(told.partition(" ")[0].rstrip(",").removeprefix("sha256:"))
            assert number >= newest
            newest = number
