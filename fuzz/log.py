"""A fake of the platform for fuzzing: its log and its lagging list of VMs."""

import dataclasses
import typing as t

import msgspec

from bulrushspur_kernel.records import Entry, Record, decode_record, encode_record
from bulrushspur_kernel.work import Vm

LIST_LAG_S: t.Final = 2.0


@dataclasses.dataclass
class FakeLog:
    """Records with the time of their append; faults are set by the world."""

    retention_s: float
    entries: list[tuple[float, Entry]] = dataclasses.field(default_factory=list)
    next_offset: int = 0
    down: bool = False
    lose_answers: bool = False
    vms: dict[str, Vm] = dataclasses.field(default_factory=dict)
    shown: list[tuple[float, list[Vm]]] = dataclasses.field(default_factory=list)

    def append(self, record: Record, now_s: float) -> int:
        """Append a record, as its bytes would be, and return its offset."""
        copy = decode_record(encode_record(record))
        assert copy is not None
        entry = Entry(self.next_offset, copy)
        self.entries.append((now_s, entry))
        self.next_offset += 1
        return entry.offset

    def read(self, from_offset: int, now_s: float) -> tuple[list[Entry], int]:
        """Return the entries from an offset on and the oldest offset kept."""
        while self.entries and self.entries[0][0] < now_s - self.retention_s:
            self.entries.pop(0)
        first = self.entries[0][1].offset if self.entries else self.next_offset
        return [one for _, one in self.entries if one.offset >= from_offset], first

    def set_vm(self, vm: Vm | None, name: str, now_s: float) -> None:
        """Change the list; readers see it after the lag."""
        if vm is None:
            self.vms.pop(name, None)
        else:
            self.vms[name] = vm
        copies = [msgspec.structs.replace(one) for one in self.vms.values()]
        self.shown.append((now_s, copies))

    def list_vms(self, now_s: float) -> list[Vm]:
        """Return the list as it stood before the lag."""
        rv: list[Vm] = []
        for at_s, vms in self.shown:
            if at_s <= now_s - LIST_LAG_S:
                rv = vms
        return [msgspec.structs.replace(one) for one in rv]
