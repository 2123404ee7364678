"""Test which lines of the log are dropped under load, and that their loss is told."""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import signal
import time
import unittest
from unittest import mock

from bulrushspur_daemon import lifecycle
from bulrushspur_kernel.log_importance import (
    DECISIVE_EVENTS,
    Importance,
    find_importance,
)
from bulrushspur_kernel.logs import (
    MAX_PENDING_BYTES,
    RESERVED_PENDING_BYTES,
    EventLog,
    LogSink,
)

PACKAGES = pathlib.Path(__file__).parent.parent / "packages"
# The name of an event where it is logged.
LOG_CALL = re.compile(r'\b(?:log|event)\(\s*f?"([^"]+)"')
# Slow enough that no token comes back within a test.
LINES_PER_S = 0.1
STOP_CALL = mock.call.event("stop", urgent=True)
# 400 lines with it fill the buffer of pending lines.
TEXT = "x" * 1000


class LogCase(unittest.TestCase):
    def setUp(self):
        self.read_fd, self.write_fd = os.pipe()
        self.addCleanup(self.close_fds)

    def close_fds(self):
        for fd in (self.read_fd, self.write_fd):
            with contextlib.suppress(OSError):
                os.close(fd)

    def make_log(self, lines_per_s):
        return EventLog("n0", LogSink(self.write_fd, lines_per_s))

    def read_rows(self, log):
        """Read all that the log has written or holds, as a reader that wakes up."""
        os.set_blocking(self.read_fd, False)
        data = b""
        while True:
            log.sink.flush()
            try:
                data += os.read(self.read_fd, 1 << 20)
            except BlockingIOError:
                return [json.loads(line) for line in data.splitlines()]

    def read_events(self, log):
        return [row["event"] for row in self.read_rows(log)]


class EncodingTest(LogCase):
    # Guards against: an error in logging ends what logs.
    def test_value_that_cannot_be_written_ends_nothing(self):
        log = self.make_log(LINES_PER_S * 100)
        log.event("odd", value="\udc80")
        (row,) = self.read_rows(log)
        self.assertIn("unwritable", row)


class RateTest(LogCase):
    # Guards against: a flood of starts drops the line that says why a job failed.
    def test_flood_of_ordinary_lines_drops_no_decisive_one(self):
        log = self.make_log(100.0)
        for _ in range(1000):
            log.event("start", job="a")
        for _ in range(40):
            log.event("finish", job="a", state="failed")
        self.assertEqual(self.read_events(log).count("finish"), 40)

    # Guards against: many lines about workers drop the one that says why a job failed.
    def test_flood_of_urgent_lines_drops_no_decisive_one(self):
        log = self.make_log(100.0)
        for _ in range(1000):
            log.event("worker_silent", urgent=True)
        for _ in range(40):
            log.event("finish", job="a", state="failed")
        self.assertEqual(self.read_events(log).count("finish"), 40)

    # Guards against: rejections of a burst take the processor time of a small VM.
    def test_flood_of_decisive_lines_is_bounded(self):
        log = self.make_log(LINES_PER_S * 100)
        began_s = time.monotonic()
        for _ in range(1000):
            log.event("reject", job="a")
        took_s = time.monotonic() - began_s
        # Two seconds of the rate, and a quarter of that in reserve.
        bound = LINES_PER_S * 100 * (2.5 + took_s) + 1
        self.assertLessEqual(self.read_events(log).count("reject"), bound)

    # Guards against: ordinary lines use up the reserve.
    def test_ordinary_lines_leave_the_reserve(self):
        log = self.make_log(10.0)
        began_s = time.monotonic()
        for _ in range(1000):
            log.event("start", job="a")
        took_s = time.monotonic() - began_s
        count = self.read_events(log).count("start")
        self.assertLessEqual(count, 10.0 * (2.0 + took_s) + 1)

    # Guards against: lines of terms and of dependencies are dropped by the rate.
    def test_urgent_lines_are_exempt_from_the_rate(self):
        log = self.make_log(LINES_PER_S)
        for _ in range(100):
            log.event("term_start", urgent=True)
            log.event("store_lost", urgent=True)
        events = self.read_events(log)
        self.assertEqual(events.count("term_start"), 100)
        self.assertEqual(events.count("store_lost"), 100)


class PendingTest(LogCase):
    # Guards against: while the reader is slow, ordinary lines take the whole buffer.
    def test_full_buffer_takes_decisive_lines(self):
        log = self.make_log(1e6)
        for _ in range(1000):
            log.event("start", job="a", text=TEXT)
        for _ in range(40):
            log.event("finish", job="a", text=TEXT)
        self.assertEqual(self.read_events(log).count("finish"), 40)

    # Guards against: lines about workers, exempt from the rate, take the whole buffer.
    def test_full_buffer_of_urgent_lines_takes_decisive_lines(self):
        log = self.make_log(1e6)
        for _ in range(1000):
            log.event("worker_silent", urgent=True, text=TEXT)
        for _ in range(40):
            log.event("finish", job="a", text=TEXT)
        self.assertEqual(self.read_events(log).count("finish"), 40)

    # Guards against: a process whose log nobody reads grows without end.
    def test_flood_of_decisive_lines_keeps_to_the_buffer(self):
        log = self.make_log(1e6)
        for _ in range(2000):
            log.event("finish", urgent=True, text=TEXT)
        most = MAX_PENDING_BYTES + RESERVED_PENDING_BYTES
        self.assertLessEqual(log.sink.pending_bytes, most)
        self.assertGreater(log.sink.pending_bytes, most - 2 * len(TEXT))


class DropReportTest(LogCase):
    def drop(self, log, ordinary, decisive):
        """Drop so many lines by the rate."""
        log.sink.budget.shared_tokens = log.sink.budget.reserved_tokens = 0.0
        for _ in range(ordinary):
            log.event("start", job="a")
        for _ in range(decisive):
            log.event("finish", job="a")

    # Guards against: nobody can tell whether a decisive line was dropped.
    def test_report_counts_both_kinds(self):
        log = self.make_log(LINES_PER_S)
        self.drop(log, 30, 4)
        log.event("store_lost", urgent=True)
        (report, line) = self.read_rows(log)
        self.assertEqual(line["event"], "store_lost")
        counts = {name: report[name] for name in ("lines", "ordinary", "decisive")}
        self.assertEqual(counts, {"lines": 34, "ordinary": 30, "decisive": 4})
        self.assertEqual((report["event"], report["process"]), ("log_dropped", "n0"))
        self.assertAlmostEqual(report["t"], time.time(), delta=60.0)

    # Guards against: a report without room forgets what it counted.
    def test_count_is_kept_while_the_buffer_is_full(self):
        log = self.make_log(1e6)
        for _ in range(1000):
            log.event("finish", urgent=True, text=TEXT)
        rows = self.read_rows(log)
        log.close()
        rows += self.read_rows(log)
        finish_count = sum(row["event"] == "finish" for row in rows)
        reports = [row for row in rows if row["event"] == "log_dropped"]
        self.assertLess(finish_count, 1000)
        reported_count = sum(row["decisive"] for row in reports)
        self.assertEqual(finish_count + reported_count, 1000)

    # Guards against: each line that a flood lets through has a report before it.
    def test_reports_of_a_flood_are_few(self):
        log = self.make_log(1000.0)
        began_s = time.monotonic()
        while time.monotonic() - began_s < 0.3:
            log.event("start", job="a")
        events = self.read_events(log)
        took_s = time.monotonic() - began_s
        self.assertGreater(events.count("start"), 2000)
        self.assertLessEqual(events.count("log_dropped"), took_s + 1)

    # Guards against: the lines that were dropped last before the end leave no trace.
    def test_count_is_reported_at_the_end(self):
        log = self.make_log(LINES_PER_S)
        self.drop(log, 3, 2)
        log.event("stop", urgent=True)
        self.drop(log, 5, 1)
        log.close()
        reports = [row for row in self.read_rows(log) if row["event"] == "log_dropped"]
        self.assertEqual(sum(row["ordinary"] for row in reports), 8)
        self.assertEqual(sum(row["decisive"] for row in reports), 3)

    # Guards against: a process whose log nobody reads does not end.
    def test_end_does_not_wait_for_a_reader(self):
        log = self.make_log(1e6)
        for _ in range(2000):
            log.event("finish", urgent=True, text=TEXT)
        began_s = time.monotonic()
        log.close()
        self.assertLess(time.monotonic() - began_s, 2.0)

    # Guards against: the end of a process whose log is closed fails.
    def test_end_without_a_reader_is_no_error(self):
        log = self.make_log(LINES_PER_S)
        self.drop(log, 3, 2)
        os.close(self.read_fd)
        log.close()


class ProcessEndTest(unittest.IsolatedAsyncioTestCase):
    def run_process(self, **parts):
        """Run a process of which only the log is real."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        loop = asyncio.get_running_loop()
        self.addCleanup(loop.remove_signal_handler, signal.SIGHUP)
        log = mock.Mock()
        report = mock.Mock()
        report.log_end.side_effect = lambda: log.event("stop", urgent=True)
        parts = {
            "configure_logging": mock.Mock(return_value=log),
            "make_process": mock.Mock(),
            "make_background_loops": mock.Mock(return_value=[]),
            "listen": mock.AsyncMock(),
            "shut_down": mock.AsyncMock(return_value=report),
            "end_process": mock.AsyncMock(),
            **parts,
        }
        patch = mock.patch.multiple(lifecycle, **parts)
        patch.start()
        self.addCleanup(patch.stop)
        return log, lifecycle.run_process(mock.Mock(), "")

    # Guards against: a process ends, and what it has dropped last is told nowhere.
    async def test_log_is_closed_after_its_last_line(self):
        log, running = self.run_process()
        task = asyncio.create_task(running)
        await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.wait_for(task, 10.0)
        self.assertEqual(log.mock_calls[-2:], [STOP_CALL, mock.call.close()])

    # Guards against: the same for a process that can't start.
    async def test_log_is_closed_after_a_failure(self):
        log, running = self.run_process(listen=mock.AsyncMock(side_effect=OSError))
        with self.assertRaises(OSError):
            await running
        self.assertEqual(log.mock_calls[-1], mock.call.close())


class ImportanceTest(unittest.TestCase):
    # Guards against: counted too little, and a dropped line, look the same in the log.
    def test_ends_and_crashes_that_are_not_counted_are_decisive(self):
        for event in ("foreign_end", "crash_withdrawn"):
            with self.subTest(event=event):
                importance = find_importance(event, {"how": "failed"})
                self.assertIs(importance, Importance.DECISIVE)

    # Guards against: the refusals of a stop push out what decides a job's fate.
    def test_refusals_of_a_stop_are_ordinary(self):
        importance = find_importance("caller_submit", {"outcome": "stopping"})
        self.assertIs(importance, Importance.ORDINARY)

    # Guards against: an event is renamed, and its lines are ordinary from then on.
    def test_decisive_events_are_names_of_the_log(self):
        events = set()
        for path in PACKAGES.rglob("*.py"):
            events.update(
                re.findall(r'\b(?:log|event)\(\s*f?"([^"]+)"', path.read_text())
            )
        events.remove("caller_{operation}")
        events.update({"caller_cancel", "caller_query", "caller_submit"})
        self.assertEqual(DECISIVE_EVENTS - events, set())

    # Guards against: starts and ends of usual runs use up what is kept for the others.
    def test_usual_lines_are_ordinary(self):
        for event, fields in (
            ("start", {"job": "a"}),
            ("stop", {"job": "a", "reason": "cancelled"}),
            ("end", {"job": "a", "how": "done"}),
            ("end", {"job": "a", "how": "stopped"}),
            ("caller_submit", {"job": "a", "outcome": "ok"}),
            ("caller_cancel", {"job": "a", "outcome": "ok"}),
            ("advice", {"job": "a"}),
            ("step_waits", {"job": "a"}),
            ("worker_silent", {"worker": "w"}),
        ):
            with self.subTest(event, **fields):
                self.assertIs(find_importance(event, fields), Importance.ORDINARY)

    # Guards against: a line that decides a job's or a request's fate is dropped early.
    def test_lines_that_decide_are_decisive(self):
        for event, fields in (
            ("accept", {"job": "a"}),
            ("reject", {"job": "a"}),
            ("cancel", {"job": "a"}),
            ("finish", {"job": "a", "state": "completed"}),
            ("job_given_up", {"job": "a"}),
            ("end", {"job": "a", "how": "failed"}),
            ("end", {"job": "a", "how": "lapsed"}),
            ("end", {"job": "a", "how": "broken"}),
            ("caller_submit", {"job": "a", "outcome": "rejected"}),
            ("caller_query", {"job": "a", "outcome": "unavailable"}),
            ("caller_cancel", {"job": "a", "outcome": "in_doubt"}),
            ("run_lost", {"job": "a"}),
            ("crash_of_trial", {"job": "a"}),
            ("worker_crashed", {"worker": "w"}),
            ("term_start", {"term": 1}),
            ("term_over", {"term": 1}),
            ("start", {"pid": 1}),
            ("stopping", {}),
            ("stop", {}),
        ):
            with self.subTest(event, **fields):
                self.assertIs(find_importance(event, fields), Importance.DECISIVE)
