"""Run the command ``bulrushspur``.

The result goes to standard output, an error to standard error, and the exit code is
that of the result or of the error's kind.
"""

import sys

import fire
import msgspec

from bulrushspur_client.commands import Commands
from bulrushspur_client.output import Output
from bulrushspur_kernel.errors import ANSWERS, BulrushspurError


def main() -> None:
    """Run one command and exit with its code."""
    try:
        rv = fire.Fire(Commands, name="bulrushspur", serialize=str)
    except BulrushspurError as exc:
        sys.stderr.write(_format_error(exc) + "\n")
        sys.exit(exc.exit_code)
    sys.exit(rv.exit_code if isinstance(rv, Output) else 0)


def _format_error(exc: BulrushspurError) -> str:
    if "--json" not in sys.argv:
        return exc.format()
    error = {
        "kind": exc.kind.value,
        "sentence": exc.sentence,
        "advice": ANSWERS[exc.kind].advice,
    }
    return msgspec.json.encode(error).decode()


if __name__ == "__main__":
    main()
