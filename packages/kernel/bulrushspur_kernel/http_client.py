"""Send HTTP/1.1 requests with h11 on asyncio streams.

A failed request raises one of two errors: NotSentError if the server cannot have
received any of it, ResponseLostError if the server may have processed it.
"""

import asyncio
import dataclasses
import typing as t

import h11

from bulrushspur_kernel.logs import make_logger
from bulrushspur_kernel.settings import split_address

log = make_logger("http")

READ_CHUNK_BYTES: t.Final = 65_536
MAX_BUFFER_BYTES: t.Final = 262_144

Headers = list[tuple[str, str]]


class NotSentError(Exception):
    """Signal that no part of the request can have reached the server."""


class ResponseLostError(Exception):
    """Signal that the response is missing or cut; the server may have acted on it."""


@dataclasses.dataclass
class ClientConnection:
    """A connection that carries one request at a time.

    All methods that send or read raise ResponseLostError if the connection fails.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    connection: h11.Connection
    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)

    async def send_request(
        self, method: str, path: str, headers: Headers, body: bytes
    ) -> None:
        """Send a request with its body in one write."""
        all_headers = [*headers, ("content-length", str(len(body)))]
        try:
            request = h11.Request(method=method, target=path, headers=all_headers)
        except (ValueError, h11.LocalProtocolError) as exc:
            raise NotSentError(f"the request cannot be sent: {exc}") from exc
        await self._send(request, h11.Data(data=body), h11.EndOfMessage())

    async def read_response_head(self) -> int:
        """Read the head of the response and return the status."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ResponseLostError("the connection closed before the answer")
            self.status = event.status_code
            self.headers = [(k.decode(), v.decode("latin-1")) for k, v in event.headers]
            return self.status

    async def iter_body(self) -> t.AsyncIterator[bytes]:
        """Yield the body of the response; raises ResponseLostError if it is cut."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ResponseLostError("the connection closed during the answer")
            yield bytes(event.data)

    async def read_full_body(self) -> bytes:
        """Read the whole body of the response."""
        return b"".join([data async for data in self.iter_body()])

    def prepare_reuse(self) -> bool:
        """Prepare for the next request; return False if the connection must close."""
        if (
            self.connection.our_state is not h11.DONE
            or self.connection.their_state is not h11.DONE
            or self.writer.is_closing()
        ):
            return False
        self.connection.start_next_cycle()
        return True

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        self.writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until a connection that was aborted has released its socket."""
        try:
            await self.writer.wait_closed()
        except OSError as exc:
            # The connection had failed before; the request on it has reported that.
            log.debug(f"A connection had failed before it was closed: {exc}.")

    async def _send(self, *parts: t.Any) -> None:
        try:
            data = b"".join([self.connection.send(part) or b"" for part in parts])
            if data:
                self.writer.write(data)
                await self.writer.drain()
        except (OSError, h11.LocalProtocolError) as exc:
            raise ResponseLostError(str(exc)) from exc

    async def _next_event(self) -> t.Any:
        try:
            while True:
                event = self.connection.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self.reader.read(READ_CHUNK_BYTES)
                self.connection.receive_data(data)
        except (OSError, h11.RemoteProtocolError) as exc:
            raise ResponseLostError(str(exc)) from exc


async def open_client_connection(address: str, timeout_s: float) -> ClientConnection:
    """Connect to ``host:port`` within ``timeout_s`` seconds; raises NotSentError."""
    try:
        host, port = split_address(address)
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, limit=MAX_BUFFER_BYTES
            )
    except (OSError, TimeoutError) as exc:
        raise NotSentError(f"{address} does not answer") from exc
    except (ValueError, OverflowError) as exc:
        # A port or host that cannot exist.
        raise NotSentError(f"{address[:60]} is no address: {exc}") from exc
    return ClientConnection(reader, writer, h11.Connection(h11.CLIENT))


@dataclasses.dataclass
class HttpResponse:
    """A response with its whole body."""

    status: int
    headers: dict[str, str]
    body: bytes


async def fetch(
    method: str,
    address: str,
    path: str,
    body: bytes = b"",
    headers: Headers | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, bytes]:
    """Make one request on its own connection; return status and body.

    Raises NotSentError or ResponseLostError.
    """
    response = await fetch_response(method, address, path, body, headers, timeout_s)
    return response.status, response.body


async def fetch_response(
    method: str,
    address: str,
    path: str,
    body: bytes = b"",
    headers: Headers | None = None,
    timeout_s: float = 5.0,
    host: str = "",
) -> HttpResponse:
    """Make one request on its own connection and read the response whole.

    ``timeout_s`` applies to the connection and then to the exchange. Raises
    NotSentError or ResponseLostError.
    """
    connection = await open_client_connection(address, timeout_s)
    all_headers = [("host", host or address), *(headers or [])]
    try:
        async with asyncio.timeout(timeout_s):
            await connection.send_request(method, path, all_headers, body)
            status = await connection.read_response_head()
            return HttpResponse(
                status, dict(connection.headers), await connection.read_full_body()
            )
    except TimeoutError as exc:
        raise ResponseLostError(f"{address} did not answer in {timeout_s:g} s") from exc
    finally:
        # Nothing unsent is of use any more, and the event loop may end after this.
        connection.abort()
        await connection.wait_closed()
