"""What the platform publishes, and the clients that read it."""

from bluebellbeam.provider.records import (
    BriefLoad,
    CacheEvents,
    LoadReport,
    Order,
    VmRecord,
    format_brief_load,
    parse_brief_load,
)

__all__ = [
    "BriefLoad",
    "CacheEvents",
    "LoadReport",
    "Order",
    "VmRecord",
    "format_brief_load",
    "parse_brief_load",
]
