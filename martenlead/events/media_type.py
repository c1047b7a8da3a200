"""The grammar of media types (RFC 2045 and RFC 9110, section 8.3.1)."""

from __future__ import annotations

import re

NAME_LENGTH_LIMIT = 127  # of the type and of the subtype (RFC 6838, section 4.2)

_TOKEN_CHARACTER = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]"
_NAME = rf"{_TOKEN_CHARACTER}{{1,{NAME_LENGTH_LIMIT}}}"
_QUOTED_TEXT = r'"(?:[\t !#-\[\]-~]|\\[\t -~])*+"'
_PARAMETER = rf"{_TOKEN_CHARACTER}++=(?:{_TOKEN_CHARACTER}++|{_QUOTED_TEXT})"
# Possessive, so that the time is proportional to the length
_MEDIA_TYPE = re.compile(rf"{_NAME}/{_NAME}(?:[ \t]*+;(?:[ \t]*+{_PARAMETER})?+)*+")


def is_media_type(text: str) -> bool:
    """Whether a text is a media type with its parameters."""
    return _MEDIA_TYPE.fullmatch(text) is not None


def parse_essence(raw: bytes | None) -> bytes:
    """The type and subtype of a Content-Type header, in lower case and without its parameters."""
    return (raw or b"").split(b";")[0].strip().lower()
