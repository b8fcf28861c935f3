"""Example deployments of both users: base files, overlays and settings."""

from importlib import resources

import msgspec

__all__ = ["EXAMPLES", "read_example"]

EXAMPLES = {
    "fraserleaf": ("burnaby-hall", "kelowna-hall", "fsj-hall"),
    "fellesdepot": ("narvik-sal", "bergen-sal", "drammen-sal"),
}
"""Sites of each example deployment."""


def read_example(name):
    """Return ``(base, overlays)`` of an example as decoded JSON.

    Parameters
    ----------
    name : str
        A key of `EXAMPLES`.
    """
    folder = resources.files(__name__) / name
    base = msgspec.json.decode((folder / "base.json").read_bytes())
    overlays = {
        site: msgspec.json.decode((folder / f"{site}.json").read_bytes())
        for site in EXAMPLES[name]
    }
    return base, overlays
