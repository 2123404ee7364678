"""What the process around the decision code tells it, and what parts tell each other.

Events come from outside; signals pass between parts of one process.
"""

import dataclasses

from bulrushspur_kernel.errors import Refusal
from bulrushspur_kernel.messages import IdRecord
from bulrushspur_kernel.records import Entry
from bulrushspur_kernel.states import TaskOutcome
from bulrushspur_kernel.work import TaskInfo, Vm, Work


@dataclasses.dataclass(slots=True)
class Submitted:
    """A caller submitted work whose key was checked.

    ``digest`` names the team and the content. A body that is not ``replayable`` can be
    sent once. The answer of a ``kept`` request is asked for later, by its id.
    """

    ticket: str
    work: Work
    digest: str = ""
    replayable: bool = True
    kept: bool = False


@dataclasses.dataclass(slots=True)
class CancelAsked:
    """A caller cancelled, or went away from, its request."""

    ticket: str


@dataclasses.dataclass(slots=True)
class RecordAsked:
    """A caller asks for a request that this door did not take."""

    ticket: str
    request_id: str


@dataclasses.dataclass(slots=True)
class AnswerStarted:
    """The caller is sent the head of an answer; ``ticket`` is of the offer."""

    ticket: str


@dataclasses.dataclass(slots=True)
class AnswerDelivered:
    """The door has the whole answer of a request; ``ticket`` is of the offer."""

    ticket: str


@dataclasses.dataclass(slots=True)
class LogRead:
    """Records read from the log; ``asked_s`` is when the read was sent.

    ``first`` is the oldest offset kept, ``end`` the end of the log then; the entries
    are all of ours from the offset asked for to before ``reached``.
    """

    entries: list[Entry]
    first: int
    reached: int
    end: int
    asked_s: float


@dataclasses.dataclass(slots=True)
class AppendEnded:
    """An append was taken (``offset``), refused, or its answer was lost (both None)."""

    token: str
    offset: int | None = None
    refused: bool = False


@dataclasses.dataclass(slots=True)
class VmsListed:
    """The platform's lagging list of VMs."""

    vms: list[Vm]


@dataclasses.dataclass(slots=True)
class TasksListed:
    """What a worker runs and what ended there; None where it did not answer.

    It is true of some moment after ``asked_s`` (monotonic): a task that was not there
    yet when the worker was asked may be missing.
    """

    worker: str
    running: list[TaskInfo] | None
    ended: dict[str, str] = dataclasses.field(default_factory=dict)
    asked_s: float = 0.0


@dataclasses.dataclass(slots=True)
class TaskEnded:
    """A task that this process started has ended."""

    worker: str
    task_id: str
    ticket: str
    outcome: TaskOutcome
    status: int = 0
    run_time_s: float = 0.0


@dataclasses.dataclass(slots=True)
class StopAsked:
    """The process was told to stop gracefully."""


# Signals between parts.


@dataclasses.dataclass(slots=True)
class TextChanged:
    """Another version of the text is in force."""

    version: int


@dataclasses.dataclass(slots=True)
class KeysChanged:
    """A key was given or withdrawn."""


@dataclasses.dataclass(slots=True)
class RosterChanged:
    """The log has a newer roster of a failure domain."""

    domain: str
    epoch: int


@dataclasses.dataclass(slots=True)
class PartsChanged:
    """The log moved parts of upper limits between failure domains."""


@dataclasses.dataclass(slots=True)
class PeerSeen:
    """A process, or another incarnation of it, was heard of for the first time."""

    name: str
    boot: str


@dataclasses.dataclass(slots=True)
class PeerLost:
    """A process was not heard of for so long that its requests are given up."""

    name: str
    boot: str


@dataclasses.dataclass(slots=True)
class WorkerGained:
    """This process became the effective owner of a worker and knows what it runs.

    What it runs stands in the view's ``tasks``; ``adopted`` names those among them that
    another process, or another incarnation, has started.
    """

    worker: str


@dataclasses.dataclass(slots=True)
class WorkerDropped:
    """This process is no longer the owner of a worker; its tasks there run on."""

    worker: str


@dataclasses.dataclass(slots=True)
class WorkerLeaving:
    """A worker is listed as leaving: nothing new, and what it runs is to move."""

    worker: str


@dataclasses.dataclass(slots=True)
class WorkerGone:
    """A worker is no longer in the list of VMs, or another VM has its name."""

    worker: str


@dataclasses.dataclass(slots=True)
class PermitsArrived:
    """This process may start more tasks of some teams than before."""

    teams: list[str]


@dataclasses.dataclass(slots=True)
class IdSettled:
    """The home of a request id answered a claim, or could not be reached.

    ``fresh`` allows the start. Else ``refusal`` is what the caller is told, with the
    first ``record`` where there is one.
    """

    ticket: str
    fresh: bool
    record: IdRecord | None = None
    refusal: Refusal | None = None


@dataclasses.dataclass(slots=True)
class IdFound:
    """The home of a request id answered a query, or could not be reached."""

    ticket: str
    record: IdRecord | None = None
    refusal: Refusal | None = None


@dataclasses.dataclass(slots=True)
class IdCopied:
    """The second holder has the newest record of a request id."""

    request_id: str
