"""Test that no declaration of a job can make one leader after the other fail.

Each hostile body is either refused when it is parsed, or handled by a leader within
its time and memory, also by one that reads it from the store.
"""

import json
import time
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushspur_daemon import native_interface
from bulrushspur_platform import callers
from bulrushspur_scheduler.admission import check_admission
from bulrushspur_scheduler.job_bounds import (
    MAX_REPEAT_COUNT,
    MAX_STEPS,
    MAX_TASKS,
)
from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.jobs import Job, make_occurrence
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import add_job, start_all_due_occurrences
from bulrushspur_scheduler.progress_records import encode_progress
from bulrushspur_scheduler.records import decode_job, encode_job
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import make_test_cell

JOB_ID = "0123456789abcdef"
# A leader may not be busy with one request for longer.
MAX_HANDLING_S = 0.5
UNIX_S = 2e9


def make_body(repeat_count=0, interval_ms=0.0, start_at_ms=0.0, **step):
    return {
        "spec": "x",
        "steps": [{"count": 1, "cpu": 100, **step}],
        "repeat_count": repeat_count,
        "interval_ms": interval_ms,
        "start_at_ms": start_at_ms,
    }


HOSTILE_BODIES = {
    "very many tasks": make_body(count=10**9),
    "count beyond 64 bits": make_body(count=2**70),
    "cpu below 0": make_body(cpu=-5000),
    "memory below 0": make_body(mem_mb=-5000),
    "gpus below 0": make_body(gpu=-1),
    "cpu beyond 64 bits": make_body(cpu=2**70),
    "no resources": make_body(cpu=0),
    "estimate below 0": make_body(estimate_ms=-1e9),
    "estimate beyond all times": make_body(estimate_ms=1e308),
    "limit of tasks below 0": make_body(anti_affinity=-3),
    "target beyond all times": make_body(target_ms=1e308),
    "repeats very often": make_body(repeat_count=10**9),
    "repeats below 0": make_body(repeat_count=-5),
    "interval below 0": make_body(repeat_count=5, interval_ms=-5.0),
    "starts beyond all times": make_body(repeat_count=5, start_at_ms=1e308),
    "very long label": make_body(requires="x" * 200_000),
    "depends on itself": make_body(depends_on=[0]),
    "very many steps": {"spec": "x", "steps": [{"count": 1, "cpu": 1}] * 10_000},
}


def handle(spec):
    """Let a leader accept a job, plan it, store its progress and recover it."""
    data = encode_job(Job(spec, "heavy", "svc", "team", 10.0, UNIX_S))
    cell = make_test_cell(4)
    job = decode_job(spec.id, data, 10.0, UNIX_S)
    queue = cell.config.queue_by_name["heavy"]
    if check_admission(cell, queue, "team", job, 10.0) is not None:
        return cell
    if not job.is_repeating:
        make_occurrence(job, 0)
    add_job(cell, job, 10.0, UNIX_S)
    plan(cell, 10.0)
    start_all_due_occurrences(cell, 10.1, UNIX_S + 1)
    plan(cell, 10.2)
    encode_progress(cell, spec.id)
    return cell


class HostileBodyTest(unittest.TestCase):
    def test_hostile_bodies_are_refused_at_once(self):
        for name, body in HOSTILE_BODIES.items():
            with self.subTest(name):
                began_s = time.monotonic()
                with self.assertRaises(ValueError):
                    callers.parse_job(JOB_ID, json.dumps(body).encode())
                self.assertLess(time.monotonic() - began_s, MAX_HANDLING_S)

    def test_native_interface_refuses_them_too(self):
        for fields in (
            {"tasks": 10**9},
            {"cores": -4.0},
            {"memory_mb": -1},
            {"cores": 0.0, "memory_mb": 0},
            {"run_time_s": -1.0},
            {"tasks_a_worker": -1},
        ):
            with self.subTest(**fields), self.assertRaises(ValueError):
                body = json.dumps({"steps": [fields]}).encode()
                native_interface.parse_job(JOB_ID, body)

    def test_leader_reads_no_stored_job_beyond_the_bounds(self):
        step = StepSpec(10**9, Resources(100, 10))
        spec = JobSpec(JOB_ID, "x", (step,))
        data = encode_job(Job(spec, "heavy", "svc", "team", 10.0, UNIX_S))
        with self.assertRaises(msgspec.DecodeError):
            decode_job(JOB_ID, data, 10.0, UNIX_S)

    def test_largest_jobs_are_handled_in_time(self):
        each = Resources(100, 10)
        for spec in (
            JobSpec(JOB_ID, "x", (StepSpec(MAX_TASKS, each),)),
            JobSpec(JOB_ID, "x", (StepSpec(1, each),), 0.0, 0.0, MAX_REPEAT_COUNT),
            JobSpec(JOB_ID, "x", (StepSpec(MAX_TASKS, each),), 0.0, 0.0, 100),
        ):
            began_s = time.monotonic()
            cell = handle(spec)
            self.assertLess(time.monotonic() - began_s, MAX_HANDLING_S)
            (job,) = cell.jobs.values()
            task_count = sum(len(step.tasks) for step in job.steps())
            self.assertLessEqual(task_count, MAX_TASKS)


def any_step():
    number = st.integers(-(2**70), 2**70) | st.integers(-2, 12_000)
    duration = st.floats(allow_nan=False) | st.floats(0, 1e6)
    return st.fixed_dictionaries(
        {},
        optional={
            "count": number,
            "cpu": number,
            "mem_mb": number,
            "gpu": number,
            "estimate_ms": duration,
            "depends_on": st.lists(st.integers(-1, 4), max_size=3),
            "gang": st.booleans(),
            "requires": st.text(max_size=3),
            "anti_affinity": number,
            "checkpointing": st.booleans(),
            "long_running": st.booleans(),
            "target_ms": duration,
            "fills": st.booleans(),
        },
    )


class AnyBodyTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.lists(any_step(), max_size=4),
        st.integers(-(2**70), 2**70) | st.integers(0, 20_000),
        st.floats(allow_nan=False),
    )
    def test_what_is_parsed_a_leader_can_handle(self, steps, repeat_count, interval_ms):
        body = {
            "spec": "x",
            "steps": steps,
            "repeat_count": repeat_count,
            "interval_ms": interval_ms,
        }
        try:
            spec = callers.parse_job(JOB_ID, json.dumps(body).encode())
        except ValueError:
            return
        began_s = time.monotonic()
        cell = handle(spec)
        self.assertLess(time.monotonic() - began_s, MAX_HANDLING_S)
        for worker in cell.workers.values():
            self.assertLessEqual(worker.free.cpu_milli, 16_000)
            self.assertLessEqual(worker.free.memory_mb, 32_768)


if __name__ == "__main__":
    unittest.main()


class StepCountTest(unittest.TestCase):
    def read_fault(self, parse, steps):
        with self.assertRaises(ValueError) as caught:
            parse("0" * 16, json.dumps({"steps": steps}).encode())
        return str(caught.exception)

    # Guards against: steps of which there are far too many are all built.
    def test_steps_are_counted_before_they_are_read(self):
        for parse in (native_interface.parse_job, callers.parse_job):
            fault = self.read_fault(parse, [{"count": "x"}] * (MAX_STEPS + 1))
            self.assertIn(f"more than {MAX_STEPS} steps", fault)

    def test_fault_of_a_step_tells_its_place(self):
        fault = self.read_fault(callers.parse_job, [{}, {"cpu": "x"}])
        self.assertIn("`$.steps[1].cpu`", fault)
        fault = self.read_fault(native_interface.parse_job, [{}, {"x": 1}])
        self.assertIn("`$.steps[1]`", fault)
