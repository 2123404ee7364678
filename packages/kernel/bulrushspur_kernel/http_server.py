"""Serve HTTP/1.1 with h11 on asyncio streams.

Connections, sizes and times all have limits. Invalid requests and errors of the handler
are answered with a refusal while no response has started; after that, the connection is
aborted, so that the caller does not take a partial response for a complete one. A
server that closes answers each request that it has read: it refuses what is incomplete,
and says of what it interrupts that it may have run.
"""

import asyncio
import collections
import dataclasses
import math
import socket
import time
import typing as t

import h11

from bulrushspur_kernel.body_memory import BodyMemory
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.http_exchange import (
    EVENTS_PER_TURN,
    CallerDisconnectedError,
    EofNotifyingReader,
    Exchange,
    HttpError,
    Request,
    SharedLimits,
    make_request,
)
from bulrushspur_kernel.http_refusals import (
    make_interrupted_refusal,
    make_malformed_refusal,
    make_slow_sender_refusal,
    make_too_many_connections_refusal,
)
from bulrushspur_kernel.logs import make_logger
from bulrushspur_kernel.settings import Bounds

log = make_logger("http")

# Multiple of the connection limit above which connections are closed without a refusal.
MAX_CONNECTIONS_FACTOR: t.Final = 2
# Multiple of the read buffer of a connection that its socket may hold besides.
SOCKET_BUFFER_FACTOR: t.Final = 1
BACKLOG_CONNECTIONS: t.Final = 1024
# Turns of the event loop until it has made all of a connection that it has accepted.
ACCEPT_TURNS: t.Final = 3
DRAIN_POLL_INTERVAL_S: t.Final = 0.02
CONNECTION_CLOSE_TIMEOUT_S: t.Final = 0.5
# For callers to read the last answers.
LAST_READ_TIMEOUT_S: t.Final = 0.2
# The share of a close until connections are cancelled; the rest is for their end.
MAX_ANSWERS_SHARE: t.Final = 3 / 4

Handler = t.Callable[[Request, "Exchange"], t.Awaitable[None]]
RefusalSender = t.Callable[[Exchange, Refusal], t.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request that was read completely, and whose connection ended without answer.

    ``age_s`` is the time since its head was read.
    """

    method: str
    path: str
    age_s: float
    caller_disconnected: bool


@dataclasses.dataclass(repr=False)
class HttpServer:
    """A listening socket with its open connections.

    ``handler_errors`` counts unexpected exceptions of the handler.
    """

    handler: Handler
    send_refusal: RefusalSender
    bounds: Bounds
    server: asyncio.Server | None = None
    listening_socket: socket.socket | None = None
    connection_tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    exchanges: set[Exchange] = dataclasses.field(default_factory=set)
    # Responses by status.
    response_counts: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Connections so far.
    accepted_count: int = 0
    active_requests: int = 0
    handler_errors: int = 0
    closing: bool = False
    limits: SharedLimits = dataclasses.field(init=False)
    # While it returns False, each connection is closed after its next response.
    is_ready: t.Callable[[], bool] = lambda: True
    # Is called while the server closes.
    on_unanswered: t.Callable[[UnansweredRequest], None] = lambda request: None

    def __post_init__(self) -> None:
        # One request of legal size has room on its own.
        max_bytes = max(self.bounds.bodies_bytes, self.bounds.body_bytes)
        self.limits = SharedLimits(BodyMemory(max_bytes))

    async def listen(self, host: str, port: int) -> None:
        """Start to listen on an address; raises OSError."""
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # What the system holds of each connection; accepted sockets inherit it.
            size = self.bounds.buffer_bytes * SOCKET_BUFFER_FACTOR
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            sock.bind((host, port))
            loop = asyncio.get_running_loop()
            self.server = await loop.create_server(
                self._make_protocol, sock=sock, backlog=BACKLOG_CONNECTIONS
            )
        except BaseException:
            sock.close()
            raise
        self.listening_socket = sock

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        loop = asyncio.get_running_loop()
        reader = EofNotifyingReader(limit=self.bounds.buffer_bytes, loop=loop)
        return asyncio.StreamReaderProtocol(reader, self._handle_connection, loop=loop)

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        assert self.server is not None
        return self.server.sockets[0].getsockname()[1]

    async def _handle_connection(
        self, reader: EofNotifyingReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.connection_tasks.add(task)
        self.accepted_count += 1
        writer.transport.set_write_buffer_limits(high=self.bounds.buffer_bytes)
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.bounds.head_bytes
        )
        exchange = Exchange(
            reader,
            writer,
            self.bounds,
            self._is_closing,
            connection,
            self.limits,
            count_response=self._count_response,
        )
        self.exchanges.add(exchange)
        try:
            await self._serve_requests(exchange)
        except (CallerDisconnectedError, ConnectionError):
            # Abort: the caller must not take a partial response for a complete one.
            writer.transport.abort()
        except asyncio.CancelledError:
            # The server is closing: data already written is sent before the close.
            pass
        finally:
            self.connection_tasks.discard(task)
            self.exchanges.discard(exchange)
            writer.close()
            if self.closing and exchange.is_unanswered():
                self._report_unanswered(exchange)

    async def _serve_requests(self, exchange: Exchange) -> None:
        if (
            len(self.connection_tasks)
            > self.bounds.connections * MAX_CONNECTIONS_FACTOR
        ):
            # With so many connections, even sending refusals would cost too much.
            raise CallerDisconnectedError
        refusal = make_too_many_connections_refusal(self.bounds.connections)
        is_over_limit = len(self.connection_tasks) > self.bounds.connections
        if is_over_limit and not self._give_up_waiting(refusal):
            await self._refuse(exchange, refusal)
            await exchange.linger()
            return
        timeout_s = self.bounds.head_wait_s
        while await exchange.wait_first_byte(timeout_s):
            request = await self._read_request(exchange)
            if request is None:
                break
            self.active_requests += 1
            exchange.request = request
            exchange.request_read_s = time.monotonic()
            try:
                await self._handle_request(request, exchange)
                exchange.request = None
            finally:
                self.active_requests -= 1
                exchange.release_body()
            if not self._prepare_next_request(exchange):
                break
            timeout_s = self.bounds.idle_wait_s
        await exchange.linger()

    def _give_up_waiting(self, refusal: Refusal) -> bool:
        """Refuse the request whose rest is waited for longest; return False if none."""
        longest = next(iter(self.limits.waiting), None)
        if longest is not None:
            longest.give_up(refusal)
        return longest is not None

    async def _handle_request(self, request: Request, exchange: Exchange) -> None:
        try:
            await self._call_handler(request, exchange)
        except HttpError as exc:
            await self._refuse(exchange, exc.refusal)
        except (CallerDisconnectedError, ConnectionError):
            raise
        except Exception as exc:
            self.handler_errors += 1
            log.exception(f"{request.method} {request.path[:200]} failed: {exc!r}.")
            sentence = "This entry process failed inside; it goes on."
            refusal = Refusal(ErrorKind.INTERNAL, sentence, Ran.MAYBE)
            await self._refuse(exchange, refusal)

    async def _call_handler(self, request: Request, exchange: Exchange) -> None:
        """Call the handler; raises HttpError if it is interrupted."""
        try:
            async with asyncio.timeout(None) as timeout:
                exchange.handling_timeout = timeout
                await self.handler(request, exchange)
        except TimeoutError as exc:
            if timeout.expired():
                raise HttpError(make_interrupted_refusal()) from exc
            raise
        finally:
            exchange.handling_timeout = None

    async def _read_request(self, exchange: Exchange) -> Request | None:
        exchange.begin_request()
        try:
            event = await exchange.next_event(self.bounds.head_wait_s)
        except TimeoutError:
            refusal = make_slow_sender_refusal(self.bounds.head_wait_s)
            await self._refuse(exchange, exchange.given_up or refusal)
            return None
        except h11.RemoteProtocolError as exc:
            await self._refuse(exchange, make_malformed_refusal(exc))
            return None
        if not isinstance(event, h11.Request):
            return None
        exchange.complete_empty_request(event)
        return make_request(event, exchange)

    def _prepare_next_request(self, exchange: Exchange) -> bool:
        connection = exchange.connection
        if connection.our_state is not h11.DONE:
            return False
        try:
            for _ in range(EVENTS_PER_TURN):
                if connection.their_state is not h11.SEND_BODY:
                    break
                if connection.next_event() is h11.NEED_DATA:
                    return False
            connection.start_next_cycle()
        except h11.ProtocolError:
            return False
        return True

    async def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        if exchange.response_started:
            # Part of the response is sent: only an abort shows that it is incomplete.
            raise CallerDisconnectedError
        await self.send_refusal(exchange, refusal)

    def _count_response(self, status: int) -> None:
        self.response_counts[status] += 1

    def _report_unanswered(self, exchange: Exchange) -> None:
        request = exchange.request
        assert request is not None
        age_s = time.monotonic() - exchange.request_read_s
        has_left = exchange.reader.at_eof() or exchange.reader.exception() is not None
        self.on_unanswered(
            UnansweredRequest(request.method, request.path, age_s, has_left)
        )

    def _is_closing(self) -> bool:
        return self.closing or not self.is_ready()

    def begin_close(self) -> None:
        """Announce in all further responses that the connection will be closed.

        A response behind which the next request has come already is not the last one.
        """
        self.closing = True

    def stop_listening(self) -> None:
        """Accept no further connections; those that are open stay open."""
        if self.server is not None:
            self.server.close()

    async def close(self, drain_s: float, max_close_s: float = math.inf) -> None:
        """Stop listening, answer all requests, and close all connections.

        Requests get ``drain_s`` seconds to end, and are then refused or interrupted.
        Connections that are open then get CONNECTION_CLOSE_TIMEOUT_S more, so that a
        caller that connected last can still send its request and be refused. All of it
        ends within ``max_close_s``; each wait is shortened alike if it is too short.
        """
        ends_s = time.monotonic() + max_close_s
        waits_s = (drain_s, CONNECTION_CLOSE_TIMEOUT_S, LAST_READ_TIMEOUT_S)
        share = min(max_close_s * MAX_ANSWERS_SHARE / sum(waits_s), 1.0)
        self.begin_close()
        await self._accept_last()
        await self._wait_requests(drain_s * share)
        self._end_requests()
        await self._wait_connections(CONNECTION_CLOSE_TIMEOUT_S * share)
        self._end_requests()
        for exchange in list(self.exchanges):
            exchange.end_idle()
        await self._wait_connections(LAST_READ_TIMEOUT_S * share)
        for task in list(self.connection_tasks):
            task.cancel()
        remaining_s = max(ends_s - time.monotonic(), 0.0)
        await self._wait_connections(min(CONNECTION_CLOSE_TIMEOUT_S, remaining_s))

    async def _accept_last(self) -> None:
        """Stop listening, and accept all connections that are established by then."""
        sock = self.listening_socket
        if sock is None or sock.fileno() < 0:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(sock)
        # The server forgets a connection that it has accepted just before its close.
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        accepted = _accept_established(sock)
        self.stop_listening()
        for connection in accepted:
            await loop.connect_accepted_socket(self._make_protocol, connection)

    async def _wait_requests(self, timeout_s: float) -> None:
        deadline_s = time.monotonic() + timeout_s
        while self.active_requests and time.monotonic() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def _end_requests(self) -> None:
        for exchange in list(self.exchanges):
            exchange.end_request()

    async def _wait_connections(self, timeout_s: float) -> None:
        if self.connection_tasks:
            await asyncio.wait(list(self.connection_tasks), timeout=timeout_s)


def _accept_established(listening_socket: socket.socket) -> list[socket.socket]:
    rv = []
    while True:
        try:
            rv.append(listening_socket.accept()[0])
        except BlockingIOError:
            return rv
        except ConnectionAbortedError:
            # Its caller has left already.
            continue
        except OSError as exc:
            log.warning(f"The last connections cannot be accepted: {exc}.")
            return rv


def make_http_server(
    handler: Handler, send_refusal: RefusalSender, bounds: Bounds
) -> HttpServer:
    """Make a server that calls ``handler`` for each request."""
    return HttpServer(handler, send_refusal, bounds)
