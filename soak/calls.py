"""Send the requests of a client, and record when each was sent, answered and how."""

import dataclasses
import math
import time
import typing as t

import msgspec

from bench.processes import EntryProcess
from bulrushspur_kernel.http_client import HttpResponse
from bulrushspur_kernel.http_pool import HttpPool, NotSentError, ResponseLostError
from oracle.requests import Cancel, Submission
from soak.jobs import SoakJob
from tests.cluster import API_KEY, HOST

if t.TYPE_CHECKING:
    from soak.run import Soak

ACCOUNT: t.Final = "school"
HEADERS: t.Final = (("bulrushspur-credential", API_KEY),)
# Longer than a cancel may wait for its acknowledgement.
CALL_TIMEOUT_S: t.Final = 4.5


@dataclasses.dataclass
class Call:
    """A request of a client; ``result`` is the status or the error."""

    method: str
    job: str
    entry: str
    sent_s: float
    answered_s: float = math.inf
    result: str = "unanswered"


@dataclasses.dataclass
class Client:
    """A client that keeps its connections to each entry process open."""

    pool_by_entry: dict[str, HttpPool]

    async def close(self) -> None:
        """Close all connections."""
        for pool in self.pool_by_entry.values():
            await pool.close()


def make_client(soak: "Soak") -> Client:
    """Make a client that reaches the entry processes through their proxies."""
    return Client(
        {
            entry.name: HttpPool(soak.caller_addresses[entry.name], HOST)
            for entry in soak.cluster.entries
        }
    )


async def submit(
    soak: "Soak",
    client: Client,
    job: SoakJob,
    entry: EntryProcess,
    timeout_s: float = CALL_TIMEOUT_S,
) -> int | None:
    """Submit a job once; return the status, None without an answer."""
    submission = soak.observations.record_submission(
        job.id,
        time.monotonic(),
        payload=job.payload,
        steps=job.steps,
        account=ACCOUNT,
        queue=job.queue,
        occurrence_count=job.occurrence_count,
    )
    answer = await _call(soak, client, "POST", job, entry, timeout_s, submission)
    return answer.status if answer else None


async def cancel(
    soak: "Soak",
    client: Client,
    job: SoakJob,
    entry: EntryProcess,
    timeout_s: float = CALL_TIMEOUT_S,
) -> bool:
    """Cancel a job once; return whether that was acknowledged."""
    request = soak.observations.record_cancel(job.id, time.monotonic(), ACCOUNT)
    await _call(soak, client, "DELETE", job, entry, timeout_s, request)
    return request.is_acknowledged


async def query(
    soak: "Soak", client: Client, job: SoakJob, entry: EntryProcess
) -> HttpResponse | None:
    """Request the state of a job; return None without an answer."""
    answer = await _call(soak, client, "GET", job, entry, CALL_TIMEOUT_S, None)
    if answer is None or answer.status != 200:
        return answer
    if msgspec.json.decode(answer.body)["state"] == "completed":
        soak.observations.record_completed(job.id, time.monotonic())
    return answer


async def _call(
    soak: "Soak",
    client: Client,
    method: str,
    job: SoakJob,
    entry: EntryProcess,
    timeout_s: float,
    request: Submission | Cancel | None,
) -> HttpResponse | None:
    pool = client.pool_by_entry[entry.name]
    call = Call(method, job.id, entry.name, time.monotonic())
    soak.calls.append(call)
    body = job.body if method == "POST" else b""
    answer = None
    try:
        answer = await pool.request(method, job.path, body, HEADERS, timeout_s)
        call.result = str(answer.status)
    except NotSentError as exc:
        call.result = f"not sent: {exc}"
        if request is not None:
            _withdraw(soak, request)
    except ResponseLostError as exc:
        call.result = f"lost: {exc}"
    call.answered_s = time.monotonic()
    if request is not None:
        status = answer.status if answer else None
        soak.observations.record_answer(request, status, call.answered_s)
    return answer


def _withdraw(soak: "Soak", request: Submission | Cancel) -> None:
    """Forget a request that no entry process can have got."""
    if isinstance(request, Submission):
        soak.observations.submissions[request.job].remove(request)
    else:
        soak.observations.cancels[request.job].remove(request)
