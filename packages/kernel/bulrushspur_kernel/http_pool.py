"""Open HTTP connections to one address, kept for further requests."""

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
# An answer whose body goes on arriving is waited for; a pause this long ends it.
BODY_IDLE_TIMEOUT_S: t.Final = 1.0
# More of one body than this may fill a slow link for a while.
MIN_BULK_BYTES: t.Final = 32_768


@dataclasses.dataclass
class HttpPool:
    """Idle connections to one address; broken ones are dropped."""

    address: str
    host: str = ""
    idle_connections: list[ClientConnection] = dataclasses.field(default_factory=list)
    opened_connections: int = 0
    # When a part of a large body last arrived, on the steady clock.
    last_bulk_s: float = -1e9

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: t.Sequence[tuple[str, str]] = (),
        timeout_s: float = 1.0,
    ) -> HttpResponse:
        """Make one request; raises NotSentError, or LostError when in doubt.

        ``timeout_s`` bounds the wait for the answer to begin; its body may take longer.
        """
        call = await self._take(timeout_s)
        whole = False
        try:
            async with asyncio.timeout(timeout_s) as limit:
                rows = [("host", self.host or self.address), *headers]
                if body:
                    rows.append(("content-type", "application/json"))
                await call.send_request(method, path, rows, body)
                status = await call.read_response_head()
                data = await self._read_body(call, limit)
                answer = HttpResponse(status, dict(call.headers), data)
            whole = True
        except TimeoutError as exc:
            raise ResponseLostError(f"no answer in {timeout_s:g} s") from exc
        finally:
            if (
                whole
                and call.prepare_reuse()
                and len(self.idle_connections) < MAX_IDLE_CONNECTIONS
            ):
                self.idle_connections.append(call)
            else:
                call.abort()
        return answer

    async def _read_body(self, call: ClientConnection, limit: asyncio.Timeout) -> bytes:
        """Read a body, and move the limit of time on with each part."""
        loop = asyncio.get_running_loop()
        parts: list[bytes] = []
        size = 0
        async for data in call.iter_body():
            parts.append(data)
            size += len(data)
            if size > MIN_BULK_BYTES:
                self.last_bulk_s = time.monotonic()
                limit.reschedule(
                    max(limit.when() or 0.0, loop.time() + BODY_IDLE_TIMEOUT_S)
                )
        return b"".join(parts)

    async def _take(self, timeout_s: float) -> ClientConnection:
        while self.idle_connections:
            call = self.idle_connections.pop()
            if not call.reader.at_eof() and not call.writer.is_closing():
                return call
            call.abort()
        call = await open_client_connection(
            self.address, min(CONNECT_TIMEOUT_S, timeout_s)
        )
        self.opened_connections += 1
        _set_options(call.writer.get_extra_info("socket"))
        return call

    def close_idle(self) -> None:
        """Close idle connections, as after a silence."""
        while self.idle_connections:
            self.idle_connections.pop().abort()


def _set_options(sock: socket.socket | None) -> None:
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def make_http_pool(address: str) -> HttpPool:
    """Make a pool without open connections."""
    return HttpPool(address)


__all__ = ["HttpPool", "NotSentError", "ResponseLostError", "make_http_pool"]
