"""The I/O of a daemon: listeners, upstream attempts, metrics."""

from bluebellbeam.daemon.server import Daemon, make_daemon, run_daemon

__all__ = ["Daemon", "make_daemon", "run_daemon"]
