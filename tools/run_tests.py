"""Run the tests with nose2 and print a last line ``N passed, N failed``.

Failures that KNOWN-RED.txt lists are printed as ``known red`` and do not count as
failed. Arguments are passed on to nose2, for instance names of test modules.
"""

import pathlib
import re
import sys

import nose2

from tools.outcomes import outcome_by_test

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"


def read_known_failures(path: pathlib.Path) -> set[str]:
    """Return the ids of the tests that the file lists as known to fail."""
    if not path.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", path.read_text(), re.MULTILINE))


def main() -> int:
    """Run the tests below tests/; return 1 if any failed newly or none ran."""
    argv = ["nose2", "-s", "tests", "-t", str(ROOT), *sys.argv[1:]]
    argv += ["--plugin", "tools.outcomes"]
    program = nose2.main(module=None, exit=False, argv=argv)
    known_failures = read_known_failures(KNOWN_FAILURES_PATH)
    failed = sorted(
        test_id for test_id, outcome in outcome_by_test.items() if outcome == "failed"
    )
    new_failures = [test_id for test_id in failed if test_id not in known_failures]
    for test_id in failed:
        label = "FAILED" if test_id in new_failures else "known red"
        print(f"{label}: {test_id}")
    passed = sum(outcome == "passed" for outcome in outcome_by_test.values())
    skipped = sum(outcome == "skipped" for outcome in outcome_by_test.values())
    if skipped:
        print(f"skipped: {skipped}")
    # If the run failed without a failed test, the fault lies outside any test, such as
    # in loading a module. It has no test id that KNOWN-RED.txt could list.
    failed_outside_test = not failed and not program.result.wasSuccessful()
    print(
        f"{passed} passed, {len(new_failures) + failed_outside_test} failed", flush=True
    )
    return 1 if new_failures or failed_outside_test or not outcome_by_test else 0


if __name__ == "__main__":
    sys.exit(main())
