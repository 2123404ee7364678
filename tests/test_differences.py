"""Tests of the difference between texts."""

import unittest

from bulrushspur_client.differences import list_differences


class DifferencesTest(unittest.TestCase):
    def test_items_go_by_name_and_not_by_place(self):
        older = {"teams": [{"name": "a", "share": 1}, {"name": "b", "share": 2}]}
        newer = {"teams": [{"name": "b", "share": 3}, {"name": "a", "share": 1}]}
        self.assertEqual(list_differences(older, newer), ["  $.teams[b].share: 2 -> 3"])

    def test_added_and_removed(self):
        rows = list_differences({"x": 1, "y": [1]}, {"x": 1, "z": True})
        self.assertEqual(rows, ["- $.y[1]: 1", "+ $.z: True"])
