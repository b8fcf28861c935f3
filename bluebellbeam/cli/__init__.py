"""The command line."""

from bluebellbeam.cli.main import main

__all__ = ["main"]
