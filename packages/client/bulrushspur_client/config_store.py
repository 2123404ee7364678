"""Read and write the configuration of the cell in the store.

The configuration is the operators' text and the API keys: records of one topic, of
which the newest of each key is in force. A record is written only if the topic still
ends where it was read, so that no operator overwrites a change that they have not seen.
"""

import dataclasses
import typing as t

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
    EVACUATION_PREFIX,
    TEXT_KEY,
    TEXT_TOPIC,
    ApiKeyRecord,
    TextRecord,
    decode_api_key,
    decode_text_record,
)

MAX_WRITE_ATTEMPTS: t.Final = 5


@dataclasses.dataclass
class ConfigSnapshot:
    """Records in force by key, and the end offset of the topic when they were read."""

    records: dict[str, StoredRecord]
    end_offset: int

    @property
    def text_version(self) -> int:
        """Return the version of the text, its offset plus one; 0 if there is none."""
        record = self.records.get(TEXT_KEY)
        return record.offset + 1 if record is not None else 0

    @property
    def config_version(self) -> int:
        """Return the version of text and API keys, which a change of either raises."""
        return self.end_offset

    def text(self) -> TextRecord | None:
        """Return the text in force; None if there is none."""
        record = self.records.get(TEXT_KEY)
        if record is None:
            return None
        return decode_text_record(record.value)

    def evacuated_domains(self) -> list[str]:
        """Return the names of the failure domains under evacuation."""
        return sorted(
            key.removeprefix(EVACUATION_PREFIX)
            for key in self.records
            if key.startswith(EVACUATION_PREFIX)
        )

    def api_keys(self) -> dict[str, ApiKeyRecord]:
        """Return the API keys in force by id."""
        return {
            record_key[len(API_KEY_PREFIX) :]: decode_api_key(record.value)
            for record_key, record in sorted(self.records.items())
            if record_key.startswith(API_KEY_PREFIX)
        }


def open_store(address: str, adapter: str) -> Store:
    """Make a client of the store at an address, by the adapter of that name."""
    return load_adapter(adapter).make_store(address)


async def read_config(store: Store) -> ConfigSnapshot:
    """Read the configuration in force; raises PlatformUnavailableError."""
    try:
        records, end = await store.read_newest(TEXT_TOPIC)
    except StoreUnavailableError as exc:
        raise PlatformUnavailableError(f"The store does not answer: {exc}.") from exc
    return ConfigSnapshot(records, end)


async def write_record(
    store: Store, key: str, value: bytes, check: t.Callable[[ConfigSnapshot], None]
) -> int:
    """Write a record unless the topic changes meanwhile, and return its version.

    An empty ``value`` removes the record. ``check`` is called with the configuration in
    force before each attempt, and raises if the change is no longer valid. Raises
    PlatformUnavailableError, and VersionConflictError if every attempt conflicts with
    another writer.
    """
    for _ in range(MAX_WRITE_ATTEMPTS):
        snapshot = await read_config(store)
        check(snapshot)
        try:
            return (
                await store.append(
                    TEXT_TOPIC, [(key, value)], expected_offset=snapshot.end_offset
                )
                + 1
            )
        except StoreConflictError:
            continue
        except StoreUnavailableError as exc:
            # The append may have taken effect: read the topic to find out.
            after = await read_config(store)
            stored = after.records.get(key)
            if stored is not None and stored.value == value:
                return stored.offset + 1
            if not value and stored is None:
                return after.end_offset
            raise PlatformUnavailableError(
                f"The store gave no answer and nothing is written yet: {exc}. "
                "It may still be written in a moment: look with bulrushspur show."
            ) from exc
    raise VersionConflictError("Other operators write all the time. Try again.")
