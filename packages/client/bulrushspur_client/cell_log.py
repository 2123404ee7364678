"""The cell as the platform's log defines it, read and written by the client."""

import asyncio
import dataclasses
import time
import typing as t

from bulrushspur_core.cell import Cell, fold
from bulrushspur_core.snapshots import find_start
from bulrushspur_kernel import platform_log
from bulrushspur_kernel import records as rec
from bulrushspur_kernel.errors import BulrushspurError, PlatformDownError
from bulrushspur_kernel.metrics import Metrics

WAIT_S: t.Final = 5.0
AGAIN_S: t.Final = 0.3
OUTCOME_WAIT_S: t.Final = 15.0
TIMES_APPENDED: t.Final = 5


class OutcomeUnknownError(PlatformDownError):
    """Tell that an append may have landed and that the log could not be read."""


@dataclasses.dataclass
class Publication:
    """A text that was in force as ``version``; what a snapshot tells has no author."""

    version: int
    text: dict[str, t.Any]
    author: str = ""


@dataclasses.dataclass
class CellLog:
    """The folded cell, the texts that the log still has, and offsets by token."""

    cell: Cell = dataclasses.field(default_factory=Cell)
    texts: dict[int, Publication] = dataclasses.field(default_factory=dict)
    offsets: dict[str, int] = dataclasses.field(default_factory=dict)


async def read_cell(platform: str) -> CellLog:
    """Read and fold all that the log has; raises PlatformDownError."""
    try:
        return await _read_all(platform)
    except platform_log.LogError as exc:
        raise PlatformDownError(f"The log cannot be read: {exc}.") from exc


async def _read_all(platform: str) -> CellLog:
    entries: list[rec.Entry] = []
    reached = 0
    while True:
        page = await platform_log.read_log(platform, reached, WAIT_S)
        if page.first > reached:
            # The log forgot what was asked for: only what is kept still counts.
            entries = []
        entries += page.entries
        reached = max(page.reached, reached)
        if reached >= page.end:
            return _fold_all(entries, page.first, reached)


def _fold_all(entries: list[rec.Entry], first: int, reached: int) -> CellLog:
    rv = CellLog()
    if first > 0:
        start = find_start(entries, first, Metrics())
        if start is None:
            raise PlatformDownError(
                "The log has forgotten its start and holds no snapshot yet; "
                "entry processes that know the cell write one within a minute."
            )
        rv.cell = start
        _note_text(rv, "")
    for entry in entries:
        record = entry.record
        if record.token:
            rv.offsets[record.token] = entry.offset
        if fold(rv.cell, entry) and isinstance(record, rec.Published):
            _note_text(rv, record.author)
    rv.cell.next_offset = max(rv.cell.next_offset, reached)
    return rv


def _note_text(log: CellLog, author: str) -> None:
    cell = log.cell
    if cell.version:
        log.texts[cell.version] = Publication(cell.version, cell.raw_text, author)


async def append_and_see(platform: str, record: rec.Record) -> tuple[CellLog, bool]:
    """Append a record and read the log until its outcome is known.

    Tells whether the record took effect. Raises PlatformDownError where nothing was
    appended, OutcomeUnknownError where only a later look into the log can tell.
    """
    certain = await _append(platform, record)
    until_s = time.monotonic() + OUTCOME_WAIT_S
    while True:
        try:
            log = await read_cell(platform)
        except PlatformDownError:
            log = CellLog()
        took = log.cell.outcomes.get(record.token)
        if took is not None:
            return log, took
        if time.monotonic() > until_s:
            raise _unknown(record, certain)
        await asyncio.sleep(AGAIN_S)


async def _append(platform: str, record: rec.Record) -> bool:
    """Append; tell whether the platform said that it took the record."""
    for attempt in range(TIMES_APPENDED):
        try:
            await platform_log.append(platform, record, WAIT_S)
            return True
        except platform_log.NotAppendedError as exc:
            if attempt == TIMES_APPENDED - 1:
                raise PlatformDownError(f"Nothing was appended: {exc}.") from exc
            await asyncio.sleep(AGAIN_S)
        except platform_log.LogError:
            # It may have landed. A second append could take effect twice as well as
            # once, so only reading the log settles it.
            return False
    return False


def _unknown(record: rec.Record, certain: bool) -> BulrushspurError:
    what = type(record).__name__
    if certain:
        sentence = f"{what} was appended, but the log could not be read since."
    else:
        sentence = f"It is not known whether {what} was appended: no answer came."
    return OutcomeUnknownError(
        f"{sentence} Look before you try again: bulrushspur show."
    )
