"""Tell whether two submissions declare the same job, by digests of their content.

A job's declaration goes in: payload, steps and times. A short digest comes out, which
is the same for each repetition, whichever process and configuration took it. What a
gateway adds, such as account, queue and time of acceptance, has no part in it: keys and
queues move between accounts and services while callers repeat their submissions.
"""

import hashlib
import typing as t

import msgspec

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.job_specs import JobSpec
from bulrushspur_scheduler.records import StepRecord, decode_spec, make_step_record

DIGEST_BYTES: t.Final = 8
# Of jobs whose content is not known; it equals every other.
UNKNOWN_DIGEST: t.Final = b""

_STEP_DEFAULTS: t.Final = msgspec.structs.astuple(StepRecord(0))

_encode = msgspec.msgpack.Encoder().encode


def digest_content(spec: JobSpec) -> bytes:
    """Return a digest of what a caller declared, in whole milliseconds as stored.

    Only what differs from its default counts, by its position in the record: a field
    that a later version adds changes no digest of a job that doesn't use it.
    """
    times_ms = (round(spec.start_at_s * 1000), round(spec.interval_s * 1000))
    job_fields = (spec.payload, *times_ms, spec.repeat_count)
    content = [
        _list_set_fields(job_fields, ("", 0, 0, 0)),
        [
            _list_set_fields(
                msgspec.structs.astuple(make_step_record(step)), _STEP_DEFAULTS
            )
            for step in spec.steps
        ],
    ]
    return hashlib.blake2b(_encode(content), digest_size=DIGEST_BYTES).digest()


def _list_set_fields(
    values: t.Sequence[t.Any], defaults: t.Sequence[t.Any]
) -> list[tuple[int, t.Any]]:
    """List the values that differ from their defaults, with their positions."""
    return [
        (index, value)
        for index, (value, default) in enumerate(zip(values, defaults, strict=True))
        if value != default
    ]


def digest_record(job_id: str, record: bytes) -> bytes:
    """Return the digest of a job record; UNKNOWN_DIGEST of one that can't be read."""
    try:
        return digest_content(decode_spec(job_id, record))
    except msgspec.DecodeError:
        return UNKNOWN_DIGEST


def declares_other_job(
    cell: Cell, job_id: str, record: bytes, pending_record: bytes | None
) -> bool:
    """Return whether a submission declares another job than the known one of its id.

    ``pending_record`` is that of a submission which is not decided yet. False also if
    the content of either job is not known.
    """
    if pending_record is not None:
        known = digest_record(job_id, pending_record)
    elif job_id in cell.jobs:
        known = digest_content(cell.jobs[job_id].spec)
    elif job_id in cell.finished_jobs:
        known = cell.finished_jobs[job_id].content_digest
    else:
        known = UNKNOWN_DIGEST
    digest = digest_record(job_id, record)
    return UNKNOWN_DIGEST not in (known, digest) and known != digest
