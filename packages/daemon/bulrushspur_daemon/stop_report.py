"""Log what becomes of the callers' requests while a process stops."""

import collections
import dataclasses

from bulrushspur_daemon.clock import boottime_s
from bulrushspur_kernel.http_server import HttpServer, UnansweredRequest
from bulrushspur_kernel.logs import EventLog

# Statuses of responses that say that a request has not run, or may have.
REFUSED_STATUS = 503
IN_DOUBT_STATUSES = (502, 504)


@dataclasses.dataclass
class StopReport:
    """The responses of a server since a stop began; ``began_s`` counts suspension."""

    server: HttpServer
    log: EventLog
    began_s: float
    counts_before: collections.Counter[int]
    unanswered_count: int = 0

    def log_unanswered(self, request: UnansweredRequest) -> None:
        """Log that a request that was read got no answer."""
        self.unanswered_count += 1
        self.log.event(
            "unanswered",
            urgent=True,
            method=request.method,
            path=request.path[:200],
            age_ms=round(request.age_s * 1000),
            stopping_ms=self._duration_ms(),
            caller_disconnected=request.caller_disconnected,
        )

    def log_end(self) -> None:
        """Log that the process ends, and how its requests were answered."""
        counts = self.server.response_counts - self.counts_before
        refused = counts[REFUSED_STATUS]
        in_doubt = sum(counts[status] for status in IN_DOUBT_STATUSES)
        self.log.event(
            "stop",
            urgent=True,
            took_ms=self._duration_ms(),
            answered=counts.total() - refused - in_doubt,
            refused=refused,
            in_doubt=in_doubt,
            unanswered=self.unanswered_count,
        )

    def _duration_ms(self) -> int:
        return round((boottime_s() - self.began_s) * 1000)


def make_stop_report(server: HttpServer, log: EventLog, began_s: float) -> StopReport:
    """Make the report of a stop, and log the requests of a server without answer."""
    counts_before = collections.Counter(server.response_counts)
    report = StopReport(server, log, began_s, counts_before)
    server.on_unanswered = report.log_unanswered
    return report
