"""Encode and decode the records of jobs as accepted, which the next term continues.

A job has two keys in the store: one for the job as accepted, and one for its progress
(``progress_records.py``). The job record is removed when the job has finished. Fields
are stored by position, so their order is fixed.
"""

import typing as t

import msgspec

from bulrushspur_kernel.decoding import make_msgpack_decoder
from bulrushspur_scheduler.accepted_queues import (
    AcceptedQueueRecord,
    make_accepted_queue,
    make_accepted_queue_record,
)
from bulrushspur_scheduler.job_bounds import find_fault
from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.jobs import Job
from bulrushspur_scheduler.resources import Resources

JOB_KEY_PREFIX: t.Final = "j"


class StepRecord(msgspec.Struct, array_like=True, omit_defaults=True):
    """The stored form of a step; ``flags`` has a bit for each of ``_FLAG_NAMES``."""

    count: int
    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimate_ms: int = 0
    depends_on: list[int] = []
    flags: int = 0
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    max_unavailable: int = 0
    target_latency_ms: int = 0


class JobRecord(msgspec.Struct, array_like=True, omit_defaults=True):
    """The stored form of an accepted job."""

    queue: str
    service: str
    account: str
    payload: str
    steps: list[StepRecord]
    accepted_unix_ms: int
    start_at_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0
    # None in records of older processes.
    accepted_queue: AcceptedQueueRecord | None = None


# Fields of StepSpec in the order of their bits.
_FLAG_NAMES: t.Final = (
    "gang",
    "same_rack",
    "checkpointing",
    "speculative",
    "long_running",
    "fills",
)

_encode = msgspec.msgpack.Encoder().encode
_decode_job = make_msgpack_decoder(JobRecord)


def encode_job(job: Job) -> bytes:
    """Encode the job record."""
    spec = job.spec
    return _encode(
        JobRecord(
            job.queue,
            job.service,
            job.account,
            spec.payload,
            [make_step_record(step) for step in spec.steps],
            round(job.accepted_unix_s * 1000),
            round(spec.start_at_s * 1000),
            round(spec.interval_s * 1000),
            spec.repeat_count,
            make_accepted_queue_record(job.accepted_queue),
        )
    )


def make_step_record(spec: StepSpec) -> StepRecord:
    """Make the stored form of a step."""
    flags = sum(1 << i for i, name in enumerate(_FLAG_NAMES) if getattr(spec, name))
    return StepRecord(
        spec.count,
        spec.resources.cpu_milli,
        spec.resources.memory_mb,
        spec.resources.gpus,
        round(spec.estimate_s * 1000),
        list(spec.depends_on),
        flags,
        spec.required_label,
        spec.preferred_rack,
        spec.max_per_worker,
        spec.max_unavailable,
        round(spec.target_latency_s * 1000),
    )


def _make_step_spec(record: StepRecord) -> StepSpec:
    flags = {name: bool(record.flags >> i & 1) for i, name in enumerate(_FLAG_NAMES)}
    return StepSpec(
        record.count,
        Resources(record.cpu_milli, record.memory_mb, record.gpus),
        record.estimate_ms / 1000,
        tuple(record.depends_on),
        required_label=record.required_label,
        preferred_rack=record.preferred_rack,
        max_per_worker=record.max_per_worker,
        max_unavailable=record.max_unavailable,
        target_latency_s=record.target_latency_ms / 1000,
        **flags,
    )


def _decode(job_id: str, data: bytes) -> tuple[JobRecord, JobSpec]:
    record = _decode_job(data)
    spec = JobSpec(
        job_id,
        record.payload,
        tuple(map(_make_step_spec, record.steps)),
        record.start_at_ms / 1000,
        record.interval_ms / 1000,
        record.repeat_count,
    )
    fault = find_fault(spec)
    if fault:
        raise msgspec.ValidationError(fault)
    return record, spec


def decode_spec(job_id: str, data: bytes) -> JobSpec:
    """Decode what the caller declared from a job record; raises as ``decode_job``."""
    return _decode(job_id, data)[1]


def decode_job(job_id: str, data: bytes, now_s: float, unix_s: float) -> Job:
    """Decode a job record; raises msgspec.DecodeError, also for one out of bounds.

    ``accepted_s``, on the monotonic clock, is ``now_s`` less the age of the job; the
    age is limited to the range from 0 to 3600 s.
    """
    record, spec = _decode(job_id, data)
    accepted_unix_s = record.accepted_unix_ms / 1000
    age_s = min(max(unix_s - accepted_unix_s, 0.0), 3600.0)
    return Job(
        spec,
        record.queue,
        record.service,
        record.account,
        now_s - age_s,
        accepted_unix_s,
        accepted_queue=make_accepted_queue(
            record.accepted_queue, record.queue, record.service
        ),
    )


def has_accepted_queue(data: bytes) -> bool:
    """Return whether a job record has what the queue promised at acceptance.

    Raises msgspec.DecodeError.
    """
    return _decode_job(data).accepted_queue is not None
