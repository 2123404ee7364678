"""An HTTP/1.1 client: h11 on asyncio streams."""

import asyncio
import dataclasses
import typing as t

import h11

from bulrushspur_kernel.settings import split_address

READ_CHUNK_BYTES: t.Final = 65_536
MAX_BUFFER_BYTES: t.Final = 262_144

Headers = list[tuple[str, str]]


class NotSentError(Exception):
    """Tell that nothing of the request can have reached the other side."""


class ResponseLostError(Exception):
    """Tell that the connection was lost after something was sent."""


@dataclasses.dataclass
class ClientConnection:
    """One connection with one request and its answer."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    connection: h11.Connection
    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)

    async def send_request(
        self, method: str, path: str, headers: Headers, body: bytes
    ) -> None:
        """Send a request whose body is here already, in one write."""
        rows = [*headers, ("content-length", str(len(body)))]
        request = h11.Request(method=method, target=path, headers=rows)
        await self._send(request, h11.Data(data=body), h11.EndOfMessage())

    async def read_response_head(self) -> int:
        """Read the head of the answer and return its status; raises LostError."""
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
        """Yield the body of the answer; raises LostError if it is cut."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ResponseLostError("the connection closed inside the answer")
            yield bytes(event.data)

    async def read_full_body(self) -> bytes:
        """Read the whole body of the answer."""
        return b"".join([data async for data in self.iter_body()])

    def prepare_reuse(self) -> bool:
        """Make ready for another request; false if the connection must close."""
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
        """Close the connection and drop what was not sent yet."""
        self.writer.transport.abort()

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
    """Connect to ``host:port`` within ``wait_s`` seconds; raises NotSentError."""
    host, port = split_address(address)
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, limit=MAX_BUFFER_BYTES
            )
    except (OSError, TimeoutError) as exc:
        raise NotSentError(f"{address} does not answer") from exc
    return ClientConnection(reader, writer, h11.Connection(h11.CLIENT))


@dataclasses.dataclass
class HttpResponse:
    """A small answer that was read whole."""

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
    """Make one small request; raises NotSentError, or LostError when in doubt."""
    answer = await fetch_response(method, address, path, body, headers, timeout_s)
    return answer.status, answer.body


async def fetch_response(
    method: str,
    address: str,
    path: str,
    body: bytes = b"",
    headers: Headers | None = None,
    timeout_s: float = 5.0,
    host: str = "",
) -> HttpResponse:
    """Make one small request; raises NotSentError, or LostError when in doubt."""
    call = await open_client_connection(address, timeout_s)
    rows = [("host", host or address), *(headers or [])]
    try:
        async with asyncio.timeout(timeout_s):
            await call.send_request(method, path, rows, body)
            status = await call.read_response_head()
            return HttpResponse(status, dict(call.headers), await call.read_full_body())
    except TimeoutError as exc:
        raise ResponseLostError(f"{address} did not answer in {timeout_s:g} s") from exc
    finally:
        call.close()
