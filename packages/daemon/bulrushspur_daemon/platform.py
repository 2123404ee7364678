"""Tasks that follow the platform: its log and its list of VMs."""

import asyncio
import time
import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core import events
from bulrushspur_core.log_reader import read_from
from bulrushspur_kernel import platform_log
from bulrushspur_kernel.logs import make_logger

if t.TYPE_CHECKING:
    from bulrushspur_daemon.process import Process

log = make_logger("platform")

POLL_S: t.Final = 0.5
VMS_POLL_S: t.Final = 1.0
WAIT_S: t.Final = 5.0


async def follow_log(process: "Process") -> None:
    """Read the log until cancelled."""
    address = process.settings.platform_address
    down = False
    while True:
        asked_s = time.monotonic()
        try:
            from_offset = read_from(process.node)
            page = await platform_log.read_log(address, from_offset, WAIT_S)
        except platform_log.LogError as exc:
            if not down:
                log.warning(f"The log cannot be read: {exc}.")
            down = True
            await asyncio.sleep(POLL_S)
            continue
        if down:
            log.info("The log can be read again.")
        down = False
        process.handle(
            events.LogRead(page.entries, page.first, page.reached, page.end, asked_s)
        )
        if read_from(process.node) >= page.end:
            await asyncio.sleep(POLL_S)


async def follow_vms(process: "Process") -> None:
    """Read the list of VMs until cancelled."""
    address = process.settings.platform_address
    known = platform_log.VmList([])
    while True:
        try:
            known = await platform_log.refresh_vms(address, WAIT_S, known)
            process.handle(events.VmsListed(known.vms))
        except platform_log.LogError:
            process.node.metrics.count("platform.vms_unread")
        await asyncio.sleep(VMS_POLL_S)


def make_appender(process: "Process") -> t.Callable[[fx.Append], None]:
    """Make the function that appends records in the background."""
    jobs: set[asyncio.Task[None]] = set()

    async def append(effect: fx.Append) -> None:
        address = process.settings.platform_address
        token = effect.record.token
        try:
            offset = await platform_log.append(address, effect.record, WAIT_S)
            process.handle(events.AppendEnded(token, offset))
        except platform_log.NotAppendedError:
            process.handle(events.AppendEnded(token, refused=True))
        except platform_log.LogError:
            process.handle(events.AppendEnded(token))

    def start(effect: fx.Append) -> None:
        job = asyncio.create_task(append(effect))
        jobs.add(job)
        job.add_done_callback(jobs.discard)

    return start
