"""Observe during a term whether workers are unlike, and keep their speeds stored."""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s, unix_s
from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.machine_speeds import encode_speeds, load_speeds
from bulrushspur_scheduler.unlike_workers import observe_speeds

# Neither a key of a job nor of a job's progress.
SPEEDS_KEY: t.Final = "machines"
OBSERVE_INTERVAL_S: t.Final = 1.0
WRITE_INTERVAL_S: t.Final = 15.0


@dataclasses.dataclass
class TermSpeeds:
    """The speeds of one term's workers; nothing is stored while they are alike."""

    cell: Cell
    writer: RecordWriter

    def recover(self, data: bytes) -> None:
        """Take over the record of an earlier term, if there is one."""
        speeds = self.cell.machine_speeds
        if data and speeds is not None:
            load_speeds(self.cell, speeds, data)
            observe_speeds(self.cell)

    async def run(self) -> None:
        """Observe, and write now and then, until cancelled."""
        speeds = self.cell.machine_speeds
        if speeds is None:
            return
        written_s = monotonic_s()
        while True:
            await asyncio.sleep(OBSERVE_INTERVAL_S)
            observe_speeds(self.cell)
            speeds.observe(self.cell, unix_s())
            now_s = monotonic_s()
            if self.cell.unlike_services and now_s - written_s >= WRITE_INTERVAL_S:
                written_s = now_s
                data = encode_speeds(speeds)
                self.writer.pending_records[SPEEDS_KEY] = data
                self.writer.write_requested.set()
