import asyncio
import socket
import struct
import threading
import time
import unittest
from unittest import mock

import uvloop

from bluebellbeam.daemon.connection import (
    UpstreamConnection,
    UpstreamConnectionError,
    encode_request,
    open_upstream_connection,
)
from bluebellbeam.daemon.connection_pool import make_connection_pool
from bluebellbeam.daemon.receive_turns import make_receive_turns
from bluebellbeam.utils.clock import manual_clock

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class ScriptedServer:
    """A server that responds to each request with the next byte string."""

    def __init__(self, responses):
        self.responses = list(responses)
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while self.responses:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self.responses.pop(0))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            return
        writer.close()


async def send_to_scripted(case, responses):
    """Return a connection to a new scripted server, with a request sent."""
    scripted = ScriptedServer(responses)
    server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
    case.addCleanup(server.close)
    host, port = server.sockets[0].getsockname()
    connection = await open_upstream_connection("s", f"{host}:{port}", 1000)
    case.addCleanup(connection.close)
    connection.send("GET", REQUEST, b"")
    return connection


def survives_silence(options, start_ms, silence_ms):
    """Return whether an idle connection outlives a silence of its remote host.

    By the rules of the Linux kernel: with a user timeout, the number of probes does
    not matter.

    Parameters
    ----------
    options : tuple of int
        Idle time before the first probe, interval of the probes and user timeout, in
        ms.
    start_ms, silence_ms : int
        Start of the silence after the last byte, and its length.
    """
    idle_ms, interval_ms, user_timeout_ms = options
    received_ms = unanswered = 0
    now_ms = idle_ms
    while now_ms <= start_ms + silence_ms + idle_ms:
        if unanswered and now_ms - received_ms >= user_timeout_ms:
            return False
        if start_ms <= now_ms < start_ms + silence_ms:
            unanswered += 1
            now_ms += interval_ms
        else:
            received_ms, unanswered = now_ms, 0
            now_ms += idle_ms
    return True


class TestTurnsAfterAnException(unittest.IsolatedAsyncioTestCase):
    """Guards against connections that wait for ever behind one that failed."""

    async def test_others_go_on(self):
        handled = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: handled.append(context))
        turns = make_receive_turns()
        parsed = []
        turns.add(lambda: 1 / 0)
        turns.add(lambda: parsed.append(1) or len(parsed) < 40)
        await asyncio.sleep(0.05)
        self.assertEqual((len(parsed), len(handled)), (40, 1))


class TestFieldsBesideTheHead(unittest.IsolatedAsyncioTestCase):
    """Guards against fields that count as headers depending on how bytes arrive."""

    async def read_headers(self, raw):
        connection = await send_to_scripted(self, [raw])
        await connection.read_head()
        body = await connection.read_all(1000)
        return connection.status, dict(connection.headers), body

    async def test_trailer_fields_are_no_headers(self):
        raw = (
            b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n0\r\nX-Outcome: 1\r\nConnection: close\r\n\r\n"
        )
        headers = {"transfer-encoding": "chunked"}
        self.assertEqual(await self.read_headers(raw), (500, headers, b"a"))

    async def test_fields_of_interim_responses_are_no_headers(self):
        raw = (
            b"HTTP/1.1 103 X\r\nX-Outcome: 1\r\n\r\n"
            b"HTTP/1.1 503 X\r\nContent-Length: 1\r\n\r\na"
        )
        headers = {"content-length": "1"}
        self.assertEqual(await self.read_headers(raw), (503, headers, b"a"))


class TestResponseInSeveralTurns(unittest.IsolatedAsyncioTestCase):
    """Guards against bytes that are lost or accepted between two turns of parsing."""

    async def open(self, raw):
        connection = await send_to_scripted(self, [raw, raw])
        await connection.read_head()
        return connection

    async def test_large_response_is_whole_and_its_connection_reused(self):
        body = bytes(range(256)) * 2000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        connection = await self.open(head + body)
        for _ in range(2):
            self.assertEqual(await connection.read_all(len(body)), body)
            connection.finish(0)
            self.assertTrue(connection.is_reusable)
            connection.send("GET", REQUEST, b"")

    async def test_bytes_behind_a_large_response_bar_its_connection(self):
        body = b"x" * 10_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n"
        for extra in (b"y", head + body):
            connection = await self.open(head + body + extra)
            self.assertEqual(await connection.read_all(10_000), body)
            connection.finish(0)
            await asyncio.sleep(0.05)
            self.assertFalse(connection.is_reusable)


class ClosingTransport(mock.Mock):
    """Transport that the remote host has closed, before its protocol is told."""

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return True


class TestReadBeforeTheLoss(unittest.IsolatedAsyncioTestCase):
    """Guards against a whole response that is taken for cut while it is read."""

    async def test_response_without_a_length_is_whole_once_its_close_is_known(self):
        connection = UpstreamConnection("s", make_receive_turns())
        connection.connection_made(ClosingTransport())
        connection.send("GET", REQUEST, b"")
        connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nhi")
        connection.eof_received()
        await connection.read_head()
        read = asyncio.ensure_future(connection.read_all(10))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        connection.connection_lost(None)
        self.assertEqual(await read, b"hi")


class TestStatusOfAResponse(unittest.IsolatedAsyncioTestCase):
    """Guards against a status that is taken for an interim one or passed on."""

    async def read_status(self, raw):
        connection = await send_to_scripted(self, [raw])
        async with asyncio.timeout(2):
            await connection.read_head()
            await connection.read_all(10)
        return connection.status

    async def test_status_outside_the_valid_range_fails_at_once(self):
        for status in ("000", "001", "020", "099", "600", "999"):
            raw = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()
            with self.subTest(status), self.assertRaises(UpstreamConnectionError):
                await self.read_status(raw)

    async def test_interim_responses_are_skipped(self):
        for interim in ("100", "103", "199"):
            raw = f"HTTP/1.1 {interim} X\r\n\r\n".encode()
            raw += b"HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n"
            self.assertEqual(await self.read_status(raw), 599)


class TestEndDuringAnUpload(unittest.TestCase):
    """Guards against part of an early response that is taken for the whole."""

    RECEIVE_BUFFER_BYTES = 4096

    def send(self, upload_bytes, end):
        """Send an upload on a used connection; return the body of its response.

        Its server answers the head of the upload with part of a body without a length,
        and ends the connection by the function `end`.
        """
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self.RECEIVE_BUFFER_BYTES
        )
        listener.bind(("127.0.0.1", 0))
        listener.listen()

        def serve():
            sock, _ = listener.accept()
            with sock:
                sock.recv(len(REQUEST))
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
                sock.recv(1000)
                sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 20_000)
                end(sock)

        async def run():
            host, port = listener.getsockname()
            connection = await open_upstream_connection("s", f"{host}:{port}", 1000)
            try:
                connection.send("GET", REQUEST, b"")
                await connection.read_head()
                await connection.read_all(10)
                connection.finish(0)
                body = b"u" * upload_bytes
                head = encode_request("POST", "/", "a", (), body)
                connection.send("POST", head, body)
                await connection.read_head()
                return await connection.read_all(1_000_000)
            finally:
                connection.close()

        server = threading.Thread(target=serve)
        server.start()
        try:
            return uvloop.run(asyncio.wait_for(run(), 5))
        finally:
            server.join()

    def check_cut(self, end):
        for upload_bytes in (60_000, 200_000, 3_000_000, 30_000_000):
            with (
                self.subTest(upload_bytes),
                self.assertRaises(UpstreamConnectionError),
            ):
                self.send(upload_bytes, end)

    def test_reset_is_not_the_end_of_a_response(self):
        self.check_cut(reset)

    def test_close_is_not_the_end_of_a_response(self):
        def close(sock):
            sock.shutdown(socket.SHUT_WR)
            time.sleep(0.05)
            reset(sock)

        self.check_cut(close)

    def test_close_after_the_whole_upload_is_the_end_of_a_response(self):
        def read_and_close(sock):
            left = (
                60_000 - 1000 + len(encode_request("POST", "/", "a", (), b"u" * 60_000))
            )
            while left > 0:
                left -= len(sock.recv(left))

        self.assertEqual(self.send(60_000, read_and_close), b"x" * 20_000)


def reset(sock):
    """Reset a connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class TestAddressOutOfRange(unittest.IsolatedAsyncioTestCase):
    async def test_port_out_of_range_is_a_failed_connection(self):
        for port in ("65536", "99999", "9" * 400, "-1"):
            with self.subTest(port), self.assertRaises(UpstreamConnectionError):
                await open_upstream_connection("key", f"127.0.0.1:{port}", 500)


class TestSilentServer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        scripted = ScriptedServer([])
        server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        connection = await open_upstream_connection("s", f"{host}:{port}", 1000)
        self.addCleanup(connection.close)
        sock = connection._transport.get_extra_info("socket")
        names = (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_USER_TIMEOUT)
        idle_s, interval_s, timeout_ms = (
            sock.getsockopt(socket.IPPROTO_TCP, name) for name in names
        )
        self.options = (1000 * idle_s, 1000 * interval_s, timeout_ms)

    async def test_connection_outlives_a_silence_of_two_seconds(self):
        for start_ms in range(0, 10_000, 50):
            survives = survives_silence(self.options, start_ms, 2000)
            self.assertTrue(survives, start_ms)

    async def test_connection_to_a_host_that_is_gone_ends_after_five_seconds(self):
        self.assertFalse(survives_silence(self.options, 1, 5000))

    async def test_sent_bytes_may_stay_unacknowledged_for_two_seconds(self):
        self.assertGreater(self.options[2], 2000)


class TestUpstreamConnection(unittest.IsolatedAsyncioTestCase):
    async def start(self, responses):
        scripted = ScriptedServer(responses)
        server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return scripted, f"{host}:{port}"

    async def fetch(self, responses):
        _, address = await self.start(responses)
        connection = await open_upstream_connection("s", address, 1000)
        self.addCleanup(connection.close)
        connection.send("GET", REQUEST, b"")
        await connection.read_head()
        return connection, await connection.read_all(1000)

    async def test_complete_response_leaves_the_connection_reusable(self):
        raw = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nhi"
        connection, body = await self.fetch([raw, raw])
        connection.finish(0)
        self.assertEqual((connection.status, body), (200, b"hi"))
        self.assertTrue(connection.is_reusable)
        self.assertEqual(connection.keep_alive_ms, 5000)
        connection.send("GET", REQUEST, b"")
        await connection.read_head()
        self.assertEqual(await connection.read_all(10), b"hi")

    async def test_bytes_after_a_response_invalidate_the_connection(self):
        raw = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n\r\n"
        connection, body = await self.fetch([raw])
        connection.finish(0)
        self.assertEqual(body, b"hi")
        self.assertFalse(connection.is_reusable)

    async def test_bytes_on_an_idle_connection_invalidate_it(self):
        raw = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        connection, _ = await self.fetch([raw])
        connection.finish(0)
        connection.data_received(b"HTTP/1.1 200 OK\r\n")
        self.assertFalse(connection.is_reusable)

    async def test_truncated_response_is_an_error(self):
        raw = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi"
        with self.assertRaises(UpstreamConnectionError) as caught:
            await self.fetch([raw])
        self.assertTrue(caught.exception.lost)

    async def test_head_that_ends_at_any_byte_is_an_error(self):
        for framing in (b"Content-Length: 0", b"Transfer-Encoding: chunked", b"X-B: b"):
            head = b"HTTP/1.1 200 OK\r\nX-A: k\r\n" + framing + b"\r\n\r\n"
            for size in range(len(head)):
                with self.subTest(head[:size]):
                    with self.assertRaises(UpstreamConnectionError) as caught:
                        await self.fetch([head[:size]])
                    self.assertTrue(caught.exception.lost)

    async def test_response_without_length_ends_with_its_connection(self):
        connection, body = await self.fetch([b"HTTP/1.1 200 OK\r\n\r\nhello"])
        connection.finish(0)
        self.assertEqual(body, b"hello")
        self.assertFalse(connection.is_reusable)

    async def test_reset_response_without_length_is_an_error(self):
        connection = await self.open_without_response()
        connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nhel")
        connection.connection_lost(ConnectionResetError())
        self.assertEqual(await connection.read_some(), b"hel")
        with self.assertRaises(UpstreamConnectionError):
            await connection.read_some()

    async def test_response_without_length_that_this_side_ends_is_an_error(self):
        connection = await self.open_without_response()
        connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nhel")
        connection.connection_lost(None)
        self.assertEqual(await connection.read_some(), b"hel")
        with self.assertRaises(UpstreamConnectionError):
            await connection.read_some()

    async def open_without_response(self):
        _, address = await self.start([b""])
        connection = await open_upstream_connection("s", address, 1000)
        self.addCleanup(connection.close)
        connection.send("GET", REQUEST, b"")
        return connection

    async def test_malformed_response_is_not_a_lost_connection(self):
        with self.assertRaises(UpstreamConnectionError) as caught:
            await self.fetch([b"\x00\x01 not http\r\n\r\n"])
        self.assertFalse(caught.exception.lost)

    async def test_close_header_ends_the_connection(self):
        raw = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        connection, _ = await self.fetch([raw])
        connection.finish(0)
        self.assertFalse(connection.is_reusable)

    async def test_refused_connection_counts_as_lost(self):
        with self.assertRaises(UpstreamConnectionError) as caught:
            await open_upstream_connection("s", "127.0.0.1:1", 500)
        self.assertTrue(caught.exception.lost)


class TestConnectionPool(unittest.IsolatedAsyncioTestCase):
    async def send_request(self, pool, address):
        connection = await pool.acquire("s", address)
        connection.send("GET", REQUEST, b"")
        await connection.read_head()
        await connection.read_all(100)
        pool.release(connection)
        return connection

    async def test_connection_is_reused_within_the_announced_idle_timeout(self):
        raw = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=3\r\n\r\n"
        scripted = ScriptedServer([raw] * 5)
        server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        clock = manual_clock()
        pool = make_connection_pool(clock)
        self.addCleanup(pool.close)
        first = await self.send_request(pool, f"{host}:{port}")
        clock.advance(1900)
        self.assertIs(await self.send_request(pool, f"{host}:{port}"), first)
        clock.advance(2100)
        self.assertIsNot(await self.send_request(pool, f"{host}:{port}"), first)
        self.assertEqual(pool.opened, 2)

    async def test_sweep_closes_connections_to_unknown_processes(self):
        raw = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        scripted = ScriptedServer([raw])
        server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        pool = make_connection_pool(manual_clock())
        connection = await self.send_request(pool, f"{host}:{port}")
        pool.sweep({"s"})
        self.assertTrue(connection.is_reusable)
        pool.sweep({"t"})
        self.assertFalse(connection.is_reusable)
        self.assertEqual(pool.idle, {})


class TestRequestGivenUp(unittest.IsolatedAsyncioTestCase):
    """Guards against a request that reaches a server after its caller has left."""

    async def end_seen_by_server(self, response):
        """Return how the connection of a request ends at a server that responds so."""
        ended = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            try:
                ended.set_result("closed" if not await reader.read() else "bytes")
            except ConnectionResetError:
                ended.set_result("reset")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        connection = await open_upstream_connection("s", f"{host}:{port}", 1000)
        connection.send("GET", REQUEST, b"")
        if response:
            await connection.read_head()
            await connection.read_all(100)
        else:
            await asyncio.sleep(0.05)
        connection.finish(0)
        connection.close()
        async with asyncio.timeout(5):
            return await ended

    async def test_its_unsent_bytes_are_discarded(self):
        self.assertEqual(await self.end_seen_by_server(b""), "reset")

    async def test_connection_of_a_complete_response_is_closed_regularly(self):
        raw = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
        self.assertEqual(await self.end_seen_by_server(raw), "closed")
