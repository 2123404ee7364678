"""Record the requests of test clients and their answers.

Takes a request on the wire and a function that sends it; returns its answer. The path
is that of the job: the prefix of its queue, then its id. The API key stands for the
account. Only what a client sees is recorded.
"""

import time
import typing as t

import msgspec

from oracle.observations import Observations
from oracle.requests import Cancel, Submission, declare_job


class Answer(t.Protocol):
    """What is read of an answer."""

    status: int
    body: bytes


async def observe_request(
    observations: Observations,
    method: str,
    path: str,
    body: t.Any,
    account: str,
    send: t.Callable[[], t.Awaitable[t.Any]],
) -> t.Any:
    """Send a request and return its answer, or None; record both."""
    queue, _, job = path.rpartition("/")
    request = None
    if job:
        request = _record_request(observations, method, queue, job, body, account)
    answer: Answer | None = None
    try:
        answer = await send()
    finally:
        now_s = time.monotonic()
        if request is not None:
            status = None if answer is None else answer.status
            observations.record_answer(request, status, now_s)
        elif method == "GET" and answer is not None and _shows_completed(answer):
            observations.record_completed(job, now_s)
    return answer


def _record_request(
    observations: Observations,
    method: str,
    queue: str,
    job: str,
    body: t.Any,
    account: str,
) -> Submission | Cancel | None:
    sent_s = time.monotonic()
    if method == "POST":
        fields = declare_job(body)
        return observations.record_submission(
            job, sent_s, account=account, queue=queue, **fields
        )
    if method == "DELETE":
        return observations.record_cancel(job, sent_s, account)
    return None


def _shows_completed(answer: Answer) -> bool:
    if answer.status != 200:
        return False
    shown = msgspec.json.decode(answer.body)
    return isinstance(shown, dict) and shown.get("state") == "completed"
