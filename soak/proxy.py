"""Forward loopback TCP connections to a target, with faults injected on the way.

The proxy can delay data, limit its rate, block one or both directions, reset
connections, and silence those that are open: these carry nothing any more, while new
ones work. It never drops, changes or reorders the data of another connection that stays
open.
"""

import asyncio
import contextlib
import dataclasses
import enum
import random
import time
import typing as t

CHUNK_BYTES: t.Final = 65_536
# Small enough that a slow link carries a chunk in less time than a heartbeat interval.
LIMITED_CHUNK_BYTES: t.Final = 8192
# Between two attempts to connect to a target that has closed the connection.
DIAL_INTERVAL_S: t.Final = 0.02
SLOW_SHARE: t.Final = 0.5


class LinkFault(enum.Enum):
    """Fault that a proxy applies to the data in transit."""

    NONE = "none"
    DELAY = "delay"
    # Answers of some connections overtake those of others.
    JITTER = "jitter"
    BLOCK_BOTH = "silent"
    BLOCK_REQUESTS = "no requests"
    BLOCK_ANSWERS = "no answers"


@dataclasses.dataclass
class _Link:
    """A client's connection, and the one to the target that it goes over now."""

    number: int
    # Its answers are slow under ``LinkFault.JITTER``.
    is_slow: bool
    client_writer: asyncio.StreamWriter
    target_writer: asyncio.StreamWriter | None = None


@dataclasses.dataclass
class FaultProxy:
    """Listen on a loopback port and forward each connection to ``target``.

    ``target`` is ``host:port``. ``fault`` may be changed while connections are open.
    ``delay_s`` applies to each chunk of data under ``LinkFault.DELAY``; under
    ``LinkFault.JITTER`` answers of half of the connections wait up to ``jitter_s``. All
    connections share ``bytes_per_s`` in each direction; 0 means no limit. With
    ``keeps_connections`` a client's connection stays open when the target closes it;
    the next data goes to the target anew, once it can be connected to.
    """

    target: str
    # What it is called as the subject of a disruption.
    name: str = ""
    fault: LinkFault = LinkFault.NONE
    delay_s: float = 0.1
    jitter_s: float = 0.58
    bytes_per_s: float = 0.0
    keeps_connections: bool = False
    rng: random.Random = dataclasses.field(default_factory=lambda: random.Random(1))
    # Until when the link is busy, by direction.
    busy_until_s: dict[LinkFault, float] = dataclasses.field(default_factory=dict)
    server: asyncio.Server | None = None
    address: str = ""
    # The open connections that are silent; new ones have a higher number.
    silent_upto: int = 0
    connection_count: int = 0
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    tasks: set[asyncio.Task[t.Any]] = dataclasses.field(default_factory=set)

    async def start(self) -> str:
        """Start listening and return the address as ``host:port``."""
        self.name = self.name or f"link to {self.target}"
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    async def move(self) -> str:
        """Listen at another address, and return it; open connections stay open."""
        if self.server is not None:
            self.server.close()
        return await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        self.connection_count += 1
        link = _Link(self.connection_count, self.rng.random() < SLOW_SHARE, writer)
        try:
            await self._dial(link)
        except OSError:
            writer.transport.abort()
            return
        self._start_task(self._forward_requests(link, reader))

    def _start_task(self, forwarding: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(forwarding)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dial(self, link: _Link) -> asyncio.StreamWriter:
        """Connect to the target, and forward its answers; raises OSError."""
        host, _, port = self.target.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.writers.add(writer)
        link.target_writer = writer
        self._start_task(self._forward_answers(link, reader, writer))
        return writer

    async def _find_target(self, link: _Link) -> asyncio.StreamWriter:
        """Return the connection to the target; wait until there is one if it ended."""
        while link.target_writer is None:
            try:
                return await self._dial(link)
            except OSError:
                await asyncio.sleep(DIAL_INTERVAL_S)
        return link.target_writer

    async def _forward_requests(
        self, link: _Link, reader: asyncio.StreamReader
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await self._read(reader, LinkFault.BLOCK_REQUESTS, link):
                writer = await self._find_target(link)
                writer.write(data)
                await writer.drain()
        if link.number > self.silent_upto and link.target_writer is not None:
            self._close(link.target_writer)

    async def _forward_answers(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await self._read(reader, LinkFault.BLOCK_ANSWERS, link):
                link.client_writer.write(data)
                await link.client_writer.drain()
        if link.number <= self.silent_upto:
            return
        if self.keeps_connections and not link.client_writer.is_closing():
            link.target_writer = None
            self._close(writer)
        else:
            self._close(link.client_writer)

    def _close(self, writer: asyncio.StreamWriter) -> None:
        writer.close()
        self.writers.discard(writer)

    async def _read(
        self, source: asyncio.StreamReader, blocking_fault: LinkFault, link: _Link
    ) -> bytes:
        """Read data once it may be forwarded; return none at the end."""
        chunk_bytes = LIMITED_CHUNK_BYTES if self.bytes_per_s else CHUNK_BYTES
        data = await source.read(chunk_bytes)
        if not data:
            return b""
        # Blocked data is delivered late and in order once the fault is cleared.
        while self.fault in (LinkFault.BLOCK_BOTH, blocking_fault):
            await asyncio.sleep(0.02)
        if self.fault is LinkFault.DELAY:
            await asyncio.sleep(self.delay_s)
        is_slow = link.is_slow and blocking_fault is LinkFault.BLOCK_ANSWERS
        if self.fault is LinkFault.JITTER and is_slow:
            await asyncio.sleep(self.rng.uniform(self.jitter_s / 2, self.jitter_s))
        await self._wait_for_link(len(data), blocking_fault)
        if link.number <= self.silent_upto:
            # Nothing of it arrives, not even that it is closed.
            await asyncio.Event().wait()
        return data

    async def _wait_for_link(self, size_bytes: int, direction: LinkFault) -> None:
        """Wait for as long as the data takes on a link of the limited rate."""
        if not self.bytes_per_s:
            return
        now_s = time.monotonic()
        busy_until_s = max(self.busy_until_s.get(direction, 0.0), now_s)
        self.busy_until_s[direction] = busy_until_s + size_bytes / self.bytes_per_s
        await asyncio.sleep(self.busy_until_s[direction] - now_s)

    def silence(self) -> None:
        """Silence the connections that are open, for good."""
        self.silent_upto = self.connection_count

    def reset(self) -> None:
        """Reset all open connections; the proxy keeps listening."""
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def stop(self) -> None:
        """Stop listening and reset all open connections."""
        self.reset()
        for task in list(self.tasks):
            task.cancel()
        if self.server is not None:
            self.server.close()
