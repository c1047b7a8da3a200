"""Reservations: when a rejected request may return and be admitted ahead of others.

A reservation belongs to one trace id. It can be redeemed once, inside its window. The number of
reservations is bounded, and the oldest are dropped first.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import NamedTuple

from martenlead.admission.units import NS_PER_MS, NS_PER_SECOND

MIN_RETRY_AFTER_NS, MAX_RETRY_AFTER_NS = 100 * NS_PER_MS, 120 * NS_PER_SECOND
MAX_RESERVATIONS = 16_384
# A reservation may be redeemed early by this share of its Retry-After time.
EARLY_ARRIVAL_SHARE = 0.1
RESERVATION_GRACE_NS = 2 * NS_PER_SECOND  # Validity of a reservation after its Retry-After time


class ReservationWindow(NamedTuple):
    """When a reservation may be redeemed, by the clock of this dispatcher."""

    not_before_ns: int
    not_after_ns: int


class Redemption(NamedTuple):
    """The result of an attempt to redeem a reservation."""

    is_redeemed: bool
    remaining_ns: int  # Rest of the Retry-After time if the request is too early, otherwise 0


NOT_RESERVED = Redemption(is_redeemed=False, remaining_ns=0)
REDEEMED = Redemption(is_redeemed=True, remaining_ns=0)


class Reservations:
    """Open reservations, and the trace ids of redeemed ones."""

    def __init__(self, counts: Counter[str]) -> None:
        self._counts = counts
        self._windows: OrderedDict[int, ReservationWindow] = OrderedDict()  # Open ones by trace id
        # Trace ids of closed reservations, so that none is redeemed twice
        self._redeemed: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        """The number of open reservations."""
        return len(self._windows)

    def __contains__(self, trace_id: int) -> bool:
        """Whether a request has an open reservation."""
        return trace_id in self._windows

    def grant(self, trace_id: int, now_ns: int, retry_after_ns: int) -> ReservationWindow:
        """Opens a reservation for a request that is rejected now."""
        window = ReservationWindow(
            now_ns + int((1 - EARLY_ARRIVAL_SHARE) * retry_after_ns),
            now_ns + retry_after_ns + RESERVATION_GRACE_NS,
        )
        self._windows[trace_id] = window
        self._windows.move_to_end(trace_id)
        self._redeemed.pop(trace_id, None)
        while len(self._windows) > MAX_RESERVATIONS:
            self._windows.popitem(last=False)
        return window

    def redeem(self, trace_id: int, now_ns: int, presented: tuple[int, int] | None) -> Redemption:
        """Closes the reservation of a request that arrives now, unless it is too early.

        `presented` is the window of a reservation that another dispatcher granted to the request.
        """
        window = self._windows.get(trace_id)
        if window is None and presented is not None and trace_id not in self._redeemed:
            window = self._windows[trace_id] = ReservationWindow(*presented)
            self._counts["brought"] += 1
        if window is None:
            return NOT_RESERVED
        if now_ns < window.not_before_ns:
            self._counts["early"] += 1
            return Redemption(
                is_redeemed=False, remaining_ns=window.not_after_ns - RESERVATION_GRACE_NS - now_ns
            )
        self._close(trace_id)
        if now_ns > window.not_after_ns:
            return NOT_RESERVED
        self._counts["kept"] += 1
        return REDEEMED

    def _close(self, trace_id: int) -> None:
        del self._windows[trace_id]
        self._redeemed[trace_id] = None
        if len(self._redeemed) > MAX_RESERVATIONS:
            self._redeemed.popitem(last=False)
