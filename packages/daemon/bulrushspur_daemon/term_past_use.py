"""Count the use of client accounts during a term, and keep it in the store."""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s, unix_s
from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.past_use import encode_past_use, load_past_use

# Neither a key of a job nor of a job's progress.
PAST_USE_KEY: t.Final = "use"
COUNT_INTERVAL_S: t.Final = 1.0
# What was used since the last write is lost with a leader.
WRITE_INTERVAL_S: t.Final = 10.0


@dataclasses.dataclass
class TermPastUse:
    """The count of one term; does nothing if the cell has none."""

    cell: Cell
    writer: RecordWriter

    def recover(self, data: bytes) -> None:
        """Take over the record of an earlier term, if there is one."""
        if self.cell.past_use is not None and data:
            load_past_use(self.cell, self.cell.past_use, data, unix_s())

    async def run(self) -> None:
        """Count, and write now and then, until cancelled."""
        past_use = self.cell.past_use
        if past_use is None:
            return
        counted_s = written_s = monotonic_s()
        while True:
            await asyncio.sleep(COUNT_INTERVAL_S)
            now_s = monotonic_s()
            past_use.count(self.cell, now_s - counted_s)
            counted_s = now_s
            if now_s - written_s >= WRITE_INTERVAL_S:
                written_s = now_s
                data = encode_past_use(past_use, unix_s())
                self.writer.pending_records[PAST_USE_KEY] = data
                self.writer.write_requested.set()
