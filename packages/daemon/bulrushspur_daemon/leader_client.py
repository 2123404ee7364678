"""Follow the leader's heartbeats, and send requests to the leader.

Heartbeats, resignations and replies of leaders come in; requests go out to the newest
leader known. A request that gets no reply is sent again, to the next leader if need be;
that is safe because all requests are idempotent.
"""

import asyncio
import dataclasses
import itertools
import math
import os
import typing as t

from bulrushspur_daemon.clock import boottime_s, monotonic_s
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
# A caller whose request waits for a recovery is served sooner than by coming back.
MAX_RECOVERY_WAIT_S: t.Final = 2.0
NOT_READY_RETRY_INTERVAL_S: t.Final = 0.05
REQUEST_ID_START_BYTES: t.Final = 6

LeaderRequest = Submit | Query | Cancel


def _make_request_ids() -> t.Iterator[int]:
    """Make ids that no other incarnation of this process uses.

    A leader's reply to an earlier incarnation may reach this one.
    """
    return itertools.count(int.from_bytes(os.urandom(REQUEST_ID_START_BYTES)))


class LeaderUnavailableError(Exception):
    """Signal that no leader answered; ``in_doubt`` if one may have done the request."""

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
    """The leader by its latest heartbeat, and the requests that wait for replies.

    ``identity`` addresses the leader on the peers' socket; ``local_leader`` is set
    while the leader runs in this process.
    """

    send: t.Callable[[bytes, Message], bool]
    term: int = 0
    leader_name: str = ""
    identity: bytes = b""
    local_leader: LocalLeader | None = None
    serving: bool = False
    last_heartbeat_s: float = -1e9
    connection_broken_s: float = -1e9
    store_age_s: float = 0.0
    # How far the leader's recovery has come, and when it last advanced.
    recovery_progress: tuple[int, int, int] = (0, 0, 0)
    recovery_advanced_s: float = -1e9
    resigned: bool = False
    # The leader has lost the store and most processes.
    leader_isolated: bool = False
    # The leader leads until another process has claimed.
    leader_stopping: bool = False
    # Counts by queue of the latest leader that served, and when they came, suspension
    # counted.
    waiting_jobs: dict[str, int] = dataclasses.field(default_factory=dict)
    waiting_jobs_s: float = -1e9
    pending_replies: dict[int, asyncio.Future[Reply]] = dataclasses.field(
        default_factory=dict
    )
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    request_ids: t.Iterator[int] = dataclasses.field(default_factory=_make_request_ids)
    on_config_version: t.Callable[[int], None] = lambda version: None
    # The time left for all requests; of a process that stops, until answers are due.
    find_time_left_s: t.Callable[[], float] = lambda: math.inf

    def handle_heartbeat(
        self,
        heartbeat: Heartbeat,
        identity: bytes,
        local_leader: LocalLeader | None = None,
    ) -> bool:
        """Apply a heartbeat; return False if it is from an earlier term than known."""
        if heartbeat.term < self.term:
            return False
        has_changed = heartbeat.term > self.term or self.serving != heartbeat.serving
        if heartbeat.term > self.term:
            self._drop_replies()
            self.resigned = False
        self.term = heartbeat.term
        self.leader_name = heartbeat.leader
        self.identity = identity
        self.local_leader = local_leader
        self.serving = heartbeat.serving
        self.last_heartbeat_s = monotonic_s()
        self.store_age_s = heartbeat.store_age_ms / 1000
        self.leader_isolated = heartbeat.isolated
        self.leader_stopping = heartbeat.stopping
        self._record_recovery_progress(heartbeat)
        if heartbeat.serving:
            self.waiting_jobs = heartbeat.waiting_jobs
            self.waiting_jobs_s = boottime_s()
        self.on_config_version(heartbeat.config_version)
        if has_changed:
            self._notify_change()
        return True

    def _record_recovery_progress(self, heartbeat: Heartbeat) -> None:
        progress = (
            heartbeat.term,
            heartbeat.loaded_bytes,
            heartbeat.recovered_records,
        )
        if progress != self.recovery_progress:
            self.recovery_progress = progress
            self.recovery_advanced_s = self.last_heartbeat_s

    def handle_disconnect(self) -> None:
        """Record that a connection of a leader broke; the next heartbeat clears it."""
        self.connection_broken_s = monotonic_s()

    def handle_resign(self, message: Resign) -> None:
        """Send no more requests to a leader that resigns; a successor claims soon."""
        if message.term == self.term:
            self.resigned = True
            self.serving = False
            self._drop_replies()

    def clear_local_leader(self, term: int) -> None:
        """Clear the leader in this process when its term has ended."""
        if self.term == term and self.local_leader is not None:
            self.local_leader = None
            self.serving = False
            self._notify_change()

    def is_available(self) -> bool:
        """Return whether there is a leader that requests can be sent to."""
        if not self.serving or self.resigned:
            return False
        return (
            self.local_leader is not None
            or self.heartbeat_age_s() < HEARTBEAT_TIMEOUT_S
        )

    def is_recovering(self) -> bool:
        """Return whether a leader sends heartbeats and does not serve yet."""
        return not self.serving and self.heartbeat_age_s() < HEARTBEAT_TIMEOUT_S

    def heartbeat_age_s(self) -> float:
        """Return the age of the leader's latest heartbeat in seconds."""
        return monotonic_s() - self.last_heartbeat_s

    def recovery_stalled_s(self) -> float:
        """Return the time since the leader's recovery last advanced, in seconds."""
        return monotonic_s() - self.recovery_advanced_s

    def _notify_change(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _drop_replies(self) -> None:
        for future in self.pending_replies.values():
            if not future.done():
                future.cancel()
        self.pending_replies.clear()

    def handle_reply(self, reply: Reply) -> None:
        """Resolve the request that waits for a reply; ignore late replies."""
        future = self.pending_replies.pop(reply.request_id, None)
        if future is not None and not future.done():
            future.set_result(reply)

    async def request(
        self,
        make_request: t.Callable[[int], LeaderRequest],
        timeout_s: float,
        leader_wait_s: float,
    ) -> Reply:
        """Send a request until a leader replies; ``make_request`` gets its id.

        The request is given up after ``timeout_s``, or already after ``leader_wait_s``
        if no leader is available and none can have received it. A leader that recovers
        gets MAX_RECOVERY_WAIT_S. No request outlasts the time left.

        Raises LeaderUnavailableError.
        """
        began_s = monotonic_s()
        in_doubt = False
        while True:
            remaining_s = began_s + timeout_s - monotonic_s()
            remaining_s = min(remaining_s, self.find_time_left_s())
            if not self.is_available():
                wait_s = remaining_s
                if not in_doubt:
                    allowed_s = leader_wait_s
                    if self.is_recovering():
                        allowed_s = max(allowed_s, MAX_RECOVERY_WAIT_S)
                    wait_s = min(wait_s, began_s + allowed_s - monotonic_s())
                if wait_s <= 0 or not await self._wait_for_change(wait_s):
                    raise LeaderUnavailableError(in_doubt)
                continue
            if remaining_s <= 0:
                raise LeaderUnavailableError(in_doubt)
            reply = await self._attempt(
                make_request, min(remaining_s, ATTEMPT_TIMEOUT_S)
            )
            if reply is not None and reply.outcome is not Outcome.NOT_READY:
                return reply
            if reply is None:
                in_doubt = True
            await asyncio.sleep(min(NOT_READY_RETRY_INTERVAL_S, max(remaining_s, 0.0)))

    def limit_waits(self, find_time_left_s: t.Callable[[], float]) -> None:
        """Let no request wait longer than the time left, also those that wait now."""
        self.find_time_left_s = find_time_left_s
        self._notify_change()

    async def _wait_for_change(self, wait_s: float) -> bool:
        """Wait for a change of the leader; return whether to look at it again.

        Availability also changes with the age of the heartbeat, which sets no event, so
        it is checked once more after the wait.
        """
        event = self.changed
        try:
            async with asyncio.timeout(wait_s):
                await event.wait()
        except TimeoutError:
            return self.is_available()
        return True

    async def _attempt(
        self, make_request: t.Callable[[int], LeaderRequest], wait_s: float
    ) -> Reply | None:
        """Send a request once; return None if it was sent and got no reply."""
        message = make_request(next(self.request_ids))
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
            # Unless this task itself is being cancelled, the leader was lost and its
            # pending replies were cancelled.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            return None
        finally:
            self.pending_replies.pop(message.request_id, None)
