"""Tests of the headers of requests."""

import unittest

from bulrushspur_daemon.headers import read_headers
from bulrushspur_kernel.http_exchange import HttpError
from bulrushspur_kernel.text import Kind
from bulrushspur_kernel.work import Policy, Room

KIND = Kind("place", cores=2.0, memory_mb=100, deadline_s=30.0)
GANG = Kind("gang", policy=Policy.GANG)


def read(kind=KIND, **given):
    rows = {name.replace("_", "-"): value for name, value in given.items()}
    return read_headers(rows, "a", "coursework", kind, "north~1~ab")


class HeadersTest(unittest.TestCase):
    def test_text_declares_what_headers_leave_out(self):
        work = read().work
        self.assertEqual(work.room, Room(1, 2.0, 100, 0))
        self.assertEqual((work.deadline_s, work.request_id), (30.0, "north~1~ab"))

    def test_headers_go_before_the_text(self):
        asked = read(
            x_request_id="r.1",
            x_idempotent="no",
            x_cores="0.5",
            x_memory_mb="7",
            x_accelerators="2",
            x_deadline_s="1.5",
            x_answer_later="yes",
        )
        self.assertEqual(asked.work.room, Room(1, 0.5, 7, 2))
        self.assertEqual((asked.work.idempotent, asked.answer_later), (False, True))

    def test_bad_values_name_the_header_and_what_to_send(self):
        bad = [
            ("x_cores", "nan"),
            ("x_cores", "inf"),
            ("x_cores", "-1"),
            ("x_cores", "1e9"),
            ("x_memory_mb", "1.5"),
            ("x_memory_mb", "9" * 30),
            ("x_accelerators", "-1"),
            ("x_deadline_s", "0"),
            ("x_run_time_s", "soon"),
            ("x_idempotent", "maybe"),
            ("x_answer_later", "1"),
            ("x_tasks", "2"),
            ("x_request_id", "a b"),
            ("x_request_id", "a" * 129),
        ]
        for name, value in bad:
            with self.subTest(name=name, value=value):
                with self.assertRaises(HttpError) as caught:
                    read(**{name: value})
                sentence = caught.exception.refusal.sentence.lower()
                self.assertIn(name.replace("_", "-"), sentence)
                self.assertIn("send", sentence)

    def test_number_of_tasks_of_a_gang(self):
        self.assertEqual(read(GANG, x_tasks="12").work.tasks, 12)
