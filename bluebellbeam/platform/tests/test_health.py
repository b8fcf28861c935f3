import asyncio
import unittest

from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.platform.health import check_health
from bluebellbeam.utils.tests.test_http_body import EndlessBodyCase


class TestHealthCheckWithoutEnd(EndlessBodyCase):
    HEADERS = {"X-Instance-Id": "s1"}

    async def test_health_check_fails_and_closes_its_connection(self):
        command = cmd.ReadLoad("s1", self.endless.server.address, 1, "/health", 0)
        async with asyncio.timeout(0.9):
            found = await check_health(self.session, command)
        self.assertIsInstance(found, ev.LoadReadFailed)
        await self.check_closed()


if __name__ == "__main__":
    unittest.main()
