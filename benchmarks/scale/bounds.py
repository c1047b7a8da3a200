"""Bounds on a dispatcher's costs in a fleet of more and smaller workers, relative to the usual size.

A bound is a multiple of the usual figure, plus a constant, plus an amount per thousand workers. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

MEGABYTE = 1e6
KILOBYTE = 1e3


@dataclass(frozen=True, slots=True)
class Bound:
    """At most `times` the usual figure, plus `plus`, plus `per_thousand` for each thousand workers."""

    title: str
    unit: str
    times: float
    plus: float = 0.0
    per_thousand: float = 0.0
    at_least: bool = False  # Whether the bound is a lower limit instead of an upper one.

    def limit(self, usual: float, workers: int) -> float:
        """Returns the limit for a number of workers, given the figure at the usual size."""
        return self.times * usual + self.plus + self.per_thousand * workers / 1_000

    def holds(self, usual: float, found: float, workers: int) -> bool:
        """Whether `found` is within the bound; a figure equal to the limit is."""
        limit = self.limit(usual, workers)
        return found >= limit if self.at_least else found <= limit


BOUNDS = {
    "cpu_seconds": Bound("CPU seconds", "s", 1.4, plus=0.02, per_thousand=0.12),
    "peak_memory_bytes": Bound("peak memory", "bytes", 1.5, plus=8 * MEGABYTE, per_thousand=4 * MEGABYTE),
    "descriptors": Bound("descriptors", "", 2.0, plus=40),
    "connections_made": Bound("connections made to workers", "", 2.5, plus=40),
    "list_bytes": Bound(
        "bytes of lists from discovery", "bytes", 2.0, plus=64 * KILOBYTE, per_thousand=500 * KILOBYTE
    ),
    "share_served": Bound("share served", "", 0.85, at_least=True),
}


@dataclass(frozen=True, slots=True)
class Verdict:
    """One figure of one size compared with its bound."""

    name: str
    workers: int
    usual: float
    found: float
    limit: float
    holds: bool


def verdicts(usual: dict[str, float], found: dict[str, float], workers: int) -> list[Verdict]:
    """Checks each bound at one size. Raises KeyError where either side lacks a bounded figure."""
    return [
        Verdict(
            name,
            workers,
            usual[name],
            found[name],
            bound.limit(usual[name], workers),
            bound.holds(usual[name], found[name], workers),
        )
        for name, bound in BOUNDS.items()
    ]
