"""Count what client accounts have used over hours, and order them by it.

The input is the present usage of the accounts of a cell; the result is a level for
each, 0 for those within their share, which ranking uses among steps that are equal
otherwise. The load it answers: accounts that compete for too little room while some of
them have had far more of it for hours. Use is in seconds of the whole cell and decays.

"""

import dataclasses
import math
import typing as t

import msgspec

from bulrushspur_kernel.decoding import make_msgpack_decoder
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.resources import Resources, Usage

RECORD_VERSION: t.Final = 1
MAX_ACCOUNTS: t.Final = 5000
# Less is not worth a row of the record.
MIN_KEPT_S: t.Final = 0.001
# With less use in all, the parts say little.
MIN_TOTAL_S: t.Final = 5.0
# Up to this multiple of its share an account has level 0; each doubling adds one.
TOLERANCE: t.Final = 1.25
MAX_LEVEL: t.Final = 3


class PastUseRecord(msgspec.Struct, array_like=True):
    """The stored use of all accounts, at a time in Unix seconds."""

    version: int
    saved_unix_s: float
    rows: list[tuple[str, float]]


_decode_record = make_msgpack_decoder(PastUseRecord)


@dataclasses.dataclass
class PastUse:
    """The decayed use of each account, and the levels that follow from it."""

    half_life_s: float
    use_s: dict[str, float] = dataclasses.field(default_factory=dict)
    levels: dict[str, int] = dataclasses.field(default_factory=dict)

    def decay(self, elapsed_s: float) -> None:
        """Let all use decay by a time; a negative one counts as none."""
        factor = 0.5 ** (max(elapsed_s, 0.0) / self.half_life_s)
        self.use_s = {
            account: use_s * factor
            for account, use_s in self.use_s.items()
            if use_s * factor >= MIN_KEPT_S
        }

    def count(self, cell: Cell, elapsed_s: float) -> None:
        """Add the present usage of all accounts for a time, and set the levels."""
        self.decay(elapsed_s)
        capacity = _total_capacity(cell)
        for account, usage in cell.usage.items():
            share = dominant_share(usage, capacity)
            if share > 0 and elapsed_s > 0:
                use_s = self.use_s.get(account, 0.0)
                self.use_s[account] = use_s + share * elapsed_s
        self.levels = make_levels(self.use_s, _weights(cell, self.use_s))

    def level_of(self, account: str) -> int:
        """Return the level of an account; 0 goes first."""
        return self.levels.get(account, 0)


def make_past_use(half_life_s: float) -> PastUse | None:
    """Make an empty count; None if the half-life of 0 switches it off."""
    return PastUse(half_life_s) if half_life_s > 0 else None


def dominant_share(usage: Usage, capacity: Resources) -> float:
    """Return the largest share that a usage has of any resource."""
    shares = [
        in_use / total
        for in_use, total in (
            (usage.cpu_milli, capacity.cpu_milli),
            (usage.memory_mb, capacity.memory_mb),
            (usage.gpus, capacity.gpus),
        )
        if total > 0
    ]
    return max(shares, default=0.0)


def make_levels(
    use_s: t.Mapping[str, float], weights: t.Mapping[str, float]
) -> dict[str, int]:
    """Return the level of each account by its part of all use and of all weights."""
    total_s, total_weight = sum(use_s.values()), sum(weights.values())
    if total_s < MIN_TOTAL_S or total_weight <= 0:
        return {}
    rv = {}
    for account, used_s in use_s.items():
        share_s = total_s * weights.get(account, 0.0) / total_weight
        if share_s > 0 and used_s > TOLERANCE * share_s:
            level = math.ceil(math.log2(used_s / (TOLERANCE * share_s)))
            rv[account] = min(max(level, 1), MAX_LEVEL)
    return rv


def _total_capacity(cell: Cell) -> Resources:
    workers = [worker for worker in cell.workers.values() if worker.listed]
    return Resources(
        sum(worker.entry.capacity.cpu_milli for worker in workers),
        sum(worker.entry.capacity.memory_mb for worker in workers),
        sum(worker.entry.capacity.gpus for worker in workers),
    )


def _weights(cell: Cell, use_s: t.Mapping[str, float]) -> dict[str, float]:
    """Return the weights of the accounts that have used or want something."""
    wanting = {step.job.account for step in cell.waiting_steps.values()}
    rv = {}
    for name in wanting | use_s.keys():
        account = cell.account_of(name)
        # A weight of 0 is no limit; such an account counts like the usual one.
        rv[name] = account.weight if account and account.weight > 0 else 1.0
    return rv


def encode_past_use(past_use: PastUse, unix_s: float) -> bytes:
    """Encode the largest uses as the value of a record."""
    rows = sorted(past_use.use_s.items(), key=lambda row: -row[1])[:MAX_ACCOUNTS]
    rounded = [(account, round(use_s, 3)) for account, use_s in rows]
    return msgspec.msgpack.encode(PastUseRecord(RECORD_VERSION, unix_s, rounded))


def load_past_use(cell: Cell, past_use: PastUse, data: bytes, unix_s: float) -> None:
    """Take over what an earlier leader has stored; log a record that can't be used."""
    try:
        record = _decode_record(data)
        if record.version != RECORD_VERSION:
            raise ValueError(f"version {record.version} is not known")
        rows = {name: use_s for name, use_s in record.rows if 0 <= use_s < math.inf}
    except (msgspec.DecodeError, ValueError) as exc:
        cell.log("past_use_unreadable", reason=str(exc))
        return
    past_use.use_s = rows
    past_use.decay(unix_s - record.saved_unix_s)
    past_use.levels = make_levels(past_use.use_s, _weights(cell, past_use.use_s))
