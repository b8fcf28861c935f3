"""Set-up of structured logging."""

import logging
import sys

import structlog

__all__ = ["configure_logs"]


def configure_logs(log_format, level="info"):
    """Write logs to standard error as ``json`` or for a ``console``."""
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    logging.getLogger("sanic").setLevel(logging.ERROR)
    for name in ("sanic.root", "sanic.error", "sanic.server"):
        logging.getLogger(name).setLevel(logging.CRITICAL)
