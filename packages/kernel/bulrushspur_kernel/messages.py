"""Messages between entry processes: callers' requests, and what the leader says."""

import enum

import msgspec


class Outcome(enum.IntEnum):
    """How the leader answered a request."""

    OK = 0
    REJECTED = 1
    UNKNOWN_JOB = 2
    UNKNOWN_QUEUE = 3
    NOT_READY = 4
    STORE_UNAVAILABLE = 5


class _Message(msgspec.Struct, array_like=True, omit_defaults=True, tag=True):
    pass


class Submit(_Message, tag=1):
    """Store a job; ``record`` is what is stored, ``passed_on_s`` its age here."""

    request_id: int
    job: str
    queue: str
    account: str
    record: bytes


class Query(_Message, tag=2):
    """Ask for the state of a job."""

    request_id: int
    job: str


class Cancel(_Message, tag=3):
    """Cancel a job."""

    request_id: int
    job: str


class Reply(_Message, tag=4):
    """Answer a request."""

    request_id: int
    outcome: Outcome
    state: str = ""
    reason: str = ""
    retry_after_s: float = 0.0


class Heartbeat(_Message, tag=5):
    """Tell that the leader lives; ``waiting`` counts jobs by queue."""

    term: int
    leader: str
    serving: bool
    config_version: int
    store_age_ms: int
    waiting_jobs: dict[str, int] = {}


class AdviceRequest(_Message, tag=6):
    """Call the advice service on behalf of the leader."""

    request_id: int
    job: str
    occurrence: int
    step: int
    workers: list[str]


class AdviceReply(_Message, tag=7):
    """Answer of the advice service; ``good`` is None where none came."""

    request_id: int
    approved: list[tuple[str, str]] | None
    valid_ms: int = 0


class Resign(_Message, tag=8):
    """Tell that the leader of a term stops on purpose."""

    term: int


class ConfigRequest(_Message, tag=9):
    """Ask the leader for the records of the configuration."""

    version: int


class ConfigRecords(_Message, tag=10):
    """The records of the configuration: key, value and offset of each."""

    records: list[tuple[str, bytes, int]]


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
_decoder = msgspec.msgpack.Decoder(Message)


def decode_message(data: bytes) -> Message:
    """Decode a message; raises msgspec.DecodeError."""
    return _decoder.decode(data)
