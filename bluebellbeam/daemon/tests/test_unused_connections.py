import unittest
from types import SimpleNamespace
from unittest.mock import Mock

from sanic.http import Stage

from bluebellbeam.daemon.listener import close_unused_connections


class TestUnusedConnections(unittest.TestCase):
    """Guards against the close of a connection on which bytes have been read."""

    def test_only_connections_without_bytes_of_a_request_are_closed(self):
        cases = (
            (None, b"", True),
            (None, b"GET", False),
            (Stage.IDLE, b"", True),
            (Stage.IDLE, b"GET", False),
            (Stage.REQUEST, b"", False),
            (Stage.HANDLER, b"", False),
            (Stage.RESPONSE, b"", False),
        )
        for stage, buffer, closed in cases:
            with self.subTest(stage=stage, buffer=buffer):
                http = None if stage is None else SimpleNamespace(stage=stage)
                connection = SimpleNamespace(
                    http=http, recv_buffer=buffer, transport=Mock()
                )
                server = SimpleNamespace(connections=[connection])
                close_unused_connections(server)
                self.assertEqual(connection.transport.close.called, closed)


if __name__ == "__main__":
    unittest.main()
