import unittest

from bluebellbeam.platform.tests import test_crashing_prompts as prompts

BAD_BODY = b"harmful"
ROUNDS = 4
ROUND_S = 5.5
"""Rounds in which a caller sends the request twice, and their distance."""


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

    def test_request_whose_retries_end_servers_at_once_is_refused(self):
        async def step(deployment):
            fleet = CrashingServiceFleet(deployment, seed=44)
            await fleet.run(1.0, with_bad=False)
            for number in range(ROUNDS):
                for attempt in range(2):
                    await fleet.send_bad(f"b{number}-{attempt}")
                await fleet.run(ROUND_S, with_bad=False)
            await fleet.finish()
            self.assertGreaterEqual(len(fleet.ends_s), 3)
            bound_s = sorted(fleet.ends_s)[2] + prompts.CONTACT_S
            late = [at_s for at_s in fleet.bad_arrivals_s if at_s > bound_s]
            self.assertLessEqual(len(late), prompts.MAX_LATE_ARRIVALS)

        self.run_with(step, daemons=prompts.DAEMONS)


if __name__ == "__main__":
    unittest.main()
