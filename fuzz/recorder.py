"""Record what happens in a fuzzed cell, and the violations found.

The clauses of ``oracle/`` judge ``Oracle.observations`` at the end of a history.
Checked at once: a job is shown as failed only with cause (``evidence.py``) and with
evidence in the store (``verdicts.py``), and no final state changes. Violations are
recorded, not raised.
"""

import dataclasses
import typing as t

from bulrushspur_scheduler.job_specs import TaskKey
from fuzz.evidence import FailureEvidence
from fuzz.verdicts import find_verdict_fault
from oracle.observations import Observations
from oracle.rules import find_violations


@dataclasses.dataclass
class Oracle:
    """Record what has happened in the simulation, and the violations found."""

    jobs: dict[str, t.Any] = dataclasses.field(default_factory=dict)
    observations: Observations = dataclasses.field(
        default_factory=lambda: Observations(gangs_end_together=True)
    )
    evidence: FailureEvidence = dataclasses.field(default_factory=FailureEvidence)
    refused_jobs: set[str] = dataclasses.field(default_factory=set)
    published_final_states: dict[str, str] = dataclasses.field(default_factory=dict)
    done_tasks: set[TaskKey] = dataclasses.field(default_factory=set)
    # The work that each checkpoint stands for, in seconds.
    saved_work_s: dict[str, float] = dataclasses.field(default_factory=dict)
    start_count: int = 0
    trace: list[str] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)

    def record_violation(self, violation: str) -> None:
        """Add a violation, as one sentence."""
        self.violations.append(violation)

    def judge(self, now_s: float) -> None:
        """Record what was observed until now and breaks a clause."""
        self.observations.end_at(now_s)
        self.violations += map(str, find_violations(self.observations))

    def check_stored_verdict(self, job_id: str, record: bytes, now_s: float) -> None:
        """Check the final state of a job as the store has it."""
        fault = find_verdict_fault(self.evidence, self.jobs[job_id], record)
        if fault:
            self.record_violation(
                f"{job_id} is shown as failed at {now_s:.2f} without evidence: {fault}"
            )

    def publish_final_state(self, job_id: str, state: str, now_s: float) -> None:
        """Record the final state of a job that a leader has stored, and check it."""
        previous = self.published_final_states.setdefault(job_id, state)
        if previous != state:
            self.record_violation(f"{job_id} is shown as {previous}, then as {state}")
        self.published_final_states[job_id] = state
        if state != "failed":
            return
        fault = self.evidence.find_fault(self.jobs[job_id])
        if fault:
            self.record_violation(
                f"{job_id} is shown as failed at {now_s:.2f} without cause: {fault}"
            )
