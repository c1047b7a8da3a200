"""Settings and events that are not what the pages say: refused in a line, or passed over, as no proof."""

from __future__ import annotations

import copy
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from martenlead.node import config
from martenlead.policy.types import WorkerState
from martenlead.simulator_adapter import settings as simulator_settings
from martenlead.simulator_adapter.dispatcher import SimulatedDispatcher
from martenlead.simulator_adapter.messages import Reply
from martenlead.simulator_adapter.settings import Profile, SettingsError
from tests.nodes import SETTINGS

GONE: Any = object()
BAD: list[tuple[str, Any]] = [
    ("balancers", 0),  # divided by
    ("balancers", "three"),
    ("balancers", GONE),
    ("granularity", "2ms"),
    ("granularity", -0.1),
    ("allowed", 7),
    ("allowed attempts-cap", 0),
    ("allowed may-duplicate", "no"),
    ("rules cold", 1e308),  # no whole number of ns
    ("rules cold-from", 1.5),
    ("rules fall-multiple", None),
    ("family-info", []),
    ("family-info if-cold", "perhaps"),
    ("family-info kind-memory-mb", [1.0, 2.0]),  # of one kind
    ("family-info kind-memory-mb", [0]),
    ("classes", []),
    ("classes 0 on-time", -1),  # a wait that never ends its loop
    ("classes 0 effect", "odd"),
    ("classes 1 group", "wing"),
    ("orgs", {"acme": 1}),
    ("orgs 0 quota-per-s", -1),
    ("registry-mode", "telepathy"),
    ("weights", "light"),
]


def settings(path: str, value: Any) -> dict[str, Any]:
    told = copy.deepcopy(SETTINGS)
    *way, last = (int(part) if part.isdigit() else part for part in path.split())
    at: Any = told
    for part in way:
        at = at[part]
    if value is GONE:
        del at[last]
    else:
        at[last] = value
    return told


def node(tmp_path: Path, **more: Any) -> subprocess.Popen[str]:
    """One that no runner is known to, on a port of its own."""
    path = tmp_path / "config.json"
    told = {"name": "n", "listen": "127.0.0.1:0", "journal": "127.0.0.1:9", "settings": SETTINGS}
    known = {"known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"complete": True, "members": []}}]}}
    path.write_text(json.dumps(told | known | more))
    command, env = [sys.executable, "-m", "martenlead.node"], {**os.environ, "ROUTER_CONFIG": str(path)}
    return subprocess.Popen(command, env=env, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


@pytest.mark.parametrize(("path", "value"), BAD)
def test_settings_that_cannot_be_used_are_refused_where_they_are_wrong(path: str, value: Any) -> None:
    with pytest.raises(SettingsError) as caught:
        Profile(settings(path, value))
    assert "\n" not in str(caught.value)
    assert path.split()[-1] in str(caught.value) or "kinds of machine" in str(caught.value)


def test_what_has_a_default_may_be_absent_or_null_and_unknown_keys_are_passed_over() -> None:
    told = {k: SETTINGS[k] for k in ("balancers", "granularity", "classes", "rules")}
    told |= {"allowed": {"attempts-cap": 2, "later": [1]}, "later": {"a": 1}}
    bare = Profile(told)
    nulls = dict.fromkeys(("family-info", "orgs", "azs", "skus", "weights", "prices", "registry-mode"))
    assert Profile(told | nulls | {"over-share-worth": None}).settings.__repr__() == repr(bare.settings)
    s = bare.settings
    assert (s.may_hedge, s.may_request_loads, s.loads_on_miss, s.keep_alive_ns, s.over_share) == (
        False,
        False,
        True,
        0,
        1.0,
    )


def test_every_key_of_the_settings_is_that_of_the_wire() -> None:
    """A key that is spelt otherwise would be passed over as one of a site's own."""
    keys = {
        simulator_settings.RequestClassSettings: (
            "name effect on-time give-up group dedup-window late-value"
        ),
        simulator_settings.TenantSettings: "name quota-per-s",
        simulator_settings.DispatcherLimits: (
            "attempts-cap may-duplicate cancel retry-after max-retry-after streams-per-conn"
            " connect-timeout conn-idle"
        ),
        simulator_settings.SlowStartSettings: "cold-from cold fall-multiple ask-every",
        simulator_settings.FunctionSettings: (
            "kind-memory-mb placement-calls tells-warm if-cold linger-idle load-period loads-anyway"
            " loads-per-request memory-price order-limit"
        ),
        simulator_settings.Prices: "origin",
        simulator_settings.SimulatorSettings: (
            "allowed rules classes balancers granularity family-info orgs azs skus weights"
            " over-share-worth prices registry-mode"
        ),
    }
    assert {kind: " ".join(kind.__struct_encode_fields__) for kind in keys} == keys
    late = [{**c, "late-value": 0.25} for c in SETTINGS["classes"]]
    assert Profile({**SETTINGS, "classes": late}).settings.late_value == 0.25


@pytest.mark.parametrize(
    "wrong",
    [
        {"settings": settings("balancers", 0)},
        {"settings": settings("classes 0 give-up", GONE)},
        {"settings": {}},
        {"limits": {"memory_mb": 0}},
        {"limits": {"sockets": "many"}},
        {"listen": "127.0.0.1:99999"},
        {"listen": "192.0.2.1:9"},  # of no machine
    ],
)
def test_a_node_says_in_one_line_why_it_does_not_start(wrong: dict[str, Any], tmp_path: Path) -> None:
    with node(tmp_path, **wrong) as ended:
        said = ended.communicate(timeout=30)[1].splitlines()
    assert (ended.returncode, sum('"level": "error"' in line for line in said)) == (2, 1)
    assert all(json.loads(line) for line in said)  # no traceback among them


def test_a_file_too_deep_to_be_read_is_no_configuration(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text('{"settings":' + "[" * 100_000)
    with pytest.raises(config.ConfigError):
        config.read_config(path)


def test_events_with_odd_fields_prove_nothing_and_lose_no_task() -> None:
    out: list[Reply] = []
    one = SimulatedDispatcher(0, {"profile-data": SETTINGS, "seed": 1}, 0, out)

    def hear(msg: str, **event: Any) -> list[dict[str, Any]]:
        out.clear()
        one.handle_event({"msg": msg, **event}, 10**9)
        one.advance_timers(10**9)
        return [a for a in msgspec.to_builtins(out) if a["msg"] != "remind"]

    lines = [{"runner": "a:1", "heft": "big", "campus": 3, "cluster": []}, {"runner": "b:1", "status": "Z"}]
    hear("update", form="C", items=[*lines, {"campus": "x"}, 7])
    assert {n: r.facts.state for n, r in one.workers.items()} == {
        "a:1": WorkerState.UP,
        "b:1": WorkerState.DRAINING,
    }
    task = {"fn": "0a", "band": "unsafe", "give-up-at": 3.0, "per-copy": "two", "ram-mb": None, "cost": -1}
    bad = [{"band": "none"}, {"fn": "no number"}, {"fn": 5}, {"give-up-at": "soon"}, {"give-up-at": None}]
    for n, wrong in enumerate(bad):
        assert hear("request", **task | wrong, ref=str(n)) == [
            {"msg": "finish-error", "dispatcher": 0, "ref": str(n)}
        ]
    (sent,) = hear("request", **task, ref="t")
    assert (sent["msg"], sent["runner"]) == ("issue", "a:1")
    assert hear("closed-attempt", ref=["t"], hop=0, reason="turned_away") == []  # of no task
    # a word that is not known does not prove that it never ran: an unrepeatable task is not sent again
    (ended,) = hear("closed-attempt", ref="t", reason=["turned_away"], lag="late", note="warm")
    assert ended["msg"] == "finish-error"
    assert hear("closed-attempt", ref="t", reason="served") == []


def test_a_node_looks_nothing_up_on_threads_of_its_own(tmp_path: Path) -> None:
    """Four threads of the event loop resolved the address that was told as a number, and stayed."""
    with node(tmp_path) as served:
        assert served.stderr is not None
        assert any('"event": "node_started"' in line for line in served.stderr)
        assert len(list(Path(f"/proc/{served.pid}/task").iterdir())) == 1
        served.kill()
