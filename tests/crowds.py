"""Open many connections at once whose clients do not end their request.

Each client sends the head and nearly all of a body, and stays open. A send goes on
until all is sent, the process closes the connection, or nothing more is taken from it.
"""

import asyncio
import contextlib

# Nothing is taken from a client any more if a send waits for so long.
STUCK_S = 3.0
TAIL_BYTES = 1


def make_head(path, host, key, length_header):
    """Return the head of a submission."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"Bulrushspur-Credential: {key}\r\n{length_header}\r\n\r\n"
    ).encode()


def list_whole_parts(body_bytes):
    """Return a body in one part, without its end."""
    return f"Content-Length: {body_bytes}", [b"x" * (body_bytes - TAIL_BYTES)]


def list_piece_parts(body_bytes, piece_count):
    """Return a body in pieces, without its end."""
    piece = b"x" * (body_bytes // piece_count)
    parts = [piece] * (piece_count - 1) + [piece[:-TAIL_BYTES]]
    return f"Content-Length: {len(piece) * piece_count}", parts


def list_chunked_parts(chunk_bytes, chunk_count):
    """Return a chunked body of so many chunks, without the last, empty one."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    chunks_per_part = max(16_384 // len(chunk), 1)
    parts = [chunk * chunks_per_part] * (chunk_count // chunks_per_part)
    return "Transfer-Encoding: chunked", parts


class Crowd:
    """Clients of one entry process that stay open."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.address = host, int(port)
        self.writers = []

    async def send(self, count, head, parts):
        """Let ``count`` clients send at once, until nothing more is taken."""
        await asyncio.gather(*(self._send_one(head, parts) for _ in range(count)))

    async def _send_one(self, head, parts):
        with contextlib.suppress(OSError, TimeoutError):
            _, writer = await asyncio.open_connection(*self.address)
            self.writers.append(writer)
            for part in (head, *parts):
                writer.write(part)
                async with asyncio.timeout(STUCK_S):
                    await writer.drain()
                await asyncio.sleep(0)

    async def close(self):
        """Reset all connections."""
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)
