"""What both programs that dispatch write on standard error: JSON lines."""

from __future__ import annotations

import sys

import structlog


def configure(level: str) -> None:
    """From this level on: "debug", "info", "warning" or "error"."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
