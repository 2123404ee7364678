"""Encode and decode the records of the progress of jobs, and of their final states.

A progress record stays in the store longer than the job record (``records.py``), to
report the final state. Fields are stored by position, so their order is fixed.
"""

import dataclasses
import typing as t

import msgspec

from bulrushspur_kernel.decoding import Count, SmallInt, make_msgpack_decoder
from bulrushspur_scheduler.accepted_queues import (
    AcceptedQueueRecord,
    make_accepted_queue,
    make_accepted_queue_record,
)
from bulrushspur_scheduler.cell import Cell, FinishedJob
from bulrushspur_scheduler.failed_run_records import (
    FailedRunOrigin,
    collect_failed_run_numbers,
    collect_failed_run_origins,
    restore_failed_runs,
)
from bulrushspur_scheduler.job_states import FINAL_STATES, JobState
from bulrushspur_scheduler.jobs import (
    Job,
    Occurrence,
    Step,
    Task,
    Trial,
    make_occurrence,
)
from bulrushspur_scheduler.verdicts import (
    VerdictRecord,
    make_verdict_record,
    restore_verdict,
)

PROGRESS_KEY_PREFIX: t.Final = "s"
# A state is stored as its index here.
JOB_STATES: t.Final = tuple(JobState)


class OccurrenceRecord(msgspec.Struct, array_like=True, omit_defaults=True):
    """Progress of one occurrence.

    ``done_bits`` has an integer for each step, in little-endian bytes: bit N is set if
    task N is done. ``failed_run_numbers`` and ``failed_run_origins`` are explained in
    ``failed_run_records.py``. ``crash_counts`` has, by ``STEP.TASK``, the crashes under
    a task, those of which it is a suspect, and a number that only older versions use;
    ``crash_evidence`` has the evidence, its crashes, those of isolated workers, and
    whether the trial was confirmed; ``trials`` has the id, machine and start of the
    worker incarnation that runs a suspect.
    """

    number: Count
    done_bits: list[bytes]
    failed_run_numbers: dict[str, list[Count]] = {}
    crash_counts: dict[str, tuple[SmallInt, SmallInt, SmallInt]] = {}
    trials: dict[str, tuple[str, str, Count]] = {}
    crash_evidence: dict[str, tuple[SmallInt, SmallInt, SmallInt, bool]] = {}
    failed_run_origins: dict[str, list[FailedRunOrigin]] = {}


class ProgressRecord(msgspec.Struct, array_like=True, omit_defaults=True):
    """Progress of a job, or its final state."""

    state: int
    account: str
    queue: str
    occurrences: list[OccurrenceRecord] = []
    completed_occurrences: list[Count] = []
    # Why the job failed.
    reason: str = ""
    # Empty in records of older processes.
    content_digest: bytes = b""
    # Where the queue is sent to, if that is not what the job record has.
    service: str = ""
    # Which failed runs made the job fail.
    verdict: VerdictRecord | None = None
    # What the queue promised, if the job record lacks it.
    accepted_queue: AcceptedQueueRecord | None = None


_encode = msgspec.msgpack.Encoder().encode
_decode_progress = make_msgpack_decoder(ProgressRecord)


def encode_progress(cell: Cell, job_id: str) -> bytes | None:
    """Encode the progress record of a job; return None for an unknown job."""
    finished = cell.finished_jobs.get(job_id)
    if finished is not None:
        state = JOB_STATES.index(finished.state)
        return _encode(
            ProgressRecord(
                state,
                finished.account,
                finished.queue,
                reason=finished.reason,
                content_digest=finished.content_digest,
                verdict=make_verdict_record(finished.verdict),
            )
        )
    job = cell.jobs.get(job_id)
    if job is None:
        return None
    rows = [
        OccurrenceRecord(
            occurrence.number,
            [_encode_done_bits(step) for step in occurrence.steps],
            collect_failed_run_numbers(occurrence.steps),
            _collect_crash_counts(occurrence.steps),
            _collect_trials(occurrence.steps),
            _collect_crash_evidence(occurrence.steps),
            collect_failed_run_origins(occurrence.steps),
        )
        for occurrence in job.occurrences.values()
        if occurrence.number not in job.completed_occurrences
    ]
    state = JOB_STATES.index(job.state)
    completed = sorted(job.completed_occurrences)
    service = job.service if job.has_moved else ""
    promised = job.accepted_queue if job.has_late_promise else None
    return _encode(
        ProgressRecord(
            state,
            job.account,
            job.queue,
            rows,
            completed,
            service=service,
            accepted_queue=make_accepted_queue_record(promised),
        )
    )


def _encode_done_bits(step: Step) -> bytes:
    bits = sum(1 << task.key.index for task in step.tasks if task.done)
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


def _list_suspects(steps: list[Step]) -> t.Iterator[tuple[str, Task]]:
    """Yield the tasks under which workers crashed, with their paths in a record."""
    for step in steps:
        if step.has_suspects:
            for task in step.tasks:
                if task.crash_count:
                    yield f"{step.key.step}.{task.key.index}", task


def _collect_crash_counts(steps: list[Step]) -> dict[str, tuple[int, int, int]]:
    return {
        path: (task.crash_count, task.suspected_crash_count, 0)
        for path, task in _list_suspects(steps)
    }


def _collect_trials(steps: list[Step]) -> dict[str, tuple[str, str, int]]:
    rv = {}
    for path, task in _list_suspects(steps):
        trial = task.trial or task.recovered_trial
        if trial is not None:
            rv[path] = (trial.worker_id, trial.machine, trial.incarnation_start_ms)
    return rv


def _collect_crash_evidence(steps: list[Step]) -> dict[str, tuple[int, int, int, bool]]:
    rv = {}
    for path, task in _list_suspects(steps):
        trial = task.trial or task.recovered_trial
        is_confirmed = trial is not None and trial.is_confirmed
        if task.crash_evidence or is_confirmed:
            rv[path] = (
                task.crash_evidence,
                task.evident_crash_count,
                task.isolated_crash_count,
                is_confirmed,
            )
    return rv


def apply_progress(job: Job, data: bytes) -> FinishedJob | None:
    """Apply a progress record to a job.

    If the record has a final state, returns the finished job and leaves ``job`` as it
    is; returns None otherwise. Raises msgspec.DecodeError.
    """
    record = _decode_progress(data)
    state = _decode_state(record.state)
    if state in FINAL_STATES:
        return _make_finished(record, state)
    job.state = state
    if record.service:
        job.service, job.has_moved = record.service, True
    _restore_promise(job, record)
    job.completed_occurrences = set(record.completed_occurrences)
    for row in record.occurrences:
        occurrence = job.occurrences.get(row.number) or make_occurrence(job, row.number)
        for step, bits in zip(occurrence.steps, row.done_bits, strict=False):
            done = int.from_bytes(bits, "little")
            for task in step.tasks:
                if done >> task.key.index & 1:
                    task.done = True
                    step.done_count += 1
        restore_failed_runs(occurrence, row.failed_run_numbers, row.failed_run_origins)
        for path, counts in row.crash_counts.items():
            task = _find_task(occurrence, path)
            task.step.has_suspects = True
            task.crash_count, task.suspected_crash_count = counts[:2]
        for path, trial in row.trials.items():
            _find_task(occurrence, path).recovered_trial = Trial(*trial)
        for path, evidence in row.crash_evidence.items():
            task = _find_task(occurrence, path)
            task.crash_evidence, task.evident_crash_count = evidence[:2]
            task.isolated_crash_count, is_confirmed = evidence[2:]
            if task.recovered_trial is not None:
                task.recovered_trial = dataclasses.replace(
                    task.recovered_trial, is_confirmed=is_confirmed
                )
    return None


def _restore_promise(job: Job, record: ProgressRecord) -> None:
    """Give a job what was promised to it, if the job record did not."""
    if record.accepted_queue is None or job.accepted_queue is not None:
        return
    job.accepted_queue = make_accepted_queue(
        record.accepted_queue, job.queue, job.service
    )
    job.has_late_promise = True


def _find_task(occurrence: Occurrence, path: str) -> Task:
    step_index, _, task_index = path.partition(".")
    return occurrence.steps[int(step_index)].tasks[int(task_index)]


def _decode_state(number: int) -> JobState:
    if not 0 <= number < len(JOB_STATES):
        raise msgspec.ValidationError(f"unknown state of a job: {number}")
    return JOB_STATES[number]


def decode_finished(data: bytes) -> FinishedJob | None:
    """Decode the progress record of a job whose job record was removed.

    Returns None if it has no final state. Raises msgspec.DecodeError.
    """
    record = _decode_progress(data)
    state = _decode_state(record.state)
    if state in (JobState.QUEUED, JobState.RUNNING):
        return None
    return _make_finished(record, state)


def _make_finished(record: ProgressRecord, state: JobState) -> FinishedJob:
    return FinishedJob(
        state,
        record.account,
        record.queue,
        0.0,
        record.reason,
        record.content_digest,
        restore_verdict(record.verdict),
    )
