"""Records published by the platform, and the clients that read them."""

from bluebellbeam.provider.records import (
    CacheEvents,
    LoadHeader,
    LoadReport,
    Order,
    VmRecord,
    format_load_header,
    parse_load_header,
)

__all__ = [
    "CacheEvents",
    "LoadHeader",
    "LoadReport",
    "Order",
    "VmRecord",
    "format_load_header",
    "parse_load_header",
]
