"""Test the limits, the refusals and the shutdown of the HTTP server.

Invalid, oversized or slow input and errors of the handler must get the right refusal or
an aborted connection, and must not affect other connections.
"""

import asyncio
import unittest
import unittest.mock

from bulrushspur_kernel.body_memory import BodyMemory
from bulrushspur_kernel.errors import ErrorKind, Refusal
from bulrushspur_kernel.http_exchange import (
    CallerDisconnectedError,
    Exchange,
    HttpError,
    SharedLimits,
)
from bulrushspur_kernel.http_refusals import make_no_memory_refusal
from bulrushspur_kernel.http_server import make_http_server
from bulrushspur_kernel.settings import Bounds

BOUNDS = Bounds(
    connections=3, head_bytes=2000, body_bytes=5000, head_wait_s=0.2, body_wait_s=0.2
)


SMALL_BODY = "bulrushspur_kernel.body_memory.SMALL_BODY_BYTES"


async def send_refusal(exchange, refusal):
    await exchange.send_json(refusal.details.status, refusal.kind.value.encode())


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.disconnected = asyncio.Event()
        self.server = make_http_server(self.handle, send_refusal, BOUNDS)
        await self.server.listen("127.0.0.1", 0)

    async def asyncTearDown(self):
        await self.server.close(0.1)

    async def handle(self, request, exchange):
        if request.path == "/fault":
            raise KeyError("x")
        if request.path == "/refused":
            raise HttpError(Refusal(ErrorKind.UNKNOWN_PATH, "no"))
        if request.path == "/gone":
            exchange.on_disconnect(self.disconnected.set)
            await self.disconnected.wait()
            raise CallerDisconnectedError
        if request.path == "/cut":
            await exchange.start_response(200, [(b"transfer-encoding", b"chunked")])
            await exchange.send_body_part(b"half")
            raise HttpError(Refusal(ErrorKind.WORKER_LOST, "late"))
        if request.path == "/stream":
            async for _ in request.iter_body():
                pass
        body = await request.read_full_body(BOUNDS.body_bytes)
        await exchange.send_json(200, request.path.encode() + b" %d" % len(body))

    async def exchange_bytes(self, data, end=False):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(data)
        if end:
            writer.write_eof()
        async with asyncio.timeout(5):
            rv = await reader.read(-1)
        writer.close()
        return rv

    async def assert_serves(self):
        answer = await self.exchange_bytes(
            b"GET /ok HTTP/1.1\r\nHost: a\r\n\r\n", end=True
        )
        self.assertIn(b"/ok 0", answer)

    async def test_malformed_and_oversized_heads(self):
        answer = await self.exchange_bytes(b"nonsense\r\n\r\n")
        self.assertIn(b"400", answer.split(b"\r\n")[0])
        big = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 3000
        self.assertIn(b"head_too_large", await self.exchange_bytes(big))
        await self.assert_serves()

    async def test_oversized_body(self):
        size = 5_000_000
        for path in (b"/a", b"/stream"):
            head = b"POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
            answer = await self.exchange_bytes(head % (path, size) + b"x" * size)
            self.assertIn(b"body_too_large", answer)
        await self.assert_serves()

    async def test_slow_senders(self):
        self.assertIn(b"slow_sender", await self.exchange_bytes(b"GET / HT"))
        head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx"
        self.assertIn(b"slow_sender", await self.exchange_bytes(head))

    async def test_body_cut_by_the_caller_gets_no_response(self):
        head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx"
        self.assertEqual(await self.exchange_bytes(head, end=True), b"")
        await self.assert_serves()

    async def test_malformed_chunk(self):
        head = (
            b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
        )
        self.assertIn(b"bad_request", await self.exchange_bytes(head))

    async def test_pipelined_requests_are_answered_in_order(self):
        template = b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy"
        answer = await self.exchange_bytes(
            b"".join(template % i for i in range(5)), end=True
        )
        paths = [part.split(b" ")[0] for part in answer.split(b"\r\n\r\n")[1:]]
        self.assertEqual([path[:2] for path in paths], [b"/%d" % i for i in range(5)])

    async def test_connection_stays_open_after_a_refusal(self):
        refused = b"GET /refused HTTP/1.1\r\nHost: a\r\n\r\n"
        accepted = b"GET /ok HTTP/1.1\r\nHost: a\r\n\r\n"
        answer = await self.exchange_bytes(refused + accepted, end=True)
        self.assertIn(b"unknown_path", answer)
        self.assertIn(b"/ok 0", answer)

    async def test_handler_error_is_reported(self):
        answer = await self.exchange_bytes(
            b"GET /fault HTTP/1.1\r\nHost: a\r\n\r\n", end=True
        )
        self.assertIn(b"500", answer.split(b"\r\n")[0])
        self.assertEqual(self.server.handler_errors, 1)
        await self.assert_serves()

    async def test_refusal_after_response_start_aborts_connection(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(b"GET /cut HTTP/1.1\r\nHost: a\r\n\r\n")
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readuntil(b"0\r\n\r\n")
        writer.close()

    async def test_disconnect_of_the_caller_is_reported(self):
        _, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(b"GET /gone HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.05)
        writer.close()
        async with asyncio.timeout(5):
            await self.disconnected.wait()

    async def test_connections_are_limited(self):
        held = [
            await asyncio.open_connection("127.0.0.1", self.server.port)
            for _ in range(BOUNDS.connections)
        ]
        await asyncio.sleep(0.05)
        answer = await self.exchange_bytes(
            b"GET /ok HTTP/1.1\r\nHost: a\r\n\r\n", end=True
        )
        self.assertIn(b"too_many_connections", answer)
        for _, writer in held:
            writer.close()

    async def open_unfinished(self, size):
        """Send a body of a size without its last byte, and return the connection."""
        pair = await asyncio.open_connection("127.0.0.1", self.server.port)
        head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        pair[1].write(head % size + b"x" * (size - 1))
        await asyncio.sleep(0.05)
        return pair

    # Guards against: clients that do not go on take the place of others.
    async def test_request_that_waits_for_its_rest_makes_room_for_a_connection(self):
        first = await self.open_unfinished(10)
        others = [await self.open_unfinished(10) for _ in range(2)]
        await self.assert_serves()
        answer = await first[0].read(-1)
        self.assertIn(b"503", answer.split(b"\r\n")[0])
        self.assertIn(b"too_many_connections", answer)
        for _, writer in (first, *others):
            writer.close()

    async def test_largest_unfinished_body_makes_room_for_an_ordinary_one(self):
        self.server.limits.bodies.max_bytes = 9000
        large = await self.open_unfinished(4900)
        self.server.limits.bodies.max_bytes = 100
        with unittest.mock.patch(SMALL_BODY, 50):
            await self.assert_serves_body(60)
        answer = await large[0].read(-1)
        self.assertIn(b"503", answer.split(b"\r\n")[0])
        self.assertIn(b"no_memory", answer)
        self.assertEqual(self.server.limits.bodies.held_bytes, 0)
        large[1].close()

    async def assert_serves_body(self, size):
        head = b"POST /ok HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size
        answer = await self.exchange_bytes(head + b"x" * size, end=True)
        self.assertIn(b"/ok %d" % size, answer)

    # Guards against: an error in the request for which another one is given up.
    async def test_request_whose_wait_is_just_over_can_be_given_up(self):
        limits = SharedLimits(BodyMemory(1))
        exchange = Exchange(None, None, BOUNDS, lambda: False, None, limits)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0) as exchange.read_timeout:
                await asyncio.sleep(1)
        refusal = make_no_memory_refusal()
        exchange.give_up(refusal)
        self.assertIs(exchange.given_up, refusal)

    async def test_body_in_very_many_chunks_is_served(self):
        head = b"POST /ok HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        body = b"1\r\nx\r\n" * BOUNDS.body_bytes + b"0\r\n\r\n"
        answer = await self.exchange_bytes(head + body, end=True)
        self.assertIn(b"/ok %d" % BOUNDS.body_bytes, answer)

    async def test_connection_made_before_the_close_is_answered(self):
        pairs = [
            await asyncio.open_connection("127.0.0.1", self.server.port)
            for _ in range(2)
        ]
        closing = asyncio.create_task(self.server.close(1.0))
        await asyncio.sleep(0.05)
        for reader, writer in pairs:
            writer.write(b"GET /ok HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertIn(b"/ok 0", await reader.read(-1))
            writer.close()
        await closing

    async def test_closing_server_announces_it(self):
        self.server.begin_close()
        answer = await self.exchange_bytes(b"GET /ok HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertIn(b"connection: close", answer.lower())

    async def test_connections_close_after_a_response_while_not_ready(self):
        self.server.is_ready = lambda: False
        answer = await self.exchange_bytes(b"GET /ok HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertIn(b"/ok 0", answer)
        self.assertIn(b"connection: close", answer.lower())
