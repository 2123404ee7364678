"""Test that an HTTP server that closes answers each request that it has read.

The tests guard against connections that end without an answer: to a request under way,
behind another one, with a slow body, or in the backlog of the listening socket.
"""

import asyncio
import contextlib
import errno
import socket
import time
import unittest
import unittest.mock

from bulrushspur_kernel.http_server import make_http_server
from bulrushspur_kernel.settings import Bounds
from tests.test_http_server import send_refusal

# Longer than a close takes.
BOUNDS = Bounds(head_wait_s=30.0, body_wait_s=30.0)
MAX_CLOSE_S = 1.5
# The event loop of a loaded machine is late.
SLACK_S = 0.1
GET_OK = b"GET /ok HTTP/1.1\r\nHost: a\r\n\r\n"
GET_ENDLESS = b"GET /endless HTTP/1.1\r\nHost: a\r\n\r\n"
HALF_BODY = b"POST /ok HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf"
BACKLOG_COUNT = 30


class HttpCloseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.handled = asyncio.Event()
        self.reads_body = True
        self.server = make_http_server(self.handle, send_refusal, BOUNDS)
        self.unanswered = []
        self.server.on_unanswered = self.unanswered.append
        await self.server.listen("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.close, 0.0)

    async def handle(self, request, exchange):
        if self.reads_body:
            await request.read_full_body(BOUNDS.body_bytes)
        self.handled.set()
        if request.path == "/slow":
            await asyncio.sleep(0.2)
        if request.path == "/endless":
            await asyncio.sleep(60)
        await exchange.send_json(200, request.path.encode())

    async def open(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def read_all(self, reader):
        async with asyncio.timeout(5):
            return await reader.read(-1)

    async def test_request_under_way_at_the_end_may_have_run(self):
        reader, _ = await self.open(GET_ENDLESS)
        await self.handled.wait()
        began_s = time.monotonic()
        await self.server.close(0.1)
        self.assertLess(time.monotonic() - began_s, MAX_CLOSE_S)
        answer = await self.read_all(reader)
        self.assertTrue(answer.startswith(b"HTTP/1.1 504"), answer)
        self.assertIn(b"connection: close", answer.lower())
        self.assertIn(b"interrupted", answer)
        self.assertEqual(self.unanswered, [])

    async def check_incomplete(self, data):
        reader, _ = await self.open(data)
        await asyncio.sleep(0.05)
        began_s = time.monotonic()
        closing = asyncio.create_task(self.server.close(0.1))
        answer = await self.read_all(reader)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertIn(b"stopping", answer)
        await closing
        self.assertLess(time.monotonic() - began_s, MAX_CLOSE_S)

    # Guards against: a process that is killed while its connections close.
    async def test_close_ends_in_its_time_and_answers(self):
        for max_close_s in (0.1, 0.4, 1.2):
            with self.subTest(max_close_s=max_close_s):
                await self.check_close_in_time(max_close_s)

    async def check_close_in_time(self, max_close_s):
        server = make_http_server(self.handle, send_refusal, BOUNDS)
        await server.listen("127.0.0.1", 0)
        self.server, self.handled = server, asyncio.Event()
        reader, _ = await self.open(GET_ENDLESS)
        incomplete_reader, _ = await self.open(HALF_BODY)
        await self.handled.wait()
        # Takes longer to end than any close.
        stuck = asyncio.create_task(self.ignore_cancel())
        server.connection_tasks.add(stuck)
        await asyncio.sleep(0)
        began_s = time.monotonic()
        await server.close(0.2, max_close_s)
        self.assertLess(time.monotonic() - began_s, max_close_s + SLACK_S)
        self.assertIn(b"HTTP/1.1 504", await self.read_all(reader))
        self.assertIn(b"HTTP/1.1 503", await self.read_all(incomplete_reader))
        server.connection_tasks.discard(stuck)
        await stuck

    async def ignore_cancel(self):
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(60)
        await asyncio.sleep(MAX_CLOSE_S)

    async def test_request_without_the_rest_of_its_body_is_refused_at_the_end(self):
        await self.check_incomplete(HALF_BODY)

    async def test_request_without_the_rest_of_its_head_is_refused_at_the_end(self):
        await self.check_incomplete(GET_OK[:20])

    async def test_pipelined_requests_are_all_answered_and_the_last_closes(self):
        get_slow = GET_OK.replace(b"/ok", b"/slow")
        await self.check_pipelined(get_slow)

    # Guards against: an answer that closes the connection before the next request, as
    # the handler has not read the end of its own.
    async def test_pipelined_requests_whose_bodies_are_not_read_are_all_answered(self):
        self.reads_body = False
        for first in (GET_OK, GET_OK.replace(b"/ok", b"/slow")):
            with self.subTest(first=first):
                await self.check_pipelined(first)

    async def check_pipelined(self, first):
        reader, _ = await self.open(first + GET_OK * 3)
        if b"/slow" in first:
            await self.handled.wait()
        self.server.begin_close()
        answer = await self.read_all(reader)
        self.assertEqual(answer.count(b"HTTP/1.1 200"), 4)
        self.assertEqual(answer.lower().count(b"connection: close"), 1)
        self.assertIn(b"connection: close", answer.lower().split(b"http/1.1 ")[-1])

    async def test_pipelined_request_behind_one_that_is_interrupted_is_answered(self):
        reader, _ = await self.open(GET_ENDLESS + GET_OK)
        await self.handled.wait()
        await self.server.close(0.1)
        answer = await self.read_all(reader)
        self.assertIn(b"HTTP/1.1 504", answer)
        self.assertIn(b"HTTP/1.1 200", answer)

    # Guards against: connections that are reset as nobody has accepted them yet.
    async def test_request_in_the_backlog_is_answered(self):
        address = ("127.0.0.1", self.server.port)
        clients = [socket.create_connection(address, 5) for _ in range(BACKLOG_COUNT)]
        for client in clients:
            self.addCleanup(client.close)
            client.sendall(GET_OK)
        await self.server.close(0.5)
        answers = [await asyncio.to_thread(client.recv, 4096) for client in clients]
        statuses = [answer[:12] for answer in answers]
        self.assertEqual(statuses, [b"HTTP/1.1 200"] * BACKLOG_COUNT)

    # Guards against: an error of accept() cuts the requests on other connections.
    async def test_close_goes_on_without_connections_that_cannot_be_accepted(self):
        reader, _ = await self.open(GET_ENDLESS)
        await self.handled.wait()
        errors = [ConnectionAbortedError(), OSError(errno.EMFILE, "too many files")]
        listening_socket = self.server.listening_socket
        self.server.listening_socket = unittest.mock.Mock(wraps=listening_socket)
        self.server.listening_socket.accept.side_effect = errors
        await self.server.close(0.1)
        self.assertIn(b"HTTP/1.1 504", await self.read_all(reader))

    async def test_idle_connection_ends_without_a_reset(self):
        reader, writer = await self.open(GET_OK)
        await reader.readuntil(b"/ok")
        closing = asyncio.create_task(self.server.close(0.1))
        self.assertEqual(await self.read_all(reader), b"")
        writer.close()
        await closing

    async def test_request_on_an_idle_connection_is_answered_while_it_closes(self):
        reader, writer = await self.open(GET_OK)
        await reader.readuntil(b"/ok")
        closing = asyncio.create_task(self.server.close(0.0))
        await asyncio.sleep(0.2)
        writer.write(GET_OK)
        self.assertIn(b"HTTP/1.1 200", await self.read_all(reader))
        await closing

    async def test_connection_that_ends_without_an_answer_is_reported(self):
        await self.check_reported()

    # Guards against: no line of a request whose handler has not read its end.
    async def test_request_without_answer_whose_body_is_not_read_is_reported(self):
        self.reads_body = False
        await self.check_reported()

    async def check_reported(self):
        _, writer = await self.open(GET_ENDLESS)
        await self.handled.wait()
        self.server.begin_close()
        for task in list(self.server.connection_tasks):
            task.cancel()
        await asyncio.sleep(0.05)
        (request,) = self.unanswered
        self.assertEqual((request.method, request.path), ("GET", "/endless"))
        self.assertFalse(request.caller_disconnected)
        writer.close()


if __name__ == "__main__":
    unittest.main()
