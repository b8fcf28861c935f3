import copy
import json
import unittest

from click.testing import CliRunner

from bluebellbeam.cli.main import main
from bluebellbeam.cli.tests.test_commands import EXAMPLES, write_json
from bluebellbeam.examples import read_example

BASE = str(EXAMPLES / "base.json")


class CheckCase(unittest.TestCase):
    def setUp(self):
        base, _ = read_example("fraserleaf")
        self.base = copy.deepcopy(base)

    def check(self, *args):
        """Return the exit code and standard output of ``check`` with `args`."""
        result = CliRunner().invoke(main, ["check", *args])
        self.assertIn(type(result.exception), (type(None), SystemExit))
        return result.exit_code, result.stdout

    def write(self, value):
        return write_json(self, value)


class TestExitCodes(CheckCase):
    def _add_warning(self):
        self.base["services"]["spare"] = {}

    def _add_error(self):
        self.base["sites"]["burnaby-hall"]["region"] = "moon"

    def test_nothing_to_report(self):
        self.assertEqual(self.check("--base", BASE, "--format", "text"), (0, "valid\n"))
        self.assertEqual(self.check("--base", BASE, "--against", BASE), (0, "valid\n"))

    def test_errors(self):
        self._add_error()
        path = self.write(self.base)
        for args in (["--format", "text"], ["--against", BASE]):
            code, output = self.check("--base", path, *args)
            self.assertEqual(code, 1)
            self.assertIn(f"error: {path}: $.sites.burnaby-hall.region", output)

    def test_warnings(self):
        self._add_warning()
        path = self.write(self.base)
        code, output = self.check("--base", path, "--against", path)
        self.assertEqual(code, 2)
        self.assertIn(f"warning: {path}: $.services.spare", output)

    def test_differences(self):
        del self.base["services"]["portal"]["calls"]
        code, output = self.check("--base", self.write(self.base), "--against", BASE)
        self.assertEqual(code, 3)
        self.assertTrue(output.startswith("difference: "))

    def test_warnings_take_precedence_over_differences(self):
        self._add_warning()
        code, output = self.check("--base", self.write(self.base), "--against", BASE)
        self.assertEqual(code, 2)
        self.assertIn("difference: ", output)

    def test_warnings_about_the_other_version_are_left_out(self):
        self._add_warning()
        args = ["--base", BASE, "--against", self.write(self.base)]
        code, output = self.check(*args)
        self.assertEqual(code, 3)
        self.assertNotIn("warning: ", output)

    def test_errors_of_the_other_version(self):
        self._add_error()
        path = self.write(self.base)
        code, output = self.check("--base", BASE, "--against", path)
        self.assertEqual(code, 1)
        self.assertIn(f"error: {path}: $.sites", output)

    def test_files_that_cannot_be_read(self):
        for args in (
            ["--base", "no.json", "--format", "text"],
            ["--base", BASE, "--against", "no.json"],
            ["--base", BASE, "--overlay", "no.json", "--format", "text"],
            ["--settings", "no.json", "--format", "text"],
        ):
            code, output = self.check(*args)
            self.assertEqual(code, 1, args)
            self.assertIn("no.json", output)

    def test_codes_without_new_options_are_unchanged(self):
        """Guards against jobs that fail because of a warning."""
        self._add_warning()
        self.assertEqual(self.check("--base", self.write(self.base)), (0, "valid\n"))
        self._add_error()
        self.assertEqual(self.check("--base", self.write(self.base)), (2, ""))


class TestFormats(CheckCase):
    def test_json_lists_findings_by_severity(self):
        self.base["services"]["spare"] = {}
        path = self.write(self.base)
        args = ["--base", path, "--against", BASE, "--format", "json"]
        found = json.loads(self.check(*args)[1])
        self.assertEqual(found["errors"], [])
        self.assertEqual(
            found["warnings"],
            [
                {
                    "document": path,
                    "path": "$.services.spare",
                    "message": "no route and no workspace names the service",
                    "fix": "add a route to it or remove it",
                }
            ],
        )
        (difference,) = found["differences"]
        self.assertEqual(difference["path"], "$.services.spare")
        self.assertIn("effect", difference)

    def test_json_without_findings_has_empty_lists(self):
        code, output = self.check("--base", BASE, "--format", "json")
        expected = {"errors": [], "warnings": [], "differences": []}
        self.assertEqual((code, json.loads(output)), (0, expected))

    def test_loads_of_replicas_are_differences(self):
        self.base["models"]["inspect"]["version"] = "v4"
        path = self.write(self.base)
        _, output = self.check("--base", path, "--against", BASE)
        self.assertIn("2 replicas load inspect@v4 (28000 MB)", output)
