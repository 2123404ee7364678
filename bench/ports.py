"""Choose TCP ports of the loopback interface for processes that are started later.

The ports are below the range from which the system takes one for a socket that names
none, so no such socket can take a chosen port before its process does. No port is
chosen twice in a run, and runs side by side begin at different ones.
"""

import itertools
import os
import socket
import typing as t

FIRST_PORT: t.Final = 10_000
PORT_COUNT: t.Final = 20_000
# Runs whose process ids follow each other are this many ports apart.
PORTS_PER_RUN: t.Final = 211

_offsets = itertools.count(os.getpid() * PORTS_PER_RUN)


def find_free_port() -> int:
    """Return a port on which nothing listens; raises OSError if there is none."""
    for offset in itertools.islice(_offsets, PORT_COUNT):
        port = FIRST_PORT + offset % PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no port is free: end the processes that use them")
