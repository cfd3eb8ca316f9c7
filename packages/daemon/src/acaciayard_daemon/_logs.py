"""Logs: one line of key=value pairs for each event, on standard output."""

from __future__ import annotations

import logging
import sys

import structlog

__all__ = ["configure_logs"]


def configure_logs(host: str) -> structlog.typing.FilteringBoundLogger:
    """The logger of this daemon; every line starts with time, level and event."""
    logging.disable(logging.CRITICAL)
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.add_log_level,
            structlog.processors.LogfmtRenderer(
                key_order=["time", "level", "event"], drop_missing=True
            ),
        ],
        logger_factory=structlog.PrintLoggerFactory(file=sys.stdout),
        cache_logger_on_first_use=True,
    )
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(host=host)
    return logger
