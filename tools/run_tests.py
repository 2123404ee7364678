"""Run the tests with nose2 and close with one line of counts."""

import pathlib
import re
import sys
import typing as t

import nose2

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red(path: pathlib.Path) -> set[str]:
    """Read the identifiers of the tests that are known to fail."""
    if not path.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", path.read_text(), re.MULTILINE))


def failed_ids(result: t.Any) -> list[str]:
    """List the identifiers of failed tests, subtests under their test."""
    rv = [test.id().split(" ")[0] for test, _ in result.failures + result.errors]
    rv += [test.id() for test in result.unexpectedSuccesses]
    return sorted(set(rv))


def main() -> int:
    """Run every test below tests/ and return the exit code."""
    argv = ["nose2", "-s", "tests", "-t", str(ROOT), *sys.argv[1:]]
    program = nose2.main(module=None, exit=False, argv=argv)
    result = program.result
    red = read_known_red(KNOWN_RED)
    failed = failed_ids(result)
    fresh = [name for name in failed if name not in red]
    for name in failed:
        label = "FAILED" if name in fresh else "known red"
        print(f"{label}: {name}")
    passed = max(result.testsRun - len(failed) - len(result.skipped), 0)
    if result.skipped:
        print(f"skipped: {len(result.skipped)}")
    print(f"{passed} passed, {len(fresh)} failed", flush=True)
    return 1 if fresh or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
