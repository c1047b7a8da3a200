"""Problems found while a trace is read, counted by kind, with the first lines of each.

Reading continues after a problem, unless the share of unusable rows exceeds a limit.
"""

from __future__ import annotations

from collections import Counter, defaultdict

EXAMPLES_PER_KIND = 5
MIN_ROWS_TO_CHECK = 200
"""With fewer rows the share of unusable ones is checked only at the end."""
UNUSABLE_KINDS = (
    "columns",
    "not a number",
    "negative",
    "overflow",
    "encoding",
    "empty name",
    "last line cut short",
    "file cut short",
    "ends before it starts",
)
"""Rows with such a problem are dropped; rows with a problem of any other kind are used."""


class TraceError(Exception):
    """The trace cannot be read. The text gives the file, the line, and what was expected."""


class TraceProblems:
    """Counts the rows of a trace and the problems in them."""

    def __init__(self, max_unusable_share: float) -> None:
        self.max_unusable_share = max_unusable_share
        self.rows = 0
        self.unusable_rows = 0
        self.counts: Counter[str] = Counter()
        self.examples: dict[str, list[str]] = defaultdict(list)

    def record(self, kind: str, path: str, line: int, message: str = "") -> None:
        """Counts a problem. Raises `TraceError` once too many rows are unusable."""
        self.counts[kind] += 1
        if len(self.examples[kind]) < EXAMPLES_PER_KIND:
            self.examples[kind].append(f"{path}:{line}: {message or kind}")
        if kind in UNUSABLE_KINDS:
            self.unusable_rows += 1
            if self.rows >= MIN_ROWS_TO_CHECK:
                self.check_unusable_share()

    def check_unusable_share(self) -> None:
        """Raises `TraceError` if the share of unusable rows is over the limit."""
        if self.unusable_rows <= self.max_unusable_share * max(self.rows, 1):
            return
        unusable = (lines[0] for kind, lines in self.examples.items() if kind in UNUSABLE_KINDS)
        message = (
            f"{self.unusable_rows} of {self.rows} rows cannot be used, "
            f"more than {self.max_unusable_share:.1%}; the first: {next(unusable, '')}"
        )
        raise TraceError(message)

    def to_json_object(self) -> dict[str, object]:
        """Returns the counts under the keys that the command line prints."""
        return {
            "rows": self.rows,
            "left out": self.unusable_rows,
            "kinds": {
                kind: {"count": count, "first": self.examples[kind]}
                for kind, count in sorted(self.counts.items())
            },
        }
