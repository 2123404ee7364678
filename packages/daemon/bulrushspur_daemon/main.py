"""The command ``bulrushspurd SETTINGS``."""

from bulrushspur_daemon import slim  # noqa: F401

# isort: split

import asyncio
import sys

from bulrushspur_daemon.process import run_process
from bulrushspur_kernel.errors import BulrushspurError
from bulrushspur_kernel.logs import set_up_logs
from bulrushspur_kernel.settings import load_settings

USAGE = "Usage: bulrushspurd SETTINGS.json\nNext: see docs/SETTINGS.md for the file."


def main() -> None:
    """Run an entry process until SIGTERM."""
    if len(sys.argv) != 2 or sys.argv[1].startswith("-"):
        sys.stderr.write(USAGE + "\n")
        sys.exit(2)
    try:
        settings = load_settings(sys.argv[1])
    except BulrushspurError as exc:
        sys.stderr.write(exc.show() + "\n")
        sys.exit(exc.exit_code)
    set_up_logs(settings.name, settings.log.level, settings.log.json)
    asyncio.run(run_process(settings))


if __name__ == "__main__":
    main()
