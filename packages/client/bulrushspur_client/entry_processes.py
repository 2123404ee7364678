"""The entry processes of the cell as the client finds and asks them."""

import asyncio
import dataclasses
import time
import typing as t

import msgspec

from bulrushspur_kernel.http_client import NotSentError, ResponseLostError, fetch
from bulrushspur_kernel.membership_records import (
    MEMBERSHIP_TOPIC,
    NODE_PREFIX,
    NodeRecord,
)
from bulrushspur_kernel.store import Store, StoreUnavailableError

STATUS_TIMEOUT_S: t.Final = 2.0
POLL_INTERVAL_S: t.Final = 0.2


@dataclasses.dataclass
class EntryInfo:
    """An entry process: where operators reach it and what it answered last."""

    name: str
    address: str = ""
    registered: bool = False
    status: dict[str, t.Any] | None = None


async def find_entry_processes(store: Store, given: list[str]) -> list[EntryInfo]:
    """Find entry processes in the store and by addresses, and ask for their status."""
    entries = {address: EntryInfo(address, address) for address in given}
    try:
        newest, _ = await store.read_newest(MEMBERSHIP_TOPIC)
    except StoreUnavailableError:
        # Those that were named can be asked all the same.
        newest = {}
    for key, row in newest.items():
        if key.startswith(NODE_PREFIX):
            node = msgspec.msgpack.decode(row.value, type=NodeRecord)
            if node.operators_address:
                address = node.operators_address
                entries[address] = EntryInfo(node.name, address, True)
    await refresh_statuses(list(entries.values()))
    for entry in entries.values():
        if entry.status is not None:
            entry.name = entry.status["name"]
    return sorted(entries.values(), key=lambda one: one.name)


async def fetch_json(address: str, path: str) -> t.Any | None:
    """Ask an entry process; None where it does not answer."""
    try:
        status, body = await fetch("GET", address, path, timeout_s=STATUS_TIMEOUT_S)
    except (NotSentError, ResponseLostError):
        return None
    return msgspec.json.decode(body) if status == 200 else None


async def refresh_statuses(entries: list[EntryInfo]) -> None:
    """Ask entry processes for their status, all at once."""
    answers = await asyncio.gather(
        *(fetch_json(one.address, "/status") for one in entries)
    )
    for entry, status in zip(entries, answers, strict=True):
        entry.status = status


async def wait_until_confirmed(
    entries: list[EntryInfo], version: int, wait_s: float
) -> tuple[list[str], list[str]]:
    """Wait until all use a version or a later one; name who does and who does not."""
    until_s = time.monotonic() + wait_s
    while True:
        done = [one.name for one in entries if has_confirmed(one, version)]
        late = [one for one in entries if not has_confirmed(one, version)]
        if not late or time.monotonic() > until_s:
            return done, [one.name for one in late]
        await asyncio.sleep(POLL_INTERVAL_S)
        await refresh_statuses([one for one in late if one.address])


def has_confirmed(entry: EntryInfo, version: int) -> bool:
    """Tell whether an entry process has confirmed a version."""
    return entry.status is not None and (entry.status["config_version"] or 0) >= version
