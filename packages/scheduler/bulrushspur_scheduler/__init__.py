"""Decisions of the scheduler, without sockets and clocks."""
