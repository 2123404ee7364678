"""What must hold of calls and starts, told from both ends."""

import dataclasses
import typing as t

from bench.load import Result

# A connection may break this long after its door was killed.
BREAK_S: t.Final = 2.0


@dataclasses.dataclass
class Call:
    """A request as its caller saw it; times are monotonic."""

    team: str
    kind: str
    idempotent: bool
    serial: int
    request_id: str = ""
    door: str = ""
    sent_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    whole: bool = False
    refusal: dict[str, t.Any] | None = None
    error: str = "not sent: no door"

    def take(self, result: Result, now_s: float) -> None:
        """Note how the request ended."""
        self.ended_s = now_s
        self.status = result.status
        self.whole = result.whole
        self.refusal = result.refusal
        self.error = result.error


def check_calls(
    calls: list[Call],
    starts: dict[str, float],
    killed: dict[str, float],
    withdrawn: tuple[str, float],
) -> list[str]:
    """List what callers were told that is not so.

    ``starts`` tells which request ids workers saw started, ``killed`` when a door was
    killed, ``withdrawn`` the team without a key and since when.
    """
    rv = []
    for kind in sorted({one.kind for one in calls}):
        # Refusing everything would keep every other promise.
        if not any(one.whole for one in calls if one.kind == kind):
            rv.append(f"no request of kind {kind} was answered")
    for one in calls:
        name = f"{one.team} {one.kind} {one.serial} through {one.door}"
        if one.status == 200 and not one.whole:
            rv.append(f"{name}: the answer is not its own or not whole")
        if one.refusal and one.refusal["ran"] == "no" and one.request_id in starts:
            rv.append(f"{name}: told not run ({one.refusal['kind']}), but it ran")
        if one.whole and one.request_id not in starts:
            rv.append(f"{name}: answered, but no worker ran it")
        if one.error and not _broke_with_door(one, killed):
            rv.append(f"{name}: {one.error}")
        if one.whole and one.team == withdrawn[0] and one.sent_s > withdrawn[1]:
            rv.append(f"{name}: answered on a withdrawn key")
    return rv


def _broke_with_door(call: Call, killed: dict[str, float]) -> bool:
    at_s = killed.get(call.door, float("inf"))
    return call.sent_s - BREAK_S < at_s < call.ended_s + BREAK_S


def check_history(history: list[dict[str, t.Any]], limits: dict[str, int]) -> list[str]:
    """List requests that ran in two places at once, and teams above their limits."""
    rv = []
    events = []
    for row in history:
        events.append((row["started_s"], 1, row))
        if row["ended_s"] is not None:
            events.append((row["ended_s"], -1, row))
    running: dict[str, int] = {}
    peaks: dict[str, int] = {}
    # At equal times an end comes before a start.
    for _, step, row in sorted(events, key=lambda one: one[:2]):
        for name in (f"team {row['team']}", f"request {row['request_id']}"):
            running[name] = running.get(name, 0) + step
            peaks[name] = max(peaks.get(name, 0), running[name])
    for name, peak in sorted(peaks.items()):
        what, _, value = name.partition(" ")
        bound = 1 if what == "request" else limits.get(value, 0)
        if peak > bound:
            rv.append(f"{name} had {peak} tasks at once, bound {bound}")
    return rv
