"""Run the command ``bulrushspurd``: read the settings, then run an entry process."""

import asyncio
import gc
import os
import sys

from bulrushspur_daemon.lifecycle import run_process
from bulrushspur_kernel.errors import BulrushspurError
from bulrushspur_kernel.settings import load_settings

SETTINGS_VARIABLE = "BULRUSHSPUR_SETTINGS"


def configure_garbage_collection() -> None:
    """Collect rarely, and never what was made before: a collection holds the loop."""
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)


def main() -> None:
    """Run an entry process with the settings file from the argument or the environment.

    Exits with 2 if no file is given, and with the error's exit code if it is refused.
    """
    path = sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        sys.stderr.write("Usage: bulrushspurd SETTINGS.json\n")
        sys.exit(2)
    try:
        settings = load_settings(path)
    except BulrushspurError as exc:
        sys.stderr.write(exc.format() + "\n")
        sys.exit(exc.exit_code)
    configure_garbage_collection()
    asyncio.run(run_process(settings, path))
