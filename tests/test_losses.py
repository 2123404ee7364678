"""Test how the time of late jobs is divided into stages from log lines.

The tests guard against causes that are counted wrong: a wait for a leader, for advice,
for room or for a lost run, and tasks that are long by themselves.
"""

import contextlib
import io
import json
import unittest

from bench.losses import (
    Stage,
    collect_jobs,
    divide_time,
    find_cause,
    parse_lines,
    print_losses,
    usual_stages,
)


def make_line(t, event, job="j1", **fields):
    return " 1.5 n0 " + json.dumps({"t": t, "event": event, "job": job, **fields})


def make_job_lines(job="j1", began_s=100.0, **waits_s):
    """Make the lines of a job of one task; ``waits_s`` has a wait by stage."""
    at_s = began_s + waits_s.get("leader", 0.01)
    lines = [make_line(at_s, "accept", job, queue="q", account="a", stored_ms=0)]
    lines.append(make_line(at_s, "caller_submit", job, took_ms=(at_s - began_s) * 1e3))
    at_s += waits_s.get("advice", 0.03)
    lines.append(make_line(at_s, "advice", job, step=0))
    at_s += waits_s.get("room", 0.01)
    lines.append(make_line(at_s, "start", job, task="0.0.0"))
    if "lost" in waits_s:
        at_s += waits_s["lost"]
        lines.append(make_line(at_s, "start", job, task="0.0.0"))
    ran_s = waits_s.get("run", 0.5)
    at_s += ran_s
    end = {"task": "0.0.0", "how": "done", "ran_ms": ran_s * 1e3}
    lines.append(make_line(at_s, "end", job, **end))
    finish = {"state": "completed", "queue": "q", "objective_ms": 1000, "path_ms": 500}
    lines.append(make_line(at_s, "finish", job, **finish))
    return lines


class LossesTest(unittest.TestCase):
    def find_causes(self, *jobs):
        lines = make_job_lines("usual", 90.0)
        for index, waits_s in enumerate(jobs):
            lines += make_job_lines(f"j{index}", 100.0 + index, **waits_s)
        rows = collect_jobs(parse_lines(lines))
        usual = usual_stages(rows.values())
        return [
            find_cause(rows[name], usual) for name in sorted(rows) if name != "usual"
        ]

    def test_each_wait_is_the_cause_of_its_job(self):
        causes = self.find_causes(
            {"leader": 2.0}, {"advice": 2.0}, {"room": 2.0}, {"lost": 2.0}
        )
        self.assertEqual(
            causes, [Stage.LEADER, Stage.ADVICE, Stage.ROOM, Stage.REPEATED_RUN]
        )

    def test_stages_add_up_to_the_time_of_the_job(self):
        lines = make_job_lines(leader=0.3, advice=0.2, room=0.4, lost=0.6)
        (job,) = collect_jobs(parse_lines(lines)).values()
        self.assertAlmostEqual(sum(divide_time(job).values()), job.took_s, 6)

    def test_job_is_not_late_for_tasks_that_are_long_by_themselves(self):
        (job,) = collect_jobs(parse_lines(make_job_lines(run=1.5))).values()
        self.assertFalse(job.is_late)

    def test_lines_that_cannot_be_read_are_left_out(self):
        lines = [*make_job_lines(), "no log line", ' x {"t": "soon", "event": 1}']
        with contextlib.redirect_stderr(io.StringIO()) as errors:
            rows = parse_lines(lines)
        self.assertEqual(len(collect_jobs(rows)), 1)
        self.assertEqual(errors.getvalue().count("left out"), 1)

    def test_tables_count_late_jobs_by_queue_and_window(self):
        lines = make_job_lines("j0", 100.0)
        lines += make_job_lines("j1", 103.0, advice=2.0)
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            print_losses(collect_jobs(parse_lines(lines)), 100.0)
        self.assertIn("completed 2, late 1", output.getvalue())
        row = next(r for r in output.getvalue().splitlines() if r.startswith("2 "))
        self.assertEqual(row.split()[:3], ["2", "1", "1"])


if __name__ == "__main__":
    unittest.main()
