"""bluebellbeam: a multi-region inference gateway without a shared data store."""

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
