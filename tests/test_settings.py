"""Invalid settings are rejected with one line of text; invalid fields of events are ignored."""

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
from support.node_rig import SETTINGS

ABSENT: Any = object()
INVALID: list[tuple[str, Any]] = [
    ("balancers", 0),  # is used as a divisor
    ("balancers", "three"),
    ("balancers", ABSENT),
    ("granularity", "2ms"),
    ("granularity", -0.1),
    ("allowed", 7),
    ("allowed attempts-cap", 0),
    ("allowed may-duplicate", "no"),
    ("rules cold", 1e308),  # too large for a whole number of ns
    ("rules cold-from", 1.5),
    ("rules fall-multiple", None),
    ("family-info", []),
    ("family-info if-cold", "perhaps"),
    ("family-info kind-memory-mb", [1.0, 2.0]),  # sizes for two kinds of machine, but only one is named
    ("family-info kind-memory-mb", [0]),
    ("classes", []),
    ("classes 0 on-time", -1),  # would lead to waits without an end
    ("classes 0 effect", "odd"),
    ("classes 1 group", "wing"),
    ("orgs", {"acme": 1}),
    ("orgs 0 quota-per-s", -1),
    ("registry-mode", "telepathy"),
    ("weights", "light"),
]


def settings_with(path: str, value: Any) -> dict[str, Any]:
    """The settings with another value at a path of keys, or without the key if the value is ABSENT."""
    changed = copy.deepcopy(SETTINGS)
    *parents, last = (int(part) if part.isdigit() else part for part in path.split())
    section: Any = changed
    for part in parents:
        section = section[part]
    if value is ABSENT:
        del section[last]
    else:
        section[last] = value
    return changed


def start_node(tmp_path: Path, **changes: Any) -> subprocess.Popen[str]:
    """Starts a node that knows no worker, on a port of its own, with changes of its configuration."""
    path = tmp_path / "config.json"
    configuration = {"name": "n", "listen": "127.0.0.1:0", "journal": "127.0.0.1:9", "settings": SETTINGS}
    known = {"known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"complete": True, "members": []}}]}}
    path.write_text(json.dumps(configuration | known | changes))
    command, env = [sys.executable, "-m", "martenlead.node"], {**os.environ, "ROUTER_CONFIG": str(path)}
    return subprocess.Popen(command, env=env, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


@pytest.mark.parametrize(("path", "value"), INVALID)
def test_unusable_settings_are_rejected_with_the_key_that_is_wrong(path: str, value: Any) -> None:
    """The message is one line and names the key."""
    with pytest.raises(SettingsError) as caught:
        Profile(settings_with(path, value))
    assert "\n" not in str(caught.value)
    assert path.split()[-1] in str(caught.value) or "kinds of machine" in str(caught.value)


def test_settings_with_a_default_may_be_absent_or_null_and_unknown_keys_are_ignored() -> None:
    """An absent setting and null give the same settings."""
    values = {k: SETTINGS[k] for k in ("balancers", "granularity", "classes", "rules")}
    values |= {"allowed": {"attempts-cap": 2, "later": [1]}, "later": {"a": 1}}
    bare = Profile(values)
    nulls = dict.fromkeys(("family-info", "orgs", "azs", "skus", "weights", "prices", "registry-mode"))
    assert Profile(values | nulls | {"over-share-worth": None}).settings.__repr__() == repr(bare.settings)
    defaults = bare.settings
    assert (
        defaults.may_hedge,
        defaults.may_request_loads,
        defaults.loads_on_miss,
        defaults.keep_alive_ns,
        defaults.over_share,
    ) == (
        False,
        False,
        True,
        0,
        1.0,
    )


def test_every_key_of_the_settings_is_that_of_the_wire() -> None:
    """A misspelt key would be ignored like a site's own key."""
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
    classes = [{**c, "late-value": 0.25} for c in SETTINGS["classes"]]
    assert Profile({**SETTINGS, "classes": classes}).settings.late_value == 0.25


@pytest.mark.parametrize(
    "changes",
    [
        {"settings": settings_with("balancers", 0)},
        {"settings": settings_with("classes 0 give-up", ABSENT)},
        {"settings": {}},
        {"limits": {"memory_mb": 0}},
        {"limits": {"sockets": "many"}},
        {"listen": "127.0.0.1:99999"},
        {"listen": "192.0.2.1:9"},  # an address of no machine
    ],
)
def test_a_node_logs_in_one_line_why_it_does_not_start(changes: dict[str, Any], tmp_path: Path) -> None:
    """It logs one error, as JSON, and exits with status 2."""
    with start_node(tmp_path, **changes) as ended:
        log_lines = ended.communicate(timeout=30)[1].splitlines()
    assert (ended.returncode, sum('"level": "error"' in line for line in log_lines)) == (2, 1)
    assert all(json.loads(line) for line in log_lines)  # no traceback among them


def test_a_file_with_too_deep_nesting_is_no_configuration(tmp_path: Path) -> None:
    """It is rejected like other invalid files, instead of ending the program with a RecursionError."""
    path = tmp_path / "config.json"
    path.write_text('{"settings":' + "[" * 100_000)
    with pytest.raises(config.ConfigError):
        config.read_config(path)


def test_events_with_invalid_fields_are_handled_and_lose_no_request() -> None:
    """A request with an unusable field fails; other unusable fields count as unknown."""
    replies: list[Reply] = []
    dispatcher = SimulatedDispatcher(0, {"profile-data": SETTINGS, "seed": 1}, 0, replies)

    def handle(msg: str, **event: Any) -> list[dict[str, Any]]:
        """Handles an event, and returns the replies other than timers."""
        replies.clear()
        dispatcher.handle_event({"msg": msg, **event}, 10**9)
        dispatcher.advance_timers(10**9)
        return [a for a in msgspec.to_builtins(replies) if a["msg"] != "remind"]

    workers = [{"runner": "a:1", "heft": "big", "campus": 3, "cluster": []}, {"runner": "b:1", "status": "Z"}]
    handle("update", form="C", items=[*workers, {"campus": "x"}, 7])
    assert {n: r.facts.state for n, r in dispatcher.workers.items()} == {
        "a:1": WorkerState.UP,
        "b:1": WorkerState.DRAINING,
    }
    request = {"fn": "0a", "band": "unsafe", "give-up-at": 3.0, "per-copy": "two", "ram-mb": None, "cost": -1}
    invalid = [{"band": "none"}, {"fn": "no number"}, {"fn": 5}, {"give-up-at": "soon"}, {"give-up-at": None}]
    for n, fields in enumerate(invalid):
        assert handle("request", **request | fields, ref=str(n)) == [
            {"msg": "finish-error", "dispatcher": 0, "ref": str(n)}
        ]
    (sent,) = handle("request", **request, ref="t")
    assert (sent["msg"], sent["runner"]) == ("issue", "a:1")
    assert handle("closed-attempt", ref=["t"], hop=0, reason="turned_away") == []  # an unknown request
    # an unknown reason does not prove that it never ran, so a non-idempotent request is not sent again
    (ended,) = handle("closed-attempt", ref="t", reason=["turned_away"], lag="late", note="warm")
    assert ended["msg"] == "finish-error"
    assert handle("closed-attempt", ref="t", reason="served") == []


def test_a_node_starts_no_threads_to_resolve_addresses(tmp_path: Path) -> None:
    """The event loop resolved even numeric addresses on four threads, which stayed."""
    with start_node(tmp_path) as process:
        assert process.stderr is not None
        assert any('"event": "node_started"' in line for line in process.stderr)
        assert len(list(Path(f"/proc/{process.pid}/task").iterdir())) == 1
        process.kill()
