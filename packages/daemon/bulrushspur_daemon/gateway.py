"""Answer callers: check what can be known here, and ask the leader for the rest."""

import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s, unix_s
from bulrushspur_daemon.config_watch import ConfigWatch
from bulrushspur_daemon.leader_client import (
    HEARTBEAT_TIMEOUT_S,
    LeaderClient,
    LeaderUnavailableError,
)
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import Cancel, Outcome, Query, Reply, Submit
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.config import Account, Queue
from bulrushspur_scheduler.jobs import Job, JobSpec, JobState
from bulrushspur_scheduler.records import encode_job

# A new leader is expected within this time of the loss of the old one.
MAX_LEADER_WAIT_S: t.Final = 1.0
RETRY_AFTER_S: t.Final = 1.0
# A submission that is in doubt for so long is told so: its caller may send it again.
SUBMIT_TIMEOUT_S: t.Final = 1.5
DEADLINE_MARGIN_S: t.Final = 0.1
MAX_FINAL_STATES: t.Final = 5000

ANONYMOUS_ACCOUNT: t.Final = Account("")

_FINAL: t.Final = frozenset(
    one.value for one in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a caller is told; ``kind`` is ok, rejected, unavailable and the like."""

    outcome: str
    state: str = ""
    reason: str = ""
    retry_after_s: float = 0.0


@dataclasses.dataclass
class Gateway:
    """The callers' side of an entry process."""

    config_watch: ConfigWatch
    leader_client: LeaderClient
    log: EventLog
    metrics: Metrics
    final_states: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def has_config(self) -> bool:
        """Tell whether a configuration is known."""
        return self.config_watch.current is not None

    @property
    def max_body_bytes(self) -> int:
        """Return the largest body that is read."""
        current = self.config_watch.current
        return current.max_body_bytes if current is not None else 262_144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Find the queue that a path belongs to."""
        current = self.config_watch.current
        return current.find_queue(host, path) if current is not None else None

    def authenticate(self, queue: Queue, key: str) -> Account | None:
        """Return the account of a key; None where the key is not known."""
        current = self.config_watch.current
        found = current.account_by_api_key.get(key) if current is not None else None
        if found is None and queue.public:
            return ANONYMOUS_ACCOUNT
        return found

    def count_waiting(self, queue: Queue) -> int:
        """Return the number of jobs of a queue of which no task has started."""
        return self.leader_client.waiting_jobs.get(queue.name, 0)

    async def submit(
        self, queue: Queue, account: Account, spec: JobSpec, deadline_s: float
    ) -> Result:
        """Hand in a job."""
        job = Job(spec, queue.name, queue.service, account.name, 0.0, unix_s())
        record = encode_job(job)

        def make(number: int) -> Submit:
            return Submit(number, spec.id, queue.name, account.name, record)

        wait_s = min(deadline_s, SUBMIT_TIMEOUT_S)
        return await self._ask("submit", spec.id, make, wait_s)

    async def query(self, job_id: str, deadline_s: float) -> Result:
        """Tell the state of a job; a final one is remembered here."""
        known = self.final_states.get(job_id)
        if known is not None:
            return Result("ok", known)
        return await self._ask(
            "query", job_id, lambda number: Query(number, job_id), deadline_s
        )

    async def cancel(self, job_id: str, deadline_s: float) -> Result:
        """Cancel a job."""
        return await self._ask(
            "cancel", job_id, lambda number: Cancel(number, job_id), deadline_s
        )

    async def _ask(
        self,
        what: str,
        job_id: str,
        make: t.Callable[[int], t.Any],
        deadline_s: float,
    ) -> Result:
        began_s = monotonic_s()
        wait_s = max(deadline_s - DEADLINE_MARGIN_S, 0.05)
        try:
            reply = await self.leader_client.request(
                make, wait_s, self._leader_wait_s()
            )
            rv = _result(reply)
        except LeaderUnavailableError as exc:
            # Only a submission that may be stored is in doubt.
            in_doubt = exc.in_doubt and what == "submit"
            kind = "in_doubt" if in_doubt else "unavailable"
            rv = Result(kind, "", "no leader answers", RETRY_AFTER_S)
        if rv.state in _FINAL:
            self._remember(job_id, rv.state)
        took_s = monotonic_s() - began_s
        self.metrics.record_duration(f"caller_{what}", took_s)
        self.metrics.count(f"caller_{what}_{rv.outcome}")
        if what != "query" or rv.outcome != "ok":
            self.log.event(
                f"caller_{what}",
                job=job_id,
                outcome=rv.outcome,
                reason=rv.reason,
                took_ms=round(took_s * 1000),
                leader=self.leader_client.leader_name,
                term=self.leader_client.term,
                leader_age_ms=round(
                    min(self.leader_client.heartbeat_age_s(), 1e6) * 1000
                ),
            )
        return rv

    def _leader_wait_s(self) -> float:
        """Return how long to wait for a new leader, the less the longer it is gone."""
        gone_s = max(self.leader_client.heartbeat_age_s() - HEARTBEAT_TIMEOUT_S, 0.0)
        return max(MAX_LEADER_WAIT_S - gone_s, 0.0)

    def _remember(self, job_id: str, state: str) -> None:
        while len(self.final_states) >= MAX_FINAL_STATES:
            del self.final_states[next(iter(self.final_states))]
        self.final_states[job_id] = state


def _result(reply: Reply) -> Result:
    kinds = {
        Outcome.OK: "ok",
        Outcome.REJECTED: "rejected",
        Outcome.UNKNOWN_JOB: "unknown_job",
    }
    kind = kinds.get(reply.outcome, "unavailable")
    retry_after_s = reply.retry_after_s
    if kind == "unavailable" and not retry_after_s:
        retry_after_s = RETRY_AFTER_S
    return Result(kind, reply.state, reply.reason, retry_after_s)
