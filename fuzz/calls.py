"""Play the calls of orders as the product does: timeouts, a repetition, late copies.

Each call is carried out at once, late or never, by whichever incarnation of its worker
is there then, and has one result at most. A start without an answer is repeated once,
and then only that it started is conclusive (``WorkerOrders._repeat_start``). What each
switch breaks is listed in docs/INVARIANTS.md.
"""

import dataclasses
import random
import typing as t

from bulrushspur_scheduler.cell import StartOrder, StopOrder
from bulrushspur_scheduler.incarnations import (
    SentOrder,
    describe_order,
    is_still_present,
    record_answer_clock,
)
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.leases import extend_lease
from bulrushspur_scheduler.open_starts import (
    SentStart,
    record_answered_start,
    record_sent_start,
)
from bulrushspur_scheduler.order_results import (
    StartResult,
    handle_start_result,
    handle_stop_result,
)
from bulrushspur_scheduler.start_checks import (
    find_misplaced_reason,
    find_obsolete_reason,
)
from bulrushspur_scheduler.workers import RunKey, Worker
from fuzz.leaders import SimLeader
from fuzz.links import WorkerLinks
from fuzz.workers import SimWorker

START_LEASE_S: t.Final = 2.0
CALL_TIMEOUT_S: t.Final = 0.35
STOP_RETRY_S: t.Final = 0.3
MIN_LATE_S: t.Final = 2.0
MAX_LATE_S: t.Final = 12.0
MIN_SLOW_STOP_S: t.Final = 0.1
MAX_SLOW_STOP_S: t.Final = 0.58
# An order that waits for a process to be up comes so long after that.
QUEUED_DELAY_S: t.Final = 0.02


@dataclasses.dataclass(eq=False)
class StartCall:
    """One copy of a start; it is over once it has a result or has timed out."""

    leader: SimLeader
    order: StartOrder
    worker: Worker
    sent_s: float
    sent: SentOrder
    sent_start: SentStart
    until_ms: int
    is_repeated: bool
    is_over: bool = False


class CallLinks(WorkerLinks):
    """Links whose calls may reach any incarnation of a worker."""

    # Shares of the calls that are carried out late, of one kind each.
    late_call_share = 0.08
    late_renewal_share = 0.08
    # While the history says that a worker is in trouble.
    troubled_late_share = 0.5
    lost_answer_share = 0.05
    # Calls for a process that is not up yet and wait for it instead of being lost.
    queued_share = 0.5
    # Answers to stops that take up to the timeout.
    slow_stop_share = 0.2
    troubled_slow_share = 0.7
    # Accepted residuals (docs/INVARIANTS.md): a copy that an earlier incarnation would
    # refuse is carried out by a later one; a former leader's order by an incarnation
    # that began after its worker had answered the next leader; acknowledgements that
    # were meant for another incarnation.
    later_incarnations_take_refused_copies = False
    later_incarnations_take_former_orders = False
    any_incarnation_takes_acknowledgements = False

    order_rng: random.Random
    # By worker: whether its connections outlive its restart unnoticed.
    kept_connections: dict[str, bool]
    troubled_until_s: dict[str, float]
    mute_until_s: dict[str, float]
    down_until_s: dict[str, float]
    # By worker: the newest term that it is known to have answered.
    answered_terms: dict[str, int]
    # The incarnation in which a leader learned that a run has ended or is stopped.
    released_runs: dict[tuple[str, RunKey], int]

    def init_calls(self, seed: int) -> None:
        """Begin without faults; the draws are apart from all others."""
        self.order_rng = random.Random(f"calls {seed}")
        self.kept_connections = {}
        self.troubled_until_s = {}
        self.mute_until_s = {}
        self.down_until_s = {}
        self.answered_terms = {}
        self.released_runs = {}

    # How calls travel.

    def is_troubled(self, name: str) -> bool:
        """Return whether many calls to a worker are late, or answered late."""
        return self.now_s < self.troubled_until_s.get(name, 0.0)

    def draw_late_s(self, name: str, share: float) -> float:
        """Return after how long a call is carried out late, or 0."""
        if self.is_troubled(name):
            share = self.troubled_late_share
        if self.order_rng.random() >= share:
            return 0.0
        return self.order_rng.uniform(MIN_LATE_S, MAX_LATE_S)

    def draw_delay_s(self) -> float:
        """Return how long a call, or an answer, takes that is not late."""
        return self.order_rng.choice((0.002, 0.005, 0.02, 0.1))

    def loses_answer(self, name: str) -> bool:
        """Return whether an answer of a worker that is given now gets lost."""
        is_mute = self.now_s < self.mute_until_s.get(name, 0.0)
        return is_mute or not self.workers[name].alive

    def notices_restart(self, name: str) -> bool:
        """Return whether connections end with the incarnation that they lead to."""
        return self.verifies_connections and not self.kept_connections.get(name)

    def _deliver(
        self,
        leader: SimLeader,
        name: str,
        late_s: float,
        execute: t.Callable[[SimWorker], None],
    ) -> None:
        """Carry a call out at its worker, late or not; it may get lost."""

        def arrive() -> None:
            worker = self.workers[name]
            wait_s = self.down_until_s.get(name, 0.0) - self.now_s
            if wait_s > 0 and self.order_rng.random() < self.queued_share:
                self.schedule(wait_s + QUEUED_DELAY_S, arrive)
                return
            is_there = worker.alive and wait_s <= 0
            is_reached = late_s or self._reaches(leader, name)
            if is_there and is_reached and self._may_take(leader, worker):
                execute(worker)

        self.schedule(late_s or self.draw_delay_s(), arrive)

    def _may_take(self, leader: SimLeader, worker: SimWorker) -> bool:
        """Return whether a worker may carry out a leader's call.

        An incarnation that began after its worker had answered a later leader knows
        nothing of that one's fencing token.
        """
        answered_term = self.answered_terms.get(worker.id, 0)
        is_residual = worker.fence <= leader.term < answered_term
        return self.later_incarnations_take_former_orders or not is_residual

    # Starts.

    def _send_start(self, leader: SimLeader, order: StartOrder) -> None:
        worker = leader.cell.workers.get(order.worker_id)
        if worker is None:
            self._end_start(leader, order.run, StartResult.INCARNATION_MISMATCH)
            return
        reason = find_obsolete_reason(leader.cell, order.run)
        reason = reason or find_misplaced_reason(
            leader.cell, worker, order.run, self.now_s
        )
        if reason:
            self._end_start(leader, order.run, StartResult.DROPPED)
            return
        self._call_start(leader, order, worker, is_repeated=False)

    def _end_start(self, leader: SimLeader, run: Run, result: StartResult) -> None:
        if not leader.ended:
            handle_start_result(leader.cell, run, result, self.now_s)

    def _call_start(
        self, leader: SimLeader, order: StartOrder, worker: Worker, is_repeated: bool
    ) -> None:
        """Send a copy of a start."""
        cell, now_s = leader.cell, self.now_s
        call = StartCall(
            leader,
            order,
            worker,
            now_s,
            describe_order(worker, now_s),
            record_sent_start(worker, order.run, now_s),
            extend_lease(cell, worker, now_s, START_LEASE_S),
            is_repeated,
        )
        late_s = self.draw_late_s(worker.id, self.late_call_share)
        if late_s:
            self.standing_check.disturb_job(order.run.task.key.job, now_s + late_s)
        self._deliver(leader, worker.id, late_s, lambda w: self._start(call, w, late_s))
        self.schedule(CALL_TIMEOUT_S, lambda: self._time_out_start(call))

    def _start(self, call: StartCall, worker: SimWorker, late_s: float) -> None:
        """Carry a copy of a start out, and answer it unless it is late."""
        run, name = call.order.run, worker.id
        is_other = worker.incarnation != call.sent.incarnation_start_ms
        if not late_s and is_other and self.notices_restart(name):
            self._answer_start(call, StartResult.NOT_SENT, None)
            return
        if self._is_refused_copy(worker, run):
            return
        result = worker.start(
            run.task.key,
            run.number,
            call.until_ms,
            call.leader.term,
            self.now_s,
            call.order.payload,
            call.order.checkpoint,
            call.sent_s if late_s else self.now_s,
        )
        if result is StartResult.STARTED:
            self.on_started(call.leader, worker, run)
        is_lost = self.order_rng.random() < self.lost_answer_share
        if late_s or is_lost or self.loses_answer(name):
            return
        clock_ms = worker.clock_ms(self.now_s)
        self.schedule(
            self.draw_delay_s(), lambda: self._answer_start(call, result, clock_ms)
        )

    def _is_refused_copy(self, worker: SimWorker, run: Run) -> bool:
        """Return whether an earlier incarnation would refuse a copy, not this one.

        The leader relies on that incarnation if it has released the run, or has the
        answer to its stop; the report of a restart voids that answer.
        """
        relies = run not in run.task.runs or run.stop_acknowledged_s
        if self.later_incarnations_take_refused_copies or not relies:
            return False
        incarnation = self.released_runs.get((worker.id, run.key))
        return incarnation not in (None, worker.incarnation)

    def _answer_start(
        self, call: StartCall, result: StartResult, clock_ms: int | None
    ) -> None:
        if call.is_over:
            return
        call.is_over = True
        record_answered_start(call.worker, call.sent_start)
        if call.leader.ended:
            return
        if clock_ms is not None:
            cell = call.leader.cell
            record_answer_clock(cell, call.worker, call.sent, clock_ms, self.now_s)
        is_conclusive = result in (StartResult.STARTED, StartResult.FENCED)
        if call.is_repeated and not is_conclusive:
            result = StartResult.UNANSWERED
        self._end_start(call.leader, call.order.run, result)

    def _time_out_start(self, call: StartCall) -> None:
        if call.is_over:
            return
        call.is_over = True
        if call.is_repeated or not self._may_repeat(call):
            self._end_start(call.leader, call.order.run, StartResult.UNANSWERED)
        elif call.order.run.state is RunState.RUNNING:
            self._end_start(call.leader, call.order.run, StartResult.STARTED)
        else:
            self._call_start(call.leader, call.order, call.worker, is_repeated=True)

    def _may_repeat(self, call: StartCall) -> bool:
        if call.leader.ended or not self.has_authority(call.leader):
            return False
        if call.worker.incarnation_start_ms != call.sent.incarnation_start_ms:
            return False
        run = call.order.run
        is_running = run.state is RunState.RUNNING
        return is_running or not find_obsolete_reason(call.leader.cell, run)

    # Stops.

    def _send_stop(self, leader: SimLeader, order: StopOrder) -> None:
        worker = leader.cell.workers.get(order.worker_id)
        run = order.run
        if worker is None:
            self._schedule_stop_retry(leader, order)
            return
        if run is not None and run not in run.task.runs:
            return
        incarnation_start_ms = worker.incarnation_start_ms
        over: list[bool] = []

        def execute(sim_worker: SimWorker) -> None:
            done = sim_worker.stop(order.key, order.number, leader.term, self.now_s)
            if done and not late_s and not self.loses_answer(sim_worker.id):
                self.schedule(self._draw_stop_delay_s(sim_worker), answer)

        def answer() -> None:
            if over or leader.ended:
                return
            over.append(True)
            if not is_still_present(worker, incarnation_start_ms):
                self._schedule_stop_retry(leader, order)
                return
            if run is not None:
                self._record_release(worker, run.key)
            handle_stop_result(leader.cell, order, True, self.now_s)

        def time_out() -> None:
            if not over:
                over.append(True)
                self._schedule_stop_retry(leader, order)

        late_s = self.draw_late_stop_s(order.worker_id)
        self._deliver(leader, order.worker_id, late_s, execute)
        self.schedule(0.6, time_out)

    def draw_late_stop_s(self, name: str) -> float:
        """Return after how long a stop is carried out late, or 0."""
        return self.draw_late_s(name, self.late_call_share)

    def _draw_stop_delay_s(self, worker: SimWorker) -> float:
        """Return how long the answer to a stop takes."""
        is_troubled = self.is_troubled(worker.id)
        share = self.troubled_slow_share if is_troubled else self.slow_stop_share
        if self.order_rng.random() >= share:
            return self.draw_delay_s()
        self.on_slow_stop(worker)
        return self.order_rng.uniform(MIN_SLOW_STOP_S, MAX_SLOW_STOP_S)

    def on_slow_stop(self, worker: SimWorker) -> None:
        """React to a stop whose answer takes long."""

    def _schedule_stop_retry(self, leader: SimLeader, order: StopOrder) -> None:
        def retry() -> None:
            if not leader.ended:
                handle_stop_result(leader.cell, order, False, self.now_s)

        self.schedule(STOP_RETRY_S, retry)

    def _record_release(self, worker: Worker, key: RunKey) -> None:
        """Record that a leader knows of the present incarnation to refuse a run."""
        self.released_runs[worker.id, key] = worker.incarnation_start_ms

    # Renewals.

    def draw_late_renewal_s(self, name: str) -> float:
        """Return after how long a renewal is carried out late, or 0."""
        return self.draw_late_s(name, self.late_renewal_share)

    def deliver_late_renewal(
        self,
        leader: SimLeader,
        name: str,
        late_s: float,
        execute: t.Callable[[SimWorker], None],
    ) -> None:
        """Carry a renewal out late, by whichever incarnation is there."""
        self._deliver(leader, name, late_s, execute)

    def takes_acknowledgement(self, worker: Worker, sim_worker: SimWorker) -> bool:
        """Return whether an incarnation forgets the ends that a leader acknowledges."""
        is_meant = worker.incarnation_start_ms == sim_worker.incarnation
        return is_meant or self.any_incarnation_takes_acknowledgements

    def on_reported(self, leader: SimLeader, worker: Worker, report: t.Any) -> None:
        """Record whom a worker has answered, and which runs it has ended."""
        newest_term = max(self.answered_terms.get(worker.id, 0), leader.term)
        self.answered_terms[worker.id] = newest_term
        for end in report.ended:
            self._record_release(worker, (end.key, end.number))
