"""Test the list of differences between two texts."""

import unittest

from bulrushspur_client.differences import list_differences


class DifferencesTest(unittest.TestCase):
    def test_list_items_are_matched_by_name_not_by_index(self):
        older = {"teams": [{"name": "a", "share": 1}, {"name": "b", "share": 2}]}
        newer = {"teams": [{"name": "b", "share": 3}, {"name": "a", "share": 1}]}
        self.assertEqual(list_differences(older, newer), ["  $.teams[b].share: 2 -> 3"])

    def test_added_and_removed_fields(self):
        rows = list_differences({"x": 1, "y": [1]}, {"x": 1, "z": True})
        self.assertEqual(rows, ["- $.y[1]: 1", "+ $.z: True"])
