"""Choose the VM that makes a call of the placement advice service.

The service handles one call at a time from each calling VM, so every VM is a lane. Long
calls are limited to a part of the lanes, so that short calls do not wait behind them.
"""

import dataclasses
import math
import typing as t

MIN_LONG_CALL_S: t.Final = 0.25
LONG_CALL_LANE_SHARE: t.Final = 0.5
# A lane that becomes free within this time counts as free.
LANE_FREE_TOLERANCE_S: t.Final = 0.05
# A lane with so many calls takes no more.
MAX_QUEUED_CALLS: t.Final = 24


@dataclasses.dataclass(slots=True)
class Lane:
    """A VM that can call the service, and until when its calls keep it busy."""

    name: str
    busy_until_s: float = 0.0
    queued_calls: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LaneGroups:
    """The lanes for long calls, and those for short calls only."""

    long_call_lanes: list[Lane]
    short_call_lanes: list[Lane]


def split_lanes(lanes: list[Lane]) -> LaneGroups:
    """Divide the lanes by the calls that they make."""
    ordered = sorted(lanes, key=lambda lane: lane.name)
    split = math.ceil(len(ordered) * LONG_CALL_LANE_SHARE)
    return LaneGroups(ordered[:split], ordered[split:])


def count_free_long_call_lanes(groups: LaneGroups, now_s: float) -> int:
    """Return the number of lanes that can begin a long call now."""
    return sum(
        lane.busy_until_s <= now_s + LANE_FREE_TOLERANCE_S
        for lane in groups.long_call_lanes
    )


def choose_lane(groups: LaneGroups, call_s: float, now_s: float) -> Lane | None:
    """Return the lane that is free first for a call of ``call_s`` seconds, or None.

    Long calls use only their part of the lanes, and short calls only the rest, unless
    there is no rest. A lane with a full backlog takes no call.
    """
    allowed = (
        groups.long_call_lanes
        if call_s > MIN_LONG_CALL_S
        else (groups.short_call_lanes or groups.long_call_lanes)
    )
    available = [lane for lane in allowed if lane.queued_calls < MAX_QUEUED_CALLS]
    return min(
        available,
        key=lambda lane: (max(lane.busy_until_s, now_s), lane.queued_calls),
        default=None,
    )
