"""Answer callers' requests: from local knowledge, or else from the leader.

Submissions, queries and cancellations go in; each gets one result with an outcome.
The queues, the API keys and the final job states that this process has passed on are
known here; the leader is asked for all else. A submission or cancellation that got no
reply but may have been stored is answered as in doubt; its caller may send it again.
While the process stops, what would take too long is refused at once.
"""

import dataclasses
import math
import typing as t

from bulrushspur_daemon.clock import boottime_s, monotonic_s, unix_s
from bulrushspur_daemon.config_watch import ConfigWatch
from bulrushspur_daemon.doubtful_requests import DoubtfulRequests
from bulrushspur_daemon.leader_client import (
    HEARTBEAT_TIMEOUT_S,
    LeaderClient,
    LeaderUnavailableError,
)
from bulrushspur_daemon.recent_durations import RecentDurations
from bulrushspur_daemon.stop_schedule import StopSchedule
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import Cancel, Outcome, Query, Reply, Submit
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.config import Account, Queue
from bulrushspur_scheduler.job_specs import JobSpec
from bulrushspur_scheduler.job_states import FINAL_STATES
from bulrushspur_scheduler.jobs import Job
from bulrushspur_scheduler.records import encode_job

# A new leader is expected within this time after the old one is lost.
MAX_LEADER_WAIT_S: t.Final = 1.0
RETRY_AFTER_S: t.Final = 1.0
# A submission that a leader may have received and that has no reply after this time is
# answered as in doubt; its caller may send it again.
SUBMIT_TIMEOUT_S: t.Final = 2.5
DEADLINE_MARGIN_S: t.Final = 0.1
# A caller told to come back is left time to come back this often before its deadline:
# what it waits for, such as the store, may return earlier than expected.
TRIES_BEFORE_DEADLINE: t.Final = 2
MIN_RETRY_AFTER_S: t.Final = 1.0
# Older counts of waiting jobs are not passed on.
MAX_COUNT_AGE_S: t.Final = 3.0
MAX_FINAL_RESULTS: t.Final = 5000
# The leader forgets a final state after a time; then another job may have the id.
MAX_FINAL_AGE_S: t.Final = 10.0

# The leader answers these after a write to the store.
STORING_OPERATIONS: t.Final = frozenset({"submit", "cancel"})
NOT_RUN_OUTCOMES: t.Final = frozenset({"unavailable", "stopping"})
STOPPING_REASON: t.Final = "this entry process stops"

ANONYMOUS_ACCOUNT: t.Final = Account("")

_FINAL_STATES: t.Final = frozenset(state.value for state in FINAL_STATES)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The answer to a caller.

    ``outcome`` is ok, rejected, unknown_job, unavailable, stopping or in_doubt;
    ``reason`` says why not ok, or why the job failed.
    """

    outcome: str
    state: str = ""
    reason: str = ""
    retry_after_s: float = 0.0


@dataclasses.dataclass
class Gateway:
    """Serve callers in an entry process."""

    config_watch: ConfigWatch
    leader_client: LeaderClient
    log: EventLog
    metrics: Metrics
    # With the time when the leader told them.
    final_results: dict[str, tuple[Result, float]] = dataclasses.field(
        default_factory=dict
    )
    # Set once the process stops.
    stop_schedule: StopSchedule | None = None
    # Of requests that the leader answers once they are stored.
    storing_durations: RecentDurations = dataclasses.field(
        default_factory=RecentDurations
    )
    doubtful_requests: DoubtfulRequests = dataclasses.field(
        default_factory=DoubtfulRequests
    )

    @property
    def has_config(self) -> bool:
        """Return whether a configuration is known."""
        return self.config_watch.current is not None

    async def catch_up(self) -> None:
        """Read the configuration again if this process has not for too long.

        While it stops, that ends when answers are due, so that requests get theirs.
        """
        if self.config_watch.is_behind():
            time_left_s = self.leader_client.find_time_left_s()
            await self.config_watch.catch_up(time_left_s)

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Answer all requests by the times of a stop, also those under way."""
        self.stop_schedule = schedule
        self.leader_client.limit_waits(lambda: schedule.remaining_s(boottime_s()))

    @property
    def max_body_bytes(self) -> int:
        """Return the size of the largest request body accepted."""
        current = self.config_watch.current
        return current.max_body_bytes if current is not None else 262_144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue that a path belongs to, or None."""
        current = self.config_watch.current
        return current.find_queue(host, path) if current is not None else None

    def authenticate(self, queue: Queue, key: str) -> Account | None:
        """Return the account of a key, or None if the key is unknown.

        A public queue accepts an unknown key as the anonymous account.
        """
        current = self.config_watch.current
        account = current.account_by_api_key.get(key) if current is not None else None
        if account is None and queue.public:
            return ANONYMOUS_ACCOUNT
        return account

    def count_waiting(self, queue: Queue) -> int | None:
        """Return the number of jobs of a queue of which no task has started.

        Returns None if no leader has told it recently: a leader that recovers does not
        know it yet.
        """
        client = self.leader_client
        if boottime_s() - client.waiting_jobs_s > MAX_COUNT_AGE_S:
            return None
        return client.waiting_jobs.get(queue.name, 0)

    async def submit(
        self, queue: Queue, account: Account, spec: JobSpec, deadline_s: float
    ) -> Result:
        """Submit a job; the outcome is in_doubt if it may be stored without a reply."""
        job = Job(
            spec,
            queue.name,
            queue.service,
            account.name,
            0.0,
            unix_s(),
            accepted_queue=queue,
        )
        record = encode_job(job)

        def make_request(request_id: int) -> Submit:
            return Submit(request_id, spec.id, queue.name, account.name, record)

        # The final state of a past job with this id.
        self.final_results.pop(spec.id, None)
        wait_s = min(deadline_s, SUBMIT_TIMEOUT_S)
        return await self._request("submit", spec.id, make_request, wait_s)

    async def query(self, job_id: str, deadline_s: float) -> Result:
        """Return the state of a job; final states are cached here for a while."""
        final_result, told_s = self.final_results.get(job_id, (None, 0.0))
        if final_result is not None and boottime_s() - told_s < MAX_FINAL_AGE_S:
            return final_result
        return await self._request(
            "query", job_id, lambda request_id: Query(request_id, job_id), deadline_s
        )

    async def cancel(self, account: Account, job_id: str, deadline_s: float) -> Result:
        """Cancel a job, or one that the account is still to submit."""

        def make_request(request_id: int) -> Cancel:
            return Cancel(request_id, job_id, account.name)

        return await self._request("cancel", job_id, make_request, deadline_s)

    async def cancel_without_queue(
        self, key: str, job_id: str, deadline_s: float
    ) -> Result:
        """Cancel a job whose queue no configuration has any more.

        It must be known, and belong to the account of the API key.
        """
        current = self.config_watch.current
        account = current.account_by_api_key.get(key) if current is not None else None
        name = (account or ANONYMOUS_ACCOUNT).name

        def make_request(request_id: int) -> Cancel:
            return Cancel(request_id, job_id, name, must_own=True)

        return await self._request("cancel", job_id, make_request, deadline_s)

    async def _request(
        self,
        operation: str,
        job_id: str,
        make_request: t.Callable[[int], t.Any],
        deadline_s: float,
    ) -> Result:
        began_s = monotonic_s()
        if self._comes_too_late(operation):
            result = Result("stopping", "", STOPPING_REASON, RETRY_AFTER_S)
        else:
            result = await self._ask_leader(operation, make_request, deadline_s)
        took_s = monotonic_s() - began_s
        if operation in STORING_OPERATIONS:
            self._learn_duration(result, min(took_s, deadline_s))
            result = self._keep_doubt(operation, job_id, result)
        if result.retry_after_s:
            remaining_s = began_s + deadline_s - monotonic_s()
            result = dataclasses.replace(
                result,
                retry_after_s=limit_retry_after_s(result.retry_after_s, remaining_s),
            )
        if result.state in _FINAL_STATES:
            self._cache_final_result(job_id, result)
        self.metrics.record_duration(f"caller_{operation}", took_s)
        self.metrics.count(f"caller_{operation}_{result.outcome}")
        if operation != "query" or result.outcome != "ok":
            self.log.event(
                f"caller_{operation}",
                job=job_id,
                outcome=result.outcome,
                reason=result.reason,
                took_ms=round(took_s * 1000),
                leader=self.leader_client.leader_name,
                term=self.leader_client.term,
                leader_age_ms=round(
                    min(self.leader_client.heartbeat_age_s(), 1e6) * 1000
                ),
            )
        return result

    def _learn_duration(self, result: Result, waited_s: float) -> None:
        if result.outcome in ("ok", "in_doubt"):
            # An answer in doubt tells that storing takes as long as was waited for it.
            waited_s = min(waited_s, SUBMIT_TIMEOUT_S)
            self.storing_durations.add(waited_s, boottime_s())

    def _keep_doubt(self, operation: str, job_id: str, result: Result) -> Result:
        """Return a result that does not say "not run" of what was in doubt before.

        Its caller sends it again; the try before may have been stored.
        """
        requests = self.doubtful_requests
        if result.outcome in NOT_RUN_OUTCOMES:
            if not requests.has(operation, job_id, boottime_s()):
                return result
            return dataclasses.replace(result, outcome="in_doubt")
        if result.outcome == "in_doubt":
            requests.add(operation, job_id, boottime_s())
        else:
            requests.forget(operation, job_id)
        return result

    def _comes_too_late(self, operation: str) -> bool:
        """Return whether the process stops before it could answer a request."""
        if self.stop_schedule is None:
            return False
        now_s = boottime_s()
        is_stored = operation in STORING_OPERATIONS
        expected_s = self.storing_durations.find_longest_s(now_s) if is_stored else 0.0
        return self.stop_schedule.must_refuse(expected_s, now_s)

    async def _ask_leader(
        self,
        operation: str,
        make_request: t.Callable[[int], t.Any],
        deadline_s: float,
    ) -> Result:
        wait_s = max(deadline_s - DEADLINE_MARGIN_S, 0.05)
        try:
            reply = await self.leader_client.request(
                make_request, wait_s, self._leader_wait_s()
            )
        except LeaderUnavailableError as exc:
            # A query changes nothing, so it is never in doubt.
            in_doubt = exc.in_doubt and operation in STORING_OPERATIONS
            outcome = "in_doubt" if in_doubt else "unavailable"
            return Result(outcome, "", "no leader answers", RETRY_AFTER_S)
        return _make_result(reply)

    def _leader_wait_s(self) -> float:
        """Return how long to wait for a new leader, less the time since the loss."""
        lost_s = max(self.leader_client.heartbeat_age_s() - HEARTBEAT_TIMEOUT_S, 0.0)
        return max(MAX_LEADER_WAIT_S - lost_s, 0.0)

    def _cache_final_result(self, job_id: str, result: Result) -> None:
        while len(self.final_results) >= MAX_FINAL_RESULTS:
            del self.final_results[next(iter(self.final_results))]
        self.final_results[job_id] = (result, boottime_s())


def limit_retry_after_s(expected_s: float, remaining_s: float) -> float:
    """Return when a caller should come back that has ``remaining_s`` seconds left.

    That is after ``expected_s``, or sooner where this is past its deadline; in whole
    seconds then, as they are told to callers. A caller without time for another try is
    told what is expected. The load is callers with short deadlines, in an outage that
    may end at any time.
    """
    if expected_s <= remaining_s - DEADLINE_MARGIN_S:
        return expected_s
    shared_s = (remaining_s - DEADLINE_MARGIN_S) / TRIES_BEFORE_DEADLINE
    limited_s = max(float(math.floor(shared_s)), MIN_RETRY_AFTER_S)
    return limited_s if limited_s < remaining_s else expected_s


def _make_result(reply: Reply) -> Result:
    outcomes = {
        Outcome.OK: "ok",
        Outcome.REJECTED: "rejected",
        Outcome.UNKNOWN_JOB: "unknown_job",
    }
    outcome = outcomes.get(reply.outcome, "unavailable")
    retry_after_s = reply.retry_after_s
    if outcome == "unavailable" and not retry_after_s:
        retry_after_s = RETRY_AFTER_S
    return Result(outcome, reply.state, reply.reason, retry_after_s)
