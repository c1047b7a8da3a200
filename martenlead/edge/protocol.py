"""How an event names a task (docs/protocol.md): its attributes, read into what the dispatcher takes."""

from __future__ import annotations

from martenlead.edge.records import IncomingRequest
from martenlead.events.cloudevent import Event, InvalidEventError, parse_time
from martenlead.system.clocks import wall_ns

LARGEST_INTEGER = 2**31 - 1


def read_request(event: Event, age: int = 0) -> IncomingRequest:
    """Of an event that arrived `age` ns ago. Raises `BadEvent`, which names the attribute."""
    model = event.text("model")
    if not model:
        raise InvalidEventError("model", "the attribute is missing")
    if len(model) > 200:
        raise InvalidEventError("model", "at most 200 characters were expected")
    left = _number(event, "timeleftms")
    expires = event.text("expirytime")
    if expires is not None:
        until = parse_time(expires, "expirytime") * 1000 - (wall_ns() - age) / 1e6
        left = until if left is None else min(left, until)
    again = event.text("again")
    if again not in (None, "true", "false"):
        raise InvalidEventError("again", "true or false was expected")
    return IncomingRequest(
        request_class=str(event.attributes["type"]),
        function=model,
        tenant=event.text("customer"),
        lanes=int(_number(event, "lanes", least=1, most=1024) or 1),
        memory_mb=_number(event, "memorymb") or 0.0,
        cost_seconds=(_number(event, "costms") or 0.0) / 1000,
        time_left_ns=None if left is None else round(left * 1e6),
        is_retry=again == "true",
        id=event.text("id") or "",
        trace_id=" ".join(event.identity),
    )


def _number(event: Event, name: str, least: float = 0, most: float = LARGEST_INTEGER) -> float | None:
    """A number that is not negative. CloudEvents has whole numbers only; a text may hold a fraction."""
    value = event.attributes.get(name)
    if value is None:
        return None
    try:
        if isinstance(value, bool):
            raise ValueError
        number = float(value)
    except ValueError:
        number = -1.0
    if not least <= number <= most:  # also what is not a number, which compares with nothing
        raise InvalidEventError(name, f"a number from {least:g} to {most:g} was expected")
    return number
