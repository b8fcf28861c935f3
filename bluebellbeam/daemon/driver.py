"""I/O layer that passes events to a node and executes its commands."""

import asyncio

import aiohttp
import msgspec
import structlog

from bluebellbeam.daemon.auth import make_peer_auth
from bluebellbeam.daemon.connection_limit import make_connection_limit
from bluebellbeam.daemon.connection_pool import PEER_MAX_IDLE_MS, make_connection_pool
from bluebellbeam.daemon.exchange import Chunk, End, Head, make_exchange
from bluebellbeam.daemon.native_provider import SERVER_CALL_TIMEOUT_S
from bluebellbeam.daemon.peer_client import post_to_peer
from bluebellbeam.daemon.request_bodies import make_request_bodies
from bluebellbeam.daemon.response_buffers import make_response_buffers
from bluebellbeam.daemon.routed_attempt import run_routed_attempt
from bluebellbeam.daemon.upstream import run_attempt
from bluebellbeam.exception import PeerError, PlatformError, UpstreamError
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.message import Envelope, decode_envelope, encode_envelope
from bluebellbeam.node.retry_after import SHUTDOWN_RETRY_AFTER_MS
from bluebellbeam.provider.records import CacheEvents
from bluebellbeam.utils.clock import monotonic_clock, wall_clock
from bluebellbeam.utils.decoding import decode_json
from bluebellbeam.utils.http_body import CheckedResponse, read_body
from bluebellbeam.utils.http_connector import CheckedConnector

__all__ = ["Driver", "make_driver"]

TICK_INTERVAL_MS = 50
"""Interval at which the node evaluates its timers."""

LATE_TICK_MS = 500
"""Shortest delay of a tick that is logged. Callers wait a second for a connection."""

MAX_CACHE_EVENTS_BYTES = 16 * 1024 * 1024
"""Largest list of cache events that is read."""

MAX_ORDER_BODY_BYTES = 64 * 1024
"""Largest response to an order that is read."""

MESSAGES_PATH = "/peer/v1/messages"
SWEEP_INTERVAL_S = 1.0
"""Interval at which expired idle connections are closed and the limits of callers are
applied."""


_NO_FIELDS = {}


class Driver:
    """Connects a node, which does no I/O itself, to the network and the clock.

    Attributes
    ----------
    node : Node
    settings : Settings
    clock : Clock
        Monotonic clock; the source of every time passed to the node.
    provider : NativeProvider or Platform
        Source of the configuration and of the list of backend servers.
    session : aiohttp.ClientSession
        Session with shared connections, for calls that may be retried.
    auth : PeerAuth or NullPeerAuth
        Authentication of messages between daemons.
    connection_limit : ConnectionLimit
        Connections that the listeners have accepted.
    connection_pool : ConnectionPool
        Connections of routed requests.
    request_bodies : RequestBodies
        Memory of the bodies of routed requests.
    response_buffers : ResponseBuffers
        Memory of full responses to routed requests.
    peer_connections : ConnectionPool
        Connections of messages to peers.
    routed_id_counter : int
        Number of ids of routed requests that have been given a suffix, because
        another open request had the same id.
    exchanges : dict of str to Exchange
        Open requests by request id.
    attempts : dict of int to asyncio.Task
        Running upstream attempts by attempt id.
    tasks : set of asyncio.Task
        Background tasks, cancelled by :meth:`close`.
    outbox : dict of (str, str) to list of Message
        Messages of this turn of the event loop, by name and address of the peer.
    stopped : asyncio.Event
        Set when the node has shut down.
    peer_bytes_sent, peer_bytes_received : int
        Total size of the messages exchanged with peers, without their HTTP headers.
    max_tick_delay_ms : int
        Longest time by which the event loop has delayed a tick.
    flush_logs : callable
        Writes buffered log lines as far as their reader accepts them.
    on_caller_limits : callable or None
        Called with the `CallerLimits` of the current configuration every
        `SWEEP_INTERVAL_S`.
    observe_first_token : callable or None
        Called with the kind of a request and the seconds from its arrival to the
        first byte of its response.
    """

    __slots__ = (
        "node",
        "settings",
        "clock",
        "auth",
        "provider",
        "session",
        "connection_limit",
        "connection_pool",
        "request_bodies",
        "response_buffers",
        "peer_connections",
        "routed_id_counter",
        "exchanges",
        "attempts",
        "tasks",
        "outbox",
        "stopped",
        "log",
        "peer_bytes_sent",
        "peer_bytes_received",
        "max_tick_delay_ms",
        "observe_first_token",
        "flush_logs",
        "on_caller_limits",
    )

    def __init__(self, node, settings, provider, clock):
        self.node = node
        self.settings = settings
        self.provider = provider
        self.clock = clock
        self.connection_limit = make_connection_limit(clock, settings.vm)
        self.connection_pool = make_connection_pool(clock)
        self.connection_pool.on_all_lost = self._handle_all_lost
        self.request_bodies = make_request_bodies()
        self.response_buffers = make_response_buffers()
        self.peer_connections = make_connection_pool(clock, PEER_MAX_IDLE_MS)
        self.routed_id_counter = 0
        self.auth = make_peer_auth(settings.peer_key, wall_clock())
        self.session = None
        self.exchanges = {}
        self.attempts = {}
        self.tasks = set()
        self.outbox = {}
        self.stopped = asyncio.Event()
        self.log = structlog.get_logger()
        self.peer_bytes_sent = 0
        self.peer_bytes_received = 0
        self.max_tick_delay_ms = 0
        self.observe_first_token = None
        self.flush_logs = _no_flush
        self.on_caller_limits = None
        node.on_exception = self._log_exception

    async def open(self):
        """Open the HTTP clients and start the background tasks.

        Has to be called inside the running event loop.
        """
        pool = CheckedConnector(limit=0, keepalive_timeout=30)
        self.session = aiohttp.ClientSession(
            connector=pool,
            response_class=CheckedResponse,
            auto_decompress=False,
            read_bufsize=2**17,
        )
        self.provider.open(self.session, self._on_source_response)
        self._spawn(self._run_ticks())
        self._spawn(self._sweep_connections())
        self._spawn(self._poll_cache_events())

    async def close(self):
        """Cancel all tasks and close the HTTP clients."""
        for task in [*self.tasks, *self.attempts.values()]:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.connection_pool.close()
        self.peer_connections.close()
        self.provider.close()
        await self.session.close()

    def _log_exception(self, work, error):
        """Log an unexpected exception at a boundary, which ends no task."""
        self.log.error(
            "node: unexpected exception",
            vm=self.settings.vm,
            work=work,
            type=type(error).__name__,
            exc_info=error,
        )

    def _record_exception(self, work, error):
        """Count and log an unexpected exception of a background task."""
        self.node.state.counters.exceptions += 1
        self._log_exception(work, error)

    def _on_source_response(self):
        self.handle(ev.FeedSourceResponded())

    def handle(self, event):
        """Pass an event to the node and execute the resulting commands."""
        commands = self.node.handle(event, self.clock.now_ms())
        self._execute(commands)

    def accept(self, request, payload, headers, query, body):
        """Pass a new request to the node; return its :class:`Exchange`."""
        exchange = make_exchange(
            request, payload, headers, query, body, self.clock.now_ms()
        )
        self._accept(exchange)
        return exchange

    def _accept(self, exchange):
        """Pass the request of an exchange to the node, unless that has ended."""
        self.exchanges[exchange.request.request_id] = exchange
        if self.stopped.is_set():
            retry_ms = SHUTDOWN_RETRY_AFTER_MS
            exchange.fail(make_error("leaving", retry_after_ms=retry_ms))
            return
        self.handle(ev.RequestArrived(exchange.request))

    @property
    def codec(self):
        """Codec of the headers of routed requests."""
        return self.provider.codec

    def new_routed_id(self, attempt_key):
        """Return an id for a routed request that no open request has.

        It is the caller's `attempt_key`, with a numbered suffix if that is in use.
        """
        if attempt_key not in self.exchanges:
            return attempt_key
        self.routed_id_counter += 1
        return f"{attempt_key}#{self.routed_id_counter}"

    def accept_routed(self, exchange):
        """Pass a new routed request to the node."""
        self._accept(exchange)

    def record_first_token(self, request):
        """Record the time from the arrival of `request` to its first response byte."""
        exchange = self.exchanges.get(request.request_id)
        if exchange is None or self.observe_first_token is None:
            return
        if request.route is not None:
            kind = request.route.kind
        else:
            kind = "service" if request.service else request.priority
        took_ms = self.clock.now_ms() - exchange.arrived_ms
        self.observe_first_token(kind, took_ms / 1000.0)

    def release(self, request_id):
        """Drop a request after its response was sent or its caller disconnected.

        A request that is still open at the node is cancelled there.
        """
        exchange = self.exchanges.pop(request_id, None)
        if exchange is not None and request_id in self.node.state.requests:
            self.handle(ev.CallerDisconnected(request_id))

    def receive_messages(self, raw, sender):
        """Handle messages of a peer; return the encoded response.

        Raises
        ------
        PeerError
            If the messages cannot be decoded or name another sender.
        """
        self.peer_bytes_received += len(raw)
        envelope = _decode(raw)
        if envelope.sender != sender:
            raise PeerError("the envelope names another sender")
        commands = self.node.handle(
            ev.PeerMessagesReceived(envelope), self.clock.now_ms()
        )
        responses, rest = _split_responses(commands, sender)
        self._execute(rest)
        return encode_envelope(self._envelope(responses))

    def _envelope(self, messages):
        own = self.node.state.identity
        return Envelope(own.vm, own.incarnation, tuple(messages))

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    def _end_task(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._record_exception(task.get_coro().__name__, task.exception())

    async def _run_ticks(self):
        while not self.stopped.is_set():
            try:
                self._execute(self.node.tick(self.clock.now_ms()))
                self.flush_logs()
            except Exception as error:
                self._record_exception("run_ticks", error)
            slept_from_ms = self.clock.now_ms()
            await asyncio.sleep(TICK_INTERVAL_MS / 1000.0)
            slept_ms = self.clock.now_ms() - slept_from_ms
            self._record_tick_delay(slept_ms - TICK_INTERVAL_MS)

    def _record_tick_delay(self, delay_ms):
        """Record by how much the event loop has delayed a tick; log a long delay."""
        self.max_tick_delay_ms = max(self.max_tick_delay_ms, delay_ms)
        if delay_ms >= LATE_TICK_MS:
            fields = {"delay_ms": delay_ms, "limit_ms": LATE_TICK_MS}
            self._log("node", "the event loop delayed a tick", fields=fields)

    async def _sweep_connections(self):
        while not self.stopped.is_set():
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                self._sweep()
            except Exception as error:
                self._record_exception("sweep_connections", error)

    def _sweep(self):
        state = self.node.state
        known = {(row.name, row.incarnation) for row in _replica_rows(state)}
        known.update((name, 0) for name in state.members.rows)
        self.connection_pool.sweep(known)
        self.peer_connections.sweep()
        if self.on_caller_limits is not None and state.config is not None:
            self.on_caller_limits(state.base.caller_limits)

    async def _poll_cache_events(self):
        while not self.stopped.is_set():
            interval_ms = self.node.state.policy.load_interval_ms
            await asyncio.sleep(interval_ms * 2 / 1000.0)
            try:
                self._request_cache_events()
            except Exception as error:
                self._record_exception("poll_cache_events", error)

    def _request_cache_events(self):
        for row in _replica_rows(self.node.state):
            if row.role == "engine" and row.identified:
                self._spawn(self._read_cache_events(row.address))

    def _execute(self, commands):
        for command in commands:
            try:
                self._execute_one(command)
            except Exception as error:
                self._record_exception(type(command).__name__, error)

    def _execute_one(self, command):
        match command:
            case cmd.StartAttempt():
                self._start_attempt(command)
            case cmd.CancelAttempt(attempt_id):
                task = self.attempts.get(attempt_id)
                if task is not None and task is not asyncio.current_task():
                    task.cancel()
            case cmd.SendErrorResponse(request_id, error):
                self._send_error_response(request_id, error)
            case cmd.SendRecordedResponse(request_id, recorded):
                self._send_recorded_response(request_id, recorded)
            # Without an address, messages can only be sent in a response, and
            # this is not one.
            case cmd.SendToPeer(address=""):
                return
            case cmd.SendToPeer():
                self._queue_for_peer(command)
            case cmd.ReadFeed():
                self._spawn(self._read_feed(command))
            case cmd.ReadLoad():
                self._spawn(self._read_load(command))
            case cmd.SendOrder():
                self._spawn(self._send_order(command))
            case cmd.Log(part, sentence, request_id, fields):
                self._log(part, sentence, request_id, fields)
            case cmd.Exit():
                self.stopped.set()

    def _log(self, part, sentence, request_id="", fields=_NO_FIELDS):
        values = {"request_id": request_id, **fields} if request_id else fields
        self.log.info(f"{part}: {sentence}", vm=self.settings.vm, **values)

    def _start_attempt(self, command):
        routed = command.request.route is not None
        run = run_routed_attempt if routed else run_attempt
        task = asyncio.get_running_loop().create_task(run(self, command))
        self.attempts[command.attempt_id] = task
        task.add_done_callback(lambda _: self.attempts.pop(command.attempt_id, None))

    def _send_error_response(self, request_id, error):
        exchange = self.exchanges.get(request_id)
        if exchange is not None:
            exchange.fail(error)

    def _send_recorded_response(self, request_id, recorded):
        exchange = self.exchanges.get(request_id)
        if exchange is not None:
            head = Head(recorded.status, recorded.headers)
            exchange.replay((head, Chunk((recorded.payload,)), End()))

    def _queue_for_peer(self, command):
        """Send messages to a peer, with all others of this turn of the event loop.

        After a burst of events, a post for each message would take longer than the
        callers need to get what the messages tell.
        """
        key = (command.vm, command.address)
        if key in self.outbox:
            self.outbox[key].extend(command.messages)
            return
        self.outbox[key] = list(command.messages)
        self._spawn(self._send_peer(*key))

    async def _send_peer(self, vm, address):
        messages = self.outbox.pop((vm, address))
        raw = encode_envelope(self._envelope(messages))
        header = self.auth.sign(MESSAGES_PATH, self.settings.vm, raw)
        self.peer_bytes_sent += len(raw)
        try:
            response = await post_to_peer(
                self.peer_connections, address, MESSAGES_PATH, header, raw
            )
            if response.status != 200:
                raise PeerError(f"status {response.status}")
            self.auth.verify_response(header, response.signature, response.payload)
            envelope = _decode(response.payload)
        except (TimeoutError, UpstreamError):
            if vm:
                self.handle(ev.PeerUnreachable(vm))
            return
        except PeerError as error:
            self._log("peer", f"ignore the response of a peer: {error}")
            return
        self.peer_bytes_received += len(response.payload)
        self.handle(ev.PeerMessagesReceived(envelope, answer=True))

    async def _read_feed(self, command):
        client = self.provider.feed_client(command.key)
        try:
            snapshot = await client.read(
                command.key, command.after_version, command.wait
            )
        except PlatformError as error:
            self.handle(ev.FeedReadFailed(command.key, str(error)))
            return
        except Exception as error:
            self._record_exception("read_feed", error)
            self.handle(ev.FeedReadFailed(command.key, type(error).__name__))
            return
        self.handle(ev.FeedRead(snapshot))

    def _handle_all_lost(self, key):
        self.handle(ev.ConnectionsLost(*key))

    async def _read_load(self, command):
        try:
            event = await self.provider.poll_server(self.session, command)
        except Exception as error:
            self._record_exception("read_load", error)
            event = ev.LoadReadFailed(command.server, command.incarnation)
        self.handle(event)

    async def _read_cache_events(self, address):
        try:
            raw = await self._get(f"http://{address}/cache-events")
            events = decode_json(raw, CacheEvents | None)
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            return
        if events is not None:
            self.handle(ev.CacheEventsReceived(events))

    async def _get(self, url):
        timeout = aiohttp.ClientTimeout(total=SERVER_CALL_TIMEOUT_S)
        async with self.session.get(
            url, timeout=timeout, allow_redirects=False
        ) as response:
            raw = await read_body(response, MAX_CACHE_EVENTS_BYTES)
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            return raw

    async def _send_order(self, command):
        server = command.order.server
        if self.clock.now_ms() >= command.expires_ms:
            self.handle(ev.OrderAnswered(server, False, "expired before it was sent"))
            return
        url = f"http://{command.address}/orders"
        timeout = aiohttp.ClientTimeout(total=SERVER_CALL_TIMEOUT_S)
        try:
            async with self.session.post(
                url,
                data=msgspec.json.encode(command.order),
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                raw = await read_body(response, MAX_ORDER_BODY_BYTES)
                text = raw.decode(errors="replace")
                accepted = response.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError):
            text, accepted = "no response", False
        self.handle(ev.OrderAnswered(server, accepted, text))


def _decode(raw):
    try:
        return decode_envelope(raw)
    except msgspec.DecodeError as error:
        raise PeerError("the messages cannot be decoded") from error


def _split_responses(commands, sender):
    """Return the messages that respond to `sender`, and all other commands."""
    responses = []
    rest = []
    for command in commands:
        if isinstance(command, cmd.SendToPeer) and command.vm == sender:
            responses.extend(command.messages)
        else:
            rest.append(command)
    return responses, rest


def _no_flush():
    """Do nothing; log lines are not buffered by default."""


def _replica_rows(state):
    return list(state.replicas.rows.values())


def make_driver(node, settings, provider, clock=None):
    """Return a driver, to be started by :meth:`Driver.open` in the running loop."""
    return Driver(node, settings, provider, clock or monotonic_clock())
