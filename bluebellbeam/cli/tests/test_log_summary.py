import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from bluebellbeam.cli.main import main


def line(second, event, prefix="", **fields):
    stamp = f"2026-07-01T10:00:{second:06.3f}Z"
    return prefix + json.dumps({**fields, "event": event, "timestamp": stamp})


LINES = (
    line(0.5, "request: send to a backend server", vm="a", request_id="r1", server="s"),
    line(1.0, "request: refuse: leaving", prefix="  1.0 a ", vm="a", request_id="r2"),
    line(1.2, "request: refuse: leaving", vm="a", request_id="r3"),
    line(2.5, "platform: store unreachable", vm="b", reason="no answer"),
    line(
        2.7,
        "request: attempt failed: upstream_failed",
        vm="a",
        request_id="r1",
        reason="status 500",
        took_ms=2200,
    ),
)


class TestReadLogs(unittest.TestCase):
    def read(self, *options):
        with tempfile.TemporaryDirectory() as folder:
            paths = [str(Path(folder) / name) for name in ("one.log", "two.log")]
            Path(paths[0]).write_text("\n".join(reversed(LINES[:3])))
            Path(paths[1]).write_text("\n".join(("not a line", "{broken", *LINES[3:])))
            result = CliRunner().invoke(main, ["read-logs", *paths, *options])
        self.assertEqual(result.exit_code, 0, result.output)
        return [item.strip() for item in result.output.splitlines()]

    def test_summary_counts_requests_and_lists_changes(self):
        self.assertEqual(
            self.read("--step-s", "2"),
            [
                "0.0 s",
                "2 request: refuse: leaving",
                "1 request: send to a backend server",
                "2.0 s",
                "1 request: attempt failed: upstream_failed (status 500)",
                "b platform: store unreachable",
            ],
        )

    def test_request_lines_span_daemons_and_files(self):
        self.assertEqual(
            self.read("--request", "r1"),
            [
                "0 ms  a  request: send to a backend server  server=s",
                "2200 ms  a  request: attempt failed: upstream_failed  "
                "reason=status 500 took_ms=2200",
            ],
        )

    def test_unknown_request_has_no_lines(self):
        self.assertEqual(self.read("--request", "r9"), [])
