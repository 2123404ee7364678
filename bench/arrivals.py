"""Deployments and seeded arrivals for the measurements of the policy.

Rooms, kinds and demand are ours: the brief gives workers, slots and accounts. Slots
bind first, so that the load can be told as a part of all slots.
"""

import dataclasses
import random
import typing as t

from bulrushspur_kernel.text import Text, convert_text
from bulrushspur_kernel.work import Policy, Room, Size, Vm

SPREAD_OF_RUN_TIMES: t.Final = 0.4


@dataclasses.dataclass(frozen=True)
class BenchKind:
    """A kind of work: mean run time (seconds), part of all slot time, deadline."""

    name: str
    size: Size
    room: Room
    run_time_s: float
    part: float
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A cell: workers by domain, entry processes by domain, teams and kinds."""

    name: str
    domains: tuple[str, ...]
    workers_each: int
    rack_size: int
    room: Room
    entries: int
    cross_s: float
    shares: dict[str, float]
    demand: dict[str, float]
    kinds: tuple[BenchKind, ...]

    @property
    def slots(self) -> int:
        """Count all slots."""
        return len(self.domains) * self.workers_each * self.room.slots


@dataclasses.dataclass(slots=True)
class Job:
    """One request to come; ``true_s`` is its run time, which nobody knows before."""

    number: int
    at_s: float
    team: str
    kind: BenchKind
    true_s: float
    door: int
    policy: Policy = Policy.REQUEST
    cancel_s: float | None = None


_SHARES: t.Final = {"a": 4.0, "b": 4.0, "c": 2.0, "d": 1.0, "e": 1.0, "f": 1.0}
_DEMAND: t.Final = {"a": 0.35, "b": 0.3, "c": 0.14, "d": 0.07, "e": 0.07, "f": 0.07}


def make_kinds(cores: float, memory_mb: int) -> tuple[BenchKind, ...]:
    """Make the three kinds, given what one slot of a worker has."""
    small = Room(1, cores / 4, memory_mb // 8, 0)
    middling = Room(1, cores, memory_mb // 2, 0)
    heavy = Room(2, 2 * cores, memory_mb, 0)
    return (
        BenchKind("small", Size.SMALL, small, 0.05, 0.08, 5.0),
        BenchKind("middling", Size.MIDDLING, middling, 1.0, 0.32, 60.0),
        BenchKind("heavy", Size.HEAVY, heavy, 8.0, 0.60, 240.0),
    )


HEDGEROW: t.Final = Deployment(
    "hedgerow",
    ("north", "east", "south", "west"),
    6,
    6,
    Room(8, 16.0, 32_768, 0),
    8,
    0.0015,
    _SHARES,
    _DEMAND,
    make_kinds(2.0, 4096),
)
ESCAUT: t.Final = Deployment(
    "escaut",
    ("ghent", "deinze", "aalst"),
    8,
    8,
    Room(8, 32.0, 131_072, 0),
    9,
    0.0005,
    _SHARES,
    _DEMAND,
    make_kinds(4.0, 16_384),
)


def make_text(cell: Deployment) -> Text:
    """Make the operators' text of a deployment."""
    teams = [
        {
            "name": name,
            "share": share,
            "limit_tasks": cell.slots * 2,
            "queue_requests": 2000,
        }
        for name, share in cell.shares.items()
    ]
    data = {
        "cell": cell.name,
        "domains": [{"name": one, "region": "here"} for one in cell.domains],
        "teams": teams,
    }
    return convert_text(data).unwrap()


def make_vms(cell: Deployment) -> list[Vm]:
    """List the workers of a deployment."""
    return [
        Vm(f"{domain}-w{i}", "worker", domain, "", f"{domain}-r{i // cell.rack_size}",
           room=cell.room)
        for domain in cell.domains
        for i in range(cell.workers_each)
    ]  # fmt: skip


def make_noise(rng: random.Random) -> float:
    """Make a factor on the mean run time, whose own mean is 1."""
    return rng.lognormvariate(-(SPREAD_OF_RUN_TIMES**2) / 2, SPREAD_OF_RUN_TIMES)


def make_arrivals(
    cell: Deployment,
    seed: int,
    duration_s: float,
    load: float,
    true_factor: float = 1.0,
    demand: dict[str, float] | None = None,
) -> list[Job]:
    """Make Poisson arrivals whose slot time is ``load`` of all slots.

    ``true_factor`` is the true run time over the declared; it does not change the
    load, but what is declared.
    """
    rng = random.Random(seed)
    teams = demand or cell.demand
    rates = {
        (team, kind): load * cell.slots * kind.part * part
        / (kind.run_time_s * kind.room.slots)
        for team, part in teams.items()
        for kind in cell.kinds
    }  # fmt: skip
    keys, weights = list(rates), list(rates.values())
    total = sum(weights)
    rv = []
    at_s = rng.expovariate(total)
    while at_s < duration_s:
        team, kind = rng.choices(keys, weights)[0]
        noise = make_noise(rng)
        true_s = kind.run_time_s * noise
        if true_factor != 1.0:
            # The declaration is wrong by up to the factor, either way, by team.
            declared = kind.run_time_s * true_factor ** (-1 if team < "d" else 1)
            kind = dataclasses.replace(kind, run_time_s=declared)
        rv.append(Job(len(rv), at_s, team, kind, true_s, rng.randrange(cell.entries)))
        at_s += rng.expovariate(total)
    return rv


def add_burst(
    cell: Deployment, jobs: list[Job], seed: int, at_s: float, count: int, team: str
) -> list[Job]:
    """Add a burst of small and middling work of one team, all within a second."""
    rng = random.Random(seed + 1)
    burst = [
        Job(
            0,
            at_s + rng.random(),
            team,
            kind,
            kind.run_time_s * make_noise(rng),
            rng.randrange(cell.entries),
        )
        for kind in rng.choices(cell.kinds[:2], k=count)
    ]
    return number(jobs + burst)


def number(jobs: list[Job]) -> list[Job]:
    """Sort jobs by arrival and number them anew."""
    jobs.sort(key=lambda job: job.at_s)
    for i, job in enumerate(jobs):
        job.number = i
    return jobs
