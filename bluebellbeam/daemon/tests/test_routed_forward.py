import unittest

import msgspec

from bluebellbeam.daemon.routed_forward import RoutedForward

FIELDS = {
    "request_id": "r1",
    "attempt_key": "r1",
    "revision": 3,
    "left_ms": 900,
    "allowed": ("east",),
    "sends": 0,
    "method": "GET",
    "host": "a.example",
    "target": "/p/x",
}


class _EarlierForward(msgspec.Struct, frozen=True):
    """Forward as daemons without the field `workspace` decode it."""

    request_id: str
    attempt_key: str


class TestWorkspaceOfForwards(unittest.TestCase):
    def test_forward_without_a_workspace_has_no_further_bytes(self):
        """Guards against bytes in deployments whose configuration has no keys."""
        raw = msgspec.json.encode(RoutedForward(**FIELDS))
        self.assertNotIn(b"workspace", raw)
        self.assertFalse(msgspec.json.decode(raw, type=RoutedForward).workspace)

    def test_earlier_daemons_ignore_the_workspace(self):
        """Guards against forwards that fail while daemons are replaced one by one."""
        raw = msgspec.json.encode(RoutedForward(**FIELDS, workspace="acme"))
        self.assertEqual(
            msgspec.json.decode(raw, type=_EarlierForward).request_id, "r1"
        )
        self.assertEqual(msgspec.json.decode(raw, type=RoutedForward).workspace, "acme")

    def test_workspace_that_is_no_text_is_refused(self):
        raw = msgspec.json.encode({**FIELDS, "workspace": None})
        with self.assertRaises(msgspec.ValidationError):
            msgspec.json.decode(raw, type=RoutedForward)
