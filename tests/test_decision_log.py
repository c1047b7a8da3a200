"""The decision log: the entries for a request and for a load request, if it is configured."""

from __future__ import annotations

from typing import Any

import pytest
from structlog.testing import capture_logs

from martenlead.policy.types import LoadRequest
from support.fleet import respond_ok, run_edge, until

pytestmark = pytest.mark.anyio


def entries_of(logs: list[dict[str, Any]], event: str) -> list[dict[str, Any]]:
    """Returns the log entries of an event."""
    return [entry for entry in logs if entry["event"] == event]


async def test_decisions_and_their_results_are_logged() -> None:
    """Compares the entries of a decision and of its result, for an attempt and for a load request."""
    with capture_logs() as logs:
        async with run_edge({"a": [respond_ok]}, log={"decisions": True}) as rig:
            assert (await rig.call("estimate"))[0] == 200
            await until(lambda: entries_of(logs, "attempt_ended"))
            (function,) = rig.dispatcher.functions_by_name.values()
            worker = rig.dispatcher.workers[entries_of(logs, "attempt_ended")[0]["worker"]]
            rig.dispatcher._perform(LoadRequest(worker.policy_worker, function.policy_function, 0))
            await until(lambda: entries_of(logs, "load_request_ended"))
    (attempt,) = [entry for entry in entries_of(logs, "decision_made") if entry["action"] == "Attempt"]
    assert attempt["edge"] and attempt["worker"] in "ab" and attempt["request"]
    (attempt_end,) = entries_of(logs, "attempt_ended")
    assert (attempt_end["request"], attempt_end["result"]) == (attempt["request"], "satisfied")
    (load_request,) = [
        entry for entry in entries_of(logs, "decision_made") if entry["action"] == "LoadRequest"
    ]
    assert (load_request["worker"], load_request["function"], load_request["replicas"]) == (
        worker.endpoint.id,
        function.name,
        0,
    )
    (load_end,) = entries_of(logs, "load_request_ended")
    assert (load_end["worker"], load_end["function"]) == (worker.endpoint.id, function.name)


@pytest.mark.parametrize("event", ["decision_made", "attempt_ended", "load_request_ended"])
async def test_nothing_is_logged_unless_configured(event: str) -> None:
    """Serves a request with the default settings."""
    with capture_logs() as logs:
        async with run_edge() as rig:
            assert (await rig.call("estimate"))[0] == 200
    assert not entries_of(logs, event)
