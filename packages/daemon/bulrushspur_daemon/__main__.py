"""Run an entry process with ``python -m bulrushspur_daemon``."""

from bulrushspur_daemon.main import main

main()
