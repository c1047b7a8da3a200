"""CloudEvents 1.0.2 (core): HTTP protocol binding 1.0.2 and JSON format 1.0.2, both directions.

Attributes keep the type that the format gave them: strings, integers and booleans. The data is the
received bytes, or None if there is none; an empty body with a content type is empty data.
"""

from __future__ import annotations

import re
from base64 import b64decode, b64encode
from dataclasses import dataclass
from datetime import datetime
from functools import lru_cache
from http import HTTPStatus

import msgspec

from martenlead.events.http import Headers
from martenlead.events.media_type import is_media_type, parse_essence
from martenlead.system.decode_errors import DECODE_ERRORS

AttributeValue = str | int | bool
STRUCTURED_MEDIA_TYPE = b"application/cloudevents+json"
BATCH_MEDIA_TYPE = b"application/cloudevents-batch"
ACCEPTED_MEDIA_TYPES = b"application/cloudevents+json, any other content type with ce- headers"
ATTRIBUTE_NAME_LENGTH = 64
ATTRIBUTE_NAME = re.compile(rf"[a-z0-9]{{1,{ATTRIBUTE_NAME_LENGTH}}}\Z")
RFC3339_TIME = re.compile(r"\d{4}-\d\d-\d\d[Tt]\d\d:\d\d:\d\d(\.\d+)?([Zz]|[+-]\d\d:\d\d)\Z")
RESERVED_NAMES = frozenset({"data", "data_base64"})
REQUIRED_ATTRIBUTES = ("specversion", "id", "source", "type")
INTEGER_LIMIT = 2**31  # Signed 32-bit integers (CloudEvents core)
UNESCAPED_BYTES = frozenset(range(0x21, 0x7F)) - {0x22, 0x25}
BAD_REQUEST = HTTPStatus.BAD_REQUEST.value
UNSUPPORTED_MEDIA_TYPE = HTTPStatus.UNSUPPORTED_MEDIA_TYPE.value
EVENT_MEDIA_TYPE_PREFIX = b"application/cloudevents"
CONTROL_CHARACTERS = re.compile(r"[\x00-\x1f\x7f-\x9f]")  # not allowed (core, "Type System")
UNESCAPED_TEXT = re.compile(r"[!#$&-~]*\Z")  # Needs no percent-encoding


class InvalidEventError(Exception):
    """The message is not a valid event.

    `attribute` is the name of the invalid attribute, `status` is for the response.
    """

    def __init__(self, attribute: str, detail: str, status: int = BAD_REQUEST) -> None:
        super().__init__(f"{attribute}: {detail}")
        self.attribute, self.detail, self.status = attribute, detail, status


@dataclass(slots=True)
class Event:
    """One event; `content_type` is its attribute `datacontenttype`."""

    attributes: dict[str, AttributeValue]
    data: bytes | None = None
    content_type: str | None = None

    def text(self, name: str) -> str | None:
        """An attribute in its canonical string form, or None if it is absent."""
        value = self.attributes.get(name)
        return None if value is None else _canonical(value)

    @property
    def identity(self) -> tuple[str, str]:
        """Source and id, which are the same in every retry of an event (CloudEvents core, `id`)."""
        return str(self.attributes["source"]), str(self.attributes["id"])


def _canonical(value: AttributeValue) -> str:
    if value is True or value is False:
        return "true" if value else "false"
    return str(value)


def parse_time(text: str, attribute: str = "time") -> float:
    """Seconds since 1970 of an RFC 3339 timestamp. Raises `InvalidEventError`."""
    if not RFC3339_TIME.match(text):
        raise InvalidEventError(attribute, "an RFC 3339 time was expected")
    try:
        return datetime.fromisoformat(text.upper()).timestamp()
    except (ValueError, OverflowError):
        raise InvalidEventError(attribute, "an RFC 3339 time was expected") from None


def check_event(event: Event) -> Event:
    """The event, if its attributes are valid. Raises `InvalidEventError`."""
    for name in event.attributes:
        if not ATTRIBUTE_NAME.match(name):
            raise _invalid_name(name)
    return _check_attributes(event)


def _invalid_name(name: str) -> InvalidEventError:
    detail = "attribute names are lower-case letters and digits"
    return InvalidEventError(name[:ATTRIBUTE_NAME_LENGTH], detail)


def _check_attributes(event: Event) -> Event:
    attributes = event.attributes
    _check_texts(attributes)
    if event.content_type is not None and not is_media_type(event.content_type):
        raise InvalidEventError("datacontenttype", "a media type was expected")
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


def _check_texts(attributes: dict[str, AttributeValue]) -> None:
    texts = [value for value in attributes.values() if isinstance(value, str)]
    if CONTROL_CHARACTERS.search("".join(texts)) is None:
        return
    for name, value in attributes.items():
        if isinstance(value, str) and CONTROL_CHARACTERS.search(value):
            raise InvalidEventError(name, "a control character is not allowed")


def encode_value(value: AttributeValue) -> bytes:
    """A header value, percent-encoded as the binding requires (section 3.1.3.2)."""
    text = _canonical(value)
    if UNESCAPED_TEXT.match(text):
        return text.encode()
    return b"".join(
        b"%c" % byte if byte in UNESCAPED_BYTES else b"%%%02X" % byte for byte in text.encode()
    )


def decode_value(raw: bytes, attribute: str) -> str:
    """The text of a header value, quoted or not. Raises `InvalidEventError`."""
    if raw[:1] == b'"':
        if len(raw) == 1 or raw[-1:] != b'"':
            raise InvalidEventError(attribute, "a quoted text without its end")
        raw = re.sub(rb"\\(.)", rb"\1", raw[1:-1])
    if b"%" in raw:
        parts = raw.split(b"%")
        decoded = [parts[0]]
        for part in parts[1:]:
            if not re.match(rb"[0-9A-Fa-f]{2}", part):
                raise InvalidEventError(attribute, "a percent sign without two hexadecimal digits")
            decoded += [bytes.fromhex(part[:2].decode()), part[2:]]
        raw = b"".join(decoded)
    try:
        return raw.decode()
    except UnicodeDecodeError:
        raise InvalidEventError(attribute, "not UTF-8") from None


@lru_cache(4096)
def _attribute(name: bytes) -> str:
    """The attribute name of a ce- header, cached as most events have the same few."""
    key = name[3:].decode("latin-1")
    if not ATTRIBUTE_NAME.match(key):
        raise _invalid_name(key)
    if key == "datacontenttype" or key in RESERVED_NAMES:
        raise InvalidEventError(key, "not a header of binary mode")
    return key


def decode_event(headers: Headers, body: bytes) -> Event:
    """The event of a message, in binary or structured mode. Raises `InvalidEventError`."""
    content_type = _find_content_type(headers)
    if is_structured(content_type):
        return _decode_structured(parse_essence(content_type), body)
    attributes: dict[str, AttributeValue] = {}
    for name, value in headers:
        if not name.startswith(b"ce-"):
            continue
        key = _attribute(name)
        if key in attributes:
            raise InvalidEventError(key, "the attribute is told twice")
        attributes[key] = decode_value(value, key)
    if not attributes:
        detail = "no event: neither ce- headers nor application/cloudevents+json"
        raise InvalidEventError("specversion", detail, UNSUPPORTED_MEDIA_TYPE)
    text = None
    if content_type is not None:
        try:
            text = content_type.decode("ascii")
        except UnicodeDecodeError:
            raise InvalidEventError("datacontenttype", "not ASCII") from None
    has_data = bool(body) or content_type is not None
    return _check_attributes(Event(attributes, body if has_data else None, text))


def is_structured(content_type: bytes | None) -> bool:
    """Whether a message with this Content-Type is in structured mode (binding, section 3)."""
    return parse_essence(content_type).startswith(EVENT_MEDIA_TYPE_PREFIX)


def _find_content_type(headers: Headers) -> bytes | None:
    content_type = None
    for name, value in headers:
        if name == b"content-type":
            if content_type is not None:
                raise InvalidEventError("datacontenttype", "Content-Type is told twice")
            content_type = value
    return content_type


def _decode_structured(mime_type: bytes, body: bytes) -> Event:
    """The event of a message whose media type is that of an event format."""
    if mime_type.startswith(BATCH_MEDIA_TYPE):
        detail = "batches are not taken"
        raise InvalidEventError("datacontenttype", detail, UNSUPPORTED_MEDIA_TYPE)
    if mime_type != STRUCTURED_MEDIA_TYPE:
        detail = "of the event formats only JSON is taken"
        raise InvalidEventError("datacontenttype", detail, UNSUPPORTED_MEDIA_TYPE)
    return decode_json_event(body)


_members_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_value_decoder = msgspec.json.Decoder()


def decode_json_event(body: bytes) -> Event:
    """An event in the JSON format. Raises `InvalidEventError`."""
    members = _decode_members(body)
    attributes = _decode_attributes(members)
    content_type = attributes.pop("datacontenttype", None)
    if content_type is not None and not isinstance(content_type, str):
        raise InvalidEventError("datacontenttype", "a text was expected")
    if "data" in members and "data_base64" in members:
        raise InvalidEventError("data", "both data and data_base64")
    data: bytes | None = None
    if "data_base64" in members:
        data = _decode_base64(members["data_base64"])
    elif "data" in members:
        data = bytes(members["data"])
        if is_json(content_type):
            content_type = content_type or "application/json"
        else:
            value = _decode_member("data", members["data"])
            data = value.encode() if isinstance(value, str) else data
    return _check_attributes(Event(attributes, data, content_type))


def _decode_members(body: bytes) -> dict[str, msgspec.Raw]:
    try:
        body.decode()  # the decoder leaves the texts of `Raw` members unchecked
        return _members_decoder.decode(body)
    except RecursionError:
        raise InvalidEventError("data", "the body is nested too deeply") from None
    except DECODE_ERRORS:
        raise InvalidEventError("data", "the body is not a JSON object") from None


def _decode_member(name: str, raw: msgspec.Raw) -> object:
    try:
        return _value_decoder.decode(raw)
    except DECODE_ERRORS:
        raise InvalidEventError(name, "the value cannot be read") from None


def _decode_attributes(members: dict[str, msgspec.Raw]) -> dict[str, AttributeValue]:
    """All members except those of the data."""
    attributes: dict[str, AttributeValue] = {}
    for name, raw in members.items():
        if name in RESERVED_NAMES:
            continue
        if not ATTRIBUTE_NAME.match(name):
            raise _invalid_name(name)
        value = _decode_member(name, raw)
        if value is None:
            continue  # JSON format 1.0.2, section 2.2: null is the same as absent
        is_too_large = isinstance(value, int) and not -INTEGER_LIMIT <= value < INTEGER_LIMIT
        if is_too_large or not isinstance(value, (str, int)):
            detail = "a text, a whole number of 32 bits or a boolean was expected"
            raise InvalidEventError(name, detail)
        attributes[name] = value
    return attributes


def _decode_base64(raw: msgspec.Raw) -> bytes:
    text = _decode_member("data_base64", raw)
    try:
        if isinstance(text, str):
            return b64decode(text, validate=True)
    except ValueError:
        pass
    raise InvalidEventError("data_base64", "Base64 was expected")


def is_json(content_type: str | None) -> bool:
    """Whether the JSON format stores data of that type as a JSON value (section 3.1)."""
    if content_type is None:
        return True
    mime_type = content_type.split(";")[0].strip().lower()
    return mime_type.endswith(("/json", "+json"))


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
    members: dict[str, object] = dict(event.attributes)
    if event.content_type is not None:
        members["datacontenttype"] = event.content_type
    if event.data is not None:
        if is_json(event.content_type):
            try:
                _value_decoder.decode(event.data)
                members["data"] = msgspec.Raw(event.data)
            except DECODE_ERRORS:
                members["data_base64"] = b64encode(event.data).decode()
        else:
            members["data_base64"] = b64encode(event.data).decode()
    return msgspec.json.encode(members)
