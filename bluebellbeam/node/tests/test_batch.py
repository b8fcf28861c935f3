import unittest

from bluebellbeam.node import Request
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.dispatch import dispatch_all_pools
from bluebellbeam.node.message import Envelope, ServerLoads
from bluebellbeam.routing.batch import MAX_DEFERRAL_MS
from bluebellbeam.scenario.faults import session_world

NOW_MS = 8000


def make_node():
    """Return a daemon of a region with two engines."""
    world = session_world("fraserleaf", 1)
    world.run_until(NOW_MS)
    return world.hosts["burnaby-hall-1"].node


def arrive(node, name, workspace="farm-audits", tokens=8000, now_ms=NOW_MS):
    """Let a prompt arrive that shares nothing; return the commands."""
    request = Request(name, workspace, model="inspect")
    request.prompt_tokens = tokens
    request.max_output_tokens = 100
    request.blocks = tuple(hash((name, i)) for i in range(tokens // 64))
    return node.handle(ev.RequestArrived(request), now_ms)


def starts(commands):
    return [c for c in commands if isinstance(c, cmd.StartAttempt)]


class TestLongBatchPrompts(unittest.TestCase):
    """Load: documents of batch work change on all servers at one time."""

    def setUp(self):
        self.node = make_node()

    def test_one_of_two_servers_stays_clear_for_interactive_work(self):
        first = starts(arrive(self.node, "b1"))
        self.assertEqual(len(first), 1)
        self.assertEqual(starts(arrive(self.node, "b2")), [])
        chat = starts(arrive(self.node, "c1", "field-notes", 600))
        self.assertEqual(len(chat), 1)
        self.assertNotEqual(chat[0].server, first[0].server)

    def test_short_batch_prompt_does_not_wait(self):
        arrive(self.node, "b1")
        self.assertEqual(len(starts(arrive(self.node, "b2", tokens=400))), 1)

    def test_long_prompt_waits_no_longer_than_its_patience(self):
        arrive(self.node, "b1")
        arrive(self.node, "b2")
        state = self.node.state
        dispatch_all_pools(state, NOW_MS + MAX_DEFERRAL_MS)
        self.assertEqual(sum(q.size for q in state.queues.values()), 1)
        dispatch_all_pools(state, NOW_MS + MAX_DEFERRAL_MS + 1)
        self.assertEqual(sum(q.size for q in state.queues.values()), 0)

    def test_prompt_of_another_daemon_counts(self):
        rows = self.node.state.replicas.pool("m/inspect")
        message = ServerLoads({rows[0].name: (1, 8000)})
        peer = self.node.state.members.rows["burnaby-hall-2"]
        envelope = Envelope(peer.name, peer.incarnation, (message,))
        self.node.handle(ev.PeerHeard(envelope), NOW_MS)
        self.assertEqual(starts(arrive(self.node, "b1")), [])

    def test_region_is_told_of_a_long_prompt_at_once(self):
        def told(commands):
            sent = [c for c in commands if isinstance(c, cmd.SendPeer)]
            return [m for c in sent for m in c.messages if isinstance(m, ServerLoads)]

        self.assertFalse(told(arrive(self.node, "c1", "field-notes", 600)))
        commands = arrive(self.node, "b1")
        server = starts(commands)[0].server
        self.assertEqual(told(commands)[0].servers[server][1], 8000)


class TestCharges(unittest.TestCase):
    """Load: more than capacity, so that requests expire in the queue."""

    def test_request_that_expires_in_the_queue_is_not_charged(self):
        node = make_node()
        for i in range(4):
            arrive(node, f"b{i}")
        state = node.state
        lane = state.queues["m/inspect"].lanes["batch"]["farm-audits"]
        before = (len(lane.requests), lane.start_tag)
        dispatch_all_pools(state, NOW_MS + 200_000)
        self.assertEqual((len(lane.requests), lane.start_tag), (0, before[1]))
        self.assertGreater(before[0], 0)
