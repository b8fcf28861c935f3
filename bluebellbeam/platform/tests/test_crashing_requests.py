import unittest

from bluebellbeam.platform.tests.loopback import PlatformCase
from bluebellbeam.platform.tests.test_crashing_prompts import (
    CONTACT_S,
    DAEMONS,
    MAX_LATE_ARRIVALS,
    CrashingFleet,
)

BAD_BODY = b"harmful"


class CrashingServiceFleet(CrashingFleet):
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


class TestRequestThatEndsServers(PlatformCase):
    def test_request_that_ended_three_servers_is_not_sent_to_further_ones(self):
        async def step(deployment):
            fleet = CrashingServiceFleet(deployment, seed=43)
            await fleet.run(2.0, with_bad=False)
            calm_s = fleet.now_s()
            await fleet.run(17.0)
            end_s = fleet.now_s()
            await fleet.finish()
            third_s = sorted(fleet.ends_s)[:3][-1]
            late = [at for at in fleet.bad_arrivals_s if at > third_s + CONTACT_S]
            self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, len(fleet.ends_s))
            calm, calm_share = fleet.share_begun(0.0, calm_s)
            sent, share = fleet.share_begun(third_s + 2 * CONTACT_S, end_s)
            self.assertGreaterEqual(min(calm, sent), 20)
            self.assertGreaterEqual(share, 0.5 * calm_share)

        self.run_with(step, daemons=DAEMONS)


if __name__ == "__main__":
    unittest.main()
