"""Record what clients and workers saw, for the clauses that judge it.

Takes submissions and cancels as clients sent them, and starts, stops, checkpoints and
ends as workers saw them, in any order; all times are seconds on one monotonic clock.
Nothing in here comes from the scheduler or its logs.
"""

import dataclasses
import math
import typing as t

from oracle.requests import (
    Cancel,
    DeclaredStep,
    Submission,
    TaskId,
    make_task_id,
)
from oracle.runs import Checkpoint, Run, RunKey, Stop
from oracle.shutdowns import EntryRequest, Shutdown


@dataclasses.dataclass(frozen=True)
class Bounds:
    """The users' time bounds, in seconds."""

    cancel_s: float = 3.0
    ack_s: float = 4.0
    stop_s: float = 0.9
    contact_s: float = 3.0
    # By how long after a noted end, or a job shown as completed, nothing more starts.
    noted_s: float = 1.0
    # From when on a capacity that has shrunk counts.
    capacity_s: float = 4.5
    # A connection may end so soon after a request without an answer to it.
    loss_slack_s: float = 0.2
    # From SIGTERM to SIGKILL.
    grace_s: float = 6.0


@dataclasses.dataclass
class Disruption:
    """A fault or its effect from one time to another; it is over at ``until_s``."""

    from_s: float
    until_s: float
    name: str = ""


@dataclasses.dataclass
class Observations:
    """All that clients and workers saw, in the order in which it was recorded."""

    submissions: dict[str, list[Submission]] = dataclasses.field(default_factory=dict)
    cancels: dict[str, list[Cancel]] = dataclasses.field(default_factory=dict)
    # All orders to start a run, and those of them on which a run was started.
    orders: list[Run] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    checkpoints: dict[TaskId, list[Checkpoint]] = dataclasses.field(
        default_factory=dict
    )
    disruptions: list[Disruption] = dataclasses.field(default_factory=list)
    # By term: when its leader was cut off from the store.
    contact_losses: dict[int, list[Disruption]] = dataclasses.field(
        default_factory=dict
    )
    # By worker and incarnation: from when on it has had which CPU, in order of time.
    capacities: dict[tuple[str, int], list[tuple[float, int]]] = dataclasses.field(
        default_factory=dict
    )
    # Requests to entry processes, their stops, and by entry process the disruptions
    # of it, its links or the store.
    entry_requests: list[EntryRequest] = dataclasses.field(default_factory=list)
    shutdowns: list[Shutdown] = dataclasses.field(default_factory=list)
    entry_disruptions: dict[str, list[Disruption]] = dataclasses.field(
        default_factory=dict
    )
    # When a job was first shown as completed.
    completed_s: dict[str, float] = dataclasses.field(default_factory=dict)
    # When the observation ended; until then the runs without an end went on.
    until_s: float = 0.0
    # Whether the workers let the members of a gang end together, as real ones do.
    gangs_end_together: bool = False
    _run_by_key: dict[RunKey, Run] = dataclasses.field(default_factory=dict)

    def record_submission(
        self,
        job: str,
        sent_s: float,
        **fields: t.Any,
    ) -> Submission:
        """Record an attempt to hand a job in; pass the result to ``record_answer``.

        See ``Submission`` for the fields; ``declare_job`` makes those of a body.
        """
        submission = Submission(job, sent_s=sent_s, **fields)
        self.submissions.setdefault(job, []).append(submission)
        return submission

    def record_cancel(self, job: str, sent_s: float, account: str = "") -> Cancel:
        """Record an attempt to cancel a job; pass the result to ``record_answer``."""
        cancel = Cancel(job, sent_s, account)
        self.cancels.setdefault(job, []).append(cancel)
        return cancel

    def record_answer(
        self, request: Submission | Cancel, status: int | None, answered_s: float
    ) -> None:
        """Record the answer to an attempt, or with None that its client gave up."""
        request.status, request.answered_s = status, answered_s
        self._extend(answered_s)

    def record_start(
        self,
        task: str | tuple[str, int, int, int],
        number: int,
        worker: str,
        incarnation: int,
        told_s: float,
        payload: str,
        **fields: t.Any,
    ) -> Run:
        """Record a start order; see ``Run`` for the fields."""
        task_id = make_task_id(task)
        run = Run(task_id, number, worker, incarnation, told_s, payload, **fields)
        self.orders.append(run)
        if run.is_started:
            self.runs.append(run)
            self._run_by_key[task_id, number, worker, incarnation] = run
        self._extend(told_s)
        return run

    def record_end(
        self,
        task: str | tuple[str, int, int, int],
        number: int,
        worker: str,
        incarnation: int,
        ended_s: float,
        outcome: str,
    ) -> None:
        """Record how a run ended; a run that was not started is ignored."""
        run = self._run_by_key.get((make_task_id(task), number, worker, incarnation))
        if run is not None and run.ended_s == math.inf:
            run.ended_s, run.outcome = ended_s, outcome
            self._extend(ended_s)

    def record_note(
        self,
        task: str | tuple[str, int, int, int],
        number: int,
        worker: str,
        incarnation: int,
        noted_s: float,
        is_void: bool,
    ) -> None:
        """Record that the leader took note of an end, by acknowledging it.

        ``is_void`` says that the worker's lease lapsed between the two.
        """
        run = self._run_by_key.get((make_task_id(task), number, worker, incarnation))
        if run is not None and run.noted_s == math.inf:
            run.noted_s, run.is_note_void = noted_s, is_void
            self._extend(noted_s)

    def record_capacity(
        self, worker: str, incarnation: int, from_s: float, cpu_milli: int
    ) -> None:
        """Record the CPU that a worker has from a time on."""
        rows = self.capacities.setdefault((worker, incarnation), [])
        rows.append((from_s, cpu_milli))

    def record_incarnation_end(
        self, worker: str, incarnation: int, ended_s: float
    ) -> None:
        """Record that a worker has crashed or left: its runs are over."""
        for key, run in self._run_by_key.items():
            if key[2:] == (worker, incarnation) and run.ended_s == math.inf:
                run.ended_s, run.outcome = ended_s, "lost"
        self._extend(ended_s)

    def record_stop(
        self,
        task: str | tuple[str, int, int, int],
        number: int,
        worker: str,
        told_s: float,
        term: int = 0,
    ) -> None:
        """Record a stop order."""
        self.stops.append(Stop(told_s, make_task_id(task), number, worker, term))
        self._extend(told_s)

    def record_checkpoint(
        self,
        task: str | tuple[str, int, int, int],
        number: int,
        value: str,
        produced_s: float,
    ) -> None:
        """Record a checkpoint that a worker produced."""
        task_id = make_task_id(task)
        self.checkpoints.setdefault(task_id, []).append(
            Checkpoint(produced_s, task_id, number, value)
        )

    def record_disruption(
        self, from_s: float, until_s: float = math.inf, name: str = ""
    ) -> Disruption:
        """Record a disruption; while it lasts, its ``until_s`` may be set later.

        Cancels, workers that shut down gracefully and evacuations are none.
        """
        disruption = Disruption(from_s, until_s, name)
        self.disruptions.append(disruption)
        return disruption

    def record_contact_loss(
        self, term: int, from_s: float, until_s: float = math.inf
    ) -> Disruption:
        """Record that the leader of a term was cut off from the store."""
        loss = Disruption(from_s, until_s, f"term {term} is cut off")
        self.contact_losses.setdefault(term, []).append(loss)
        return loss

    def record_entry_request(
        self, entry: str, description: str, **fields: t.Any
    ) -> EntryRequest:
        """Record a request to an entry process; its times may be set later."""
        request = EntryRequest(entry, description, **fields)
        self.entry_requests.append(request)
        return request

    def record_shutdown(self, entry: str, signaled_s: float) -> Shutdown:
        """Record SIGTERM to an entry process; ``gone_s`` of it may be set later."""
        shutdown = Shutdown(entry, signaled_s)
        self.shutdowns.append(shutdown)
        self._extend(signaled_s)
        return shutdown

    def record_entry_disruption(
        self, entry: str, from_s: float, until_s: float = math.inf
    ) -> None:
        """Record a disruption of an entry process, its links or the store."""
        rows = self.entry_disruptions.setdefault(entry, [])
        rows.append(Disruption(from_s, until_s))

    def is_in_contact(self, run: Run, bounds: Bounds) -> bool:
        """Return whether the starter of a run may know what happened ``contact_s`` ago.

        The users' rule asks for contact in all of that time: it excuses more.
        """
        from_s = run.arrived_s - bounds.contact_s
        return run.in_contact and not any(
            loss.from_s <= from_s and loss.until_s >= run.arrived_s
            for loss in self.contact_losses.get(run.term, [])
        )

    def record_completed(self, job: str, shown_s: float) -> None:
        """Record that a job was shown as completed."""
        self.completed_s.setdefault(job, shown_s)
        self._extend(shown_s)

    def record(self, kind: str, **fields: t.Any) -> None:
        """Record what a stand-in saw, by the function that its kind names."""
        getattr(self, f"record_{kind}")(**fields)

    def end_at(self, until_s: float) -> None:
        """Record until when the workers were observed."""
        self._extend(until_s)

    def _extend(self, until_s: float) -> None:
        self.until_s = max(self.until_s, until_s)

    def declared_step(self, task: TaskId) -> DeclaredStep | None:
        """Return the step of a task as a submission that may count declares it."""
        for submission in self.list_valid_submissions(task.job):
            if submission.declares(task):
                return submission.steps[task.step]
        return None

    def list_valid_submissions(
        self, job: str, until_s: float = math.inf
    ) -> list[Submission]:
        """List the submissions sent by a time that were not rejected; all if all were.

        That a job starts though all were rejected is for the rule REFUSED.
        """
        submissions = [
            row for row in self.submissions.get(job, []) if row.sent_s <= until_s
        ]
        valid = [row for row in submissions if row.outcome != "rejected"]
        return valid or submissions


@dataclasses.dataclass(frozen=True)
class Violation:
    """One broken clause of a rule, with a sentence that says what was seen."""

    rule: str
    clause: str
    sentence: str

    def __str__(self) -> str:
        return f"{self.rule} ({self.clause}): {self.sentence}"
