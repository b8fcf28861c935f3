import unittest

from bluebellbeam.exception import ScenarioError
from bluebellbeam.scenario import parse_script, read_script, run_script, script_names
from bluebellbeam.scenario.golden import GOLDEN_SCRIPTS, golden_lines, golden_path


class TestScripts(unittest.TestCase):
    """Every expectation of each script holds; one test per script."""


def _add_script_test(name):
    def test(self):
        run = run_script(read_script(name))
        self.assertGreater(run.passed_expectations, 0)

    setattr(TestScripts, f"test_{name}", test)


for _name in script_names():
    _add_script_test(_name)


class TestGolden(unittest.TestCase):
    def test_runs_match_golden_files(self):
        for name in GOLDEN_SCRIPTS:
            with self.subTest(name):
                expected = golden_path(name).read_text().splitlines()
                self.assertEqual(golden_lines(name), expected)


class TestLanguage(unittest.TestCase):
    def test_syntax_error_names_its_line(self):
        with self.assertRaisesRegex(ScenarioError, "line 3, column"):
            parse_script("deployment fraserleaf seed 1\nrun 4s\nsend nothing\n")

    def test_failed_expectation_names_its_line(self):
        script = (
            "deployment fraserleaf seed 1\nrun 4s\n"
            "send chat a from field-notes at burnaby-hall-1\nrun 4s\n"
            "expect a did not run\n"
        )
        with self.assertRaisesRegex(ScenarioError, "line 5: .* a ran in"):
            run_script(script)

    def test_script_must_begin_with_deployment(self):
        with self.assertRaisesRegex(ScenarioError, "begins with its deployment"):
            run_script("run 4s\n")
