"""Reload of the settings file while the daemon runs."""

import asyncio

import structlog
from msgspec import structs
from returns.result import Failure, Success

from bluebellbeam.config import read_settings

__all__ = ["apply_settings", "watch_settings"]

CHECK_INTERVAL_S = 5.0
"""Interval at which the file is read again, even without SIGHUP."""

RELOADABLE = ("seed_peers", "store")
"""Settings that can change without a restart."""


async def watch_settings(driver, path, reload_requested):
    """Apply changes of the settings file at `path` until cancelled.

    Parameters
    ----------
    driver : Driver
    path : str
    reload_requested : asyncio.Event
        Set by the handler of SIGHUP.
    """
    log = structlog.get_logger()
    while True:
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await reload_requested.wait()
        except TimeoutError:
            pass
        signalled = reload_requested.is_set()
        reload_requested.clear()
        match read_settings(path):
            case Success(settings):
                changed = apply_settings(driver, settings)
                if changed or signalled:
                    log.info("settings: reloaded", vm=settings.vm, changed=changed)
            case Failure(faults):
                reason = str(faults[0])
                log.warning("settings: reload failed, nothing changed", reason=reason)


def apply_settings(driver, settings):
    """Apply the reloadable settings; return the names of all changed settings.

    Changed settings that are not reloadable are returned as well, but keep the values
    that the daemon was started with.
    """
    current = driver.settings
    changed = [
        name
        for name in settings.__struct_fields__
        if getattr(settings, name) != getattr(current, name)
    ]
    reloaded = {name: getattr(settings, name) for name in RELOADABLE}
    driver.settings = structs.replace(current, **reloaded)
    state = driver.node.state
    state.identity = structs.replace(state.identity, seed_peers=settings.seed_peers)
    driver.provider.reload(driver.settings)
    return changed
