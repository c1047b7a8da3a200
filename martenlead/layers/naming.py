"""Decides which release a name refers to: free of I/O.

Names are the only data here that no digest verifies: the artifact store's response is the only
source, and it may be outdated, from a replica of the store that lags behind. An agent remembers the
newest release of each name that it has received, by the creation time in the manifest
(`org.opencontainers.image.created`). It never returns to an older one because of the store's
response alone: to return to an older release, build it again (docs/operate/layers.md).

While the store is unreachable an agent uses the release that it knows, if its settings allow it:
a worker that serves an outdated function is better than one that serves none, and the release is
resolved again as soon as the store is reachable. Times are integer nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from martenlead.layers.choice import (
    MS,
    SECOND,
    STORE_AWAY_FAILURES,
    STORE_AWAY_NS,
    STORE_WRONG_LIMIT,
    ArtifactStoreState,
    Failure,
    Pause,
)

FIRST_BACKOFF_NS, LONGEST_BACKOFF_NS = 100 * MS, SECOND
STORE_WAIT_SHARE = 0.25  # share of the time left after which the known release is used
RESOLVE_AGAIN_LIMIT = 3  # repeated resolutions in one load because of missing chunks


class NameOutcome(Enum):
    """How a request for a name ended."""

    RESOLVED = "resolved"
    BUSY = "rejected"
    BROKEN = "broken"
    LATE = "no response before the deadline"
    MISSING = "no such name"
    WRONG = "not the manifest that its digest says"


@dataclass(slots=True, frozen=True)
class Release:
    """The manifest that a name refers to.

    `digest` is that of the manifest, `created` its creation time (RFC 3339, UTC; "" where unknown).
    """

    digest: str
    created: str = ""


@dataclass(slots=True, eq=False)
class NameRequest:
    """A request to the store that times out at `until_ns`.

    The generator is resumed with the outcome and, if resolved, the release.
    """

    ref: str
    until_ns: int


@dataclass(slots=True, eq=False)
class Resolved:
    """The release of a name.

    `is_stale`: the store gave no usable response, or one with an older release.
    """

    release: Release
    is_stale: bool = False


NameReply = tuple[NameOutcome, Release | None]
# what is sent to the generator: a `NameReply` after a request, None after a pause
ResolveSteps = Generator[NameRequest | Pause, Any, Resolved | Failure]


class Names:
    """The names that one agent knows.

    `jittered_deadline` returns the time after a wait in ns, with jitter; `store_state` is shared
    with the agent's `Chooser`; `last_known`: whether the known release may be used while the store
    is unreachable.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        jittered_deadline: Callable[[float], int],
        store_state: ArtifactStoreState | None = None,
        *,
        last_known: bool = True,
    ) -> None:
        self.clock, self.jittered_deadline = clock, jittered_deadline
        self.last_known = last_known
        self.store_state = store_state or ArtifactStoreState()
        self.known: dict[str, Release] = {}
        self.old_release_count = 0

    def resolve(self, ref: str, deadline_ns: int) -> ResolveSteps:
        """Request a name from the store, with retries, until it is resolved or has failed."""
        started_ns = self.clock()
        failure_count = wrong_count = 0
        backoff_ns = FIRST_BACKOFF_NS
        while self.clock() < deadline_ns:
            outcome, release = yield NameRequest(ref, deadline_ns)
            self.record_outcome(outcome)
            if outcome is NameOutcome.RESOLVED:
                return self.accept_release(ref, release)
            if outcome is NameOutcome.MISSING:
                return Failure.MISSING
            known = self.known.get(ref) if self.last_known else None
            if outcome is NameOutcome.WRONG:
                wrong_count += 1
                if wrong_count >= STORE_WRONG_LIMIT:
                    return Resolved(known, is_stale=True) if known else Failure.CORRUPT
            elif outcome is NameOutcome.BROKEN:
                failure_count += 1
            elapsed_ns = self.clock() - started_ns
            if known and elapsed_ns > STORE_WAIT_SHARE * (deadline_ns - started_ns):
                return Resolved(known, is_stale=True)
            if failure_count >= STORE_AWAY_FAILURES and elapsed_ns > STORE_AWAY_NS:
                return Failure.STORE_AWAY
            yield Pause(min(deadline_ns, self.jittered_deadline(backoff_ns)))
            backoff_ns = min(2 * backoff_ns, LONGEST_BACKOFF_NS)
        return self.store_state.failure_at_deadline(started_ns)

    def record_outcome(self, outcome: NameOutcome) -> None:
        """Record whether the store responded."""
        if outcome is NameOutcome.BROKEN:
            self.store_state.record_failure(self.clock())
        elif outcome is not NameOutcome.LATE:
            self.store_state.record_response()

    def accept_release(self, ref: str, release: Release) -> Resolved:
        """Record the store's release; the known one is returned if it was created later."""
        known = self.known.get(ref)
        if known and known.created and release.created and release.created < known.created:
            self.old_release_count += 1
            return Resolved(known, is_stale=True)
        self.known[ref] = release
        return Resolved(release)

    def should_resolve_again(self, failure: Failure, retries: int) -> bool:
        """Return whether a failed load resolves its name again and restarts.

        The store may have dropped the chunks of a manifest that was replaced. `retries` counts
        how often this load has done so.
        """
        return failure in (Failure.MISSING, Failure.CORRUPT) and retries < RESOLVE_AGAIN_LIMIT
