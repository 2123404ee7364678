"""Send requests one after the other on a connection until the server ends it."""

import asyncio
import contextlib
import dataclasses
import time

import h11

CHUNK_BYTES = 8192
CONNECT_TIMEOUT_S = 1.0


@dataclasses.dataclass
class Attempt:
    """A request, and what came back on its connection; times are monotonic.

    ``status`` is 0 unless a whole answer came; ``ended_s`` is when it did, or when the
    connection ended.
    """

    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""

    def is_given_up(self, slack_s: float) -> bool:
        """Return whether the connection ended later than ``slack_s`` without answer."""
        return not self.status and self.ended_s - self.sent_s > slack_s


class KeptConnection:
    """A connection of a client that reads the answer before its next request."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.connection = h11.Connection(h11.CLIENT)
        self.attempts = []
        self.is_open = True

    async def send(self, method, target, headers, body=b""):
        """Send a request and return the attempt once it has ended."""
        head = h11.Request(
            method=method,
            target=target,
            headers=[*headers, ("content-length", str(len(body)))],
        )
        data = self.connection.send(head)
        data += self.connection.send(h11.Data(data=body)) if body else b""
        data += self.connection.send(h11.EndOfMessage())
        attempt = Attempt(time.monotonic())
        self.attempts.append(attempt)
        with contextlib.suppress(OSError):
            self.writer.write(data)
            await self._read_answer(attempt)
        attempt.ended_s = time.monotonic()
        self._prepare_next(attempt)
        return attempt

    async def _read_answer(self, attempt):
        status = 0
        while True:
            event = self._next_event()
            if event is None:
                return
            if event is h11.NEED_DATA:
                self.connection.receive_data(await self.reader.read(CHUNK_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
                attempt.headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                attempt.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                attempt.status = status
                return
            else:
                return

    def _next_event(self):
        try:
            return self.connection.next_event()
        except h11.RemoteProtocolError:
            return None

    def _prepare_next(self, attempt):
        states = (self.connection.our_state, self.connection.their_state)
        self.is_open = bool(attempt.status) and states == (h11.DONE, h11.DONE)
        if self.is_open:
            self.connection.start_next_cycle()

    async def close(self):
        self.is_open = False
        self.writer.close()
        with contextlib.suppress(OSError):
            await self.writer.wait_closed()


async def open_kept_connection(address):
    """Connect to ``host:port``; raises OSError or TimeoutError."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        return KeptConnection(*await asyncio.open_connection(host, int(port)))
