"""Hold the state of the simulated store and of the simulated leaders."""

import dataclasses

from bulrushspur_scheduler.cell import Cell


@dataclasses.dataclass
class SimStore:
    """The store: records by key, worker ids, and the epoch that fences writers."""

    records: dict[str, bytes] = dataclasses.field(default_factory=dict)
    worker_ids: set[str] = dataclasses.field(default_factory=set)
    # Those of them that have answered a leader.
    answered_ids: set[str] = dataclasses.field(default_factory=set)
    epoch: int = 0
    unavailable_until_s: float = 0.0


@dataclasses.dataclass
class SimLeader:
    """A leader with its cell, which can be cut off from the store and from workers.

    The end sequences are, by worker, the number of the last end that is stored and of
    the last that is acknowledged. A worker is unverified from each lease renewal until
    it answers: it may have restarted. A leader that loads has fenced the store and read
    it, and does nothing else yet.
    """

    term: int
    cell: Cell
    authority_confirmed_s: float
    durable_end_sequences: dict[str, int] = dataclasses.field(default_factory=dict)
    acknowledged_end_sequences: dict[str, int] = dataclasses.field(default_factory=dict)
    unverified_workers: set[str] = dataclasses.field(default_factory=set)
    unreachable_workers: set[str] = dataclasses.field(default_factory=set)
    store_unreachable: bool = False
    ended: bool = False
    loading: bool = False
    unstored_jobs: set[str] = dataclasses.field(default_factory=set)
    # The stored list of workers, as it has read and changed it.
    recorded_worker_ids: set[str] = dataclasses.field(default_factory=set)
    answered_ids: set[str] = dataclasses.field(default_factory=set)
