"""What this process knows of the leader, and requests to it."""

import asyncio
import dataclasses
import itertools
import typing as t

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_kernel.messages import (
    Cancel,
    Heartbeat,
    Message,
    Outcome,
    Query,
    Reply,
    Resign,
    Submit,
)

ATTEMPT_TIMEOUT_S: t.Final = 0.9
HEARTBEAT_TIMEOUT_S: t.Final = 0.7
NOT_READY_RETRY_INTERVAL_S: t.Final = 0.05

LeaderRequest = Submit | Query | Cancel


class LeaderUnavailableError(Exception):
    """Tell that no leader answered; ``in_doubt`` if one may have taken the request."""

    def __init__(self, in_doubt: bool) -> None:
        super().__init__("no leader answered")
        self.in_doubt = in_doubt


class LocalLeader(t.Protocol):
    """A leader in this process."""

    async def answer(self, message: LeaderRequest) -> Reply:
        """Answer a request."""
        ...


@dataclasses.dataclass
class LeaderClient:
    """The leader as last heard; ``identity`` addresses it on the peers' socket."""

    send: t.Callable[[bytes, Message], bool]
    term: int = 0
    leader_name: str = ""
    identity: bytes = b""
    local_leader: LocalLeader | None = None
    serving: bool = False
    last_heartbeat_s: float = -1e9
    connection_broken_s: float = -1e9
    store_age_s: float = 0.0
    resigned: bool = False
    waiting_jobs: dict[str, int] = dataclasses.field(default_factory=dict)
    pending_replies: dict[int, asyncio.Future[Reply]] = dataclasses.field(
        default_factory=dict
    )
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    request_ids: t.Iterator[int] = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )
    on_config_version: t.Callable[[int], None] = lambda version: None

    def handle_heartbeat(
        self, beat: Heartbeat, identity: bytes, local: LocalLeader | None = None
    ) -> bool:
        """Take in a heartbeat; tell whether it comes from the newest leader known."""
        if beat.term < self.term:
            return False
        fresh = beat.term > self.term or self.serving != beat.serving
        if beat.term > self.term:
            self._drop_replies()
            self.resigned = False
        self.term = beat.term
        self.leader_name = beat.leader
        self.identity = identity
        self.local_leader = local
        self.serving = beat.serving
        self.last_heartbeat_s = monotonic_s()
        self.store_age_s = beat.store_age_ms / 1000
        self.waiting_jobs = beat.waiting_jobs
        self.on_config_version(beat.config_version)
        if fresh:
            self._tell_change()
        return True

    def handle_disconnect(self) -> None:
        """Note that a connection of a leader broke; a heartbeat clears it."""
        self.connection_broken_s = monotonic_s()

    def handle_resign(self, message: Resign) -> None:
        """Expect a successor at once."""
        if message.term == self.term:
            self.resigned = True
            self.serving = False
            self._drop_replies()

    def clear_local_leader(self, term: int) -> None:
        """Forget the leader of this process."""
        if self.term == term and self.local_leader is not None:
            self.local_leader = None
            self.serving = False
            self._tell_change()

    def is_available(self) -> bool:
        """Tell whether requests can be sent."""
        if not self.serving or self.resigned:
            return False
        return (
            self.local_leader is not None
            or self.heartbeat_age_s() < HEARTBEAT_TIMEOUT_S
        )

    def heartbeat_age_s(self) -> float:
        """Return how long ago the leader was heard."""
        return monotonic_s() - self.last_heartbeat_s

    def _tell_change(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _drop_replies(self) -> None:
        for future in self.pending_replies.values():
            if not future.done():
                future.cancel()
        self.pending_replies.clear()

    def handle_reply(self, reply: Reply) -> None:
        """Pass a reply to who waits for it."""
        future = self.pending_replies.pop(reply.request_id, None)
        if future is not None and not future.done():
            future.set_result(reply)

    async def request(
        self,
        make: t.Callable[[int], LeaderRequest],
        deadline_s: float,
        leader_wait_s: float,
    ) -> Reply:
        """Ask the leader, and its successor where it is lost; requests are idempotent.

        Raises LeaderUnavailableError.
        """
        began_s = monotonic_s()
        sent = False
        while True:
            left_s = began_s + deadline_s - monotonic_s()
            if not self.is_available():
                wait_s = left_s
                if not sent:
                    wait_s = min(wait_s, began_s + leader_wait_s - monotonic_s())
                if wait_s <= 0 or not await self._wait_change(wait_s):
                    raise LeaderUnavailableError(sent)
                continue
            if left_s <= 0:
                raise LeaderUnavailableError(sent)
            reply = await self._attempt(make, min(left_s, ATTEMPT_TIMEOUT_S))
            if reply is not None and reply.outcome is not Outcome.NOT_READY:
                return reply
            if reply is None:
                sent = True
            await asyncio.sleep(min(NOT_READY_RETRY_INTERVAL_S, max(left_s, 0.0)))

    async def _wait_change(self, wait_s: float) -> bool:
        """Wait until something about the leader changed; a beat may also go stale."""
        event = self.changed
        try:
            async with asyncio.timeout(wait_s):
                await event.wait()
        except TimeoutError:
            return self.is_available()
        return True

    async def _attempt(
        self, make: t.Callable[[int], LeaderRequest], wait_s: float
    ) -> Reply | None:
        message = make(next(self.request_ids))
        try:
            async with asyncio.timeout(wait_s):
                if self.local_leader is not None:
                    return await self.local_leader.answer(message)
                future: asyncio.Future[Reply] = (
                    asyncio.get_running_loop().create_future()
                )
                self.pending_replies[message.request_id] = future
                if not self.send(self.identity, message):
                    return Reply(message.request_id, Outcome.NOT_READY)
                return await future
        except TimeoutError:
            return None
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            return None
        finally:
            self.pending_replies.pop(message.request_id, None)
