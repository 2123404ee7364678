"""Complete what was observed for the oracle, and write it beside the logs.

The leader that sent an order is known by its term: the store has its claim.
"""

import dataclasses
import math
import time
import typing as t

import msgspec

from bulrushspur_kernel.membership_records import (
    CLAIMS_TOPIC,
    LEADER_KEY,
    decode_leader,
)
from oracle.observations import Bounds
from oracle.runs import Run
from soak.disruptions import LINK_FLUSH_S, STOP, STORE

if t.TYPE_CHECKING:
    from soak.run import Soak


def record_claims(soak: "Soak") -> None:
    """Keep which entry process holds which term, as far as the store still has it."""
    for record in soak.cluster.store.partition(CLAIMS_TOPIC).records:
        if record.key == LEADER_KEY and record.value:
            # The number of a term is the offset of its claim plus one.
            soak.term_holders[record.offset + 1] = decode_leader(record.value).name


def complete_observations(soak: "Soak") -> None:
    """Record which leaders were out of contact, and when the observation ends."""
    record_claims(soak)
    for run in soak.observations.orders:
        run.in_contact = is_in_contact(soak, run)
    for term, name in soak.term_holders.items():
        for subject in (STORE, soak.store_link_by_entry[name]):
            for row in soak.disruptions.by_subject.get(subject, ()):
                soak.observations.record_contact_loss(term, row.from_s, row.until_s)
    for name, link in soak.store_link_by_entry.items():
        for subject in (STORE, link, name):
            for row in soak.disruptions.by_subject.get(subject, ()):
                if row.name == STOP:
                    continue
                soak.observations.record_entry_disruption(name, row.from_s, row.until_s)
    soak.observations.end_at(time.monotonic())


def is_in_contact(soak: "Soak", run: Run) -> bool:
    """Return whether neither the sender of an order nor its link was disrupted."""
    until_s = run.arrived_s
    link = soak.worker_link_by_machine[run.worker.partition("-")[0]]
    if soak.disruptions.is_disrupted(link, until_s - LINK_FLUSH_S, until_s):
        return False
    sender = soak.term_holders.get(run.term, "")
    return not soak.disruptions.is_disrupted(
        sender, until_s - Bounds().contact_s, until_s
    )


def write_observations(soak: "Soak") -> None:
    """Write what clients and workers saw, and the disruptions, beside the logs."""
    observations = soak.observations
    data = {
        # To be added to the monotonic times for those of the logs.
        "unix_offset_s": time.time() - time.monotonic(),
        "term_holders": soak.term_holders,
        "calls": _encode_rows(soak.calls),
        "orders": _encode_rows(observations.orders),
        "stops": _encode_rows(observations.stops),
        "disruptions": _encode_rows(observations.disruptions),
        "entry_requests": _encode_rows(observations.entry_requests),
        "shutdowns": _encode_rows(observations.shutdowns),
    }
    path = soak.cluster.folder / "observations.json"
    path.write_bytes(msgspec.json.encode(data))


def _encode_rows(rows: t.Iterable[t.Any]) -> list[dict[str, t.Any]]:
    """Encode data classes; what has not happened yet has no time."""
    return [
        {
            name: None if value == math.inf else value
            for name, value in dataclasses.asdict(row).items()
        }
        for row in rows
    ]
