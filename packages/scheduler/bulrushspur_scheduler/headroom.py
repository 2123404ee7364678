"""Keep CPU free for urgent work under the cap of a client account.

The load that this answers is an account whose long tasks could fill its cap: urgent
jobs that come in a burst would wait for as long as these run. The urgent CPU (that of
jobs of priority 0) in use goes in, and so much of it as is usual is kept free.
"""

import dataclasses
import math
import typing as t

if t.TYPE_CHECKING:
    from bulrushspur_scheduler.cell import Cell

# Weight of one observation; the first ones count alike.
SMOOTHING_FACTOR: t.Final = 0.02
# CPU kept under a cap: the mean urgent use of the account and so many of its standard
# deviations, limited to a share of the cap. An account has few urgent jobs at a time.
ACCOUNT_DEVIATIONS: t.Final = 1.0
MAX_CAP_SHARE: t.Final = 0.35


@dataclasses.dataclass(slots=True)
class UrgentCpu:
    """Urgent CPU in use, its moving mean and variance; in thousandths of a core."""

    in_use_milli: int = 0
    mean_milli: float = 0.0
    variance: float = 0.0
    observations: int = 0

    def observe(self) -> None:
        """Add what is in use now to the mean and the variance."""
        self.observations += 1
        gain = max(SMOOTHING_FACTOR, 1 / self.observations)
        delta = self.in_use_milli - self.mean_milli
        self.mean_milli += gain * delta
        self.variance = (1 - gain) * (self.variance + gain * delta * delta)


def add_urgent_cpu(cell: "Cell", account: str, cpu_milli: int) -> None:
    """Count CPU that an urgent run takes, or frees if it is negative."""
    urgent = cell.urgent_cpu_by_account.setdefault(account, UrgentCpu())
    urgent.in_use_milli += cpu_milli


def observe_urgent_cpu(cell: "Cell") -> None:
    """Observe the urgent CPU in use; call it at a constant interval."""
    for urgent in cell.urgent_cpu_by_account.values():
        urgent.observe()


def leaves_account_headroom(cell: "Cell", account: str, cpu_milli: int) -> bool:
    """Return whether ``cpu_milli`` more of lower priority leave room under the cap.

    They do if the account uses less than half of its cap, or runs nothing else of lower
    priority: its widest gangs may need all of the cap.
    """
    config = cell.account_of(account)
    urgent = cell.urgent_cpu_by_account.get(account)
    if config is None or urgent is None or not config.cap.cpu_milli:
        return True
    used = cell.usage_of(account).cpu_milli
    unobserved = cell.unobserved_usage.get(account)
    if unobserved is not None:
        used += unobserved.cpu_milli
    cap = config.cap.cpu_milli
    if used <= urgent.in_use_milli or 2 * used < cap:
        return True
    wanted = urgent.mean_milli + ACCOUNT_DEVIATIONS * math.sqrt(urgent.variance)
    wanted = min(wanted, cap * MAX_CAP_SHARE)
    headroom = max(wanted - urgent.in_use_milli, 0.0)
    return used + cpu_milli <= cap - headroom
