"""Test which body is given up when the bodies of a server take too much memory.

The tests guard against a bound that is not kept, and against ordinary requests that are
refused because of others.
"""

import unittest

from bulrushspur_kernel.body_memory import SMALL_BODY_BYTES, BodyMemory

LARGE_BYTES = 10 * SMALL_BODY_BYTES


class BodyMemoryTest(unittest.TestCase):
    def setUp(self):
        self.memory = BodyMemory(2 * LARGE_BYTES)
        self.given_up = []

    def open(self, name, size_bytes):
        """Return a new body, and whether there was room for it."""
        body = self.memory.open(lambda: self.given_up.append(name))
        return body, self.memory.add(body, size_bytes)

    def test_largest_unfinished_body_is_given_up(self):
        self.open("smaller", LARGE_BYTES // 2)
        self.open("larger", LARGE_BYTES)
        _, has_room = self.open("last", LARGE_BYTES - 1)
        self.assertTrue(has_room)
        self.assertEqual(self.given_up, ["larger"])
        self.assertLessEqual(self.memory.held_bytes, self.memory.max_bytes)

    def test_body_that_is_the_largest_itself_has_no_room(self):
        self.open("first", LARGE_BYTES)
        _, has_room = self.open("last", LARGE_BYTES + 1)
        self.assertEqual((has_room, self.given_up), (False, []))
        self.assertEqual(self.memory.held_bytes, LARGE_BYTES)

    def test_body_that_has_come_whole_is_kept(self):
        for _ in range(2):
            body, _ = self.open("whole", LARGE_BYTES)
            self.memory.finish(body)
        _, has_room = self.open("large", LARGE_BYTES)
        self.assertFalse(has_room)
        _, has_room = self.open("small", SMALL_BODY_BYTES)
        self.assertTrue(has_room)
        self.assertEqual(self.given_up, [])

    def test_released_bodies_count_no_more(self):
        bodies = [self.open("large", LARGE_BYTES)[0] for _ in range(2)]
        for body in (*bodies, *bodies):
            self.memory.release(body)
        self.assertEqual(self.memory.held_bytes, 0)
        self.assertEqual(self.memory.unfinished, {})

    def test_crowd_of_small_bodies_is_not_given_up(self):
        for _ in range(100):
            self.assertTrue(self.open("small", SMALL_BODY_BYTES)[1])
        self.assertEqual(self.given_up, [])
