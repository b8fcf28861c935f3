"""Root of the exception hierarchy.

Each layer raises its own subclass and turns the errors of the layer below
into it, so that a caller only handles the errors of the layer it calls.
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
    """Raised when a service of the platform cannot be read."""


class PeerError(BluebellbeamError):
    """Raised when a message to or from another daemon is refused or lost."""


class UpstreamError(BluebellbeamError):
    """Raised when a backend server gives no usable answer."""


class ScenarioError(BluebellbeamError):
    """Raised when a scenario script cannot be parsed or fails an expectation."""
