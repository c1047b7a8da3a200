"""The log of every program: one JSON object a line, on standard error.

A traceback is written as plain text. The default of structlog renders it with the variables of each
frame, which stalls an event loop for a tenth of a second.
"""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import structlog


def configure_log(level: int | str = logging.INFO, stream: TextIO | None = None) -> None:
    """Configures the log of this process; `stream` stands in for standard error."""
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
