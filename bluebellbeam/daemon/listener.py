"""Functions shared by the HTTP listeners of a daemon."""

import math
import secrets
import socket
from collections import OrderedDict

import structlog
from sanic import Sanic, response
from sanic.exceptions import SanicException
from sanic.server import HttpProtocol

from bluebellbeam.daemon.connection_limit import (
    admit_connection,
    is_idle,
    make_connection_limit,
)
from bluebellbeam.daemon.wire import encode_error
from bluebellbeam.node.errors import make_error
from bluebellbeam.utils.clock import monotonic_clock

__all__ = [
    "NOT_RUN_STATUSES",
    "ListenerActivity",
    "ListenerApp",
    "bind_address",
    "close_unused_connections",
    "error_response",
    "make_listener_app",
    "read_on",
    "start_listener",
    "status_of_outcome",
]

REQUEST_TIMEOUT_S = 10
"""Time within which the whole request has to arrive."""

RESPONSE_TIMEOUT_S = 900
"""Time within which the handler has to begin its response."""

KEEP_ALIVE_TIMEOUT_S = 30
"""Idle time after which the connection of a client is closed."""

MAX_HEADER_BYTES = 16 * 1024
BACKLOG = 1024
"""Connections that the kernel queues until they are accepted."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that assure the caller that its request did not run and never will."""

_ERROR_CODES = {
    400: "bad_request",
    404: "not_found",
    405: "not_found",
    408: "request_timeout",
    413: "too_large",
}


class _NoSignal:
    """Awaitable without a result, for a signal that has no handler."""

    __slots__ = ()

    def __await__(self):
        return iter(())


_NO_SIGNAL = _NoSignal()


class ListenerActivity:
    """Connections of one listener since it started.

    Attributes
    ----------
    accepted : int
        Connections accepted.
    accepted_ms : int or None
        Time of the last accepted connection; None before the first.
    connections : OrderedDict of CountedProtocol to None
        Open connections, that from which bytes were read least recently first.
    """

    __slots__ = ("accepted", "accepted_ms", "connections")

    def __init__(self):
        self.accepted = 0
        self.accepted_ms = None
        self.connections = OrderedDict()

    @property
    def open(self):
        """Number of open connections."""
        return len(self.connections)


class CountedProtocol(HttpProtocol):
    """HTTP connection that is counted in the activity of its listener."""

    __slots__ = ()

    def connection_made(self, transport):
        """Count an accepted connection, and log the first."""
        activity = self.app.ctx.activity
        activity.accepted += 1
        activity.connections[self] = None
        activity.accepted_ms = self.app.ctx.clock.now_ms()
        if activity.accepted == 1:
            structlog.get_logger().info(
                "listener: first connection accepted",
                vm=self.app.ctx.vm,
                listener=self.app.ctx.listener,
            )
        super().connection_made(transport)
        admit_connection(self.app.ctx.connection_limit, self)

    def data_received(self, data):
        """Note that the connection is in use."""
        connections = self.app.ctx.activity.connections
        if self in connections:
            connections.move_to_end(self)
        super().data_received(data)

    def connection_lost(self, exc):
        """Count a closed connection."""
        self.app.ctx.activity.connections.pop(self, None)
        super().connection_lost(exc)


class ListenerApp(Sanic):
    """Sanic application without signals for single requests.

    Sanic dispatches signals at each step of a request and for each write, also if
    they have no handlers, which takes a third of the time to relay a stream.
    """

    def dispatch(self, event, **options):
        """Dispatch the signals of the server; skip those of requests."""
        if event.startswith("http."):
            return _NO_SIGNAL
        return super().dispatch(event, **options)

    def add_route(self, handler, uri, methods=("GET",), *, name):
        """Add a route; sanic does not derive its error format from the source."""
        return super().add_route(handler, uri, methods, name=name, error_format="json")


def make_listener_app(name, vm, max_body_bytes):
    """Return an application with the limits and the error handler of a listener.

    Parameters
    ----------
    name : str
        Name of the listener.
    vm : str
        Name of the entry VM. Applications of one process need different names, also
        if it runs the daemons of several VMs.
    max_body_bytes : int
        Largest request body.
    """
    app = ListenerApp(f"{name}-{vm}-{secrets.token_hex(4)}", configure_logging=False)
    app.config.TOUCHUP = False
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.REQUEST_MAX_HEADER_SIZE = MAX_HEADER_BYTES
    app.config.REQUEST_TIMEOUT = REQUEST_TIMEOUT_S
    app.config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_S
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_TIMEOUT_S
    app.config.ACCESS_LOG = False
    app.config.MOTD = False
    app.ctx.activity = ListenerActivity()
    app.ctx.clock = monotonic_clock()
    app.ctx.connection_limit = make_connection_limit(app.ctx.clock, vm)
    app.ctx.listener = name
    app.ctx.vm = vm
    app.exception(Exception)(_handle_exception)
    return app


async def _handle_exception(request, exception):
    code = "internal"
    if isinstance(exception, SanicException):
        code = _ERROR_CODES.get(exception.status_code, "bad_request")
        if exception.status_code >= 500:
            code = "internal"
    return error_response(make_error(code), "")


def read_on(request):
    """Read on from the connection of a request whose body is complete.

    Sanic pauses reading once 64 KiB wait to be parsed, and resumes it only when a
    request needs more, so the close of the connection would not be noticed.
    """
    if request.transport is not None:
        request.transport.resume_reading()


def status_of_outcome(error):
    """Return the status of an error, or 502 if that would deny that it may have run.

    Parameters
    ----------
    error : CallerError
    """
    maybe_ran = error.outcome != "not_run"
    return 502 if maybe_ran and error.status in NOT_RUN_STATUSES else error.status


def error_response(error, request_id):
    """Return the HTTP response for the :class:`CallerError` `error`."""
    headers = {"x-request-id": request_id} if request_id else {}
    if error.retry_after_ms:
        headers["retry-after"] = str(math.ceil(error.retry_after_ms / 1000.0))
    return response.raw(
        encode_error(error, request_id),
        status=status_of_outcome(error),
        headers=headers,
        content_type="application/json",
    )


def bind_address(address):
    """Return a socket bound to `address`, given as ``ip:port`` (port 0 for any)."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    return sock


def bound_address(sock):
    """Return the local address of a socket as ``ip:port``."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


async def start_listener(app, sock):
    """Serve `app` on a bound socket in the running loop.

    Returns
    -------
    AsyncioServer
        Server that runs in this process.
    """
    server = await app.create_server(
        sock=sock,
        protocol=CountedProtocol,
        return_asyncio_server=True,
        backlog=BACKLOG,
        asyncio_server_kwargs={"start_serving": False},
    )
    await server.startup()
    await server.before_start()
    await server.start_serving()
    await server.after_start()
    return server


def close_unused_connections(server):
    """Close the connections of which no byte of a further request has been read.

    Returns
    -------
    int
        Number of other open connections, whose requests or responses are incomplete.
    """
    for connection in list(server.connections):
        if is_idle(connection):
            connection.transport.close()
    return len(server.connections)


async def stop_listener(server):
    """Stop accepting connections; open ones are not closed."""
    await server.before_stop()
    server.close()
    await server.after_stop()
