import copy

from bluebellbeam.cli.tests.test_check_command import EXAMPLES, CheckCase
from bluebellbeam.platform.tests.fake_platform import config
from bluebellbeam.platform.tests.loopback import DOMAINS


class TestPlatform(CheckCase):
    def setUp(self):
        super().setUp()
        settings = {
            "vm": "a-1",
            "region": "east",
            "failure_domain": "hall-e",
            "site": "hall-e",
            "caller_address": "127.0.0.1:1",
            "peer_address": "127.0.0.1:2",
            "operator_address": "127.0.0.1:3",
            "store": {
                "address": "127.0.0.1:4",
                "domains": DOMAINS,
                "readiness_address": "127.0.0.1:5",
                "directory_address": "127.0.0.1:6",
            },
        }
        self.settings = self.write(settings)
        self.now = config() | {
            "tenants": [{"name": "acme", "apiKeys": ["key-one", "key-two"]}]
        }
        self.next = copy.deepcopy(self.now)

    def _check(self, *args):
        files = ["--platform", self.write(self.next), "--settings", self.settings]
        return self.check(*files, *args)

    def test_valid_configuration(self):
        self.assertEqual(self._check(), (0, "valid\n"))

    def test_differences_name_the_workspace_and_no_key(self):
        self.next["tenants"][0]["apiKeys"] = ["key-two"]
        for output in ("text", "json"):
            args = ["--against", self.write(self.now), "--format", output]
            code, text = self._check(*args)
            self.assertEqual(code, 3)
            self.assertIn("workspaces.acme", text)
            self.assertIn("1 key revoked", text)
            self.assertNotIn("key-", text)

    def test_error(self):
        self.next["tenants"][0]["burst"] = -1
        code, text = self._check()
        self.assertEqual(code, 1)
        self.assertIn("burst of tenant 'acme' is -1; limit 0 to 1e+12", text)

    def test_settings_without_a_store(self):
        self.settings = str(EXAMPLES / "burnaby-hall-settings.json")
        code, text = self._check()
        self.assertEqual(code, 1)
        self.assertIn("no store is stated", text)

    def test_settings_are_required(self):
        code, _ = self.check("--platform", self.write(self.next))
        self.assertEqual(code, 2)
