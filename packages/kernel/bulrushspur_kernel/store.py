"""Define the interface to the platform's append-only store and its errors.

The store keeps topics of records with a key, a value and an offset. The newest record
of a key replaces earlier ones, and an empty value deletes the key. An append can depend
on the offset at which the partition ends and on the term of its writer: a later term
fences writers of the same name with earlier terms.
"""

import dataclasses
import typing as t


class StoreUnavailableError(Exception):
    """Signal that the store did not answer a call, which may have taken effect."""


class StoreFencedError(Exception):
    """Signal that a writer with a later term has fenced this one."""


class StoreConflictError(Exception):
    """Signal that the partition does not end at the expected offset."""


class StoreTruncatedError(Exception):
    """Signal that records before ``oldest_offset``, the oldest kept, are truncated."""

    def __init__(self, oldest_offset: int) -> None:
        super().__init__(f"records before offset {oldest_offset} have been truncated")
        self.oldest_offset = oldest_offset


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with its offset; an empty value means that the key was deleted."""

    offset: int
    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WriterIdentity:
    """Identify a writer that later terms can fence, and the number of its append."""

    name: str
    term: int
    sequence: int


# While a large response is arriving, its parts are at most this far apart.
MAX_BULK_GAP_S: t.Final = 0.4


class Store(t.Protocol):
    """A client of the platform's store."""

    @property
    def last_bulk_s(self) -> float:
        """Return the monotonic time at which part of a large response last arrived.

        The VM's network link may be saturated at that time, which delays all other
        traffic on it.
        """
        ...

    @property
    def last_answer_s(self) -> float:
        """Return the monotonic time at which any call was last answered.

        Answers that refuse a call for the time being do not count.
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

        With ``expected_offset``, append only if the partition ends there. Raises
        StoreUnavailableError, StoreFencedError or StoreConflictError.
        """
        ...

    async def read(
        self, topic: str, start: int, wait_s: float = 0.0, timeout_s: float = 1.0
    ) -> tuple[list[StoredRecord], int]:
        """Read records from offset ``start`` on; return them and the next offset.

        If there are none, wait up to ``wait_s`` seconds for one. Raises
        StoreUnavailableError or StoreTruncatedError.
        """
        ...

    async def read_newest(
        self,
        topic: str,
        timeout_s: float = 2.0,
        on_received: t.Callable[[int], None] | None = None,
    ) -> tuple[dict[str, StoredRecord], int]:
        """Read the newest record of each key; return them and the next offset.

        ``on_received`` gets the number of bytes of each part of an answer when it
        arrives. Raises StoreUnavailableError.
        """
        ...

    async def close(self) -> None:
        """Close all connections, after the last call and before the event loop ends."""
        ...


def offset_after(newest: t.Iterable[StoredRecord], first_retained: int) -> int:
    """Return the offset from which to read on after the newest records were read.

    Records appended meanwhile may be missing from them, although the end offset of that
    answer is beyond; so it is the offset after the newest of them, or the oldest kept.
    """
    after = max((record.offset + 1 for record in newest), default=0)
    return max(after, first_retained)


def is_receiving_bulk(store: Store, now_s: float) -> bool:
    """Return whether a large response is arriving that may saturate the VM's link."""
    return now_s - store.last_bulk_s < MAX_BULK_GAP_S
