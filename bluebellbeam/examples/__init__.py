"""Example deployments: base files, overlays and process settings."""

from importlib import resources

import msgspec

__all__ = ["EXAMPLES", "read_example"]

EXAMPLES = {
    "fraserleaf": ("burnaby-hall", "kelowna-hall", "fsj-hall"),
    "fellesdepot": ("narvik-sal", "bergen-sal", "drammen-sal"),
}
"""Names of the sites of each example deployment."""


def read_example(name):
    """Return the base file and the overlays of an example as decoded JSON.

    Parameters
    ----------
    name : str
        A key of `EXAMPLES`.

    Returns
    -------
    base : dict
    overlays : dict of str to dict
        Overlay of each site.
    """
    folder = resources.files(__name__) / name
    base = msgspec.json.decode((folder / "base.json").read_bytes())
    overlays = {
        site: msgspec.json.decode((folder / f"{site}.json").read_bytes())
        for site in EXAMPLES[name]
    }
    return base, overlays
