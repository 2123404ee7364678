"""Answer an operator's question where a job would go that is not sent."""

import typing as t

import msgspec

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.introspection import WAIT_TEXTS
from bulrushspur_daemon.native_interface import parse_job
from bulrushspur_kernel.decoding import make_json_decoder
from bulrushspur_scheduler.jobs import Job
from bulrushspur_scheduler.preview import JobPreview, StepPreview, preview_job

PREVIEW_JOB_ID: t.Final = "preview"


class _Question(msgspec.Struct, forbid_unknown_fields=True):
    queue: str
    account: str
    # As callers send it by the native interface.
    job: msgspec.Raw = msgspec.Raw(b"{}")


_decode_question = make_json_decoder(_Question)


def answer_preview(process: t.Any, body: bytes) -> tuple[int, dict[str, t.Any]]:
    """Return the HTTP status and the answer to a question.

    400 if it can't be read or names something unknown, 503 if this process does not
    lead.
    """
    if process.term is None or not process.term.serving:
        return 503, {"error": "this process does not lead"}
    cell = process.term.cell
    try:
        question = _decode_question(body)
        spec = parse_job(PREVIEW_JOB_ID, bytes(question.job))
    except (msgspec.DecodeError, ValueError) as exc:
        return 400, {"error": str(exc)}
    queue = cell.config.queue_by_name.get(question.queue)
    if queue is None:
        known = ", ".join(sorted(cell.config.queue_by_name)) or "none"
        return 400, {"error": f"there is no queue {question.queue} (known: {known})"}
    if cell.account_of(question.account) is None:
        known = ", ".join(sorted(cell.config.account_by_name)) or "none"
        return 400, {"error": f"there is no team {question.account} (known: {known})"}
    now_s = monotonic_s()
    job = Job(spec, queue.name, queue.service, question.account, now_s, now_s)
    return 200, _format(preview_job(cell, queue, job, now_s))


def _format(preview: JobPreview) -> dict[str, t.Any]:
    return {
        "accepted": not preview.rejection,
        "rejection": preview.rejection,
        "retry_after_s": preview.retry_after_s,
        "objective_s": round(preview.objective_s, 3),
        "expected_s": round(preview.expected_s, 3),
        "past_use_level": preview.past_use_level,
        "steps": [_format_step(step) for step in preview.steps],
    }


def _format_step(step: StepPreview) -> dict[str, t.Any]:
    return {
        "step": step.step,
        "tasks": step.tasks,
        "expected_s": round(step.expected_s, 3),
        "waits_for": WAIT_TEXTS[step.waits_for] if step.waits_for else "",
        "needs_advice": step.needs_advice,
        "ahead": [{"account": name, "steps": count} for name, count in step.ahead],
        "workers": [
            {
                "worker": worker.id,
                "domain": worker.entry.zone,
                "rack": worker.rack,
                "tasks": count,
                "free_cpu_milli": worker.free.cpu_milli,
                "speed": round(worker.speed, 2),
            }
            for worker, count in step.workers
        ],
    }
