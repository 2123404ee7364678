"""Messages between the entry processes; one union, one codec, one version.

``boot`` tells the incarnations of a process apart. ``epoch`` is the number of the
roster of a failure domain. Times are seconds left at the moment of sending, never
clock readings, for the clocks of two VMs have nothing in common.
"""

import typing as t

import msgspec

from bulrushspur_kernel.errors import Refusal
from bulrushspur_kernel.states import RequestAction, RequestState
from bulrushspur_kernel.work import TaskInfo, Work

PROTOCOL_VERSION: t.Final = 1


class _Message(msgspec.Struct, array_like=True, tag=True, omit_defaults=True):
    pass


# Membership and configuration.


class Member(msgspec.Struct, array_like=True, frozen=True):
    """One incarnation of an entry process."""

    name: str
    boot: str


class PeerInfo(msgspec.Struct, array_like=True):
    """What a process tells of itself, or passes on of another, ``age_s`` ago."""

    name: str
    boot: str
    domain: str
    region: str
    address: str
    operators_address: str = ""
    stopping: bool = False
    age_s: float = 0.0


class Load(msgspec.Struct, array_like=True):
    """How busy the workers of an owner are."""

    free_slots: int = 0
    total_slots: int = 0
    queued: int = 0
    queued_work_s: float = 0.0
    wait_s: float = 0.0


class PeerNews(msgspec.Struct, array_like=True):
    """Pass on how busy another process was ``age_ms`` ago; ``mark`` is of its boot."""

    name: str
    mark: int
    age_ms: int
    load: Load


class Heartbeat(_Message):
    """Tell a peer that this process lives, what it knows and how busy it is.

    ``leaving`` names the workers of the domain that leave, as the list of VMs had it
    ``list_age_s`` ago; it goes to members of the own domain only.
    """

    info: PeerInfo
    epoch: int
    next_offset: int
    fresh_age_s: float
    load: Load
    others: list[PeerInfo] = []
    news: list[PeerNews] = []
    leaving: list[str] = []
    list_age_s: float | None = None


class LogRequest(_Message):
    """Ask a peer for folded state newer than an offset, and how fresh it is."""

    from_offset: int
    sequence: int = 0


class LogRecords(_Message):
    """Give folded state at ``next_offset``, encoded; empty where the asker has it.

    ``fresh_age_s`` is for how long the log may have changed unseen by the sender.
    """

    next_offset: int
    fresh_age_s: float
    state: bytes
    sequence: int = 0


# Ownership of workers.


class PromiseRequest(_Message):
    """Ask a voter not to support a successor for ``lease_s`` seconds."""

    domain: str
    epoch: int
    sequence: int
    lease_s: float


class Promise(_Message):
    """Promise the member of that epoch the lease of request ``sequence``."""

    domain: str
    epoch: int
    sequence: int


class PromiseRefused(_Message):
    """Tell a member that its epoch is sealed, or not known yet, at this voter."""

    domain: str
    epoch: int
    sequence: int
    newest_epoch: int


class SealRequest(_Message):
    """Ask a voter of ``epoch`` to promise nothing more under it."""

    domain: str
    epoch: int
    newer_epoch: int


class Sealed(_Message):
    """Tell how long promises made under a sealed epoch still last, by member name."""

    domain: str
    epoch: int
    remaining_s: dict[str, float]


class Released(_Message):
    """Give up workers under all epochs before ``epoch``, with what runs on each."""

    domain: str
    epoch: int
    tasks: dict[str, list[TaskInfo]]


# Upper limits.


class PermitRequest(_Message):
    """Ask the limit holder of the domain for permits of teams."""

    epoch: int
    wanted: dict[str, int]


class PermitGrant(_Message):
    """Grant permits; ``sequence`` makes a second delivery harmless.

    ``version`` is of the text that the parts are of.
    """

    epoch: int
    sequence: int
    granted: dict[str, int]
    version: int = 0


class PermitRecall(_Message):
    """Ask an owner to give back unused permits of teams.

    With ``excess`` the limit was lowered: it gives back as many as its tasks end, too.
    """

    epoch: int
    teams: dict[str, int]
    excess: bool = False


class PermitReport(_Message):
    """Tell the limit holder all permits that an owner holds; it replaces the last.

    Grants up to ``grant_sequence`` are counted in ``held`` or will never be.
    ``settled`` tells that the owner has taken over all its workers under this epoch.
    """

    epoch: int
    sequence: int
    grant_sequence: int
    held: dict[str, int]
    settled: bool = True


class PartRequest(_Message):
    """Ask another failure domain for idle parts of upper limits."""

    domain: str
    wanted: dict[str, int]


# At most once.


class ClaimId(_Message):
    """Claim a request id at its home before anything is started for it."""

    request_id: str
    digest: str
    door: Member
    ticket: str = ""


class IdRecord(msgspec.Struct, array_like=True):
    """What the home of a request id knows of it.

    The record that a later ``epoch`` wrote last is the valid one, and within an epoch
    the one of the higher ``revision``. ``ticket`` tells two claims of a door apart.
    """

    request_id: str
    digest: str
    door: Member
    state: RequestState
    age_s: float = 0.0
    owner: str = ""
    ticket: str = ""
    epoch: int = 0
    revision: int = 0


class Claimed(_Message):
    """Answer a claim: ``fresh`` if it is the first, else the first record."""

    request_id: str
    fresh: bool
    record: IdRecord | None = None
    refusal: Refusal | None = None
    ticket: str = ""


class CopyIds(_Message):
    """Copy records to another home, before a claim is answered or a roster changes.

    With ``complete`` the sender has sent all that it has for this home and epoch.
    Ids made before ``unknown_before_s`` (seconds since 1970) may have been forgotten;
    ``lost`` names the members that went since the sender's records were complete.
    """

    epoch: int
    sequence: int
    records: list[IdRecord]
    complete: bool = False
    unknown_before_s: float = 0.0
    lost: list[Member] = []


class CopyIdsAck(_Message):
    """Confirm copied records."""

    epoch: int
    sequence: int


class IdState(msgspec.Struct, array_like=True):
    """A new state of a request id, as the door that claimed it tells it."""

    request_id: str
    state: RequestState
    owner: str = ""
    ticket: str = ""


class SetIdStates(_Message):
    """Tell a home that requests started, ended, or certainly did not run."""

    sequence: int
    states: list[IdState]


class IdStatesAck(_Message):
    """Confirm new states."""

    sequence: int


class QueryId(_Message):
    """Ask the home for the record of a request id."""

    request_id: str
    ticket: str


class IdAnswer(_Message):
    """Answer a query for a request id."""

    request_id: str
    ticket: str
    record: IdRecord | None = None
    refusal: Refusal | None = None


# Work.


class Offer(_Message):
    """Offer work to an owner of workers; ``ticket`` names the offer."""

    ticket: str
    work: Work
    waited_s: float = 0.0


class Queued(_Message):
    """Tell the door that an offer waits, and for how long it is likely to."""

    ticket: str
    predicted_wait_s: float
    position: int


class Refused(_Message):
    """Give up an offer; with ``elsewhere`` the door may offer it to that owner."""

    ticket: str
    refusal: Refusal
    elsewhere: str = ""


class Granted(_Message):
    """Tell the door that room is reserved and the body is wanted now."""

    ticket: str
    worker: str
    task_id: str


class Withdraw(_Message):
    """Withdraw an offer: the caller cancelled or the door moved it."""

    ticket: str


class AskRequest(_Message):
    """Ask the door that took a request for its state or answer, or to cancel it."""

    ticket: str
    request_id: str
    team: str
    action: RequestAction


class RequestTold(_Message):
    """Answer AskRequest with a state, or with why there is none.

    An answer that was asked for follows as a stream of the same ticket.
    """

    ticket: str
    state: str = ""
    refusal: Refusal | None = None


class Spare(_Message):
    """Ask another owner for room (below 0), or tell a busier one what is free here.

    ``slots`` are for any work, ``small_slots`` for small work only.
    """

    slots: int = 0
    small_slots: int = 0


# Streams between a door and an owner in another process.


class BodyChunk(_Message):
    """Carry a part of a request body to the owner."""

    ticket: str
    sequence: int
    data: bytes
    last: bool = False


class AnswerHead(_Message):
    """Carry status and content type of the answer of a worker to the door."""

    ticket: str
    status: int
    headers: list[tuple[str, str]]


class AnswerChunk(_Message):
    """Carry a part of an answer to the door."""

    ticket: str
    sequence: int
    data: bytes
    last: bool = False


class AnswerFailed(_Message):
    """Tell the door that a started request has no whole answer."""

    ticket: str
    refusal: Refusal


class Credit(_Message):
    """Allow the sender of a stream so many bytes more."""

    ticket: str
    of_body: bool
    bytes_more: int


Message = t.Union[  # noqa: UP007
    Heartbeat,
    LogRequest,
    LogRecords,
    PromiseRequest,
    Promise,
    PromiseRefused,
    SealRequest,
    Sealed,
    Released,
    PermitRequest,
    PermitGrant,
    PermitRecall,
    PermitReport,
    PartRequest,
    ClaimId,
    Claimed,
    CopyIds,
    CopyIdsAck,
    SetIdStates,
    IdStatesAck,
    QueryId,
    IdAnswer,
    Offer,
    Queued,
    Refused,
    Granted,
    Withdraw,
    AskRequest,
    RequestTold,
    Spare,
    BodyChunk,
    AnswerHead,
    AnswerChunk,
    AnswerFailed,
    Credit,
]


class Envelope(msgspec.Struct, array_like=True):
    """A message with its sender and the version of the protocol."""

    version: int
    sender: str
    boot: str
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope for the wire."""
    return _encoder.encode(envelope)


def decode(data: bytes) -> Envelope | None:
    """Decode an envelope; None where it does not decode or has another version."""
    try:
        envelope = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError):
        return None
    return envelope if envelope.version == PROTOCOL_VERSION else None
