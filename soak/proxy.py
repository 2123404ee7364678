"""A loopback proxy that delays, resets, silences or cuts one way."""

import asyncio
import contextlib
import dataclasses
import enum
import typing as t


class LinkFault(enum.Enum):
    """What a proxy does to the bytes that pass."""

    NONE = "none"
    DELAY = "delay"
    BLOCK_BOTH = "silent"
    BLOCK_REQUESTS = "no requests"
    BLOCK_ANSWERS = "no answers"


@dataclasses.dataclass
class FaultProxy:
    """A listening address in front of a target."""

    target: str
    fault: LinkFault = LinkFault.NONE
    delay_s: float = 0.1
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    tasks: set[asyncio.Task[t.Any]] = dataclasses.field(default_factory=set)

    async def start(self) -> str:
        """Listen and return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        self.writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers.add(far_writer)
        for source, sink, blocked in (
            (reader, far_writer, LinkFault.BLOCK_REQUESTS),
            (far_reader, writer, LinkFault.BLOCK_ANSWERS),
        ):
            task = asyncio.create_task(self._pump(source, sink, blocked))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        blocked: LinkFault,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65_536):
                # What is held up arrives late, in order, when the fault is over.
                while self.fault in (LinkFault.BLOCK_BOTH, blocked):
                    await asyncio.sleep(0.02)
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                sink.write(data)
                await sink.drain()
        sink.close()
        self.writers.discard(sink)

    def reset(self) -> None:
        """Reset all connections that are open."""
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        self.reset()
        for task in list(self.tasks):
            task.cancel()
        if self.server is not None:
            self.server.close()
