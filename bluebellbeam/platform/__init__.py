"""What the platform publishes, and the clients that read it."""

from bluebellbeam.platform.records import CacheEvents, LoadReport, Order, VmRecord

__all__ = ["CacheEvents", "LoadReport", "Order", "VmRecord"]
