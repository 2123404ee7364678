"""What an adapter to a platform offers; it registers itself under its module's name."""

import dataclasses
import typing as t

from bulrushspur_kernel.http_exchange import Exchange, Request
from bulrushspur_kernel.plugins import lookup
from bulrushspur_kernel.store import Store, StoredRecord

if t.TYPE_CHECKING:
    from bulrushspur_scheduler.config import CellConfig
    from bulrushspur_scheduler.jobs import StepKey, TaskKey
    from bulrushspur_scheduler.reports import StartResult, WorkerReport
    from bulrushspur_scheduler.workers import WorkerEntry

ADAPTER_POINT: t.Final = "adapter"
INTERFACE_POINT: t.Final = "interface"


class StaleTermError(Exception):
    """Tell that a worker has heard a later term."""


class IncarnationMismatchError(Exception):
    """Tell that another life of the worker, or another worker, answered."""


class WorkerUnresponsiveError(Exception):
    """Tell that a worker did not answer; an order may still be carried out."""


class AdviceUnavailableError(Exception):
    """Tell that the advice service gave no answer."""


class IncarnationsUnavailableError(Exception):
    """Tell that the platform did not list the lives of workers."""


class WorkerClient(t.Protocol):
    """Orders to one worker."""

    async def start_run(
        self,
        key: "TaskKey",
        run_number: int,
        payload: str,
        lease_until_ms: int,
        term: int,
        checkpoint: str,
        ticket: str,
    ) -> tuple["StartResult", int | None]:
        """Start a run; return the answer and the worker's clock."""
        ...

    async def stop_run(self, key: "TaskKey", run_number: int, term: int) -> bool:
        """Stop a run; tell whether the worker answered."""
        ...

    async def renew_lease(
        self,
        lease_until_ms: int | None,
        term: int,
        acknowledged_end_sequence: int,
        wait_ms: int,
    ) -> "WorkerReport":
        """Extend the lease and list runs; raises the errors of this module."""
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


@dataclasses.dataclass(frozen=True)
class CallerInterface:
    """How operators configure the cell, and how callers speak to it.

    ``fold_config`` makes a configuration of the records of the topic by key, and of the
    offset where it ends; None where there is none yet. It raises ValueError where they
    cannot be read.
    """

    config_topic: str
    build_config: t.Callable[[t.Mapping[str, StoredRecord], int], "CellConfig | None"]
    handle_caller: t.Callable[[t.Any, Request, Exchange], t.Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Adapter:
    """The functions through which the product speaks to a platform."""

    make_store: t.Callable[[str], Store]
    make_worker_client: t.Callable[["WorkerEntry"], WorkerClient]
    request_advice: t.Callable[
        [t.Any, "StepKey", t.Sequence[str]],
        t.Awaitable[tuple[list[tuple[str, str]], float]],
    ]
    # Lists the ids of all lives of workers; raises LivesUnavailableError.
    list_incarnations: t.Callable[[t.Any], t.Awaitable[frozenset[str]]]
    workers_topic: str
    decode_worker: t.Callable[[str, bytes], "WorkerEntry | None"]
    interface: CallerInterface


def load_adapter(name: str) -> Adapter:
    """Import an adapter and return it; raises LookupError."""
    import importlib

    importlib.import_module(name)
    found = lookup(ADAPTER_POINT, name)
    if found is None:
        raise LookupError(f"{name} registers no adapter")
    return found
