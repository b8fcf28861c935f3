"""Command line interface."""

from bluebellbeam.cli.main import main

__all__ = ["main"]
