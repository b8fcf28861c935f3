"""Emission of messages to members."""

from bluebellbeam.node.command import SendToPeer

__all__ = ["send_to_member"]


def send_to_member(state, name, messages):
    """Send `messages` to member `name`.

    If its address is not known, they can only be returned in the response to
    a message of that member. This is how a daemon that has just started
    receives the feeds.
    """
    row = state.members.rows.get(name)
    address = row.peer_address if row is not None else ""
    state.emit(SendToPeer(name, address, tuple(messages)))
