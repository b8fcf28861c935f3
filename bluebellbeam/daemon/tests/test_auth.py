import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellbeam.daemon.auth import MAX_CLOCK_SKEW_MS, make_peer_auth
from bluebellbeam.exception import PeerError
from bluebellbeam.utils import manual_clock


class TestPeerAuth(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock()
        self.clock.advance(10**9)
        self.sender = make_peer_auth("k" * 16, self.clock)
        self.receiver = make_peer_auth("k" * 16, self.clock)
        self.header = self.sender.sign("/p", "vm-1", b"body")

    def _assert_rejected(self, auth, path, header, body):
        with self.assertRaises(PeerError):
            auth.verify(path, header, body)

    def test_valid_message_is_accepted_only_once(self):
        self.assertEqual(self.receiver.verify("/p", self.header, b"body")[0], "vm-1")
        self._assert_rejected(self.receiver, "/p", self.header, b"body")

    def test_altered_message_is_rejected(self):
        self._assert_rejected(self.receiver, "/p", self.header, b"other")
        self._assert_rejected(self.receiver, "/q", self.header, b"body")
        renamed = self.header.replace("vm-1", "vm-2")
        self._assert_rejected(self.receiver, "/p", renamed, b"body")

    def test_message_signed_with_another_key_is_rejected(self):
        self._assert_rejected(
            make_peer_auth("x" * 16, self.clock), "/p", self.header, b"body"
        )

    def test_message_outside_the_clock_skew_is_rejected(self):
        self.clock.advance(MAX_CLOCK_SKEW_MS + 1)
        self._assert_rejected(self.receiver, "/p", self.header, b"body")

    def test_response_is_bound_to_its_message(self):
        _, nonce = self.receiver.verify("/p", self.header, b"body")
        code = self.receiver.sign_response(nonce, b"answer")
        self.sender.verify_response(self.header, code, b"answer")
        with self.assertRaises(PeerError):
            self.sender.verify_response(self.header, code, b"forged")

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.text(max_size=120) | st.none())
    def test_arbitrary_header_is_rejected(self, header):
        self._assert_rejected(self.receiver, "/p", header, b"body")
