"""How an event names a task (docs/protocol.md): its attributes, read into what the dispatcher takes."""

from __future__ import annotations

from martenlead.edge.records import Wanted
from martenlead.events.cloudevent import BadEvent, Event, parse_time
from martenlead.system.clocks import wall_ns

INTEGER_MOST = 2**31 - 1


def wanted(event: Event, age: int = 0) -> Wanted:
    """Of an event that arrived `age` ns ago. Raises `BadEvent`, which names the attribute."""
    model = event.text("model")
    if not model:
        raise BadEvent("model", "the attribute is missing")
    if len(model) > 200:
        raise BadEvent("model", "at most 200 characters were expected")
    left = _number(event, "timeleftms")
    expires = event.text("expirytime")
    if expires is not None:
        until = parse_time(expires, "expirytime") * 1000 - (wall_ns() - age) / 1e6
        left = until if left is None else min(left, until)
    again = event.text("again")
    if again not in (None, "true", "false"):
        raise BadEvent("again", "true or false was expected")
    return Wanted(
        offering=str(event.attributes["type"]),
        model=model,
        customer=event.text("customer"),
        lanes=int(_number(event, "lanes", least=1, most=1024) or 1),
        memory_mb=_number(event, "memorymb") or 0.0,
        cost=(_number(event, "costms") or 0.0) / 1000,
        left=None if left is None else round(left * 1e6),
        again=again == "true",
        id=event.text("id") or "",
        mark=" ".join(event.mark),
    )


def _number(event: Event, name: str, least: float = 0, most: float = INTEGER_MOST) -> float | None:
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
        raise BadEvent(name, f"a number from {least:g} to {most:g} was expected")
    return number
