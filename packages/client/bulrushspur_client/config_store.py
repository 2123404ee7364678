"""The text and keys of the cell in the store, as the client reads and writes them."""

import dataclasses
import typing as t

import msgspec

from bulrushspur_kernel.adapter import find_adapter
from bulrushspur_kernel.errors import PlatformDownError, RaceLostError
from bulrushspur_kernel.store import (
    Store,
    StoreConflictError,
    StoredRecord,
    StoreUnavailableError,
)
from bulrushspur_kernel.text_records import (
    KEY_PREFIX,
    TEXT_KEY,
    TEXT_TOPIC,
    KeyRecord,
    TextRecord,
)

ATTEMPTS: t.Final = 5


@dataclasses.dataclass
class CellText:
    """What is in force, and where the topic ends."""

    records: dict[str, StoredRecord]
    end: int

    @property
    def version(self) -> int:
        """Return the version of the text; 0 where there is none."""
        found = self.records.get(TEXT_KEY)
        return found.offset + 1 if found is not None else 0

    @property
    def newest(self) -> int:
        """Return the version of the whole, which each change of a key raises."""
        return self.end

    def text(self) -> TextRecord | None:
        """Return the text in force."""
        found = self.records.get(TEXT_KEY)
        if found is None:
            return None
        return msgspec.json.decode(found.value, type=TextRecord)

    def keys(self) -> dict[str, KeyRecord]:
        """Return the keys in force by id."""
        return {
            name[len(KEY_PREFIX) :]: msgspec.json.decode(row.value, type=KeyRecord)
            for name, row in sorted(self.records.items())
            if name.startswith(KEY_PREFIX)
        }


def open_store(address: str, adapter: str) -> Store:
    """Make a client of the store."""
    return find_adapter(adapter).make_store(address)


async def read_text(store: Store) -> CellText:
    """Read what is in force; raises PlatformDownError."""
    try:
        records, end = await store.newest(TEXT_TOPIC)
    except StoreUnavailableError as exc:
        raise PlatformDownError(f"The store does not answer: {exc}.") from exc
    return CellText(records, end)


async def write_record(
    store: Store, key: str, value: bytes, check: t.Callable[[CellText], None]
) -> int:
    """Write a record if nothing came between, and return its version.

    ``check`` is called before each attempt and raises if the change is void by now.
    Raises PlatformDownError, and RaceLostError if others are always faster.
    """
    for _ in range(ATTEMPTS):
        before = await read_text(store)
        check(before)
        try:
            return await store.append(TEXT_TOPIC, [(key, value)], at=before.end) + 1
        except StoreConflictError:
            continue
        except StoreUnavailableError as exc:
            # It may have been written: the store itself tells.
            after = await read_text(store)
            found = after.records.get(key)
            if found is not None and found.value == value:
                return found.offset + 1
            if not value and found is None:
                return after.end
            raise PlatformDownError(
                f"The store gave no answer and nothing is written yet: {exc}. "
                "It may still be written in a moment: look with bulrushspur show."
            ) from exc
    raise RaceLostError("Other operators write all the time. Try again.")
