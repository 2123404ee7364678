"""The operators' commands."""

import asyncio
import os
import pathlib
import time
import typing as t

import msgspec

from bulrushspur_core.cell import Cell, fold
from bulrushspur_kernel import platform_log
from bulrushspur_kernel import records as rec
from bulrushspur_kernel.errors import (
    BadRequestError,
    BadTextError,
    PlatformDownError,
    RaceLostError,
)
from bulrushspur_kernel.http_client import LostError, NotSentError, fetch
from bulrushspur_kernel.keys import hash_key, make_key
from bulrushspur_kernel.text import parse_text

WAIT_S: t.Final = 5.0
OUTCOME_WAIT_S: t.Final = 15.0


class Commands:
    """Operate a cell: publish its text, give and withdraw keys, and look."""

    def __init__(self, platform: str = "127.0.0.1:7000") -> None:
        self._platform = platform

    def check(self, file: str) -> str:
        """Check a text file without publishing it."""
        _load_text(file)
        return f"{file} is a valid text."

    def publish(self, file: str, from_version: int = 0) -> str:
        """Publish a text edited from a version; 0 where there is none yet."""
        raw = _load_text(file)
        record = rec.Published(from_version, raw, _author(), _token())
        cell = asyncio.run(self._append_and_see(record))
        return f"Accepted as version {cell.version}."

    def give(self, team: str) -> str:
        """Give a team a key; it is shown this once."""
        key_id, key = make_key()
        record = rec.KeyGiven(key_id, team, hash_key(key), _token())
        asyncio.run(self._append_and_see(record))
        return key

    def withdraw(self, key_id: str) -> str:
        """Withdraw a key by its id."""
        asyncio.run(self._append_and_see(rec.KeyWithdrawn(str(key_id), _token())))
        return f"Key {key_id} is withdrawn."

    def dump(self, address: str) -> t.Any:
        """Show the whole state of an entry process."""
        try:
            _, body = asyncio.run(fetch("GET", address, "/dump", wait_s=WAIT_S))
        except (NotSentError, LostError) as exc:
            raise BadRequestError(str(exc)) from exc
        return msgspec.json.format(body).decode()

    async def _append_and_see(self, record: rec.Record) -> Cell:
        """Append a record and read the log until its outcome is known."""
        until_s = time.monotonic() + OUTCOME_WAIT_S
        try:
            await platform_log.append(self._platform, record, WAIT_S)
        except platform_log.NotAppendedError as exc:
            raise PlatformDownError(f"Nothing was published: {exc}.") from exc
        except platform_log.LogError:
            # The append may have landed; only the log can tell.
            pass
        cell = Cell()
        while record.token not in cell.outcomes:
            await self._read_on(cell)
            if time.monotonic() > until_s:
                raise PlatformDownError("It is not known whether this was published.")
        if not cell.outcomes[record.token]:
            raise RaceLostError(
                f"It was not accepted: version {cell.version} is in force."
            )
        return cell

    async def _read_on(self, cell: Cell) -> None:
        try:
            page = await platform_log.read_log(self._platform, cell.next_offset, WAIT_S)
        except platform_log.LogError:
            await asyncio.sleep(0.5)
            return
        for entry in page.entries:
            fold(cell, entry)
        cell.next_offset = max(cell.next_offset, page.reached)


def _load_text(file: str) -> dict[str, t.Any]:
    try:
        data = pathlib.Path(file).read_bytes()
    except OSError as exc:
        raise BadRequestError(f"{file} cannot be read: {exc.strerror}.") from exc
    parsed = parse_text(data)
    if parsed.is_err():
        faults = parsed.unwrap_err()
        raise BadTextError("\n".join(f"{one.path}: {one.sentence}" for one in faults))
    return msgspec.json.decode(data)


def _token() -> str:
    return f"operator/{os.urandom(8).hex()}"


def _author() -> str:
    return os.environ.get("USER", "")
