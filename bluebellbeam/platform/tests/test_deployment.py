import json
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch

from returns.result import Success

from bluebellbeam.config import decode_settings

ROOT = Path(__file__).resolve().parents[3]


class TestSettingsTemplate(unittest.TestCase):
    """Guards against a template that stand-ins with fewer fields cannot fill in."""

    def test_stand_in_of_the_review_fills_in_the_template(self):
        with patch.object(sys, "path", [str(ROOT / "review"), *sys.path]):
            from common.site import Daemon
        text = (ROOT / "deploy" / "system.toml").read_text()
        with tempfile.TemporaryDirectory() as folder:
            site = SimpleNamespace(
                zones={"hall-a": "east"},
                deploy=tomllib.loads(text),
                folder=SimpleNamespace(name=folder),
            )
            daemon = Daemon(site, "front-1", "hall-a")
            daemon.write_settings("127.0.0.1:1", [])
            raw = daemon.path.read_bytes()
        self.assertIsInstance(decode_settings(raw), Success)
        self.assertEqual(json.loads(raw)["vm"], "front-1")


if __name__ == "__main__":
    unittest.main()
