"""The folded cell as it is written down: in a snapshot record, or for a peer."""

import typing as t

import msgspec

from bulrushspur_core.cell import Cell, Key, Roster
from bulrushspur_kernel import records as rec
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_kernel.text import convert_text

STATE_BYTES: t.Final = 2 * 1024 * 1024


class CellState(msgspec.Struct, omit_defaults=True):
    """Everything of a cell that folding further records depends on."""

    version: int = 0
    text: dict[str, t.Any] = {}
    keys: dict[str, Key] = {}
    withdrawn: dict[str, int] = {}
    rosters: dict[str, list[Roster]] = {}
    parts: dict[str, dict[str, int]] = {}
    debts: dict[str, dict[str, int]] = {}
    moves: dict[str, int] = {}
    changed_at: int = 0


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(CellState)


def make_state(cell: Cell) -> CellState:
    """Make the state of a cell, which shares its contents."""
    return CellState(
        cell.version,
        cell.raw_text,
        cell.keys,
        cell.withdrawn,
        cell.rosters,
        cell.parts,
        cell.debts,
        cell.moves,
        cell.changed_at,
    )


def encode_state(cell: Cell) -> bytes:
    """Encode a cell for a peer."""
    return _encoder.encode(make_state(cell))


def make_snapshot(cell: Cell, token: str) -> rec.Snapshot:
    """Make the record that repeats a cell."""
    return rec.Snapshot(cell.next_offset, msgspec.to_builtins(make_state(cell)), token)


def decode_state(data: bytes, next_offset: int) -> Cell | None:
    """Decode what a peer sent; None where it is too large or does not decode."""
    if len(data) > STATE_BYTES:
        return None
    try:
        return _make_cell(_decoder.decode(data), next_offset)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def read_snapshot(record: rec.Snapshot) -> Cell | None:
    """Make the cell of a snapshot; None where it does not decode."""
    try:
        return _make_cell(msgspec.convert(record.state, CellState), record.as_of)
    except msgspec.ValidationError:
        return None


def _make_cell(state: CellState, next_offset: int) -> Cell | None:
    text = None
    if state.version:
        parsed = convert_text(state.text)
        if parsed.is_err():
            return None
        text = parsed.unwrap()
    return Cell(
        next_offset,
        state.version,
        text,
        state.text,
        state.keys,
        state.withdrawn,
        state.rosters,
        state.parts,
        state.debts,
        state.moves,
        changed_at=state.changed_at,
    )


def find_start(entries: list[rec.Entry], first: int, metrics: Metrics) -> Cell | None:
    """Find the oldest snapshot from which every later entry is kept.

    A snapshot of before ``first`` is of no use: a record that the log has forgotten
    may have changed what it repeats, and folding on from it would revive old state.
    """
    for entry in entries:
        record = entry.record
        if not isinstance(record, rec.Snapshot):
            continue
        if not first <= record.as_of <= entry.offset:
            metrics.count("log.snapshots_void")
            continue
        cell = read_snapshot(record)
        if cell is not None:
            return cell
        metrics.count("log.bad_state")
    return None
