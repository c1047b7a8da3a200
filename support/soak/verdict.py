"""Checks the records of a run: with the audit of the scripted days, and for the platform's other demands."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from martenlead.days.audit import Audit, Rules
from support.soak.records import RecordBook
from support.soak.schedule import NODES, WORKERS

READY_SECONDS, READY_SHARE, READY_LIMIT_SECONDS = 10.0, 0.9, 30.0
MEMORY_LIMIT_BYTES, DESCRIPTOR_LIMIT = 64 * 2**20, 256  # the limits in the configuration
SLACK_MS = 500.0  # after the deadline: a response that comes later counts as lost
TRANSIT_MS = 100.0  # between two processes on one machine; includes the 0.1 s allowed for a cancel
GRACE_MS = 250.0
RULES = ("one_answer", "no_effect_twice", "drains")  # the soak does not force cold starts or load requests
MAX_EXAMPLES = 5  # largest number of examples for each kind of failure


@dataclass(frozen=True)
class Failure:
    """One kind of failure in a run, how often it occurred, and examples of it."""

    kind: str
    count: int
    examples: list[Any]


def judge(book: RecordBook, settings: dict[str, Any]) -> list[Failure]:
    """Returns all failures of a run."""
    checks = {
        **_audit(book, settings),
        "an attempt for a request that crossed a close": _forwarded_crossings(book),
        "another body than the request's": list(book.wrong_bodies),
        "not ready in time": _late_starts(book),
        "an exit status": [status for status in book.exit_statuses if status != 0],
        "killed after SIGTERM: it had not ended by itself": [r for r in book.processes if "t" in r],
        "over its memory or its descriptors": _over_limits(book),
    }
    return [Failure(kind, len(found), found[:MAX_EXAMPLES]) for kind, found in checks.items() if found]


def _audit(book: RecordBook, settings: dict[str, Any]) -> dict[str, list[Any]]:
    effects = {
        "read_like": "idempotent",
        "idempotency_key": "deduplicated",
        "non_idempotent": "unrepeatable",
    }
    offerings = {
        c["name"]: {
            "effect": effects[c["effect"]],
            "group": c.get("group", "all"),
            "window_ms": 1000 * c.get("dedup-window", 0),
            "work_ms": 0,
        }
        for c in settings["classes"]
    }
    rules = Rules(
        request_classes=offerings,
        workers={name: {"zone": "east", "cell": 0, "cores": 1, "speed": 1} for name in WORKERS},
        edges=[f"n{node}" for node in range(NODES)],
        grace_ms=GRACE_MS,
        slack_ms=SLACK_MS,
        transit_ms=TRANSIT_MS,
    )
    verdicts = Audit(rules, book.clients, book.workers, book.membership, book.processes).verdicts()
    return {f"rule {name}": verdicts[name].breaches for name in RULES}


def _forwarded_crossings(book: RecordBook) -> list[str]:
    arrived = {record["try"] for record in book.workers if record["what"] == "came"}
    return [r["try"] for r in book.clients if r["what"] == "unreached" and r["try"] in arrived]


def _late_starts(book: RecordBook) -> list[float]:
    late = [seconds for seconds in book.ready_seconds if seconds > READY_SECONDS]
    is_allowed = len(late) <= (1 - READY_SHARE) * len(book.ready_seconds)
    return [s for s in late if s > READY_LIMIT_SECONDS] if is_allowed else late


def _over_limits(book: RecordBook) -> list[str]:
    return [
        str(sample)
        for sample in book.samples
        if sample.resident_bytes > MEMORY_LIMIT_BYTES or sample.descriptors > DESCRIPTOR_LIMIT
    ]
