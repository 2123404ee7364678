"""Run the tests with nose2 and close with one line of counts."""

import pathlib
import re
import sys

import nose2

from tools.outcomes import outcome_by_test

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"


def read_known_failures(path: pathlib.Path) -> set[str]:
    """Read the identifiers of the tests that are known to fail."""
    if not path.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", path.read_text(), re.MULTILINE))


def main() -> int:
    """Run every test below tests/ and return the exit code."""
    argv = ["nose2", "-s", "tests", "-t", str(ROOT), *sys.argv[1:]]
    argv += ["--plugin", "tools.outcomes"]
    program = nose2.main(module=None, exit=False, argv=argv)
    red = read_known_failures(KNOWN_FAILURES_PATH)
    failed = sorted(name for name, one in outcome_by_test.items() if one == "failed")
    fresh = [name for name in failed if name not in red]
    for name in failed:
        label = "FAILED" if name in fresh else "known red"
        print(f"{label}: {name}")
    passed = sum(one == "passed" for one in outcome_by_test.values())
    skipped = sum(one == "skipped" for one in outcome_by_test.values())
    if skipped:
        print(f"skipped: {skipped}")
    # A failure outside any test, as in loading a module, has no name to pass over.
    unnamed = not failed and not program.result.wasSuccessful()
    print(f"{passed} passed, {len(fresh) + unnamed} failed", flush=True)
    return 1 if fresh or unnamed or not outcome_by_test else 0


if __name__ == "__main__":
    sys.exit(main())
