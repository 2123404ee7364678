"""Encode and decode the stored list of the workers on which runs may be in progress.

Fields are stored by position, so their order is fixed.
"""

import typing as t

import msgspec

from bulrushspur_kernel.decoding import Amount, Count, make_msgpack_decoder
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.workers import WorkerEntry

WORKERS_KEY: t.Final = "workers"


class WorkerRecord(msgspec.Struct, array_like=True):
    """A worker on which runs may be in progress.

    Records of earlier versions have no further fields; amounts of 0 are unknown.
    """

    id: str
    address: str
    incarnation_start_ms: Count
    machine: str = ""
    cpu_milli: Amount = 0
    memory_mb: Amount = 0
    gpus: Amount = 0
    # Whether it has ever answered a leader; without that it runs nothing.
    has_answered: bool = True


_encode = msgspec.msgpack.Encoder().encode
_decode_workers = make_msgpack_decoder(list[WorkerRecord])


def make_worker_record(entry: WorkerEntry) -> WorkerRecord:
    """Make the record of a worker."""
    capacity = entry.capacity
    return WorkerRecord(
        entry.id,
        entry.address,
        entry.incarnation_start_ms,
        entry.machine,
        capacity.cpu_milli,
        capacity.memory_mb,
        capacity.gpus,
    )


def merge_worker_records(old: WorkerRecord, new: WorkerRecord) -> WorkerRecord:
    """Return the newer record of a worker, with the most capacity of both."""
    return WorkerRecord(
        new.id,
        new.address,
        new.incarnation_start_ms,
        new.machine,
        max(old.cpu_milli, new.cpu_milli),
        max(old.memory_mb, new.memory_mb),
        max(old.gpus, new.gpus),
        old.has_answered,
    )


def make_recorded_entry(record: WorkerRecord) -> WorkerEntry:
    """Make the entry of a worker of which only the record is known."""
    return WorkerEntry(
        record.id,
        "",
        record.address,
        "",
        Resources(record.cpu_milli, record.memory_mb, record.gpus),
        machine=record.machine,
        incarnation_start_ms=record.incarnation_start_ms,
    )


def encode_workers(rows: list[WorkerRecord]) -> bytes:
    """Encode the list of workers on which runs may be in progress."""
    return _encode(rows)


def decode_workers(data: bytes) -> list[WorkerRecord]:
    """Decode the list made by ``encode_workers``; raises msgspec.DecodeError."""
    return _decode_workers(data)
