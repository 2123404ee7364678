"""Run an entry process: start its servers and loops, and stop it after a signal.

An error in a background loop stops the process.
"""

import asyncio
import math
import os
import signal
import typing as t

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.process import Process, make_process
from bulrushspur_kernel.errors import Refusal
from bulrushspur_kernel.http_exchange import Exchange
from bulrushspur_kernel.http_server import make_http_server
from bulrushspur_kernel.logs import EventLog, configure_logging
from bulrushspur_kernel.membership_records import NodeRecord
from bulrushspur_kernel.settings import Settings, load_settings, split_address

DRAIN_CHECK_INTERVAL_S: t.Final = 0.05
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
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: reload_settings(process, path))
    loops = make_background_loops(process, incarnation)
    tasks = [
        asyncio.create_task(_stop_on_error(coroutine, log, stop)) for coroutine in loops
    ]
    try:
        try:
            await listen(process)
            await stop.wait()
            await shut_down(process)
        finally:
            await end_process(process, tasks)
        log.event("stop", urgent=True)
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
    coroutine: t.Coroutine[t.Any, t.Any, None], log: EventLog, stop: asyncio.Event
) -> None:
    try:
        await coroutine
    except asyncio.CancelledError:
        raise
    except Exception as exc:
        log.event("fault", urgent=True, reason=repr(exc))
        stop.set()
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


async def shut_down(process: Process) -> None:
    """Hand over if this process leads, let open requests finish and close servers.

    Callers' requests have ``drain_s`` seconds of the settings to finish.
    """
    process.stopping = True
    process.election.stopping = True
    process.log.event("stopping", urgent=True, leads=process.term is not None)
    callers_server = process.servers[0]
    callers_server.begin_close()
    deadline_s = monotonic_s() + process.settings.bounds.drain_s
    if process.term is not None:
        await process.term.hand_over(HANDOVER_TIMEOUT_S)
    while callers_server.connection_tasks and monotonic_s() < deadline_s:
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
    for server in process.servers:
        await server.close(0.2)


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
