"""Creates the dispatcher of an HTTP edge from the edge's settings."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from time import monotonic_ns

from martenlead.config.edge import EdgeSettings, build_policy_settings, ms_to_ns
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.http_membership import HttpMembership
from martenlead.edge.http_upstream import HttpUpstream
from martenlead.edge.policy_boundary import Recorder
from martenlead.edge.records import DispatcherSettings

SEED_BYTES = 8


def create_dispatcher(
    settings: EdgeSettings,
    clock: Callable[[], int] = monotonic_ns,
    recorder: Recorder | None = None,
) -> Dispatcher:
    """Creates the dispatcher. Without a seed in the settings, each start draws a random one."""
    policy_settings, request_classes, tenants = build_policy_settings(settings)
    seed = settings.seed
    if seed is None:
        seed = int.from_bytes(Random().randbytes(SEED_BYTES), "big")
    deadlines_ns = {
        request_class.name: ms_to_ns(request_class.hard_limit_ms)
        for request_class in settings.request_classes
    }
    dispatcher_settings = DispatcherSettings(
        name=settings.name,
        seed=seed,
        policy_settings=policy_settings,
        request_classes=request_classes,
        tenants=tenants,
        deadlines_ns=deadlines_ns,
        deadline_margin_ns=ms_to_ns(settings.margin_ms),
        function_limit=settings.limits.known_functions,
        logs_decisions=settings.log.decisions,
    )
    link, source = HttpUpstream(settings), HttpMembership(settings)
    return Dispatcher(dispatcher_settings, link, source, clock, recorder)
