"""Remember how fast machines are, over restarts of workers and changes of the leader.

The input is the observed speeds of workers, where these are unlike; the result is the
speed that a worker on a known machine starts with. A speed is forgotten after a while
without a worker there: the machine may have been replaced.
"""

import dataclasses
import math
import typing as t

import msgspec

from bulrushspur_kernel.decoding import Count, make_msgpack_decoder
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.workers import Worker

RECORD_VERSION: t.Final = 1
MAX_MACHINES: t.Final = 5000
MAX_AGE_S: t.Final = 3600.0
# Others are taken as usual.
MIN_DEVIATION: t.Final = 0.1


class MachineSpeedsRecord(msgspec.Struct, array_like=True):
    """The stored rows: machine, speed, and when it was seen last in Unix seconds."""

    version: int
    rows: list[tuple[str, float, Count]]


_decode_record = make_msgpack_decoder(MachineSpeedsRecord)


@dataclasses.dataclass
class MachineSpeeds:
    """The speed of each machine, and when it was seen last in Unix seconds."""

    rows: dict[str, tuple[float, int]] = dataclasses.field(default_factory=dict)

    def observe(self, cell: Cell, unix_s: float) -> None:
        """Take over the speeds of the workers of unlike services; drop old ones."""
        for worker in cell.workers.values():
            if worker.entry.service not in cell.unlike_services:
                continue
            if worker.has_reported and abs(worker.speed - 1.0) >= MIN_DEVIATION:
                self.rows[worker.machine] = (worker.speed, int(unix_s))
        oldest_s = unix_s - MAX_AGE_S
        self.rows = {
            machine: row for machine, row in self.rows.items() if row[1] >= oldest_s
        }

    def apply(self, worker: Worker) -> None:
        """Let a worker that has ended nothing yet start with its machine's speed."""
        row = self.rows.get(worker.machine)
        if row is not None and worker.speed == 1.0:
            worker.speed = row[0]


def encode_speeds(speeds: MachineSpeeds) -> bytes:
    """Encode the machines seen last as the value of a record."""
    rows = [
        (machine, round(speed, 3), seen_s)
        for machine, (speed, seen_s) in speeds.rows.items()
    ]
    rows.sort(key=lambda row: -row[2])
    return msgspec.msgpack.encode(
        MachineSpeedsRecord(RECORD_VERSION, rows[:MAX_MACHINES])
    )


def load_speeds(cell: Cell, speeds: MachineSpeeds, data: bytes) -> None:
    """Take over what an earlier leader has stored; log a record that can't be used."""
    try:
        record = _decode_record(data)
        if record.version != RECORD_VERSION:
            raise ValueError(f"version {record.version} is not known")
    except (msgspec.DecodeError, ValueError) as exc:
        cell.log("machine_speeds_unreadable", reason=str(exc))
        return
    speeds.rows = {
        machine: (speed, seen_s)
        for machine, speed, seen_s in record.rows
        if 0 < speed < math.inf
    }
    for worker in cell.workers.values():
        speeds.apply(worker)
