import asyncio

from click.testing import CliRunner

from bluebellbeam.cli.main import main
from bluebellbeam.daemon.tests.test_loopback import LoopbackCase


class TestAgainstRunningDaemon(LoopbackCase):
    def _run_check(self, check):
        async def step(deployment, session):
            async def run(*args):
                result = await asyncio.to_thread(CliRunner().invoke, main, args)
                return result.exit_code, result.output

            await check(deployment, run)

        self.run_with(step)

    def test_caller_commands_print_responses_and_errors(self):
        async def check(deployment, run):
            caller = deployment.fleet.entry_vms["burnaby-hall-1"].caller_address
            common = ("--address", caller, "--key", "key-certificates")
            code, output = await run("entry", *common)
            self.assertEqual(code, 0, output)
            self.assertIn(caller, output)
            model = ("--model", "inspect", "--max-tokens", "5")
            code, output = await run("request", "chat", *common, *model, "hello")
            self.assertEqual((code, len(output.split())), (0, 5), output)
            call = ("PUT", "portal", "/status/9")
            code, output = await run("request", "call", *common, *call)
            self.assertEqual(code, 0, output)
            effects = [s.effects for s in deployment.fleet.services.values()]
            self.assertEqual(sum(sum(e.values()) for e in effects), 1)
            wrong = ("--model", "nothing", "hello")
            code, output = await run("request", "chat", *common, *wrong)
            self.assertEqual(code, 1)
            self.assertIn("unknown_model (404, not_run)", output)

        self._run_check(check)

    def test_operator_commands_print_tables_and_differences(self):
        async def check(deployment, run):
            first, second = (
                deployment.daemons[vm].address("operators")
                for vm in ("burnaby-hall-1", "burnaby-hall-2")
            )
            code, output = await run("state", "--address", first, "--table", "feeds")
            self.assertEqual(code, 0, output)
            self.assertIn("feeds (3)", output)
            args = ("--table", "node", "--diff", second)
            code, output = await run("state", "--address", first, *args)
            self.assertIn("burnaby-hall-2: only on the right", output)
            code, output = await run("explain", "--address", first, "none")
            self.assertEqual(code, 1)
            self.assertIn("not_found", output)

        self._run_check(check)

    def test_unreachable_daemon_is_reported(self):
        result = CliRunner().invoke(main, ["state", "--address", "127.0.0.1:1"])
        self.assertEqual(result.exit_code, 1)
        self.assertIn("no answer from the daemon", result.output)
