"""The states of requests, the outcomes of tasks, and what may be asked of both."""

import enum
import typing as t

from bulrushspur_kernel.errors import Ran


class TaskOutcome(enum.StrEnum):
    """How a task ended for the process that started it."""

    DONE = "done"
    # The worker answered with a failure.
    FAILED = "failed"
    # It certainly did not run.
    NOT_STARTED = "not_started"
    # It runs on by itself.
    DETACHED = "detached"
    # It may have run.
    LOST = "lost"


class TaskAction(enum.StrEnum):
    """What an owner asks of a running task."""

    STOP = "stop"
    CHECKPOINT = "checkpoint"


class RequestState(enum.StrEnum):
    """The state of a request, as its home and its callers are told it."""

    WAITING = "waiting"
    RUNNING = "running"
    CLAIMED = "claimed"
    STARTED = "started"
    LOST = "lost"
    FAILED = "failed"
    DONE = "done"
    NOT_RUN = "not_run"


class RequestAction(enum.StrEnum):
    """What a caller asks of a request that was taken before."""

    STATE = "state"
    ANSWER = "answer"
    CANCEL = "cancel"


def state_of(ran: Ran) -> RequestState:
    """Name the last state of a request that was refused."""
    return _STATES[ran]


def ran_of(state: RequestState) -> Ran:
    """Tell whether a request in this state ran; in doubt maybe."""
    return _RAN.get(state, Ran.MAYBE)


_STATES: t.Final = {
    Ran.NO: RequestState.NOT_RUN,
    Ran.MAYBE: RequestState.LOST,
    Ran.YES: RequestState.FAILED,
}
_RAN: t.Final = {
    RequestState.DONE: Ran.YES,
    RequestState.FAILED: Ran.YES,
    RequestState.NOT_RUN: Ran.NO,
}
