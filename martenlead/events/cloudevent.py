"""CloudEvents 1.0.2 (core) in the HTTP protocol binding 1.0.2 and the JSON format 1.0.2, both directions.

Attributes are kept with the type that the format gave them: strings, integers and booleans. The data is
bytes, as they came, or None where there is none: an empty body with a content type is empty data.
"""

from __future__ import annotations

import re
from base64 import b64decode, b64encode
from dataclasses import dataclass
from datetime import datetime
from functools import lru_cache
from typing import Any

import msgspec

from martenlead.events.http import Headers

AttributeValue = str | int | bool
STRUCTURED_MEDIA_TYPE = b"application/cloudevents+json"
BATCH_MEDIA_TYPE = b"application/cloudevents-batch"
ACCEPTED_MEDIA_TYPES = b"application/cloudevents+json, any other content type with ce- headers"
ATTRIBUTE_NAME = re.compile(r"[a-z0-9]{1,64}\Z")
RFC3339_TIME = re.compile(r"\d{4}-\d\d-\d\d[Tt]\d\d:\d\d:\d\d(\.\d+)?([Zz]|[+-]\d\d:\d\d)\Z")
RESERVED_NAMES = frozenset({"data", "data_base64"})
REQUIRED_ATTRIBUTES = ("specversion", "id", "source", "type")
INTEGER_LIMIT = 2**31
UNESCAPED_BYTES = frozenset(range(0x21, 0x7F)) - {0x22, 0x25}
UNESCAPED_TEXT = re.compile(r"[!#$&-~]*\Z")  # needs no percent-encoding


class InvalidEventError(Exception):
    """The message is no event. `attribute` names what is wrong, `status` what the sender is to be told."""

    def __init__(self, attribute: str, detail: str, status: int = 400) -> None:
        super().__init__(f"{attribute}: {detail}")
        self.attribute, self.detail, self.status = attribute, detail, status


@dataclass(slots=True)
class Event:
    """`attributes` without `datacontenttype`, which is `content_type`; `specversion` is always 1.0."""

    attributes: dict[str, AttributeValue]
    data: bytes | None = None
    content_type: str | None = None

    def text(self, name: str) -> str | None:
        value = self.attributes.get(name)
        return None if value is None else _canonical(value)

    @property
    def identity(self) -> tuple[str, str]:
        """Source and id: the same for every repeat of one event (CloudEvents core, `id`)."""
        return str(self.attributes["source"]), str(self.attributes["id"])


def _canonical(value: AttributeValue) -> str:
    if value is True or value is False:
        return "true" if value else "false"
    return str(value)


def parse_time(text: str, attribute: str = "time") -> float:
    """Seconds since 1970 of an RFC 3339 timestamp. Raises `BadEvent`."""
    if not RFC3339_TIME.match(text):
        raise InvalidEventError(attribute, "an RFC 3339 time was expected")
    try:
        return datetime.fromisoformat(text.upper()).timestamp()
    except (ValueError, OverflowError):
        raise InvalidEventError(attribute, "an RFC 3339 time was expected") from None


def _check(event: Event) -> Event:
    attributes = event.attributes
    for name in REQUIRED_ATTRIBUTES:
        if name not in attributes:
            raise InvalidEventError(name, "the attribute is missing")
        if not isinstance(attributes[name], str) or not attributes[name]:
            raise InvalidEventError(name, "a text that is not empty was expected")
    if attributes["specversion"] != "1.0":
        raise InvalidEventError("specversion", "1.0 was expected")
    if "time" in attributes:
        parse_time(str(attributes["time"]))
    for name in ("subject", "dataschema"):
        if name in attributes and not attributes[name]:
            raise InvalidEventError(name, "a text that is not empty was expected")
    return event


def encode_value(value: AttributeValue) -> bytes:
    """A header value: percent-encoded where the binding says so (section 3.1.3.2)."""
    text = _canonical(value)
    if UNESCAPED_TEXT.match(text):
        return text.encode()
    return b"".join(b"%c" % b if b in UNESCAPED_BYTES else b"%%%02X" % b for b in text.encode())


def decode_value(raw: bytes, attribute: str) -> str:
    """The text of a header value, quoted or not. Raises `BadEvent`."""
    if raw[:1] == b'"':
        if len(raw) < 2 or raw[-1:] != b'"':
            raise InvalidEventError(attribute, "a quoted text without its end")
        raw = re.sub(rb"\\(.)", rb"\1", raw[1:-1])
    if b"%" in raw:
        parts = raw.split(b"%")
        out = [parts[0]]
        for part in parts[1:]:
            if not re.match(rb"[0-9A-Fa-f]{2}", part):
                raise InvalidEventError(attribute, "a percent sign without two hexadecimal digits")
            out += [bytes.fromhex(part[:2].decode()), part[2:]]
        raw = b"".join(out)
    try:
        return raw.decode()
    except UnicodeDecodeError:
        raise InvalidEventError(attribute, "not UTF-8") from None


def media_type(raw: bytes | None) -> bytes:
    return (raw or b"").split(b";")[0].strip().lower()


@lru_cache(4096)
def _attribute(name: bytes) -> str:
    """The attribute that a ce- header names; the same few come with every event."""
    key = name[3:].decode("latin-1")
    if not ATTRIBUTE_NAME.match(key):
        raise InvalidEventError(key, "attribute names are lower-case letters and digits")
    if key == "datacontenttype" or key in RESERVED_NAMES:
        raise InvalidEventError(key, "not a header of binary mode")
    return key


def decode_event(headers: Headers, body: bytes) -> Event:
    """The event that a message carries, in binary or structured mode. Raises `BadEvent`."""
    content = None
    for name, value in headers:
        if name == b"content-type":
            if content is not None:
                raise InvalidEventError("datacontenttype", "Content-Type is told twice")
            content = value
    kind = media_type(content)
    if kind.startswith(BATCH_MEDIA_TYPE):
        raise InvalidEventError("datacontenttype", "batches are not taken", 415)
    if kind.startswith(b"application/cloudevents"):
        if kind != STRUCTURED_MEDIA_TYPE:
            raise InvalidEventError("datacontenttype", "of the event formats only JSON is taken", 415)
        return decode_json_event(body)
    attributes: dict[str, AttributeValue] = {}
    for name, value in headers:
        if not name.startswith(b"ce-"):
            continue
        key = _attribute(name)
        if key in attributes:
            raise InvalidEventError(key, "the attribute is told twice")
        attributes[key] = decode_value(value, key)
    if not attributes:
        raise InvalidEventError(
            "specversion", "no event: neither ce- headers nor application/cloudevents+json", 415
        )
    text = None
    if content is not None:
        try:
            text = content.decode("ascii")
        except UnicodeDecodeError:
            raise InvalidEventError("datacontenttype", "not ASCII") from None
    return _check(Event(attributes, body if body or content is not None else None, text))


_json = msgspec.json.Decoder(dict[str, msgspec.Raw])
_value = msgspec.json.Decoder()


def decode_json_event(body: bytes) -> Event:
    """An event in the JSON format. Raises `BadEvent`."""
    try:
        members = _json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise InvalidEventError("data", "the body is not a JSON object") from None
    attributes: dict[str, AttributeValue] = {}
    for name, raw in members.items():
        if name in RESERVED_NAMES:
            continue
        if not ATTRIBUTE_NAME.match(name):
            raise InvalidEventError(name[:64], "attribute names are lower-case letters and digits")
        value: Any = _value.decode(raw)
        if value is None:
            continue  # JSON format 1.0.2, section 2.2: null is the same as absent
        if (isinstance(value, int) and not -INTEGER_LIMIT <= value < INTEGER_LIMIT) or not isinstance(
            value, (str, int)
        ):
            raise InvalidEventError(name, "a text, a whole number of 32 bits or a boolean was expected")
        attributes[name] = value
    content = attributes.pop("datacontenttype", None)
    if content is not None and not isinstance(content, str):
        raise InvalidEventError("datacontenttype", "a text was expected")
    data: bytes | None = None
    if "data" in members and "data_base64" in members:
        raise InvalidEventError("data", "both data and data_base64")
    if "data_base64" in members:
        value = _value.decode(members["data_base64"])
        try:
            data = b64decode(value, validate=True)
        except (TypeError, ValueError):
            raise InvalidEventError("data_base64", "Base64 was expected") from None
    elif "data" in members:
        raw_data = bytes(members["data"])
        if is_json(content):
            data = raw_data
            content = content or "application/json"
        else:
            value = _value.decode(raw_data)
            data = value.encode() if isinstance(value, str) else raw_data
    return _check(Event(attributes, data, content))


def is_json(content_type: str | None) -> bool:
    """Whether data of that type stands in the JSON format as it is (section 3.1)."""
    if content_type is None:
        return True
    kind = content_type.split(";")[0].strip().lower()
    return kind.endswith(("/json", "+json"))


def encode_event(event: Event) -> tuple[Headers, bytes]:
    """Headers and body in binary mode."""
    headers: Headers = [
        (b"ce-" + name.encode(), encode_value(value)) for name, value in event.attributes.items()
    ]
    if event.content_type is not None:
        headers.append((b"content-type", event.content_type.encode()))
    return headers, event.data or b""


def encode_json_event(event: Event) -> bytes:
    """The body in structured mode, in the JSON format."""
    members: dict[str, Any] = dict(event.attributes)
    if event.content_type is not None:
        members["datacontenttype"] = event.content_type
    if event.data is not None:
        if is_json(event.content_type):
            try:
                _value.decode(event.data)
                members["data"] = msgspec.Raw(event.data)
            except (msgspec.DecodeError, UnicodeDecodeError):
                members["data_base64"] = b64encode(event.data).decode()
        else:
            members["data_base64"] = b64encode(event.data).decode()
    return msgspec.json.encode(members)
