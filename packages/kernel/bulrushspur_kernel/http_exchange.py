"""Read requests and send responses on one HTTP/1.1 connection of a server.

An ``Exchange`` wraps the streams of a connection and its h11 state. Every wait for the
caller has a time limit and every request body a size limit; what connections share is
in ``SharedLimits``. ``HttpError`` carries the refusal to send;
``CallerDisconnectedError`` means that no response can be sent.
"""

import asyncio
import contextlib
import dataclasses
import typing as t
import urllib.parse

import h11

from bulrushspur_kernel.body_memory import BodyMemory, HeldBody
from bulrushspur_kernel.errors import ErrorKind, Refusal
from bulrushspur_kernel.http_refusals import (
    make_malformed_refusal,
    make_no_memory_refusal,
    make_slow_sender_refusal,
    make_stopping_refusal,
)
from bulrushspur_kernel.settings import Bounds

READ_CHUNK_BYTES: t.Final = 8192
# A connection that has parsed so many parts of a request lets others go on.
EVENTS_PER_TURN: t.Final = 64
LINGER_TIMEOUT_S: t.Final = 1.0
# A request without these has no body.
BODY_HEADERS: t.Final = frozenset({b"content-length", b"transfer-encoding"})

Headers = list[tuple[bytes, bytes]]


class HttpError(Exception):
    """Signal that a request is refused at the HTTP level; carries the refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.sentence)
        self.refusal = refusal


class CallerDisconnectedError(Exception):
    """Signal that the caller has disconnected or takes no more data."""


@dataclasses.dataclass
class Request:
    """The head of a request; the body is read on demand."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    exchange: "Exchange"

    async def iter_body(self) -> t.AsyncIterator[bytes]:
        """Yield the body in chunks; raises HttpError if it is too large or too slow."""
        async for data in self.exchange.iter_body():
            yield data

    async def read_full_body(self, max_bytes: int) -> bytes:
        """Read the whole body; raises HttpError if it is larger than ``max_bytes``."""
        rv = bytearray()
        async for data in self.iter_body():
            rv += data
            if len(rv) > max_bytes:
                raise HttpError(
                    Refusal(
                        ErrorKind.BODY_TOO_LARGE,
                        f"The body is larger than {max_bytes} bytes.",
                    )
                )
        return bytes(rv)


class EofNotifyingReader(asyncio.StreamReader):
    """A stream reader that calls ``on_eof`` as soon as the peer has closed its side."""

    on_eof: t.Callable[[], None] | None = None

    def has_data(self) -> bool:
        """Return whether there is data that was received and not read yet."""
        return bool(self._buffer)

    def feed_eof(self) -> None:
        """Record the end of the stream and notify."""
        super().feed_eof()
        if self.on_eof is not None:
            self.on_eof()

    def set_exception(self, exc: BaseException) -> None:
        """Record the loss of the connection and notify."""
        super().set_exception(exc)
        if self.on_eof is not None:
            self.on_eof()


@dataclasses.dataclass(eq=False)
class SharedLimits:
    """What the connections of one server share.

    ``waiting`` are the connections that wait for the rest of a request, the one that
    has waited longest first. ``turn`` is held by the one that parses on: a crowd of
    requests in very small parts takes one turn of the event loop each.
    """

    bodies: BodyMemory
    waiting: dict["Exchange", None] = dataclasses.field(default_factory=dict)
    turn: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)


@dataclasses.dataclass(eq=False)
class Exchange:
    """One connection with its current request and response."""

    reader: EofNotifyingReader
    writer: asyncio.StreamWriter
    bounds: Bounds
    is_closing: t.Callable[[], bool]
    connection: h11.Connection
    limits: SharedLimits
    response_started: bool = False
    event_count: int = 0
    # The end of a request without body, until a handler reads it.
    unread_end: h11.EndOfMessage | None = None
    body: HeldBody | None = None
    # Why the rest of the request is not waited for.
    given_up: Refusal | None = None
    read_timeout: asyncio.Timeout | None = None
    idle_timeout: asyncio.Timeout | None = None
    # Ends the handling of the current request; None while there is none.
    handling_timeout: asyncio.Timeout | None = None
    # The current request, until its response is complete, and when it was read.
    request: Request | None = None
    request_read_s: float = 0.0
    # Gets the status of each response.
    count_response: t.Callable[[int], None] = lambda status: None

    async def next_event(self, timeout_s: float) -> t.Any:
        """Return the next event of h11, reading as needed.

        Raises TimeoutError, or h11.RemoteProtocolError for malformed input.
        """
        await self._take_turn()
        if self.given_up is not None:
            raise TimeoutError
        if self.unread_end is not None:
            end, self.unread_end = self.unread_end, None
            return end
        event = self.connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            async with asyncio.timeout(timeout_s) as self.read_timeout:
                return await self._read_event()
        finally:
            self.read_timeout = None

    async def _read_event(self) -> t.Any:
        while True:
            if self.connection.they_are_waiting_for_100_continue:
                head = h11.InformationalResponse(status_code=100, headers=[])
                await self._write(self.connection.send(head))
            self.connection.receive_data(await self._wait_data())
            event = self.connection.next_event()
            if event is not h11.NEED_DATA:
                return event

    async def _take_turn(self) -> None:
        """Let other connections go on after a number of parts of a request."""
        self.event_count += 1
        if self.event_count % EVENTS_PER_TURN == 0:
            with self._counted_as_waiting():
                async with self.limits.turn:
                    await asyncio.sleep(0)

    async def _wait_data(self) -> bytes:
        with self._counted_as_waiting():
            return await self.reader.read(READ_CHUNK_BYTES)

    @contextlib.contextmanager
    def _counted_as_waiting(self) -> t.Iterator[None]:
        self.limits.waiting[self] = None
        try:
            yield
        finally:
            self.limits.waiting.pop(self, None)

    def give_up(self, refusal: Refusal) -> None:
        """Refuse the request without waiting for the rest of it."""
        self.given_up = refusal
        self.limits.waiting.pop(self, None)
        _expire(self.read_timeout)

    def end_request(self) -> None:
        """Refuse the current request, if there is one without a response.

        Its rest is not waited for; if it has come, its handling is interrupted.
        """
        if self in self.limits.waiting:
            self.give_up(make_stopping_refusal())
        elif not self.response_started:
            _expire(self.handling_timeout)

    def end_idle(self) -> None:
        """Wait no longer for a next request."""
        _expire(self.idle_timeout)

    def has_next_request(self) -> bool:
        """Return whether data of a next request has been received already."""
        if self.connection.their_state is not h11.DONE:
            return False
        return bool(self.connection.trailing_data[0]) or self.reader.has_data()

    def is_unanswered(self) -> bool:
        """Return whether a complete request has no complete response."""
        if self.request is None:
            return False
        return self.connection.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def complete_empty_request(self, head: h11.Request) -> None:
        """Take the end of a request without body, which has come with its head.

        So it is complete also for a handler that reads no body.
        """
        names = {name for name, _ in head.headers}
        if names.isdisjoint(BODY_HEADERS):
            event = self.connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                self.unread_end = event

    def begin_request(self) -> None:
        """Forget the request before."""
        self.unread_end = None
        self.response_started = False
        self.event_count = 0
        self.given_up = None

    def release_body(self) -> None:
        """Count the body of the current request no more."""
        if self.body is not None:
            self.limits.bodies.release(self.body)
            self.body = None

    async def wait_first_byte(self, timeout_s: float) -> bool:
        """Wait for the next request; return False on a timeout or end of stream."""
        if self.connection.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(timeout_s) as self.idle_timeout:
                data = await self.reader.read(READ_CHUNK_BYTES)
        except TimeoutError:
            if not self.reader.has_data():
                return False
            data = await self.reader.read(READ_CHUNK_BYTES)
        finally:
            self.idle_timeout = None
        if data:
            self.connection.receive_data(data)
        return bool(data)

    async def iter_body(self) -> t.AsyncIterator[bytes]:
        """Yield the body of the current request in chunks.

        Raises HttpError if the body is malformed, too large, too slow, or given up,
        and CallerDisconnectedError if the caller disconnects.
        """
        total = 0
        self.body = body = self.limits.bodies.open(
            lambda: self.give_up(make_no_memory_refusal())
        )
        while True:
            try:
                event = await self.next_event(self.bounds.body_wait_s)
            except TimeoutError as exc:
                refusal = make_slow_sender_refusal(self.bounds.body_wait_s)
                raise HttpError(self.given_up or refusal) from exc
            except h11.RemoteProtocolError as exc:
                if self.reader.at_eof():
                    raise CallerDisconnectedError from exc
                raise HttpError(make_malformed_refusal(exc)) from exc
            if self.given_up is not None:
                raise HttpError(self.given_up)
            if isinstance(event, h11.EndOfMessage):
                self.limits.bodies.finish(body)
                return
            if not isinstance(event, h11.Data):
                raise CallerDisconnectedError
            total += len(event.data)
            if total > self.bounds.body_bytes:
                sentence = f"The body is larger than {self.bounds.body_bytes} bytes."
                raise HttpError(Refusal(ErrorKind.BODY_TOO_LARGE, sentence))
            if not self.limits.bodies.add(body, len(event.data)):
                raise HttpError(make_no_memory_refusal())
            yield bytes(event.data)

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the status line and the headers of the response."""
        await self._write(self._encode_head(status, headers))

    async def send_body_part(self, data: bytes) -> None:
        """Send a part of the response body, and wait while the write buffer is full."""
        await self._write(self._encode(h11.Data(data=data)))

    async def end_response(self) -> None:
        """Send the end of the response."""
        await self._write(self._encode(h11.EndOfMessage()))

    async def send_json(
        self, status: int, body: bytes, headers: Headers | None = None
    ) -> None:
        """Send a complete response with a JSON body."""
        all_headers = [(b"content-type", b"application/json"), *(headers or [])]
        await self.send_response(status, [body], all_headers)

    async def send_response(
        self, status: int, parts: list[bytes], headers: Headers
    ) -> None:
        """Send a complete response in one write."""
        size = str(sum(map(len, parts))).encode()
        data = [self._encode_head(status, [*headers, (b"content-length", size)])]
        data += [self._encode(h11.Data(data=part)) for part in parts if part]
        data.append(self._encode(h11.EndOfMessage()))
        await self._write(b"".join(data))

    def on_disconnect(self, callback: t.Callable[[], None] | None) -> None:
        """Set the callback for when the caller closes its side; call it if it has."""
        self.reader.on_eof = callback
        if callback is not None and self.reader.at_eof():
            callback()

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        self.response_started = True
        self.count_response(status)
        # Requests that have been received already are answered on this connection.
        if self.is_closing() and not self.has_next_request():
            headers = [*headers, (b"connection", b"close")]
        return self._encode(h11.Response(status_code=status, headers=headers))

    def _encode(self, event: t.Any) -> bytes:
        try:
            return self.connection.send(event) or b""
        except h11.LocalProtocolError as exc:
            raise CallerDisconnectedError from exc

    async def _write(self, data: bytes) -> None:
        if not data:
            return
        if self.writer.is_closing():
            raise CallerDisconnectedError
        self.writer.write(data)
        if not self.writer.transport.get_write_buffer_size():
            return
        try:
            async with asyncio.timeout(self.bounds.body_wait_s):
                await self.writer.drain()
        except (OSError, TimeoutError) as exc:
            raise CallerDisconnectedError from exc

    async def linger(self) -> None:
        """Discard further input for up to LINGER_TIMEOUT_S before the close.

        Closing a socket with unread input sends a reset, which can destroy a response
        that the caller has not read yet.
        """
        with contextlib.suppress(OSError, TimeoutError, RuntimeError):
            if self.reader.at_eof() or not self.writer.can_write_eof():
                return
            self.writer.write_eof()
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                while await self.reader.read(READ_CHUNK_BYTES):
                    pass


def _expire(timeout: asyncio.Timeout | None) -> None:
    if timeout is not None and not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())


def make_request(event: h11.Request, exchange: Exchange) -> Request:
    """Make a request from the event for its head."""
    target = event.target.decode("latin-1")
    path, _, query = target.partition("?")
    return Request(
        event.method.decode("ascii"),
        urllib.parse.unquote(path),
        dict(urllib.parse.parse_qsl(query)),
        {k.decode("ascii"): v.decode("latin-1") for k, v in event.headers},
        exchange,
    )
