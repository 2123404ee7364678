"""Run one term of leadership, from recovery to the end of the term.

The term fences earlier terms in the store, rebuilds the cell from their records, then
answers requests, plans and sends orders to workers. It starts runs and extends leases
only while the store has recently confirmed that no later term exists, and it ends as
soon as a later term is seen or one of its own tasks fails.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.advice_dispatcher import AdviceDispatcher
from bulrushspur_daemon.claim_log import ClaimLog
from bulrushspur_daemon.clock import boottime_s
from bulrushspur_daemon.leader_requests import LeaderRequest, LeaderRequestHandler
from bulrushspur_daemon.liveness_watch import LivenessWatch
from bulrushspur_daemon.plan_loop import PlanLoop
from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_daemon.term_confirmation import TermConfirmation
from bulrushspur_daemon.term_heartbeats import TermHeartbeats
from bulrushspur_daemon.term_load import TermLoad
from bulrushspur_daemon.term_past_use import TermPastUse
from bulrushspur_daemon.term_peers import TermPeers
from bulrushspur_daemon.term_recovery import TermRecovery
from bulrushspur_daemon.term_speeds import TermSpeeds
from bulrushspur_daemon.term_upkeep import TermUpkeep
from bulrushspur_daemon.worker_connections import WorkerConnections
from bulrushspur_daemon.worker_records import WorkerRecords
from bulrushspur_daemon.worker_watch import WorkerWatch
from bulrushspur_kernel.adapter import Adapter
from bulrushspur_kernel.http_pool import HttpPool
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import (
    AdviceReply,
    Cancel,
    ConfigRecords,
    ConfigRequest,
    Message,
    Outcome,
    Query,
    Reply,
    Submit,
)
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_kernel.settings import Sharing
from bulrushspur_kernel.store import (
    Store,
    StoreFencedError,
)
from bulrushspur_scheduler.cell import Cell, TimingLimits, make_cell
from bulrushspur_scheduler.config import CellConfig
from bulrushspur_scheduler.evacuation import log_changes
from bulrushspur_scheduler.machine_speeds import MachineSpeeds
from bulrushspur_scheduler.overload import Backlog
from bulrushspur_scheduler.past_use import make_past_use
from bulrushspur_scheduler.queue_changes import apply_queue, log_moved_queues

HANDOVER_CHECK_INTERVAL_S: t.Final = 0.02
# A leader that only wants a larger VM in its place leads on after this time.
YIELD_TIMEOUT_S: t.Final = 1.5
# After this long without confirmation by the store, no run is started and no lease is
# extended: a later term may have begun.
AUTHORITY_TIMEOUT_S: t.Final = 10.0
DEFAULT_SHARING: t.Final = Sharing()


@dataclasses.dataclass
class Term:
    """The state and the tasks of one term; ``number`` is its fencing token."""

    number: int
    name: str
    store: Store
    adapter: Adapter
    claim_log: ClaimLog
    cell: Cell
    log: EventLog
    metrics: Metrics
    writer: RecordWriter
    peers: TermPeers
    on_end: t.Callable[[str], None]
    worker_connections: WorkerConnections = dataclasses.field(init=False)
    advice_dispatcher: AdviceDispatcher = dataclasses.field(init=False)
    worker_records: WorkerRecords = dataclasses.field(init=False)
    worker_watch: WorkerWatch = dataclasses.field(init=False)
    recovery: TermRecovery = dataclasses.field(init=False)
    confirmation: TermConfirmation = dataclasses.field(init=False)
    heartbeats: TermHeartbeats = dataclasses.field(init=False)
    liveness_watch: LivenessWatch = dataclasses.field(init=False)
    plan_loop: PlanLoop = dataclasses.field(init=False)
    request_handler: LeaderRequestHandler = dataclasses.field(init=False)
    make_config_records: t.Callable[[], ConfigRecords] = lambda: ConfigRecords([])
    upkeep: TermUpkeep = dataclasses.field(init=False)
    load_watch: TermLoad = dataclasses.field(init=False)
    past_use: TermPastUse = dataclasses.field(init=False)
    speeds: TermSpeeds = dataclasses.field(init=False)
    serving: bool = False
    # The process stops: the term asks for a successor until it ends.
    is_leaving: bool = False
    ended: bool = False
    tasks: set[asyncio.Task[t.Any]] = dataclasses.field(default_factory=set)

    def start(self) -> None:
        """Start sending heartbeats, and recover and serve in the background."""
        self.log.event("term_start", urgent=True, term=self.number)
        self._spawn(self.heartbeats.run())
        self._spawn(self._run())

    def _spawn(self, coroutine: t.Coroutine[t.Any, t.Any, None]) -> None:
        self._track_task(asyncio.create_task(self._end_term_on_error(coroutine)))

    def _track_task(self, task: asyncio.Task[t.Any]) -> None:
        """Hold a reference to a task until it ends, so that ``stop`` can cancel it."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _end_term_on_error(
        self, coroutine: t.Coroutine[t.Any, t.Any, None]
    ) -> None:
        try:
            await coroutine
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            self.log.event("term_fault", urgent=True, reason=repr(exc))
            self.metrics.count("term_faults")
            # Any other process leads at least as well as one that lacks a task.
            self.peers.resign(self.number)
            self.stop("a task of the term failed")

    def stop(self, reason: str) -> None:
        """End the term; work in progress is left to the next term."""
        if self.ended:
            return
        self.ended = True
        self.serving = False
        self.log.event("term_over", urgent=True, term=self.number, reason=reason)
        current = asyncio.current_task()
        for task in list(self.tasks):
            if task is not current:
                task.cancel()
        self.writer.stop()
        self.worker_connections.close_all()
        self.advice_dispatcher.stop()
        self.peers.close()
        self.request_handler.stop()
        self.confirmation.stop()
        self.on_end(reason)

    async def _run(self) -> None:
        await self._recover()
        if self.ended:
            return
        self._spawn(self.writer.run())
        self._spawn(self.worker_watch.run())
        self._spawn(self.liveness_watch.run())
        self._spawn(self.plan_loop.run())
        self._spawn(self.upkeep.run())
        self._spawn(self.load_watch.run())
        self._spawn(self.past_use.run())
        self._spawn(self.speeds.run())
        self._spawn(self.upkeep.report_waits())
        self._spawn(self.confirmation.run())

    async def _recover(self) -> None:
        """Recover the cell, then serve; end the term if a later one fences it."""
        try:
            await self.recovery.run()
        except StoreFencedError as exc:
            self.stop(f"fenced while recovering: {exc}")
            return
        self.serving = not self.ended

    def has_authority(self) -> bool:
        """Return whether this term may still start runs and extend leases.

        Time counts while the VM is suspended, as a later term may begin meanwhile.
        """
        if self.ended or self.cell.superseded:
            return False
        return boottime_s() - self.writer.confirmed_boottime_s < AUTHORITY_TIMEOUT_S

    def request_plan(self) -> None:
        """Wake the planning loop."""
        self.plan_loop.request()

    def apply_config(self, config: CellConfig) -> None:
        """Replace the configuration, and plan again with it."""
        before, self.cell.config = self.cell.config, config
        log_changes(self.cell, before)
        for job in self.cell.jobs.values():
            apply_queue(self.cell, job)
        log_moved_queues(self.cell, before)
        self.request_plan()

    async def hand_over(self, timeout_s: float) -> None:
        """Lead until another process has claimed, for ``timeout_s`` at most."""
        self.is_leaving = True
        if self.peers.clients:
            await self._ask_for_successor(timeout_s)
        if not self.ended:
            self.peers.resign(self.number)
            self.stop("the process stops")

    async def _ask_for_successor(self, timeout_s: float = YIELD_TIMEOUT_S) -> None:
        """Ask the other processes to claim; return once one has, or after a time."""
        self.heartbeats.stopping = True
        self.heartbeats.send()
        deadline_s = boottime_s() + timeout_s
        while not self.ended and boottime_s() < deadline_s:
            await asyncio.sleep(HANDOVER_CHECK_INTERVAL_S)
        self.heartbeats.stopping = self.is_leaving

    def handle_message(
        self, message: Message, reply: t.Callable[[Message], t.Any]
    ) -> None:
        """Handle a message from another process; ``reply`` sends an answer to it."""
        if isinstance(message, AdviceReply):
            self.advice_dispatcher.handle_reply(message)
        elif isinstance(message, ConfigRequest):
            reply(self.make_config_records())
        elif isinstance(message, Submit | Query | Cancel):
            self._track_task(asyncio.create_task(self._answer_and_send(message, reply)))

    async def _answer_and_send(
        self, message: LeaderRequest, reply: t.Callable[[Message], t.Any]
    ) -> None:
        reply(await self.answer(message))

    async def answer(self, message: LeaderRequest) -> Reply:
        """Answer a caller's request, NOT_READY until recovery is complete.

        A term that has ended meanwhile refuses nothing: the next leader may know more.
        """
        if not self.serving:
            return Reply(message.request_id, Outcome.NOT_READY)
        reply = await self.request_handler.answer(message)
        if self.ended and reply.outcome is not Outcome.OK:
            return Reply(message.request_id, Outcome.NOT_READY)
        return reply


def make_term(
    number: int,
    name: str,
    store: Store,
    adapter: Adapter,
    claim_log: ClaimLog,
    config: CellConfig | None,
    timing_limits: TimingLimits,
    peers: TermPeers,
    log: EventLog,
    metrics: Metrics,
    on_end: t.Callable[[str], None],
    incarnations_pool: HttpPool | None = None,
    sharing: Sharing = DEFAULT_SHARING,
) -> Term:
    """Make a term that is not started; ``on_end`` gets the reason why it ended."""
    cell = make_cell(
        config,
        fencing_token=number,
        timing_limits=timing_limits,
        past_use=make_past_use(sharing.half_life_s),
        backlog=Backlog() if sharing.reject_hopeless else None,
        machine_speeds=MachineSpeeds(),
    )
    term: Term

    def on_superseded(reason: str) -> None:
        asyncio.get_running_loop().call_soon(lambda: term.stop(reason))

    writer = RecordWriter(store, cell, log, metrics, on_superseded)
    term = Term(
        number,
        name,
        store,
        adapter,
        claim_log,
        cell,
        log,
        metrics,
        writer,
        peers,
        on_end,
    )
    term.worker_connections = WorkerConnections(
        cell, adapter, writer, log, metrics, term.request_plan, term.has_authority
    )
    term.advice_dispatcher = AdviceDispatcher(
        cell, log, metrics, peers.send_to, peers.lane_names, term.request_plan
    )
    term.worker_records = WorkerRecords(
        cell,
        writer,
        term.worker_connections.open,
        term._spawn,
        lambda: term.ended,
        term.request_plan,
    )
    term.worker_connections.on_answered = term.worker_records.add_answer
    term.worker_watch = WorkerWatch(
        store,
        adapter,
        cell,
        log,
        term.worker_records.add,
        term.request_plan,
        term.worker_records.update,
        term.worker_connections.reopen,
    )
    term.past_use = TermPastUse(cell, writer)
    term.speeds = TermSpeeds(cell, writer)
    term.recovery = TermRecovery(
        store,
        cell,
        writer,
        term.worker_watch,
        term.worker_records,
        log,
        AUTHORITY_TIMEOUT_S,
        term.past_use,
        term.speeds,
    )
    term.heartbeats = TermHeartbeats(
        name, cell, store, claim_log, writer, peers, term.recovery, lambda: term.serving
    )
    term.liveness_watch = LivenessWatch(
        adapter, incarnations_pool, cell, log, metrics, term.request_plan
    )
    term.upkeep = TermUpkeep(
        cell, writer, term.worker_connections, term.worker_records, term.request_plan
    )
    term.load_watch = TermLoad(peers, writer, log, term._ask_for_successor)
    term.plan_loop = PlanLoop(
        cell,
        writer,
        term.worker_connections,
        term.advice_dispatcher,
        log,
        metrics,
        term.has_authority,
        term.stop,
    )
    term.confirmation = TermConfirmation(number, cell, claim_log, writer, metrics)
    term.request_handler = LeaderRequestHandler(
        cell,
        writer,
        term.confirmation,
        term.advice_dispatcher,
        term._spawn,
        term.request_plan,
        term.plan_loop.flush,
    )
    peers.on_message = term.handle_message
    return term
