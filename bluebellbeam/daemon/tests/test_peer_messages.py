import asyncio
import unittest
from unittest.mock import patch

from bluebellbeam.daemon import driver as driver_module
from bluebellbeam.daemon.tests.test_exceptions import make_test_driver
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.message import OriginQuery, decode_envelope


class TestMessagesOfOneTurn(unittest.IsolatedAsyncioTestCase):
    """Guards against origins that are told long after the events of a burst."""

    async def send(self, *commands):
        """Return the address and the messages of each post for these commands."""
        posts = []

        async def post(pool, address, path, signature, payload):
            posts.append((address, decode_envelope(payload).messages))
            raise TimeoutError

        driver = make_test_driver()
        driver.settings.vm = "vm-1"
        driver.node.state.identity.incarnation = 1
        driver.node.state.identity.vm = "vm-1"
        driver.node.handle.return_value = commands
        with patch.object(driver_module, "post_to_peer", post):
            driver.handle(ev.FeedSourceResponded())
            driver.node.handle.return_value = ()
            await asyncio.gather(*driver.tasks)
        return posts

    async def test_messages_to_one_peer_go_in_one_post(self):
        queries = [OriginQuery((key,)) for key in range(40)]
        commands = [cmd.SendToPeer("vm-2", "vm-2:1", (query,)) for query in queries]
        other = OriginQuery((99,))
        commands.insert(7, cmd.SendToPeer("vm-3", "vm-3:1", (other,)))
        posts = await self.send(*commands)
        self.assertEqual(posts, [("vm-2:1", tuple(queries)), ("vm-3:1", (other,))])


if __name__ == "__main__":
    unittest.main()
