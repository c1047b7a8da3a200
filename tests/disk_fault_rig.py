"""Shared by the tests of state on a failing disk: a kind of state, retry delays and the error codes."""

from __future__ import annotations

import errno
from functools import partial
from pathlib import Path

import pytest

from martenlead.durable_state.store import StateKind
from martenlead.system.durable_file import Backoff
from support.disk_faults import ERRNOS

THING = StateKind("thing")
QUICK = partial(Backoff, first_seconds=0.001, longest_seconds=0.004)


class NoRetry(Backoff):
    """A backoff that is longer than any test."""

    def next_seconds(self) -> float:
        """Returns one hour."""
        return 3600.0


each_errno = pytest.mark.parametrize("code", ERRNOS, ids=[errno.errorcode[e] for e in ERRNOS])


def temporary_files(root: Path) -> list[Path]:
    """Returns the temporary files of unfinished writes below a folder."""
    return [path for path in root.rglob("*") if path.name.endswith((".new", ".part"))]
