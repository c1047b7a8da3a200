"""Only martenlead/system/clocks.py reads the wall clock or the boot clock; each use of it is listed here."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "martenlead"
CLOCKS = "system/clocks.py"
CLOCK_FUNCTIONS = {"wall_ns", "moment", "unix_clock"}  # functions of `CLOCKS` that read the wall clock
TIME_READS = {
    *("time", "time_ns", "clock_gettime", "clock_gettime_ns", "gmtime", "localtime", "ctime", "asctime"),
    *("strftime", "CLOCK_REALTIME", "CLOCK_BOOTTIME", "CLOCK_TAI"),
}
DATE_READS = {"now", "utcnow", "today"}
FILE_TIMES = {
    *("st_mtime", "st_mtime_ns", "st_ctime", "st_ctime_ns", "st_atime", "st_atime_ns", "st_birthtime"),
    *("getmtime", "getctime", "getatime", "utime"),
}
OTHER_READS = {"TimeStamper", "uuid1", "formatdate"}

USES = {
    "node/serve.py Node.__init__ unix_clock": "starts of workers are Unix times; bounded by worker_age",
    "system/log.py configure_log TimeStamper": "the time of a log line, for people",
    "edge/protocol.py _read_time_left_ms wall_ns": "`expirytime` is a Unix time; judged once, on arrival",
    "edge/queue_admission.py QueueAdmission.__init__ wall_ns": "reservations travel as Unix times",
    "edge/knowledge_saver.py KnowledgeSaver.__init__ wall_ns": "the time of saving, for another boot",
    "upstream/endpoints.py make_cached_endpoints moment": "the time of writing, for people",
    "upstream/endpoints.py load_cached_endpoints moment": "its boot clock alone",
    "planner/server.py Planner.__init__ moment": "the time of saving, for another boot",
    "planner/replica_store.py ReplicaStore.__init__ moment": "the same, handed on by the planner",
    "cli/state.py _age moment": "the age of a file from another boot of the machine, for people",
    "capture/run_folder.py RunFolder._next_run wall_ns": "a name for people; greater than all existing ones",
    "capture/recorder.py CaptureRecorder._record_start wall_ns": "when a capture began, for people",
    "layers/cache.py Cache._next_set_aside_time wall_ns": "a name for people; greater than all existing ones",
    "layers/cache.py Cache._write_use wall_ns": "the time of last use; later than all before it",
    "layers/cache.py Cache._write_use utime": "keeps that time with the file",
    "layers/cache.py Cache._scan st_mtime_ns": "reads that time for its order alone",
    "layers/image.py _format_now wall_ns": "when an image was made, as its format asks for",
    "standins/client.py ScriptedClients.send_try wall_ns": "a client's `expirytime` is a Unix time",
    "standins/depot.py ArtifactStore.read_index st_mtime_ns": "compared to detect a replaced file",
}


class ReadFinder(ast.NodeVisitor):
    """Finds all reads of the wall clock in a module, as `scope name`."""

    def __init__(self) -> None:
        self.scope: list[str] = []
        self.found: list[str] = []

    def add(self, name: str) -> None:
        """Adds a read in the current scope."""
        self.found.append(f"{'.'.join(self.scope)} {name}".strip())

    def visit_scope(self, node: ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef) -> None:
        """Visits a class or a function as a scope of its own."""
        self.scope.append(node.name)
        self.generic_visit(node)
        self.scope.pop()

    visit_ClassDef = visit_scope
    visit_FunctionDef = visit_scope
    visit_AsyncFunctionDef = visit_scope

    def visit_ImportFrom(self, node: ast.ImportFrom) -> None:
        """Finds imported functions that read a clock, and clock functions that are renamed."""
        for alias in node.names:
            if node.module == "time" and alias.name in TIME_READS:
                self.add(alias.name)
            if (node.module or "").endswith("system.clocks") and alias.asname in CLOCK_FUNCTIONS:
                self.add(f"{alias.name} under the name of a clock")
            if (
                (node.module or "").endswith("system.clocks")
                and alias.name in CLOCK_FUNCTIONS
                and alias.asname
            ):
                self.add(f"{alias.name} under another name")
            if alias.name in OTHER_READS | (FILE_TIMES - {"utime"}):
                self.add(alias.name)

    def visit_Import(self, node: ast.Import) -> None:
        """Finds modules with clocks that are imported under another name."""
        for alias in node.names:
            if alias.name in ("time", "datetime") and alias.asname not in (None, alias.name):
                self.add(f"{alias.name} under another name")

    def visit_Attribute(self, node: ast.Attribute) -> None:
        """Finds reads through a module, a class or an object."""
        receiver = ast.unparse(node.value).rpartition(".")[2]
        if receiver == "time" and node.attr in TIME_READS:
            self.add(f"time.{node.attr}")
        elif receiver in ("datetime", "date") and node.attr in DATE_READS:
            self.add(f"{receiver}.{node.attr}")
        elif node.attr in FILE_TIMES | OTHER_READS or (receiver == "clocks" and node.attr in CLOCK_FUNCTIONS):
            self.add(node.attr)
        self.generic_visit(node)

    def visit_Name(self, node: ast.Name) -> None:
        """Finds reads through an imported function."""
        if isinstance(node.ctx, ast.Load) and node.id in CLOCK_FUNCTIONS | OTHER_READS:
            self.add(node.id)


def find_reads(source: str) -> list[str]:
    """Returns all reads of the wall clock in a module's source, as `scope name`."""
    finder = ReadFinder()
    finder.visit(ast.parse(source))
    return finder.found


def find_uses() -> Iterator[str]:
    """Yields all reads of the wall clock in the program, as `file scope name`."""
    for path in sorted(ROOT.rglob("*.py")):
        name = path.relative_to(ROOT).as_posix()
        if name != CLOCKS:
            yield from (f"{name} {found}" for found in find_reads(path.read_text()))


def test_every_read_of_the_wall_clock_is_named_with_its_reason() -> None:
    found = set(find_uses())
    assert sorted(found - USES.keys()) == []
    assert sorted(USES.keys() - found) == []


@pytest.mark.parametrize(
    "source",
    [
        "import time\nx = time.time()",
        "import time\nx = time.time_ns",
        "from time import time_ns",
        "import time as t",
        "import time\nx = time.clock_gettime(time.CLOCK_REALTIME)",
        "import time\nx = time.clock_gettime_ns(time.CLOCK_BOOTTIME)",
        "from datetime import datetime\nx = datetime.now()",
        "import datetime\nx = datetime.datetime.utcnow()",
        "from datetime import date\nx = date.today()",
        "x = path.stat().st_mtime",
        "import os\nos.utime(path)",
        "from os.path import getmtime",
        "import structlog\nx = structlog.processors.TimeStamper()",
        "from uuid import uuid1",
        "from martenlead.system.clocks import wall_ns as steady",
        "from martenlead.system import clocks\nx = clocks.wall_ns()",
        "from martenlead.system.clocks import moment\nx = moment()",
    ],
)
def test_a_read_is_found_in_every_form(source: str) -> None:
    assert find_reads(source)


def test_clocks_that_are_never_stepped_may_be_read_anywhere() -> None:
    assert (
        find_reads("import time\nfrom time import monotonic_ns\nx = time.monotonic() + time.perf_counter()")
        == []
    )
