"""The operators' commands."""

import asyncio
import os
import pathlib
import typing as t

import msgspec
from fire.decorators import SetParseFn

from bulrushspur_client.cell_log import CellLog, append_and_see, read_cell
from bulrushspur_client.differences import list_differences
from bulrushspur_client.entries import Entry, ask, find_entries, has_folded
from bulrushspur_client.entries import wait_in_force as wait_for
from bulrushspur_client.output import Output, format_json, make_table
from bulrushspur_client.status import show_cell
from bulrushspur_kernel import records as rec
from bulrushspur_kernel.errors import (
    BadRequestError,
    BadTextError,
    PlatformDownError,
    RaceLostError,
)
from bulrushspur_kernel.keys import hash_key, make_key, split_key
from bulrushspur_kernel.text import parse_text

KEY_WAIT_S: t.Final = 3.0
# Exit code of what was accepted, but not confirmed everywhere in time.
NOT_CONFIRMED: t.Final = 5
IN_FORCE_WAIT_S: t.Final = 14.0


class Commands:
    """Operate a cell: publish its text, give and withdraw keys, and look.

    ``--platform`` is the platform's address (or BULRUSHSPUR_PLATFORM), ``--entries``
    addresses of entry processes for operators, with commas (or BULRUSHSPUR_ENTRIES),
    for when the platform's list does not have them; ``--json`` is for programs.
    Exit codes: 0 done, 1 internal, 2 wrong input, 3 another operator was first,
    4 try again later, 5 accepted but not confirmed everywhere yet.
    """

    def __init__(
        self, platform: str = "", entries: str = "", json: bool = False
    ) -> None:
        env = os.environ.get
        self._platform = platform or env("BULRUSHSPUR_PLATFORM", "127.0.0.1:7000")
        given = str(entries or env("BULRUSHSPUR_ENTRIES", ""))
        self._entries = [one.strip() for one in given.split(",") if one.strip()]
        self._json = json

    @SetParseFn(str)
    def check(self, file: str) -> Output:
        """Check a text file without publishing it."""
        raw = _load_text(file)
        return self._output({"valid": True, "text": raw}, f"{file} is a valid text.")

    @SetParseFn(str, "file")
    def publish(
        self, file: str, from_version: int = 0, wait_s: float = IN_FORCE_WAIT_S
    ) -> Output:
        """Publish a text edited from a version; 0 where there is none yet."""
        raw = _load_text(file)
        record = rec.Published(from_version, raw, _author(), _token())
        return asyncio.run(self._publish(record, wait_s))

    async def _publish(self, record: rec.Published, wait_s: float) -> Output:
        before = await read_cell(self._platform)
        # Whoever is late anyway is told before the log is burdened.
        if before.cell.version != record.base:
            raise _race_lost(before, record.base)
        log, took = await append_and_see(self._platform, record)
        if not took:
            raise _race_lost(log, record.base)
        version = log.offsets[record.token] + 1
        return await self._confirm(f"Accepted as version {version}.", version, wait_s)

    async def _confirm(self, sentence: str, version: int, wait_s: float) -> Output:
        """Wait until what was accepted is in force everywhere, and tell where."""
        entries = await find_entries(self._platform, self._entries)
        done, late = await wait_for(entries, version - 1, wait_s)
        data = {"accepted": True, "version": version, "in_force": done, "late": late}
        where = f"In force at {len(done)} of {len(entries)} entry processes"
        if not entries:
            where = "No entry process was found: name some with --entries"
        lines = [sentence, f"{where}."]
        if late:
            lines.append(f"Not confirmed within {wait_s:g} s: {', '.join(late)}.")
            lines.append("Next: bulrushspur show")
        code = 0 if entries and not late else NOT_CONFIRMED
        return Output(data, lines, code, self._json)

    def show(self, text: bool = False) -> Output:
        """Show which version is in force and where; --text prints it for editing."""
        return asyncio.run(self._show(text))

    async def _show(self, whole: bool) -> Output:
        log = await read_cell(self._platform)
        cell = log.cell
        if cell.text is None:
            sentence = "No text is in force. Next: bulrushspur publish FILE"
            return self._output({"version": 0}, sentence)
        if whole:
            return self._output(cell.raw_text, format_json(cell.raw_text))
        entries = await find_entries(self._platform, self._entries)
        confirmed = {one.name: has_folded(one, cell.version - 1) for one in entries}
        author = log.texts[cell.version].author
        lines = [
            f"Version {cell.version} of cell {cell.text.cell} is in force"
            + (f", published by {author}." if author else "."),
            f"Domains: {', '.join(one.name for one in cell.text.domains)}",
            f"Teams: {', '.join(one.name for one in cell.text.teams)}",
            f"Services: {', '.join(one.name for one in cell.text.services)}",
            f"Versions in the log: {', '.join(map(str, log.texts))}",
            "",
            *make_table(
                ["entry process", "confirmed", "version"],
                [_show_entry(one, confirmed[one.name]) for one in entries],
            ),
        ]
        data = {
            "version": cell.version,
            "author": author,
            "versions": list(log.texts),
            "confirmed": confirmed,
        }
        return self._output(data, *lines)

    @SetParseFn(str)
    def diff(self, older: str, newer: str) -> Output:
        """Show the difference between two versions, or a version and a file."""
        log = asyncio.run(read_cell(self._platform))
        rows = list_differences(_text_of(log, older), _text_of(log, newer))
        return self._output(rows, *(rows or ["No difference."]))

    @SetParseFn(str)
    def give(self, team: str) -> Output:
        """Give a team a key; it is shown this once and kept nowhere."""
        return asyncio.run(self._give(team))

    async def _give(self, team: str) -> Output:
        text = (await read_cell(self._platform)).cell.text
        teams = [one.name for one in text.teams] if text is not None else []
        if team not in teams:
            known = ", ".join(teams) or "none: publish a text first"
            raise BadRequestError(f"Team {team} is not in the text in force ({known}).")
        key_id, key = make_key()
        record = rec.KeyGiven(key_id, team, hash_key(key), _token())
        log, took = await append_and_see(self._platform, record)
        if not took:
            raise RaceLostError(f"The id {key_id} is taken. Give another key.")
        # The next command of who takes the key may be a request with it.
        entries = await find_entries(self._platform, self._entries)
        done, late = await wait_for(entries, log.offsets[record.token], KEY_WAIT_S)
        data = {"key_id": key_id, "team": team, "key": key}
        data |= {"in_force": done, "late": late}
        return self._output(data, key)

    @SetParseFn(str, "key_id")
    def withdraw(self, key_id: str, wait_s: float = IN_FORCE_WAIT_S) -> Output:
        """Withdraw a key by its id and tell where it is refused."""
        return asyncio.run(self._withdraw(str(key_id), wait_s))

    async def _withdraw(self, key_id: str, wait_s: float) -> Output:
        # Who is in a hurry may have nothing at hand but the key itself.
        parts = split_key(key_id)
        key_id = parts[0] if parts else key_id
        record = rec.KeyWithdrawn(key_id, _token())
        log, took = await append_and_see(self._platform, record)
        if not took:
            sentence = f"There is no key {key_id} in force. Next: bulrushspur keys"
            raise BadRequestError(sentence)
        version = log.offsets[record.token] + 1
        return await self._confirm(f"Key {key_id} is withdrawn.", version, wait_s)

    def keys(self) -> Output:
        """List the keys in force by id and team; never the keys themselves."""
        cell = asyncio.run(read_cell(self._platform)).cell
        rows = [[key_id, key.team] for key_id, key in sorted(cell.keys.items())]
        data = [{"key_id": key_id, "team": team} for key_id, team in rows]
        return self._output(data, *make_table(["key id", "team"], rows))

    def status(self) -> Output:
        """Show how the cell does: its entry processes, workers and waiting work."""
        entries = asyncio.run(find_entries(self._platform, self._entries))
        data = {one.name: one.status for one in entries}
        code = 0 if all(one.status for one in entries) else NOT_CONFIRMED
        return Output(data, show_cell(entries), code, self._json)

    @SetParseFn(str)
    def dump(self, name: str, part: str = "") -> Output:
        """Show the whole state of an entry process, by name or address."""
        return asyncio.run(self._dump(name, part))

    async def _dump(self, name: str, part: str) -> Output:
        address = name if ":" in name else (await self._find(name)).address
        found = await ask(address, f"/dump?part={part}" if part else "/dump")
        if found is None:
            raise PlatformDownError(f"{name} does not answer, or has no part {part}.")
        return self._output(found, format_json(found))

    async def _find(self, name: str) -> Entry:
        entries = await find_entries(self._platform, self._entries)
        for entry in entries:
            if entry.name == name and entry.address:
                return entry
        known = ", ".join(one.name for one in entries) or "none: use --entries"
        raise BadRequestError(f"There is no entry process {name} (found: {known}).")

    @SetParseFn(str)
    def explain(self, name: str) -> Output:
        """Explain why a request (by id) or a service (by name) waits."""
        return asyncio.run(self._explain(name))

    async def _explain(self, name: str) -> Output:
        entries = await find_entries(self._platform, self._entries)
        asked = [one for one in entries if one.status is not None]
        path = f"/explain?id={name}"
        answers = await asyncio.gather(*(ask(one.address, path) for one in asked))
        data = {
            one.name: reasons
            for one, reasons in zip(asked, answers, strict=True)
            if reasons
        }
        if not data:
            raise BadRequestError(
                f"None of {len(asked)} entry processes knows {name}: it has ended, "
                "was never sent, or waits where nobody answers (bulrushspur status)."
            )
        lines = [
            f"{entry}: {reason['sentence']}"
            for entry, reasons in data.items()
            for reason in reasons
        ]
        return self._output(data, *lines)

    def _output(self, data: t.Any, *lines: str) -> Output:
        return Output(data, list(lines), as_json=self._json)


def _show_entry(entry: Entry, confirmed: bool) -> list[t.Any]:
    if entry.status is None:
        return [entry.name, "no answer", "-"]
    return [entry.name, "yes" if confirmed else "not yet", entry.status["version"]]


def _race_lost(log: CellLog, base: int) -> RaceLostError:
    version = log.cell.version
    author = log.texts[version].author if version in log.texts else ""
    by = f" (by {author})" if author else ""
    return RaceLostError(
        f"Nothing was published: version {version}{by} is in force, not {base}.\n"
        f"See what changed: bulrushspur diff {base} {version}; edit it from there: "
        f"bulrushspur show --text, then publish FILE --from-version={version}."
    )


def _text_of(log: CellLog, name: str) -> dict[str, t.Any]:
    """Find a text by its version, or in a file."""
    if not name.isdigit():
        return _load_text(name)
    if int(name) not in log.texts:
        known = ", ".join(map(str, log.texts)) or "none"
        raise BadRequestError(f"The log has no version {name} any more (has: {known}).")
    return log.texts[int(name)].text


def _load_text(file: str) -> dict[str, t.Any]:
    try:
        data = pathlib.Path(file).read_bytes()
    except OSError as exc:
        raise BadRequestError(f"{file} cannot be read: {exc.strerror}.") from exc
    parsed = parse_text(data)
    if parsed.is_err():
        raise BadTextError("\n".join(map(str, parsed.unwrap_err())))
    return msgspec.json.decode(data)


def _token() -> str:
    return f"operator/{os.urandom(8).hex()}"


def _author() -> str:
    return os.environ.get("USER", "")
