"""Encoding of HTTP/1.1 heads and chunks; no other module puts them together.

Names and values may come from peers. Whatever they hold, the result is one head with the given
fields and one framing: anything else that RFC 9110 and RFC 9112 forbid is an `InvalidHeadError`.
"""

from __future__ import annotations

import re
import string
from collections.abc import Iterable
from enum import Enum
from functools import lru_cache
from http import HTTPStatus
from ipaddress import IPv6Address
from typing import NewType

FieldLines = NewType("FieldLines", bytes)
"""Encoded field lines, each with its line end."""

NO_FIELDS = FieldLines(b"")
FIELD_OVERHEAD_BYTES = len(b": \r\n")  # of a field line beside its name and its value
LAST_CHUNK = b"0\r\n\r\n"
FRAMING_NAMES = frozenset({b"host", b"content-length", b"transfer-encoding"})  # written here alone
NAME_CHARACTERS = (string.ascii_lowercase + string.digits + "!#$%&'*+-.^_`|~").encode()
CONTROL_BYTES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")  # RFC 9110, section 5.5, all but the tab
METHOD = re.compile(rb"[A-Z]{1,20}")
TARGET = re.compile(rb"[\x21-\x7e]+")
HOST_PATTERN = r"\A[A-Za-z0-9\-._~%:]+\Z"
"""Names and addresses of hosts without a port, for settings."""
TEXT_PATTERN = r"\A[^\x00-\x1f\x7f]+\Z"
"""Texts that a field value may hold, for settings."""
HOST = re.compile(rb"[A-Za-z0-9\-._~!$&'()*+,;=%:\[\]]*")  # RFC 3986, section 3.2, without userinfo
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
STATUS_CODES = range(100, 600)
START_LINE_CACHE_ENTRIES = 1024
SHOWN_BYTES = 100  # of a value, in the text of an error


class HeadPart(Enum):
    """A part of a head, as error messages name it."""

    METHOD = "a method"
    TARGET = "a target"
    HOST = "a host"
    STATUS = "a status code"
    FIELD_NAME = "a field name"
    FIELD_VALUE = "a field value"


class InvalidHeadError(ValueError):
    """HTTP does not allow a part of the head, so that nothing of the message may be sent."""

    def __init__(self, part: HeadPart, value: bytes) -> None:
        super().__init__(f"{value[:SHOWN_BYTES]!r} is not allowed in {part.value}")
        self.part = part


def encode_field_lines(fields: Iterable[tuple[bytes, bytes]]) -> FieldLines:
    """Encodes fields, whose names are in lower case.

    Raises:
        InvalidHeadError: A name or value is not allowed, or the field belongs to the framing.
    """
    pairs = list(fields)
    names = [name for name, _ in pairs]
    forbidden = b"".join(names).translate(None, NAME_CHARACTERS)
    if forbidden or not all(names):
        raise InvalidHeadError(HeadPart.FIELD_NAME, forbidden)
    if not FRAMING_NAMES.isdisjoint(names):
        raise InvalidHeadError(HeadPart.FIELD_NAME, b", ".join(FRAMING_NAMES.intersection(names)))
    control = CONTROL_BYTES.search(b"".join([value for _, value in pairs]))
    if control is not None:
        raise InvalidHeadError(HeadPart.FIELD_VALUE, control[0])
    return FieldLines(b"".join([b"%b: %b\r\n" % pair for pair in pairs]))


def encode_request_head(
    method: bytes, target: bytes, host: bytes, fields: FieldLines, body_bytes: int
) -> bytes:
    """Encodes the head of a request whose body has `body_bytes` bytes.

    Raises:
        InvalidHeadError: The method, the target or the host is not allowed.
    """
    start = _encode_request_start(method, target, host)
    return b"%b%bcontent-length: %d\r\n\r\n" % (start, fields, body_bytes)


def encode_response_head(status: int, fields: FieldLines, body_bytes: int | None) -> bytes:
    """Encodes the head of a response; the body follows in chunks if `body_bytes` is None.

    Raises:
        InvalidHeadError: The status code is not one of a response.
    """
    start = _encode_response_start(status)
    if body_bytes is None:
        return b"%b%btransfer-encoding: chunked\r\n\r\n" % (start, fields)
    return b"%b%bcontent-length: %d\r\n\r\n" % (start, fields, body_bytes)


def encode_interim_response(status: int) -> bytes:
    """Encodes a response without fields that another one follows."""
    return _encode_response_start(status) + b"\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Encodes a part of a body; an empty part has no chunk, as `LAST_CHUNK` ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def encode_authority(host: str, port: int) -> bytes:
    """Encodes the value of Host for an address; IPv6 addresses get brackets (RFC 3986)."""
    return f"[{host}]:{port}".encode() if is_ipv6_address(host) else f"{host}:{port}".encode()


def is_ipv6_address(host: str) -> bool:
    """Whether a host is an IPv6 address."""
    try:
        IPv6Address(host)
    except ValueError:
        return False
    return True


@lru_cache(START_LINE_CACHE_ENTRIES)
def _encode_request_start(method: bytes, target: bytes, host: bytes) -> bytes:
    """The request line and the Host field, cached as most requests have the same few."""
    if not METHOD.fullmatch(method):
        raise InvalidHeadError(HeadPart.METHOD, method)
    if not TARGET.fullmatch(target):
        raise InvalidHeadError(HeadPart.TARGET, target)
    if not HOST.fullmatch(host):
        raise InvalidHeadError(HeadPart.HOST, host)
    return b"%b %b HTTP/1.1\r\nhost: %b\r\n" % (method, target, host)


@lru_cache(START_LINE_CACHE_ENTRIES)
def _encode_response_start(status: int) -> bytes:
    if status not in STATUS_CODES:
        raise InvalidHeadError(HeadPart.STATUS, b"%d" % status)
    return b"HTTP/1.1 %d %b\r\n" % (status, REASONS.get(status, b""))
