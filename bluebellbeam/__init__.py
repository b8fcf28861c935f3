"""bluebellbeam: a multi-region inference gateway without shared state."""

from bluebellbeam.exception import (
    BluebellbeamError,
    PeerError,
    PlatformError,
    ScenarioError,
    UpstreamError,
)

__all__ = [
    "BluebellbeamError",
    "PeerError",
    "PlatformError",
    "ScenarioError",
    "UpstreamError",
    "__version__",
]

__version__ = "0.1.0"
