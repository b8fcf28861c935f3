"""Network I/O of a daemon: HTTP listeners, upstream requests and metrics."""

from bluebellbeam.daemon.server import Daemon, make_daemon, run_daemon

__all__ = ["Daemon", "make_daemon", "run_daemon"]
