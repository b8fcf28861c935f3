import random
import unittest

import msgspec

from bluebellbeam.membership import StatusUpdate
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.message import Envelope, Ping, ServerLoads, StreamOrigins
from bluebellbeam.node.tests.harness import make_base, server
from bluebellbeam.node.tests.limited_region import LimitedRegion, LimitedServer
from bluebellbeam.node.tests.test_stream_origins import KEY, StreamOriginCase
from bluebellbeam.origins import (
    ServingDaemon,
    UnconfirmedVersion,
    choose_holders,
)
from bluebellbeam.origins.holders import MAX_HOLDERS, MIN_HOLDERS
from bluebellbeam.origins.tests.test_holders import SHAPES, make_members

GRACE_MS = 7500
RESTART_MS = 300
CONTACT_MS = 5000
STREAM_MS = 14_000
RETRY_MS = 500


class RollingRegion(LimitedRegion):
    """Daemons that are stopped and started in turn while they serve long streams.

    Attributes
    ----------
    streams : dict of str to (int, str)
        Time at which each running stream ends and the daemon that serves it, by id.
    started_ms : dict of str to int
        Time of the last start of a daemon.
    outcomes : dict of str to bool
        Whether each stream went on that was taken up at a daemon in touch.
    """

    def __init__(self, count, seed):
        self.streams = {}
        self.started_ms = {}
        self.outcomes = {}
        super().__init__(count, 3, 40.0, seed)

    def make_server(self, name):
        return LimitedServer(server(name, "llm", slots=400, version="v1"))

    def make_config(self):
        return make_base(leave_grace_ms=GRACE_MS, leave_linger_ms=3000)

    def start(self, vm, incarnation=1):
        self.started_ms[vm] = self.now_ms
        super().start(vm, incarnation)

    def send_request(self):
        """Begin a stream at a random daemon and schedule the next one."""
        self.schedule(
            round(1000 * self.rng.expovariate(self.rate_per_s)), self.send_request
        )
        self.requests += 1
        self.take_up(f"r{self.requests}", self.now_ms + STREAM_MS, "")

    def take_up(self, key, end_ms, resumes):
        """Send a stream's request to a daemon that is not leaving."""
        names = [name for name, h in self.daemons.items() if not h.state.leaving]
        if names:
            self._send(self.rng.choice(names), key, end_ms, resumes)
        elif resumes:
            self._retry(key, end_ms, resumes)

    def _send(self, vm, key, end_ms, resumes):
        harness = self.daemons[vm]
        harness.now_ms = self.now_ms
        request_id = f"{key}+{self.now_ms}"
        values = {"resumes": resumes, "resume_after": "2"} if resumes else {}
        commands = harness.send_request(
            "/c/x", request_id if resumes else key, **values
        )
        if resumes:
            self.schedule(200, lambda: self.judge(vm, request_id, key, end_ms))
        else:
            self.streams[key] = (end_ms, vm)
        self.execute(harness, commands)

    def judge(self, vm, request_id, key, end_ms):
        """Record whether a stream has gone on, or retry it."""
        goes_on = key in self.streams
        if self.now_ms - self.started_ms[vm] >= CONTACT_MS:
            self.outcomes[key] = self.outcomes.get(key, False) or goes_on
        if not goes_on:
            self._retry(key, end_ms, key)

    def _retry(self, key, end_ms, resumes):
        if self.now_ms < end_ms:
            self.schedule(RETRY_MS, lambda: self.take_up(key, end_ms, resumes))

    def arrival(self, harness, command, sent_ms):
        def arrive():
            request = command.request
            key = request.resumes or request.request_id
            end_ms = self.now_ms + STREAM_MS
            if key in self.streams:
                end_ms = self.streams[key][0]
            self.streams[key] = (end_ms, harness.state.identity.vm)
            self.handle(harness, ev.AttemptStarted(command.attempt_id))
            delay_ms = max(0, end_ms - self.now_ms)
            self.schedule(delay_ms, lambda: self.finish(harness, command, key))

        return arrive

    def finish(self, harness, command, key):
        if self.daemons.get(harness.state.identity.vm) is harness:
            self.streams.pop(key, None)
            self.handle(harness, ev.AttemptFinished(command.attempt_id))

    def roll(self, gap_ms):
        """Stop and start all daemons in turn."""
        for index, vm in enumerate(self.names):
            self.schedule(index * gap_ms, lambda vm=vm: self.begin_restart(vm))

    def begin_restart(self, vm):
        self.handle(self.daemons[vm], ev.StopRequested())

    def execute(self, harness, commands):
        super().execute(harness, commands)
        if any(isinstance(command, cmd.Exit) for command in commands):
            self.end(harness.state.identity)

    def end(self, identity):
        """End a daemon with its streams, and start it again."""
        self.stop(identity.vm)
        for key, (end_ms, vm) in list(self.streams.items()):
            if vm == identity.vm:
                del self.streams[key]
                self._retry(key, end_ms, key)
        incarnation = identity.incarnation + 1
        self.schedule(RESTART_MS, lambda: self.start(identity.vm, incarnation))

    def tick(self, harness):
        # The store responds to every daemon all the time.
        harness.state.source_response_ms = self.now_ms
        super().tick(harness)


class TestRollingRestart(unittest.TestCase):
    """Guards against origins that are lost with the daemons that were told them."""

    def test_streams_that_it_cuts_go_on(self):
        for seed, gap_ms in ((1, 1400), (2, 1000), (3, 2000)):
            with self.subTest(seed=seed, gap_ms=gap_ms):
                region = RollingRegion(6, seed)
                region.run(3000)
                region.roll(gap_ms)
                region.run(26_000)
                outcomes = list(region.outcomes.values())
                self.assertGreaterEqual(len(outcomes), 12)
                self.assertEqual(outcomes.count(False), 0)


class TestHoldersAfterAChangeOfMembers(StreamOriginCase):
    """Guards against holders that never learn what the former ones were told."""

    def begin(self):
        started = self.harness.send_request("/c/x", "first")
        attempt = next(c for c in started if isinstance(c, cmd.StartAttempt))
        self.harness.handle(ev.AttemptStarted(attempt.attempt_id))
        self.harness.commands.clear()

    def told(self):
        """Return the age and keys of the origins that each peer was told."""
        return {
            command.vm: (message.ages_ms, [key for key, _, _ in message.origins])
            for command in self.harness.commands
            if isinstance(command, cmd.SendToPeer)
            for message in command.messages
            if isinstance(message, StreamOrigins) and message.origins
        }

    def test_holder_that_starts_again_learns_the_origin_and_its_age(self):
        self.begin()
        self.harness.tick(200)
        self.assertEqual(self.told(), {})
        self.harness.announce_peer("vm-w", "west", incarnation=6)
        self.harness.tick()
        self.assertEqual(self.told(), {"vm-w": ((250,), [KEY])})

    def test_origin_is_sent_to_another_member_when_a_holder_leaves(self):
        self.begin()
        self.harness.announce_peer("vm-3", "east")
        update = StatusUpdate("m", "vm-2", 5, 0, "leaving")
        self.deliver("vm-2", Ping({}, (update,)))
        self.harness.tick()
        self.assertEqual(list(self.told()), ["vm-3"])

    def test_origin_is_sent_again_to_a_holder_that_was_not_reached(self):
        self.begin()
        self.harness.handle(ev.PeerUnreachable("vm-w"))
        self.harness.tick()
        self.assertEqual(list(self.told()), ["vm-w"])

    def test_origins_are_not_sent_again_without_a_change(self):
        self.begin()
        self.harness.announce_peer("vm-w", "west", incarnation=6)
        self.harness.tick()
        self.harness.commands.clear()
        self.harness.tick(500)
        self.assertEqual(self.told(), {})

    def test_holder_tells_the_origins_of_a_daemon_that_has_gone(self):
        self.deliver("vm-2", StreamOrigins(((KEY, "llm", "v1"),), ages_ms=(1000,)))
        self.harness.announce_peer("vm-w", "west", incarnation=6)
        self.harness.tick()
        self.assertEqual(self.told(), {})
        self.harness.announce_peer("vm-2", "east", incarnation=6)
        self.harness.tick()
        self.assertEqual(self.told(), {"vm-w": ((1100,), [KEY])})

    def test_origin_that_is_sent_again_does_not_outlive_its_time(self):
        age_ms = 59_000
        self.deliver("vm-2", StreamOrigins(((KEY, "llm", "v1"),), ages_ms=(age_ms,)))
        self.harness.tick(2000)
        self.resume()
        self.assertEqual(self.started(), [])

    def test_origin_that_an_unknown_member_tells_is_known(self):
        message = StreamOrigins(((KEY, "llm", "v2"),))
        envelope = Envelope("vm-new", 1, (message,))
        self.harness.handle(ev.PeerMessagesReceived(envelope))
        self.harness.tick()
        self.resume()
        self.assertEqual(self.started(), ["llm-2"])

    def test_leaving_members_are_asked_for_an_origin(self):
        self.harness.announce_peer("vm-3", "east", state="leaving")
        self.resume()
        self.assertIn("vm-3", self.queried())


class EarlierOrigins(msgspec.Struct, frozen=True, array_like=True, tag="so"):
    """Origins as daemons of earlier builds encode and decode them."""

    origins: tuple[tuple[int, str, str], ...] = ()
    unknown: tuple[int, ...] = ()


class EarlierLoads(msgspec.Struct, frozen=True, array_like=True, tag="sl"):
    """Loads as daemons of earlier builds encode and decode them."""

    servers: dict[str, tuple[int, int]]


class TestOriginsBesideEarlierBuilds(unittest.TestCase):
    """Guards against messages that daemons of another build cannot read."""

    def test_both_builds_read_the_loads_of_the_other(self):
        servers = {"s": (1, 2)}
        raw = msgspec.json.encode(ServerLoads(servers, copies={"llm": {"v1": "AA"}}))
        self.assertEqual(msgspec.json.decode(raw, type=EarlierLoads).servers, servers)
        raw = msgspec.json.encode(EarlierLoads(servers))
        self.assertEqual(msgspec.json.decode(raw, type=ServerLoads).copies, {})

    def test_both_builds_read_the_origins_of_the_other(self):
        rows = ((KEY, "llm", "?"),)
        unconfirmed = {KEY: UnconfirmedVersion("v1", "s", 3)}
        served_by = ServingDaemon("vm-1", 1, "east", "dom-e")
        message = StreamOrigins(
            rows, ages_ms=(7,), unconfirmed=unconfirmed, served_by=served_by
        )
        raw = msgspec.json.encode(message)
        self.assertEqual(msgspec.json.decode(raw, type=StreamOrigins), message)
        self.assertEqual(msgspec.json.decode(raw, type=EarlierOrigins).origins, rows)
        raw = msgspec.json.encode(EarlierOrigins(rows, (1,)))
        found = msgspec.json.decode(raw, type=StreamOrigins)
        self.assertEqual((found.origins, found.unknown), (rows, (1,)))


class TestChoiceAmongFewMembers(unittest.TestCase):
    """Guards against origins whose holders depend on who chooses them."""

    def test_choice_from_the_holders_and_a_new_member_is_that_from_all(self):
        rng = random.Random(64)
        for shape in (*SHAPES, [[5]], [[3, 2]], [[1], [4]]):
            for key in range(60):
                rows = make_members(shape)
                rng.shuffle(rows)
                serving = rows.pop()
                place = (serving.region, serving.failure_domain)
                served_by = ServingDaemon(serving.name, 1, *place)
                new = rows.pop()
                for count in (MIN_HOLDERS, MAX_HOLDERS):
                    before = choose_holders(key, rows, served_by, count)
                    few = [row for row in rows if row.name in before]
                    self.assertEqual(
                        choose_holders(key, [*few, new], served_by, count),
                        choose_holders(key, [*rows, new], served_by, count),
                    )


if __name__ == "__main__":
    unittest.main()
