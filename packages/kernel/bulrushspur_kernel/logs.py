"""Write structured logs, one JSON object a line, without blocking the process.

A token bucket limits the lines per second, and a buffer of limited size holds what the
reader has not taken yet. Both have a reserve for decisive lines. Lines beyond a limit
are dropped and counted by importance; the counts are logged once a second at most, and
at the end of the process.
"""

import collections
import os
import select
import time
import typing as t

import logbook
import msgspec

from bulrushspur_kernel.line_budget import LineBudget
from bulrushspur_kernel.log_importance import Importance, find_importance

MAX_PENDING_BYTES: t.Final = 262_144
# Beyond MAX_PENDING_BYTES, for decisive lines alone.
RESERVED_PENDING_BYTES: t.Final = 65_536
DROP_REPORT_INTERVAL_S: t.Final = 1.0
# How long the end of the process waits for the reader of the log.
CLOSE_TIMEOUT_S: t.Final = 0.2

_encode_json = msgspec.json.Encoder().encode


class LogSink:
    """A non-blocking writer of lines that drops and counts those beyond its limits."""

    def __init__(self, fd: int, lines_per_s: float) -> None:
        self.fd = fd
        self.budget = LineBudget(lines_per_s)
        self.pending_lines: collections.deque[bytes] = collections.deque()
        self.pending_bytes = 0
        # Of the lines that no report has counted yet.
        self.dropped_by_importance: collections.Counter[Importance] = (
            collections.Counter()
        )
        os.set_blocking(fd, False)

    @property
    def dropped_lines(self) -> int:
        """Return how many lines were dropped that no report has counted yet."""
        return self.dropped_by_importance.total()

    def admit(self, importance: Importance, urgent: bool) -> bool:
        """Return whether the rate admits a line; count it as dropped if not.

        ``urgent`` lines are exempt from the limit on the rate, not from that on the
        buffer.
        """
        is_admitted = self.budget.take(importance, time.monotonic(), urgent)
        if not is_admitted:
            self.dropped_by_importance[importance] += 1
        return is_admitted

    def write(self, line: bytes, importance: Importance) -> None:
        """Write a line that was admitted, or drop it if the buffer has no room."""
        if self._enqueue(line, importance):
            self.flush()
        else:
            self.dropped_by_importance[importance] += 1

    def write_drop_report(self, line: bytes) -> None:
        """Write the report of the dropped lines; they count on if it has no room."""
        if self._enqueue(line, Importance.DECISIVE):
            self.dropped_by_importance.clear()
            self.flush()

    def _enqueue(self, line: bytes, importance: Importance) -> bool:
        """Add a line to the buffer; return False if it has no room."""
        max_bytes = MAX_PENDING_BYTES
        if importance is Importance.DECISIVE:
            max_bytes += RESERVED_PENDING_BYTES
        if self.pending_bytes + len(line) > max_bytes:
            return False
        self.pending_lines.append(line)
        self.pending_bytes += len(line)
        return True

    def flush(self) -> None:
        """Write as many pending lines as the file descriptor accepts now."""
        while self.pending_lines:
            line = self.pending_lines[0]
            try:
                written = os.write(self.fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Nothing reads the log any more, and there is no other place to report
                # that.
                self.pending_lines.clear()
                self.pending_bytes = 0
                return
            self.pending_bytes -= written
            if written < len(line):
                self.pending_lines[0] = line[written:]
                return
            self.pending_lines.popleft()

    def flush_until(self, deadline_s: float) -> None:
        """Write the pending lines, and wait for the reader until ``deadline_s``."""
        poll = select.poll()
        poll.register(self.fd, select.POLLOUT)
        self.flush()
        while self.pending_lines:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0 or not poll.poll(remaining_s * 1000):
                return
            self.flush()


class EventLog:
    """Write the events of one process as structured lines."""

    def __init__(self, process: str, sink: LogSink) -> None:
        self.process_name = process
        self.sink = sink
        self.next_drop_report_s = 0.0

    def event(self, event: str, urgent: bool = False, **fields: t.Any) -> None:
        """Log an event; ``urgent`` events are exempt from the limit on the rate."""
        importance = find_importance(event, fields)
        if not self.sink.admit(importance, urgent):
            return
        if self.sink.dropped_by_importance:
            self._report_dropped_lines_at_interval()
        self.sink.write(self._encode(event, fields), importance)

    def close(self) -> None:
        """Write what is pending and the last report, within CLOSE_TIMEOUT_S."""
        deadline_s = time.monotonic() + CLOSE_TIMEOUT_S
        self.sink.flush_until(deadline_s)
        if self.sink.dropped_by_importance:
            self._report_dropped_lines()
            self.sink.flush_until(deadline_s)

    def _encode(self, event: str, fields: dict[str, t.Any]) -> bytes:
        row = {"t": round(time.time(), 3), "process": self.process_name, "event": event}
        row.update(fields)
        try:
            line = _encode_json(row)
        except Exception as exc:
            # A line with a value that cannot be written must not end what logs it.
            line = _encode_json({"event": event, "unwritable": ascii(exc)})
        return line + b"\n"

    def _report_dropped_lines_at_interval(self) -> None:
        now_s = time.monotonic()
        if now_s < self.next_drop_report_s:
            return
        self.next_drop_report_s = now_s + DROP_REPORT_INTERVAL_S
        self._report_dropped_lines()

    def _report_dropped_lines(self) -> None:
        dropped = self.sink.dropped_by_importance
        fields = {importance.value: dropped[importance] for importance in Importance}
        line = self._encode("log_dropped", {"lines": dropped.total(), **fields})
        self.sink.write_drop_report(line)


def make_logger(part: str) -> logbook.Logger:
    """Make the logger of a part of the process; its log lines name the part."""
    return logbook.Logger(part)


class _EventLogHandler(logbook.Handler):
    """Write the records of logbook's loggers as structured lines."""

    def __init__(self, log: EventLog, level: str) -> None:
        super().__init__(level=level, bubble=False)
        self.log = log

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record as an event."""
        fields = {
            "level": record.level_name,
            "part": record.channel,
            "sentence": record.message,
        }
        if record.exc_info:
            fields["trace"] = record.formatted_exception
        self.log.event("log", urgent=True, **fields)


def configure_logging(
    process: str, level: str = "INFO", lines_per_s: float = 400.0, fd: int = 1
) -> EventLog:
    """Send all logs of this process to a file descriptor (default: standard output)."""
    log = EventLog(process, LogSink(fd, lines_per_s))
    _EventLogHandler(log, level).push_application()
    return log
