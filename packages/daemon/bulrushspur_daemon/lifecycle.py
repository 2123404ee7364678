"""Run an entry process: start its servers and loops, and stop it after a signal.

An error in a background loop stops the process.
"""

import asyncio
import math
import os
import signal
import typing as t

from bulrushspur_daemon.clock import boottime_s
from bulrushspur_daemon.process import Process, make_process
from bulrushspur_daemon.stop_report import StopReport, make_stop_report
from bulrushspur_daemon.stop_request import StopRequest
from bulrushspur_daemon.stop_schedule import StopSchedule, make_stop_schedule
from bulrushspur_kernel.errors import Refusal
from bulrushspur_kernel.http_exchange import Exchange
from bulrushspur_kernel.http_server import make_http_server
from bulrushspur_kernel.logs import EventLog, configure_logging
from bulrushspur_kernel.membership_records import NodeRecord
from bulrushspur_kernel.settings import Settings, load_settings, split_address

DRAIN_CHECK_INTERVAL_S: t.Final = 0.05
# A caller whose connection was closed opens the next one within this time, if at all.
QUIET_TIME_S: t.Final = 0.5
# The balancer checks each second, and sends new connections until it missed two.
MIN_LISTENING_TIME_S: t.Final = 2.0
# For requests that are being answered when all answers are due.
LAST_ANSWERS_TIMEOUT_S: t.Final = 0.2
# For answers to be sent by a process that is later than its schedule.
MIN_CLOSE_TIME_S: t.Final = 0.1
# A slow store takes a second or more for a claim.
HANDOVER_TIMEOUT_S: t.Final = 2.5


async def run_process(settings: Settings, path: str) -> None:
    """Run an entry process until SIGTERM, SIGINT or an error in a background loop.

    SIGHUP checks the settings file at ``path``.
    """
    log = configure_logging(settings.name, settings.log.level, settings.log.lines_per_s)
    log.event(
        "start",
        urgent=True,
        domain=settings.domain,
        cores=settings.cores,
        core_speed=settings.core_speed,
        pid=os.getpid(),
    )
    incarnation = os.urandom(6).hex()
    process = make_process(settings, log, incarnation)
    loop = asyncio.get_running_loop()
    stop = StopRequest()
    stop.handle_signals()
    loop.add_signal_handler(signal.SIGHUP, lambda: reload_settings(process, path))
    loops = [*make_background_loops(process, incarnation), stop.watch_turns()]
    tasks = [
        asyncio.create_task(_stop_on_error(coroutine, log, stop)) for coroutine in loops
    ]
    try:
        try:
            await listen(process)
            await stop.requested.wait()
            report = await shut_down(process, stop.requested_s)
        finally:
            await end_process(process, tasks)
        report.log_end()
    finally:
        log.close()


def make_background_loops(
    process: Process, incarnation: str
) -> list[t.Coroutine[t.Any, t.Any, None]]:
    """Make the background loops of a process, all but its servers and its term."""
    settings = process.settings
    own_record = NodeRecord(
        settings.name,
        settings.domain,
        settings.peers_address,
        settings.cores * settings.core_speed,
        incarnation,
        settings.operators_address,
    )
    return [
        process.peer_server.run(),
        process.peer_server.watch_disconnects(),
        process.config_watch.run(),
        process.config_watch.run_refresh(),
        process.claim_log.run(),
        process.node_registry.run(own_record),
        process.election.run(),
        process.advice_caller.run(),
    ]


async def _stop_on_error(
    coroutine: t.Coroutine[t.Any, t.Any, None], log: EventLog, stop: StopRequest
) -> None:
    try:
        await coroutine
    except asyncio.CancelledError:
        raise
    except Exception as exc:
        _log_fault(log, exc)
        stop.request()
        raise


def reload_settings(process: Process, path: str) -> None:
    """Read the settings again and log whether they changed; they apply at a restart."""
    try:
        new_settings = load_settings(path)
    except Exception as exc:
        process.log.event("reload_failed", urgent=True, reason=str(exc))
        return
    unchanged = new_settings == process.settings
    process.log.event("reload", urgent=True, changed=not unchanged)


async def listen(process: Process) -> None:
    """Start the HTTP servers for callers, the balancer and operators, in this order."""
    settings = process.settings
    endpoints = [
        (settings.callers_address, process.handle_caller),
        (settings.ready_address, process.handle_ready),
    ]
    if settings.operators_address:
        endpoints.append((settings.operators_address, process.handle_operator))
    for address, handler in endpoints:
        server = make_http_server(handler, send_refusal, settings.bounds)
        await server.listen(*split_address(address))
        process.servers.append(server)
    # Callers that keep their connection would not come to a process that is ready.
    process.servers[0].is_ready = process.is_ready


async def shut_down(process: Process, requested_s: float | None = None) -> StopReport:
    """Hand over if this process leads, answer all requests and close the servers.

    All of it ends within the grace period, which began at ``requested_s`` (default:
    now). Returns what became of the requests. An error of the handover or of a server
    is raised once all servers are closed.
    """
    if requested_s is None:
        requested_s = boottime_s()
    schedule = begin_stop(process, requested_s)
    listens_until_s = boottime_s() + MIN_LISTENING_TIME_S
    report = make_stop_report(process.servers[0], process.log, requested_s)
    errors = []
    if process.term is not None:
        timeout_s = min(HANDOVER_TIMEOUT_S, schedule.remaining_s(boottime_s()))
        try:
            await process.term.hand_over(timeout_s)
        except Exception as exc:
            _log_fault(process.log, exc)
            errors.append(exc)
    await _wait_for_callers(process, schedule, listens_until_s)
    errors += await _close_servers(process, schedule)
    if errors:
        raise errors[0]
    if process.term is not None:
        # Its claim was stored after the stop began.
        await process.term.hand_over(0.0)
    return report


def begin_stop(process: Process, requested_s: float) -> StopSchedule:
    """Take no new connections from the balancer, and limit the time of each request."""
    settings = process.settings
    schedule = make_stop_schedule(
        settings.site.grace_s, requested_s, settings.bounds.drain_s
    )
    process.stopping = True
    process.election.stopping = True
    process.gateway.begin_stop(schedule)
    process.log.event(
        "stopping",
        urgent=True,
        leads=process.term is not None,
        late_ms=round((boottime_s() - requested_s) * 1000),
    )
    process.servers[0].begin_close()
    return schedule


async def _wait_for_callers(
    process: Process, schedule: StopSchedule, listens_until_s: float
) -> None:
    """Wait until callers open no connections any more, or answers are due.

    The quiet time begins now, after a handover, as callers came meanwhile; it ends at
    ``listens_until_s`` at the earliest.
    """
    callers_server = process.servers[0]
    accepted_count = callers_server.accepted_count
    last_open_s = boottime_s()
    while schedule.remaining_s(boottime_s()):
        now_s = boottime_s()
        has_accepted = callers_server.accepted_count > accepted_count
        if callers_server.connection_tasks or has_accepted:
            last_open_s = now_s
        elif now_s >= max(last_open_s + QUIET_TIME_S, listens_until_s):
            return
        accepted_count = callers_server.accepted_count
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)


async def _close_servers(process: Process, schedule: StopSchedule) -> list[Exception]:
    """Close all servers at the same time, so that their times do not add up.

    They have ended with the schedule. Returns the errors; none of them keeps another
    server from being closed.
    """
    close_s = max(schedule.ends_s - boottime_s(), MIN_CLOSE_TIME_S)
    closing = [
        server.close(LAST_ANSWERS_TIMEOUT_S, close_s) for server in process.servers
    ]
    results = await asyncio.gather(*closing, return_exceptions=True)
    errors = [result for result in results if isinstance(result, Exception)]
    for exc in errors:
        _log_fault(process.log, exc)
    return errors


def _log_fault(log: EventLog, exc: Exception) -> None:
    log.event("fault", urgent=True, reason=repr(exc))


async def end_process(process: Process, tasks: list[asyncio.Task[None]]) -> None:
    """Cancel the background loops and close all that is open, also after a failure.

    Work in progress ends at once. What is still open when the event loop ends, the
    interpreter reports on standard error.
    """
    if process.term is not None:
        process.term.stop("the process ends")
    for server in process.servers:
        server.stop_listening()
        tasks = [*tasks, *server.connection_tasks]
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks)
    await process.close_connections()


async def send_refusal(exchange: Exchange, refusal: Refusal) -> None:
    """Send an error of the HTTP server itself as JSON, without the sentence."""
    body = f'{{"error":"{refusal.kind.value}"}}'.encode()
    headers = []
    if refusal.retry_after_s:
        headers.append((b"retry-after", b"%d" % math.ceil(refusal.retry_after_s)))
    await exchange.send_json(refusal.details.status, body, headers)
