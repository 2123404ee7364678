"""Implement the operators' commands.

Each public method of ``Commands`` is a command: it reads or writes the configuration in
the store, or asks entry processes, and returns an ``Output``. A change is accepted once
the store has it; commands that make one then wait, up to a time limit, until the entry
processes confirm it. Failures are raised as subclasses of BulrushspurError.
"""

import asyncio
import os
import typing as t

import msgspec
from fire.decorators import SetParseFn

from bulrushspur_client.config_store import (
    ConfigSnapshot,
    open_store,
    read_config,
    write_record,
)
from bulrushspur_client.differences import list_differences
from bulrushspur_client.entry_processes import (
    EntryInfo,
    fetch_json,
    find_entry_processes,
    has_confirmed,
    post_json,
    wait_until_confirmed,
)
from bulrushspur_client.explanations import format_explanation
from bulrushspur_client.input_files import load_text, read_json
from bulrushspur_client.output import Output, format_json, format_table
from bulrushspur_client.previews import format_preview
from bulrushspur_client.status import format_cell_status
from bulrushspur_kernel.api_keys import hash_api_key, make_api_key, split_api_key
from bulrushspur_kernel.errors import (
    BadRequestError,
    PlatformUnavailableError,
    VersionConflictError,
)
from bulrushspur_kernel.text_records import (
    API_KEY_PREFIX,
    EVACUATION_PREFIX,
    TEXT_KEY,
    ApiKeyRecord,
    EvacuationRecord,
    TextRecord,
)

KEY_CONFIRM_TIMEOUT_S: t.Final = 3.0
# Exit code if a change was accepted, but not every entry process confirmed it in time;
# also if not every entry process reported its status.
EXIT_NOT_CONFIRMED: t.Final = 5
CONFIRM_TIMEOUT_S: t.Final = 14.0

T = t.TypeVar("T")


class Commands:
    """Operate a cell: publish its text, give and withdraw API keys, show its state.

    ``--store`` is the store's address (or BULRUSHSPUR_STORE). ``--entries`` is a
    comma-separated list of addresses of entry processes for operators (or
    BULRUSHSPUR_ENTRIES), for when the store does not list them. ``--json`` prints JSON
    for programs. Exit codes: 0 done, 1 internal error, 2 invalid input, 3 another
    operator was first, 4 try again later, 5 accepted but not yet confirmed by every
    entry process.
    """

    def __init__(
        self,
        store: str = "",
        entries: str = "",
        adapter: str = "bulrushspur_platform",
        json: bool = False,
    ) -> None:
        env = os.environ.get
        address = store or env("BULRUSHSPUR_STORE", "127.0.0.1:7000")
        self._store = open_store(address, adapter)
        addresses = str(entries or env("BULRUSHSPUR_ENTRIES", ""))
        self._entry_addresses = [
            item.strip() for item in addresses.split(",") if item.strip()
        ]
        self._json = json

    @SetParseFn(str)
    def check(self, file: str) -> Output:
        """Check a file with a text without publishing it."""
        raw = load_text(file)
        return self._output({"valid": True, "text": raw}, f"{file} is a valid text.")

    @SetParseFn(str, "file")
    def publish(
        self, file: str, from_version: int = 0, wait_s: float = CONFIRM_TIMEOUT_S
    ) -> Output:
        """Publish a text that was edited from a version; 0 if there is none yet."""
        raw = load_text(file)
        return self._run(self._publish(raw, from_version, wait_s))

    async def _publish(
        self, raw: dict[str, t.Any], from_version: int, wait_s: float
    ) -> Output:
        def check(snapshot: ConfigSnapshot) -> None:
            if snapshot.text_version != from_version:
                raise _make_version_conflict(snapshot, from_version)

        record = msgspec.json.encode(TextRecord(raw, os.environ.get("USER", "")))
        version = await write_record(self._store, TEXT_KEY, record, check)
        return await self._confirm(f"Accepted as version {version}.", version, wait_s)

    async def _confirm(self, sentence: str, version: int, wait_s: float) -> Output:
        """Wait until an accepted version is in force, and return where it is."""
        entries = await find_entry_processes(self._store, self._entry_addresses)
        confirmed, late = await wait_until_confirmed(entries, version, wait_s)
        data = {
            "accepted": True,
            "version": version,
            "in_force": confirmed,
            "late": late,
        }
        summary = f"In force at {len(confirmed)} of {len(entries)} entry processes"
        if not entries:
            summary = "No entry process was found: name some with --entries"
        lines = [sentence, f"{summary}."]
        if late:
            lines.append(f"Not confirmed within {wait_s:g} s: {', '.join(late)}.")
            lines.append("Next: bulrushspur show")
        code = 0 if entries and not late else EXIT_NOT_CONFIRMED
        return Output(data, lines, code, self._json)

    def show(self, text: bool = False) -> Output:
        """Show which version is in force and where; --text prints it for editing."""
        return self._run(self._show(text))

    async def _show(self, as_text: bool) -> Output:
        snapshot = await read_config(self._store)
        record = snapshot.text()
        if record is None:
            sentence = "No text is in force. Next: bulrushspur publish FILE"
            return self._output({"version": 0}, sentence)
        if as_text:
            return self._output(record.text, format_json(record.text))
        entries = await find_entry_processes(self._store, self._entry_addresses)
        rows = [_make_entry_row(entry, snapshot.config_version) for entry in entries]
        author = f", published by {record.author}" if record.author else ""
        columns = ["entry process", "confirmed", "version"]
        lines = [
            f"Version {snapshot.text_version} of cell {record.text['cell']} "
            f"is in force{author}.",
            f"With keys it is version {snapshot.config_version}.",
            "",
            *format_table(columns, rows),
        ]
        data = {
            "version": snapshot.text_version,
            "newest": snapshot.config_version,
            "author": record.author,
            "confirmed": {
                entry.name: has_confirmed(entry, snapshot.config_version)
                for entry in entries
            },
        }
        return self._output(data, *lines)

    @SetParseFn(str)
    def diff(self, newer: str) -> Output:
        """Show the differences between the text in force and the one in a file."""
        record = self._run(read_config(self._store)).text()
        older = record.text if record is not None else {}
        rows = list_differences(older, load_text(newer))
        return self._output(rows, *(rows or ["No difference."]))

    @SetParseFn(str)
    def give(self, team: str) -> Output:
        """Give a team an API key; it is shown only once and is not stored."""
        return self._run(self._give(team))

    async def _give(self, team: str) -> Output:
        def check(snapshot: ConfigSnapshot) -> None:
            record = snapshot.text()
            teams = [row["name"] for row in record.text["teams"]] if record else []
            if team not in teams:
                known = ", ".join(teams) or "none: publish a text first"
                sentence = f"Team {team} is not in the text in force ({known})."
                raise BadRequestError(sentence)

        key_id, key = make_api_key()
        value = msgspec.json.encode(ApiKeyRecord(team, hash_api_key(key)))
        version = await write_record(self._store, API_KEY_PREFIX + key_id, value, check)
        # The key may be used in a request as soon as it is shown.
        entries = await find_entry_processes(self._store, self._entry_addresses)
        confirmed, late = await wait_until_confirmed(
            entries, version, KEY_CONFIRM_TIMEOUT_S
        )
        data = {"key_id": key_id, "team": team, "key": key}
        data |= {"in_force": confirmed, "late": late}
        return self._output(data, key)

    @SetParseFn(str, "key_id")
    def withdraw(self, key_id: str, wait_s: float = CONFIRM_TIMEOUT_S) -> Output:
        """Withdraw an API key by its id and show where it is refused."""
        return self._run(self._withdraw(str(key_id), wait_s))

    async def _withdraw(self, key_id: str, wait_s: float) -> Output:
        # An operator in a hurry may have only the key itself at hand, not its id.
        parts = split_api_key(key_id)
        key_id = parts[0] if parts else key_id

        def check(snapshot: ConfigSnapshot) -> None:
            if API_KEY_PREFIX + key_id not in snapshot.records:
                sentence = f"There is no key {key_id} in force. Next: bulrushspur keys"
                raise BadRequestError(sentence)

        version = await write_record(self._store, API_KEY_PREFIX + key_id, b"", check)
        return await self._confirm(f"Key {key_id} is withdrawn.", version, wait_s)

    def keys(self) -> Output:
        """List the API keys in force by id and team, never the keys themselves."""
        keys = self._run(read_config(self._store)).api_keys()
        rows = [[key_id, key.team] for key_id, key in keys.items()]
        data = [{"key_id": key_id, "team": team} for key_id, team in rows]
        return self._output(data, *format_table(["key id", "team"], rows))

    @SetParseFn(str, "domain")
    def evacuate(self, domain: str, wait_s: float = CONFIRM_TIMEOUT_S) -> Output:
        """Start no new work in a failure domain until it is restored."""
        return self._run(self._evacuate(domain, wait_s))

    async def _evacuate(self, domain: str, wait_s: float) -> Output:
        def check(snapshot: ConfigSnapshot) -> None:
            record = snapshot.text()
            rows = record.text.get("domains", []) if record else []
            names = [row["name"] for row in rows]
            if domain not in names:
                known = ", ".join(names) or "none: publish a text first"
                sentence = f"There is no failure domain {domain} (known: {known})."
                raise BadRequestError(sentence)

        value = msgspec.json.encode(EvacuationRecord(os.environ.get("USER", "")))
        version = await write_record(
            self._store, EVACUATION_PREFIX + domain, value, check
        )
        sentence = f"{domain} gets no new work from version {version} on."
        return await self._confirm(sentence, version, wait_s)

    @SetParseFn(str, "domain")
    def restore(self, domain: str, wait_s: float = CONFIRM_TIMEOUT_S) -> Output:
        """Let new work start in an evacuated failure domain again."""
        return self._run(self._restore(domain, wait_s))

    async def _restore(self, domain: str, wait_s: float) -> Output:
        def check(snapshot: ConfigSnapshot) -> None:
            if EVACUATION_PREFIX + domain not in snapshot.records:
                names = ", ".join(snapshot.evacuated_domains()) or "none"
                raise BadRequestError(
                    f"{domain} is not evacuated (evacuated: {names}). "
                    "Next: bulrushspur status"
                )

        version = await write_record(
            self._store, EVACUATION_PREFIX + domain, b"", check
        )
        sentence = f"{domain} gets new work again from version {version} on."
        return await self._confirm(sentence, version, wait_s)

    def status(self) -> Output:
        """Show the state of the cell: its entry processes, workers and waiting work."""
        entries = self._run(find_entry_processes(self._store, self._entry_addresses))
        data = {entry.name: entry.status for entry in entries}
        code = 0 if all(entry.status for entry in entries) else EXIT_NOT_CONFIRMED
        return Output(data, format_cell_status(entries), code, self._json)

    @SetParseFn(str)
    def dump(self, name: str) -> Output:
        """Show the whole state of an entry process, by name or address."""
        return self._run(self._dump(name))

    async def _dump(self, name: str) -> Output:
        address = name if ":" in name else (await self._find_entry(name)).address
        state = await fetch_json(address, "/dump")
        if state is None:
            raise PlatformUnavailableError(f"{name} does not answer.")
        return self._output(state, format_json(state))

    async def _find_entry(self, name: str) -> EntryInfo:
        entries = await find_entry_processes(self._store, self._entry_addresses)
        for entry in entries:
            if entry.name == name and entry.address:
                return entry
        known = ", ".join(entry.name for entry in entries) or "none: use --entries"
        raise BadRequestError(f"There is no entry process {name} (found: {known}).")

    @SetParseFn(str)
    def explain(self, job: str) -> Output:
        """Explain what a job waits for."""
        return self._run(self._explain(job))

    async def _explain(self, job: str) -> Output:
        entries = await find_entry_processes(self._store, self._entry_addresses)
        for entry in entries:
            if entry.status is not None and entry.status["leads"]:
                explanation = await fetch_json(entry.address, f"/explain?id={job}")
                if explanation:
                    return self._output(explanation, *format_explanation(explanation))
        raise BadRequestError(
            f"No leader knows job {job}: it was never accepted, or ended long ago."
        )

    @SetParseFn(str, "file", "queue", "team")
    def where(self, file: str, queue: str, team: str) -> Output:
        """Explain where a job in a file would go now, without sending it."""
        return self._run(self._where(file, queue, team))

    async def _where(self, file: str, queue: str, team: str) -> Output:
        job = read_json(file)
        question = {"queue": queue, "account": team, "job": job}
        body = msgspec.json.encode(question)
        for entry in await find_entry_processes(self._store, self._entry_addresses):
            if entry.status is None or not entry.status["leads"]:
                continue
            status, answer = await post_json(entry.address, "/where", body)
            if status == 200:
                return self._output(answer, *format_preview(answer))
            if status == 400:
                raise BadRequestError(f"{answer['error']}. See docs/CALLERS.md, Jobs.")
        raise PlatformUnavailableError("No leader answers. Next: bulrushspur status")

    def _run(self, command: t.Coroutine[t.Any, t.Any, T]) -> T:
        """Run a coroutine in an event loop; close the store before the loop ends."""

        async def run() -> T:
            try:
                return await command
            finally:
                await self._store.close()

        return asyncio.run(run())

    def _output(self, data: t.Any, *lines: str) -> Output:
        return Output(data, list(lines), as_json=self._json)


def _make_entry_row(entry: EntryInfo, version: int) -> list[t.Any]:
    if entry.status is None:
        return [entry.name, "no answer", "-"]
    confirmed = "yes" if has_confirmed(entry, version) else "not yet"
    return [entry.name, confirmed, entry.status["config_version"] or "-"]


def _make_version_conflict(
    snapshot: ConfigSnapshot, base_version: int
) -> VersionConflictError:
    record = snapshot.text()
    author = f" (by {record.author})" if record is not None and record.author else ""
    return VersionConflictError(
        f"Nothing was published: version {snapshot.text_version}{author} is in force, "
        f"not {base_version}.\n"
        "Edit it from there: bulrushspur show --text, then publish FILE "
        f"--from-version={snapshot.text_version}."
    )
