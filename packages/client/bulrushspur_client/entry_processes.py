"""Find the entry processes of the cell and fetch their status over HTTP."""

import asyncio
import dataclasses
import time
import typing as t

import msgspec

from bulrushspur_kernel.http_client import NotSentError, ResponseLostError, fetch
from bulrushspur_kernel.logs import make_logger
from bulrushspur_kernel.membership_records import (
    NODE_PREFIX,
    NODES_TOPIC,
    decode_node,
)
from bulrushspur_kernel.store import Store, StoreUnavailableError

log = make_logger("client")

STATUS_TIMEOUT_S: t.Final = 2.0
POLL_INTERVAL_S: t.Final = 0.2


@dataclasses.dataclass
class EntryInfo:
    """An entry process: its address for operators and its last status, if any."""

    name: str
    address: str = ""
    registered: bool = False
    status: dict[str, t.Any] | None = None


async def find_entry_processes(store: Store, addresses: list[str]) -> list[EntryInfo]:
    """Find entry processes in the store and by addresses, and ask for their status."""
    entries = {address: EntryInfo(address, address) for address in addresses}
    try:
        records, _ = await store.read_newest(NODES_TOPIC)
    except StoreUnavailableError:
        # The entry processes at the given addresses can still be asked.
        records = {}
    for key, record in records.items():
        if key.startswith(NODE_PREFIX):
            try:
                node = decode_node(record.value)
            except msgspec.DecodeError as exc:
                log.warning(f"The record {key[:60]!r} is skipped: {exc}.")
                continue
            if node.operators_address:
                address = node.operators_address
                entries[address] = EntryInfo(node.name, address, True)
    await refresh_statuses(list(entries.values()))
    for entry in entries.values():
        if entry.status is not None:
            entry.name = entry.status["name"]
    return sorted(entries.values(), key=lambda entry: entry.name)


async def fetch_json(address: str, path: str) -> t.Any | None:
    """GET a path of an entry process and decode the JSON; None if that fails."""
    try:
        status, body = await fetch("GET", address, path, timeout_s=STATUS_TIMEOUT_S)
    except (NotSentError, ResponseLostError):
        return None
    return msgspec.json.decode(body) if status == 200 else None


async def post_json(address: str, path: str, body: bytes) -> tuple[int, t.Any]:
    """POST to an entry process; return status and decoded JSON, 0 without an answer."""
    try:
        status, data = await fetch(
            "POST", address, path, body, timeout_s=STATUS_TIMEOUT_S
        )
    except (NotSentError, ResponseLostError):
        return 0, None
    return status, msgspec.json.decode(data)


async def refresh_statuses(entries: list[EntryInfo]) -> None:
    """Fetch the status of entry processes concurrently and store it in them."""
    statuses = await asyncio.gather(
        *(fetch_json(entry.address, "/status") for entry in entries)
    )
    for entry, status in zip(entries, statuses, strict=True):
        entry.status = status


async def wait_until_confirmed(
    entries: list[EntryInfo], version: int, wait_s: float
) -> tuple[list[str], list[str]]:
    """Wait up to ``wait_s`` seconds until all use a version or a later one.

    Returns the names of the entry processes that use it and of those that do not.
    """
    deadline_s = time.monotonic() + wait_s
    while True:
        confirmed = [entry.name for entry in entries if has_confirmed(entry, version)]
        late = [entry for entry in entries if not has_confirmed(entry, version)]
        if not late or time.monotonic() > deadline_s:
            return confirmed, [entry.name for entry in late]
        await asyncio.sleep(POLL_INTERVAL_S)
        await refresh_statuses([entry for entry in late if entry.address])


def has_confirmed(entry: EntryInfo, version: int) -> bool:
    """Return whether an entry process uses a version or a later one."""
    return entry.status is not None and (entry.status["config_version"] or 0) >= version
