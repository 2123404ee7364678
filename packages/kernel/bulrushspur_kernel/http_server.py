"""An HTTP/1.1 server: h11 on asyncio streams, with bounds on everything."""

import asyncio
import contextlib
import dataclasses
import typing as t
import urllib.parse

import h11

from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.logs import make_logger
from bulrushspur_kernel.settings import Bounds

log = make_logger("http")

READ_BYTES: t.Final = 65_536
LINGER_S: t.Final = 1.0
REFUSED_SHARE: t.Final = 2
DRAIN_STEP_S: t.Final = 0.02
LATE_S: t.Final = 0.5

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


class _Reader(asyncio.StreamReader):
    """A stream reader that tells at once when the other side has closed."""

    on_end: t.Callable[[], None] | None = None

    def feed_eof(self) -> None:
        """Note the end of the stream."""
        super().feed_eof()
        if self.on_end is not None:
            self.on_end()

    def set_exception(self, exc: BaseException) -> None:
        """Note that the connection was lost."""
        super().set_exception(exc)
        if self.on_end is not None:
            self.on_end()


@dataclasses.dataclass
class Exchange:
    """One connection, and the request and answer on it now."""

    reader: _Reader
    writer: asyncio.StreamWriter
    server: "HttpServer"
    connection: h11.Connection
    answered: bool = False

    @property
    def bounds(self) -> Bounds:
        """Give the bounds of the server."""
        return self.server.bounds

    async def next_event(self, wait_s: float) -> t.Any:
        """Read until h11 has an event; raises TimeoutError."""
        event = self.connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        async with asyncio.timeout(wait_s):
            while True:
                if self.connection.they_are_waiting_for_100_continue:
                    head = h11.InformationalResponse(status_code=100, headers=[])
                    await self._write(self.connection.send(head))
                data = await self.reader.read(READ_BYTES)
                self.connection.receive_data(data)
                event = self.connection.next_event()
                if event is not h11.NEED_DATA:
                    return event

    async def wait_first_byte(self, wait_s: float) -> bool:
        """Wait until another request begins; tell whether one did."""
        if self.connection.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(wait_s):
                data = await self.reader.read(READ_BYTES)
        except TimeoutError:
            return False
        if data:
            self.connection.receive_data(data)
        return bool(data)

    async def read_body(self) -> t.AsyncIterator[bytes]:
        """Yield the chunks of the body of this request."""
        total = 0
        while True:
            try:
                event = await self.next_event(self.bounds.body_wait_s)
            except TimeoutError as exc:
                raise HttpError(_slow(self.bounds.body_wait_s)) from exc
            except h11.RemoteProtocolError as exc:
                if self.reader.at_eof():
                    raise CallerGoneError from exc
                raise HttpError(_malformed(exc)) from exc
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
        await self._write(self._head(status, headers))

    async def send_data(self, data: bytes) -> None:
        """Send a part of the answer and wait while the caller is slow."""
        await self._write(self._encode(h11.Data(data=data)))

    async def end(self) -> None:
        """End the answer."""
        await self._write(self._encode(h11.EndOfMessage()))

    async def answer(
        self, status: int, body: bytes, headers: Headers | None = None
    ) -> None:
        """Send a whole answer of JSON."""
        rows = [(b"content-type", b"application/json"), *(headers or [])]
        await self.answer_whole(status, [body], rows)

    async def answer_whole(
        self, status: int, parts: list[bytes], headers: Headers
    ) -> None:
        """Send an answer that is here already, in one write."""
        size = str(sum(map(len, parts))).encode()
        data = [self._head(status, [*headers, (b"content-length", size)])]
        data += [self._encode(h11.Data(data=part)) for part in parts if part]
        data.append(self._encode(h11.EndOfMessage()))
        await self._write(b"".join(data))

    def on_gone(self, callback: t.Callable[[], None] | None) -> None:
        """Call back once the caller has closed its side."""
        self.reader.on_end = callback
        if callback is not None and self.reader.at_eof():
            callback()

    def _head(self, status: int, headers: Headers) -> bytes:
        self.answered = True
        if self.server.closing:
            headers = [*headers, (b"connection", b"close")]
        return self._encode(h11.Response(status_code=status, headers=headers))

    def _encode(self, event: t.Any) -> bytes:
        try:
            return self.connection.send(event) or b""
        except h11.LocalProtocolError as exc:
            raise CallerGoneError from exc

    async def _write(self, data: bytes) -> None:
        if not data:
            return
        if self.writer.is_closing():
            raise CallerGoneError
        self.writer.write(data)
        if not self.writer.transport.get_write_buffer_size():
            return
        try:
            async with asyncio.timeout(self.bounds.body_wait_s):
                await self.writer.drain()
        except (OSError, TimeoutError) as exc:
            raise CallerGoneError from exc

    async def linger(self) -> None:
        """Read on for a moment, so that the last answer is not lost to a reset."""
        with contextlib.suppress(OSError, TimeoutError, RuntimeError):
            if self.reader.at_eof() or not self.writer.can_write_eof():
                return
            self.writer.write_eof()
            async with asyncio.timeout(LINGER_S):
                while await self.reader.read(READ_BYTES):
                    pass


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
    faults: int = 0
    closing: bool = False

    async def listen(self, host: str, port: int) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()

        def make_protocol() -> asyncio.StreamReaderProtocol:
            reader = _Reader(limit=self.bounds.buffer_bytes, loop=loop)
            return asyncio.StreamReaderProtocol(reader, self._accept, loop=loop)

        self.server = await loop.create_server(make_protocol, host, port, backlog=1024)

    @property
    def port(self) -> int:
        """Give the port that the server listens on."""
        assert self.server is not None
        return self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader: _Reader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        writer.transport.set_write_buffer_limits(high=self.bounds.buffer_bytes)
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.bounds.head_bytes
        )
        exchange = Exchange(reader, writer, self, connection)
        try:
            await self._serve(exchange)
        except (CallerGoneError, ConnectionError):
            # What was begun is not whole: the caller must see a cut.
            writer.transport.abort()
        except asyncio.CancelledError:
            # The server closes; what was written still goes out before the end.
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _serve(self, exchange: Exchange) -> None:
        if len(self.tasks) > self.bounds.connections * REFUSED_SHARE:
            # So many that not even a refusal can be afforded.
            raise CallerGoneError
        if len(self.tasks) > self.bounds.connections:
            sentence = f"There are {self.bounds.connections} connections already."
            refusal = Refusal(
                ErrorKind.TOO_MANY_CONNECTIONS, sentence, retry_after_s=1.0
            )
            await self._refuse(exchange, refusal)
            await exchange.linger()
            return
        wait_s = self.bounds.head_wait_s
        while await exchange.wait_first_byte(wait_s):
            request = await self._next_request(exchange)
            if request is None:
                break
            self.busy += 1
            try:
                await self._handle(request, exchange)
            finally:
                self.busy -= 1
            if not self._ready_for_next(exchange):
                break
            wait_s = self.bounds.idle_wait_s
        await exchange.linger()

    async def _handle(self, request: Request, exchange: Exchange) -> None:
        try:
            await self.handler(request, exchange)
        except HttpError as exc:
            await self._refuse(exchange, exc.refusal)
        except (CallerGoneError, ConnectionError):
            raise
        except Exception as exc:
            self.faults += 1
            log.exception(f"{request.method} {request.path[:200]} failed: {exc!r}.")
            sentence = "This entry process failed inside; it goes on."
            refusal = Refusal(ErrorKind.INTERNAL, sentence, Ran.MAYBE)
            await self._refuse(exchange, refusal)

    async def _next_request(self, exchange: Exchange) -> Request | None:
        exchange.answered = False
        try:
            event = await exchange.next_event(self.bounds.head_wait_s)
        except TimeoutError:
            await self._refuse(exchange, _slow(self.bounds.head_wait_s))
            return None
        except h11.RemoteProtocolError as exc:
            await self._refuse(exchange, _malformed(exc))
            return None
        if not isinstance(event, h11.Request):
            return None
        return _make_request(event, exchange)

    def _ready_for_next(self, exchange: Exchange) -> bool:
        connection = exchange.connection
        if connection.our_state is not h11.DONE:
            return False
        try:
            while connection.their_state is h11.SEND_BODY:
                if connection.next_event() is h11.NEED_DATA:
                    return False
            connection.start_next_cycle()
        except h11.ProtocolError:
            return False
        return True

    async def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        if exchange.answered:
            # A part of the answer is out: only a cut tells that it is not whole.
            raise CallerGoneError
        await self.send_refusal(exchange, refusal)

    def begin_close(self) -> None:
        """Ask callers to close: answers say that the connection ends."""
        self.closing = True

    async def close(self, drain_s: float) -> None:
        """Stop listening, let requests end, close what is left after ``drain_s``.

        Who connected last is given a moment more to send its request and be refused.
        """
        self.closing = True
        # One turn of the loop accepts who has connected already.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        if self.server is not None:
            self.server.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(drain_s):
                while self.busy:
                    await asyncio.sleep(DRAIN_STEP_S)
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=LATE_S)
        for task in list(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=LATE_S)


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
