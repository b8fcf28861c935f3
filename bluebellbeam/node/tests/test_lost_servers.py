import unittest

from bluebellbeam.config import split_documents
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.lending import capacity_offers
from bluebellbeam.node.message import Envelope, ServerLoads
from bluebellbeam.node.tests.harness import (
    Harness,
    final_errors,
    make_base,
    server,
    started_attempts,
)


def lose_servers(harness, *names):
    """Let the health checks of servers fail; their rows stay in the list."""
    for name in names:
        harness.handle(ev.LoadReadFailed(name))


class TestLogOfReachedServers(unittest.TestCase):
    def test_loss_and_return_of_the_last_server_are_logged_once(self):
        harness = Harness()
        harness.publish_servers(server("s1"), server("s2"))
        harness.tick(50)
        lose_servers(harness, "s1")
        harness.tick(50)
        self.assertNotIn("no server is reached", self.sentences(harness))
        lose_servers(harness, "s2")
        for _ in range(3):
            harness.tick(50)
        harness.handle(ev.HealthCheckAnswered("s2", "s2", 1))
        harness.tick(50)
        found = self.sentences(harness)
        self.assertEqual(found.count("no server is reached"), 1)
        self.assertEqual(found.count("a server is reached again"), 1)
        self.assertEqual(found.count("stop using server: it does not respond"), 2)

    def sentences(self, harness):
        return [c.sentence for c in harness.commands if isinstance(c, cmd.Log)]


class TestForwardedRequest(unittest.TestCase):
    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(server("s1"), server("s2"))
        self.harness.announce_peer("w1")

    def forward(self, key="f1"):
        return self.harness.send_request(
            request_id=key, origin="w1", allowed=frozenset({"east"}), revision=1
        )

    def test_it_is_refused_at_once_by_a_daemon_that_reaches_no_server(self):
        lose_servers(self.harness, "s1", "s2")
        error = final_errors(self.forward())[0]
        self.assertEqual(
            (error.code, error.outcome), ("servers_unreachable", "not_run")
        )

    def test_it_is_refused_once_the_last_server_is_lost(self):
        lose_servers(self.harness, "s1")
        attempt = started_attempts(self.forward())[0]
        commands = self.harness.handle(
            ev.AttemptFailed(attempt.attempt_id, False, lost_connection=True)
        )
        codes = [error.code for error in final_errors(commands)]
        self.assertEqual(codes, ["servers_unreachable"])

    def test_it_is_refused_once_no_server_is_listed(self):
        while started_attempts(self.forward(f"f{self.harness.state.next_attempt_id}")):
            pass
        self.harness.commands.clear()
        self.harness.publish_servers()
        found = [
            (error.code, error.outcome) for error in final_errors(self.harness.commands)
        ]
        self.assertIn(("no_backend", "not_run"), found)

    def test_it_is_served_while_one_server_is_reached(self):
        lose_servers(self.harness, "s1")
        self.assertEqual(started_attempts(self.forward())[0].server, "s2")


class TestLogOfForwards(unittest.TestCase):
    def test_a_refusal_says_how_many_servers_may_be_used(self):
        harness = Harness()
        harness.publish_servers(server("s1"), server("s2"))
        lose_servers(harness, "s1")
        harness.commands.clear()
        harness.send_request("/nowhere/x")
        harness.publish_servers(server("s1"), evacuated=("dom-e",))
        harness.send_request("/p/x", request_id="r2")
        found = [
            c.fields.get("usable_servers")
            for c in harness.commands
            if isinstance(c, cmd.Log) and c.sentence.startswith("refuse: ")
        ]
        self.assertEqual(found, [None, 0])

    def test_it_says_why_a_daemon_was_chosen(self):
        harness = Harness()
        harness.publish_servers(server("s1"))
        harness.announce_peer("w1", others=("w2",))
        lose_servers(harness, "s1")
        attempts = [
            started_attempts(harness.send_request(request_id=key))[0]
            for key in ("a1", "a2")
        ]
        error = make_error("deadline_unreachable", retry_after_ms=700)
        harness.handle(ev.AttemptRefused(attempts[0].attempt_id, error, sends=0))
        harness.handle(ev.CapacityOfferReceived(attempts[1].peer, "s/portal", 3.0, 5.0))
        harness.commands.clear()
        chosen = started_attempts(harness.send_request(request_id="a3"))[0]
        self.assertEqual(chosen.peer, attempts[1].peer)
        text = "forward to a peer"
        lines = [
            c
            for c in harness.commands
            if isinstance(c, cmd.Log) and c.sentence == text and c.request_id == "a3"
        ]
        names = ("offered_slots", "running_there", "refused_lately")
        self.assertEqual([lines[0].fields[name] for name in names], [3.0, 1, 1])


class TestOffersOfEvacuatedServers(unittest.TestCase):
    def test_slots_in_an_evacuated_domain_are_not_offered(self):
        harness = Harness()
        records = (server("s1"), server("s2"))
        harness.publish_servers(*records)
        self.assertIn("s/portal", capacity_offers(harness.state, harness.now_ms))
        harness.publish_servers(*records, evacuated=("dom-e",))
        self.assertEqual(capacity_offers(harness.state, harness.now_ms), {})


class TestServerListedWhileNoneIsReached(unittest.TestCase):
    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(server("s1"))
        self.harness.announce_peer("e2", region="east")
        self.harness.tick(50)
        lose_servers(self.harness, "s1")
        self.harness.tick(50)
        self.harness.publish_servers(server("s1"), server("s2"))

    def target(self, key, **values):
        commands = self.harness.send_request(request_id=key, **values)
        attempt = started_attempts(commands)[0]
        return attempt.server or attempt.peer

    def test_one_request_tries_it_while_the_neighbour_serves_the_others(self):
        found = [self.target(f"n{number}") for number in range(4)]
        self.assertEqual(found, ["s2", "e2", "e2", "e2"])

    def test_it_serves_all_requests_after_its_first_response(self):
        attempt = started_attempts(self.harness.send_request())[0]
        self.harness.handle(ev.AttemptStarted(attempt.attempt_id))
        found = [self.target(f"n{number}") for number in range(3)]
        self.assertEqual(found, ["s2", "s2", "s2"])

    def test_it_gets_no_forwarded_request_before_it_has_responded(self):
        forwarded = {"origin": "e2", "allowed": frozenset({"east"}), "revision": 1}
        error = final_errors(self.harness.send_request(request_id="f1", **forwarded))[0]
        self.assertEqual(error.code, "servers_unreachable")

    def test_it_is_checked_soon_without_a_request(self):
        self.harness.commands.clear()
        self.harness.tick(1000)
        checked = [
            c.server for c in self.harness.commands if isinstance(c, cmd.ReadLoad)
        ]
        self.assertIn("s2", checked)


class TestSilentServers(unittest.TestCase):
    """Connections to the servers live on, but nothing comes back on them."""

    CONTACT_MS = 5000

    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(server("s1"), server("s2"))
        self.harness.announce_peer("e2", region="east")

    def run_checks(self, duration_ms, answered):
        """Advance time; health checks fail, or are answered. Return their number."""
        checks = 0
        for _ in range(duration_ms // 50):
            self.harness.commands.clear()
            self.harness.tick(50)
            for command in self.harness.commands:
                if isinstance(command, cmd.ReadLoad):
                    checks += 1
                    name = command.server
                    self.harness.handle(
                        ev.HealthCheckAnswered(name, name, 1)
                        if answered
                        else ev.LoadReadFailed(name)
                    )
        # The peer answers no probes here.
        self.harness.announce_peer("e2", region="east", incarnation=6)
        return checks

    def test_requests_stop_going_to_them_before_the_connections_end(self):
        for number in range(2):
            self.harness.send_request("/o/x", f"n{number}")
        self.run_checks(self.CONTACT_MS // 2, answered=False)
        attempt = started_attempts(self.harness.send_request(request_id="n9"))[0]
        self.assertEqual(attempt.peer, "e2")

    def test_slow_response_of_a_server_that_answers_checks_changes_nothing(self):
        self.harness.send_request("/o/x", "n1")
        self.assertLessEqual(self.run_checks(2500, answered=True), 3)
        attempt = started_attempts(self.harness.send_request(request_id="n9"))[0]
        self.assertIn(attempt.server, ("s1", "s2"))

    def test_server_that_answers_other_requests_is_not_checked(self):
        self.harness.publish_servers(server("s1"))
        self.harness.send_request("/o/x", "n1")
        for number in range(5):
            commands = self.harness.send_request("/o/x", f"m{number}")
            other = started_attempts(commands)[0]
            self.harness.handle(ev.AttemptFinished(other.attempt_id))
            self.assertEqual(self.run_checks(500, answered=True), 0)


class TestFailedConnectionsOfAForward(unittest.TestCase):
    def test_failed_connections_are_not_reported_as_a_region_without_servers(self):
        harness = Harness()
        harness.publish_servers(server("s1"))
        harness.announce_peer("e2", region="east")
        commands = harness.send_request(
            request_id="f1", origin="e2", allowed=frozenset({"east"}), revision=1
        )
        attempt = started_attempts(commands)[0]
        event = ev.AttemptFailed(attempt.attempt_id, False, lost_connection=True)
        error = final_errors(harness.handle(event))[0]
        self.assertEqual(
            (error.code, error.outcome), ("servers_unreachable", "not_run")
        )


class TestLargeRegionCutOff(unittest.TestCase):
    """A daemon that reaches no server, in a region of 44 whose others do not either."""

    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(server("s1"))
        others = tuple(f"e{number}" for number in range(3, 45))
        self.harness.announce_peer("e2", region="east", others=others)
        self.harness.announce_peer("w1", others=("w2",))
        lose_servers(self.harness, "s1")

    def regions_of_attempts(self, key):
        """Return the regions at which a request is tried until one accepts it."""
        found = []
        commands = self.harness.send_request(request_id=key)
        while attempts := started_attempts(commands):
            self.assertEqual(len(attempts), 1)
            peer = attempts[0].peer
            found.append(self.harness.state.members.rows[peer].region)
            if found[-1] == "west":
                break
            self.harness.now_ms += 2
            error = make_error("servers_unreachable", retry_after_ms=1000)
            event = ev.AttemptRefused(attempts[0].attempt_id, error, sends=0)
            commands = self.harness.handle(event)
        return found

    def test_every_request_reaches_another_region(self):
        for number in range(20):
            self.assertIn("west", self.regions_of_attempts(f"n{number}"), number)
            self.harness.tick(100)


class TestRequestOfACaller(unittest.TestCase):
    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(server("s1"), server("s2"))
        self.harness.announce_peer("e2", region="east", others=("e3",))

    def test_a_neighbour_gets_it_while_no_server_is_reached(self):
        lose_servers(self.harness, "s1", "s2")
        attempt = started_attempts(self.harness.send_request())[0]
        self.assertIn(attempt.peer, ("e2", "e3"))

    def test_a_neighbour_gets_it_after_every_server_was_tried(self):
        attempt = started_attempts(self.harness.send_request())[0]
        for _ in range(2):
            self.assertIn(attempt.server, ("s1", "s2"))
            event = ev.AttemptFailed(attempt.attempt_id, False, lost_connection=True)
            attempt = started_attempts(self.harness.handle(event))[0]
        self.assertIn(attempt.peer, ("e2", "e3"))

    def test_the_other_neighbour_gets_it_if_the_first_reaches_none_either(self):
        lose_servers(self.harness, "s1", "s2")
        first = started_attempts(self.harness.send_request())[0]
        event = ev.AttemptRefused(first.attempt_id, make_error("servers_unreachable"))
        second = started_attempts(self.harness.handle(event))[0]
        self.assertEqual({first.peer, second.peer}, {"e2", "e3"})
        for number in range(3):
            key = f"n{number}"
            attempt = started_attempts(self.harness.send_request(request_id=key))[0]
            self.assertEqual(attempt.peer, second.peer)

    def test_no_neighbour_gets_it_while_a_server_with_room_is_reached(self):
        lose_servers(self.harness, "s1")
        attempt = started_attempts(self.harness.send_request())[0]
        self.assertEqual(attempt.server, "s2")

    def fill_reached_server(self):
        """Lose one server, and send requests to the other one until it is full."""
        lose_servers(self.harness, "s1")
        for number in range(20):
            key = f"full{number}"
            sent = started_attempts(self.harness.send_request(request_id=key))
            if not sent or sent[0].server != "s2":
                return sent
        return []

    def test_a_neighbour_gets_it_if_only_lost_servers_have_room(self):
        attempt = self.fill_reached_server()[0]
        self.assertIn(attempt.peer, ("e2", "e3"))

    def test_no_neighbour_gets_it_if_lost_servers_have_no_room_either(self):
        loads = ServerLoads({"s1": (9, 0)})
        envelope = Envelope("e2", 5, (loads,))
        self.harness.handle(ev.PeerMessagesReceived(envelope))
        self.assertEqual(self.fill_reached_server(), [])

    def test_neighbour_that_refused_is_not_asked_again_at_once(self):
        for _ in range(2):
            attempt = self.fill_reached_server()[0]
            error = make_error("deadline_unreachable", retry_after_ms=2000)
            self.harness.handle(ev.AttemptRefused(attempt.attempt_id, error))
        self.harness.commands.clear()
        self.assertEqual(started_attempts(self.harness.send_request("/p/x", "r9")), [])

    def test_a_daemon_of_another_region_gets_it_without_an_offer(self):
        harness = Harness()
        harness.publish_servers(server("s1"))
        harness.announce_peer("w1")
        lose_servers(harness, "s1")
        attempt = started_attempts(harness.send_request())[0]
        self.assertEqual(attempt.peer, "w1")

    def test_it_stays_in_its_region_if_the_route_allows_no_other(self):
        base = make_base()
        base["routes"][0]["home_regions"] = ["east"]
        self.harness.publish("config", split_documents(base, {}))
        self.harness.announce_peer("w1")
        lose_servers(self.harness, "s1", "s2")
        attempt = started_attempts(self.harness.send_request())[0]
        self.assertIn(attempt.peer, ("e2", "e3"))

    def test_no_neighbour_gets_it_if_the_region_is_not_allowed(self):
        base = make_base()
        base["routes"][0]["home_regions"] = ["west"]
        self.harness.publish("config", split_documents(base, {}))
        self.harness.announce_peer("w1")
        lose_servers(self.harness, "s1", "s2")
        attempt = started_attempts(self.harness.send_request())[0]
        self.assertEqual(attempt.peer, "w1")


if __name__ == "__main__":
    unittest.main()
