"""The command ``bulrushspur``."""

import sys

import fire

from bulrushspur_client.commands import Commands
from bulrushspur_kernel.errors import BulrushspurError


def main() -> None:
    """Run one command and exit with its documented code."""
    try:
        fire.Fire(Commands, name="bulrushspur")
    except BulrushspurError as exc:
        sys.stderr.write(exc.show() + "\n")
        sys.exit(exc.exit_code)


if __name__ == "__main__":
    main()
