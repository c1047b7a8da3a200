"""Every program that runs an event loop logs JSON lines, with tracebacks as plain text."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio
import pytest
import structlog
from click.testing import CliRunner

from martenlead.cli.edge import edge
from martenlead.cli.layers import agent
from martenlead.cli.plan import plan
from support.fleet import REQUEST_CLASSES

PROGRAMS = {
    "edge": (edge, {"name": "e", "roster": {"port": 1}, "offerings": REQUEST_CLASSES}),
    "planner": (plan, {}),
    "agent": (agent, {"name": "w", "cache": "cache", "vault": {"port": 1}}),
}


@pytest.fixture(autouse=True)
def restored_log_configuration() -> Iterator[None]:
    """Restores the log's configuration, which the programs replace."""
    configuration = structlog.get_config()
    yield
    structlog.configure(**configuration)


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_fault_is_logged_as_one_line_of_json(
    program: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against tracebacks that stall the event loop for a tenth of a second."""

    def run(*_: Any, **__: Any) -> None:
        """Logs an exception in place of running the program."""
        try:
            raise KeyError("a fault of ours")
        except KeyError as error:
            structlog.get_logger().error("fault_recorded", exc_info=error)

    monkeypatch.setattr(anyio, "run", run)
    monkeypatch.chdir(tmp_path)
    command, settings = PROGRAMS[program]
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    result = CliRunner().invoke(command, [str(path)])
    assert result.exit_code == 0, result.output
    (line,) = result.stderr.splitlines()
    record = json.loads(line)
    assert (record["event"], record["level"]) == ("fault_recorded", "error")
    assert "KeyError: 'a fault of ours'" in record["exception"] and "locals" not in record["exception"]
