"""Overload of a store and the versions of an endpoint list, without I/O: for stand-ins and the simulator."""

from __future__ import annotations

from typing import Any

KEPT_CHANGES = 64  # a subscriber that missed more than these is sent a snapshot
NS_PER_MS = 1_000_000


class OverloadDetector:
    """Reports overload when the load exceeds `load_limit` for longer than `duration_ms`; never with a limit
    of 0.
    """

    def __init__(self, load_limit: float, duration_ms: float) -> None:
        self.load_limit, self.duration_ms = load_limit, duration_ms
        self.overloaded_since = 0

    def is_overloaded(self, now: int, load: float) -> bool:
        """`load` is the present demand as a multiple of the capacity, `now` is in ns. Starts anew after an
        overload.
        """
        if not self.load_limit or load <= self.load_limit:
            self.overloaded_since = 0
            return False
        self.overloaded_since = self.overloaded_since or now
        if now - self.overloaded_since <= self.duration_ms * NS_PER_MS:
            return False
        self.overloaded_since = 0
        return True


class EndpointTable:
    """The endpoints on the list, and its last changes by version."""

    def __init__(self, endpoints: list[dict[str, Any]]) -> None:
        self.version = 1
        self.endpoints = {endpoint["id"]: endpoint for endpoint in endpoints}
        self.started_ms: dict[str, float] = {}  # starts of incarnations, since the start of the day
        self.changes: dict[int, dict[str, Any]] = {}

    def apply(self, endpoint: dict[str, Any], started_ms: float | None) -> None:
        """Adds, changes or removes an endpoint; `started_ms` is the start of its incarnation in the day."""
        name = endpoint["id"]
        endpoint = {**self.endpoints.get(name, {}), **endpoint}
        if started_ms is not None:
            self.started_ms[name] = started_ms
        if endpoint.get("state") == "gone":
            self.endpoints.pop(name, None)
            self.started_ms.pop(name, None)
        else:
            self.endpoints[name] = endpoint
        self.version += 1
        self.changes[self.version] = endpoint
        self.changes.pop(self.version - KEPT_CHANGES, None)

    def with_age(self, endpoint: dict[str, Any], day_ms: float) -> dict[str, Any]:
        """The endpoint with its age, if its start is known."""
        started_ms = self.started_ms.get(endpoint["id"])
        return endpoint if started_ms is None else {**endpoint, "age_ms": day_ms - started_ms}

    def updates_after(self, version: int) -> tuple[int, list[dict[str, Any]], bool]:
        """For a subscriber at an older `version`: the next version, its endpoints, and whether they are a
        snapshot.
        """
        is_incomplete = not all(v in self.changes for v in range(version + 1, self.version + 1))
        if not version or version > self.version or is_incomplete:
            return self.version, list(self.endpoints.values()), True
        return version + 1, [self.changes[version + 1]], False
