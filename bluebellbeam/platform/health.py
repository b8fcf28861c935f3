"""Health checks of the platform's backend servers."""

import asyncio

from bluebellbeam.daemon.connection import UpstreamConnectionError, encode_request
from bluebellbeam.node import event as ev
from bluebellbeam.platform.headers import (
    BRITTLE_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    read_brittle,
    read_limit,
    states_leaving,
)
from bluebellbeam.utils.counts import parse_count

__all__ = ["check_health"]

CHECK_TIMEOUT_MS = 1000
"""Includes queueing: a server runs a health check in a slot, like a request."""

MAX_CHECK_BODY_BYTES = 64 * 1024
"""Largest body of a health check that is read; only its headers are used."""

# Name of the responding server.
INSTANCE_HEADER = "x-instance-id"
# Remaining warm-up time in ms, during which the server accepts only few requests.
WARM_UP_HEADER = "x-warmup-ms"


# Set on a 503 response if the server was too busy to run the check.
NOT_RUN_HEADER = "x-not-executed"


async def check_health(pool, command):
    """Check the health of a backend server; return the event for the node.

    A server that is too busy to run the check counts as healthy, and one that states
    that it is leaving has answered.

    Parameters
    ----------
    pool : ConnectionPool
        Connections of health checks only.
    command : ReadLoad
    """
    server, incarnation = command.server, command.incarnation
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_MS / 1000.0):
            status, headers = await _read_health(pool, command)
    except UpstreamConnectionError as error:
        return ev.LoadReadFailed(server, incarnation, error.refused)
    except TimeoutError:
        return ev.LoadReadFailed(server, incarnation)
    name = (headers.get(INSTANCE_HEADER) or [""])[0]
    leaving = states_leaving(headers.get(LEAVING_HEADER, []))
    busy = status == 503 and NOT_RUN_HEADER in headers
    if not name or (status != 200 and not busy and not leaving):
        return ev.LoadReadFailed(server, incarnation)
    warm_up = (headers.get(WARM_UP_HEADER) or ["0"])[0]
    return ev.HealthCheckAnswered(
        server,
        name,
        incarnation,
        parse_count(warm_up.partition(".")[0], 0),
        read_limit(headers.get(LIMIT_HEADER, [])),
        command.sent_ms,
        leaving,
        read_brittle(headers.get(BRITTLE_HEADER, [])),
    )


async def _read_health(pool, command):
    """Return the status of a response, and the values of its headers by name."""
    path = command.health_path or "/"
    raw = encode_request("GET", path, command.address, (), b"")
    pool.sweep()
    key = (command.server, command.incarnation)
    connection = await pool.acquire(key, command.address)
    try:
        connection.send("GET", raw, b"")
        await connection.read_head()
        await connection.read_all(MAX_CHECK_BODY_BYTES)
        headers = {}
        for name, value in connection.headers:
            headers.setdefault(name, []).append(value)
        return connection.status, headers
    finally:
        pool.release(connection)
