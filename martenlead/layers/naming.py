"""Every decision on which release a name stands for: free of I/O.

Names are the one thing here that is not named by its digest: the vault's word is all there is, and it may
be an old one, from a copy of the vault that lags behind. A box remembers the newest release of each name
that it was told of, by the time of making in the manifest (`org.opencontainers.image.created`), and never
goes back behind it by the vault's word alone: who wants an older release again makes it anew
(docs/operate/layers.md).

Where the vault can not be had a box goes on with the release that it knows, if its settings allow it: a
runner that serves yesterday's model is worth more than one that serves none, and the release is read as
soon as the vault is back. Times are whole ns.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from martenlead.layers.choice import (
    AWAY_ASKS,
    AWAY_S,
    MS,
    SECOND,
    WRONG_AT_VAULT,
    ArtifactStoreState,
    Failure,
    Pause,
)

FIRST_WAIT, LONGEST_WAIT = 100 * MS, SECOND
PATIENCE = 0.25  # of the time left that is spent on a vault that is away, before the known release is taken
RENAMED = 3  # times that a name is asked anew as its chunks went missing


class Heard(Enum):
    """How an ask for a name ended."""

    TOLD = "told"
    BUSY = "turned away"
    BROKEN = "broken"
    LATE = "not answered before the deadline"
    MISSING = "no such name"
    WRONG = "not the manifest that its digest says"


@dataclass(slots=True, frozen=True)
class Release:
    """What a name stands for: the manifest's digest, and when it was made (RFC 3339, UTC; "" for untold)."""

    digest: str
    created: str = ""


@dataclass(slots=True, eq=False)
class AskName:
    """Wants to hear what the vault says of a name, not waited for beyond `until`; resumed with what was
    heard and, if told, the release."""

    ref: str
    until: int


@dataclass(slots=True, eq=False)
class Resolved:
    """`stale`: the vault could not be asked, or told of an older one."""

    release: Release
    stale: bool = False


Steps = Generator[AskName | Pause, Any, Resolved | Failure]


class Names:
    def __init__(
        self,
        clock: Callable[[], int],
        later: Callable[[float], int],
        vault: ArtifactStoreState | None = None,
        *,
        last_known: bool = True,
    ) -> None:
        """`later` gives a time that is about so far away; `vault` is shared with the box's `Chooser`;
        `last_known`: whether the release that is known may be taken when the vault is away."""
        self.clock, self.later, self.last_known = clock, later, last_known
        self.vault = vault or ArtifactStoreState()
        self.known: dict[str, Release] = {}
        self.old_told = 0

    def resolve(self, ref: str, deadline: int) -> Steps:
        begun = self.clock()
        failed = wrong = 0
        wait = FIRST_WAIT
        while self.clock() < deadline:
            heard, release = yield AskName(ref, deadline)
            self.record(heard)
            if heard is Heard.TOLD:
                return self.told(ref, release)
            if heard is Heard.MISSING:
                return Failure.MISSING
            known = self.known.get(ref) if self.last_known else None
            if heard is Heard.WRONG:
                wrong += 1
                if wrong >= WRONG_AT_VAULT:
                    return Resolved(known, True) if known else Failure.CORRUPT
            elif heard is Heard.BROKEN:
                failed += 1
            now = self.clock()
            if known and now - begun > PATIENCE * (deadline - begun):
                return Resolved(known, True)
            if failed >= AWAY_ASKS and now - begun > AWAY_S:
                return Failure.VAULT_AWAY
            yield Pause(min(deadline, self.later(wait)))
            wait = min(2 * wait, LONGEST_WAIT)
        return self.vault.failure_at_deadline(begun)

    def record(self, heard: Heard) -> None:
        """Takes in what an ask says of the vault itself."""
        if heard is Heard.BROKEN:
            self.vault.record_failure(self.clock())
        elif heard is not Heard.LATE:
            self.vault.record_answer()

    def told(self, ref: str, release: Release) -> Resolved:
        """Takes the vault's word in; of two releases the one that was made later counts."""
        known = self.known.get(ref)
        if known and known.created and release.created and release.created < known.created:
            self.old_told += 1
            return Resolved(known, True)
        self.known[ref] = release
        return Resolved(release)

    def doubts(self, failure: Failure, times: int) -> bool:
        """Whether a load that failed asks again what its name stands for, and begins anew with what it
        stands for by now: the vault may have dropped the chunks of a manifest that was replaced. `times` it
        did so before."""
        return failure in (Failure.MISSING, Failure.CORRUPT) and times < RENAMED
