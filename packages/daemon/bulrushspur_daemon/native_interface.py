"""Serve the product's own caller interface: text configuration, and jobs under ``/v1``.

Records of the operators' text and of API keys go in, and a cell configuration comes
out. Requests for jobs are parsed and checked, passed to the gateway and answered in
JSON; each refusal says whether the job may have run.
"""

import math
import typing as t

import msgspec

from bulrushspur_kernel.adapter import INTERFACE_POINT, CallerInterface
from bulrushspur_kernel.api_keys import hash_api_key
from bulrushspur_kernel.decoding import make_json_decoder
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.http_exchange import Exchange, Request
from bulrushspur_kernel.logs import make_logger
from bulrushspur_kernel.plugins import register
from bulrushspur_kernel.store import StoredRecord
from bulrushspur_kernel.text import Text, WorkKind, convert_text
from bulrushspur_kernel.text_records import (
    API_KEY_PREFIX,
    EVACUATION_PREFIX,
    TEXT_KEY,
    TEXT_TOPIC,
    decode_api_key,
    decode_text_record,
)
from bulrushspur_kernel.work_types import RequestSize, WorkClass
from bulrushspur_scheduler.config import Account, CellConfig, Queue, make_config
from bulrushspur_scheduler.job_bounds import decode_steps, find_fault
from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.resources import Resources

log = make_logger("native")

JOBS_PATH_PREFIX: t.Final = "/v1/jobs/"
API_KEY_HEADER: t.Final = "authorization"
DEADLINE_HEADER: t.Final = "x-deadline-s"
DEFAULT_DEADLINE_S: t.Final = 5.0
MAX_PAYLOAD_BYTES: t.Final = 4000
MAX_JOB_ID_LENGTH: t.Final = 64

_PRIORITIES: t.Final = {
    RequestSize.SMALL: 1,
    RequestSize.MEDIUM: 3,
    RequestSize.HEAVY: 2,
}


class _Step(msgspec.Struct, forbid_unknown_fields=True):
    tasks: int = 1
    cores: t.Annotated[float, msgspec.Meta(ge=0, le=1e6)] | None = None
    memory_mb: int | None = None
    accelerators: int | None = None
    run_time_s: float | None = None
    after: list[int] = []
    gang: bool = False
    tasks_a_worker: int = 0
    label: str = ""
    rack: str = ""
    checkpoints: bool = False
    copies: bool = False


class _Job(msgspec.Struct, forbid_unknown_fields=True):
    payload: str = ""
    # Of type ``_Step``; decoded one by one, once there are not too many.
    steps: list[msgspec.Raw] = []


_decode_job = make_json_decoder(_Job)
_decode_step = make_json_decoder(_Step)


def build_config_from_text(
    records: t.Mapping[str, StoredRecord], end_offset: int
) -> CellConfig | None:
    """Build the configuration from the text and the API keys in force.

    Returns None without a text; raises ValueError if the text is invalid.
    """
    text_record = records.get(TEXT_KEY)
    if text_record is None:
        return None
    raw = decode_text_record(text_record.value)
    parsed = convert_text(raw.text)
    if parsed.is_err():
        raise ValueError("; ".join(map(str, parsed.unwrap_err())))
    text = parsed.unwrap()
    keys: dict[str, list[str]] = {}
    for name, record in records.items():
        if name.startswith(API_KEY_PREFIX):
            try:
                key = decode_api_key(record.value)
            except msgspec.DecodeError as exc:
                log.warning(f"The record of an API key is skipped: {exc}.")
                continue
            keys.setdefault(key.team, []).append(key.hash)
    # The version is the end offset of the topic, so that each change of a key, also a
    # withdrawal, makes a new version of the configuration.
    return make_config(
        end_offset,
        _build_queues(text),
        accounts=tuple(_build_accounts(text, keys)),
        evacuated_domains=frozenset(
            name.removeprefix(EVACUATION_PREFIX)
            for name in records
            if name.startswith(EVACUATION_PREFIX)
        ),
    )


def _build_queues(text: Text) -> tuple[Queue, ...]:
    return tuple(
        _build_queue(service.name, kind)
        for service in text.services
        for kind in service.kinds
    )


def _build_queue(service: str, kind: WorkKind) -> Queue:
    priority = 0 if kind.policy is WorkClass.URGENT else _PRIORITIES[kind.size]
    if kind.policy is WorkClass.BATCH:
        priority = 4
    return Queue(
        f"{service}/{kind.name}",
        "",
        f"{JOBS_PATH_PREFIX}{service}/{kind.name}/",
        service,
        priority,
        stretch=1.0,
        target_latency_s=kind.deadline_s,
        public=kind.open,
    )


def _build_accounts(text: Text, keys: dict[str, list[str]]) -> t.Iterator[Account]:
    for team in text.teams:
        hashes = tuple(keys.get(team.name, ()))
        yield Account(team.name, hashes, team.share, max_tasks=team.limit_tasks)


def parse_job(job_id: str, body: bytes) -> JobSpec:
    """Parse a job from its JSON body; raises ValueError with the fault found."""
    raw = _decode_job(body or b"{}")
    if len(raw.payload.encode()) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"payload is longer than {MAX_PAYLOAD_BYTES} bytes")
    steps = decode_steps(raw.steps, _decode_step) or [_Step()]
    spec = JobSpec(job_id, raw.payload, tuple(map(_make_step_spec, steps)))
    fault = find_fault(spec)
    if fault:
        raise ValueError(f"the job cannot be accepted: {fault}")
    return spec


def _make_step_spec(raw: _Step) -> StepSpec:
    return StepSpec(
        raw.tasks,
        Resources(
            round((1.0 if raw.cores is None else raw.cores) * 1000),
            256 if raw.memory_mb is None else raw.memory_mb,
            raw.accelerators or 0,
        ),
        1.0 if raw.run_time_s is None else raw.run_time_s,
        tuple(raw.after),
        gang=raw.gang,
        required_label=raw.label,
        preferred_rack=raw.rack,
        max_per_worker=raw.tasks_a_worker,
        checkpointing=raw.checkpoints,
        speculative=raw.copies,
    )


async def _refuse(
    exchange: Exchange,
    kind: ErrorKind,
    sentence: str,
    ran: Ran = Ran.NO,
    retry_after_s: float = 0.0,
) -> None:
    refusal = Refusal(kind, sentence, ran, retry_after_s or None)
    body = {
        "error": kind.value,
        "sentence": sentence,
        "ran": ran.value,
        "advice": refusal.details.advice,
    }
    headers = []
    if retry_after_s:
        headers.append((b"retry-after", str(math.ceil(retry_after_s)).encode()))
    await exchange.send_json(refusal.details.status, msgspec.json.encode(body), headers)


async def handle_native_request(
    gateway: t.Any, request: Request, exchange: Exchange
) -> None:
    """Answer a request of a caller."""
    body = await request.read_full_body(gateway.max_body_bytes)
    await gateway.catch_up()
    if not gateway.has_config:
        await _refuse(exchange, ErrorKind.NO_TEXT, "No text is in force.")
        return
    queue = gateway.find_queue("", request.path)
    key = request.headers.get(API_KEY_HEADER, "").removeprefix("Bearer ").strip()
    hashed_key = hash_api_key(key) if key else ""
    if queue is None:
        await _handle_without_queue(gateway, request, exchange, hashed_key)
        return
    account = gateway.authenticate(queue, hashed_key)
    if account is None:
        await _refuse(exchange, ErrorKind.UNKNOWN_KEY, "The key is not in force.")
        return
    job_id = request.path[len(queue.path_prefix) :]
    if not job_id and request.method == "GET":
        count = gateway.count_waiting(queue)
        if count is None:
            await _refuse(exchange, ErrorKind.PEER_LOST, "No leader has counted yet.")
            return
        await exchange.send_json(200, msgspec.json.encode({"waiting": count}))
        return
    if not _is_job_id(job_id):
        sentence = (
            f"A job id is 1 to {MAX_JOB_ID_LENGTH} letters and digits of your choice."
        )
        await _refuse(exchange, ErrorKind.BAD_REQUEST, sentence)
        return
    await _handle_job(gateway, request, exchange, queue, account, job_id, body)


def _is_job_id(text: str) -> bool:
    return text.isalnum() and len(text) <= MAX_JOB_ID_LENGTH


async def _handle_without_queue(
    gateway: t.Any, request: Request, exchange: Exchange, hashed_key: str
) -> None:
    """Refuse a request on a path of no queue, unless it cancels a known job."""
    job_id = request.path.rpartition("/")[2]
    if request.method == "DELETE" and _is_job_id(job_id):
        deadline_s = _read_deadline_s(request)
        result = await gateway.cancel_without_queue(hashed_key, job_id, deadline_s)
        if result.outcome != "unknown_job":
            await _send_result(exchange, job_id, result)
            return
    sentence = "There is no such path or queue; see docs/CALLERS.md."
    await _refuse(exchange, ErrorKind.UNKNOWN_PATH, sentence)


async def _handle_job(
    gateway: t.Any,
    request: Request,
    exchange: Exchange,
    queue: Queue,
    account: Account,
    job_id: str,
    body: bytes,
) -> None:
    deadline_s = _read_deadline_s(request)
    if request.method in ("POST", "PUT"):
        try:
            spec = parse_job(job_id, body)
        except ValueError as exc:
            await _refuse(exchange, ErrorKind.BAD_REQUEST, f"{exc}.")
            return
        result = await gateway.submit(queue, account, spec, deadline_s)
    elif request.method == "GET":
        result = await gateway.query(job_id, deadline_s)
    elif request.method == "DELETE":
        result = await gateway.cancel(account, job_id, deadline_s)
    else:
        await _refuse(exchange, ErrorKind.BAD_REQUEST, "Use POST, GET or DELETE.")
        return
    await _send_result(exchange, job_id, result)


async def _send_result(exchange: Exchange, job_id: str, result: t.Any) -> None:
    if result.outcome == "ok":
        answer = {"id": job_id, "state": result.state or "queued"}
        if result.reason:
            answer["reason"] = result.reason
        await exchange.send_json(200, msgspec.json.encode(answer))
        return
    kind, ran = _REFUSALS[result.outcome]
    sentence = result.reason or kind.value
    await _refuse(exchange, kind, f"{sentence}.", ran, result.retry_after_s)


_REFUSALS: t.Final = {
    "rejected": (ErrorKind.QUEUE_FULL, Ran.NO),
    "unavailable": (ErrorKind.NO_OWNER, Ran.NO),
    "stopping": (ErrorKind.STOPPING, Ran.NO),
    "unknown_job": (ErrorKind.UNKNOWN_REQUEST, Ran.NO),
    "in_doubt": (ErrorKind.PEER_LOST, Ran.MAYBE),
}


def _read_deadline_s(request: Request) -> float:
    try:
        return max(float(request.headers[DEADLINE_HEADER]), 0.0)
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_S


register(INTERFACE_POINT, "native")(
    CallerInterface(TEXT_TOPIC, build_config_from_text, handle_native_request)
)
