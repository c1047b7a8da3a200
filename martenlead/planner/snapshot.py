"""The format in which an edge sends the complete state of its policy to a planner.

Objects are identified by the numbers that the edge's events use. Fields of the policy's objects are
packed by `snapshot_fields`. The records are arrays, so only the field names of `PolicySnapshot` are
sent.
"""

from __future__ import annotations

from typing import Any

import msgspec

from martenlead.capture import events as ev
from martenlead.planner.snapshot_fields import FieldValues

NO_WORKER = NO_TENANT = -1  # used in place of a number


class _Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    pass


class TenantRecord(_Record, frozen=True):
    """A tenant and its rate limit."""

    name: str
    rate_limit_per_second: float


class TenantRequests(_Record, frozen=True):
    """The number of requests of a tenant in the current period; `tenant` is its number."""

    tenant: int
    requests: int


class TenantRate(_Record, frozen=True):
    """The request rate of a tenant; `tenant` is its number."""

    tenant: int
    requests_per_second: int | float


class WorkerRecord(_Record, frozen=True):
    """A worker."""

    number: int
    name: str
    facts: ev.PackedWorkerFacts
    is_listed: bool
    fields: FieldValues


class ReplicaRecord(_Record, frozen=True):
    """A replica of the function whose record contains it."""

    worker: int
    fields: FieldValues


class FunctionRecord(_Record, frozen=True):
    """A function with its replicas; `home` is a worker's number or `NO_WORKER`."""

    number: int
    name: str
    mark: str
    lanes: int
    memory_mb: float
    fields: FieldValues
    home: int
    replicas: list[ReplicaRecord]


class AttemptRecord(_Record, frozen=True):
    """An attempt of the request whose record contains it; `result` is empty until it has ended."""

    worker: int
    timeout_ns: int
    sent_ns: int
    expects_warm: int
    result: str


class RequestRecord(_Record, frozen=True):
    """A request with an attempt in flight; `tenant` is a number or `NO_TENANT`."""

    number: int
    function: int
    request_class: int
    tenant: int
    deadline_ns: int
    is_retry: bool
    cost: float
    attempts: list[AttemptRecord]


class PolicySnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a policy.

    `settings` has the format of captures. It is not typed because an edge of another version may
    have other settings.
    """

    settings: dict[str, Any]
    seed: int
    tenants: list[TenantRecord] = msgspec.field(name="customers")
    policy_fields: FieldValues = msgspec.field(name="brain")
    requests_in_period: list[TenantRequests] = msgspec.field(name="served")
    requests_per_second: list[TenantRate] = msgspec.field(name="rates")
    workers: list[WorkerRecord] = msgspec.field(name="runners")
    functions: list[FunctionRecord] = msgspec.field(name="models")
    requests: list[RequestRecord] = msgspec.field(name="tasks")


encode_snapshot = msgspec.msgpack.Encoder().encode
decode_snapshot = msgspec.msgpack.Decoder(PolicySnapshot).decode
