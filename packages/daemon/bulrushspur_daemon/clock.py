"""Clocks: steady time for durations, and one that also counts a suspended VM."""

import time


def monotonic_s() -> float:
    """Return seconds that pass while the VM runs."""
    return time.monotonic()


def boottime_s() -> float:
    """Return seconds that also pass while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_s() -> float:
    """Return the time of day in Unix seconds; it may jump."""
    return time.time()
