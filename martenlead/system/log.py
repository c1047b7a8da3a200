"""The log of all programs: one JSON object per line, on standard error.

Tracebacks are written as plain text. By default structlog renders them with the variables of each
frame, which stalls an event loop for a tenth of a second.
"""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import structlog


def configure_log(level: int | str = logging.INFO, stream: TextIO | None = None) -> None:
    """Configures the log of this process; `stream` replaces standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
