"""An HTTP/1.1 server: h11 on asyncio streams, with bounds on everything."""

import asyncio
import contextlib
import dataclasses
import typing as t
import urllib.parse

import h11

from bulrushspur_kernel.errors import ErrorKind, Refusal
from bulrushspur_kernel.settings import Bounds

READ_BYTES: t.Final = 65_536

Headers = list[tuple[bytes, bytes]]


class HttpError(Exception):
    """Carry the refusal of a request that HTTP alone can judge."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.sentence)
        self.refusal = refusal


class CallerGoneError(Exception):
    """Tell that the other side closed the connection."""


@dataclasses.dataclass
class Request:
    """A request whose body is read piece by piece."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    exchange: "Exchange"

    async def chunks(self) -> t.AsyncIterator[bytes]:
        """Yield the body; raises HttpError where a bound is passed."""
        async for data in self.exchange.read_body():
            yield data

    async def read_all(self, at_most_bytes: int) -> bytes:
        """Read a small body whole; raises HttpError where it is larger."""
        rv = bytearray()
        async for data in self.chunks():
            rv += data
            if len(rv) > at_most_bytes:
                raise HttpError(
                    Refusal(
                        ErrorKind.BODY_TOO_LARGE,
                        f"The body is larger than {at_most_bytes} bytes.",
                    )
                )
        return bytes(rv)


Handler = t.Callable[[Request, "Exchange"], t.Awaitable[None]]


@dataclasses.dataclass
class Exchange:
    """One connection, and the request and answer on it now."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    bounds: Bounds
    connection: h11.Connection
    answered: bool = False

    async def next_event(self, wait_s: float) -> t.Any:
        """Read until h11 has an event; raises TimeoutError."""
        async with asyncio.timeout(wait_s):
            while True:
                event = self.connection.next_event()
                if event is not h11.NEED_DATA:
                    return event
                if self.connection.they_are_waiting_for_100_continue:
                    head = h11.InformationalResponse(status_code=100, headers=[])
                    await self._write(self.connection.send(head))
                data = await self.reader.read(READ_BYTES)
                self.connection.receive_data(data)

    async def read_body(self) -> t.AsyncIterator[bytes]:
        """Yield the chunks of the body of this request."""
        total = 0
        while True:
            try:
                event = await self.next_event(self.bounds.body_wait_s)
            except TimeoutError as exc:
                raise HttpError(_slow(self.bounds.body_wait_s)) from exc
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise CallerGoneError
            total += len(event.data)
            if total > self.bounds.body_bytes:
                sentence = f"The body is larger than {self.bounds.body_bytes} bytes."
                raise HttpError(Refusal(ErrorKind.BODY_TOO_LARGE, sentence))
            yield bytes(event.data)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        self.answered = True
        await self._send(h11.Response(status_code=status, headers=headers))

    async def send_data(self, data: bytes) -> None:
        """Send a part of the answer and wait while the caller is slow."""
        await self._send(h11.Data(data=data))

    async def end(self) -> None:
        """End the answer."""
        await self._send(h11.EndOfMessage())

    async def answer(
        self, status: int, body: bytes, headers: Headers | None = None
    ) -> None:
        """Send a whole answer of JSON."""
        rows = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            *(headers or []),
        ]
        await self.start(status, rows)
        await self.send_data(body)
        await self.end()

    async def _send(self, event: t.Any) -> None:
        try:
            data = self.connection.send(event)
        except h11.LocalProtocolError as exc:
            raise CallerGoneError from exc
        if data:
            await self._write(data)

    async def _write(self, data: bytes) -> None:
        try:
            self.writer.write(data)
            await self.writer.drain()
        except OSError as exc:
            raise CallerGoneError from exc

    def caller_gone(self) -> bool:
        """Tell whether the caller has closed its side."""
        return self.reader.at_eof() or self.writer.is_closing()


def _slow(wait_s: float) -> Refusal:
    return Refusal(ErrorKind.SLOW_SENDER, f"Nothing came for {wait_s:g} s.")


RefusalSender = t.Callable[[Exchange, Refusal], t.Awaitable[None]]


@dataclasses.dataclass
class HttpServer:
    """A listening socket with its open connections."""

    handler: Handler
    send_refusal: RefusalSender
    bounds: Bounds
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    busy: int = 0
    closing: bool = False

    async def listen(self, host: str, port: int) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(
            self._accept, host, port, limit=self.bounds.buffer_bytes, backlog=1024
        )

    @property
    def port(self) -> int:
        """Give the port that the server listens on."""
        assert self.server is not None
        return self.server.sockets[0].getsockname()[1]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        writer.transport.set_write_buffer_limits(high=self.bounds.buffer_bytes)
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.bounds.head_bytes
        )
        exchange = Exchange(reader, writer, self.bounds, connection)
        try:
            await self._serve(exchange)
        except (CallerGoneError, ConnectionError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _serve(self, exchange: Exchange) -> None:
        if len(self.tasks) > self.bounds.connections:
            sentence = f"There are {self.bounds.connections} connections already."
            refusal = Refusal(
                ErrorKind.TOO_MANY_CONNECTIONS, sentence, retry_after_s=1.0
            )
            await self.send_refusal(exchange, refusal)
            return
        while not self.closing:
            request = await self._next_request(exchange)
            if request is None:
                return
            self.busy += 1
            try:
                await self._handle(request, exchange)
            finally:
                self.busy -= 1
            if not await self._ready_for_next(exchange):
                return

    async def _handle(self, request: Request, exchange: Exchange) -> None:
        try:
            await self.handler(request, exchange)
        except HttpError as exc:
            await self._refuse(exchange, exc.refusal)
        except h11.RemoteProtocolError as exc:
            await self._refuse(exchange, _malformed(exc))

    async def _next_request(self, exchange: Exchange) -> Request | None:
        exchange.answered = False
        try:
            event = await exchange.next_event(self.bounds.head_wait_s)
        except TimeoutError:
            if exchange.connection.trailing_data[0]:
                await self._refuse(exchange, _slow(self.bounds.head_wait_s))
            return None
        except h11.RemoteProtocolError as exc:
            await self._refuse(exchange, _malformed(exc))
            return None
        if not isinstance(event, h11.Request):
            return None
        return _make_request(event, exchange)

    async def _ready_for_next(self, exchange: Exchange) -> bool:
        connection = exchange.connection
        if connection.our_state is not h11.DONE:
            return False
        if connection.their_state is h11.SEND_BODY:
            return False
        try:
            connection.start_next_cycle()
        except h11.ProtocolError:
            return False
        return True

    async def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        if not exchange.answered:
            with contextlib.suppress(CallerGoneError):
                await self.send_refusal(exchange, refusal)

    async def close(self, drain_s: float) -> None:
        """Stop listening, let requests end, close what is left after ``drain_s``."""
        self.closing = True
        if self.server is not None:
            self.server.close()
        try:
            async with asyncio.timeout(drain_s):
                while self.busy:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            pass
        for task in list(self.tasks):
            task.cancel()


def _malformed(exc: h11.RemoteProtocolError) -> Refusal:
    if exc.error_status_hint == 431:
        return Refusal(ErrorKind.HEAD_TOO_LARGE, "The head is too large.")
    return Refusal(ErrorKind.BAD_REQUEST, f"This is no valid HTTP request: {exc}.")


def _make_request(event: h11.Request, exchange: Exchange) -> Request:
    target = event.target.decode("latin-1")
    path, _, query = target.partition("?")
    return Request(
        event.method.decode("ascii"),
        urllib.parse.unquote(path),
        dict(urllib.parse.parse_qsl(query)),
        {k.decode("ascii"): v.decode("latin-1") for k, v in event.headers},
        exchange,
    )


def make_http_server(
    handler: Handler, send_refusal: RefusalSender, bounds: Bounds
) -> HttpServer:
    """Make a server that calls ``handler`` for each request."""
    return HttpServer(handler, send_refusal, bounds)
