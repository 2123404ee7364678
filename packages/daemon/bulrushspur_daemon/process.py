"""One entry process: the decision code, and the tasks that carry out its effects."""

import asyncio
import contextlib
import dataclasses
import gc
import os
import signal
import time
import typing as t

from bulrushspur_core import Me, events, make_node
from bulrushspur_core import effects as fx
from bulrushspur_core.leaving import is_handed_over
from bulrushspur_core.membership import Members
from bulrushspur_core.node import Node
from bulrushspur_core.owner import Owner
from bulrushspur_core.queues import Queues
from bulrushspur_daemon.callers import make_callers
from bulrushspur_daemon.inquiries import make_inquiries
from bulrushspur_daemon.operators import make_operators
from bulrushspur_daemon.peers import Peers, make_peers
from bulrushspur_daemon.platform import follow_log, follow_vms, make_appender
from bulrushspur_daemon.requests import Requests, make_requests
from bulrushspur_daemon.runner import Runner, make_runner
from bulrushspur_daemon.streams import Streams, make_streams
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.http_client import traffic_bytes
from bulrushspur_kernel.http_server import HttpServer
from bulrushspur_kernel.logs import make_logger
from bulrushspur_kernel.settings import Settings, split_address
from bulrushspur_kernel.timers import Timers, make_timers, run_timers

log = make_logger("process")

TIMERS_S: t.Final = 0.05
WIRE_S: t.Final = 1.0
STOP_SPREAD_S: t.Final = 1.5
STOP_STEP_S: t.Final = 0.05
CLOSE_S: t.Final = 0.5

EffectDoer = t.Callable[[t.Any], None]
MessageTaker = t.Callable[[str, t.Any], None]


@dataclasses.dataclass
class Process:
    """The parts of a running process."""

    settings: Settings
    node: Node
    timers: Timers
    streams: Streams
    peers: Peers | None = None
    runner: Runner | None = None
    requests: Requests | None = None
    doers: dict[type, EffectDoer] = dataclasses.field(default_factory=dict)
    takers: dict[type, MessageTaker] = dataclasses.field(default_factory=dict)
    servers: list[HttpServer] = dataclasses.field(default_factory=list)
    started_s: float = dataclasses.field(default_factory=time.monotonic)
    stopping: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def handle(self, event: t.Any) -> None:
        """Give an event to the decision code and carry out the effects."""
        try:
            effects = self.node.handle(event, time.monotonic())
        except Exception as exc:
            self.note_fault(event, exc)
            return
        self.carry_out(effects)

    def receive(self, sender: msg.Member, message: msg.Message) -> None:
        """Give a message of a peer to its stream or to the decision code."""
        if self.streams.take(sender.name, message):
            return
        try:
            taker = self.takers.get(type(message))
            if taker is not None:
                taker(sender.name, message)
                return
            if isinstance(message, msg.Withdraw):
                self.streams.withdraw(sender.name, message.ticket)
            effects = self.node.receive(sender, message, time.monotonic())
        except Exception as exc:
            self.note_fault(message, exc)
            return
        self.carry_out(effects)

    def note_fault(self, what: t.Any, exc: Exception) -> None:
        """Log a fault inside; the process goes on."""
        self.node.metrics.count("faults")
        log.exception(f"{type(what).__name__} failed: {exc!r}.")

    def send(self, to: str, message: msg.Message) -> None:
        """Send a message to a process, which may be this one."""
        if to == self.settings.name:
            self.receive(self.node.me.member, message)
        elif self.peers is not None:
            self.peers.send(to, message)

    def address_of(self, name: str) -> str | None:
        """Look up where a peer receives messages."""
        peer = self.node.state(Members).peers.get(name)
        return peer.info.address if peer is not None else self.node.seeds.get(name)

    def carry_out(self, effects: list[fx.Effect]) -> None:
        """Carry out effects in order; one that fails does not hold up the rest."""
        for effect in effects:
            try:
                self.doers[type(effect)](effect)
            except Exception as exc:
                self.note_fault(effect, exc)

    def count_wire(self, now_s: float) -> None:
        """Bring the counters of bytes on the wire up to date."""
        counters = self.node.metrics.counters
        if self.peers is not None:
            counters["wire.peers_sent_bytes"] = self.peers.sent_bytes
            counters["wire.peers_received_bytes"] = self.peers.received_bytes
        platform = self.settings.platform_address
        counters["wire.platform_bytes"] = traffic_bytes[platform]

    def tick(self, now_s: float) -> None:
        """Run the timers of the decision code."""
        try:
            effects = self.node.run_timers(now_s)
        except Exception as exc:
            self.note_fault(self.tick, exc)
            return
        self.carry_out(effects)


def make_process(settings: Settings) -> Process:
    """Make a process that does nothing yet."""
    # Of two incarnations of a name the later one has the greater boot.
    boot = f"{time.time_ns() // 1_000_000:012x}{os.urandom(2).hex()}"
    me = Me(
        settings.name,
        boot,
        settings.domain,
        settings.region,
        settings.peers_address,
        settings.operators_address,
    )
    seeds = {peer.name: peer.address for peer in settings.peers}
    seeds.pop(settings.name, None)
    wall_offset_s = time.time() - time.monotonic()
    node = make_node(me, int.from_bytes(os.urandom(8)), seeds, wall_offset_s)
    return Process(settings, node, make_timers(), make_streams(settings.bounds))


async def run_process(settings: Settings) -> None:
    """Run a process until it is told to stop, then stop gracefully."""
    process = make_process(settings)
    tasks = await _start(process)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.stopping.set)
    # What exists by now lives as long as the process: the collector may pass it over.
    gc.collect()
    gc.freeze()
    log.info(f"{settings.name} of domain {settings.domain} serves.")
    await process.stopping.wait()
    await _stop(process)
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError):
            await task
    log.info("Stopped.")


async def _stop(process: Process) -> None:
    """Finish what is held, or give up after ``drain_s`` seconds."""
    log.info("Stopping: nothing new is taken.")
    until_s = time.monotonic() + process.settings.bounds.drain_s
    for server in process.servers:
        server.begin_close()
    process.handle(events.StopAsked())
    # Late callers and peers learn of it before the doors close.
    await asyncio.sleep(STOP_SPREAD_S)
    while is_busy(process) and time.monotonic() < until_s:
        await asyncio.sleep(STOP_STEP_S)
    if is_busy(process):
        log.warning("Stopping with work unfinished: drain_s has passed.")
    for server in process.servers:
        await server.close(CLOSE_S)


def is_busy(process: Process) -> bool:
    """Tell whether a request, a task or a stream is unfinished here."""
    callers = process.servers[0].busy > 0
    held = process.requests is not None and bool(process.requests.pending)
    runs = process.runner is not None and process.runner.starts > 0
    node = process.node
    # Tasks that run on by themselves go to who takes their worker over.
    rows = node.state(Owner).running.values()
    running = any(not one.detached for one in rows)
    waiting = node.state(Queues).offers
    owns = not is_handed_over(node)
    return bool(callers or held or runs or running or waiting or owns)


async def _start(process: Process) -> list[asyncio.Task[None]]:
    settings = process.settings
    process.peers = make_peers(process)
    process.runner = make_runner(process)
    requests = process.requests = make_requests(process)
    inquiries = make_inquiries(process, requests)
    callers = make_callers(process, requests, inquiries)
    appender = make_appender(process)
    process.doers = {
        fx.Send: lambda effect: process.send(effect.to, effect.message),
        fx.Append: appender,
        fx.StartTask: process.runner.start_task,
        fx.ActOnTask: process.runner.act_on_task,
        fx.RenewTasks: process.runner.renew_tasks,
        fx.ListTasks: process.runner.list_tasks,
        fx.SendBody: requests.send_body,
        fx.BreakStreams: lambda effect: process.streams.break_peer(effect.peer),
        fx.Accept: requests.accept,
        fx.TellRecord: inquiries.tell_record,
        fx.Resolve: requests.resolve,
        fx.Tell: requests.tell,
    }
    process.takers = {
        msg.AskRequest: inquiries.take_ask,
        msg.RequestTold: inquiries.take_told,
    }
    process.servers = [callers, make_operators(process)]
    addresses = (settings.callers_address, settings.operators_address)
    for server, address in zip(process.servers, addresses, strict=True):
        await server.listen(*split_address(address))
    process.timers.every("decide", TIMERS_S, process.tick)
    process.timers.every("wire", WIRE_S, process.count_wire)
    jobs = (
        process.peers.run(),
        run_timers(process.timers),
        follow_log(process),
        follow_vms(process),
    )
    return [asyncio.create_task(job) for job in jobs]
