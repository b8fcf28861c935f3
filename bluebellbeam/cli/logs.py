"""Configuration of structured logging."""

import atexit
import logging
import sys

import structlog

from bluebellbeam.cli.log_writer import make_log_writer

__all__ = ["configure_logs"]


def configure_logs(log_format, level="info"):
    """Configure logging as JSON lines or as text.

    Parameters
    ----------
    log_format : {"json", "console"}
        ``json`` writes JSON lines to standard output, through a
        :class:`~bluebellbeam.cli.log_writer.LogWriter`; ``console`` writes
        text to standard error.
    level : str
        Lowest level that is logged.

    Returns
    -------
    callable
        Function without arguments that writes the buffered lines.
    """
    if log_format == "json":
        renderer = structlog.processors.JSONRenderer()
        writer = make_log_writer(sys.stdout.fileno())
        factory = structlog.WriteLoggerFactory(writer)
        drain = writer.drain
        atexit.register(drain)
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
        factory = structlog.PrintLoggerFactory(sys.stderr)
        drain = sys.stderr.flush
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
        logger_factory=factory,
    )
    logging.getLogger("sanic").setLevel(logging.ERROR)
    for name in ("sanic.root", "sanic.error", "sanic.server"):
        logging.getLogger(name).setLevel(logging.CRITICAL)
    return drain
