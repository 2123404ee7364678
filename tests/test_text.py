"""Test the checks of the operators' text and the order of its services.

They guard against an invalid text that is accepted, and against an issue that names the
wrong field or no reason.
"""

import copy
import unittest

from bulrushspur_kernel.text_checks import order_by_dependencies
from bulrushspur_kernel.text_parsing import convert_text

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
    def get_issues(self, **changes):
        """Return the issues of the valid text with some fields replaced."""
        data = copy.deepcopy(TEXT)
        data.update(changes)
        return convert_text(data).unwrap_err()

    def test_valid(self):
        text = convert_text(TEXT).unwrap()
        self.assertEqual(order_by_dependencies(text), ["base", "top"])

    def get_service_issues(self, *services):
        """Return the issues, as text, of the valid text with other services."""
        return [str(issue) for issue in self.get_issues(services=list(services))]

    def test_unknown_field_has_path(self):
        team = {"name": "a", "share": 1, "limit_tasks": 5, "limit": 5}
        issue = self.get_issues(teams=[team])[0]
        self.assertEqual(issue.path, "$.teams[0].limit")
        self.assertIn("limit_tasks is perhaps meant", issue.sentence)

    def test_wrong_unit_suggests_the_intended_field(self):
        kind = {"name": "k", "memory_gb": 4}
        issue = self.get_service_issues({"name": "x", "team": "a", "kinds": [kind]})[0]
        self.assertIn("$.services[0].kinds[0].memory_gb", issue)
        self.assertIn("memory_mb is meant (unit: mb)", issue)

    def test_missing_team_and_dependency(self):
        service = {"name": "x", "team": "b", "depends_on": ["z"]}
        issues = self.get_service_issues(service)
        self.assertEqual(
            issues,
            [
                "$.services[0].team: team b is not in the text",
                "$.services[0].depends_on[0]: service z is not in the text",
            ],
        )

    def test_dependency_cycle_is_listed(self):
        services = [
            {"name": "w", "team": "a", "depends_on": ["x"]},
            {"name": "x", "team": "a", "depends_on": ["y"]},
            {"name": "y", "team": "a", "depends_on": ["x"]},
        ]
        issue = self.get_issues(services=services)[0]
        self.assertIn("circle: x -> y -> x", issue.sentence)
        self.assertEqual(issue.path, "$.services[1].depends_on")

    def test_limit_below_guarantee(self):
        team = {"name": "a", "share": 1, "limit_tasks": 5, "guaranteed_tasks": 6}
        self.assertEqual(
            self.get_issues(teams=[team])[0].path, "$.teams[0].limit_tasks"
        )

    def test_limit_below_count_of_long_running_tasks(self):
        services = [{"name": name, "team": "a", "count": 3} for name in "xy"]
        issue = self.get_issues(services=services)[0]
        self.assertEqual(issue.path, "$.teams[0].limit_tasks")
        self.assertIn("services, 6", issue.sentence)

    def test_unsupported_count_and_policy_are_rejected(self):
        kinds = [{"name": "k", "policy": "gang"}]
        services = [{"name": "x", "team": "a", "count": 1, "kinds": kinds}]
        paths = [issue.path for issue in self.get_issues(services=services)]
        self.assertEqual(
            paths, ["$.services[0].count", "$.services[0].kinds[0].policy"]
        )

    def test_share_without_limit_and_no_share_at_all(self):
        team = {"name": "a", "share": 1, "limit_tasks": 0}
        self.assertIn("share of nothing", self.get_issues(teams=[team])[0].sentence)
        team = {"name": "a", "share": 0, "limit_tasks": 5}
        self.assertEqual(self.get_issues(teams=[team])[0].path, "$.teams")

    def test_kind_larger_than_the_largest_worker(self):
        largest = {"slots": 8, "cores": 4, "memory_mb": 100}
        kind = {"name": "k", "memory_mb": 101, "cores": 5}
        issue = self.get_issues(
            policy={"largest_worker": largest},
            services=[{"name": "x", "team": "a", "kinds": [kind]}],
        )[0]
        self.assertEqual(issue.path, "$.services[0].kinds[0]")
        self.assertIn("cores 5 of 4, memory_mb 101 of 100", issue.sentence)

    def test_kind_without_resources(self):
        kind = {"name": "k", "slots": 0, "cores": 0, "memory_mb": 0}
        issues = self.get_service_issues({"name": "x", "team": "a", "kinds": [kind]})
        self.assertIn("no room at all", issues[0])

    def test_open_kind_without_its_team(self):
        kind = {"name": "k", "open": True}
        issues = self.get_service_issues({"name": "x", "team": "a", "kinds": [kind]})
        self.assertIn("$.services[0].kinds[0].open", issues[0])
