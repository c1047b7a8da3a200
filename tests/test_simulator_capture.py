"""The simulator's adapter writes a capture if it is enabled, and its replies stay the same."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec

from martenlead.capture.reader import find_runs
from martenlead.capture.replay import replay


def test_a_simulated_run_is_captured_if_enabled_and_replays(tmp_path: Path) -> None:
    settings = {
        "balancers": 1,
        "granularity": 0.002,
        "allowed": {"attempts-cap": 2, "cancel": True, "max-retry-after": 0.5, "retry-after": True},
        "classes": [{"name": "k", "on-time": 0.5, "give-up": 2.0, "effect": "read_like", "worth": 1.0}],
        "family-info": {"placement-calls": True, "linger-idle": 8.0, "tells-warm": True},
        "rules": {"cold-from": 0.2, "cold": 10.0, "fall-multiple": 2.5},
    }
    items = [{"runner": f"10.0.0.{n}:1", "status": "U", "heft": 1} for n in range(3)]
    batches: list[dict[str, Any]] = [
        {
            "clock": 5.0,
            "happened": [
                {"msg": "hello", "dispatcher": 2, "seed": 9, "profile-data": settings},
                {"msg": "update", "dispatcher": 2, "index": 1, "form": "C", "items": items},
            ],
        }
    ]
    for n in range(30):
        header = {"dispatcher": 2, "ref": f"{n:016x}"}
        clock = 6 + n / 10
        request = {"msg": "request", **header, "fn": f"{n % 3:016x}", "band": "k", "give-up-at": clock + 1.5}
        batches.append(
            {"clock": clock, "happened": [request, {"msg": "deadline-hit", "dispatcher": 2, "tag": "check"}]}
        )
        end = "served" if n % 4 else "no_connection"
        ended = {
            "msg": "closed-attempt",
            **header,
            "reason": end,
            "lag": 0.03,
            "terminal": bool(n % 4),
            "note": 1,
        }
        batches.append({"clock": clock + 0.05, "happened": [ended]})
    text = b"".join(msgspec.json.encode(batch) + b"\n" for batch in batches)
    replies = []
    for env in ({}, {"MARTENLEAD_CAPTURE": str(tmp_path)}):
        command = [sys.executable, "-m", "martenlead.simulator_adapter"]
        done = subprocess.run(command, input=text, env={**os.environ, **env}, capture_output=True, check=True)
        replies.append(done.stdout)
    assert replies[0] == replies[1]
    assert b"panic" not in replies[0]
    outcome = replay(find_runs([tmp_path])[0].events())
    assert (outcome.divergence, outcome.stop_reason, outcome.requests) == (None, "", 30)
