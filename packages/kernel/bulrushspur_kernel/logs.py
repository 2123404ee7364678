"""Structured logs on standard output: bounded in volume, and never blocking."""

import collections
import os
import time
import typing as t

import logbook
import msgspec

BURST_S: t.Final = 2.0
KEPT_BYTES: t.Final = 262_144

_encode = msgspec.json.Encoder().encode


class Sink:
    """A bounded, non-blocking writer of lines; what does not fit is counted."""

    def __init__(self, fd: int, lines_per_s: float) -> None:
        self.fd = fd
        self.lines_per_s = lines_per_s
        self.tokens = lines_per_s * BURST_S
        self.filled_s = time.monotonic()
        self.waiting: collections.deque[bytes] = collections.deque()
        self.waiting_bytes = 0
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, line: bytes, urgent: bool = False) -> None:
        """Write a line, or drop it where the bound on volume is reached."""
        now_s = time.monotonic()
        gained = (now_s - self.filled_s) * self.lines_per_s
        self.tokens = min(self.tokens + gained, self.lines_per_s * BURST_S)
        self.filled_s = now_s
        if self.tokens < 1 and not urgent:
            self.dropped += 1
            return
        self.tokens -= 1
        if self.dropped:
            line = b'{"event":"log_dropped","lines":%d}\n%s' % (self.dropped, line)
            self.dropped = 0
        self._push(line)
        self.flush()

    def _push(self, line: bytes) -> None:
        if self.waiting_bytes + len(line) > KEPT_BYTES:
            self.dropped += 1
            return
        self.waiting.append(line)
        self.waiting_bytes += len(line)

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self.waiting:
            line = self.waiting[0]
            try:
                written = os.write(self.fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more: there is no other place to say so.
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.waiting_bytes -= written
            if written < len(line):
                self.waiting[0] = line[written:]
                return
            self.waiting.popleft()


class EventLog:
    """Write one structured line for each decision of this process."""

    def __init__(self, process: str, sink: Sink) -> None:
        self.process = process
        self.sink = sink

    def event(self, event: str, urgent: bool = False, **fields: t.Any) -> None:
        """Write a line; ``urgent`` lines are kept beyond the bound on volume."""
        row = {"t": round(time.time(), 3), "process": self.process, "event": event}
        row.update(fields)
        self.sink.write(_encode(row) + b"\n", urgent)


def make_logger(part: str) -> logbook.Logger:
    """Make the logger of a part; ``part`` is the prefix of its sentences."""
    return logbook.Logger(part)


class _SinkHandler(logbook.Handler):
    """Pass records of the library's loggers on as structured lines."""

    def __init__(self, log: EventLog, level: str) -> None:
        super().__init__(level=level, bubble=False)
        self.log = log

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record."""
        fields = {
            "level": record.level_name,
            "part": record.channel,
            "sentence": record.message,
        }
        if record.exc_info:
            fields["trace"] = record.formatted_exception
        self.log.event("log", urgent=True, **fields)


def set_up_logs(
    process: str, level: str = "INFO", lines_per_s: float = 400.0, fd: int = 1
) -> EventLog:
    """Send all logs of this process to a file descriptor, standard output."""
    log = EventLog(process, Sink(fd, lines_per_s))
    _SinkHandler(log, level).push_application()
    return log
