"""Imports that skip the parts of libraries that a daemon does not use."""

import contextlib
import gc
import sys
import types

__all__ = [
    "collection_paused",
    "import_client_without_tls",
    "import_server_without_tracebacks",
]


@contextlib.contextmanager
def collection_paused():
    """Pause garbage collection, and exempt what is created meanwhile from it.

    Modules live as long as the process. Traversing them takes a sixth of the time of
    their import, and would take time in each later full collection.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


def import_client_without_tls():
    """Import aiohttp's client without support for TLS.

    With it, aiohttp reads the certificates of the system when it is imported, which
    takes longer than the import of all its modules. Daemons use plain HTTP only; a
    request to an ``https`` URL then fails with a ``RuntimeError``. Nothing changes if
    aiohttp is already imported.
    """
    # These use ssl if it can be imported, and must not see it hidden.
    import asyncio  # noqa: F401
    import ssl
    import urllib.request  # noqa: F401

    sys.modules["ssl"] = None
    try:
        import aiohttp  # noqa: F401
    finally:
        sys.modules["ssl"] = ssl


def import_server_without_tracebacks():
    """Import sanic without the library that renders tracebacks as HTML.

    Sanic uses it only for the error pages of its debug mode; the listeners of a
    daemon answer every error in JSON. Nothing changes if sanic is already imported.
    """
    if "sanic" in sys.modules:
        return
    package = types.ModuleType("tracerite")
    package.html = types.ModuleType("tracerite.html")
    package.html.style = ""
    package.html_traceback = None
    package.inspector = types.SimpleNamespace(blacklist_types=())
    names = {"tracerite": package, "tracerite.html": package.html}
    sys.modules.update(names)
    try:
        import sanic  # noqa: F401
    finally:
        for name in names:
            del sys.modules[name]
