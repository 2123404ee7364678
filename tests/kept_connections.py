"""Send requests on a connection until the server ends it, also before answers came."""

import asyncio
import contextlib
import dataclasses
import math
import time

import h11

CHUNK_BYTES = 8192
CONNECT_TIMEOUT_S = 1.0


@dataclasses.dataclass
class Attempt:
    """A request, and what came back on its connection; times are monotonic.

    ``sent_s`` is when its last byte was sent, infinite before. ``status`` is 0 unless a
    whole answer came; ``ended_s`` is when it did, or when the connection ended.
    """

    sent_s: float = math.inf
    ended_s: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""

    def is_given_up(self, slack_s: float) -> bool:
        """Return whether the connection ended later than ``slack_s`` without answer."""
        return not self.status and self.ended_s - self.sent_s > slack_s


class KeptConnection:
    """A connection of a client that is used until the server ends it."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.attempts = []
        self.is_open = True
        # What was received and belongs to no answer yet.
        self.unread = b""

    async def send(self, method, target, headers, body=b"", pause_s=0.0):
        """Send a request and return the attempt once it has ended.

        Its last byte is sent ``pause_s`` seconds after the others.
        """
        request = (method, target, headers, body)
        [attempt] = await self.send_all([request], pause_s)
        return attempt

    async def send_all(self, requests, pause_s=0.0):
        """Send requests before any is answered; return an attempt for each.

        The last byte of all is sent ``pause_s`` seconds after the others.
        """
        connections = [h11.Connection(h11.CLIENT) for _ in requests]
        parts = [
            _encode(connection, *request)
            for connection, request in zip(connections, requests, strict=True)
        ]
        attempts = [Attempt() for _ in requests]
        self.attempts += attempts
        sending = asyncio.create_task(self._send_parts(parts, attempts, pause_s))
        try:
            for attempt, connection in zip(attempts, connections, strict=True):
                if self.is_open:
                    await self._read_answer(attempt, connection)
        finally:
            self.is_open = self.is_open and sending.done()
            sending.cancel()
            await asyncio.wait([sending])
            for attempt in attempts:
                attempt.ended_s = attempt.ended_s or time.monotonic()
        return attempts

    async def _send_parts(self, parts, attempts, pause_s):
        *earlier_attempts, last_attempt = attempts
        data = b"".join(parts)
        with contextlib.suppress(OSError):
            if pause_s:
                self.writer.write(data[:-1])
                _mark_sent(earlier_attempts)
                await asyncio.sleep(pause_s)
                data = data[-1:]
            self.writer.write(data)
            _mark_sent([*earlier_attempts, last_attempt])

    async def _read_answer(self, attempt, connection):
        with contextlib.suppress(OSError, h11.RemoteProtocolError):
            if self.unread:
                connection.receive_data(self.unread)
            await self._receive(attempt, connection)
        attempt.ended_s = time.monotonic()
        states = (connection.our_state, connection.their_state)
        self.is_open = bool(attempt.status) and states == (h11.DONE, h11.DONE)
        self.unread = connection.trailing_data[0]

    async def _receive(self, attempt, connection):
        status = 0
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await self.reader.read(CHUNK_BYTES))
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

    async def close(self):
        self.is_open = False
        self.writer.close()
        with contextlib.suppress(OSError):
            await self.writer.wait_closed()


def _encode(connection, method, target, headers, body):
    head = h11.Request(
        method=method,
        target=target,
        headers=[*headers, ("content-length", str(len(body)))],
    )
    data = connection.send(head)
    data += connection.send(h11.Data(data=body)) if body else b""
    return data + connection.send(h11.EndOfMessage())


def _mark_sent(attempts):
    now_s = time.monotonic()
    for attempt in attempts:
        attempt.sent_s = min(attempt.sent_s, now_s)


async def open_kept_connection(address):
    """Connect to ``host:port``; raises OSError or TimeoutError."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        return KeptConnection(*await asyncio.open_connection(host, int(port)))
