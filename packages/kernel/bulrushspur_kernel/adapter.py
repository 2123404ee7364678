"""Define the interface between the product and the adapter to a platform.

An adapter is a module that registers an ``Adapter`` under its own name when imported:
clients of the store, the workers and the advice service, and the callers' interface.
The clients report failures of a platform with the exceptions defined here, with those
of the store interface, or with a ``StartResult``.
"""

import dataclasses
import typing as t

from bulrushspur_kernel.http_exchange import Exchange, Request
from bulrushspur_kernel.plugins import lookup
from bulrushspur_kernel.store import Store, StoredRecord

if t.TYPE_CHECKING:
    from bulrushspur_scheduler.config import CellConfig
    from bulrushspur_scheduler.job_specs import StepKey, TaskKey
    from bulrushspur_scheduler.order_results import StartResult
    from bulrushspur_scheduler.reports import WorkerReport
    from bulrushspur_scheduler.workers import WorkerEntry

ADAPTER_POINT: t.Final = "adapter"
INTERFACE_POINT: t.Final = "interface"


class StaleTermError(Exception):
    """Signal that a worker has received a request of a later term."""


class IncarnationMismatchError(Exception):
    """Signal that another incarnation of the worker, or another worker, answered."""


class WorkerUnresponsiveError(Exception):
    """Signal that a worker gave no usable answer; it may still execute the order."""


class AdviceUnavailableError(Exception):
    """Signal that the advice service gave no usable answer."""


class IncarnationsUnavailableError(Exception):
    """Signal that the platform did not list the incarnations of workers."""


class WorkerClient(t.Protocol):
    """A client that sends orders to one incarnation of a worker."""

    async def start_run(
        self,
        key: "TaskKey",
        run_number: int,
        payload: str,
        lease_until_ms: int,
        term: int,
        checkpoint: str,
        ticket: str,
        timeout_s: float,
        incarnation_start_ms: int,
    ) -> tuple["StartResult", int | None]:
        """Start a run; return the result and the worker's clock in ms if known.

        The order reaches only the incarnation that started at the given Unix time; 0
        stands for any.
        """
        ...

    async def stop_run(self, key: "TaskKey", run_number: int, term: int) -> bool:
        """Stop a run; return whether the worker acknowledged the order."""
        ...

    async def renew_lease(
        self,
        lease_until_ms: int | None,
        term: int,
        acknowledged_end_sequence: int,
        wait_ms: int,
    ) -> "WorkerReport":
        """Extend the lease and list the worker's runs, waiting up to ``wait_ms``.

        ``lease_until_ms`` is in ms of the worker's clock; None leaves the lease as it
        is. ``acknowledged_end_sequence`` is the number of the last reported end that
        is stored, which the worker need not list again; 0 acknowledges none. Raises
        StaleTermError, IncarnationMismatchError or WorkerUnresponsiveError.
        """
        ...

    def has_open_connection(self) -> bool:
        """Return whether the next renewal goes over the connection of the last one.

        Otherwise the next incarnation of the worker may answer it.
        """
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


@dataclasses.dataclass(frozen=True)
class IncarnationList:
    """The ids of all worker incarnations, and the machines, also those without one."""

    ids: frozenset[str]
    machines: frozenset[str]


@dataclasses.dataclass(frozen=True)
class CallerInterface:
    """The configuration format of operators and the request format of callers.

    ``build_config`` builds a configuration from the records of the topic by key and the
    offset where the topic ends. It returns None if there is no configuration yet, and
    raises ValueError if a record is invalid. ``handle_caller`` answers one request.
    """

    config_topic: str
    build_config: t.Callable[[t.Mapping[str, StoredRecord], int], "CellConfig | None"]
    handle_caller: t.Callable[[t.Any, Request, Exchange], t.Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Adapter:
    """The functions that connect the product to a platform."""

    make_store: t.Callable[[str], Store]
    make_worker_client: t.Callable[["WorkerEntry"], WorkerClient]
    # Takes a timeout in seconds. Returns the approved workers with their tickets, and
    # for how many seconds the tickets are valid; raises AdviceUnavailableError.
    request_advice: t.Callable[
        [t.Any, "StepKey", t.Sequence[str], float],
        t.Awaitable[tuple[list[tuple[str, str]], float]],
    ]
    # Raises IncarnationsUnavailableError.
    list_incarnations: t.Callable[[t.Any], t.Awaitable[IncarnationList]]
    workers_topic: str
    # Raises ValueError for an entry that cannot be used.
    decode_worker: t.Callable[[str, bytes], "WorkerEntry"]
    interface: CallerInterface


def load_adapter(name: str) -> Adapter:
    """Import an adapter and return it; raises LookupError if it registers none."""
    import importlib

    importlib.import_module(name)
    adapter = lookup(ADAPTER_POINT, name)
    if adapter is None:
        raise LookupError(f"module {name} does not register an adapter")
    return adapter
