import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellbeam.node import Request
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import ERRORS, make_error
from bluebellbeam.scenario.faults import start_example_simulation


class NodeCase(unittest.TestCase):
    def setUp(self):
        self.sim = start_example_simulation("fraserleaf", 1)
        self.sim.run_until(8000)
        self.node = self.sim.hosts["burnaby-hall-1"].node
        self.now_ms = 8000

    def arrive(self, **values):
        request = Request("q1", values.pop("workspace", "field-notes"), **values)
        return request, self.node.handle(ev.RequestArrived(request), self.now_ms)

    def error_of(self, commands):
        errors = [c.error for c in commands if isinstance(c, cmd.SendErrorResponse)]
        self.assertEqual(len(errors), 1)
        return errors[0]


class TestArrivals(NodeCase):
    def test_unknown_or_forbidden_targets_are_refused(self):
        cases = (
            ({"model": "nothing"}, "unknown_model"),
            ({"model": "inspect", "workspace": "nobody"}, "not_permitted"),
            ({"model": "inspect-organic"}, "not_permitted"),
            ({"service": "nothing"}, "unknown_service"),
        )
        for values, code in cases:
            _, commands = self.arrive(**values)
            error = self.error_of(commands)
            self.assertEqual((error.code, error.outcome), (code, "not_run"))

    def test_refusal_of_call_without_operation_id_contains_a_usable_id(self):
        values = {"service": "portal", "method": "PUT", "path": "/status/1"}
        _, commands = self.arrive(workspace="certificates", **values)
        error = self.error_of(commands)
        self.assertEqual(error.code, "operation_required")
        _, commands = self.arrive(
            workspace="certificates", operation_id=error.operation_id, **values
        )
        self.assertTrue(any(isinstance(c, cmd.StartAttempt) for c in commands))

    def test_refused_repeat_of_sent_operation_has_outcome_unknown(self):
        values = {"service": "portal", "method": "PUT", "path": "/status/1"}
        issued = self.node.issue_operation("certificates", self.now_ms)
        values |= {"workspace": "certificates", "operation_id": issued}
        self.arrive(**values)
        self.node.state.leaving = True
        _, commands = self.arrive(**values)
        error = self.error_of(commands)
        self.assertEqual((error.code, error.outcome), ("leaving", "unknown"))
        fresh = self.node.issue_operation("certificates", self.now_ms)
        _, commands = self.arrive(**(values | {"operation_id": fresh}))
        self.assertEqual(self.error_of(commands).outcome, "not_run")

    def test_call_without_matching_route_is_not_idempotent(self):
        _, commands = self.arrive(
            workspace="certificates", service="portal", method="PATCH", path="/x"
        )
        self.assertEqual(self.error_of(commands).code, "operation_required")

    def test_request_with_unreachable_deadline_is_refused_with_retry_after(self):
        last = None
        for i in range(400):
            request = Request(f"r{i}", "field-notes", model="inspect")
            request.prompt_tokens = 4000
            request.max_output_tokens = 400
            last = self.node.handle(ev.RequestArrived(request), self.now_ms)
            if any(isinstance(c, cmd.SendErrorResponse) for c in last):
                break
        error = self.error_of(last)
        self.assertEqual(error.code, "deadline_unreachable")
        self.assertEqual(error.outcome, "not_run")
        self.assertGreaterEqual(error.retry_after_ms, 1000)


class TestForwarded(NodeCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.sampled_from(["field-notes", "farm-audits", "okanagan-orchards", "nobody"]),
        st.frozensets(
            st.sampled_from(["lower-mainland", "okanagan", "peace-river", "moon"])
        ),
        st.integers(0, 5),
        st.text(max_size=5),
    )
    def test_forwarded_request_without_lease_is_refused_as_not_run(
        self, workspace, allowed, revision, lease_id
    ):
        request = Request(
            "f1",
            workspace,
            origin="kelowna-hall-1",
            model="inspect",
            allowed=allowed,
            revision=revision,
            lease_id=lease_id,
            deadline_ms=self.now_ms + 5000,
        )
        commands = self.node.handle(ev.RequestArrived(request), self.now_ms)
        started = [c for c in commands if isinstance(c, cmd.StartAttempt)]
        self.assertEqual([c for c in started if c.peer], [])
        self.assertEqual(started, [])
        self.assertEqual(self.error_of(commands).outcome, "not_run")

    def test_newer_revision_is_requested_from_sender_of_refused_request(self):
        request = Request("f2", "field-notes", origin="kelowna-hall-1", model="inspect")
        request.revision = 99
        commands = self.node.handle(ev.RequestArrived(request), self.now_ms)
        self.assertEqual(self.error_of(commands).code, "config_behind")
        sent = [c for c in commands if isinstance(c, cmd.SendToPeer)]
        self.assertEqual([c.vm for c in sent], ["kelowna-hall-1"])


class TestOutcomes(unittest.TestCase):
    def test_errors_of_requests_that_may_have_run_never_have_outcome_not_run(self):
        for code in ERRORS:
            self.assertNotEqual(make_error(code, maybe_sent=True).outcome, "not_run")

    def test_retryable_errors_have_retry_after(self):
        for code, kind in ERRORS.items():
            if kind.retry:
                self.assertGreaterEqual(make_error(code).retry_after_ms, 1000)
