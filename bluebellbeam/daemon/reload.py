"""Reload of the settings file while the daemon runs."""

import asyncio

import structlog
from msgspec import structs
from returns.result import Failure, Success

from bluebellbeam.config import read_settings

__all__ = ["apply_settings", "watch_settings"]

CHECK_INTERVAL_S = 5.0
"""Interval at which a file that changed without a signal is noticed."""

RELOADABLE = ("seed_peers", "store")
"""Settings that take effect without a restart."""


async def watch_settings(driver, path, reload_requested):
    """Apply changes of the settings file at `path` for good.

    Parameters
    ----------
    driver : Driver
    path : str
    reload_requested : asyncio.Event
        Set when a signal asks for a reload.
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
                    log.info("settings: reload", vm=settings.vm, changed=changed)
            case Failure(faults):
                reason = str(faults[0])
                log.warning("settings: keep the former ones", reason=reason)


def apply_settings(driver, settings):
    """Put new settings in force; return the names of those that changed.

    What cannot change while the daemon runs stays as it was at its start.
    """
    before = driver.settings
    changed = [
        name
        for name in settings.__struct_fields__
        if getattr(settings, name) != getattr(before, name)
    ]
    kept = {name: getattr(settings, name) for name in RELOADABLE}
    driver.settings = structs.replace(before, **kept)
    state = driver.node.state
    state.identity = structs.replace(state.identity, seed_peers=settings.seed_peers)
    driver.provider.reload(driver.settings)
    return changed
