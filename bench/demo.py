"""``make demo``: one cell on this machine, under load and faults, told as a table.

Publishes a text for both deployments of examples/, gives keys, drives a bounded load,
withdraws a key, marks a worker leaving, kills one entry process and stops another
gracefully. Exits with 1 on anything that must never happen.
"""

import asyncio
import collections
import dataclasses
import itertools
import pathlib
import random
import signal
import sys
import time
import typing as t

import msgspec

from bench import cluster as cl
from bench.demo_checks import Call, check_calls, check_history
from bench.figures import print_frame, print_table
from bench.load import send_one
from bulrushspur_kernel.http_client import LostError, NotSentError, fetch
from bulrushspur_kernel.work import Room, Vm

SEED: t.Final = 7
EXAMPLES: t.Final = pathlib.Path(__file__).resolve().parent.parent / "examples"
DEPLOYMENTS: t.Final = ("hedgerow", "escaut")
DOMAINS: t.Final = {"n1": "north", "n2": "north", "s1": "south", "s2": "south"}
WORKERS: t.Final = 8
WORKER_ROOM: t.Final = Room(8, 32.0, 131_072, 0)

# The demo has a third of the slots of a deployment, and tasks that end soon.
LIMIT_SHRINK: t.Final = 5
RUN_TIME_SHRINK: t.Final = 30.0
DEADLINE_S: t.Final = 20.0
RATES_PER_S: t.Final = {
    ("coursework", "assess"): 7.0,
    ("coursework", "handbook"): 15.0,
    ("coursework", "place"): 30.0,
    ("gravure-prep", "collection"): 5.0,
    ("gravure-prep", "proof"): 15.0,
    ("gravure-prep", "stopper"): 30.0,
}
AT_MOST_ONCE: t.Final = ("place", "collection")

LOAD_S: t.Final = 32.0
WITHDRAW_AT_S: t.Final = 3.0
LEAVE_AT_S: t.Final = 7.0
KILL_AT_S: t.Final = 13.0
STOP_AT_S: t.Final = 22.0
GRACE_S: t.Final = 5.0
STOP_WAIT_S: t.Final = 30.0
READY_S: t.Final = 25.0


@dataclasses.dataclass
class Demo:
    """The cell, its callers' keys, and what happened so far."""

    cluster: cl.Cluster
    text: dict[str, t.Any]
    rng: random.Random
    keys: dict[str, tuple[str, str]] = dataclasses.field(default_factory=dict)
    doors: list[str] = dataclasses.field(default_factory=list)
    killed: dict[str, float] = dataclasses.field(default_factory=dict)
    calls: list[Call] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    started_s: float = 0.0
    load_s: float = LOAD_S
    withdrawn_s: float = float("inf")
    withdrawn_team: str = ""

    def say(self, sentence: str) -> None:
        """Print what happens, with the seconds of load so far."""
        print(f"{time.monotonic() - self.started_s:6.1f} s  {sentence}", flush=True)


def make_text() -> dict[str, t.Any]:
    """Merge the texts of the examples into one for a smaller and faster cell."""
    texts = [
        msgspec.json.decode((EXAMPLES / name / "text.json").read_bytes())
        for name in DEPLOYMENTS
    ]
    rv = {"cell": "demo", "policy": texts[1]["policy"]}
    rv["domains"] = [{"name": one, "region": "demo"} for one in ("north", "south")]
    rv["teams"] = [team for text in texts for team in text["teams"]]
    rv["services"] = [service for text in texts for service in text["services"]]
    for team in rv["teams"]:
        team["limit_tasks"] //= LIMIT_SHRINK
        team["guaranteed_tasks"] = 0
    for service in rv["services"]:
        for kind in service["kinds"]:
            kind["run_time_s"] /= RUN_TIME_SHRINK
            kind["deadline_s"] = DEADLINE_S
    return rv


async def run_client(demo: Demo, *args: str) -> str:
    """Run the operators' client and return what it printed; raises RuntimeError."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bulrushspur_client.main",
        *args,
        f"--platform={demo.cluster.platform}",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    if process.returncode:
        raise RuntimeError(f"bulrushspur {args[0]}: {err.decode()}")
    return out.decode().strip()


async def set_up(demo: Demo, domain_of: dict[str, str]) -> None:
    """Start the cell, publish its text and give a key to each team."""
    cluster = demo.cluster
    await cl.start_platform(cluster)
    domains = sorted(set(domain_of.values()))
    for i in range(WORKERS):
        domain = domains[i % len(domains)]
        rack = f"{domain}-r{i // len(domains) % 2}"
        await cl.start_worker(cluster, f"w{i}", domain, rack, WORKER_ROOM)
    plan = cl.plan_entries(cluster, domain_of)
    await asyncio.gather(*(cl.start_entry(cluster, one) for one in plan.values()))
    demo.doors = list(domain_of)
    path = cluster.folder / "text.json"
    path.write_bytes(msgspec.json.encode(demo.text))
    await run_client(demo, "publish", str(path))
    teams = [team["name"] for team in demo.text["teams"] if team["name"] != "open"]
    keys = await asyncio.gather(*(run_client(demo, "give", one) for one in teams))
    for team, key in zip(teams, keys, strict=True):
        demo.keys[team] = (key.split("_")[1], key)


async def wait_ready(demo: Demo) -> None:
    """Wait until each door had a request answered, of those that need an id too."""
    for name in demo.doors:
        for kind in ("handbook", "place"):

            async def answered(name: str = name, kind: str = kind) -> bool:
                return await probe(demo, demo.cluster.entries[name].address, kind)

            if not await cl.wait_until(answered, READY_S):
                raise RuntimeError(f"{name} answers no request of kind {kind}")


async def probe(demo: Demo, address: str, kind: str) -> bool:
    """Tell whether a request of the first team is answered."""
    key = demo.keys[demo.text["teams"][0]["name"]][1]
    headers = {
        "x-request-id": await make_id(address),
        "x-idempotent": "no" if kind in AT_MOST_ONCE else "yes",
    }
    return (await send_one(address, "coursework", kind, key, b"", headers)).whole


def choose_team(demo: Demo, service: str) -> str:
    """Choose a team of the deployment of a service, large teams more often."""
    teams = [team for team in demo.text["teams"] if team["name"] != "open"]
    ours = teams[:6] if service == "coursework" else teams[6:]
    weights = [team["share"] for team in ours]
    return demo.rng.choices(ours, weights)[0]["name"]


async def make_id(address: str) -> str:
    """Take a request id from a door; raises LostError or NotSentError."""
    status, body = await fetch("POST", address, "/v1/ids")
    if status != 200:
        raise LostError(f"no id: status {status}")
    return msgspec.json.decode(body)["ids"][0]


async def call_once(demo: Demo, service: str, kind: str, serial: int) -> None:
    """Make one request as a caller behind the balancer does."""
    team = choose_team(demo, service)
    key = "" if kind == "stopper" else demo.keys[team][1]
    call = Call(
        "open" if kind == "stopper" else team, kind, kind not in AT_MOST_ONCE, serial
    )
    demo.calls.append(call)
    call.sent_s = time.monotonic()
    body = f"{team} {kind} {serial} ".encode() * (1 + serial % 40)
    # Only what certainly did not reach a door goes on to the next one.
    for door in demo.rng.sample(demo.doors, len(demo.doors)):
        address = demo.cluster.entries[door].address
        call.door = door
        try:
            call.request_id = await make_id(address)
        except (NotSentError, LostError):
            continue
        headers = {
            "x-request-id": call.request_id,
            "x-idempotent": "yes" if call.idempotent else "no",
        }
        result = await send_one(
            address, service, kind, key, body, headers, DEADLINE_S + 10, team
        )
        call.take(result, time.monotonic())
        if not call.error.startswith("not sent"):
            break
    if call.refusal and call.refusal["kind"] == "stopping" and door in demo.doors:
        # A balancer stops using a door that says that it stops.
        demo.doors.remove(door)


async def drive_load(demo: Demo) -> None:
    """Send requests at random times and wait for the last answer."""
    kinds = list(RATES_PER_S)
    rates = list(RATES_PER_S.values())
    due_s = demo.started_s
    async with asyncio.TaskGroup() as group:
        for serial in itertools.count():
            due_s += demo.rng.expovariate(sum(rates))
            if due_s > demo.started_s + demo.load_s:
                return
            await asyncio.sleep(max(due_s - time.monotonic(), 0))
            service, kind = demo.rng.choices(kinds, rates)[0]
            group.create_task(call_once(demo, service, kind, serial))


async def make_trouble(demo: Demo) -> None:
    """Bring about what operators and machines do, one after the other."""

    async def sleep_until(at_s: float) -> None:
        await asyncio.sleep(max(demo.started_s + at_s - time.monotonic(), 0))

    await sleep_until(WITHDRAW_AT_S)
    demo.withdrawn_team = demo.text["teams"][3]["name"]
    await run_client(demo, "withdraw", demo.keys[demo.withdrawn_team][0])
    demo.withdrawn_s = time.monotonic()
    demo.say(f"the key of {demo.withdrawn_team} is withdrawn")
    await sleep_until(LEAVE_AT_S)
    leaving = demo.cluster.workers["w1"]
    vm = Vm("w1", "worker", "south", leaving.address, "south-r0", "", True, WORKER_ROOM)
    await cl.list_vm(demo.cluster, vm)
    demo.say("worker w1 is listed as leaving")
    await sleep_until(LEAVE_AT_S + GRACE_S)
    await fetch("POST", leaving.address, "/leaving")
    await sleep_until(KILL_AT_S)
    demo.killed["n1"] = time.monotonic()
    demo.cluster.entries["n1"].popen.kill()
    demo.say("entry process n1 is killed")
    await sleep_until(STOP_AT_S)
    demo.say("entry process s2 is told to stop")
    popen = demo.cluster.entries["s2"].popen
    popen.send_signal(signal.SIGTERM)
    gone = await asyncio.to_thread(wait_exit, popen)
    demo.say(f"entry process s2 has ended with code {popen.returncode}")
    if not gone or popen.returncode:
        demo.faults.append(f"the graceful stop ended with code {popen.returncode}")


def wait_exit(popen: t.Any) -> bool:
    """Wait until a process has ended; tell whether it did in time."""
    until_s = time.monotonic() + STOP_WAIT_S
    while popen.poll() is None and time.monotonic() < until_s:
        time.sleep(0.05)
    return popen.returncode is not None


async def run_demo(demo: Demo) -> int:
    """Run the demo and return the exit code."""
    began_s = time.monotonic()
    demo.started_s = began_s
    await set_up(demo, DOMAINS)
    await wait_ready(demo)
    demo.started_s = time.monotonic()
    demo.say(f"the load begins, after {demo.started_s - began_s:.1f} s of set-up")
    async with asyncio.TaskGroup() as group:
        group.create_task(drive_load(demo))
        group.create_task(make_trouble(demo))
    demo.say("the load has ended")
    faults = await tell(demo)
    print(f"\n{len(demo.calls)} requests, {len(faults)} faults")
    return 1 if faults else 0


async def read_history(demo: Demo) -> list[dict[str, t.Any]]:
    """Read what each worker has run."""
    rv = []
    for worker in demo.cluster.workers.values():
        _, body = await fetch("GET", worker.address, "/history")
        rv += msgspec.json.decode(body)
    return rv


async def tell(demo: Demo) -> list[str]:
    """Print the tables and what must never happen but did; return the latter."""
    # What detached from its caller may still run.
    await asyncio.sleep(1.0)
    reports = await cl.worker_reports(demo.cluster)
    history = await read_history(demo)
    starts = {row["request_id"]: row["started_s"] for row in reversed(history)}
    print_table(
        "Requests (wait: sent to started on a worker)",
        ["team", "kind", "sent", "whole", "refused", "lost", "p50 ms", "p99 ms"],
        [list(row) for row in summarise(demo.calls, starts)],
    )
    refused = collections.Counter(
        (one.refusal["kind"], one.refusal["ran"]) for one in demo.calls if one.refusal
    )
    rows = [[kind, ran, count] for (kind, ran), count in sorted(refused.items())]
    print_table("Refusals", ["kind", "ran", "count"], rows)
    violations: collections.Counter[str] = collections.Counter()
    for report in reports:
        violations.update(report["violations"])
        demo.faults += [f"{report['name']}: {one}" for one in report["examples"][:3]]
    rows = [[kind, count] for kind, count in sorted(violations.items())]
    print_table("Violations counted by the workers", ["kind", "count"], rows)
    print(f"{sum(violations.values())} in all, over {len(history)} starts")
    limits = {one["name"]: one["limit_tasks"] for one in demo.text["teams"]}
    faults = demo.faults + check_history(history, limits)
    # A key is withdrawn within seconds: what was sent after them must be refused.
    withdrawn = (demo.withdrawn_team, demo.withdrawn_s + GRACE_S)
    faults += check_calls(demo.calls, starts, demo.killed, withdrawn)
    for fault in faults:
        print(f"FAULT: {fault}")
    return faults


def summarise(
    calls: list[Call], starts: dict[str, float]
) -> t.Iterator[tuple[t.Any, ...]]:
    """Sum up the calls of each team and kind."""
    by_kind: dict[tuple[str, str], list[Call]] = {}
    for one in calls:
        by_kind.setdefault((one.team, one.kind), []).append(one)
    for (team, kind), ours in sorted(by_kind.items()):
        waits = sorted(
            starts[one.request_id] - one.sent_s
            for one in ours
            if one.whole and one.request_id in starts
        )
        yield (
            team,
            kind,
            len(ours),
            sum(one.whole for one in ours),
            sum(one.refusal is not None for one in ours),
            sum(bool(one.error) for one in ours),
            percentile_ms(waits, 0.5),
            percentile_ms(waits, 0.99),
        )


def percentile_ms(values_s: list[float], share: float) -> str:
    """Format a percentile of sorted values as milliseconds."""
    if not values_s:
        return "-"
    at = min(int(len(values_s) * share), len(values_s) - 1)
    return f"{values_s[at] * 1000:.0f}"


def main() -> int:
    """Run the demo and clean up."""
    print_frame(SEED, len(DOMAINS))
    demo = Demo(cl.make_cluster(), make_text(), random.Random(SEED))
    try:
        return asyncio.run(run_demo(demo))
    finally:
        demo.cluster.stop()
        print(f"logs: {demo.cluster.folder}")


if __name__ == "__main__":
    sys.exit(main())
