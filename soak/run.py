"""``make soak SEEDS=n SEED=k MINUTES=m``: faults at random, promises checked."""

import asyncio
import dataclasses
import os
import random
import signal
import sys
import time
import typing as t

import msgspec

from bench.processes import EntryProcess, ProcessCluster
from bulrushspur_kernel.http_pool import HttpPool, NotSentError, ResponseLostError
from soak.proxy import FaultProxy, LinkFault
from tests.cluster import API_KEY, CONFIG, HOST, job_id, make_job_body

RUN_DURATION_S: t.Final = 15.0
COMPLETION_TIMEOUT_S: t.Final = 40.0
# Seeds that failed once, each with its cause.
REGRESSION_SEEDS: t.Final[dict[int, str]] = {}


@dataclasses.dataclass
class Submission:
    """What a client knows of one job."""

    accepted: bool = False
    outcome_unknown: bool = False
    final: str = ""


class Soak:
    """One seeded run."""

    def __init__(self, seed: int, run_s: float) -> None:
        self.rng = random.Random(seed)
        self.duration_s = run_s
        self.cluster = ProcessCluster()
        self.store_proxies: list[FaultProxy] = []
        self.worker_proxies: list[FaultProxy] = []
        self.submissions: dict[str, Submission] = {}
        self.violations: list[str] = []
        self.fault_log: list[str] = []
        self.faulted_entries: set[str] = set()

    async def run(self) -> list[str]:
        """Run and return the promises that were broken."""
        try:
            await self._start()
            faults = asyncio.create_task(self._make_faults())
            clients = [asyncio.create_task(self._client(one)) for one in range(4)]
            await faults
            await asyncio.gather(*clients)
            await self._settle()
            return self.violations + self.cluster.oracle.violations
        finally:
            await self.cluster.stop()
            for proxy in [*self.store_proxies, *self.worker_proxies]:
                await proxy.stop()

    async def _start(self) -> None:
        cell = self.cluster
        await cell.start(entries=0, workers=0, interface="platform", config=CONFIG)
        for index in range(4):
            worker = await cell.add_worker(f"w{index}")
            proxy = FaultProxy(worker.address)
            worker.address = await proxy.start()
            self.worker_proxies.append(proxy)
            cell.store.put("keyed.servers", worker.id, worker.encode_entry())
        # Each job has a worker that may run it.
        cell.advice.always_approved = {"w0", "w1"}
        real = cell.store_address
        for index in range(3):
            proxy = FaultProxy(real)
            cell.store_address = await proxy.start()
            self.store_proxies.append(proxy)
            cell.entries.append(cell.make_entry(f"n{index}", "platform"))
        await asyncio.gather(*(one.start() for one in cell.entries))
        await cell.wait_ready()

    # Clients.

    async def _client(self, number: int) -> None:
        headers = [("bulrushspur-credential", API_KEY)]
        pools = {one.name: HttpPool(one.address, HOST) for one in self.cluster.entries}
        until_s = time.monotonic() + self.duration_s
        count = 0
        while time.monotonic() < until_s:
            count += 1
            name = job_id(number * 100_000 + count)
            self.submissions[name] = Submission()
            body = msgspec.json.encode(
                make_job_body(
                    count=self.rng.choice((1, 2, 4)),
                    cpu_milli=self.rng.choice((500, 2000, 4000)),
                    run_time_ms=self.rng.choice((100, 400, 1500)),
                    gang=self.rng.random() < 0.3,
                )
            )
            queue = self.rng.choice(("assess", "place"))
            await self._submit(pools, f"/{queue}/{name}", body, headers, name)
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))

    async def _submit(
        self,
        pools: dict[str, HttpPool],
        path: str,
        body: bytes,
        headers: list[tuple[str, str]],
        name: str,
    ) -> None:
        record = self.submissions[name]
        for _ in range(3):
            pool = pools[self.rng.choice(self.cluster.entries).name]
            try:
                answer = await pool.request("POST", path, body, headers, 4.0)
            except NotSentError:
                continue
            except ResponseLostError:
                record.outcome_unknown = True
                continue
            if answer.status == 200:
                record.accepted = True
                return
            if answer.status not in (429, 503):
                record.outcome_unknown = True
            await asyncio.sleep(0.2)

    # Faults.

    async def _make_faults(self) -> None:
        until_s = time.monotonic() + self.duration_s
        tasks = []
        while time.monotonic() < until_s:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            kind = self.rng.choice(_KINDS)
            tasks.append(asyncio.create_task(kind(self)))
        await asyncio.gather(*tasks)

    def _note(self, sentence: str) -> None:
        self.fault_log.append(sentence)

    async def _signal_entry(self, kind: str) -> None:
        entry = self.rng.choice(self.cluster.entries)
        if entry.name in self.faulted_entries or entry.process is None:
            return
        self.faulted_entries.add(entry.name)
        self._note(f"{kind} {entry.name}")
        try:
            await self._carry_out(entry, kind)
        finally:
            self.faulted_entries.discard(entry.name)

    async def _carry_out(self, entry: EntryProcess, kind: str) -> None:
        if kind == "pause":
            entry.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
            entry.send_signal(signal.SIGCONT)
            return
        if kind == "reload":
            entry.send_signal(signal.SIGHUP)
            return
        entry.send_signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
        await entry.wait_exit()
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        await entry.start()

    async def kill_entry(self) -> None:
        """Kill an entry process and start it again."""
        await self._signal_entry("kill")

    async def restart_entry_gracefully(self) -> None:
        """Stop an entry process with a signal and start it again."""
        await self._signal_entry("stop")

    async def pause_entry(self) -> None:
        """Stop an entry process for a while, as a suspended VM."""
        await self._signal_entry("pause")

    async def reload_entry(self) -> None:
        """Tell an entry process that its settings changed."""
        await self._signal_entry("reload")

    async def inject_link_fault(self) -> None:
        """Delay, silence or cut one way a link to the store or to a worker."""
        proxy = self.rng.choice(self.store_proxies + self.worker_proxies)
        if proxy.fault is not LinkFault.NONE:
            return
        proxy.fault = self.rng.choice(list(LinkFault)[1:])
        self._note(f"{proxy.fault.value} on the way to {proxy.target}")
        await asyncio.sleep(self.rng.uniform(0.3, 4.0))
        if self.rng.random() < 0.5:
            proxy.reset()
        proxy.fault = LinkFault.NONE

    async def reset_link(self) -> None:
        """Reset the connections of one link."""
        self._note("reset")
        self.rng.choice(self.store_proxies + self.worker_proxies).reset()

    async def inject_store_fault(self) -> None:
        """Take the store away, or lose its answers."""
        faults = self.cluster.store.faults
        if faults.forced_status or faults.lost_answer_share:
            return
        self._note("store")
        if self.rng.random() < 0.5:
            faults.forced_status = 503
        else:
            faults.lost_answer_share = 0.4
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        faults.forced_status, faults.lost_answer_share = 0, 0.0

    async def compact_store(self) -> None:
        """Let the store forget all but the newest records."""
        self._note("history")
        self.cluster.store.compact("keyed.op")
        self.cluster.store.compact("keyed.cell")

    # Checks.

    async def _settle(self) -> None:
        """Heal everything; each accepted job has to end well."""
        headers = [("bulrushspur-credential", API_KEY)]
        waiting = {name for name, one in self.submissions.items() if one.accepted}
        until_s = time.monotonic() + COMPLETION_TIMEOUT_S
        while waiting and time.monotonic() < until_s:
            for name in sorted(waiting):
                entry = self.rng.choice(self.cluster.entries)
                path = f"/assess/{name}"
                answer = await self.cluster.call(entry, "GET", path, headers, host=HOST)
                if answer is None or answer.status == 503:
                    continue
                if answer.status != 200:
                    self.violations.append(f"job {name} is answered {answer.status}")
                    waiting.discard(name)
                elif msgspec.json.decode(answer.body)["state"] == "completed":
                    waiting.discard(name)
            await asyncio.sleep(0.1)
        self.violations += [f"job {name} has not ended" for name in sorted(waiting)]
        started = {row[1].split(".")[0] for row in self.cluster.oracle.starts}
        for name, record in self.submissions.items():
            refused = not record.accepted and not record.outcome_unknown
            if refused and name in started:
                self.violations.append(f"job {name} ran though it was refused")


_KINDS: t.Final = (
    Soak.kill_entry,
    Soak.restart_entry_gracefully,
    Soak.pause_entry,
    Soak.reload_entry,
    Soak.inject_link_fault,
    Soak.inject_link_fault,
    Soak.reset_link,
    Soak.inject_store_fault,
    Soak.compact_store,
)


def run_seed(seed: int, run_s: float = RUN_DURATION_S) -> tuple[list[str], Soak]:
    """Run one seed; returns the promises that were broken, and the run."""
    soak = Soak(seed, run_s)
    return asyncio.run(soak.run()), soak


def main() -> int:
    """Run seeds until enough were run or the time is over."""
    env = os.environ.get
    seed = int(env("SEED") or random.SystemRandom().randrange(1_000_000))
    seeds = int(env("SEEDS") or 3)
    until_s = time.monotonic() + 60 * float(env("MINUTES") or 60)
    failed = runs = 0
    for number in range(seed, seed + seeds):
        if time.monotonic() > until_s:
            break
        broken, soak = run_seed(number)
        runs += 1
        accepted = sum(one.accepted for one in soak.submissions.values())
        print(
            f"seed {number}: {len(soak.fault_log)} faults, {accepted} of "
            f"{len(soak.submissions)} jobs accepted, {len(broken)} broken",
            flush=True,
        )
        if broken:
            failed += 1
            print(
                f"  {broken[:5]}\n  {soak.fault_log}\n  logs in {soak.cluster.folder}"
            )
    print(f"figure soak_seeds {runs} count")
    print(f"figure soak_failed {failed} count")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
