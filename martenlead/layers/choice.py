"""Every decision on where a chunk comes from: free of I/O, one `Chooser` a box, no word between boxes.

All boxes draw the same order of boxes for each chunk (rendezvous hashing). The first of that order owns the
chunk: it alone goes to the vault, and the others ask it; what it has not yet it fetches as it is asked. So a
release that every box wants is read from the vault about once, and each box's uplink carries about as much as
the box takes in. An owner that is slow, gone or lying is passed over for the next of the order, and in the
end for the vault.

A chunk's fetch is a generator: it yields `Ask` and is resumed with an `End`, or `Pause` and is resumed with
None. Times are whole ns.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

import xxhash

MS = 1_000_000
SECOND = 1000 * MS
OWNERS = 2  # boxes of the order that are asked before the vault is
AWAY_ASKS, AWAY_S = 3, 8 * SECOND  # of one chunk in vain, and for so long: the vault is away
WRONG_AT_VAULT = 2  # wrong bytes from the vault itself: no source can be right
FIRST_WINDOW, LEAST_WINDOW = 12.0, 0.5  # fetches out at the vault, of all boxes together
FALLBACK = 5 * SECOND  # for so long a chunk is left to its owners, as long as they answer
PARKED = 600 * MS  # the longest that another box is kept waiting for a chunk that is still to come
OVERDUE = 4  # times the usual lag of a peer, after which the next one is asked
FIRST_LAG = 250 * MS
LONGEST_LAG = 4 * SECOND
TRUST_LOST, TRUST_BACK = 0.4, 0.05  # by a stall or a broken answer; by a good chunk
WRONG_S = 30 * SECOND  # a peer that gave a wrong byte is asked nothing for so long
LEAST_TRUST = 0.3
PEER_ASKS = 8  # out at one peer


class End(Enum):
    """How an ask ended. `BUSY` and `AWAY` are the source's word, the others are what was seen."""

    GOOD = "good"
    WRONG = "wrong bytes"  # the check failed: never served, never kept
    BUSY = "busy"  # come again later
    WAIT = "is fetching it"  # a peer's word, and so is the next
    AWAY = "could not get it"  # the vault failed it
    MISSING = "missing"
    BROKEN = "broken"  # cut, refused or garbled
    LATE = "late"
    UNKEPT = "had, and no room to keep it"


class Failure(Enum):
    """Why a load can not be had, as it is told to whoever waits, and on to the dispatchers."""

    VAULT_AWAY = "vault-away"
    CORRUPT = "corrupt"  # every source has wrong bytes
    MISSING = "missing"  # no source has it
    LATE = "late"  # its time is over
    NO_ROOM = "no-room"  # all that is kept is in use, or the disk is full


@dataclass(slots=True)
class ArtifactStoreState:
    """What the vault's last answer to this box says of it, whichever chunk or name was asked for."""

    failed_at: int = -1  # -1: it answered, or was not asked yet

    def record_answer(self) -> None:
        """Also one that turns the ask away: the vault is there."""
        self.failed_at = -1

    def record_failure(self, now: int) -> None:
        """An ask that the deadline cut off is none: it might have been answered."""
        self.failed_at = now

    def failure_at_deadline(self, begun: int) -> Failure:
        """Why what began then is not had at its deadline: since the vault has failed it to the end, or since
        its time was too short."""
        return Failure.VAULT_AWAY if self.failed_at >= begun else Failure.LATE


@dataclass(slots=True, eq=False)
class Peer:
    """Another box, as this one has met it."""

    mark: int
    out: int = 0
    trust: float = 1.0
    wrong_until: int = 0
    lag: float = float(FIRST_LAG)
    heard: int = -1  # when it answered last, whatever it said
    listed: bool = True


@dataclass(slots=True, eq=False)
class Ask:
    """Wants a chunk from a peer, or from the vault where `peer` is None; not waited for beyond `until`."""

    want: Want
    peer: Peer | None
    until: int


@dataclass(slots=True, eq=False)
class Pause:
    until: int


@dataclass(slots=True, eq=False)
class Want:
    """A chunk that loads, or other boxes, wait for: fetched once for all of them."""

    digest: str
    size: int
    deadline: int
    waiting: int = 1
    failure: Failure | None = None
    done: bool = False
    steps: Steps | None = None
    order: list[int] = field(default_factory=list)  # of boxes, as of `drawn`
    drawn: int = -1


Steps = Generator[Ask | Pause, Any, None]


@dataclass(slots=True)
class Counts:
    vault_asks: int = 0
    vault_busy: int = 0
    peer_asks: int = 0
    wrong: int = 0
    passed_over: int = 0
    uploads_refused: int = 0
    by_end: dict[End, int] = field(default_factory=dict)


class Chooser:
    def __init__(self, mark: int, seed: int, uploads: int, clock: Callable[[], int]) -> None:
        """`mark` is this box's number at all boxes; `uploads` chunks are sent out at once at most."""
        chance = Random(seed)
        self.pick, self.shuffle = chance.random, chance.shuffle
        self.mark, self.uploads, self.clock = mark, uploads, clock
        self.peers: dict[int, Peer] = {}
        self.wants: dict[str, Want] = {}
        self.window = FIRST_WINDOW  # of this box, once it knows how many there are
        self.next_vault = 0
        self.vault_lag = 100.0 * MS
        self.vault_out = 0
        self.boxes = 1
        self.rosters = 0  # lists of boxes that were told so far
        self.sending = 0
        self.quiet_until = 0  # the vault asked to be left alone
        self.vault = ArtifactStoreState()
        self.counts = Counts()

    # -- what is known

    def members(self, marks: Iterable[int]) -> None:
        """The roster's boxes; one that is no longer named is asked nothing."""
        named = set(marks) - {self.mark}
        for mark, peer in self.peers.items():
            peer.listed = mark in named
        for mark in sorted(named - self.peers.keys()):
            self.peers[mark] = Peer(mark)
        self.boxes = 1 + len(named)
        self.rosters += 1
        self.window = min(self.window, max(1.0, FIRST_WINDOW) / self.boxes)

    def order(self, digest: str) -> list[int]:
        """All boxes in the order that all of them draw for a chunk."""

        def draw(mark: int) -> int:
            return xxhash.xxh3_64_intdigest(f"{digest} {mark}".encode())

        marks = [m for m, peer in self.peers.items() if peer.listed] + [self.mark]
        return sorted(marks, key=draw, reverse=True)

    def plan(self, digests: Iterable[str]) -> list[str]:
        """In what order a load wants its chunks: first those that other boxes will ask this one for, then the
        rest in an order of its own, so that no owner is asked by all boxes at one moment."""
        own: list[str] = []
        rest: list[str] = []
        for digest in digests:
            (own if self.order(digest)[0] == self.mark else rest).append(digest)
        self.shuffle(rest)
        return own + rest

    def usable(self, peer: Peer) -> bool:
        # a peer that stalls is asked seldom, and so can win its trust back
        return self.clock() >= peer.wrong_until and (peer.trust >= LEAST_TRUST or self.pick() < 0.05)

    # -- wants

    def want(self, digest: str, size: int, deadline: int) -> Want:
        """One want a chunk, however many loads and boxes wait for it. A new one has its `steps` to be run."""
        want = self.wants.get(digest)
        if want is not None:
            want.waiting += 1
            want.deadline = max(want.deadline, deadline)
            return want
        want = self.wants[digest] = Want(digest, size, deadline)
        want.steps = self.fetch(want)
        return want

    def leave(self, want: Want) -> None:
        """One that waited does no longer; a chunk that nobody waits for gives its place up at its next
        step."""
        want.waiting -= 1

    def may_send(self) -> bool:
        """Whether another box may have a chunk from here now; own loads never wait for it."""
        if self.sending < self.uploads:
            return True
        self.counts.uploads_refused += 1
        return False

    # -- a chunk from end to end

    def fetch(self, want: Want) -> Steps:
        failed = wrong = 0
        since, begun = 0, self.clock()
        away = False
        passed: set[Peer] = set()
        while not self.over(want):
            peer = self.next_owner(want, passed)
            if peer is not None:
                if peer.out >= PEER_ASKS:
                    yield Pause(self.later(peer.lag / 4))
                    continue
                asked = self.clock()
                end = yield from self.ask_peer(want, peer)
                if end is End.GOOD:
                    break
                if end is End.UNKEPT:
                    want.failure = Failure.NO_ROOM
                    break
                alive = end in (End.BUSY, End.WAIT) or (end is End.LATE and peer.heard >= asked)
                if alive and self.clock() - begun < FALLBACK:
                    yield Pause(self.later(peer.lag / 4))  # it is the owner all the same
                    continue
                away = away or end is End.AWAY
                passed.add(peer)
                continue
            if not self.may_ask_vault():
                yield Pause(max(self.quiet_until, self.next_vault, self.later(self.vault_lag / 4)))
                continue
            end = yield from self.ask_vault(want)
            if end is End.GOOD:
                break
            if end is End.WRONG:
                wrong += 1
            elif end not in (End.BUSY, End.UNKEPT):
                since = since or self.clock()
                failed += 1
            if wrong >= WRONG_AT_VAULT:
                want.failure = Failure.CORRUPT
            elif end is End.UNKEPT:
                want.failure = Failure.NO_ROOM
            elif end is End.MISSING:
                want.failure = Failure.MISSING
            elif (failed and away) or (failed >= AWAY_ASKS and self.clock() - since > AWAY_S):
                want.failure = Failure.VAULT_AWAY
            else:
                yield Pause(self.later(min(SECOND, 100 * MS * 2**failed)))
                passed.clear()  # meanwhile the others may have got it
        want.done = want.failure is None
        self.wants.pop(want.digest, None)

    def may_ask_vault(self) -> bool:
        """Own asks out there are the box's part of what all may have; of many boxes a part of one, now and
        then."""
        now = self.clock()
        return now >= max(self.quiet_until, self.next_vault) and self.vault_out < max(1, int(self.window))

    def over(self, want: Want) -> bool:
        if want.failure is None and (self.clock() >= want.deadline or want.waiting <= 0):
            want.failure = Failure.LATE
        return want.failure is not None

    def next_owner(self, want: Want, passed: set[Peer]) -> Peer | None:
        """Who is to be asked before the vault; None: the vault, as the owner or for want of one."""
        if want.drawn != self.rosters:
            want.order, want.drawn = self.order(want.digest), self.rosters
        for mark in want.order:
            if mark == self.mark or len(passed) >= OWNERS:
                return None
            peer = self.peers[mark]
            if peer in passed:
                continue
            if self.usable(peer):
                return peer
            self.counts.passed_over += 1
        return None

    def ask_peer(self, want: Want, peer: Peer) -> Generator[Ask | Pause, Any, End]:
        begun = self.clock()
        peer.out += 1
        self.counts.peer_asks += 1
        end: End = yield Ask(want, peer, min(want.deadline, begun + int(OVERDUE * max(peer.lag, FIRST_LAG))))
        peer.out -= 1
        self.count(end)
        if end in (End.GOOD, End.UNKEPT):
            peer.lag += (self.clock() - begun - peer.lag) / 8
            peer.trust = min(1.0, peer.trust + TRUST_BACK)
        elif end is End.WRONG:
            peer.wrong_until = self.clock() + WRONG_S
            peer.trust *= TRUST_LOST
            self.counts.wrong += 1
        elif end is End.LATE:
            # asked again as soon as that, a peer that is only slow would be slower still
            peer.lag = min(2 * peer.lag, LONGEST_LAG)
            if peer.heard < begun:
                peer.trust *= TRUST_LOST
        elif end is End.BROKEN:
            peer.trust *= TRUST_LOST
        if end not in (End.LATE, End.BROKEN):
            peer.heard = self.clock()
        return end

    def ask_vault(self, want: Want) -> Generator[Ask | Pause, Any, End]:
        """All boxes together put one more out after a round of good answers, three tenths fewer after a
        refusal: each its part, so that the sum finds what the vault can serve."""
        begun = self.clock()
        self.vault_out += 1
        self.counts.vault_asks += 1
        if self.window < 1:
            self.next_vault = self.later((1 / self.window - 1) * self.vault_lag)
        end: End = yield Ask(want, None, want.deadline)
        self.vault_out -= 1
        self.count(end)
        if end is End.BROKEN:
            self.vault.record_failure(self.clock())
        elif end is not End.LATE:
            self.vault.record_answer()
        if end in (End.GOOD, End.UNKEPT):
            self.vault_lag += (self.clock() - begun - self.vault_lag) / 8
            self.window += 1 / (self.boxes * max(1.0, self.window))
        elif end is End.BUSY:
            self.counts.vault_busy += 1
            if self.clock() >= self.quiet_until:  # refusals of one moment count once
                self.window = max(LEAST_WINDOW / self.boxes, self.window * 0.7)
                self.quiet_until = self.later(2 * self.vault_lag)
        return end

    def later(self, wait: float) -> int:
        """Not all at the same time: between half and one and a half of it."""
        return self.clock() + int(wait * (0.5 + self.pick()))

    def count(self, end: End) -> None:
        self.counts.by_end[end] = self.counts.by_end.get(end, 0) + 1
