"""Carry orders and reports between the simulated leaders and workers.

Messages take a moment, arrive late or not at all, and so do their answers, as the
generator draws it. A leader that is cut off from a worker does not reach it.
"""

import random
import typing as t

from bulrushspur_scheduler.cell import StartOrder, StopOrder
from bulrushspur_scheduler.incarnations import describe_order, record_answer_clock
from bulrushspur_scheduler.job_specs import TaskKey
from bulrushspur_scheduler.jobs import Step
from bulrushspur_scheduler.leases import extend_lease
from bulrushspur_scheduler.open_starts import (
    record_answered_lease,
    record_answered_start,
    record_sent_start,
)
from bulrushspur_scheduler.order_results import (
    StartResult,
    handle_start_result,
    handle_stop_result,
)
from bulrushspur_scheduler.reports import apply_report
from bulrushspur_scheduler.workers import Worker
from fuzz.leaders import SimLeader
from fuzz.standing import StandingCheck
from fuzz.workers import SimWorker

RENEWAL_INTERVAL_S: t.Final = 0.4


class WorkerLinks:
    """The links of a simulation, which adds time, workers and leaders."""

    # Shares of the start orders: those that arrive late, and of the others those whose
    # answer is lost.
    late_start_share = 0.05
    lost_answer_share = 0.03
    # Whether leaders verify which incarnation a connection leads to.
    verifies_connections = True
    # Renewals that get no answer and are carried out later.
    late_renewal_share = 0.0
    now_s: float
    rng: random.Random
    workers: dict[str, SimWorker]
    standing_check: StandingCheck

    def schedule(self, delay_s: float, action: t.Callable[[], None]) -> None:
        """Schedule an action in simulated time."""
        raise NotImplementedError

    def has_authority(self, leader: SimLeader) -> bool:
        """Return whether a leader may still send orders."""
        raise NotImplementedError

    def store_progress(self, leader: SimLeader) -> bool:
        """Store the changed jobs and return whether no change is left to store."""
        raise NotImplementedError

    def record_answer(self, leader: SimLeader, worker: Worker) -> None:
        """Store that a worker has answered; from then on it may get runs."""
        raise NotImplementedError

    def send_orders(self, leader: SimLeader) -> None:
        """Send the orders that the planner has left in the cell of a leader."""
        cell = leader.cell
        starts, cell.start_orders = cell.start_orders, []
        stops, cell.stop_orders = cell.stop_orders, []
        for start in starts:
            self._send_start(leader, start)
        for stop in stops:
            self._send_stop(leader, stop)

    def _reaches(self, leader: SimLeader, name: str) -> bool:
        return (
            name not in leader.unreachable_workers
            and self.now_s >= self.workers[name].unreachable_until_s
        )

    def takes_work(self, leader: SimLeader, name: str) -> bool:
        """Return whether a leader may start work on a worker."""
        return self._reaches(leader, name)

    def has_label(self, step: Step, name: str) -> bool:
        """Return whether a worker has the label that a step requires."""
        return True

    def _delay_s(self) -> float:
        return self.rng.choice((0.002, 0.005, 0.02, 0.1))

    def _send_start(self, leader: SimLeader, order: StartOrder) -> None:
        cell, run = leader.cell, order.run
        known = cell.workers[order.worker_id]
        sent = describe_order(known, self.now_s)
        sent_start = record_sent_start(known, run, self.now_s)
        until_ms = extend_lease(cell, known, self.now_s, 2.0)
        key: TaskKey = run.task.key
        number = run.number
        late = self.rng.random() < self.late_start_share
        sent_s = self.now_s
        delay_s = self.rng.uniform(1, 5) if late else self._delay_s()
        if late:
            self.standing_check.disturb_job(key.job, self.now_s + delay_s)
        sent_to = self.workers[order.worker_id]

        def arrive() -> None:
            # A late order is lost if its worker has restarted since.
            worker = sent_to if late else self.workers[order.worker_id]
            if worker is not self.workers[order.worker_id]:
                return
            is_other = worker.incarnation != sent.incarnation_start_ms
            if is_other and self.verifies_connections:
                # A start goes only over a connection to its incarnation.
                record_answered_start(known, sent_start)
                self._handle_start(leader, run, StartResult.NOT_SENT)
                return
            if self.refuses_connections(order.worker_id):
                if late:
                    # It has counted as unanswered: no call has two results.
                    return
                record_answered_start(known, sent_start)
                self._handle_start(leader, run, StartResult.NOT_SENT)
                return
            if not self._reaches(leader, order.worker_id):
                return
            result = worker.start(
                key,
                number,
                until_ms,
                leader.term,
                self.now_s,
                order.payload,
                order.checkpoint,
                sent_s if late else self.now_s,
            )
            if result is StartResult.STARTED:
                self.on_started(leader, worker, run)
            if not late and self.rng.random() > self.lost_answer_share:
                clock_ms = worker.clock_ms(self.now_s)
                self.schedule(self._delay_s(), lambda: answer(result, clock_ms))

        def answer(result: StartResult, clock_ms: int) -> None:
            record_answered_start(known, sent_start)
            if not leader.ended:
                record_answer_clock(cell, known, sent, clock_ms, self.now_s)
            self._handle_start(leader, run, result)

        self.schedule(delay_s, arrive)
        self.schedule(
            0.6, lambda: self._handle_start(leader, run, StartResult.UNANSWERED, True)
        )

    def notices_restart(self, name: str) -> bool:
        """Return whether connections end with the incarnation that they lead to."""
        return self.verifies_connections

    def loses_answer(self, name: str) -> bool:
        """Return whether a report of a worker that is made now gets lost."""
        return False

    def takes_acknowledgement(self, worker: Worker, sim_worker: SimWorker) -> bool:
        """Return whether an incarnation forgets the ends that a leader acknowledges."""
        return True

    def on_reported(self, leader: SimLeader, worker: Worker, report: t.Any) -> None:
        """React to a report that a leader has applied."""

    def refuses_connections(self, name: str) -> bool:
        """Return whether a worker is known at once not to get an order."""
        return False

    def on_started(self, leader: SimLeader, worker: SimWorker, run: t.Any) -> None:
        """React to a start that a worker has executed; it may be a repeated one."""

    def _handle_start(
        self, leader: SimLeader, run: t.Any, result: StartResult, timeout: bool = False
    ) -> None:
        if leader.ended or (timeout and run.state.value != "starting"):
            return
        handle_start_result(leader.cell, run, result, self.now_s)

    def _send_stop(self, leader: SimLeader, order: StopOrder) -> None:
        answered: list[bool] = []

        def arrive() -> None:
            if not self._reaches(leader, order.worker_id):
                return
            worker = self.workers[order.worker_id]
            executed = worker.stop(order.key, order.number, leader.term, self.now_s)
            if executed and self.rng.random() > 0.05:
                answered.append(True)
                self.schedule(
                    self._delay_s(),
                    lambda: handle_stop_result(leader.cell, order, True, self.now_s),
                )

        def time_out() -> None:
            if not answered and not leader.ended:
                handle_stop_result(leader.cell, order, False, self.now_s)

        self.schedule(self._delay_s(), arrive)
        self.schedule(0.6, time_out)

    def draw_late_renewal_s(self, name: str) -> float:
        """Return after how long a renewal is carried out late, or 0."""
        share = self.late_renewal_share
        if share > 0 and self.rng.random() < share:
            return self.rng.uniform(2, 12)
        return 0.0

    def deliver_late_renewal(
        self,
        leader: SimLeader,
        name: str,
        late_s: float,
        execute: t.Callable[[SimWorker], None],
    ) -> None:
        """Carry a renewal out late, if its worker has not restarted since."""
        sent_to = self.workers[name]

        def arrive() -> None:
            if sent_to is self.workers[name] and self._reaches(leader, name):
                execute(sent_to)

        self.schedule(late_s, arrive)

    def _may_extend_lease(self, leader: SimLeader, worker: Worker) -> bool:
        return (
            worker.clock.is_known and bool(worker.runs) and self.has_authority(leader)
        )

    def renew_lease(self, leader: SimLeader, name: str) -> None:
        """Renew the lease of a worker now and again, and apply its reports."""
        if leader.ended or leader.cell.superseded:
            return
        cell = leader.cell
        worker = cell.workers.get(name)
        if worker is None:
            return
        until_ms = None
        is_verified = name not in leader.unverified_workers
        must_verify = self.verifies_connections and not is_verified
        if self._may_extend_lease(leader, worker) and not must_verify:
            until_ms = extend_lease(
                cell, worker, self.now_s, cell.timing_limits.lease_s
            )
        sent_to, sent_s = self.workers[name], self.now_s
        ack_upto = leader.durable_end_sequences.get(name, 0)
        if (
            ack_upto <= leader.acknowledged_end_sequences.get(name, 0)
            or name in leader.unverified_workers
        ):
            ack_upto = 0
        leader.unverified_workers.add(name)

        def arrive() -> None:
            if not self._reaches(leader, name):
                return
            sim_worker = self.workers[name]
            is_other = sim_worker is not sent_to and self.notices_restart(name)
            takes_ends = not is_other and self.takes_acknowledgement(worker, sim_worker)
            report = sim_worker.renew_lease(
                None if is_other else until_ms,
                leader.term,
                ack_upto if takes_ends else 0,
                sent_s,
                self.now_s,
            )
            if self.loses_answer(name):
                return
            if report is None:
                cell.superseded = True
                return
            self.schedule(self._delay_s(), lambda: handle_report(report))

        def execute_late(sim_worker: SimWorker) -> None:
            sim_worker.renew_lease(until_ms, leader.term, 0, sent_s, self.now_s)

        def handle_report(report: t.Any) -> None:
            if leader.ended:
                return
            record_answered_lease(worker, sent_s)
            previous_start_ms = worker.incarnation_start_ms
            apply_report(cell, worker, report, self.now_s)
            self.record_answer(leader, worker)
            self.on_reported(leader, worker, report)
            leader.unverified_workers.discard(name)
            leader.acknowledged_end_sequences[name] = max(
                leader.acknowledged_end_sequences.get(name, 0), ack_upto
            )
            if previous_start_ms and previous_start_ms != worker.incarnation_start_ms:
                leader.durable_end_sequences[name] = leader.acknowledged_end_sequences[
                    name
                ] = 0
            if self.store_progress(leader):
                leader.durable_end_sequences[name] = worker.applied_end_sequence

        late_s = self.draw_late_renewal_s(name)
        if late_s:
            self.deliver_late_renewal(leader, name, late_s, execute_late)
        else:
            self.schedule(self._delay_s(), arrive)
        self.schedule(RENEWAL_INTERVAL_S, lambda: self.renew_lease(leader, name))
