"""The log of decisions: which lines an operator gets for a request and for a load request, if asked for."""

from __future__ import annotations

from typing import Any

import pytest
from structlog.testing import capture_logs

from martenlead.policy.types import LoadRequest
from support.fleet import fleet, satisfied, until

pytestmark = pytest.mark.anyio


def lines(logs: list[dict[str, Any]], event: str) -> list[dict[str, Any]]:
    return [line for line in logs if line["event"] == event]


async def test_a_line_for_each_decision_and_for_what_became_of_it() -> None:
    with capture_logs() as logs:
        async with fleet({"a": [satisfied]}, log={"decisions": True}) as f:
            assert (await f.call("estimate"))[0] == 200
            await until(lambda: lines(logs, "attempt_ended"))
            (known,) = f.dispatcher.functions_by_name.values()
            box = f.dispatcher.workers[lines(logs, "attempt_ended")[0]["worker"]]
            f.dispatcher._perform(LoadRequest(box.policy_worker, known.policy_function, 0))
            await until(lambda: lines(logs, "load_request_ended"))
    (sent,) = [line for line in lines(logs, "decision_made") if line["action"] == "Attempt"]
    assert sent["edge"] and sent["worker"] in "ab" and sent["request"]
    (heard,) = lines(logs, "attempt_ended")
    assert (heard["request"], heard["result"]) == (sent["request"], "satisfied")
    (load,) = [line for line in lines(logs, "decision_made") if line["action"] == "LoadRequest"]
    assert (load["worker"], load["function"], load["replicas"]) == (box.endpoint.id, known.name, 0)
    (ended,) = lines(logs, "load_request_ended")
    assert (ended["worker"], ended["function"]) == (box.endpoint.id, known.name)


@pytest.mark.parametrize("event", ["decision_made", "attempt_ended", "load_request_ended"])
async def test_no_such_line_where_it_is_not_asked_for(event: str) -> None:
    with capture_logs() as logs:
        async with fleet() as f:
            assert (await f.call("estimate"))[0] == 200
    assert not lines(logs, event)
