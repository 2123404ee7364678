"""Remember cancels of unknown jobs, whose submissions may still be on their way.

The cancel of an unknown job and its account go in; a submission of the job by that
account is then known to be cancelled. Nobody is shown a job that was not submitted.
Cancels are stored, so that the next term has them. They are kept for as long as the
final states of jobs, or until there are too many.
"""

import typing as t

import msgspec

from bulrushspur_kernel.decoding import UnixMs, make_msgpack_decoder
from bulrushspur_scheduler.cell import Cell, EarlyCancel, FinishedJob
from bulrushspur_scheduler.content_digests import digest_record
from bulrushspur_scheduler.job_states import JobState

EARLY_CANCEL_KEY_PREFIX: t.Final = "c"
MAX_EARLY_CANCELS: t.Final = 10_000


class EarlyCancelRecord(msgspec.Struct, array_like=True):
    """The stored form of an early cancel."""

    account: str
    cancelled_unix_ms: UnixMs


_encode = msgspec.msgpack.Encoder().encode
_decode = make_msgpack_decoder(EarlyCancelRecord)


def add_early_cancel(cell: Cell, job_id: str, account: str, now_s: float) -> None:
    """Remember the cancel of an unknown job, the newest one last."""
    cell.early_cancels.pop(job_id, None)
    cell.early_cancels[job_id] = EarlyCancel(account, now_s)


def is_cancelled_early(cell: Cell, job_id: str, account: str) -> bool:
    """Return whether an account has cancelled a job before its submission came."""
    cancel = cell.early_cancels.get(job_id)
    return cancel is not None and cancel.account == account


def record_late_submission(
    cell: Cell, job_id: str, account: str, queue: str, record: bytes, now_s: float
) -> None:
    """Record the submission of a job that was cancelled before it; it does not run."""
    cell.finished_jobs[job_id] = FinishedJob(
        JobState.CANCELLED,
        account,
        queue,
        now_s,
        content_digest=digest_record(job_id, record),
    )
    cell.dirty_jobs.add(job_id)


def purge_early_cancels(cell: Cell, now_s: float) -> list[str]:
    """Remove the cancels that are too old or too many; return the ids of their jobs."""
    cancels, purged = cell.early_cancels, []
    retention_s = cell.timing_limits.final_state_retention_s
    while cancels:
        job_id, oldest = next(iter(cancels.items()))
        is_over = now_s - oldest.cancelled_s > retention_s
        if not is_over and len(cancels) <= MAX_EARLY_CANCELS:
            break
        del cancels[job_id]
        purged.append(job_id)
    return purged


def encode_early_cancel(cancel: EarlyCancel, now_s: float, unix_s: float) -> bytes:
    """Encode the record of a cancel, with its time of day."""
    cancelled_unix_s = unix_s - (now_s - cancel.cancelled_s)
    return _encode(EarlyCancelRecord(cancel.account, round(cancelled_unix_s * 1000)))


def recover_early_cancels(
    cell: Cell, records: dict[str, bytes], now_s: float, unix_s: float
) -> None:
    """Add the cancels of earlier terms from their records, given by job id.

    A record that can't be used is logged and skipped. Clocks may differ: a cancel is
    taken to be no older than it may become.
    """
    cancels = []
    for job_id, data in records.items():
        try:
            record = _decode(data)
        except msgspec.DecodeError as exc:
            cell.log("record_unreadable", job_id, reason=repr(exc))
            continue
        age_s = max(unix_s - record.cancelled_unix_ms / 1000, 0.0)
        age_s = min(age_s, cell.timing_limits.final_state_retention_s)
        cancels.append((now_s - age_s, job_id, record.account))
    for cancelled_s, job_id, account in sorted(cancels):
        add_early_cancel(cell, job_id, account, cancelled_s)
