import unittest

from bluebellbeam.platform.tests import test_crashing_prompts as prompts

BAD_BODY = b"harmful"


class CrashingServiceFleet(prompts.CrashingFleet):
    """Plain servers that end when they begin to answer a request with `BAD_BODY`."""

    service = "portal"
    path = "/safe/1"
    first_bytes = b""

    def prepare(self, replica):
        replica.crash_body = BAD_BODY
        replica.response_delay_ms = 40
        replica.on_crash = self.replace

    async def send_harmless(self, key):
        sent_s = self.now_s()
        served = await self.call(key, data=f"body of {key}")
        self.harmless.append((sent_s, served))

    async def send_bad(self, key):
        await self.call(key, data=BAD_BODY)
        self.record_arrivals(key)


class TestRequestThatEndsServers(prompts.CrashingFleetCase):
    def test_request_that_ended_three_servers_is_not_sent_to_further_ones(self):
        self.check_fleet(CrashingServiceFleet, seed=43, ends=3)


if __name__ == "__main__":
    unittest.main()
