import unittest

from bluebellbeam.config import split_documents
from bluebellbeam.feeds import Delta, Snapshot
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.tests.harness import (
    Harness,
    final_errors,
    make_base,
    server,
    started_attempts,
)

PEER = "vm-9"


def route(prefix, service="portal", **values):
    """Return an idempotent route to one service."""
    return {
        "name": prefix.strip("/"),
        "host": "a.example",
        "path_prefix": prefix,
        "services": [{"service": service}],
        "workspace": "all",
        "kind": "idempotent",
        "max_attempts": 2,
        "timeout_ms": 3000,
        "objective_ms": 400,
        **values,
    }


class ForwardCase(unittest.TestCase):
    """A daemon of region east that a daemon of region west forwards requests to."""

    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(server("s1"), server("s2", "llm"))
        self.harness.announce_peer(PEER)
        self.harness.commands.clear()

    def publish(self, *routes):
        """Deliver the next version, which has further routes."""
        self.harness.publish("config", split_documents(make_base(routes), {}))
        self.harness.commands.clear()

    def receive(self, path, newer_by, service="portal"):
        """Deliver a forward of a sender whose version is newer by `newer_by`."""
        return self.harness.send_request(
            path,
            "forwarded",
            origin=PEER,
            revision=self.harness.state.config.revision + newer_by,
            allowed=frozenset({"east"}),
            decided_service=service,
        )

    def check_declined(self, commands, code):
        errors = final_errors(commands)
        self.assertEqual([error.code for error in errors], [code])
        self.assertEqual((errors[0].status, errors[0].outcome), (503, "not_run"))
        self.assertEqual(started_attempts(commands), [])


class TestForwardFromNewerConfiguration(ForwardCase):
    def test_added_route_is_not_denied_by_a_daemon_that_does_not_know_it(self):
        self.check_declined(self.receive("/added/x", 1), "config_behind")

    def test_moved_home_is_not_denied_by_a_daemon_that_knows_the_former_one(self):
        self.publish(route("/home/", home_regions=["west"]))
        self.check_declined(self.receive("/home/x", 1), "config_behind")


class TestForwardFromOlderConfiguration(ForwardCase):
    def test_dropped_route_is_declined_and_the_newer_version_sent(self):
        self.publish(route("/gone/"))
        self.publish()
        commands = self.receive("/gone/x", -1)
        self.check_declined(commands, "config_ahead")
        self.check_sent(commands)

    def test_moved_home_is_not_denied_to_a_sender_that_knows_the_former_one(self):
        self.publish(route("/home/"))
        self.publish(route("/home/", home_regions=["west"]))
        self.check_declined(self.receive("/home/x", -1), "config_ahead")

    def test_moved_route_does_not_run_at_a_service_that_its_sender_does_not_know(self):
        self.publish(route("/move/"))
        self.publish(route("/move/", "llm"))
        self.check_declined(self.receive("/move/x", -1), "config_ahead")

    def test_forward_that_both_versions_decide_alike_is_run(self):
        self.publish(route("/other/"))
        self.assertEqual(len(started_attempts(self.receive("/p/x", -1))), 1)

    def test_forward_of_a_sender_that_does_not_name_its_decision_is_run(self):
        self.publish(route("/move/"))
        self.publish(route("/move/", "llm"))
        commands = self.receive("/move/x", -1, service="")
        self.assertEqual(len(started_attempts(commands)), 1)

    def test_queued_forward_is_declined_when_its_route_moves(self):
        self.publish(route("/move/", objective_ms=3000))
        number = 0
        while started_attempts(self.harness.send_request("/move/x", f"r{number}")):
            number += 1
        self.assertEqual(final_errors(self.receive("/move/x", 0)), [])
        self.harness.commands.clear()
        moved = make_base([route("/move/", "llm")])
        self.harness.publish("config", split_documents(moved, {}))
        codes = [error.code for error in final_errors(self.harness.commands)]
        self.assertEqual(codes, ["config_ahead"])

    def check_sent(self, commands):
        sent = [
            message
            for command in commands
            if isinstance(command, cmd.SendToPeer) and command.vm == PEER
            for message in command.messages
            if isinstance(message, Delta | Snapshot) and message.key == "config"
        ]
        self.assertEqual(len(sent), 1)


class TestDeclinedForward(unittest.TestCase):
    """A daemon of region west whose requests run in region east."""

    def setUp(self):
        home = route("/home/", home_regions=["east"])
        self.harness = Harness("west", base=make_base([home]))
        self.harness.announce_peer(PEER, "east", others=("vm-8", "vm-7"))
        self.harness.commands.clear()

    def decline(self, attempt, code):
        error = make_error(code, outcome="not_run")
        return self.harness.handle(
            ev.AttemptRefused(attempt.attempt_id, error, None, 0)
        )

    def start(self):
        attempts = started_attempts(self.harness.send_request("/home/x"))
        self.assertEqual(len(attempts), 1)
        return attempts[0]

    def check_not_denied(self, code):
        attempt = self.start()
        for _ in range(8):
            commands = self.decline(attempt, code)
            errors = final_errors(commands)
            if errors:
                self.assertEqual(errors[0].status, 503)
                return
            attempt = started_attempts(commands)[0]
        self.fail("the request was tried without end")

    def test_not_found_at_a_peer_is_not_the_answer_to_the_caller(self):
        self.check_not_denied("not_found")

    def test_region_not_permitted_at_a_peer_is_not_the_answer_to_the_caller(self):
        self.check_not_denied("region_not_permitted")

    def test_unknown_key_at_a_peer_is_not_the_answer_to_the_caller(self):
        self.check_not_denied("unknown_key")

    def test_too_large_at_a_peer_is_not_the_answer_to_the_caller(self):
        self.check_not_denied("too_large")

    def test_request_is_decided_anew_after_the_configuration_has_changed(self):
        attempt = self.start()
        self.harness.publish("config", split_documents(make_base(), {}))
        errors = final_errors(self.decline(attempt, "config_behind"))
        self.assertEqual([error.code for error in errors], ["not_found"])

    def test_retry_goes_to_the_service_of_the_present_route(self):
        attempt = self.start()
        moved = route("/home/", "llm", home_regions=["east"])
        self.harness.publish("config", split_documents(make_base([moved]), {}))
        attempts = started_attempts(self.decline(attempt, "config_behind"))
        self.assertEqual([item.request.service for item in attempts], ["llm"])


class TestRefusedConfiguration(unittest.TestCase):
    def test_refused_version_is_not_read_again_in_each_tick(self):
        harness = Harness()
        wrong = split_documents(make_base([route("/x/", "nobody")]), {})
        reads = 0
        for _ in range(20):
            harness.tick()
            if any(_reads_config(command) for command in harness.commands):
                reads += 1
                harness.versions["config"] = 1
                harness.publish("config", wrong)
                harness.commands.clear()
        self.assertLessEqual(reads, 2)


def _reads_config(command):
    return isinstance(command, cmd.ReadFeed) and command.key == "config"
