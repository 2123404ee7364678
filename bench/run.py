"""Run every measurement: ``make bench``, or ``make bench QUICK=1`` for a short one.

A measurement is a module of this package with ``measure(quick)``.
"""

import importlib
import os
import sys
import time
import typing as t

MODULES: t.Final[list[str]] = ["path", "takeover", "policy", "config"]


def main() -> int:
    """Run the measurements named on the command line, or all of them."""
    quick = bool(os.environ.get("QUICK"))
    for name in sys.argv[1:] or MODULES:
        started_s = time.monotonic()
        importlib.import_module(f"bench.{name}").measure(quick)
        print(f"{name} took {time.monotonic() - started_s:.1f} s", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
