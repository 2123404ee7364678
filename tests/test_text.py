"""Tests of the operators' text."""

import copy
import unittest

from bulrushspur_kernel.text import convert_text, order_by_dependencies

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
        self.assertEqual(order_by_dependencies(text), ["base", "top"])

    def service_faults(self, *services):
        return [str(one) for one in self.faults(services=list(services))]

    def test_unknown_field_has_path(self):
        team = {"name": "a", "share": 1, "limit_tasks": 5, "limit": 5}
        fault = self.faults(teams=[team])[0]
        self.assertEqual(fault.path, "$.teams[0].limit")
        self.assertIn("limit_tasks is perhaps meant", fault.sentence)

    def test_wrong_unit_names_the_field_that_is_meant(self):
        kind = {"name": "k", "memory_gb": 4}
        fault = self.service_faults({"name": "x", "team": "a", "kinds": [kind]})[0]
        self.assertIn("$.services[0].kinds[0].memory_gb", fault)
        self.assertIn("memory_mb is meant (unit: mb)", fault)

    def test_missing_dependency_and_team(self):
        service = {"name": "x", "team": "b", "depends_on": ["z"]}
        faults = self.service_faults(service)
        self.assertEqual(
            faults,
            [
                "$.services[0].team: team b is not in the text",
                "$.services[0].depends_on[0]: service z is not in the text",
            ],
        )

    def test_circle_is_named(self):
        services = [
            {"name": "w", "team": "a", "depends_on": ["x"]},
            {"name": "x", "team": "a", "depends_on": ["y"]},
            {"name": "y", "team": "a", "depends_on": ["x"]},
        ]
        fault = self.faults(services=services)[0]
        self.assertIn("circle: x -> y -> x", fault.sentence)
        self.assertEqual(fault.path, "$.services[1].depends_on")

    def test_limit_below_guarantee(self):
        team = {"name": "a", "share": 1, "limit_tasks": 5, "guaranteed_tasks": 6}
        self.assertEqual(self.faults(teams=[team])[0].path, "$.teams[0].limit_tasks")

    def test_limit_below_the_count_of_services(self):
        services = [{"name": one, "team": "a", "count": 3} for one in "xy"]
        fault = self.faults(services=services)[0]
        self.assertEqual(fault.path, "$.teams[0].limit_tasks")
        self.assertIn("services, 6", fault.sentence)

    def test_what_is_not_kept_yet_is_not_accepted(self):
        kinds = [{"name": "k", "policy": "gang"}]
        services = [{"name": "x", "team": "a", "count": 1, "kinds": kinds}]
        paths = [one.path for one in self.faults(services=services)]
        self.assertEqual(
            paths, ["$.services[0].count", "$.services[0].kinds[0].policy"]
        )

    def test_share_of_nothing(self):
        team = {"name": "a", "share": 1, "limit_tasks": 0}
        self.assertIn("share of nothing", self.faults(teams=[team])[0].sentence)
        team = {"name": "a", "share": 0, "limit_tasks": 5}
        self.assertEqual(self.faults(teams=[team])[0].path, "$.teams")

    def test_size_that_no_worker_has(self):
        largest = {"slots": 8, "cores": 4, "memory_mb": 100}
        kind = {"name": "k", "memory_mb": 101, "cores": 5}
        fault = self.faults(
            policy={"largest_worker": largest},
            services=[{"name": "x", "team": "a", "kinds": [kind]}],
        )[0]
        self.assertEqual(fault.path, "$.services[0].kinds[0]")
        self.assertIn("cores 5 of 4, memory_mb 101 of 100", fault.sentence)

    def test_size_of_nothing(self):
        kind = {"name": "k", "slots": 0, "cores": 0, "memory_mb": 0}
        faults = self.service_faults({"name": "x", "team": "a", "kinds": [kind]})
        self.assertIn("no room at all", faults[0])

    def test_open_kind_needs_its_team(self):
        kind = {"name": "k", "open": True}
        faults = self.service_faults({"name": "x", "team": "a", "kinds": [kind]})
        self.assertIn("$.services[0].kinds[0].open", faults[0])
