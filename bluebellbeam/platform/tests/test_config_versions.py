import asyncio
from unittest import mock

import structlog
from structlog.testing import capture_logs

from bluebellbeam.feeds import Delta, Snapshot
from bluebellbeam.node import event as ev
from bluebellbeam.platform.tests.fake_platform import HOST, config
from bluebellbeam.platform.tests.loopback import PlatformCase

PAIR = ("hall-e", "hall-w")
REQUESTS = 20
APPLY_S = 3.0


def added_route(prefix, **values):
    """Return a safe route of the platform."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "safe",
        "service": "portal",
        "maxAttempts": 2,
        "timeoutMs": 3000,
        **values,
    }


def hold_configuration(deployment, name):
    """Let a daemon keep its configuration, as if no newer one reached it."""
    node = deployment.daemons[name].driver.node
    handle = node.handle

    def handle_others(event, now_ms):
        match event:
            case ev.FeedRead(snapshot) if snapshot.key == "config":
                return []
            case ev.PeerMessagesReceived(envelope):
                kept = tuple(m for m in envelope.messages if not _is_config(m))
                event = ev.PeerMessagesReceived(
                    type(envelope)(envelope.sender, envelope.incarnation, kept),
                    answer=event.answer,
                )
        return handle(event, now_ms)

    deployment.daemons[name].driver.node = _HeldNode(node, handle_others)


def _is_config(message):
    return isinstance(message, Delta | Snapshot) and message.key == "config"


class _HeldNode:
    def __init__(self, node, handle):
        self.node = node
        self.handle = handle

    def __getattr__(self, name):
        return getattr(self.node, name)


class TestForwardsBetweenConfigurations(PlatformCase):
    async def answers(self, deployment, path, zone):
        """Return the statuses of requests to a daemon, one after the other."""
        found = []
        for number in range(REQUESTS):
            status, _, _ = await deployment.fetch(path, f"k{number}", zone=zone)
            found.append(status)
            await asyncio.sleep(0.02)
        return found

    def check_not_denied(self, held, asked, first, second):
        """Check the responses after a change that does not reach daemon `held`."""

        async def step(deployment):
            deployment.store.put("op/config", config(2, routes=first))
            for zone in PAIR:
                state = deployment.state(zone)
                await deployment.wait(lambda s=state: s.config.revision == 2)
                await deployment.wait(lambda s=state: s.members.rows)
            hold_configuration(deployment, held)
            deployment.store.put("op/config", config(3, routes=second))
            other = deployment.state(next(zone for zone in PAIR if zone != held))
            await deployment.wait(lambda: other.config.revision == 3)
            found = await self.answers(deployment, "/added/1", asked)
            self.assertEqual({s for s in found if 400 <= s < 500}, set())

        self.run_with(step, daemons=PAIR)

    def test_added_route_is_found_although_the_forwarded_to_daemon_lacks_it(self):
        route = added_route("/added/", homeRegions=["west"])
        self.check_not_denied("hall-w", "hall-e", [], [route])

    def test_request_is_not_denied_by_a_daemon_that_lacks_the_new_home(self):
        before = added_route("/added/", homeRegions=["east"])
        after = added_route("/added/", homeRegions=["west"])
        self.check_not_denied("hall-w", "hall-e", [before], [after])

    def test_request_is_not_denied_by_a_daemon_that_knows_a_newer_home(self):
        before = added_route("/added/", homeRegions=["west"])
        after = added_route("/added/", homeRegions=["east"])
        self.check_not_denied("hall-e", "hall-e", [before], [after])


class TestInvalidConfiguration(PlatformCase):
    def check_takes_effect(self, number):
        """Check that a valid version takes effect after the invalid version 9."""

        async def step(deployment):
            wrong = added_route("/wrong/", service="nobody")
            deployment.store.put("op/config", config(9, routes=[wrong]))
            await asyncio.sleep(0.3)
            self.assertEqual(deployment.state().config.revision, 1)
            right = added_route("/added/")
            deployment.store.put("op/config", config(number, routes=[right]))
            await deployment.wait(
                lambda: deployment.state().config.revision == number, APPLY_S
            )

        self.run_with(step)

    def test_valid_version_with_the_number_of_an_invalid_one_takes_effect(self):
        self.check_takes_effect(9)

    def test_valid_version_below_the_number_of_an_invalid_one_takes_effect(self):
        self.check_takes_effect(5)


class TestLogOfAnInvalidEntry(PlatformCase):
    def test_text_of_an_unexpected_error_is_not_logged(self):
        async def step(deployment):
            name = "bluebellbeam.platform.store.translate_config"
            error = ValueError("invalid key: secret-1")
            with capture_logs() as lines, mock.patch(name, side_effect=error):
                deployment.store.put("op/config", config(2))
                await deployment.wait(lambda: "invalid entry" in str(lines), APPLY_S)
            self.assertNotIn("secret-1", str(lines))
            self.assertIn("ValueError", str(lines))

        self.addCleanup(structlog.configure, **structlog.get_config())
        structlog.reset_defaults()
        self.run_with(step)


class TestUnexpectedErrorInARead(PlatformCase):
    """Guards against a daemon that stops reading."""

    def test_configuration_is_read_again_within_the_bound(self):
        async def step(deployment):
            mirror = deployment.daemons["hall-e"].driver.provider.mirror
            client = _FailingClient(mirror)
            deployment.daemons["hall-e"].driver.provider.mirror = client
            await deployment.wait(lambda: client.failures, 4.0)
            deployment.store.put("op/config", config(2))
            await deployment.wait(
                lambda: deployment.state().config.revision == 2, APPLY_S
            )

        self.run_with(step)


class _FailingClient:
    """Mirror whose next read of each feed raises an unexpected error."""

    def __init__(self, mirror):
        self.mirror = mirror
        self.failures = set()

    async def read(self, key, after_version, wait):
        if key not in self.failures:
            self.failures.add(key)
            raise RecursionError
        return await self.mirror.read(key, after_version, wait)

    def __getattr__(self, name):
        return getattr(self.mirror, name)
