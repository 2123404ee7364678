"""Write structured logs, one JSON object a line, without blocking the process.

A token bucket limits the lines per second, and a buffer of limited size holds what the
reader has not taken yet. Lines beyond either limit are dropped and counted; the count
is logged before the next line that is written.
"""

import collections
import os
import time
import typing as t

import logbook
import msgspec

# Capacity of the token bucket, in seconds at the average rate.
BURST_S: t.Final = 2.0
MAX_PENDING_BYTES: t.Final = 262_144

_encode_json = msgspec.json.Encoder().encode


class LogSink:
    """A non-blocking writer of lines that drops and counts those beyond its limits."""

    def __init__(self, fd: int, lines_per_s: float) -> None:
        self.fd = fd
        self.lines_per_s = lines_per_s
        self.tokens = lines_per_s * BURST_S
        self.last_refill_s = time.monotonic()
        self.pending_lines: collections.deque[bytes] = collections.deque()
        self.pending_bytes = 0
        self.dropped_lines = 0
        os.set_blocking(fd, False)

    def write(self, line: bytes, urgent: bool = False) -> None:
        """Write a line, or drop it if a limit is reached.

        ``urgent`` lines are exempt from the limit on the rate, not from that on the
        buffer.
        """
        now_s = time.monotonic()
        refill = (now_s - self.last_refill_s) * self.lines_per_s
        self.tokens = min(self.tokens + refill, self.lines_per_s * BURST_S)
        self.last_refill_s = now_s
        if self.tokens < 1 and not urgent:
            self.dropped_lines += 1
            return
        self.tokens -= 1
        if self.dropped_lines:
            line = b'{"event":"log_dropped","lines":%d}\n%s' % (
                self.dropped_lines,
                line,
            )
            self.dropped_lines = 0
        self._enqueue(line)
        self.flush()

    def _enqueue(self, line: bytes) -> None:
        if self.pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            return
        self.pending_lines.append(line)
        self.pending_bytes += len(line)

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


class EventLog:
    """Write the events of one process as structured lines."""

    def __init__(self, process: str, sink: LogSink) -> None:
        self.process_name = process
        self.sink = sink

    def event(self, event: str, urgent: bool = False, **fields: t.Any) -> None:
        """Log an event; ``urgent`` events are exempt from the limit on the rate."""
        row = {"t": round(time.time(), 3), "process": self.process_name, "event": event}
        row.update(fields)
        try:
            line = _encode_json(row)
        except Exception as exc:
            # A line with a value that cannot be written must not end what logs it.
            line = _encode_json({"event": event, "unwritable": ascii(exc)})
        self.sink.write(line + b"\n", urgent)


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
