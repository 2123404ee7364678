"""Keep HTTP connections to one address open and reuse them for further requests.

A connection returns to the pool only after a complete response; after any failure it is
aborted.
"""

import asyncio
import dataclasses
import socket
import time
import typing as t

from bulrushspur_kernel.http_client import (
    ClientConnection,
    HttpResponse,
    NotSentError,
    ResponseLostError,
    open_client_connection,
)

CONNECT_TIMEOUT_S: t.Final = 0.5
TCP_USER_TIMEOUT_MS: t.Final = 1200
MAX_IDLE_CONNECTIONS: t.Final = 4
# A large body may arrive for longer than the timeout of the request; a gap of this
# length between two parts ends the wait.
BODY_IDLE_TIMEOUT_S: t.Final = 1.0
# A body larger than this may saturate a slow network link for some time.
MIN_BULK_BYTES: t.Final = 32_768


# Sends a request with a body over one connection: method, path, body, headers.
Send = t.Callable[
    [str, str, bytes, t.Sequence[tuple[str, str]]], t.Awaitable[HttpResponse]
]


@dataclasses.dataclass
class HttpPool:
    """A pool of idle connections to one address."""

    address: str
    host: str = ""
    idle_connections: list[ClientConnection] = dataclasses.field(default_factory=list)
    opened_connections: int = 0
    # The monotonic time at which part of a large body last arrived; initially never.
    last_bulk_s: float = -1e9

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: t.Sequence[tuple[str, str]] = (),
        timeout_s: float = 1.0,
        on_received: t.Callable[[int], None] | None = None,
        verify: t.Callable[[Send], t.Awaitable[None]] | None = None,
    ) -> HttpResponse:
        """Make one request; raises NotSentError or ResponseLostError.

        ``timeout_s`` limits the wait for the response; while the parts of a large body
        keep arriving, the wait continues. ``on_received`` gets the number of bytes of
        each part of the body when it arrives. ``verify`` is called before a request
        over a new connection; the request is not sent if it raises an error.
        """
        connection, is_new = await self._acquire(timeout_s)
        complete = False
        try:
            if is_new and verify is not None:
                await self._verify(connection, verify, timeout_s)
            async with asyncio.timeout(timeout_s) as timeout:
                response = await self._exchange(
                    connection, method, path, body, headers, timeout, on_received
                )
            complete = True
        except TimeoutError as exc:
            raise ResponseLostError(f"no answer in {timeout_s:g} s") from exc
        finally:
            if (
                complete
                and connection.prepare_reuse()
                and len(self.idle_connections) < MAX_IDLE_CONNECTIONS
            ):
                self.idle_connections.append(connection)
            else:
                connection.abort()
        return response

    async def _verify(
        self,
        connection: ClientConnection,
        verify: t.Callable[[Send], t.Awaitable[None]],
        timeout_s: float,
    ) -> None:
        """Verify a new connection; raises NotSentError, also if there is no answer."""
        try:
            async with asyncio.timeout(timeout_s) as timeout:

                async def send(
                    method: str,
                    path: str,
                    body: bytes,
                    headers: t.Sequence[tuple[str, str]],
                ) -> HttpResponse:
                    return await self._exchange(
                        connection, method, path, body, headers, timeout, None
                    )

                await verify(send)
        except (TimeoutError, ResponseLostError) as exc:
            raise NotSentError(f"{self.address} does not answer") from exc
        if not connection.prepare_reuse():
            raise NotSentError(f"{self.address} has closed the connection")

    async def _exchange(
        self,
        connection: ClientConnection,
        method: str,
        path: str,
        body: bytes,
        headers: t.Sequence[tuple[str, str]],
        timeout: asyncio.Timeout,
        on_received: t.Callable[[int], None] | None,
    ) -> HttpResponse:
        """Send one request over a connection and read the response whole."""
        all_headers = [("host", self.host or self.address), *headers]
        if body:
            all_headers.append(("content-type", "application/json"))
        await connection.send_request(method, path, all_headers, body)
        status = await connection.read_response_head()
        data = await self._read_body(connection, timeout, on_received)
        return HttpResponse(status, dict(connection.headers), data)

    async def _read_body(
        self,
        connection: ClientConnection,
        timeout: asyncio.Timeout,
        on_received: t.Callable[[int], None] | None,
    ) -> bytes:
        """Read a body; extend the timeout with each part of a large one."""
        loop = asyncio.get_running_loop()
        parts: list[bytes] = []
        size = 0
        async for data in connection.iter_body():
            parts.append(data)
            size += len(data)
            if on_received is not None:
                on_received(len(data))
            if size > MIN_BULK_BYTES:
                self.last_bulk_s = time.monotonic()
                timeout.reschedule(
                    max(timeout.when() or 0.0, loop.time() + BODY_IDLE_TIMEOUT_S)
                )
        return b"".join(parts)

    async def _acquire(self, timeout_s: float) -> tuple[ClientConnection, bool]:
        """Return an idle connection, or a new one and True."""
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection, False
            connection.abort()
        connection = await open_client_connection(
            self.address, min(CONNECT_TIMEOUT_S, timeout_s)
        )
        self.opened_connections += 1
        _set_socket_options(connection.writer.get_extra_info("socket"))
        return connection, True

    def has_open_connection(self) -> bool:
        """Return whether the next request goes over a connection that was answered."""
        return any(
            not connection.reader.at_eof() and not connection.writer.is_closing()
            for connection in self.idle_connections
        )

    def close_idle(self) -> None:
        """Close all idle connections, for example after the peer was unresponsive."""
        while self.idle_connections:
            self.idle_connections.pop().abort()

    async def close(self) -> None:
        """Close all idle connections and wait until their sockets are released.

        No request may be in progress. Without this, the connections outlive the event
        loop, and the interpreter complains of each on standard error.
        """
        connections = list(self.idle_connections)
        self.close_idle()
        for connection in connections:
            await connection.wait_closed()


def _set_socket_options(sock: socket.socket | None) -> None:
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def make_http_pool(address: str) -> HttpPool:
    """Make a pool for ``host:port``; connections are opened on demand."""
    return HttpPool(address)


__all__ = ["HttpPool", "NotSentError", "ResponseLostError", "make_http_pool"]
