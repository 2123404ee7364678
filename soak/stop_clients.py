"""Use connections to entry processes until these are gone, and record each answer.

A client has one connection at a time, most often to a process that stops, and uses each
in a way that is drawn for it.
"""

import asyncio
import dataclasses
import enum
import itertools
import time
import typing as t

import msgspec

from bench.processes import EntryProcess
from oracle.requests import Cancel, Submission
from oracle.shutdowns import EntryRequest
from soak.calls import ACCOUNT
from soak.jobs import SoakJob, make_small_job
from tests.cluster import API_KEY, HOST, job_id
from tests.kept_connections import Attempt, KeptConnection, open_kept_connection

if t.TYPE_CHECKING:
    from soak.run import Soak

DEADLINES_S: t.Final = (1.5, 3.0, 6.0)
# So long after its deadline a client closes the connection.
GIVE_UP_DELAY_S: t.Final = 1.0
RECONNECT_INTERVAL_S: t.Final = 0.05
MAX_BODY_PAUSE_S: t.Final = 1.5
MAX_IDLE_S: t.Final = 2.0
# Share of the connections that are opened to a process that stops, if there is one.
STOPPING_SHARE: t.Final = 0.6
SUBMIT_SHARE: t.Final = 0.7
CANCEL_SHARE: t.Final = 0.1


class Style(enum.Enum):
    """How a client uses a connection."""

    # One request after the other.
    IN_TURN = "in turn"
    # Two requests before the first answer.
    PIPELINED = "pipelined"
    # The last byte of a request comes late.
    SLOW = "slowly"
    # The first request comes a while after the connection.
    IDLE = "after a while"
    # The client closes the connection after one answer.
    ANEW = "anew"


@dataclasses.dataclass
class _Sent:
    """A request on its way, with what is recorded of it."""

    method: str
    job: SoakJob
    headers: list[tuple[str, str]]
    seen: EntryRequest
    request: Submission | Cancel | None = None

    @property
    def wire(self) -> tuple[str, str, list[tuple[str, str]], bytes]:
        """Return the request as a kept connection takes it."""
        body = self.job.body if self.method == "POST" else b""
        return self.method, self.job.path, self.headers, body


async def run_stop_client(soak: "Soak", number: int) -> None:
    """Send requests on one connection after the other until the traffic ends."""
    until_s = time.monotonic() + soak.duration_s
    jobs = map(make_small_job, map(job_id, itertools.count(number * 100_000 + 1)))
    while time.monotonic() < until_s:
        entry = _draw_entry(soak)
        try:
            connection = await open_kept_connection(entry.address)
        except (OSError, TimeoutError):
            await asyncio.sleep(RECONNECT_INTERVAL_S)
            continue
        await _use(soak, entry, connection, jobs, until_s)
        await connection.close()


def _draw_entry(soak: "Soak") -> EntryProcess:
    """Draw a process; one that stops, or will, more often."""
    entries = soak.cluster.entries
    stopping = [entry for entry in entries if entry.name in soak.faulted_entries]
    if stopping and soak.rng.random() < STOPPING_SHARE:
        return soak.rng.choice(stopping)
    return soak.rng.choice(entries)


async def _use(
    soak: "Soak",
    entry: EntryProcess,
    connection: KeptConnection,
    jobs: t.Iterator[SoakJob],
    until_s: float,
) -> None:
    """Send requests on a connection until it ends."""
    rng = soak.rng
    style = rng.choice(list(Style))
    if style is Style.IDLE:
        await asyncio.sleep(rng.uniform(0.0, MAX_IDLE_S))
    while connection.is_open and time.monotonic() < until_s:
        count = 2 if style is Style.PIPELINED else 1
        pause_s = rng.uniform(0.0, MAX_BODY_PAUSE_S) if style is Style.SLOW else 0.0
        sent = [_make_request(soak, entry, jobs, style) for _ in range(count)]
        await _send(soak, connection, sent, pause_s)
        if style is Style.ANEW or _moves_on(soak, entry):
            break
        await asyncio.sleep(rng.uniform(0.0, soak.profile.max_pause_s))


def _moves_on(soak: "Soak", entry: EntryProcess) -> bool:
    """Return whether a client leaves a process for one that stops."""
    is_elsewhere = bool(soak.faulted_entries - {entry.name})
    is_here = entry.name in soak.faulted_entries
    return is_elsewhere and not is_here and soak.rng.random() < STOPPING_SHARE


def _make_request(
    soak: "Soak", entry: EntryProcess, jobs: t.Iterator[SoakJob], style: Style
) -> _Sent:
    """Make a submission of a new job, or a request for one that was sent before."""
    now_s = time.monotonic()
    draw = soak.rng.random()
    deadline_s = soak.rng.choice(DEADLINES_S)
    method = "POST"
    if soak.jobs and draw > SUBMIT_SHARE:
        method = "DELETE" if draw > 1 - CANCEL_SHARE else "GET"
    job = next(jobs) if method == "POST" else soak.rng.choice(list(soak.jobs.values()))
    headers = [
        ("host", HOST),
        ("bulrushspur-credential", API_KEY),
        ("bulrushspur-deadline-ms", str(round(1000 * deadline_s))),
    ]
    seen = soak.observations.record_entry_request(
        entry.name, f"{method} {job.id} ({style.value})", deadline_s=now_s + deadline_s
    )
    request: Submission | Cancel | None = None
    if method == "POST":
        soak.jobs[job.id] = job
        request = soak.observations.record_submission(
            job.id,
            now_s,
            payload=job.payload,
            steps=job.steps,
            account=ACCOUNT,
            queue=job.queue,
        )
    elif method == "DELETE":
        request = soak.observations.record_cancel(job.id, now_s, ACCOUNT)
    return _Sent(method, job, headers, seen, request)


async def _send(
    soak: "Soak", connection: KeptConnection, sent: list[_Sent], pause_s: float
) -> None:
    """Send requests, and record their answers."""
    give_up_s = max(row.seen.deadline_s for row in sent) + GIVE_UP_DELAY_S
    try:
        async with asyncio.timeout(give_up_s - time.monotonic()):
            await connection.send_all([row.wire for row in sent], pause_s)
    except TimeoutError:
        await connection.close()
    attempts = connection.attempts[-len(sent) :]
    for row, attempt in zip(sent, attempts, strict=True):
        _record(soak, row, attempt)


def _record(soak: "Soak", row: _Sent, attempt: Attempt) -> None:
    row.seen.sent_s, row.seen.ended_s = attempt.sent_s, attempt.ended_s
    row.seen.status = attempt.status or None
    if row.request is not None:
        soak.observations.record_answer(row.request, row.seen.status, attempt.ended_s)
    elif attempt.status == 200 and _shows_completed(attempt):
        soak.observations.record_completed(row.job.id, attempt.ended_s)


def _shows_completed(attempt: Attempt) -> bool:
    return msgspec.json.decode(attempt.body)["state"] == "completed"


def list_requests_to_stopping(soak: "Soak") -> list[EntryRequest]:
    """List the requests that were sent to a process while it stopped."""
    return [
        request
        for shutdown in soak.observations.shutdowns
        for request in soak.observations.entry_requests
        if request.entry == shutdown.entry
        and shutdown.signaled_s <= request.sent_s <= shutdown.gone_s
    ]
