"""Define all error kinds, the answer to each, and the exceptions that carry them.

The list of kinds is closed. ``ANSWERS`` gives the HTTP status, the exit code and the
advice for each kind.
"""

import enum
import typing as t

import msgspec


class Ran(enum.Enum):
    """Whether the work of a refused request has run."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


class ErrorKind(enum.Enum):
    """Every kind of refusal or failure that is reported to callers and operators."""

    BAD_REQUEST = "bad_request"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    ANSWER_TOO_LARGE = "answer_too_large"
    SLOW_SENDER = "slow_sender"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_REQUEST = "unknown_request"
    WRONG_TEAM = "wrong_team"
    KEYS_STALE = "keys_stale"
    NO_TEXT = "no_text"
    ID_NEEDED = "id_needed"
    ID_EXPIRED = "id_expired"
    ID_USED = "id_used"
    HOME_UNREACHABLE = "home_unreachable"
    NEVER_FITS = "never_fits"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    CANCELLED = "cancelled"
    NO_OWNER = "no_owner"
    STOPPING = "stopping"
    INTERRUPTED = "interrupted"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    NO_MEMORY = "no_memory"
    WORKER_REFUSED = "worker_refused"
    WORKER_FAILED = "worker_failed"
    WORKER_LOST = "worker_lost"
    PEER_LOST = "peer_lost"
    PLATFORM_DOWN = "platform_down"
    RACE_LOST = "race_lost"
    BAD_TEXT = "bad_text"
    BAD_SETTINGS = "bad_settings"
    INTERNAL = "internal"


class ErrorDetails(msgspec.Struct, frozen=True):
    """HTTP status, exit code and advice for one kind of error."""

    status: int
    exit_code: int
    advice: str


_RETRY_ADVICE = "Send it again after Retry-After seconds."
_FIX_ADVICE = "Change the request before you send it again."

ANSWERS: t.Final[dict[ErrorKind, ErrorDetails]] = {
    ErrorKind.BAD_REQUEST: ErrorDetails(400, 2, _FIX_ADVICE),
    ErrorKind.HEAD_TOO_LARGE: ErrorDetails(431, 2, _FIX_ADVICE),
    ErrorKind.BODY_TOO_LARGE: ErrorDetails(413, 2, _FIX_ADVICE),
    ErrorKind.ANSWER_TOO_LARGE: ErrorDetails(
        507, 2, "Wait for the answer: leave out X-Answer-Later."
    ),
    ErrorKind.SLOW_SENDER: ErrorDetails(408, 4, _RETRY_ADVICE),
    ErrorKind.UNKNOWN_PATH: ErrorDetails(404, 2, "See docs/CALLERS.md for the paths."),
    ErrorKind.UNKNOWN_SERVICE: ErrorDetails(404, 2, "Name a service of the text."),
    ErrorKind.UNKNOWN_KIND: ErrorDetails(404, 2, "Name a kind of this service."),
    ErrorKind.UNKNOWN_KEY: ErrorDetails(401, 2, "Ask an operator for a key."),
    ErrorKind.UNKNOWN_REQUEST: ErrorDetails(404, 2, "Check the request id."),
    ErrorKind.WRONG_TEAM: ErrorDetails(403, 2, "Use a key of the team that owns it."),
    ErrorKind.KEYS_STALE: ErrorDetails(503, 4, _RETRY_ADVICE),
    ErrorKind.NO_TEXT: ErrorDetails(503, 4, "Publish a text: bulrushspur publish FILE"),
    ErrorKind.ID_NEEDED: ErrorDetails(
        400, 2, "Take an id with POST /v1/ids or mark the request idempotent."
    ),
    ErrorKind.ID_EXPIRED: ErrorDetails(410, 2, "Take a new id with POST /v1/ids."),
    ErrorKind.ID_USED: ErrorDetails(409, 2, "Ask GET /v1/requests/ID for its state."),
    ErrorKind.HOME_UNREACHABLE: ErrorDetails(503, 4, _RETRY_ADVICE),
    ErrorKind.NEVER_FITS: ErrorDetails(422, 2, "Ask for less than the largest worker."),
    ErrorKind.QUEUE_FULL: ErrorDetails(429, 4, _RETRY_ADVICE),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorDetails(503, 4, _RETRY_ADVICE),
    ErrorKind.DEADLINE_PASSED: ErrorDetails(504, 4, "Allow a longer deadline."),
    ErrorKind.CANCELLED: ErrorDetails(409, 0, "Nothing to do."),
    ErrorKind.NO_OWNER: ErrorDetails(503, 4, _RETRY_ADVICE),
    ErrorKind.STOPPING: ErrorDetails(503, 4, _RETRY_ADVICE),
    ErrorKind.INTERRUPTED: ErrorDetails(
        504, 4, "Ask for its state, or send the same id again."
    ),
    ErrorKind.TOO_MANY_CONNECTIONS: ErrorDetails(503, 4, _RETRY_ADVICE),
    ErrorKind.NO_MEMORY: ErrorDetails(503, 4, _RETRY_ADVICE),
    ErrorKind.WORKER_REFUSED: ErrorDetails(503, 4, _RETRY_ADVICE),
    ErrorKind.WORKER_FAILED: ErrorDetails(502, 4, "Look at the answer of the worker."),
    ErrorKind.WORKER_LOST: ErrorDetails(
        502, 4, "Ask GET /v1/requests/ID for its state."
    ),
    ErrorKind.PEER_LOST: ErrorDetails(502, 4, "Ask GET /v1/requests/ID for its state."),
    ErrorKind.PLATFORM_DOWN: ErrorDetails(
        503, 4, "Try again when the platform answers."
    ),
    ErrorKind.RACE_LOST: ErrorDetails(
        409, 3, "Fetch the version in force: bulrushspur show"
    ),
    ErrorKind.BAD_TEXT: ErrorDetails(400, 2, "Check it: bulrushspur check FILE"),
    ErrorKind.BAD_SETTINGS: ErrorDetails(400, 2, "See docs/SETTINGS.md."),
    ErrorKind.INTERNAL: ErrorDetails(500, 1, "Report it with: bulrushspur dump"),
}


class Refusal(msgspec.Struct, omit_defaults=True):
    """A refusal that is sent to a caller; ``retry_after_s`` is in seconds."""

    kind: ErrorKind
    sentence: str
    ran: Ran = Ran.NO
    retry_after_s: float | None = None

    @property
    def details(self) -> ErrorDetails:
        """Return status, exit code and advice for this kind."""
        return ANSWERS[self.kind]


class BulrushspurError(Exception):
    """Base of errors that are shown to operators, with a kind and a sentence."""

    kind: t.ClassVar[ErrorKind] = ErrorKind.INTERNAL

    def __init__(self, sentence: str) -> None:
        super().__init__(sentence)
        self.sentence = sentence

    @property
    def exit_code(self) -> int:
        """Return the exit code of the client for this kind."""
        return ANSWERS[self.kind].exit_code

    def format(self) -> str:
        """Format the sentence and the advice."""
        return f"Error: {self.sentence}\nNext: {ANSWERS[self.kind].advice}"


class BadSettingsError(BulrushspurError):
    """Signal an invalid settings file; the sentence names the fault."""

    kind = ErrorKind.BAD_SETTINGS


class BadTextError(BulrushspurError):
    """Signal an invalid text of the operators; the sentence names the fault."""

    kind = ErrorKind.BAD_TEXT


class PlatformUnavailableError(BulrushspurError):
    """Signal that the platform did not answer; the action may have taken effect."""

    kind = ErrorKind.PLATFORM_DOWN


class VersionConflictError(BulrushspurError):
    """Signal that another operator has published a version in the meantime."""

    kind = ErrorKind.RACE_LOST


class BadRequestError(BulrushspurError):
    """Signal an invalid request or command; the sentence names the fault."""

    kind = ErrorKind.BAD_REQUEST
