"""The entry processes of the cell as the client finds and asks them."""

import asyncio
import dataclasses
import time
import typing as t

import msgspec

from bulrushspur_kernel.http_client import LostError, NotSentError, fetch
from bulrushspur_kernel.membership_records import CELL_TOPIC, NODE_PREFIX, NodeRecord
from bulrushspur_kernel.store import Store, StoreUnavailableError

ASK_S: t.Final = 2.0
AGAIN_S: t.Final = 0.2


@dataclasses.dataclass
class Entry:
    """An entry process: where operators reach it and what it answered last."""

    name: str
    address: str = ""
    listed: bool = False
    status: dict[str, t.Any] | None = None


async def find_entries(store: Store, given: list[str]) -> list[Entry]:
    """Find entry processes in the store and by addresses, and ask for their status."""
    entries = {address: Entry(address, address) for address in given}
    try:
        newest, _ = await store.newest(CELL_TOPIC)
    except StoreUnavailableError:
        # Those that were named can be asked all the same.
        newest = {}
    for key, row in newest.items():
        if key.startswith(NODE_PREFIX):
            node = msgspec.msgpack.decode(row.value, type=NodeRecord)
            if node.operators_address:
                address = node.operators_address
                entries[address] = Entry(node.name, address, True)
    await ask_all(list(entries.values()))
    for entry in entries.values():
        if entry.status is not None:
            entry.name = entry.status["name"]
    return sorted(entries.values(), key=lambda one: one.name)


async def ask(address: str, path: str) -> t.Any | None:
    """Ask an entry process; None where it does not answer."""
    try:
        status, body = await fetch("GET", address, path, wait_s=ASK_S)
    except (NotSentError, LostError):
        return None
    return msgspec.json.decode(body) if status == 200 else None


async def ask_all(entries: list[Entry]) -> None:
    """Ask entry processes for their status, all at once."""
    answers = await asyncio.gather(*(ask(one.address, "/status") for one in entries))
    for entry, status in zip(entries, answers, strict=True):
        entry.status = status


async def wait_in_force(
    entries: list[Entry], version: int, wait_s: float
) -> tuple[list[str], list[str]]:
    """Wait until all use a version or a later one; name who does and who does not."""
    until_s = time.monotonic() + wait_s
    while True:
        done = [one.name for one in entries if uses(one, version)]
        late = [one for one in entries if not uses(one, version)]
        if not late or time.monotonic() > until_s:
            return done, [one.name for one in late]
        await asyncio.sleep(AGAIN_S)
        await ask_all([one for one in late if one.address])


def uses(entry: Entry, version: int) -> bool:
    """Tell whether an entry process has confirmed a version."""
    return entry.status is not None and (entry.status["config_version"] or 0) >= version
