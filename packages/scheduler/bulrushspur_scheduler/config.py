"""Define the configuration in force: queues, services and client accounts."""

import dataclasses
import typing as t

from bulrushspur_scheduler.resources import Resources

# An amount of 0 in a cap means no limit.
NO_CAP: t.Final = Resources()

# Where a configuration does not tell how often a task may fail.
DEFAULT_MAX_ATTEMPTS: t.Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Timing of the placement advice service for a queue, in seconds."""

    base_call_s: float
    per_worker_s: float
    ticket_valid_s: float

    def expected_call_s(self, workers: int) -> float:
        """Estimate the duration of one call that names ``workers`` workers."""
        return self.base_call_s + self.per_worker_s * workers


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs; priority 0 is urgent and goes first."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    # A job's objective is its critical path times the stretch, plus the target latency.
    stretch: float = 1.0
    target_latency_s: float = 1.0
    timeout_s: float = 3.0
    public: bool = False
    advice: AdvicePolicy | None = None


# Stands for the queue of a job if neither its record nor a configuration tells it: such
# a job is not urgent, and starts without advice.
UNKNOWN_QUEUE: t.Final = Queue("", "", "", "", priority=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account with its limits; 0 means no limit.

    ``weight`` is its share of arrivals when the cell is full, in jobs per second.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    weight: float = 1.0
    cap: Resources = NO_CAP
    max_tasks: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers."""

    name: str
    admission_check: bool = False
    spare: bool = False


@dataclasses.dataclass(frozen=True)
class CellConfig:
    """One version of the configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    max_body_bytes: int = 262_144
    max_header_bytes: int = 16_384
    # Their workers get no new work until the operators take the request back.
    evacuated_domains: frozenset[str] = frozenset()
    queues_by_host: dict[str, list[Queue]] = dataclasses.field(default_factory=dict)
    queue_by_name: dict[str, Queue] = dataclasses.field(default_factory=dict)
    account_by_api_key: dict[str, Account] = dataclasses.field(default_factory=dict)
    account_by_name: dict[str, Account] = dataclasses.field(default_factory=dict)

    def may_have_workers(self, service: str) -> bool:
        """Return whether entries of workers may name a service.

        An entry of another one may be of another writer. Without a list of services all
        are known, and so is that of a worker known only from the store, which is empty.
        """
        names = {row.name for row in self.services}
        return not names or not service or service in names

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix of ``path``, or None."""
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


def make_config(
    version: int,
    queues: tuple[Queue, ...] = (),
    services: tuple[Service, ...] = (),
    accounts: tuple[Account, ...] = (),
    max_body_bytes: int = 262_144,
    max_header_bytes: int = 16_384,
    evacuated_domains: frozenset[str] = frozenset(),
) -> CellConfig:
    """Make a configuration with its look-up tables.

    The queues of a host are sorted by the length of their prefix, the longest first.
    """
    rv = CellConfig(
        version,
        queues,
        services,
        accounts,
        max_body_bytes,
        max_header_bytes,
        evacuated_domains,
    )
    for queue in queues:
        rv.queues_by_host.setdefault(queue.host, []).append(queue)
        rv.queue_by_name[queue.name] = queue
    for host_queues in rv.queues_by_host.values():
        host_queues.sort(key=lambda queue: -len(queue.path_prefix))
    for account in accounts:
        rv.account_by_name[account.name] = account
        rv.account_by_api_key.update(dict.fromkeys(account.api_keys, account))
    return rv
