"""Decision logic of a daemon, free of I/O: it maps events to commands."""

from bluebellbeam.node.arrivals import entry_addresses_for_workspace
from bluebellbeam.node.dump import TABLES, dump_state, explain_request
from bluebellbeam.node.entries import entry_addresses_for_region
from bluebellbeam.node.errors import ERRORS, CallerError, make_error
from bluebellbeam.node.lending import current_offer
from bluebellbeam.node.node import Node, make_node
from bluebellbeam.node.request import Attempt, Request
from bluebellbeam.node.state import NodeIdentity, NodeState, backends_feed

__all__ = [
    "ERRORS",
    "TABLES",
    "Attempt",
    "CallerError",
    "Node",
    "NodeIdentity",
    "NodeState",
    "Request",
    "backends_feed",
    "current_offer",
    "dump_state",
    "entry_addresses_for_region",
    "entry_addresses_for_workspace",
    "explain_request",
    "make_error",
    "make_node",
]
