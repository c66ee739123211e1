"""Structured logging: one line of key=value pairs per event."""

import logging
import sys
import typing

import structlog

LEVELS = ("debug", "info", "warning", "error")


def set_up(level: str, daemon: str) -> None:
    """Writes every event at or above `level` to standard error.

    Args:
        level: One of `LEVELS`.
        daemon: The daemon's name, which is added to every line.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(daemon=daemon)
    # The HTTP library logs each malformed request with a traceback, which an
    # attacker could use to flood the log. Refusals are counted instead.
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)


def get() -> typing.Any:
    """Returns a logger; its methods take an event and key=value pairs."""
    return structlog.get_logger()
