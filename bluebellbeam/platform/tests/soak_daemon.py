"""A daemon whose peers reach it through a proxy, as one process of a soak.

``python -m bluebellbeam.platform.tests.soak_daemon SETTINGS PEER_ADDRESS`` listens for
peers at PEER_ADDRESS, and announces the ``peer_address`` of the settings, where the
proxy listens.
"""

import sys

import uvloop

from bluebellbeam.cli.files import load_settings
from bluebellbeam.cli.logs import configure_logs
from bluebellbeam.daemon.listener import bind_address
from bluebellbeam.daemon.server import run_daemon
from bluebellbeam.platform import make_platform


def main():
    """Run the daemon until a signal stops it."""
    path, peer_address = sys.argv[1:]
    settings = load_settings(path)
    provider = make_platform(settings)
    addresses = {
        "callers": settings.caller_address,
        "peers": peer_address,
        "operators": settings.operator_address,
    }
    for name, (address, _) in provider.listeners().items():
        addresses[name] = address
    sockets = {name: bind_address(item) for name, item in addresses.items()}
    drain = configure_logs("json")
    uvloop.run(run_daemon(settings, provider, path, drain, sockets))


if __name__ == "__main__":
    main()
