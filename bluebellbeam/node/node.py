"""The node: handles events, runs periodic ticks and returns commands.

A node does no I/O and reads no clock. The same code runs in the daemon, in
the scenarios under virtual time and in the benchmarks.
"""

from bluebellbeam.admission import prune_buckets, prune_flows, remove_request
from bluebellbeam.feeds import Delta, Snapshot
from bluebellbeam.node import event as ev
from bluebellbeam.node import message as msg
from bluebellbeam.node.arrivals import (
    admit_charged,
    admit_continued,
    receive_request,
)
from bluebellbeam.node.attempts import (
    handle_attempt_failed,
    handle_attempt_finished,
    handle_attempt_refused,
    handle_attempt_started,
    handle_caller_disconnect,
    handle_stream_progress,
    tick_requests,
)
from bluebellbeam.node.brittle_services import handle_brittle_stated
from bluebellbeam.node.command import Log, SendErrorResponse
from bluebellbeam.node.discovery import handle_announce, handle_member_pull
from bluebellbeam.node.dispatch import (
    dispatch_all_pools,
    dispatch_server_pools,
    fail_request,
)
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.feed_sync import (
    handle_delta,
    handle_feed_pull,
    handle_feed_read,
    handle_feed_read_failed,
    handle_snapshot,
    reconcile_versions,
    tick_feeds,
)
from bluebellbeam.node.forwarding import record_forward_offer
from bluebellbeam.node.gossip import (
    handle_indirect_ack,
    handle_indirect_probe,
    handle_ping,
    handle_pong,
    handle_unreachable_peer,
    record_sender,
    tick_membership,
)
from bluebellbeam.node.lending import (
    handle_lease_request,
    handle_lease_response,
    tick_leases,
)
from bluebellbeam.node.load_exchange import handle_server_loads, tick_load_exchange
from bluebellbeam.node.orders import (
    handle_order_response,
    send_pending_order,
    tick_orders,
)
from bluebellbeam.node.origin_holders import handle_unreachable_holder, tick_holders
from bluebellbeam.node.pause import detect_pause
from bluebellbeam.node.quotas import (
    handle_quota_report,
    handle_token_grant,
    handle_token_request,
    handle_unreachable_ledger,
    tick_quotas,
)
from bluebellbeam.node.reachability import tick_reachability
from bluebellbeam.node.readiness import tick_readiness
from bluebellbeam.node.reconfiguration import apply_config_to_queued
from bluebellbeam.node.regional_load import tick_regional_loads
from bluebellbeam.node.request_quarantine import (
    handle_prompt_evidence,
    record_refused_connection,
    tick_quarantine,
)
from bluebellbeam.node.server_checks import (
    handle_connections_lost,
    handle_health_check,
    handle_leaving_stated,
    handle_load_read_failed,
    handle_load_report,
    handle_malformed_load,
    handle_pause_stated,
    record_lost_server,
    tick_server_checks,
)
from bluebellbeam.node.server_limits import handle_limit_stated
from bluebellbeam.node.shutdown import begin_shutdown, tick_shutdown
from bluebellbeam.node.state import make_node_state
from bluebellbeam.node.stream_origins import (
    handle_origin_query,
    handle_stream_origins,
    handle_unreachable_source,
    tick_lookups,
    tick_versions,
)
from bluebellbeam.node.urgency import reject_all_late
from bluebellbeam.operations import expire_operations, issue_operation
from bluebellbeam.routing import apply_cache_events, prune_leaving
from bluebellbeam.routing.policies import EstimatePolicy

__all__ = ["Node", "make_node"]

SLOW_TICK_INTERVAL_MS = 500
"""Interval of the periodic work that need not run in every tick."""


class Node:
    """The decision logic of one daemon.

    Attributes
    ----------
    state : NodeState
    on_exception : callable or None
        Called with the name of the work and its exception; the other work of an event
        or tick goes on then. Without it, exceptions are raised.
    """

    __slots__ = ("state", "on_exception")

    def __init__(self, state):
        self.state = state
        self.on_exception = None

    def _run(self, name, work, *values):
        """Run one part of the work; return whether it raised no exception."""
        try:
            work(*values)
        except Exception as error:
            if self.on_exception is None:
                raise
            self.state.counters.exceptions += 1
            self.on_exception(name, error)
            return False
        return True

    def handle(self, event, now_ms):
        """Handle `event` and return the resulting commands."""
        state = self.state
        detect_pause(state, now_ms)
        match event:
            case ev.PeerMessagesReceived(envelope, is_response):
                self._handle_peer_messages(envelope, is_response, now_ms)
            case ev.RequestArrived(request):
                if not self._run(
                    "RequestArrived", receive_request, state, request, now_ms
                ):
                    state.emit(
                        SendErrorResponse(request.request_id, make_error("internal"))
                    )
            case _:
                name = type(event).__name__
                self._run(name, _handle_event, state, event, now_ms)
        return _take_commands(state)

    def _handle_peer_messages(self, envelope, is_response, now_ms):
        state = self.state
        accepted = []

        def check_sender():
            accepted.append(record_sender(state, envelope, now_ms, is_response))

        self._run("record_sender", check_sender)
        if not any(accepted):
            return
        for message in envelope.messages:
            self._run(
                type(message).__name__,
                _run_and_apply_config,
                state,
                now_ms,
                _handle_message,
                envelope.sender,
                message,
            )

    def tick(self, now_ms):
        """Run the periodic work once and return the resulting commands."""
        state = self.state
        if state.last_tick_ms is None:
            state.started_ms = now_ms
        detect_pause(state, now_ms)
        state.last_tick_ms = now_ms
        self._run("tick_feeds", tick_feeds, state, now_ms)
        self._run("tick_membership", tick_membership, state, now_ms)
        self._run("tick_requests", tick_requests, state, now_ms)
        self._run("tick_lookups", _tick_lookups, state, now_ms)
        self._run("tick_holders", tick_holders, state, now_ms)
        if state.config is not None:
            self._run("tick_server_checks", tick_server_checks, state, now_ms)
            self._run("tick_reachability", tick_reachability, state)
            self._run("tick_leases", tick_leases, state, now_ms)
            self._run("tick_load_exchange", tick_load_exchange, state, now_ms)
            self._run("tick_quarantine", tick_quarantine, state, now_ms)
            self._run("tick_quotas", _tick_quotas, state, now_ms)
            self._run("tick_regional_loads", tick_regional_loads, state, now_ms)
            self._run("dispatch_all_pools", dispatch_all_pools, state, now_ms)
            self._run("reject_all_late", reject_all_late, state, now_ms)
        self._run("tick_readiness", tick_readiness, state, now_ms)
        self._run("tick_shutdown", tick_shutdown, state, now_ms)
        if now_ms >= state.next_slow_tick_ms:
            state.next_slow_tick_ms = now_ms + SLOW_TICK_INTERVAL_MS
            self._slow_tick(now_ms)
        return _take_commands(state)

    def _slow_tick(self, now_ms):
        state = self.state
        self._run("tick_orders", tick_orders, state, now_ms)
        self._run("expire_operations", expire_operations, state.ledger, now_ms)
        self._run("prune_buckets", prune_buckets, state.rates, now_ms)
        self._run("prune_leaving", prune_leaving, state.replicas)
        self._run("tick_versions", tick_versions, state, now_ms)
        self._run("update_route_budgets", state.update_route_budgets)
        for queue in state.queues.values():
            self._run("prune_flows", prune_flows, queue)

    def issue_operation(self, workspace, now_ms):
        """Return a new operation id, which only this process accepts."""
        ttl_ms = self.state.policy.operation_ttl_ms
        return issue_operation(self.state.ledger, workspace, now_ms, ttl_ms)


def make_node(identity, seed, operation_key, policy=None):
    """Return a node with empty state.

    Parameters
    ----------
    identity : NodeIdentity
    seed : int
        Seed of the random choices.
    operation_key : bytes
        Secret of this process that authenticates operation ids.
    policy : EstimatePolicy or a baseline policy, optional
        Routing policy; :class:`EstimatePolicy` by default.
    """
    state = make_node_state(identity, seed, operation_key)
    state.routing_policy = policy or EstimatePolicy()
    return Node(state)


def _take_commands(state):
    commands = state.pending_commands
    state.pending_commands = []
    return commands


def _tick_lookups(state, now_ms):
    _admit_looked_up(state, tick_lookups(state, now_ms), now_ms)


def _tick_quotas(state, now_ms):
    _admit_charged(state, tick_quotas(state, now_ms), now_ms)


def _admit_looked_up(state, ended, now_ms):
    """Admit the requests whose lookup has ended, each with the origin of its stream."""
    for request, origin in ended:
        admit_continued(state, request, origin, now_ms)


def _admit_charged(state, ended, now_ms):
    """Admit the requests that have waited for tokens, each with its error or None.

    An exception in one of them ends this request only, and is raised after the others.
    """
    failures = []
    for request, error in ended:
        try:
            admit_charged(state, request, error, now_ms)
        except Exception as failure:
            failures.append(failure)
            _end_failed(state, request, now_ms)
    if len(failures) > 1:
        raise ExceptionGroup("admission of requests that waited for tokens", failures)
    if failures:
        raise failures[0]


def _end_failed(state, request, now_ms):
    """Answer a request whose admission raised an exception, unless it has ended."""
    if request.state == "queued" and request.pool in state.queues:
        remove_request(state.queues[request.pool], request)
    fail_request(state, request, make_error("internal"), now_ms)


def _handle_event(state, event, now_ms):
    match event:
        case ev.AttemptStarted():
            handle_attempt_started(state, event, now_ms)
        case ev.StreamProgressed():
            handle_stream_progress(state, event, now_ms)
        case ev.AttemptFinished():
            handle_attempt_finished(state, event, now_ms)
        case ev.AttemptFailed():
            handle_attempt_failed(state, event, now_ms)
        case ev.AttemptRefused():
            handle_attempt_refused(state, event, now_ms)
        case ev.CallerDisconnected():
            handle_caller_disconnect(state, event, now_ms)
        case ev.LoadReported(server):
            handle_load_report(state, event, now_ms)
            send_pending_order(state, server, now_ms)
            dispatch_server_pools(state, server, now_ms)
        case ev.HealthCheckAnswered(server):
            handle_health_check(state, event, now_ms)
            dispatch_server_pools(state, server, now_ms)
        case ev.BrittleStated():
            handle_brittle_stated(state, event, now_ms)
        case ev.LeavingStated():
            handle_leaving_stated(state, event)
        case ev.ConnectionsLost():
            handle_connections_lost(state, event, now_ms)
        case ev.LimitStated():
            handle_limit_stated(state, event, now_ms)
        case ev.LoadMalformed():
            handle_malformed_load(state, event)
        case ev.PauseStated():
            handle_pause_stated(state, event, now_ms)
        case ev.LoadReadFailed(server):
            handle_load_read_failed(state, server, event.incarnation, now_ms)
            if event.refused_connection:
                key = (server, event.incarnation)
                record_refused_connection(state, key, now_ms)
                record_lost_server(state, *key, now_ms)
        case ev.CacheEventsReceived(events):
            apply_cache_events(state.prefixes, events)
        case ev.OrderAnswered():
            handle_order_response(state, event, now_ms)
        case ev.FeedRead(snapshot):
            _run_and_apply_config(state, now_ms, handle_feed_read, snapshot)
        case ev.CapacityOfferReceived():
            record_forward_offer(state, event, now_ms)
        case ev.FeedSourceResponded():
            state.source_response_ms = now_ms
        case ev.FeedReadFailed(key):
            handle_feed_read_failed(state, key, now_ms)
        case ev.PeerUnreachable(vm):
            handle_unreachable_peer(state, vm, now_ms)
            handle_unreachable_holder(state, vm)
            ended = handle_unreachable_source(state, vm, now_ms)
            _admit_looked_up(state, ended, now_ms)
            ended = handle_unreachable_ledger(state, vm, now_ms)
            _admit_charged(state, ended, now_ms)
        case ev.StopRequested():
            begin_shutdown(state, now_ms)
        case _:
            state.emit(Log("node", f"ignore unknown event {type(event).__name__}"))


def _run_and_apply_config(state, now_ms, handler, *values):
    """Run `handler`; if it activates a configuration, apply it to queued requests."""
    before = state.config
    handler(state, *values, now_ms)
    if state.config is not before:
        apply_config_to_queued(state, now_ms)
        dispatch_all_pools(state, now_ms)


def _handle_message(state, sender, message, now_ms):
    match message:
        case msg.Ping(versions):
            handle_ping(state, sender, message, now_ms)
            reconcile_versions(state, sender, versions, now_ms)
        case msg.Pong(versions):
            handle_pong(state, sender, message, now_ms)
            reconcile_versions(state, sender, versions, now_ms)
        case msg.IndirectProbe():
            handle_indirect_probe(state, sender, message, now_ms)
        case msg.IndirectAck():
            handle_indirect_ack(state, message, now_ms)
        case msg.Announce():
            handle_announce(state, sender, message, now_ms)
        case msg.MemberPull():
            handle_member_pull(state, sender, message)
        case msg.ServerLoads():
            handle_server_loads(state, sender, message, now_ms)
        case msg.StreamOrigins():
            ended = handle_stream_origins(state, sender, message, now_ms)
            _admit_looked_up(state, ended, now_ms)
        case msg.TokenRequest():
            handle_token_request(state, sender, message, now_ms)
        case msg.TokenGrant():
            ended = handle_token_grant(state, sender, message, now_ms)
            _admit_charged(state, ended, now_ms)
        case msg.QuotaReport():
            handle_quota_report(state, sender, message, now_ms)
        case msg.PromptEvidence():
            handle_prompt_evidence(state, message, now_ms)
        case msg.OriginQuery():
            handle_origin_query(state, sender, message, now_ms)
        case msg.FeedPull():
            handle_feed_pull(state, sender, message)
        case Delta():
            handle_delta(state, sender, message, now_ms)
        case Snapshot():
            handle_snapshot(state, sender, message, now_ms)
        case msg.LeaseRequest():
            handle_lease_request(state, sender, message, now_ms)
        case msg.LeaseResponse():
            handle_lease_response(state, sender, message, now_ms)
