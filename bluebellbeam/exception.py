"""Exceptions raised by the package.

Each layer raises its own subclass and converts the errors of the layer below
to it, so that callers only handle the errors of the layer they call.
"""

__all__ = [
    "BluebellbeamError",
    "PeerError",
    "PlatformError",
    "ScenarioError",
    "UpstreamError",
]


class BluebellbeamError(Exception):
    """Base class of every exception raised by the package."""


class PlatformError(BluebellbeamError):
    """Raised when a read from a service of the platform fails."""


class PeerError(BluebellbeamError):
    """Raised when a message to or from another daemon is rejected or lost."""


class UpstreamError(BluebellbeamError):
    """Raised when a backend server returns no valid response."""


class ScenarioError(BluebellbeamError):
    """Raised when a scenario script cannot be parsed or fails an expectation."""
