"""The report of a day, from its records: counts, service, latency, and the verdict on each rule."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable
from typing import Any

from martenlead.days.audit import NS_PER_MS, Audit, Record, min_time_left_ms

RETRY_TOLERANCE_MS = 15  # largest distance of a directed retry from its time
ANSWER_KEYS = {"satisfied": "satisfied", "turned back": "turned_back", "scrapped": "scrapped"}


def quantile(values: list[float], share: float) -> float | None:
    """The value at this share of the sorted values, None without values."""
    if not values:
        return None
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def report(audit: Audit, request_classes: dict[str, dict[str, Any]], exits: list[int]) -> dict[str, Any]:
    """The report of `martenlead day`; docs/days.md describes its fields."""
    sent_records, ends = audit.sent, audit.ends
    firsts = {r["id"]: r for r in sent_records.values() if r["first"]}
    last: dict[str, Record] = {}
    latency: list[float] = []
    possible_revenue = earned_revenue = revenue_with_late = 0.0
    best_ms: dict[str, float] = {}
    for name, record in sent_records.items():
        end = ends.get(name)
        if end is None:
            continue
        last[record["id"]] = end
        if end["what"] == "answer" and end["final"] == "satisfied":
            latency.append((end["t"] - record["t"]) / NS_PER_MS)
            best_ms[record["id"]] = (end["t"] - firsts[record["id"]]["t"]) / NS_PER_MS
    for name, first in firsts.items():
        request_class = request_classes[first["offering"]]
        possible_revenue += request_class["revenue"]
        took_ms = best_ms.get(name)
        if took_ms is not None:
            is_in_time = took_ms <= request_class["soft_limit_ms"]
            earned_revenue += request_class["revenue"] * is_in_time
            revenue_with_late += request_class["revenue"] * (
                1 if is_in_time else request_class["late_revenue"]
            )
    answers = Counter({"satisfied": 0, "turned_back": 0, "scrapped": 0, "never_got": 0})
    for end in last.values():
        final = ANSWER_KEYS.get(end.get("final", ""), "never_got") if end["what"] == "answer" else "never_got"
        answers[final] += 1
    verdicts = audit.verdicts()
    record_counts = Counter(r["what"] for r in audit.worker_records)
    return {
        "tasks": len(firsts),
        "tries": len(sent_records),
        "answers": dict(answers),
        "missed": dict(Counter(end["what"] for end in last.values() if end["what"] != "answer")),
        "service": round(earned_revenue / possible_revenue, 4) if possible_revenue else None,
        "service_with_late": round(revenue_with_late / possible_revenue, 4) if possible_revenue else None,
        "latency_ms": {
            f"p{share * 100:g}": quantile(latency, share) for share in (0.5, 0.9, 0.99, 0.999, 1.0)
        },
        "closest_answer_ms": min_time_left_ms(audit.client_records),
        "came_as_told": count_directed_retries(audit, request_classes),
        "handoffs": record_counts["came"],
        "ran": record_counts["ran"],
        "refused": dict(Counter(r["why"] for r in audit.worker_records if r["what"] == "refused")),
        "orders": sum(1 for r in audit.worker_records if r["what"] == "order" and r["copies"]),
        "loads": record_counts["load"],
        "edges_exit": exits,
        "rules": {
            name: {"checked": v.checked, "breaches": len(v.breaches), "records": v.breaches[:20]}
            for name, v in verdicts.items()
        },
    }


def count_directed_retries(audit: Audit, request_classes: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Of the tries that came at the time a response had given: how many succeeded, and how many in time."""
    ends = audit.ends
    tries_by_request: dict[str, list[Record]] = {}
    for sent in sorted(audit.sent.values(), key=lambda r: r["t"]):
        tries_by_request.setdefault(sent["id"], []).append(sent)
    came = satisfied = in_time = 0
    for tries in tries_by_request.values():
        for previous, sent in itertools.pairwise(tries):
            end, retry_end = ends.get(previous["try"]), ends.get(sent["try"])
            if end is None or retry_end is None or not end.get("wait_ms"):
                continue
            if abs(sent["t"] - end["t"] - end["wait_ms"] * NS_PER_MS) > RETRY_TOLERANCE_MS * NS_PER_MS:
                continue
            came += 1
            if retry_end.get("final") == "satisfied":
                satisfied += 1
                in_time += (
                    retry_end["t"] - sent["t"]
                    <= request_classes[sent["offering"]]["soft_limit_ms"] * NS_PER_MS
                )
    return {"came": came, "satisfied": satisfied, "in_time": in_time}


def summarize_store(store_records: list[Record], worker_records: list[Record]) -> dict[str, Any]:
    """What the artifact store served, from its own records, and how the workers' fetches ended."""
    blobs = [r for r in store_records if r["what"] in ("blob", "manifest")]
    fetched = [r for r in worker_records if r["what"] == "fetched"]
    load_times = [r["took_ms"] for r in fetched if not r["failure"]]
    return {
        "bytes": sum(r["size"] for r in blobs),
        "fetches": sum(r["what"] in ("blob", "fetch") for r in store_records),
        "turned_away": sum(r["what"] == "turned away" for r in store_records),
        "stops": sum(r["what"] == "down" for r in store_records),
        "loads": len(load_times),
        "loads_failed": dict(Counter(r["failure"] for r in fetched if r["failure"])),
        "load_ms": {f"p{share * 100:g}": quantile(load_times, share) for share in (0.5, 0.9, 0.99, 1.0)},
    }


def has_passed(result: dict[str, Any]) -> bool:
    """Whether every rule was kept, every edge ended with status 0, and clients and captures agree."""
    ledger = result.get("books") or {"odd": []}
    rules = all(not rule["breaches"] for rule in result["rules"].values())
    return rules and not any(result["edges_exit"]) and not ledger["odd"]


def format_report(result: dict[str, Any]) -> str:
    """The report as text."""

    def format_ms(value: float | None) -> str:
        """A time with one decimal."""
        return "-" if value is None else f"{value:.1f}"

    def format_loads(store: dict[str, Any], format_ms: Callable[[float | None], str]) -> str:
        """The line on the artifact store and the loads."""
        failed = ", ".join(f"{n} {name}" for name, n in store["loads_failed"].items()) or "none"
        times = ", ".join(f"{name} {format_ms(value)}" for name, value in store["load_ms"].items())
        return (
            f"vault: {store['bytes'] / 1e6:.1f} MB in {store['fetches']} fetches, "
            f"{store['turned_away']} turned away, {store['stops']} stops; "
            f"{store['loads']} models loaded, failed: {failed}; fetch ms: {times}"
        )

    lines = [
        f"tasks {result['tasks']}, tries {result['tries']}: "
        + ", ".join(f"{name.replace('_', ' ')} {n}" for name, n in result["answers"].items()),
        f"service {result['service']}, with late answers {result['service_with_late']}",
        "latency ms: "
        + ", ".join(f"{name} {format_ms(value)}" for name, value in result["latency_ms"].items()),
        f"hand-offs {result['handoffs']}, orders {result['orders']}, loads {result['loads']}, "
        f"closest answer {format_ms(result['closest_answer_ms'])} ms before its client gave up",
        format_loads(result["vault"], format_ms) if result.get("vault") else "",
        "",
        f"{'rule':<16} {'checked':>8} {'breaches':>9}",
    ]
    for name, rule in result["rules"].items():
        lines.append(f"{name:<16} {rule['checked']:>8} {rule['breaches']:>9}")
    for name, rule in result["rules"].items():
        lines += [f"  {name}: {b['why']}: {b['records']}" for b in rule["records"][:3]]
    directed = result["came_as_told"]
    if directed["came"]:
        lines.append(
            f"came when they were told to: {directed['came']}, satisfied {directed['satisfied']}, "
            f"in time {directed['in_time']}"
        )
    if result.get("books"):
        lines.append(
            "books of clients and captures: "
            + ("balance" if not result["books"]["odd"] else "do not balance")
        )
        lines += [f"{n:8} {entry}" for entry, n in sorted(result["books"]["entries"].items())]
        lines += [f"  odd: {odd}" for odd in result["books"]["odd"][:10]]
    if any(result["edges_exit"]):
        lines.append(f"edges ended with {result['edges_exit']}")
    return "\n".join(lines)
