"""Test that the ports chosen for a test can't be taken by its other sockets.

A port that was chosen, closed and given to another socket by the system made tests fail
with "address already in use".
"""

import pathlib
import socket
import unittest

from bench import ports

LOCAL_PORT_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class FreePortTest(unittest.TestCase):
    def test_ports_are_distinct_and_below_those_of_unnamed_sockets(self):
        chosen = [ports.find_free_port() for _ in range(200)]
        self.assertEqual(len(set(chosen)), 200)
        first_local_port = int(LOCAL_PORT_RANGE.read_text().split()[0])
        self.assertLess(ports.FIRST_PORT + ports.PORT_COUNT, first_local_port)
        self.assertLess(max(chosen), first_local_port)

    def test_port_in_use_is_passed_over(self):
        next_port = ports.find_free_port() + 1
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", next_port))
            self.assertNotEqual(ports.find_free_port(), next_port)
