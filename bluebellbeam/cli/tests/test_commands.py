import json
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from click.testing import CliRunner

from bluebellbeam import __version__
from bluebellbeam.cli.main import main
from bluebellbeam.cli.tables import diff_tables, format_tables
from bluebellbeam.examples import read_example

EXAMPLES = Path(__file__).resolve().parents[2] / "examples" / "fraserleaf"


def write_json(case, value):
    """Write `value` to a JSON file that `case` removes, and return its path."""
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    path = Path(folder.name) / "file.json"
    path.write_text(json.dumps(value))
    return str(path)


class TestCommands(unittest.TestCase):
    def setUp(self):
        self.run = CliRunner().invoke

    def _file(self, value):
        return write_json(self, value)

    def test_version_and_help_are_printed(self):
        self.assertIn(__version__, self.run(main, ["--version"]).output)
        for command in ("serve", "check", "state", "plan", "request", "explain"):
            result = self.run(main, [command, "--help"])
            self.assertEqual(result.exit_code, 0, command)

    def test_check_accepts_the_examples(self):
        args = ["check", "--base", str(EXAMPLES / "base.json")]
        args += ["--overlay", str(EXAMPLES / "fsj-hall.json")]
        args += ["--settings", str(EXAMPLES / "burnaby-hall-settings.json")]
        result = self.run(main, args)
        self.assertEqual((result.exit_code, result.output), (0, "valid\n"))

    def test_check_reports_every_fault(self):
        base, _ = read_example("fraserleaf")
        base["workspaces"]["field-notes"]["models"] = ["inspct"]
        base["sites"]["burnaby-hall"]["region"] = "moon"
        result = self.run(main, ["check", "--base", self._file(base)])
        self.assertEqual(result.exit_code, 2)
        self.assertIn("$.workspaces.field-notes.models[0]", result.output)
        self.assertIn("$.sites.burnaby-hall.region", result.output)

    def test_missing_file_is_reported(self):
        result = self.run(main, ["check", "--base", "nowhere.json"])
        self.assertEqual(result.exit_code, 2)
        self.assertIn("nowhere.json: $: cannot be read", result.output)

    def test_config_show_applies_the_overlay(self):
        args = ["config", "show", "--base", str(EXAMPLES / "base.json")]
        args += ["--overlay", str(EXAMPLES / "fsj-hall.json"), "--site", "fsj-hall"]
        shown = json.loads(self.run(main, args).output)
        regions = shown["workspaces"]["field-notes"]["allowed_regions"]
        self.assertEqual(regions, ["peace-river", "okanagan"])

    def test_plan_shows_region_changes_and_loads(self):
        base, _ = read_example("fraserleaf")
        base["workspaces"]["okanagan-orchards"]["allowed_regions"].append("peace-river")
        base["models"]["inspect"]["version"] = "v4"
        args = ["plan", "--base", str(EXAMPLES / "base.json")]
        output = self.run(main, [*args, "--new-base", self._file(base)]).output
        self.assertIn("okanagan-orchards: data rule WIDENED by peace-river", output)
        self.assertIn("2 replicas load inspect@v4 (28000 MB)", output)
        self.assertIn("weight store: 84000 MB, at least 42 s", output)

    def test_completion_prints_a_shell_script(self):
        self.assertIn("complete", self.run(main, ["completion", "bash"]).output)


class TestTables(unittest.TestCase):
    def test_tables_are_aligned(self):
        text = format_tables({"feeds": [{"key": "config", "version": 3}]})
        self.assertEqual(text, "feeds (1)\nkey     version\nconfig  3")

    def test_difference_names_row_and_column(self):
        left = {"feeds": [{"key": "config", "version": 3}]}
        right = {"feeds": [{"key": "config", "version": 4}]}
        self.assertEqual(diff_tables(left, right), ["feeds config.version: 3 | 4"])


class TestServe(unittest.TestCase):
    def test_daemon_starts_no_child_and_stops_on_sigterm(self):
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bluebellbeam",
                "serve",
                str(self._settings()),
                "--log-format",
                "json",
            ],
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.stdout.close)
        try:
            children = self._observe_child_processes(process.pid)
        finally:
            process.send_signal(signal.SIGTERM)
            code = process.wait(timeout=20)
        self.assertEqual(children, set())
        self.assertEqual(code, 0)
        lines = process.stdout.read().decode().splitlines()
        events = [json.loads(line)["event"] for line in lines]
        self.assertIn("node: shutdown begins with 0 requests in flight", events)

    def _settings(self):
        settings = json.loads((EXAMPLES / "burnaby-hall-settings.json").read_text())
        for name in ("caller_address", "peer_address", "operator_address"):
            settings[name] = "127.0.0.1:0"
        for name in ("configuration", "vm_list", "directory"):
            settings["platform"][name] = "127.0.0.1:9"
        return write_json(self, settings)

    def _observe_child_processes(self, pid):
        found = set()
        for _ in range(30):
            for task in Path(f"/proc/{pid}/task").glob("*/children"):
                found |= set(task.read_text().split())
            time.sleep(0.1)
        return found
