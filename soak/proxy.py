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
import time
import typing as t

CHUNK_BYTES: t.Final = 65_536
# Small enough that a slow link carries a chunk in less time than a heartbeat interval.
LIMITED_CHUNK_BYTES: t.Final = 8192


class LinkFault(enum.Enum):
    """Fault that a proxy applies to the data in transit."""

    NONE = "none"
    DELAY = "delay"
    BLOCK_BOTH = "silent"
    BLOCK_REQUESTS = "no requests"
    BLOCK_ANSWERS = "no answers"


@dataclasses.dataclass
class FaultProxy:
    """Listen on a loopback port and forward each connection to ``target``.

    ``target`` is ``host:port``. ``fault`` may be changed while connections are open.
    ``delay_s`` applies to each chunk of data under ``LinkFault.DELAY``. All connections
    share ``bytes_per_s`` in each direction; 0 means no limit.
    """

    target: str
    # What it is called as the subject of a disruption.
    name: str = ""
    fault: LinkFault = LinkFault.NONE
    delay_s: float = 0.1
    bytes_per_s: float = 0.0
    # Until when the link is busy, by direction.
    busy_until_s: dict[LinkFault, float] = dataclasses.field(default_factory=dict)
    server: asyncio.Server | None = None
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
        return f"127.0.0.1:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        self.writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers.add(target_writer)
        self.connection_count += 1
        number = self.connection_count
        for source, sink, blocking_fault in (
            (reader, target_writer, LinkFault.BLOCK_REQUESTS),
            (target_reader, writer, LinkFault.BLOCK_ANSWERS),
        ):
            task = asyncio.create_task(
                self._forward(source, sink, blocking_fault, number)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        blocking_fault: LinkFault,
        number: int,
    ) -> None:
        with contextlib.suppress(OSError):
            chunk_bytes = LIMITED_CHUNK_BYTES if self.bytes_per_s else CHUNK_BYTES
            while data := await source.read(chunk_bytes):
                # Blocked data is delivered late and in order once the fault is cleared.
                while self.fault in (LinkFault.BLOCK_BOTH, blocking_fault):
                    await asyncio.sleep(0.02)
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                await self._wait_for_link(len(data), blocking_fault)
                if number <= self.silent_upto:
                    # Nothing of it arrives, not even that it is closed.
                    await asyncio.Event().wait()
                sink.write(data)
                await sink.drain()
        if number <= self.silent_upto:
            return
        sink.close()
        self.writers.discard(sink)

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
