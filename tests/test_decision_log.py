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
            await until(lambda: lines(logs, "hears"))
            (known,) = f.dispatcher.functions_by_name.values()
            box = f.dispatcher.workers[lines(logs, "hears")[0]["runner"]]
            f.dispatcher._carry_out(LoadRequest(box.policy_worker, known.policy_function, 0))
            await until(lambda: lines(logs, "order ends"))
    (sent,) = [line for line in lines(logs, "decides") if line["what"] == "HandOff"]
    assert sent["edge"] and sent["runner"] in "ab" and sent["task"]
    (heard,) = lines(logs, "hears")
    assert (heard["task"], heard["result"]) == (sent["task"], "satisfied")
    (load,) = [line for line in lines(logs, "decides") if line["what"] == "Order"]
    assert (load["runner"], load["model"], load["copies"]) == (box.endpoint.id, known.name, 0)
    (ended,) = lines(logs, "order ends")
    assert (ended["runner"], ended["model"]) == (box.endpoint.id, known.name)


@pytest.mark.parametrize("event", ["decides", "hears", "order ends"])
async def test_no_such_line_where_it_is_not_asked_for(event: str) -> None:
    with capture_logs() as logs:
        async with fleet() as f:
            assert (await f.call("estimate"))[0] == 200
    assert not lines(logs, event)
