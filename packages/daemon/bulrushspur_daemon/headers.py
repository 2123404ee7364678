"""Reads what a caller asks for from the headers of its request, and checks each."""

import dataclasses
import math
import re
import typing as t

from bulrushspur_kernel.errors import ErrorKind, Refusal
from bulrushspur_kernel.http_exchange import HttpError
from bulrushspur_kernel.text import Kind
from bulrushspur_kernel.work import Policy, Room, Work

LONGEST_S: t.Final = 7 * 24 * 3600.0
CORES_AT_MOST: t.Final = 4096.0
MEMORY_MB_AT_MOST: t.Final = 64 * 1024 * 1024
ACCELERATORS_AT_MOST: t.Final = 1024
SLOTS_AT_MOST: t.Final = 1024
TASKS_AT_MOST: t.Final = 4096
REQUEST_ID: t.Final = re.compile(r"[A-Za-z0-9._~-]{1,128}")

Given = dict[str, str]


@dataclasses.dataclass
class Asked:
    """What the headers ask for; ``answer_later`` is answered at once with the id."""

    work: Work
    has_id: bool
    answer_later: bool


def read_headers(given: Given, team: str, service: str, kind: Kind, name: str) -> Asked:
    """Read the work that a request asks for; raises HttpError.

    ``name`` is the request id where the caller gave none.
    """
    request_id = given.get("x-request-id", "")
    if request_id and not REQUEST_ID.fullmatch(request_id):
        what = "1 to 128 letters, digits or any of . _ ~ -"
        raise HttpError(_bad("X-Request-Id", request_id, what))
    tasks = _whole(given, "X-Tasks", 1, TASKS_AT_MOST, 1)
    if tasks > 1 and kind.policy is not Policy.GANG:
        raise HttpError(_bad("X-Tasks", str(tasks), "1: this kind is no gang"))
    work = Work(
        request_id or name,
        team,
        service,
        kind.name,
        kind.policy,
        kind.size,
        _yes_or_no(given, "X-Idempotent", True),
        _number(given, "X-Deadline-S", kind.deadline_s, LONGEST_S),
        _number(given, "X-Run-Time-S", kind.run_time_s, LONGEST_S),
        _read_room(given, kind.room),
        tasks,
    )
    return Asked(work, bool(request_id), _yes_or_no(given, "X-Answer-Later", False))


def _read_room(given: Given, declared: Room) -> Room:
    return Room(
        _whole(given, "X-Slots", 0, SLOTS_AT_MOST, declared.slots),
        _number(given, "X-Cores", declared.cores, CORES_AT_MOST),
        _whole(given, "X-Memory-MB", 1, MEMORY_MB_AT_MOST, declared.memory_mb),
        _whole(given, "X-Accelerators", 0, ACCELERATORS_AT_MOST, declared.accelerators),
    )


def _number(given: Given, name: str, default: float, at_most: float) -> float:
    value = given.get(name.lower())
    if value is None:
        return default
    try:
        rv = float(value)
    except ValueError:
        rv = math.nan
    if not 0 < rv <= at_most:
        what = f"a number above 0 and up to {at_most:g}"
        raise HttpError(_bad(name, value, what))
    return rv


def _whole(given: Given, name: str, at_least: int, at_most: int, default: int) -> int:
    value = given.get(name.lower())
    if value is None:
        return default
    if value.isascii() and value.isdigit() and len(value) < 12:
        rv = int(value)
        if at_least <= rv <= at_most:
            return rv
    what = f"a whole number from {at_least} to {at_most}"
    raise HttpError(_bad(name, value, what))


def _yes_or_no(given: Given, name: str, default: bool) -> bool:
    value = given.get(name.lower())
    if value is None:
        return default
    if value in ("yes", "no"):
        return value == "yes"
    raise HttpError(_bad(name, value, "yes or no"))


def _bad(name: str, value: str, what: str) -> Refusal:
    sentence = f"Header {name} is {value[:40]!r}: send {what}."
    return Refusal(ErrorKind.BAD_REQUEST, sentence)
