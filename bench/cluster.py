"""Starts stand-ins and entry processes on this machine, for demo, bench and tests."""

import asyncio
import contextlib
import dataclasses
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import typing as t

import msgspec

from bulrushspur_kernel.http_client import LostError, NotSentError, fetch
from bulrushspur_kernel.keys import hash_key, make_key
from bulrushspur_kernel.platform_log import append
from bulrushspur_kernel.records import KeyGiven, KeyWithdrawn, Published
from bulrushspur_kernel.work import Room, Vm

READY_S: t.Final = 15.0


def free_ports(count: int) -> list[int]:
    """Find ports of the loopback address that are free now."""
    with contextlib.ExitStack() as stack:
        rv = []
        for _ in range(count):
            one = stack.enter_context(socket.socket())
            one.bind(("127.0.0.1", 0))
            rv.append(one.getsockname()[1])
        return rv


@dataclasses.dataclass
class Started:
    """A process that this cluster started."""

    name: str
    popen: subprocess.Popen
    address: str
    settings: dict[str, t.Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Cluster:
    """The processes of one cell on this machine."""

    folder: pathlib.Path
    platform: str = ""
    entries: dict[str, Started] = dataclasses.field(default_factory=dict)
    workers: dict[str, Started] = dataclasses.field(default_factory=dict)
    others: list[Started] = dataclasses.field(default_factory=list)

    def spawn(self, name: str, address: str, args: list[str]) -> Started:
        """Start a Python module with its output in the folder of the cluster."""
        with open(self.folder / f"{name}.log", "ab") as out:
            popen = subprocess.Popen(
                [sys.executable, "-m", *args], stdout=out, stderr=out
            )
        return Started(name, popen, address)

    def stop(self) -> None:
        """Kill every process of the cluster that is left."""
        everything = [*self.entries.values(), *self.workers.values(), *self.others]
        for one in everything:
            one.popen.kill()
        for one in everything:
            one.popen.wait()


def make_cluster() -> Cluster:
    """Make a cluster with no process yet."""
    return Cluster(pathlib.Path(tempfile.mkdtemp(prefix="bulrushspur-")))


async def start_platform(cluster: Cluster, *args: str) -> None:
    """Start the platform's stand-in and wait until it answers."""
    address = f"127.0.0.1:{free_ports(1)[0]}"
    started = cluster.spawn(
        "platform",
        address,
        ["bulrushspur_standins.platform", f"--address={address}", *args],
    )
    cluster.others.append(started)
    cluster.platform = address
    await wait_answer(address, "/vms")


async def start_worker(
    cluster: Cluster, name: str, domain: str, rack: str, room: Room
) -> None:
    """Start the stand-in of a worker and list it with the platform."""
    address = f"127.0.0.1:{free_ports(1)[0]}"
    args = [
        "bulrushspur_standins.worker",
        f"--name={name}",
        f"--address={address}",
        f"--slots={room.slots}",
        f"--cores={room.cores}",
        f"--memory_mb={room.memory_mb}",
        f"--accelerators={room.accelerators}",
    ]
    cluster.workers[name] = cluster.spawn(name, address, args)
    await list_vm(cluster, Vm(name, "worker", domain, address, rack, room=room))


async def list_vm(cluster: Cluster, vm: Vm) -> None:
    """Put a VM into the platform's list."""
    body = msgspec.json.encode(vm)
    await fetch("PUT", cluster.platform, f"/vms/{vm.name}", body)


def plan_entries(
    cluster: Cluster, names: dict[str, str], **extra: t.Any
) -> dict[str, dict[str, t.Any]]:
    """Make the settings of entry processes, given their domains by name."""
    ports = iter(free_ports(3 * len(names)))
    rows = {
        name: {
            "name": name,
            "domain": domain,
            "region": "midlands",
            "callers_address": f"127.0.0.1:{next(ports)}",
            "peers_address": f"127.0.0.1:{next(ports)}",
            "operators_address": f"127.0.0.1:{next(ports)}",
            "platform_address": cluster.platform,
            **extra,
        }
        for name, domain in names.items()
    }
    for name, row in rows.items():
        row["peers"] = [
            {"name": k, "domain": v["domain"], "address": v["peers_address"]}
            for k, v in rows.items()
            if k != name
        ]
    return rows


async def start_entry(cluster: Cluster, settings: dict[str, t.Any]) -> Started:
    """Start an entry process, list it, and wait until it answers."""
    name = settings["name"]
    path = cluster.folder / f"{name}.json"
    path.write_bytes(msgspec.json.encode(settings))
    started = cluster.spawn(
        name, settings["callers_address"], ["bulrushspur_daemon.main", str(path)]
    )
    started.settings = settings
    cluster.entries[name] = started
    vm = Vm(name, "entry", settings["domain"], settings["peers_address"])
    vm.operators_address = settings["operators_address"]
    await list_vm(cluster, vm)
    await wait_answer(settings["operators_address"], "/status")
    return started


async def wait_answer(address: str, path: str) -> bytes:
    """Wait until an address answers."""
    until_s = time.monotonic() + READY_S
    while True:
        try:
            return (await fetch("GET", address, path, wait_s=2.0))[1]
        except (NotSentError, LostError):
            if time.monotonic() > until_s:
                raise
            await asyncio.sleep(0.05)


async def get_status(entry: Started, path: str = "/status") -> dict[str, t.Any]:
    """Read the status or dump of an entry process."""
    _, body = await fetch("GET", entry.settings["operators_address"], path)
    return msgspec.json.decode(body)


async def publish(cluster: Cluster, text: dict[str, t.Any], base: int) -> int:
    """Publish a text and return the version it has if it wins."""
    return await append(cluster.platform, Published(base, text), 5.0) + 1


async def give_key(cluster: Cluster, team: str) -> tuple[str, str]:
    """Give a team a key; returns its id and the key."""
    key_id, key = make_key()
    await append(cluster.platform, KeyGiven(key_id, team, hash_key(key)), 5.0)
    return key_id, key


async def withdraw_key(cluster: Cluster, key_id: str) -> None:
    """Withdraw a key."""
    await append(cluster.platform, KeyWithdrawn(key_id), 5.0)


async def wait_until(
    check: t.Callable[[], t.Awaitable[bool]], wait_s: float = READY_S
) -> bool:
    """Wait until a check holds; tell whether it did in time."""
    until_s = time.monotonic() + wait_s
    while time.monotonic() < until_s:
        if await check():
            return True
        await asyncio.sleep(0.05)
    return False


async def set_faults(address: str, **faults: t.Any) -> None:
    """Set the faults of a stand-in."""
    await fetch("PUT", address, "/faults", msgspec.json.encode(faults))


async def worker_reports(cluster: Cluster) -> list[dict[str, t.Any]]:
    """Read the report of each worker's stand-in."""
    rv = []
    for worker in cluster.workers.values():
        _, body = await fetch("GET", worker.address, "/report")
        rv.append(msgspec.json.decode(body))
    return rv
