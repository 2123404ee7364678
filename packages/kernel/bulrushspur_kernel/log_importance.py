"""Tell which events of the log are the last to be dropped.

The name and the fields of an event go in, its importance comes out. Decisive events are
those without which two explanations of an incident can't be told apart: what became of
a job or a request, and who decided it.
"""

import collections.abc
import enum
import typing as t

Fields: t.TypeAlias = collections.abc.Mapping[str, t.Any]


class Importance(enum.Enum):
    """The importance of a line; each limit has a reserve for decisive ones."""

    ORDINARY = "ordinary"
    DECISIVE = "decisive"


# Of these, each line is decisive.
_DECISIVE_EVENTS: t.Final = frozenset(
    {
        # What a caller was told by the leader, and how its job ended.
        "accept",
        "accept_cancelled",
        "answer_unconfirmed",
        "cancel",
        "cancel_unknown",
        "finish",
        "job_given_up",
        "reject",
        "unanswered",
        # What counts against a job: lost runs, crashes, faults and unreadable records.
        "crash_of_trial",
        "crash_withdrawn",
        "foreign_end",
        "record_fault",
        "record_unreadable",
        "request_fault",
        "run_lost",
        "worker_crashed",
        # Who decided: terms and their ends.
        "claim",
        "leader_claim",
        "leader_lost",
        "term_fault",
        "term_over",
        "term_serving",
        "term_start",
        # Which processes there were.
        "fault",
        "stopping",
    }
)

# The usual ends of a run: as it should, or by a stop of the leader. They are many.
_USUAL_ENDS: t.Final = frozenset({"done", "stopped"})


def _is_of_the_process(fields: Fields) -> bool:
    """Return whether an event is about the process, not about a run of a job."""
    return "job" not in fields


def _is_unusual_end(fields: Fields) -> bool:
    return fields.get("how") not in _USUAL_ENDS


def _has_failed(fields: Fields) -> bool:
    """Return whether a caller got no success; the line ``stop`` counts refusals."""
    return fields.get("outcome") not in ("ok", "stopping")


# Of these, the lines are decisive whose fields satisfy the condition.
_CONDITIONS: t.Final[dict[str, t.Callable[[Fields], bool]]] = {
    "caller_cancel": _has_failed,
    "caller_query": _has_failed,
    "caller_submit": _has_failed,
    "end": _is_unusual_end,
    "start": _is_of_the_process,
    "stop": _is_of_the_process,
}

# All events that are decisive, always or on a condition.
DECISIVE_EVENTS: t.Final = _DECISIVE_EVENTS | _CONDITIONS.keys()


def find_importance(event: str, fields: Fields) -> Importance:
    """Return the importance of an event with these fields."""
    condition = _CONDITIONS.get(event)
    is_decisive = event in _DECISIVE_EVENTS if condition is None else condition(fields)
    return Importance.DECISIVE if is_decisive else Importance.ORDINARY
