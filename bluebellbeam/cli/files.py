"""Loading and validation of configuration files for the command line."""

from pathlib import Path

import click
from returns.result import Failure, Success

from bluebellbeam.config import decode_effective, read_settings
from bluebellbeam.config.fault import Fault

__all__ = ["load_effective", "load_settings", "exit_with_faults"]

EXIT_INVALID = 2
"""Exit code for files that are invalid or cannot be read."""


def exit_with_faults(pairs):
    """Print every configuration fault and exit with code 2.

    Parameters
    ----------
    pairs : iterable of (str, Fault)
        Name of the document and its fault.
    """
    for document, fault in pairs:
        click.echo(f"{document}: {fault}", err=True)
    raise SystemExit(EXIT_INVALID)


def load_settings(path):
    """Return the settings at `path`, or print their faults and exit."""
    match read_settings(path):
        case Success(settings):
            return settings
        case Failure(faults):
            return exit_with_faults((str(path), fault) for fault in faults)


def load_effective(base_path, overlay_paths, site):
    """Return the effective configuration of a site, or print its faults and exit."""
    base_raw = _read(base_path)
    overlays = {str(path): _read(path) for path in overlay_paths}
    match decode_effective(base_raw, overlays, site):
        case Success(effective):
            return effective
        case Failure(faults):
            return exit_with_faults(
                (str(base_path) if name == "base" else name, fault)
                for name, fault in faults
            )


def _read(path):
    try:
        return Path(path).read_bytes()
    except OSError as error:
        fault = Fault("$", f"cannot be read: {error.strerror}", "check the path")
        return exit_with_faults([(str(path), fault)])
