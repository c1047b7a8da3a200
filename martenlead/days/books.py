"""Reconciles every try that clients sent with what the dispatchers' captures say of it.

Captures are given as plain final responses, by edge and request, so that this stays as independent of the
dispatcher as the audit.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from martenlead.days.audit import Record

LOST_WITH_DISPATCHER = "lost with its dispatcher"
UNANSWERED_ENDS = {"left": "left", "unreached": "unreached", "broken": "broken", "no answer": "no answer"}


@dataclass
class Reconciliation:
    """How many tries ended how; `mismatches` are those on which clients and captures disagree."""

    entries: Counter[str] = field(default_factory=Counter)
    mismatches: list[str] = field(default_factory=list)


def reconcile(
    clients: list[Record],
    edges: list[str],
    captured_finals: dict[tuple[str, str], list[str]],
    killed: set[str],
) -> Reconciliation:
    """Compares the tries of each request at each edge, in order, with the captured final responses, in order.

    The last moments of an edge that was killed may not be on its disk: a response that the client has and
    the capture lacks gets an entry of its own. For an edge that lived until its end, both must agree.
    """
    result = Reconciliation()
    sent_records: dict[str, Record] = {r["try"]: r for r in clients if r["what"] == "sent"}
    tries: dict[tuple[str, str], list[tuple[str, str]]] = defaultdict(list)
    for record in sorted(clients, key=lambda r: int(r["t"])):
        if record["what"] == "answer" or record["what"] in UNANSWERED_ENDS:
            sent = sent_records[record["try"]]
            end = record.get("final") or UNANSWERED_ENDS[record["what"]]
            if record.get("door") and end == "turned back":
                result.entries["turned back at the door"] += 1  # rejected before the dispatcher's capture
            elif end in ("unreached", "refused"):
                result.entries[end] += 1
            else:
                tries[edges[sent["edge"]], record["id"]].append((record["try"], end))
    for key, ends in tries.items():
        captured = list(captured_finals.get(key, []))
        for try_name, end in ends:
            edge = key[0]
            if end in captured:
                captured.remove(end)
                result.entries[end] += 1
            elif end in ("broken", "no answer") and LOST_WITH_DISPATCHER in captured:
                captured.remove(LOST_WITH_DISPATCHER)
                result.entries[LOST_WITH_DISPATCHER] += 1
            elif end == "broken" and edge in killed:
                # ended at the edge, or accepted and not yet on disk, when it died: the client got no response
                result.entries[
                    "died with its dispatcher, " + (f"{captured.pop(0)} there" if captured else "untold")
                ] += 1
            elif edge in killed:
                if LOST_WITH_DISPATCHER in captured:
                    captured.remove(LOST_WITH_DISPATCHER)
                result.entries[f"{end}, and its end was not on disk when its dispatcher died"] += 1
            elif end == "left":
                result.entries[
                    "left before it was taken" if not captured else f"left, {captured.pop(0)} there"
                ] += 1
            else:
                result.mismatches.append(
                    f"{try_name} at {edge}: {end} for its client, {captured or 'nothing'} in the capture"
                )
    return result
