"""Quantities computed from the size and the assumptions alone, in general and for each kind of day."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from benchmarks.scale.assumptions import BUDGET, HOUR_S, KB, MB, MINUTE_S, Setting
from benchmarks.scale.sizes import SECONDS_PER_DAY
from martenlead.node.discovery import MAX_BACKOFF_SECONDS
from martenlead.upstream import endpoints


@dataclass(frozen=True, slots=True)
class Quantity:
    """A quantity computed from the size and the assumptions alone."""

    group: str
    name: str
    formula: str
    unit: str
    compute: Callable[[Setting], float]
    budget: float | None = None


def json_line_bytes(_setting: Setting) -> float:
    """Returns the bytes of a typical line of the membership stream, as the program encodes it."""
    line = endpoints.Endpoint(
        "s-0001e2f0",
        "10.120.41.17",
        9000,
        "r2-z07",
        12,
        "m8",
        65_536.0,
        1.0,
        incarnation="a1b2c3d4",
        age_ms=1234567.0,
    )
    return float(len(msgspec.json.encode(line)) + 1)


POINTER_BYTES = 8  # Size of one worker's entry in a function's ranking.


def rankings_mb(functions: float, setting: Setting) -> float:
    """Returns the memory in MB of a ranking of all workers for each function."""
    return functions * setting.workers * POINTER_BYTES / MB


QUANTITIES = (
    Quantity("size", "workers", "instances / instances a worker", "workers", lambda s: s.workers),
    Quantity(
        "size",
        "calls at one dispatcher",
        "calls / dispatchers",
        "calls/s",
        lambda s: s.size.calls_per_dispatcher,
    ),
    Quantity(
        "size",
        "functions called less than once a minute",
        "Zipf-Mandelbrot rates",
        "of functions",
        lambda s: s.popularity.share_below_once_a_minute(s.size.calls_per_second),
    ),
    Quantity("size", "their share of all calls", "the same", "of calls", lambda s: s.rare_call_share),
    Quantity(
        "size",
        "functions one dispatcher meets in a minute",
        "sum of 1 - e^(-rate t)",
        "",
        lambda s: s.functions_met(MINUTE_S),
    ),
    Quantity("size", "in an hour", "the same", "", lambda s: s.functions_met(HOUR_S)),
    Quantity("size", "in a day", "the same", "", lambda s: s.functions_met(SECONDS_PER_DAY)),
    Quantity(
        "size",
        "between calls of a once-a-minute function at one dispatcher",
        "1 min x dispatchers",
        "h",
        lambda s: MINUTE_S * s.size.dispatchers / HOUR_S,
    ),
    Quantity(
        "size",
        "cold share of rare functions' calls, one replica for all",
        "e^(-rate keep-alive) by calls",
        "of calls",
        lambda s: s.rare_cold_share(1.0),
    ),
    Quantity(
        "size",
        "the same, each dispatcher a replica of its own",
        "with rate / dispatchers",
        "of calls",
        lambda s: s.rare_cold_share(1 / s.size.dispatchers),
    ),
    Quantity(
        "size",
        "cold starts of the fleet, one replica for all",
        "sum of rate e^(-rate keep-alive)",
        "a second",
        lambda s: s.cold_starts_per_second(1.0),
    ),
    Quantity(
        "size",
        "the same, each dispatcher a replica of its own",
        "with rate / dispatchers in the exponent",
        "a second",
        lambda s: s.cold_starts_per_second(1 / s.size.dispatchers),
    ),
    Quantity(
        "size",
        "share of all calls that start cold, one replica for all",
        "cold starts / calls",
        "of calls",
        lambda s: s.cold_starts_per_second(1.0) / s.size.calls_per_second,
    ),
    Quantity(
        "size",
        "the same, each dispatcher a replica of its own",
        "cold starts / calls",
        "of calls",
        lambda s: s.cold_starts_per_second(1 / s.size.dispatchers) / s.size.calls_per_second,
    ),
    Quantity("size", "JSON line of the membership stream", "as encoded", "bytes", json_line_bytes),
    Quantity(
        "ordinary day",
        "membership, to one dispatcher",
        "(failed + replaced) x records x bytes / day",
        "KB/s",
        lambda s: s.membership_records_per_day * s.value("record_bytes") / SECONDS_PER_DAY / KB,
        BUDGET.traffic_kb_per_second,
    ),
    Quantity(
        "ordinary day",
        "membership events",
        "(failed + replaced) x records",
        "a day",
        lambda s: s.membership_records_per_day,
    ),
    Quantity(
        "ordinary day",
        "configuration, to one dispatcher",
        "changes x bytes / day",
        "KB/s",
        lambda s: s.size.changes_per_day * s.value("change_bytes") / SECONDS_PER_DAY / KB,
        BUDGET.traffic_kb_per_second,
    ),
    Quantity(
        "ordinary day",
        "planner link, from one dispatcher",
        "calls / dispatchers x event bytes",
        "KB/s",
        lambda s: s.size.calls_per_dispatcher * s.value("event_bytes") / KB,
        BUDGET.traffic_kb_per_second,
    ),
    Quantity(
        "ordinary day",
        "placement deltas to one dispatcher, all replicas told",
        "2 x cold starts x placement record",
        "KB/s",
        lambda s: 2 * s.cold_starts_per_second(1.0) * s.value("placement_bytes") / KB,
        BUDGET.traffic_kb_per_second,
    ),
    Quantity(
        "ordinary day",
        "orders of all workers, functions met in an hour",
        "functions met x workers x 8 bytes",
        "MB",
        lambda s: rankings_mb(s.functions_met(HOUR_S), s),
        BUDGET.memory_mb,
    ),
    Quantity(
        "ordinary day",
        "orders of all workers, functions met in a day",
        "the same",
        "MB",
        lambda s: rankings_mb(s.functions_met(SECONDS_PER_DAY), s),
        BUDGET.memory_mb,
    ),
    Quantity(
        "ordinary day",
        "orders of all workers, every function",
        "functions x workers x 8 bytes",
        "MB",
        lambda s: rankings_mb(s.size.functions, s),
        BUDGET.memory_mb,
    ),
    Quantity(
        "mass restart",
        "placement snapshot, to one dispatcher, all replicas told",
        "instances x placement record",
        "KB",
        lambda s: s.size.instances * s.value("placement_bytes") / KB,
    ),
    Quantity(
        "mass restart",
        "snapshot, to one dispatcher",
        "workers x record",
        "KB",
        lambda s: s.snapshot_bytes / KB,
    ),
    Quantity(
        "mass restart",
        "time for it within the traffic budget",
        "snapshot / 14 KB/s",
        "s",
        lambda s: s.snapshot_bytes / KB / BUDGET.traffic_kb_per_second,
        BUDGET.in_force_s,
    ),
    Quantity(
        "mass restart",
        "snapshots, from one control machine",
        "dispatchers / machines x snapshot",
        "MB",
        lambda s: s.size.dispatchers / BUDGET.control_machines * s.snapshot_bytes / MB,
    ),
    Quantity(
        "zone returns cold", "its workers", "workers / zones", "workers", lambda s: s.workers / s.size.zones
    ),
    Quantity(
        "zone returns cold",
        "its instances",
        "instances / zones",
        "loads",
        lambda s: s.size.instances / s.size.zones,
    ),
    Quantity(
        "zone returns cold",
        "bytes they load, nothing shared",
        "instances / zones x MB",
        "GB",
        lambda s: s.size.instances / s.size.zones * s.value("instance_mb") / KB,
    ),
    Quantity(
        "zone returns cold",
        "its records, to one dispatcher",
        "workers / zones x record",
        "KB",
        lambda s: s.snapshot_bytes / s.size.zones / KB,
    ),
    Quantity(
        "regions apart 1 h",
        "membership events missed",
        "events a day / 24 x 2/3",
        "events",
        lambda s: s.membership_records_per_day / 24 * (1 - 1 / s.size.regions),
    ),
    Quantity(
        "regions apart 1 h",
        "delta as they join again, to one dispatcher",
        "events missed x record",
        "KB",
        lambda s: s.membership_records_per_day / 24 * (1 - 1 / s.size.regions) * s.value("record_bytes") / KB,
    ),
    Quantity(
        "regions apart 1 h",
        "configuration changes missed",
        "changes / 24",
        "changes",
        lambda s: s.size.changes_per_day / 24,
    ),
    Quantity(
        "regions apart 1 h",
        "functions whose home is in another region, at each",
        "functions x (1 - 1 / regions)",
        "functions",
        lambda s: s.size.functions * (1 - 1 / s.size.regions),
    ),
    Quantity(
        "rack lost",
        "instances with it",
        "workers a rack x instances a worker",
        "instances",
        lambda s: s.value("workers_per_rack") * s.value("instances_per_worker"),
    ),
    Quantity(
        "rack lost",
        "functions whose home it had",
        "functions x workers a rack / workers",
        "functions",
        lambda s: s.size.functions * s.value("workers_per_rack") / s.workers,
    ),
    Quantity(
        "control machine lost",
        "dispatchers that change planner",
        "dispatchers / machines",
        "dispatchers",
        lambda s: s.size.dispatchers / BUDGET.control_machines,
    ),
    Quantity(
        "control machine lost",
        "on the next in the list, where all take it",
        "2 x dispatchers / machines",
        "dispatchers",
        lambda s: 2 * s.size.dispatchers / BUDGET.control_machines,
    ),
    Quantity(
        "all control lost",
        "connects as it returns, journal's longest wait",
        "dispatchers / longest wait",
        "a second",
        lambda s: s.size.dispatchers / MAX_BACKOFF_SECONDS,
    ),
)
