import asyncio
import unittest

from bluebellbeam.platform.tests.fake_platform import config
from bluebellbeam.platform.tests.loopback import PlatformCase

EVACUATED = frozenset({"hall-w"})


class TestPagesOfSeveralRevisions(PlatformCase):
    """Guards against a list that misses changes between the revisions of its pages."""

    def restart(self, stale_pages):
        """Evacuate a domain and remove a server; start a daemon with `stale_pages`."""

        async def step(deployment):
            store = deployment.store
            store.page_size = 1
            store.keep_copy()
            store.remove("servers/portal-hall-w-2")
            store.put("op/evacuate/hall-w", {})
            state = deployment.state()
            await deployment.wait(lambda: state.evacuated == EVACUATED, 2.0)
            # Raises the revision of the first page above that of the list of servers.
            store.put("op/config", config(2))
            store.stale_pages = stale_pages
            await deployment.start_daemon("hall-e_2")
            later = deployment.state("hall-e_2")
            await deployment.wait(lambda: later.ready, 4.0)
            self.assertEqual(later.evacuated, EVACUATED)
            store.put("other", {})
            for _ in range(20):
                self.assertEqual(later.evacuated, EVACUATED)
                self.assertEqual(state.evacuated, EVACUATED)
                await asyncio.sleep(0.05)
            feeds = [
                item.feeds["backends/east"].parts.keys() for item in (state, later)
            ]
            self.assertEqual(feeds[0], feeds[1])

        self.run_with(step)

    def test_later_page_is_older_than_the_first(self):
        self.restart({1, 5, 9})

    def test_first_page_is_older_than_the_others(self):
        self.restart({0})

    def test_all_pages_are_of_the_same_old_revision(self):
        self.restart(set(range(20)))


if __name__ == "__main__":
    unittest.main()
