"""Check what a job that is shown as failed for its attempts was judged by.

Takes the final state as the next leader reads it from the store, and what the simulated
workers really reported. The verdict must name as many distinct failed runs of one task,
or gang, as the job's queue allowed when it was accepted, each with the worker
incarnation on which it failed and the term that recorded it.
"""

from bulrushspur_scheduler.job_specs import JobSpec, TaskKey
from bulrushspur_scheduler.job_states import FailureReason, JobState
from bulrushspur_scheduler.progress_records import decode_finished
from bulrushspur_scheduler.verdicts import Verdict
from fuzz.evidence import FailureEvidence, ReportedRun


def find_verdict_fault(evidence: FailureEvidence, job: JobSpec, record: bytes) -> str:
    """Return what a stored final state lacks; empty if its job may have failed so.

    Jobs that did not fail, or were given up for crashes, have no verdict.
    """
    finished = decode_finished(record)
    if finished is None:
        return "the next leader would not know that it has ended"
    is_failed = finished.state is JobState.FAILED
    if not is_failed or finished.reason != FailureReason.ATTEMPTS.value:
        return ""
    if finished.verdict is None:
        return "the store does not have what it was judged by"
    return _find_fault_of_verdict(evidence, job, finished.verdict)


def _find_fault_of_verdict(
    evidence: FailureEvidence, job: JobSpec, verdict: Verdict
) -> str:
    key = _parse_path(job.id, verdict.path)
    if job.steps[key.step].long_running:
        return f"{verdict.path} lasts, so it has no limit of attempts"
    for run in verdict.failed_runs:
        reported = ReportedRun(run.number, run.worker_id, run.incarnation_start_ms)
        if reported not in evidence.reported_runs[key]:
            return f"no worker reported {reported} of {verdict.path} as failed"
        if not 0 < run.term <= verdict.term:
            return f"term {run.term} cannot have recorded {reported}"
    count = len({run.number for run in verdict.failed_runs})
    promised_count = evidence.max_attempts[job.id]
    if count < promised_count:
        return f"{count} of {promised_count} runs of {verdict.path} were counted"
    return ""


def _parse_path(job_id: str, path: str) -> TaskKey:
    """Return the key of a task, or of the first task of a gang."""
    occurrence, step, index = [*map(int, path.split(".")), 0][:3]
    return TaskKey(job_id, occurrence, step, index)
