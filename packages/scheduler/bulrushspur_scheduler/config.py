"""The configuration in force: queues, services and client accounts."""

import dataclasses
import typing as t

from bulrushspur_scheduler.resources import Resources

NO_CAP: t.Final = Resources()


@dataclasses.dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """How the placement advice service answers for a queue."""

    base_call_s: float
    per_worker_s: float
    ticket_valid_s: float

    def expected_call_s(self, workers: int) -> float:
        """Estimate the duration of one call that names ``workers`` workers."""
        return self.base_call_s + self.per_worker_s * workers


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs; priority 0 goes first."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 3
    stretch: float = 1.0
    target_latency_s: float = 1.0
    timeout_s: float = 3.0
    public: bool = False
    advice: AdvicePolicy | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account with its share when the cell is full; 0 means no limit."""

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
    queues_by_host: dict[str, list[Queue]] = dataclasses.field(default_factory=dict)
    queue_by_name: dict[str, Queue] = dataclasses.field(default_factory=dict)
    account_by_api_key: dict[str, Account] = dataclasses.field(default_factory=dict)
    account_by_name: dict[str, Account] = dataclasses.field(default_factory=dict)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Find the queue with the longest prefix of ``path``."""
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
) -> CellConfig:
    """Make a configuration with its look-up tables."""
    rv = CellConfig(
        version, queues, services, accounts, max_body_bytes, max_header_bytes
    )
    for queue in queues:
        rv.queues_by_host.setdefault(queue.host, []).append(queue)
        rv.queue_by_name[queue.name] = queue
    for same_host in rv.queues_by_host.values():
        same_host.sort(key=lambda one: -len(one.path_prefix))
    for account in accounts:
        rv.account_by_name[account.name] = account
        rv.account_by_api_key.update(dict.fromkeys(account.api_keys, account))
    return rv
