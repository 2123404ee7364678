"""The records of request ids that a process keeps, within bounds of count and bytes."""

import dataclasses
import typing as t

from bulrushspur_core.ids import parse_id
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, register_state
from bulrushspur_kernel import messages as msg

RECORDS_AT_MOST: t.Final = 100_000
BYTES_AT_MOST: t.Final = 16 * 1024 * 1024
# A record is kept a while after its id is refused, for clocks of VMs differ.
KEPT_LONGER_S: t.Final = 60.0
BUCKET_S: t.Final = 10.0
RECORD_BYTES: t.Final = 300


@dataclasses.dataclass
class IdRecords:
    """Records by request id, and their ids by the time that these were made.

    An id made before ``unknown_before_s`` (seconds since 1970) may have had a record
    that is forgotten.
    """

    by_id: dict[str, msg.IdRecord] = dataclasses.field(default_factory=dict)
    buckets: dict[int, list[str]] = dataclasses.field(default_factory=dict)
    size_bytes: int = 0
    unknown_before_s: float = 0.0


@register_state(IdRecords)
def make_id_records(node: Node) -> IdRecords:
    """Make the state of a process that keeps no record."""
    return IdRecords()


def keep(node: Node, record: msg.IdRecord, now_s: float) -> bool:
    """Keep a record unless a newer one of its id is kept; tell whether it is new."""
    records = node.state(IdRecords)
    old = records.by_id.get(record.request_id)
    if old is not None and (old.epoch, old.revision) >= (record.epoch, record.revision):
        return False
    if old is None:
        parts = parse_id(record.request_id)
        if parts is None:
            return False
        bucket = int(parts.made_s // BUCKET_S)
        records.buckets.setdefault(bucket, []).append(record.request_id)
    else:
        records.size_bytes -= _size_bytes(old)
    records.by_id[record.request_id] = record
    records.size_bytes += _size_bytes(record)
    return True


def drop(records: IdRecords, request_id: str) -> None:
    """Drop a record."""
    record = records.by_id.pop(request_id, None)
    if record is not None:
        records.size_bytes -= _size_bytes(record)


def _size_bytes(record: msg.IdRecord) -> int:
    texts = (record.request_id, record.digest, record.ticket, record.owner)
    return RECORD_BYTES + sum(map(len, texts))


def is_full(node: Node) -> bool:
    """Tell whether there is no room for the record of another id."""
    records = node.state(IdRecords)
    full = records.size_bytes >= BYTES_AT_MOST
    return full or len(records.by_id) >= RECORDS_AT_MOST


def is_overfull(node: Node) -> bool:
    """Tell whether not even copies of the records of others have room."""
    return node.state(IdRecords).size_bytes >= 2 * BYTES_AT_MOST


def drop_expired(node: Node, now_s: float) -> None:
    """Drop records that are too old, and remember that such ids are not known."""
    text = cell_of(node).text
    if text is None:
        return
    records = node.state(IdRecords)
    oldest_s = node.wall_s(now_s) - text.policy.ids_kept_s - KEPT_LONGER_S
    for bucket in [one for one in records.buckets if (one + 1) * BUCKET_S < oldest_s]:
        for request_id in records.buckets.pop(bucket):
            drop(records, request_id)
        # If the text keeps ids for longer later, these stay refused all the same.
        gone_s = (bucket + 1) * BUCKET_S
        records.unknown_before_s = max(records.unknown_before_s, gone_s)
