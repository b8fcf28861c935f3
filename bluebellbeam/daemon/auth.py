"""Authentication of messages between daemons by a shared key."""

import hashlib
import hmac
import secrets
from collections import OrderedDict

from bluebellbeam.exception import PeerError

__all__ = ["AUTH_HEADER", "PeerAuth", "make_peer_auth"]

AUTH_HEADER = "x-bluebellbeam-auth"
MAX_CLOCK_SKEW_MS = 30_000
"""Largest difference between the clocks of two daemons."""

MAX_NONCES = 50_000
"""Nonces remembered, so that a message is not accepted twice."""


class PeerAuth:
    """Signs messages and checks those received.

    Parameters
    ----------
    key : str
        Shared secret.
    clock : Clock
        Wall clock.
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
        """Return the header value for an answer to the message of `nonce`."""
        return self._mac("answer", "", "", nonce, body)

    def verify(self, path, header, body):
        """Return ``(vm, nonce)`` of the sender.

        Raises
        ------
        PeerError
            If the message is not authentic, too old or a repeat.
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

    def verify_response(self, header, answer_header, body):
        """Check the answer to a message that was sent with `header`.

        Raises
        ------
        PeerError
            If the answer is not authentic.
        """
        nonce = header.split(" ")[2]
        expected = self.sign_response(nonce, body)
        given = answer_header or ""
        if not given.isascii() or not hmac.compare_digest(expected, given):
            raise PeerError("the answer is not authentic")

    def _mac(self, path, vm, stamp, nonce, body):
        digest = hashlib.sha256(body).hexdigest()
        text = "\n".join((path, vm, stamp, nonce, digest))
        return hmac.new(self._key, text.encode(), hashlib.sha256).hexdigest()


class NullPeerAuth:
    """Takes the sender's word, where only the system's own VMs reach peers."""

    __slots__ = ()

    def sign(self, path, vm, body):
        """Return the header value: the name of the VM."""
        return vm

    def sign_response(self, nonce, body):
        """Return the header value for an answer."""
        return "open"

    def verify(self, path, header, body):
        """Return ``(vm, nonce)`` of the sender.

        Raises
        ------
        PeerError
            If no sender is named.
        """
        if not header:
            raise PeerError("the message names no sender")
        return header, ""

    def verify_response(self, header, answer_header, body):
        """Accept any answer."""


def make_peer_auth(key, clock):
    """Return the authentication of the deployment's shared `key`, if it has one."""
    return PeerAuth(key, clock) if key else NullPeerAuth()
