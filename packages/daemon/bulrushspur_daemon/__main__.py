"""Run an entry process: ``python -m bulrushspur_daemon SETTINGS.json``."""

import signal

# Its settings may change while it starts, which takes a part of a second; the signal
# would end it. It reads the settings after this.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from bulrushspur_daemon.main import main  # noqa: E402

main()
