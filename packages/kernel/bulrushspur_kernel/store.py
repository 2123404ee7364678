"""What the system needs of the platform's store, and how its calls can fail."""

import dataclasses
import typing as t


class StoreUnavailableError(Exception):
    """Tell that a call was not answered; it may have taken effect."""


class StoreFencedError(Exception):
    """Tell that a later term writes to the partition."""


class StoreConflictError(Exception):
    """Tell that the partition does not end where the caller said."""


class StoreTruncatedError(Exception):
    """Tell that the records asked for are gone; ``first`` is the oldest one kept."""

    def __init__(self, first: int) -> None:
        super().__init__(f"records before offset {first} are gone")
        self.oldest_offset = first


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with its offset; an empty value means that the key was dropped."""

    offset: int
    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WriterIdentity:
    """Identify a fenced writer of a partition."""

    name: str
    term: int
    sequence: int


# A large answer that arrives has its next part within this time.
MAX_BULK_GAP_S: t.Final = 0.4


class Store(t.Protocol):
    """One client for the platform's store; records have keys, the newest counts."""

    @property
    def last_bulk_s(self) -> float:
        """Tell when a part of a large answer last came, on the steady clock.

        The VM's link may be full then, and everything else on it late.
        """
        ...

    async def append(
        self,
        topic: str,
        rows: t.Sequence[tuple[str, bytes]],
        expected_offset: int | None = None,
        writer: WriterIdentity | None = None,
        timeout_s: float = 1.0,
    ) -> int:
        """Append rows of key and value; return the offset of the first.

        Raises StoreUnavailableError, StoreFencedError or StoreConflictError.
        """
        ...

    async def read(
        self, topic: str, start: int, wait_s: float = 0.0, timeout_s: float = 1.0
    ) -> tuple[list[StoredRecord], int]:
        """Read records from an offset on; return them and where the next begin.

        Raises StoreUnavailableError or StoreGapError.
        """
        ...

    async def read_newest(
        self, topic: str, timeout_s: float = 2.0
    ) -> tuple[dict[str, StoredRecord], int]:
        """Read the newest record of each key, and where later records begin.

        Raises StoreUnavailableError.
        """
        ...


def is_receiving_bulk(store: Store, now_s: float) -> bool:
    """Tell whether a large answer arrives now, and may fill the VM's link."""
    return now_s - store.last_bulk_s < MAX_BULK_GAP_S
