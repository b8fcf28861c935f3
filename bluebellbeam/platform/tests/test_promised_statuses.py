import itertools

from bluebellbeam.platform.tests.fake_platform import HOST, config
from bluebellbeam.platform.tests.loopback import PlatformCase
from bluebellbeam.platform.tests.response_forms import FORMS, TRAILER_FORMS
from bluebellbeam.routing import match_route

PROMISES = (408, 429, 503)


def far_routes():
    """Return routes of all kinds whose requests the zone in the west forwards."""
    return [
        route
        | {
            "name": f"far-{route['name']}",
            "pathPrefix": f"/far-{route['pathPrefix'][1:]}",
            "homeRegions": ["east"],
        }
        for route in config()["routes"]
    ]


class FailedResponseCase(PlatformCase):
    """Requests that servers run and answer with a failure."""

    async def prepare(self, deployment):
        deployment.store.put("op/config", config(version=2, routes=far_routes()))
        await deployment.wait(
            lambda: all(
                match_route(deployment.state(zone).config.routes, HOST, "/far-safe/1")
                and len(deployment.state(zone).members.rows) == 1
                for zone in deployment.daemons
            )
        )

    async def fail_one(self, deployment, path, key, behaviour):
        """Send a request that any server fails; return its status and headers."""
        zone = "hall-w" if path.startswith("/far-") else "hall-e"
        for replica in deployment.replicas.values():
            replica.behaviours = [behaviour] * 2
        status, headers, _ = await deployment.fetch(path, key, zone=zone)
        for replica in deployment.replicas.values():
            replica.behaviours = []
        return status, headers

    def run_cases(self, check, kinds, behaviours):
        """Call `check` for each behaviour, at a daemon with servers and one without."""

        async def step(deployment):
            await self.prepare(deployment)
            ran = 0
            cases = list(itertools.product(behaviours, kinds, ("", "far-")))
            for number, (behaviour, kind, prefix) in enumerate(cases):
                key = f"k{number}"
                path = f"/{prefix}{kind}/1"
                status, headers = await self.fail_one(deployment, path, key, behaviour)
                runs = deployment.runs(key)
                ran += bool(runs)
                with self.subTest(behaviour=behaviour, path=path, runs=runs):
                    check(status, headers, runs)
            self.assertGreater(ran, len(cases) // 2)

        self.run_with(step, daemons=("hall-e", "hall-w"))


class TestFailureWithThePromiseOfNotRunning(FailedResponseCase):
    """Guards against a request that has run and is answered as if it had not."""

    def check_failure(self, status, headers, runs):
        if runs:
            self.assertEqual(status, 502)
            self.assertNotIn("X-Response-Stamp", headers)
            self.assertNotIn("Retry-After", headers)
        else:
            self.assertEqual(status, 503)

    def check_once(self, status, headers, runs):
        self.check_failure(status, headers, runs)
        self.assertLessEqual(len(runs), 1)

    def test_requests_that_run_once(self):
        behaviours = [f"status {s} {f}".strip() for s in PROMISES for f in FORMS]
        self.run_cases(self.check_once, ("unsafe", "audit"), behaviours)

    def test_requests_that_may_be_repeated(self):
        behaviours = [f"status {status}" for status in PROMISES]
        self.run_cases(self.check_failure, ("safe", "chat"), behaviours)

    def test_other_failures_are_passed_on_unchanged(self):
        def check(status, headers, runs):
            if runs:
                self.assertIn(status, (409, 500, 504))
                self.assertIn("X-Response-Stamp", headers)

        behaviours = [f"status {status}" for status in (409, 500, 504)]
        self.run_cases(check, ("unsafe", "audit"), behaviours)


class TestPromiseThatIsNoneOfTheServer(FailedResponseCase):
    """Guards against a promise that is read where the server has made none."""

    def check(self, status, headers, runs):
        self.assertLessEqual(len(runs), 1)
        if runs:
            self.assertNotIn(status, PROMISES)

    def check_behaviours(self, *forms):
        behaviours = [f"status {s} {f}" for s in (503, 500, 409) for f in forms]
        self.run_cases(self.check, ("unsafe", "audit"), behaviours)

    def test_trailer_field_is_not_a_header(self):
        self.check_behaviours(*TRAILER_FORMS)

    def test_header_between_daemons_that_a_server_sends(self):
        self.check_behaviours("x-bluebellbeam-outcome: not_run")

    def test_value_that_denies_it(self):
        self.check_behaviours(*(f"X-Not-Executed: {v}" for v in ("0", "", "false")))

    def test_success_contradicts_it(self):
        behaviours = ["status 200 X-Not-Executed: 1"]
        self.run_cases(self.check, ("unsafe",), behaviours)
