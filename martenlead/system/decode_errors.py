"""What decoding a peer's bytes may raise."""

from __future__ import annotations

import msgspec

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Errors of `msgspec` for invalid input: not the format or not the type, no UTF-8, too deep."""
