"""Adapter to the users' platform: its metadata store, health checks and headers.

It translates the platform's records and headers into the native types and makes
no decisions of its own. No other package uses the platform's names, and only the
start-up of a daemon imports this one.
"""

from bluebellbeam.platform.provider import Platform, make_platform

__all__ = ["Platform", "make_platform"]
