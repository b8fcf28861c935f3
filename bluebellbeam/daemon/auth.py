"""HMAC authentication of messages and forwarded requests between daemons."""

import hashlib
import hmac
import secrets
from collections import OrderedDict

from bluebellbeam.exception import PeerError

__all__ = ["AUTH_HEADER", "PeerAuth", "make_peer_auth"]

AUTH_HEADER = "x-bluebellbeam-auth"
MAX_CLOCK_SKEW_MS = 30_000
"""Largest accepted difference between a message's timestamp and the local clock."""

MAX_NONCES = 50_000
"""Number of the most recent nonces kept for replay detection."""


class PeerAuth:
    """Signs outgoing messages and verifies incoming ones with a shared key.

    Parameters
    ----------
    key : str
        Secret shared by the daemons of a deployment.
    clock : Clock
        Wall clock for timestamps.

    Attributes
    ----------
    nonces : OrderedDict
        Nonces of verified messages, oldest first.
    """

    __slots__ = ("_key", "clock", "nonces")

    def __init__(self, key, clock):
        self._key = key.encode()
        self.clock = clock
        self.nonces = OrderedDict()

    def sign(self, path, vm, body):
        """Return the header value for `body` sent to `path` by `vm`."""
        stamp = str(self.clock.now_ms())
        nonce = secrets.token_hex(8)
        mac = self._mac(path, vm, stamp, nonce, body)
        return f"{vm} {stamp} {nonce} {mac}"

    def sign_response(self, nonce, body):
        """Return the header value for the response to the message with `nonce`."""
        return self._mac("answer", "", "", nonce, body)

    def verify(self, path, header, body):
        """Verify a message; return the sender's ``(vm, nonce)``.

        Raises
        ------
        PeerError
            If the header is malformed, the authentication code does not match, the
            timestamp is out of range or the nonce has been used before.
        """
        fields = (header or "").split(" ")
        if len(fields) != 4 or not fields[1].isdigit() or not fields[3].isascii():
            raise PeerError("the authentication header is missing or malformed")
        vm, stamp, nonce, mac = fields
        if not hmac.compare_digest(mac, self._mac(path, vm, stamp, nonce, body)):
            raise PeerError("the authentication code does not match")
        if abs(self.clock.now_ms() - int(stamp)) > MAX_CLOCK_SKEW_MS:
            raise PeerError("the message is outside the time window")
        if nonce in self.nonces:
            raise PeerError("the message is a repeat")
        self.nonces[nonce] = None
        if len(self.nonces) > MAX_NONCES:
            self.nonces.popitem(last=False)
        return vm, nonce

    def verify_response(self, header, response_header, body):
        """Verify the response to a message that was sent with `header`.

        Raises
        ------
        PeerError
            If the authentication code does not match.
        """
        nonce = header.split(" ")[2]
        expected = self.sign_response(nonce, body)
        given = response_header or ""
        if not given.isascii() or not hmac.compare_digest(expected, given):
            raise PeerError("the authentication code of the response does not match")

    def _mac(self, path, vm, stamp, nonce, body):
        digest = hashlib.sha256(body).hexdigest()
        text = "\n".join((path, vm, stamp, nonce, digest))
        return hmac.new(self._key, text.encode(), hashlib.sha256).hexdigest()


class NullPeerAuth:
    """Accepts every message that names its sender, without authentication.

    Only for networks that no machine but the entry VMs can reach.
    """

    __slots__ = ()

    def sign(self, path, vm, body):
        """Return the header value: the name of the sending VM."""
        return vm

    def sign_response(self, nonce, body):
        """Return a constant header value for a response."""
        return "open"

    def verify(self, path, header, body):
        """Return the sender's name and an empty nonce.

        Raises
        ------
        PeerError
            If the header does not name a sender.
        """
        if not header:
            raise PeerError("the message names no sender")
        return header, ""

    def verify_response(self, header, response_header, body):
        """Accept any response."""


def make_peer_auth(key, clock):
    """Return the authentication with `key`; an empty key turns it off."""
    return PeerAuth(key, clock) if key else NullPeerAuth()
