"""Adapter to the users' platform: translation between its words and ours.

Nothing outside this package knows the platform's names, and only the start-up
of a daemon imports it. It decides nothing.
"""

from bluebellbeam.platform.start import Platform, make_platform

__all__ = ["Platform", "make_platform"]
