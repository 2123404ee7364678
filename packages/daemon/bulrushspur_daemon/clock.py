"""Read the clocks of the VM: two monotonic ones for durations, and the time of day."""

import time


def monotonic_s() -> float:
    """Return monotonic seconds, which stand still while the VM is suspended."""
    return time.monotonic()


def boottime_s() -> float:
    """Return monotonic seconds, which count on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_s() -> float:
    """Return the time of day in Unix seconds; it may jump forwards or back."""
    return time.time()
