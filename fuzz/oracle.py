"""The oracle: what must always hold, checked against what workers and callers see.

It is told of facts only: what a worker received, what a caller was told, what the log
holds. It knows nothing of rosters, permits or homes.
"""

import dataclasses
import typing as t

from bulrushspur_kernel.errors import Ran, Refusal
from bulrushspur_kernel.work import Room, TaskInfo

KEY_BOUND_S: t.Final = 5.0
LEAVING_BOUND_S: t.Final = 5.0
CONFIG_BOUND_S: t.Final = 14.0
ANSWER_SLACK_S: t.Final = 1.0


class Violation(AssertionError):  # noqa: N818
    """Something happened that must never happen."""


@dataclasses.dataclass
class Told:
    """What the caller of a ticket was promised and told."""

    request_id: str
    idempotent: bool
    due_s: float
    door: str
    final: str = ""
    ran: Ran | None = None
    starts: int = 0


@dataclasses.dataclass
class Oracle:
    """Facts so far, and the checks of the ten points."""

    tickets: dict[str, Told] = dataclasses.field(default_factory=dict)
    starts: dict[str, int] = dataclasses.field(default_factory=dict)
    limits: list[tuple[float, dict[str, int]]] = dataclasses.field(default_factory=list)
    versions: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    failed: bool = False

    def fail(self, point: str, sentence: str) -> t.NoReturn:
        """Report a violation of one of the ten points."""
        self.failed = True
        raise Violation(f"{point}: {sentence}")

    def started(
        self,
        worker: str,
        room: Room,
        running: t.Iterable[TaskInfo],
        everywhere: t.Mapping[str, int],
        task: TaskInfo,
        ticket: str,
        told: Told | None,
        limit: int,
    ) -> None:
        """Check a start that a worker received; ``running`` includes it."""
        used = Room()
        for one in running:
            used = used.plus(one.room)
        if not room.holds(used):
            self.fail("overcommit", f"{worker} holds {used} of {room}")
        if everywhere[task.team] > limit:
            count = everywhere[task.team]
            self.fail("limit", f"{task.team} runs {count} of {limit} on {worker}")
        if told is None:
            return
        told.starts += 1
        if told.ran is Ran.NO:
            self.fail("not run", f"{ticket} was told not run and starts on {worker}")
        if not told.idempotent:
            self.starts[told.request_id] = self.starts.get(told.request_id, 0) + 1
            if self.starts[told.request_id] > 1:
                self.fail("at most once", f"{told.request_id} starts again on {worker}")

    def one_place(self, task: TaskInfo, places: list[str]) -> None:
        """Check that a task does not run in two places."""
        if len(places) > 1:
            self.fail("one place", f"{task.task_id} runs on {places}")

    def answered(self, ticket: str) -> None:
        """Check the end of a request with its whole answer."""
        self._end(ticket, "answer")

    def refused(self, ticket: str, refusal: Refusal) -> None:
        """Check the end of a request with a refusal."""
        ran = refusal.ran
        told = self.tickets.get(ticket)
        if told is None:
            return
        if ran is Ran.NO and told.starts:
            self.fail(
                "not run", f"{ticket} ran {told.starts} times and is told not run"
            )
        told.ran = ran
        self._end(ticket, f"{refusal.kind.value}, ran {ran.value}")

    def _end(self, ticket: str, final: str) -> None:
        told = self.tickets.get(ticket)
        if told is None:
            return
        if told.final:
            self.fail("own answer", f"{ticket} ended twice: {told.final}, {final}")
        told.final = final

    def overdue(self, now_s: float, awake_s: t.Mapping[str, float]) -> None:
        """Check that every caller at a door that is awake was told in time."""
        for ticket, told in self.tickets.items():
            if told.final or told.door not in awake_s:
                continue
            late_s = now_s - max(told.due_s, awake_s[told.door])
            if late_s > ANSWER_SLACK_S:
                sentence = f"{ticket} has no end {late_s:.1f} s after its deadline"
                self.fail("own answer", sentence)

    def version_seen(self, name: str, boot: str, version: int) -> None:
        """Check that the version in force at a process only moves forward."""
        known = self.versions.get((name, boot), 0)
        if version < known:
            self.fail("config", f"{name} went back from version {known} to {version}")
        self.versions[(name, boot)] = version
