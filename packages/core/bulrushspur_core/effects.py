"""What the decision code asks the process around it to do."""

import dataclasses

from bulrushspur_kernel.errors import Refusal
from bulrushspur_kernel.messages import IdRecord, Message
from bulrushspur_kernel.records import Record
from bulrushspur_kernel.states import TaskAction
from bulrushspur_kernel.work import TaskInfo, Work


@dataclasses.dataclass(slots=True)
class Send:
    """Send a message to the entry process of that name."""

    to: str
    message: Message


@dataclasses.dataclass(slots=True)
class Append:
    """Append a record; its ``token`` tells its outcome in AppendDone and the log."""

    record: Record


@dataclasses.dataclass(slots=True)
class StartTask:
    """Start a task on a worker, after a last check of the authority of ``epoch``.

    ``door`` and ``ticket`` name the stream of the request body and of the answer.
    """

    worker: str
    epoch: int
    task: TaskInfo
    work: Work
    door: str
    ticket: str
    lease_s: float


@dataclasses.dataclass(slots=True)
class ActOnTask:
    """Ask something of a task that runs."""

    worker: str
    task_id: str
    action: TaskAction


@dataclasses.dataclass(slots=True)
class RenewTasks:
    """Renew the leases of tasks on a worker."""

    worker: str
    task_ids: list[str]
    lease_s: float


@dataclasses.dataclass(slots=True)
class ListTasks:
    """Ask a worker for what it runs; answered by TasksListed."""

    worker: str


@dataclasses.dataclass(slots=True)
class SendBody:
    """Send the body of a request to the owner that reserved room for it.

    ``offer`` is the ticket of this attempt, which names its streams.
    """

    ticket: str
    owner: str
    offer: str = ""


@dataclasses.dataclass(slots=True)
class BreakStreams:
    """Break the streams from and to a process that was lost."""

    peer: str


@dataclasses.dataclass(slots=True)
class Accept:
    """Tell a caller that asks for its answer later that its request is taken."""

    ticket: str


@dataclasses.dataclass(slots=True)
class TellRecord:
    """Tell what the home of a request id knows of it."""

    ticket: str
    record: IdRecord | None
    refusal: Refusal | None


@dataclasses.dataclass(slots=True)
class Resolve:
    """Give a caller its final refusal, at once."""

    ticket: str
    refusal: Refusal


@dataclasses.dataclass(slots=True)
class Tell:
    """Tell a waiting caller how long it is likely to wait."""

    ticket: str
    predicted_wait_s: float


Effect = (
    Send
    | Append
    | StartTask
    | ActOnTask
    | RenewTasks
    | ListTasks
    | SendBody
    | BreakStreams
    | Accept
    | TellRecord
    | Resolve
    | Tell
)
