"""The entry processes of the cell as the client finds and asks them."""

import asyncio
import dataclasses
import time
import typing as t

import msgspec

from bulrushspur_kernel import platform_log
from bulrushspur_kernel.http_client import LostError, NotSentError, fetch

ASK_S: t.Final = 2.0
AGAIN_S: t.Final = 0.2
LOOKS_AT_MOST: t.Final = 100


@dataclasses.dataclass
class Entry:
    """An entry process: where operators reach it and what it answered last."""

    name: str
    address: str = ""
    listed: bool = False
    status: dict[str, t.Any] | None = None


async def find_entries(platform: str, given: list[str]) -> list[Entry]:
    """Find entry processes by the platform's list, by addresses, and by each other."""
    entries = {address: Entry(address, address) for address in given}
    try:
        vms = await platform_log.read_vms(platform, ASK_S)
    except platform_log.LogError:
        vms = []
    nameless = []
    for vm in vms:
        if vm.role == "entry" and vm.operators_address:
            entries[vm.operators_address] = Entry(vm.name, vm.operators_address, True)
        elif vm.role == "entry":
            nameless.append(Entry(vm.name, listed=True))
    asked: set[str] = set()
    while todo := [one for one in entries.values() if one.address not in asked]:
        todo = todo[:LOOKS_AT_MOST]
        asked |= {one.address for one in todo}
        await ask_all(todo)
        for entry in todo:
            _note_peers(entries, entry)
    found = {one.name for one in entries.values()}
    rows = [*entries.values(), *(one for one in nameless if one.name not in found)]
    return sorted(rows, key=lambda one: one.name)


def _note_peers(entries: dict[str, Entry], entry: Entry) -> None:
    if entry.status is None:
        return
    entry.name = entry.status["name"]
    for name, peer in entry.status["peers"].items():
        address = peer["operators_address"]
        if address and not peer["lost"]:
            entries.setdefault(address, Entry(name, address))


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
    entries: list[Entry], offset: int, wait_s: float
) -> tuple[list[str], list[str]]:
    """Wait until all have folded the record at ``offset``; name who has and not."""
    until_s = time.monotonic() + wait_s
    while True:
        done = [one.name for one in entries if has_folded(one, offset)]
        late = [one for one in entries if not has_folded(one, offset)]
        if not late or time.monotonic() > until_s:
            return done, [one.name for one in late]
        await asyncio.sleep(AGAIN_S)
        await ask_all([one for one in late if one.address])


def has_folded(entry: Entry, offset: int) -> bool:
    """Tell whether an entry process has confirmed the record at ``offset``."""
    return entry.status is not None and entry.status["next_offset"] > offset
