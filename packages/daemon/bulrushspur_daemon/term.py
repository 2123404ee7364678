"""One term of the leader: recover, serve requests, plan, and stop when superseded."""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.advice_dispatcher import AdviceLanes
from bulrushspur_daemon.clock import boot_s, steady_s, unix_s
from bulrushspur_daemon.leader_requests import Request, TermRequests
from bulrushspur_daemon.liveness_watch import LifeWatch
from bulrushspur_daemon.membership_log import CellLog
from bulrushspur_daemon.record_writer import JOBS_TOPIC, WRITER_NAME, RecordWriter
from bulrushspur_daemon.term_peers import TermPeers
from bulrushspur_daemon.worker_connections import WorkerLinks
from bulrushspur_daemon.worker_watch import WorkerWatch
from bulrushspur_kernel.adapter import Adapter
from bulrushspur_kernel.http_pool import HttpPool
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import (
    Advised,
    AskConfig,
    Beat,
    Cancel,
    ConfigRecords,
    Message,
    Outcome,
    Query,
    Reply,
    Submit,
)
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_kernel.store import (
    Store,
    StoreFencedError,
    StoreUnavailableError,
    Writer,
)
from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.cell import Bounds, Cell, make_cell
from bulrushspur_scheduler.config import CellConfig
from bulrushspur_scheduler.eviction import relieve
from bulrushspur_scheduler.jobs import JobState
from bulrushspur_scheduler.leases import check_leases
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import (
    forget_finished,
    open_due_occurrences,
    set_objective,
)
from bulrushspur_scheduler.records import (
    WORKERS_KEY,
    WorkerRecord,
    decode_workers,
    encode_workers,
)
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.workers import Worker, WorkerEntry, make_worker

TICK_S: t.Final = 0.1
BEAT_S: t.Final = 0.15
PLAN_GATHER_S: t.Final = 0.002
PLAN_PAUSE_MOST_S: t.Final = 0.1
CONFIRM_S: t.Final = 0.4
RECOVER_RETRY_S: t.Final = 0.15
# Without a word of the store for so long, nothing is started or held any more.
AUTHORITY_S: t.Final = 10.0
URGENT_GAIN: t.Final = 0.02


@dataclasses.dataclass
class Term:
    """The leader's state and tasks."""

    number: int
    name: str
    store: Store
    adapter: Adapter
    cell_log: CellLog
    cell: Cell
    log: EventLog
    metrics: Metrics
    writer: RecordWriter
    peers: TermPeers
    on_over: t.Callable[[str], None]
    links: WorkerLinks = dataclasses.field(init=False)
    lanes: AdviceLanes = dataclasses.field(init=False)
    watch: WorkerWatch = dataclasses.field(init=False)
    lives: LifeWatch = dataclasses.field(init=False)
    requests: TermRequests = dataclasses.field(init=False)
    tell_config: t.Callable[[], list[tuple[str, bytes, int]]] = list
    serving: bool = False
    over: bool = False
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    tasks: set[asyncio.Task[t.Any]] = dataclasses.field(default_factory=set)
    known_workers: dict[str, WorkerRecord] = dataclasses.field(default_factory=dict)

    def start(self) -> None:
        """Begin the term."""
        self.log.event("term_start", urgent=True, term=self.number)
        self._spawn(self._beat_loop())
        self._spawn(self._run())

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        self._keep(asyncio.create_task(self._guard(work)))

    def _keep(self, task: asyncio.Task[t.Any]) -> None:
        """Keep a task until it ends, so that it ends with the term at the latest."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _guard(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        try:
            await work
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            self.log.event("term_fault", urgent=True, reason=repr(exc))
            self.metrics.count("term_faults")
            # Another process can do no worse than a leader that lacks a part.
            self.peers.resign(self.number)
            self.stop("a part failed")

    def stop(self, reason: str) -> None:
        """End the term; what was under way is left to the next one."""
        if self.over:
            return
        self.over = True
        self.serving = False
        self.log.event("term_over", urgent=True, term=self.number, reason=reason)
        current = asyncio.current_task()
        for task in list(self.tasks):
            if task is not current:
                task.cancel()
        self.writer.stop()
        self.links.close_all()
        self.peers.close()
        self.requests.stop()
        self.on_over(reason)

    async def _run(self) -> None:
        await self._recover()
        if self.over:
            return
        self._spawn(self.writer.run())
        self._spawn(self.watch.run())
        self._spawn(self.lives.run())
        self._spawn(self._plan_loop())
        self._spawn(self._tick_loop())
        self._spawn(self._confirm_loop())

    async def _recover(self) -> None:
        began_s = steady_s()
        while not self.over:
            try:
                stored = await self._load()
                break
            except StoreFencedError as exc:
                self.stop(f"fenced while recovering: {exc}")
                return
            except StoreUnavailableError as exc:
                self.log.event("recover_retry", reason=str(exc))
                await asyncio.sleep(RECOVER_RETRY_S)
        if self.over:
            return
        cell, now_s = self.cell, steady_s()
        workers = stored.pop(WORKERS_KEY, b"")
        takeover.recover(cell, stored, now_s, unix_s())
        if workers:
            self._recover_workers(decode_workers(workers), now_s)
        cell.dark = {one.id for one in cell.workers.values() if not one.reached}
        cell.settled = not cell.jobs
        cell.settle_at_s = now_s + AUTHORITY_S + cell.bounds.lease_s * 1.05
        self.serving = True
        self.log.event(
            "term_serving",
            urgent=True,
            term=self.number,
            jobs=len(cell.jobs),
            finished=len(cell.finished),
            workers=len(cell.workers),
            dark=len(cell.dark),
            took_ms=round((steady_s() - began_s) * 1000),
        )

    async def _load(self) -> dict[str, bytes]:
        writer = Writer(WRITER_NAME, self.number, 0)
        sent_s, sent_boot_s = steady_s(), boot_s()
        await self.store.append(JOBS_TOPIC, [], writer=writer)
        newest, _ = await self.store.newest(JOBS_TOPIC)
        self.watch.next_offset = None
        await self.watch.step()
        self.writer.confirm(sent_s, sent_boot_s)
        self.writer.sequence = 1
        return {row.key: row.value for row in newest.values() if row.value}

    def _recover_workers(self, rows: list[WorkerRecord], now_s: float) -> None:
        """Remember where earlier terms may have left something running."""
        for row in rows:
            self.known_workers[row.id] = row
            worker = self.cell.workers.get(row.id)
            if worker is None:
                entry = WorkerEntry(
                    row.id, "", row.address, "", _NOTHING, born_ms=row.born_ms
                )
                worker = self.cell.workers[row.id] = make_worker(entry, now_s)
                worker.listed = False
                self.links.open(worker)
        # What was noted while loading did not have these yet.
        self._store_workers()

    def note_new_worker(self, worker: Worker) -> None:
        """Record a worker, then begin to talk to it."""
        if worker.id in self.known_workers:
            self.links.open(worker)
            return
        entry = worker.entry
        record = WorkerRecord(worker.id, entry.address, entry.born_ms)
        self.known_workers[worker.id] = record
        self._store_workers()
        self._spawn(self._open_when_durable(worker))

    def _store_workers(self) -> None:
        rows = list(self.known_workers.values())
        self.writer.extra[WORKERS_KEY] = encode_workers(rows)

    async def _open_when_durable(self, worker: Worker) -> None:
        await self.writer.durable()
        if not self.over and worker.id in self.cell.workers:
            self.links.open(worker)

    def has_authority(self) -> bool:
        """Tell whether this term may still order anything."""
        if self.over or self.cell.superseded:
            return False
        return boot_s() - self.writer.confirmed_boot_s < AUTHORITY_S

    def poke(self) -> None:
        """Plan again soon."""
        self.wake.set()

    def take_config(self, config: CellConfig) -> None:
        """Take a new configuration into use."""
        self.cell.config = config
        for job in self.cell.jobs.values():
            set_objective(self.cell, job)
        self.poke()

    async def _plan_loop(self) -> None:
        pause_s = 0.0
        while True:
            await self.wake.wait()
            await asyncio.sleep(max(PLAN_GATHER_S, pause_s))
            self.wake.clear()
            if self.cell.superseded:
                self.stop("a worker has heard a later term")
                return
            now_s = steady_s()
            takeover.settle(self.cell, self.writer.confirmed_s)
            if self.has_authority():
                self.lanes.note_free()
                plan(self.cell, now_s)
                # Passes leave at least half of the processor to the rest.
                pause_s = min(steady_s() - now_s, PLAN_PAUSE_MOST_S)
                self.metrics.record_s("plan", pause_s)
            self._flush()

    def _flush(self) -> None:
        self.links.send_orders()
        self.lanes.dispatch()
        self.writer.note_dirty()
        self._write_events()

    def _write_events(self) -> None:
        events = self.cell.events
        while events:
            event = events.popleft()
            # Lines about workers and the term itself are few, and always kept.
            fields = {"job": event.job} if event.job else {}
            self.log.event(event.name, urgent=not event.job, **fields, **event.fields)

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = steady_s()
            cell = self.cell
            check_leases(cell, self.writer.confirmed_s)
            self._open_occurrences(now_s)
            relieve(cell, now_s)
            self._note_urgent_use()
            self._drop_workers(now_s)
            for job_id in forget_finished(cell, now_s):
                cell.dirty.add(job_id)
            self.poke()

    def _open_occurrences(self, now_s: float) -> None:
        for job in self.cell.jobs.values():
            if job.repeats:
                open_due_occurrences(self.cell, job, now_s, unix_s())

    def _note_urgent_use(self) -> None:
        cell = self.cell
        for service, used in cell.urgent_cpu.items():
            mean = cell.urgent_mean.get(service, 0.0)
            cell.urgent_mean[service] = mean + URGENT_GAIN * (used - mean)

    def _drop_workers(self, now_s: float) -> None:
        """Forget workers that are gone and can run nothing any more."""
        gone = [
            one
            for one in self.cell.workers.values()
            if not one.listed
            and not one.runs
            and one.id not in self.cell.dark
            and one.lease_over(self.writer.confirmed_s)
            and now_s - one.unlisted_s > 1.0
        ]
        for worker in gone:
            del self.cell.workers[worker.id]
            self.links.close(worker.id)
            if self.known_workers.pop(worker.id, None) is not None:
                self._store_workers()
            self.cell.log("worker_gone", worker=worker.id)

    async def _confirm_loop(self) -> None:
        """Keep the term confirmed while nothing is written."""
        while True:
            await asyncio.sleep(CONFIRM_S / 2)
            log = self.cell_log
            if steady_s() - self.writer.confirmed_s > CONFIRM_S:
                try:
                    await log.read()
                except StoreUnavailableError:
                    # The age of the last answer tells it to all.
                    self.metrics.count("confirm_failed")
                    await asyncio.sleep(CONFIRM_S)
            if log.term == self.number:
                self.writer.confirm(log.store_ok_s, log.store_ok_boot_s)

    async def _beat_loop(self) -> None:
        while True:
            self.peers.beat(self.make_beat())
            await asyncio.sleep(BEAT_S)

    def make_beat(self) -> Beat:
        """Tell the state of the term."""
        age_s = steady_s() - max(self.writer.confirmed_s, self.cell_log.store_ok_s)
        return Beat(
            self.number,
            self.name,
            self.serving,
            self.cell.config.version,
            round(max(age_s, 0.0) * 1000),
            self._count_waiting(),
        )

    def _count_waiting(self) -> dict[str, int]:
        rv: dict[str, int] = {}
        for job in self.cell.jobs.values():
            if job.state is JobState.QUEUED and not job.repeats:
                rv[job.queue] = rv.get(job.queue, 0) + 1
        return rv

    def receive(self, message: Message, reply: t.Callable[[Message], t.Any]) -> None:
        """Take in a message of another process."""
        if isinstance(message, Advised):
            self.lanes.finish(message)
        elif isinstance(message, AskConfig):
            reply(ConfigRecords(self.tell_config()))
        elif isinstance(message, Submit | Query | Cancel):
            self._keep(asyncio.create_task(self._answer_and_send(message, reply)))

    async def _answer_and_send(
        self, message: Request, reply: t.Callable[[Message], t.Any]
    ) -> None:
        reply(await self.answer(message))

    async def answer(self, message: Request) -> Reply:
        """Answer a request of a caller."""
        if not self.serving:
            return Reply(message.request, Outcome.NOT_READY)
        return await self.requests.answer(message)


_NOTHING = Resources()


def make_term(
    number: int,
    name: str,
    store: Store,
    adapter: Adapter,
    cell_log: CellLog,
    config: CellConfig | None,
    bounds: Bounds,
    peers: TermPeers,
    log: EventLog,
    metrics: Metrics,
    on_over: t.Callable[[str], None],
    lives_pool: HttpPool | None = None,
) -> Term:
    """Make a term that has not begun."""
    cell = make_cell(config, fence=number, bounds=bounds)
    term: Term

    def superseded(reason: str) -> None:
        asyncio.get_running_loop().call_soon(lambda: term.stop(reason))

    writer = RecordWriter(store, cell, log, metrics, superseded)
    term = Term(
        number,
        name,
        store,
        adapter,
        cell_log,
        cell,
        log,
        metrics,
        writer,
        peers,
        on_over,
    )
    term.links = WorkerLinks(
        cell, adapter, writer, log, metrics, term.poke, term.has_authority
    )
    term.lanes = AdviceLanes(
        cell, log, metrics, peers.send_to, peers.lane_names, term.poke
    )
    term.watch = WorkerWatch(store, adapter, cell, log, term.note_new_worker, term.poke)
    term.lives = LifeWatch(adapter, lives_pool, cell, log, metrics, term.poke)
    term.requests = TermRequests(
        cell, writer, term.lanes, term._spawn, term.poke, term._flush
    )
    peers.receive = term.receive
    return term
