"""Remember which requests were answered as in doubt, to say no "not run" of them later.

Operations and job ids go in and come out. At most MAX_REQUESTS are remembered, the
latest ones, for MAX_AGE_S each; times are seconds on one clock, whichever it is.
"""

import dataclasses
import typing as t

MAX_REQUESTS: t.Final = 5000
# Callers that send a request again do so well within this time.
MAX_AGE_S: t.Final = 60.0


@dataclasses.dataclass
class DoubtfulRequests:
    """Requests answered as in doubt, with the time of the latest such answer."""

    answered_s: dict[tuple[str, str], float] = dataclasses.field(default_factory=dict)

    def add(self, operation: str, job_id: str, now_s: float) -> None:
        """Remember a request that was answered as in doubt now."""
        self.answered_s.pop((operation, job_id), None)
        while len(self.answered_s) >= MAX_REQUESTS:
            del self.answered_s[next(iter(self.answered_s))]
        self.answered_s[operation, job_id] = now_s

    def forget(self, operation: str, job_id: str) -> None:
        """Forget a request of which the leader has told what became of it."""
        self.answered_s.pop((operation, job_id), None)

    def has(self, operation: str, job_id: str, now_s: float) -> bool:
        """Return whether a request was answered as in doubt not long ago."""
        answered_s = self.answered_s.get((operation, job_id))
        return answered_s is not None and now_s - answered_s < MAX_AGE_S
