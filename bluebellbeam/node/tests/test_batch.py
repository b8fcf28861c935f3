import unittest

from bluebellbeam.node import Request
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.dispatch import dispatch_all_pools
from bluebellbeam.node.message import Envelope, ServerLoads
from bluebellbeam.routing.batch import MAX_DEFERRAL_MS
from bluebellbeam.scenario.faults import start_example_simulation

NOW_MS = 8000


def make_node():
    """Return the node of a daemon in a region with two engines."""
    sim = start_example_simulation("fraserleaf", 1)
    sim.run_until(NOW_MS)
    return sim.hosts["burnaby-hall-1"].node


def submit_request(node, name, workspace="farm-audits", tokens=8000, now_ms=NOW_MS):
    """Pass a request with an uncached prompt to the node; return its commands."""
    request = Request(name, workspace, model="inspect")
    request.prompt_tokens = tokens
    request.max_output_tokens = 100
    request.blocks = tuple(hash((name, i)) for i in range(tokens // 64))
    return node.handle(ev.RequestArrived(request), now_ms)


def started_attempts(commands):
    return [c for c in commands if isinstance(c, cmd.StartAttempt)]


class TestLongBatchPrompts(unittest.TestCase):
    """Long batch prompts must not occupy all servers of a pool at once.

    Interactive requests would then wait for their prefill. Load: batch requests
    for new documents, whose prompts no server has cached, arrive together.
    """

    def setUp(self):
        self.node = make_node()

    def test_one_of_two_servers_stays_free_for_interactive_requests(self):
        first = started_attempts(submit_request(self.node, "b1"))
        self.assertEqual(len(first), 1)
        self.assertEqual(started_attempts(submit_request(self.node, "b2")), [])
        chat = started_attempts(submit_request(self.node, "c1", "field-notes", 600))
        self.assertEqual(len(chat), 1)
        self.assertNotEqual(chat[0].server, first[0].server)

    def test_short_batch_prompt_is_not_deferred(self):
        submit_request(self.node, "b1")
        self.assertEqual(
            len(started_attempts(submit_request(self.node, "b2", tokens=400))), 1
        )

    def test_long_prompt_is_deferred_no_longer_than_the_limit(self):
        submit_request(self.node, "b1")
        submit_request(self.node, "b2")
        state = self.node.state
        dispatch_all_pools(state, NOW_MS + MAX_DEFERRAL_MS)
        self.assertEqual(sum(q.size for q in state.queues.values()), 1)
        dispatch_all_pools(state, NOW_MS + MAX_DEFERRAL_MS + 1)
        self.assertEqual(sum(q.size for q in state.queues.values()), 0)

    def test_long_prompt_is_deferred_for_one_sent_by_another_daemon(self):
        rows = self.node.state.replicas.pool("m/inspect")
        message = ServerLoads({rows[0].name: (1, 8000)})
        peer = self.node.state.members.rows["burnaby-hall-2"]
        envelope = Envelope(peer.name, peer.incarnation, (message,))
        self.node.handle(ev.PeerMessagesReceived(envelope), NOW_MS)
        self.assertEqual(started_attempts(submit_request(self.node, "b1")), [])

    def test_long_prompt_is_announced_to_region_at_once(self):
        def sent_loads(commands):
            sent = [c for c in commands if isinstance(c, cmd.SendToPeer)]
            return [m for c in sent for m in c.messages if isinstance(m, ServerLoads)]

        self.assertFalse(
            sent_loads(submit_request(self.node, "c1", "field-notes", 600))
        )
        commands = submit_request(self.node, "b1")
        server = started_attempts(commands)[0].server
        self.assertEqual(sent_loads(commands)[0].servers[server][1], 8000)


class TestFairQueueCharges(unittest.TestCase):
    """A workspace must not be charged for requests that were never sent.

    Load: more requests than capacity, so that some expire in the queue.
    """

    def test_request_that_expires_in_the_queue_is_not_charged(self):
        node = make_node()
        for i in range(4):
            submit_request(node, f"b{i}")
        state = node.state
        flow = state.queues["m/inspect"].flows["batch"]["farm-audits"]
        before = (len(flow.requests), flow.start_tag)
        dispatch_all_pools(state, NOW_MS + 200_000)
        self.assertEqual((len(flow.requests), flow.start_tag), (0, before[1]))
        self.assertGreater(before[0], 0)
