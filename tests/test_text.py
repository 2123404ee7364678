"""Tests of the operators' text."""

import copy
import unittest

from bulrushspur_kernel.text import convert_text, start_order

TEXT = {
    "cell": "hedgerow",
    "domains": [{"name": "north", "region": "midlands"}],
    "teams": [{"name": "a", "share": 1, "limit_tasks": 5}],
    "services": [
        {"name": "base", "team": "a"},
        {"name": "top", "team": "a", "depends_on": ["base"]},
    ],
}


class TextTest(unittest.TestCase):
    def faults(self, **changes):
        data = copy.deepcopy(TEXT)
        data.update(changes)
        return convert_text(data).unwrap_err()

    def test_valid(self):
        text = convert_text(TEXT).unwrap()
        self.assertEqual(start_order(text), ["base", "top"])

    def test_unknown_field_has_path(self):
        team = {"name": "a", "share": 1, "limit_tasks": 5, "limit": 5}
        fault = self.faults(teams=[team])[0]
        self.assertEqual(fault.path, "$.teams[0]")
        self.assertIn("limit", fault.sentence)

    def test_cycle(self):
        services = [
            {"name": "x", "team": "a", "depends_on": ["y"]},
            {"name": "y", "team": "a", "depends_on": ["x"]},
        ]
        self.assertIn("circle", self.faults(services=services)[0].sentence)

    def test_limit_below_guarantee(self):
        team = {"name": "a", "share": 1, "limit_tasks": 5, "guaranteed_tasks": 6}
        self.assertEqual(self.faults(teams=[team])[0].path, "$.teams[0].limit_tasks")
