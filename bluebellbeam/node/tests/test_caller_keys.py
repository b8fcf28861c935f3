import hashlib
import unittest

from bluebellbeam.config import split_documents
from bluebellbeam.node import Request, dump_state, explain_request
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.caller_keys import MAX_REVOKED_KEYS, largest_workspaces
from bluebellbeam.node.routed import key_workspace
from bluebellbeam.node.tests.harness import (
    Harness,
    final_errors,
    make_base,
    server,
    started_attempts,
)
from bluebellbeam.node.urgency import request_urgency


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def keyed_base(**workspaces):
    """Return a base whose routes need a key, except ``/open/``.

    Parameters
    ----------
    **workspaces : dict
        Fields of workspaces; the key of each is its name.
    """
    base = make_base()
    for route in base["routes"]:
        route["workspace"] = ""
    opened = base["routes"][0] | {"path_prefix": "/open/", "name": "open"}
    base["routes"].append(opened | {"anonymous": True, "workspace": "all"})
    for name, fields in workspaces.items():
        base["workspaces"][name] = {
            "allowed_regions": ["east", "west"],
            "key_digests": [digest(name)],
            **fields,
        }
    return base


class KeyedCase(unittest.TestCase):
    def setUp(self):
        self.harness = Harness(base=keyed_base(acme={}, birch={"urgency": 2}))
        self.harness.publish_servers(server("s1", slots=20), server("s2", slots=20))

    def send(self, key, path="/p/x", request_id="r1", **values):
        values.setdefault("key_digest", digest(key) if key else "")
        return self.harness.send_request(path, request_id, **values)

    def forward(self, workspace, path="/p/x", request_id="f1", **values):
        """Deliver the forward of a request by a daemon of the other region.

        By default its configuration is the one of this daemon.
        """
        values.setdefault("revision", self.harness.state.config.revision)
        entity = Request(
            request_id,
            workspace,
            origin="vm-9",
            host="a.example",
            path=path,
            attempt_key=request_id,
            response_deadline_ms=self.harness.now_ms + 2000,
            allowed=frozenset(("east", "west")),
            **values,
        )
        return self.harness.handle(ev.RequestArrived(entity))

    def codes(self, commands):
        return [error.code for error in final_errors(commands)]


class TestKeyLookup(KeyedCase):
    def test_request_gets_the_workspace_of_its_key(self):
        for name in ("acme", "birch"):
            attempt = started_attempts(self.send(name, request_id=name))[0]
            self.assertEqual(attempt.request.workspace, name)

    def test_unknown_key_is_rejected_and_an_unknown_path_is_not_found(self):
        for i, key in enumerate(("", "none")):
            error = final_errors(self.send(key, request_id=f"r{i}"))[0]
            found = (error.code, error.status, error.outcome)
            self.assertEqual(found, ("unknown_key", 401, "not_run"))
        self.assertEqual(self.codes(self.send("", "/none/", "r9")), ["not_found"])

    def test_anonymous_route_uses_a_known_key_and_needs_none(self):
        for key, name in (("", "all"), ("none", "all"), ("acme", "acme")):
            commands = self.send(key, "/open/1", f"r-{key}")
            self.assertEqual(started_attempts(commands)[0].request.workspace, name)

    def test_revoked_key_is_counted_and_logged_with_its_workspace(self):
        self.send("acme")
        parts = split_documents(keyed_base(birch={}), {})
        self.harness.publish("config", parts)
        commands = self.send("acme", request_id="r2")
        self.assertEqual(self.codes(commands), ["unknown_key"])
        logs = [c for c in commands if isinstance(c, cmd.Log)]
        fields = logs[0].fields
        self.assertEqual((fields["key"], fields["workspace"]), ("revoked", "acme"))
        self.assertNotIn(digest("acme"), repr(logs))
        counters = self.harness.state.counters
        self.assertEqual(counters.rejected_keys, {"revoked": 1})
        self.harness.publish("config", split_documents(keyed_base(acme={}), {}))
        self.assertEqual(self.codes(self.send("acme", request_id="r3")), [])
        self.assertEqual(self.harness.state.revoked_keys, {digest("birch"): "birch"})

    def test_number_of_revoked_keys_kept_is_bounded(self):
        """Guards against memory that grows with each change of keys."""
        keys = [digest(str(i)) for i in range(MAX_REVOKED_KEYS + 5)]
        base = keyed_base(acme={"key_digests": keys})
        self.harness.publish("config", split_documents(base, {}))
        self.harness.publish("config", split_documents(keyed_base(acme={}), {}))
        self.assertEqual(len(self.harness.state.revoked_keys), MAX_REVOKED_KEYS)

    def test_key_of_two_workspaces_is_refused_and_the_last_revision_stays(self):
        same = {"key_digests": [digest("acme")]}
        base = keyed_base(acme={}, other=same)
        self.harness.publish("config", split_documents(base, {}))
        self.assertEqual(self.harness.state.config.revision, 1)
        reason = self.harness.state.feeds["config"].refused_reason
        self.assertIn("also belongs to workspace", reason)
        self.assertNotIn(digest("acme"), reason)


class TestKeyWorkspace(KeyedCase):
    def test_only_a_workspace_from_a_key_is_named_to_servers(self):
        """Guards against a caller without a key that is reported as a tenant."""
        for key, path, name in (
            ("acme", "/p/x", "acme"),
            ("acme", "/open/x", "acme"),
            ("", "/open/x", ""),
        ):
            commands = self.send(key, path, f"{key}{path}")
            request = started_attempts(commands)[0].request
            self.assertEqual(key_workspace(request), name)
        request = started_attempts(self.forward("birch"))[0].request
        self.assertEqual(key_workspace(request), "birch")

    def test_request_that_waits_while_the_first_keys_arrive(self):
        """Guards against the name of the shared workspace as that of a tenant."""
        harness = self.harness = Harness()
        harness.publish_servers(server("s1", slots=1))
        quick = started_attempts(self.send(""))[0]
        harness.now_ms += 40
        harness.handle(ev.AttemptFinished(quick.attempt_id))
        for i in range(3):
            self.send("", request_id=f"q{i}")
        harness.publish("config", split_documents(keyed_base(acme={}), {}))
        queued = [r for r in harness.state.requests.values() if r.state == "queued"]
        self.assertTrue(queued)
        self.assertEqual({key_workspace(request) for request in queued}, {""})


class TestForwards(KeyedCase):
    def test_forwarded_workspace_is_validated(self):
        """Guards against a forward that runs for a removed or invented workspace."""
        attempt = started_attempts(self.forward("acme"))[0]
        self.assertEqual(attempt.request.workspace, "acme")
        for i, name in enumerate(("nobody", "")):
            commands = self.forward(name, request_id=f"f{i}")
            self.assertEqual(self.codes(commands), ["unknown_key"])
        attempt = started_attempts(self.forward("", "/open/1", "f7"))[0]
        self.assertEqual(attempt.request.workspace, "all")

    def test_key_of_a_forwarded_request_is_not_looked_up(self):
        commands = self.forward("", key_digest=digest("acme"))
        self.assertEqual(self.codes(commands), ["unknown_key"])

    def test_workspace_of_a_newer_configuration_makes_this_daemon_pull_it(self):
        """Guards against a rejection of a tenant that was just added."""
        commands = self.forward("new", revision=9)
        self.assertEqual(self.codes(commands), ["config_behind"])

    def test_forward_of_a_daemon_whose_configuration_has_keys_still(self):
        """Guards against an error while keys are removed from a configuration."""
        self.harness.publish("config", split_documents(make_base(), {}))
        attempt = started_attempts(self.forward("acme", revision=1))[0]
        self.assertEqual(attempt.request.workspace, "all")


class TestRegions(KeyedCase):
    def make(self, homes):
        harness = Harness(base=keyed_base(acme={"home_regions": homes}))
        harness.publish_servers(server("s1", slots=1), server("e1", "llm"))
        harness.announce_peer("vm-9")
        self.harness = harness

    def test_request_runs_only_where_workspace_and_route_permit(self):
        """Guards against data of a tenant in a region outside its home regions."""
        for homes, path, allowed in (
            (["east"], "/p/x", {"east"}),
            ([], "/p/x", {"east", "west"}),
            (["east", "west"], "/c/x", {"east"}),
        ):
            self.make(homes)
            attempt = started_attempts(self.send("acme", path))[0]
            self.assertEqual(set(attempt.request.allowed), allowed)
        self.make(["west"])
        codes = self.codes(self.send("acme", "/c/x"))
        self.assertEqual(codes, ["region_not_permitted"])

    def test_receiver_of_a_forward_applies_its_own_home_regions(self):
        self.make(["west"])
        codes = self.codes(self.forward("acme"))
        self.assertEqual(codes, ["region_not_permitted"])

    def queue_requests(self):
        """Let the only server run one request while others are queued."""
        self.make([])
        quick = started_attempts(self.send("acme"))[0]
        self.harness.now_ms += 40
        self.harness.handle(ev.AttemptFinished(quick.attempt_id))
        self.harness.state.members.rows.clear()
        for i in range(3):
            self.send("acme", request_id=f"q{i}")
        self.harness.commands.clear()

    def test_further_attempts_follow_new_home_regions(self):
        """Guards against a second attempt in a region that is no longer permitted."""
        harness = Harness(base=keyed_base(acme={}))
        harness.publish_servers(server("s1"), server("s2"))
        request = {"key_digest": digest("acme"), "path": "/o/x"}
        first = started_attempts(harness.send_request(request_id="h1", **request))[0]
        base = keyed_base(acme={"home_regions": ["west"]})
        harness.publish("config", split_documents(base, {}))
        commands = harness.fail_attempt(first.attempt_id, sent=False)
        self.assertEqual(started_attempts(commands), [])
        error = final_errors(commands)[0]
        self.assertEqual(error.outcome, "not_run")

    def test_queued_request_follows_new_home_regions(self):
        self.queue_requests()
        queued = [
            r for r in self.harness.state.requests.values() if r.state == "queued"
        ]
        base = keyed_base(acme={"home_regions": ["east"]})
        self.harness.publish("config", split_documents(base, {}))
        self.assertTrue(queued)
        for request in queued:
            self.assertEqual(set(request.allowed), {"east"})

    def test_queued_request_follows_a_route_that_needs_no_key_any_longer(self):
        """Guards against errors for waiting callers when all tenants are removed."""
        self.queue_requests()
        queued = [
            r for r in self.harness.state.requests.values() if r.state == "queued"
        ]
        self.harness.publish("config", split_documents(make_base(), {}))
        self.assertEqual(self.codes(self.harness.commands), [])
        self.assertTrue(queued)
        for request in queued:
            self.assertEqual((request.workspace, key_workspace(request)), ("all", ""))
            self.assertIn(
                request,
                self.harness.state.queues[request.pool]
                .flows[request.priority]["all"]
                .requests,
            )

    def test_queued_request_keeps_its_workspace_when_its_key_is_revoked(self):
        """Guards against 401 for requests that were sent before the revocation."""
        self.queue_requests()
        base = keyed_base(acme={"key_digests": [digest("other")]})
        self.harness.publish("config", split_documents(base, {}))
        self.assertEqual(self.codes(self.harness.commands), [])

    def test_queued_request_of_a_removed_workspace_fails_and_a_running_one_not(self):
        """Guards against an exception for a request without a workspace."""
        self.queue_requests()
        running = list(self.harness.state.attempts)
        self.harness.publish("config", split_documents(keyed_base(), {}))
        self.assertEqual(set(self.codes(self.harness.commands)), {"unknown_key"})
        self.harness.commands.clear()
        self.harness.fail_attempt(running[0], sent=False)
        self.harness.tick(3000)
        self.assertNotIn("internal", self.codes(self.harness.commands))


class TestUrgency(KeyedCase):
    def test_order_is_workspace_then_route(self):
        base = self.harness.state.base
        found = []
        for i, (key, path) in enumerate((("acme", "/p/x"), ("birch", "/p/x"))):
            attempt = started_attempts(self.send(key, path, f"r{i}"))[0]
            found.append(request_urgency(base, attempt.request))
        # Workspace acme has no urgency, so it ranks after that of birch.
        self.assertEqual(found, [(3, 0), (2, 0)])

    def test_without_any_urgency_all_workspaces_are_equal(self):
        harness = self.harness = Harness(base=keyed_base(acme={}))
        harness.publish_servers(server("s1"))
        attempt = started_attempts(self.send("acme"))[0]
        self.assertEqual(request_urgency(harness.state.base, attempt.request), (0, 0))


class TestOperators(KeyedCase):
    def test_dump_and_explanation_name_the_workspace(self):
        self.send("acme")
        self.send("none", request_id="r2")
        tables = dump_state(self.harness.state, self.harness.now_ms)
        rows = {row.workspace: row for row in tables["workspaces"]}
        self.assertEqual((rows["acme"].requests, rows["acme"].open), (1, 1))
        self.assertEqual((rows["birch"].requests, rows["birch"].urgency), (0, 2))
        counters = {row.name: row.total for row in tables["counters"]}
        self.assertEqual(counters["rejected_key_unknown"], 1)
        steps = explain_request(self.harness.state, "r1")
        self.assertEqual((steps[0].kind, steps[0].detail), ("workspace", ("acme",)))
        self.assertNotIn(digest("acme"), repr(tables))

    def test_without_keys_dump_and_explanation_are_as_before(self):
        harness = self.harness = Harness()
        harness.publish_servers(server("s1"))
        self.send("acme")
        tables = dump_state(harness.state, harness.now_ms)
        self.assertEqual(tables["workspaces"], [])
        names = {row.name for row in tables["counters"]}
        self.assertNotIn("rejected_keys", names)
        steps = explain_request(harness.state, "r1")
        self.assertNotIn("workspace", {step.kind for step in steps})

    def test_only_the_largest_workspaces_are_named(self):
        state = self.harness.state
        state.workspace_requests = {f"w{i:02}": 100 - i for i in range(40)}
        largest, others = largest_workspaces(state, 32)
        self.assertEqual([name for name, _ in largest], [f"w{i:02}" for i in range(32)])
        self.assertEqual(others, sum(100 - i for i in range(32, 40)))
