"""The text and keys of the cell in the store, as the client reads and writes them."""

import dataclasses
import typing as t

import msgspec

from bulrushspur_kernel.adapter import load_adapter
from bulrushspur_kernel.errors import PlatformUnavailableError, VersionConflictError
from bulrushspur_kernel.store import (
    Store,
    StoreConflictError,
    StoredRecord,
    StoreUnavailableError,
)
from bulrushspur_kernel.text_records import (
    API_KEY_PREFIX,
    TEXT_KEY,
    TEXT_TOPIC,
    ApiKeyRecord,
    TextRecord,
)

MAX_WRITE_ATTEMPTS: t.Final = 5


@dataclasses.dataclass
class ConfigSnapshot:
    """What is in force, and where the topic ends."""

    records: dict[str, StoredRecord]
    end_offset: int

    @property
    def text_version(self) -> int:
        """Return the version of the text; 0 where there is none."""
        found = self.records.get(TEXT_KEY)
        return found.offset + 1 if found is not None else 0

    @property
    def config_version(self) -> int:
        """Return the version of the whole, which each change of a key raises."""
        return self.end_offset

    def text(self) -> TextRecord | None:
        """Return the text in force."""
        found = self.records.get(TEXT_KEY)
        if found is None:
            return None
        return msgspec.json.decode(found.value, type=TextRecord)

    def api_keys(self) -> dict[str, ApiKeyRecord]:
        """Return the keys in force by id."""
        return {
            name[len(API_KEY_PREFIX) :]: msgspec.json.decode(
                row.value, type=ApiKeyRecord
            )
            for name, row in sorted(self.records.items())
            if name.startswith(API_KEY_PREFIX)
        }


def open_store(address: str, adapter: str) -> Store:
    """Make a client of the store."""
    return load_adapter(adapter).make_store(address)


async def read_config(store: Store) -> ConfigSnapshot:
    """Read what is in force; raises PlatformDownError."""
    try:
        records, end = await store.read_newest(TEXT_TOPIC)
    except StoreUnavailableError as exc:
        raise PlatformUnavailableError(f"The store does not answer: {exc}.") from exc
    return ConfigSnapshot(records, end)


async def write_record(
    store: Store, key: str, value: bytes, check: t.Callable[[ConfigSnapshot], None]
) -> int:
    """Write a record if nothing came between, and return its version.

    ``check`` is called before each attempt and raises if the change is void by now.
    Raises PlatformDownError, and RaceLostError if others are always faster.
    """
    for _ in range(MAX_WRITE_ATTEMPTS):
        before = await read_config(store)
        check(before)
        try:
            return (
                await store.append(
                    TEXT_TOPIC, [(key, value)], expected_offset=before.end_offset
                )
                + 1
            )
        except StoreConflictError:
            continue
        except StoreUnavailableError as exc:
            # It may have been written: the store itself tells.
            after = await read_config(store)
            found = after.records.get(key)
            if found is not None and found.value == value:
                return found.offset + 1
            if not value and found is None:
                return after.end_offset
            raise PlatformUnavailableError(
                f"The store gave no answer and nothing is written yet: {exc}. "
                "It may still be written in a moment: look with bulrushspur show."
            ) from exc
    raise VersionConflictError("Other operators write all the time. Try again.")
