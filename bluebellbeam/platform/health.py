"""Health checks of the platform's backend servers."""

import aiohttp

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
from bluebellbeam.utils.http_body import read_body

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


async def check_health(session, command):
    """Check the health of a backend server; return the event for the node.

    A server that is too busy to run the check counts as healthy, and one that states
    that it is leaving has answered.

    Parameters
    ----------
    session : aiohttp.ClientSession
    command : ReadLoad
    """
    url = f"http://{command.address}{command.health_path}"
    timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_MS / 1000.0)
    try:
        async with session.get(url, timeout=timeout, allow_redirects=False) as response:
            await read_body(response, MAX_CHECK_BODY_BYTES)
            name = response.headers.get(INSTANCE_HEADER, "")
            warm_up = response.headers.get(WARM_UP_HEADER, "0").partition(".")[0]
            limit = read_limit(response.headers.getall(LIMIT_HEADER, []))
            brittle = read_brittle(response.headers.getall(BRITTLE_HEADER, []))
            leaving = states_leaving(response.headers.getall(LEAVING_HEADER, []))
            busy = response.status == 503 and NOT_RUN_HEADER in response.headers
            if not name or (response.status != 200 and not busy and not leaving):
                return ev.LoadReadFailed(command.server, command.incarnation)
    except aiohttp.ClientConnectorError as error:
        refused = isinstance(error.os_error, ConnectionRefusedError)
        return ev.LoadReadFailed(command.server, command.incarnation, refused)
    except (TimeoutError, aiohttp.ClientError, OSError):
        return ev.LoadReadFailed(command.server, command.incarnation)
    incarnation = command.incarnation
    warm_up_left_ms = parse_count(warm_up, 0)
    return ev.HealthCheckAnswered(
        command.server,
        name,
        incarnation,
        warm_up_left_ms,
        limit,
        command.sent_ms,
        leaving,
        brittle,
    )
