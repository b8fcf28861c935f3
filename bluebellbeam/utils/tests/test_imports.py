import subprocess
import sys
import unittest

START = """
from bluebellbeam.utils import imports
with imports.collection_paused():
    imports.import_client_without_tls()
    imports.import_server_without_tracebacks()
    import bluebellbeam.daemon
import gc, ssl, sys
"""


def run_python(code):
    """Return what a new interpreter prints that starts like a daemon."""
    command = [sys.executable, "-c", START + code]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout


class TestDaemonImports(unittest.TestCase):
    def test_modules_that_a_daemon_does_not_use_are_not_imported(self):
        unused = ("prometheus_client", "tracerite", "bluebellbeam.cli.client")
        found = run_python(f"print([n for n in {unused} if n in sys.modules])")
        self.assertEqual(found.strip(), "[]")

    def test_client_has_no_tls_and_ssl_stays_importable(self):
        code = (
            "from aiohttp import connector\n"
            "print(connector.ssl, connector._SSL_CONTEXT_VERIFIED, ssl.__name__)"
        )
        self.assertEqual(run_python(code).strip(), "None None ssl")

    def test_collection_runs_again_and_skips_modules(self):
        code = "print(gc.isenabled(), gc.get_freeze_count() > 10_000)"
        self.assertEqual(run_python(code).strip(), "True True")

    def test_application_answers_errors_without_tracebacks(self):
        code = (
            "import asyncio\n"
            "from bluebellbeam.daemon.listener import _handle_exception\n"
            "found = asyncio.run(_handle_exception(None, ValueError()))\n"
            "print(found.status, found.content_type)"
        )
        self.assertEqual(run_python(code).strip(), "500 application/json")


if __name__ == "__main__":
    unittest.main()
