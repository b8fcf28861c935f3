import unittest

import msgspec
from msgspec import structs
from returns.result import Failure, Success

from bluebellbeam.config import Settings, StoreAccess, decode_settings
from bluebellbeam.daemon.reload import apply_settings
from bluebellbeam.daemon.server import make_daemon
from bluebellbeam.platform import make_platform


class TestSettings(unittest.TestCase):
    def faults(self, **changes):
        store = {
            "address": "10.0.0.1:1",
            "domains": {"d": "r"},
            "readiness_address": "10.0.0.2:1",
            "directory_address": "10.0.0.2:2",
        }
        document = {
            "vm": "vm-1",
            "region": "r",
            "failure_domain": "d",
            "site": "d",
            "caller_address": "10.0.0.2:3",
            "peer_address": "10.0.0.2:4",
            "operator_address": "10.0.0.2:5",
            "store": store | changes.pop("store", {}),
            **changes,
        }
        match decode_settings(msgspec.json.encode(document)):
            case Failure(found):
                return [fault.path for fault in found]
            case Success():
                return []

    def test_store_replaces_the_provider_addresses_and_the_peer_key(self):
        self.assertEqual(self.faults(), [])

    def test_each_fault_names_the_path_of_its_setting(self):
        self.assertEqual(self.faults(store={"address": "store"}), ["$.store.address"])
        self.assertEqual(self.faults(failure_domain="x"), ["$.store.domains"])
        self.assertEqual(self.faults(peer_key="short"), ["$.peer_key"])
        platform = dict.fromkeys(("configuration", "vm_list"), "10.0.0.1:9")
        both = self.faults(platform=platform | {"directory": "10.0.0.1:9"})
        self.assertEqual(both, ["$"])


class TestReload(unittest.TestCase):
    def setUp(self):
        store = StoreAccess(
            address="10.0.0.1:1",
            domains={"d": "r"},
            readiness_address="127.0.0.1:0",
            directory_address="127.0.0.1:0",
        )
        self.settings = Settings(
            vm="vm-1",
            region="r",
            failure_domain="d",
            site="d",
            caller_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            operator_address="127.0.0.1:0",
            seed_peers=("10.0.0.2:1",),
            store=store,
        )
        provider = make_platform(self.settings)
        self.daemon = make_daemon(self.settings, provider=provider)
        for sock in self.daemon.sockets.values():
            self.addCleanup(sock.close)

    def test_seed_peers_and_store_are_reloaded(self):
        store = structs.replace(self.settings.store, address="10.0.0.9:1")
        changed = structs.replace(
            self.settings, seed_peers=("10.0.0.3:1",), store=store
        )
        names = apply_settings(self.daemon.driver, changed)
        self.assertEqual(sorted(names), ["seed_peers", "store"])
        identity = self.daemon.driver.node.state.identity
        self.assertEqual(identity.seed_peers, ("10.0.0.3:1",))
        self.assertEqual(self.daemon.driver.provider.access.address, "10.0.0.9:1")

    def test_other_changes_are_reported_but_not_applied(self):
        changed = structs.replace(self.settings, caller_address="127.0.0.1:99")
        self.assertEqual(
            apply_settings(self.daemon.driver, changed), ["caller_address"]
        )
        self.assertEqual(self.daemon.driver.settings.caller_address, "127.0.0.1:0")

    def test_unchanged_file_changes_nothing(self):
        self.assertEqual(apply_settings(self.daemon.driver, self.settings), [])
