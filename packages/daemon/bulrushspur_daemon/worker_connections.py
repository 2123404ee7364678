"""Connect to workers, renew their leases and apply their reports.

The workers of a term go in; their reports are applied to the cell. Leases are extended
only while this leader has authority, and by a poll only if the worker has reported
recently: an extended lease delays the restart of the worker's tasks elsewhere. Run ends
are acknowledged to a worker only after they are stored: the worker reports an end until
it is acknowledged, and the next term needs the report of an end that is not stored.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.order_slots import OrderSlots
from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_daemon.worker_orders import (
    MAX_CONCURRENT_ORDERS,
    OrderTarget,
    WorkerOrders,
)
from bulrushspur_kernel.adapter import (
    Adapter,
    IncarnationMismatchError,
    StaleTermError,
    WorkerClient,
    WorkerUnresponsiveError,
)
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.leases import (
    extend_lease,
    mark_incarnation_ended,
)
from bulrushspur_scheduler.open_starts import (
    record_answered_lease,
    record_unanswered_lease,
)
from bulrushspur_scheduler.reports import apply_report
from bulrushspur_scheduler.workers import Worker

BUSY_LONG_POLL_TIMEOUT_MS: t.Final = 400
IDLE_LONG_POLL_TIMEOUT_MS: t.Final = 700
RETRY_INTERVAL_S: t.Final = 0.1
# Poll again after this time even if the store has not answered: a poll renews the
# lease, which otherwise could expire.
MAX_STORE_WAIT_S: t.Final = 0.4
SILENCE_LOG_THRESHOLD_S: t.Final = 1.0
REPORT_TIMEOUT_S: t.Final = 1.2
# After a report that can't be applied.
FAULT_RETRY_INTERVAL_S: t.Final = 1.0


@dataclasses.dataclass
class WorkerConnection:
    """The connection to one worker, and how far its run ends are processed."""

    worker: Worker
    client: WorkerClient
    order_slots: OrderSlots
    poll_task: asyncio.Task[None] | None = None
    # Run ends up to this sequence number are stored. The number is acknowledged only
    # once: the worker's next incarnation numbers its ends from the start, so a repeated
    # number could acknowledge ends that are not stored.
    durable_end_sequence: int = 0
    acknowledged_end_sequence: int = 0
    silent: bool = False
    # The last call has not succeeded: another incarnation may answer the next one.
    incarnation_unverified: bool = True
    # The worker has left the connection open after its last answer.
    was_left_open: bool = False
    # Waits until the reported run ends are stored.
    store_task: asyncio.Task[None] | None = None


@dataclasses.dataclass
class WorkerConnections:
    """Connections to all workers of a term."""

    cell: Cell
    adapter: Adapter
    writer: RecordWriter
    log: EventLog
    metrics: Metrics
    request_plan: t.Callable[[], None]
    has_authority: t.Callable[[], bool]
    # Called for the answer of a worker that is not recorded yet.
    on_answered: t.Callable[[Worker], None] = lambda worker: None
    by_worker_id: dict[str, WorkerConnection] = dataclasses.field(default_factory=dict)
    orders: WorkerOrders = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.orders = WorkerOrders(
            self.cell,
            self.metrics,
            self.request_plan,
            self.has_authority,
            self._find_order_target,
        )

    def open(self, worker: Worker) -> None:
        """Connect to a worker and begin to poll it."""
        client = self.adapter.make_worker_client(worker.entry)
        connection = WorkerConnection(worker, client, OrderSlots(MAX_CONCURRENT_ORDERS))
        self.by_worker_id[worker.id] = connection
        connection.poll_task = asyncio.create_task(self._poll_loop(connection))

    def reopen(self, worker: Worker) -> None:
        """Connect to a worker at its new address, if it is connected to."""
        if worker.id in self.by_worker_id:
            self.close(worker.id)
            self.open(worker)

    def close(self, worker_id: str) -> None:
        """Close the connection to a worker."""
        connection = self.by_worker_id.pop(worker_id, None)
        if connection is None:
            return
        for task in (connection.poll_task, connection.store_task):
            if task is not None:
                task.cancel()
        connection.client.close()

    def close_all(self) -> None:
        """Close all connections and cancel all orders in flight."""
        for worker_id in list(self.by_worker_id):
            self.close(worker_id)
        self.orders.cancel_all()

    async def _poll_loop(self, connection: WorkerConnection) -> None:
        while True:
            try:
                await self._poll(connection)
            except StaleTermError as exc:
                self.cell.superseded = True
                self.log.event(
                    "fenced", urgent=True, worker=connection.worker.id, reason=str(exc)
                )
                self.request_plan()
                return
            except IncarnationMismatchError:
                mark_incarnation_ended(
                    self.cell,
                    connection.worker,
                    "another incarnation answered",
                    monotonic_s(),
                )
                connection.worker.has_reported = False
                self.request_plan()
                await asyncio.sleep(RETRY_INTERVAL_S * 4)
            except WorkerUnresponsiveError as exc:
                self._log_silence(connection, str(exc))
                await asyncio.sleep(RETRY_INTERVAL_S)
            except Exception as exc:
                # As if it had not reported: it gets no work, and its runs are lost once
                # its lease has expired.
                worker_id, reason = connection.worker.id, repr(exc)
                self.log.event(
                    "worker_fault", urgent=True, worker=worker_id, reason=reason
                )
                self.metrics.count("worker_faults")
                await asyncio.sleep(FAULT_RETRY_INTERVAL_S)

    def _must_verify(self, connection: WorkerConnection) -> bool:
        """Return whether another incarnation may answer the next renewal.

        It must not extend a lease then, nor acknowledge ends of the present one.
        """
        was_closed = connection.was_left_open and (
            not connection.client.has_open_connection()
        )
        return connection.incarnation_unverified or was_closed

    async def _poll(self, connection: WorkerConnection) -> None:
        """Renew the lease, acknowledge stored ends and apply the worker's report.

        The worker is asked to answer at once before its first report, while reported
        ends are not stored and while its incarnation is unverified; otherwise the
        request is a long poll.
        """
        worker, cell = connection.worker, self.cell
        must_verify = self._must_verify(connection)
        sent_s = monotonic_s()
        lease_until_ms = None if must_verify else self._extend_lease(worker, sent_s)
        wait_ms = 0 if must_verify else _find_wait_ms(connection)
        end_sequence = connection.durable_end_sequence
        has_unacknowledged = end_sequence > connection.acknowledged_end_sequence
        acknowledged_sequence = (
            end_sequence if has_unacknowledged and not must_verify else 0
        )
        connection.incarnation_unverified = True
        try:
            report = await connection.client.renew_lease(
                lease_until_ms, cell.fencing_token, acknowledged_sequence, wait_ms
            )
        except WorkerUnresponsiveError:
            if lease_until_ms is not None:
                record_unanswered_lease(worker, sent_s, monotonic_s())
            raise
        record_answered_lease(worker, sent_s)
        connection.incarnation_unverified = False
        connection.was_left_open = connection.client.has_open_connection()
        connection.acknowledged_end_sequence = max(
            connection.acknowledged_end_sequence, acknowledged_sequence
        )
        incarnation_start_ms = worker.incarnation_start_ms
        apply_report(cell, worker, report, monotonic_s())
        if incarnation_start_ms and worker.incarnation_start_ms != incarnation_start_ms:
            connection.durable_end_sequence = connection.acknowledged_end_sequence = 0
        if not worker.is_recorded:
            self.on_answered(worker)
        if connection.silent:
            connection.silent = False
            self.log.event("worker_regained", worker=worker.id)
        self.request_plan()
        if worker.applied_end_sequence > connection.durable_end_sequence:
            await self._wait_ends_stored(connection)

    def _extend_lease(self, worker: Worker, now_s: float) -> int | None:
        """Extend the lease of a worker with runs, unless it has been silent.

        Its lease could never expire otherwise.
        """
        has_clock = worker.has_reported and worker.clock.is_known
        reported_recently = now_s - worker.last_report_s < REPORT_TIMEOUT_S
        if not (worker.runs and has_clock and reported_recently):
            return None
        if not self.has_authority():
            return None
        return extend_lease(self.cell, worker, now_s, self.cell.timing_limits.lease_s)

    async def _wait_ends_stored(self, connection: WorkerConnection) -> None:
        """Wait until run ends are stored, but not so long that leases expire."""
        if connection.store_task is None:
            connection.store_task = asyncio.create_task(
                self._record_stored_ends(connection)
            )
        await asyncio.wait([connection.store_task], timeout=MAX_STORE_WAIT_S)

    async def _record_stored_ends(self, connection: WorkerConnection) -> None:
        """Wait until the ends applied so far are stored; then they are acknowledged."""
        end_sequence, incarnation_start_ms = (
            connection.worker.applied_end_sequence,
            connection.worker.incarnation_start_ms,
        )
        try:
            await self.writer.wait_durable()
            # Another incarnation numbers its ends from the start.
            if incarnation_start_ms == connection.worker.incarnation_start_ms:
                connection.durable_end_sequence = max(
                    connection.durable_end_sequence, end_sequence
                )
        finally:
            connection.store_task = None

    def _log_silence(self, connection: WorkerConnection, reason: str) -> None:
        silent_s = monotonic_s() - connection.worker.last_report_s
        if not connection.silent and silent_s > SILENCE_LOG_THRESHOLD_S:
            connection.silent = True
            self.log.event(
                "worker_silent",
                urgent=True,
                worker=connection.worker.id,
                heard_age_ms=round(silent_s * 1000),
                runs=len(connection.worker.runs),
                reason=reason,
            )

    def _find_order_target(self, worker_id: str) -> OrderTarget | None:
        connection = self.by_worker_id.get(worker_id)
        if connection is None:
            return None
        return OrderTarget(connection.worker, connection.client, connection.order_slots)


def _find_wait_ms(connection: WorkerConnection) -> int:
    """Return how long a worker may wait for an end before it answers a renewal."""
    worker = connection.worker
    if not worker.has_reported or not worker.clock.is_known:
        return 0
    if worker.applied_end_sequence > connection.durable_end_sequence:
        return 0
    return BUSY_LONG_POLL_TIMEOUT_MS if worker.runs else IDLE_LONG_POLL_TIMEOUT_MS
