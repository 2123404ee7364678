"""Bound the memory that the bodies of a server's requests take together.

A body counts from its first byte until its request has been answered. Where all of
them are over the bound, the largest body that has not ended is given up: its request
has not run. Small bodies are never given up, so that ordinary requests are served
beside a crowd of large ones.
"""

import dataclasses
import typing as t

# A body of this size counts, but is never given up.
SMALL_BODY_BYTES: t.Final = 8192


@dataclasses.dataclass(eq=False, slots=True)
class HeldBody:
    """The body of one request; ``give_up`` ends its reading."""

    give_up: t.Callable[[], None]
    size_bytes: int = 0


@dataclasses.dataclass(eq=False)
class BodyMemory:
    """The bodies of one server; ``unfinished`` are those still being received."""

    max_bytes: int
    held_bytes: int = 0
    given_up_count: int = 0
    unfinished: dict[HeldBody, None] = dataclasses.field(default_factory=dict)

    def open(self, give_up: t.Callable[[], None]) -> HeldBody:
        """Return a new body without bytes."""
        body = HeldBody(give_up)
        self.unfinished[body] = None
        return body

    def add(self, body: HeldBody, size_bytes: int) -> bool:
        """Count bytes that have come; return False if there is no room for them."""
        body.size_bytes += size_bytes
        self.held_bytes += size_bytes
        while self.held_bytes > self.max_bytes:
            largest = max(
                self.unfinished, key=lambda held: held.size_bytes, default=body
            )
            if largest.size_bytes <= SMALL_BODY_BYTES:
                break
            self.release(largest)
            self.given_up_count += 1
            if largest is body:
                return False
            largest.give_up()
        return self.held_bytes <= self.max_bytes or body.size_bytes <= SMALL_BODY_BYTES

    def finish(self, body: HeldBody) -> None:
        """Keep a body that has come whole until it is released."""
        self.unfinished.pop(body, None)

    def release(self, body: HeldBody) -> None:
        """Count a body no more."""
        self.unfinished.pop(body, None)
        self.held_bytes -= body.size_bytes
        body.size_bytes = 0
