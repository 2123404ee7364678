"""Send signals to entry processes: kill, stop, suspend and reload them, in series."""

import asyncio
import signal
import typing as t

from bench.processes import EntryProcess
from soak.disruptions import STOP
from soak.recording import record_claims

if t.TYPE_CHECKING:
    from soak.run import Soak

MAX_PAUSE_S: t.Final = 3.0
# Share of the signals that go to the leader, if it is not disrupted already.
LEADER_SHARE: t.Final = 0.4


def list_undisrupted(soak: "Soak") -> list[EntryProcess]:
    """List the running entry processes that no fault or stop befalls now."""
    return [
        entry
        for entry in soak.cluster.entries
        if entry.name not in soak.faulted_entries and entry.process is not None
    ]


def _draw_entry(soak: "Soak") -> EntryProcess | None:
    """Draw an entry process that is not disrupted; the newest leader more often."""
    entries = list_undisrupted(soak)
    if not entries:
        return None
    leader = find_leader(soak, entries)
    if leader is not None and soak.rng.random() < LEADER_SHARE:
        return leader
    return soak.rng.choice(entries)


def find_leader(soak: "Soak", entries: list[EntryProcess]) -> EntryProcess | None:
    """Return the entry process that claimed to lead last, if it is one of these."""
    record_claims(soak)
    leader_name = soak.term_holders.get(max(soak.term_holders, default=0))
    return next((entry for entry in entries if entry.name == leader_name), None)


async def _signal_entry(soak: "Soak", action: str) -> None:
    entry = _draw_entry(soak)
    if entry is not None:
        await _disrupt(soak, entry, action)


async def _disrupt(soak: "Soak", entry: EntryProcess, action: str) -> None:
    soak.faulted_entries.add(entry.name)
    soak.log_fault(f"{action} {entry.name}")
    try:
        await _perform_action(soak, entry, action)
    finally:
        soak.faulted_entries.discard(entry.name)


async def _perform_action(soak: "Soak", entry: EntryProcess, action: str) -> None:
    if action == "reload":
        entry.send_signal(signal.SIGHUP)
        return
    with soak.disruptions.record(action, entry.name):
        if action == "pause":
            entry.send_signal(signal.SIGSTOP)
            await asyncio.sleep(soak.rng.uniform(0.3, MAX_PAUSE_S))
            entry.send_signal(signal.SIGCONT)
            return
        entry.send_signal(signal.SIGKILL if action == "kill" else signal.SIGTERM)
        await entry.wait_exit()
        await asyncio.sleep(soak.rng.uniform(0.1, 1.0))
        await entry.start()


async def kill_leader(soak: "Soak") -> None:
    """Kill the leader with SIGKILL and restart it, unless it is disrupted already."""
    leader = find_leader(soak, list_undisrupted(soak))
    if leader is not None:
        await _disrupt(soak, leader, "kill")


async def kill_entry(soak: "Soak") -> None:
    """Kill an entry process with SIGKILL and restart it."""
    await _signal_entry(soak, "kill")


async def restart_entry_gracefully(soak: "Soak") -> None:
    """Stop an entry process with SIGTERM and restart it."""
    await _signal_entry(soak, STOP)


async def pause_entry(soak: "Soak") -> None:
    """Suspend an entry process for a random time, as with a suspended VM."""
    await _signal_entry(soak, "pause")


async def reload_entry(soak: "Soak") -> None:
    """Make an entry process read its settings file again with SIGHUP."""
    await _signal_entry(soak, "reload")


async def signal_entries_in_series(soak: "Soak") -> None:
    """Send signals to entry processes one after the other, without waiting for them."""
    actions = soak.rng.choices(("kill", "stop", "pause", "reload"), k=3)
    async with asyncio.TaskGroup() as group:
        for action in actions:
            group.create_task(_signal_entry(soak, action))
            await asyncio.sleep(soak.rng.uniform(0.05, 1.0))
