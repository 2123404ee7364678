"""Define the messages that entry processes exchange, and encode and decode them.

Entry processes forward callers' requests to the leader, which answers each with a
``Reply`` of the same ``request_id``. The leader sends heartbeats to all of them and has
them call the advice service. Messages are MessagePack arrays that start with the tag of
the type, so the order of the fields is part of the format.
"""

import enum

import msgspec

from bulrushspur_kernel.decoding import make_msgpack_decoder


class Outcome(enum.IntEnum):
    """Result of a request to the leader."""

    OK = 0
    REJECTED = 1
    UNKNOWN_JOB = 2
    UNKNOWN_QUEUE = 3
    NOT_READY = 4
    STORE_UNAVAILABLE = 5


class _Message(msgspec.Struct, array_like=True, omit_defaults=True, tag=True):
    pass


class Submit(_Message, tag=1):
    """Submit a job; ``record`` is the encoded job that the leader stores."""

    request_id: int
    job: str
    queue: str
    account: str
    record: bytes


class Query(_Message, tag=2):
    """Request the state of a job."""

    request_id: int
    job: str


class Cancel(_Message, tag=3):
    """Cancel a job.

    The account is that of the caller, empty from older processes. With ``must_own`` the
    job must be known and belong to it.
    """

    request_id: int
    job: str
    account: str = ""
    must_own: bool = False


class Reply(_Message, tag=4):
    """Answer a submit, query or cancel request."""

    request_id: int
    outcome: Outcome
    state: str = ""
    reason: str = ""
    retry_after_s: float = 0.0


class Heartbeat(_Message, tag=5):
    """Announce that the leader of ``term`` is running.

    ``store_age_ms`` is the time since the store last answered the leader, and
    ``waiting_jobs`` counts by queue the jobs of which no task has started, without
    repeating jobs. Before the leader serves, ``loaded_bytes`` and ``recovered_records``
    show how far its recovery has come. ``isolated`` means that the leader reaches
    neither the store nor most other processes, so that another one has replaced it or
    will do so. ``stopping`` means that its process stops: it leads until another one
    has claimed.
    """

    term: int
    leader: str
    serving: bool
    config_version: int
    store_age_ms: int
    waiting_jobs: dict[str, int] = {}
    loaded_bytes: int = 0
    recovered_records: int = 0
    isolated: bool = False
    stopping: bool = False


class AdviceRequest(_Message, tag=6):
    """Ask an entry process to call the advice service for a step of a job.

    The leader counts the call as lost after ``timeout_ms``.
    """

    request_id: int
    job: str
    occurrence: int
    step: int
    workers: list[str]
    timeout_ms: int = 4000


class AdviceReply(_Message, tag=7):
    """Pass on the answer of the advice service.

    ``approved`` lists the id of each approved worker with its ticket, which is valid
    for ``valid_ms`` milliseconds. It is None if the service gave no usable answer.
    """

    request_id: int
    approved: list[tuple[str, str]] | None
    valid_ms: int = 0


class Resign(_Message, tag=8):
    """Announce that the term of a leader has ended."""

    term: int


class ConfigRequest(_Message, tag=9):
    """Ask the leader for the configuration records."""

    version: int


class ConfigRecords(_Message, tag=10):
    """Configuration records: key, value and offset of each.

    They are the newest record of each key that has any before ``end_offset``.
    """

    records: list[tuple[str, bytes, int]]
    end_offset: int = 0


Message = (
    Submit
    | Query
    | Cancel
    | Reply
    | Heartbeat
    | AdviceRequest
    | AdviceReply
    | Resign
    | ConfigRequest
    | ConfigRecords
)

encode_message = msgspec.msgpack.Encoder().encode
_decode = make_msgpack_decoder(Message)


def decode_message(data: bytes) -> Message:
    """Decode a message; raises msgspec.DecodeError."""
    return _decode(data)
