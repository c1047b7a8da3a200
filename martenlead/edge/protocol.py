"""Reads the attributes of an event into an `IncomingRequest` (docs/protocol.md)."""

from __future__ import annotations

from http import HTTPStatus

from martenlead.edge.records import IncomingRequest
from martenlead.events.cloudevent import (
    REQUIRED_ATTRIBUTES,
    Event,
    InvalidEventError,
    encode_event,
    parse_time,
)
from martenlead.events.head import FIELD_OVERHEAD_BYTES
from martenlead.events.http import Headers, MessageLimits
from martenlead.system.clocks import wall_ns

LARGEST_INTEGER = 2**31 - 1
FUNCTION_NAME_LIMIT = 200  # characters
LANES_LIMIT = 1024
CONTENT_TYPE = "datacontenttype"
CONTENT_TOO_LARGE = HTTPStatus.REQUEST_ENTITY_TOO_LARGE.value
OWN_FIELDS = 5  # Host, User-Agent, timeleftms, handoff, Content-Length: an attempt has them as well
OWN_FIELD_BYTES = 512
COUNTED_ATTRIBUTES = frozenset(
    {
        *REQUIRED_ATTRIBUTES,
        *("time", "subject", "dataschema", CONTENT_TYPE, "data", "data_base64"),
        *("model", "customer", "lanes", "memorymb", "costms", "timeleftms", "expirytime"),
        *("again", "appointment"),
    }
)
OTHER_ATTRIBUTE = "other"
MS_PER_SECOND = 1000
NS_PER_MS = 1e6


def read_request(event: Event, age_ns: int = 0) -> IncomingRequest:
    """Reads an event that arrived `age_ns` ago.

    Raises `InvalidEventError`, which names the attribute.
    """
    retry = event.text("again")
    function = _read_function(event)
    time_left_ms = _read_time_left_ms(event, age_ns)
    if retry not in (None, "true", "false"):
        raise InvalidEventError("again", "true or false was expected")
    return IncomingRequest(
        request_class=str(event.attributes["type"]),
        function=function,
        tenant=event.text("customer"),
        lanes=int(_number(event, "lanes", least=1, largest=LANES_LIMIT) or 1),
        memory_mb=_number(event, "memorymb") or 0.0,
        cost_seconds=(_number(event, "costms") or 0.0) / MS_PER_SECOND,
        time_left_ns=None if time_left_ms is None else round(time_left_ms * NS_PER_MS),
        is_retry=retry == "true",
        id=event.text("id") or "",
        trace_id=" ".join(event.identity),
    )


def countable_attribute(name: str) -> str:
    """Returns the name under which refusals for an attribute are counted.

    Clients choose the names of their own attributes, and each would be a counter of its own.
    """
    return name if name in COUNTED_ATTRIBUTES else OTHER_ATTRIBUTE


def encode_content(event: Event, limits: MessageLimits) -> tuple[Headers, bytes]:
    """Returns headers and body of an event that was received in structured mode.

    Its attributes are measured first, as no header has limited them: to encode a megabyte would
    stop the event loop for a while. Raises `InvalidEventError`.
    """
    sizes = {name: len(event.text(name) or "") for name in event.attributes}
    sizes[CONTENT_TYPE] = len(event.content_type or "")
    _check_sizes(sizes, limits)
    return encode_event(event)


def check_forwarded_size(headers: Headers, limits: MessageLimits) -> None:
    """Checks that the head of an attempt is within the limits, which workers accept as well.

    A worker that cannot read an attempt would count as failed. Raises `InvalidEventError`, which
    names the longest attribute, or the first one beyond their number.
    """
    sizes = {_attribute_name(name): len(name) + len(value) for name, value in headers}
    _check_sizes(sizes, limits)


def _check_sizes(sizes: dict[str, int], limits: MessageLimits) -> None:
    field_limit = limits.header_lines - OWN_FIELDS
    bytes_limit = limits.head_bytes - min(OWN_FIELD_BYTES, limits.head_bytes // 2)
    total_bytes = sum(sizes.values()) + len(sizes) * FIELD_OVERHEAD_BYTES
    if len(sizes) > field_limit:
        detail = f"at most {field_limit} attributes were expected"
        raise InvalidEventError(list(sizes)[field_limit], detail, CONTENT_TOO_LARGE)
    if total_bytes > bytes_limit:
        longest = max(sizes, key=lambda name: sizes[name])
        detail = f"at most {bytes_limit} bytes of attributes were expected"
        raise InvalidEventError(longest, detail, CONTENT_TOO_LARGE)


def _attribute_name(header: bytes) -> str:
    if header == b"content-type":
        return CONTENT_TYPE
    return header.removeprefix(b"ce-").decode("latin-1")


def _read_function(event: Event) -> str:
    name = event.text("model")
    if not name:
        raise InvalidEventError("model", "the attribute is missing")
    if len(name) > FUNCTION_NAME_LIMIT:
        raise InvalidEventError("model", f"at most {FUNCTION_NAME_LIMIT} characters were expected")
    return name


def _read_time_left_ms(event: Event, age_ns: int) -> float | None:
    """Returns the shorter of the stated time left and the time until the stated expiry."""
    left_ms = _number(event, "timeleftms")
    expiry = event.text("expirytime")
    if expiry is None:
        return left_ms
    arrived_ms = (wall_ns() - age_ns) / NS_PER_MS
    until_expiry_ms = parse_time(expiry, "expirytime") * MS_PER_SECOND - arrived_ms
    return until_expiry_ms if left_ms is None else min(left_ms, until_expiry_ms)


def _number(
    event: Event, name: str, least: float = 0, largest: float = LARGEST_INTEGER
) -> float | None:
    """Reads a number within a range. CloudEvents has only integers; a string may be a fraction."""
    value = event.attributes.get(name)
    if value is None:
        return None
    number = -1.0
    if not isinstance(value, bool):
        try:
            number = float(value)
        except ValueError:
            number = -1.0
    if not least <= number <= largest:  # false for NaN too
        raise InvalidEventError(name, f"a number from {least:g} to {largest:g} was expected")
    return number
