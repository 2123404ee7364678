"""Settings of an entry process, read from one JSON file."""

import pathlib
import typing as t

import msgspec

from bulrushspur_kernel.errors import BadSettingsError

Address = t.Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Positive = t.Annotated[float, msgspec.Meta(gt=0)]
Whole = t.Annotated[int, msgspec.Meta(ge=1)]


class _Strict(msgspec.Struct, forbid_unknown_fields=True):
    pass


class PeerSettings(_Strict):
    """An entry process to talk to from the start."""

    name: str
    domain: str
    address: Address


class Bounds(_Strict):
    """Bounds on connections, bodies, queues and times."""

    connections: Whole = 2000
    head_bytes: Whole = 16_384
    body_bytes: Whole = 64 * 1024 * 1024
    buffer_bytes: Whole = 262_144
    kept_answer_bytes: Whole = 1_048_576
    kept_answers: Whole = 1000
    head_wait_s: Positive = 5.0
    body_wait_s: Positive = 20.0
    idle_wait_s: Positive = 30.0
    waiting_requests: Whole = 20_000
    drain_s: Positive = 60.0


class LogSettings(_Strict):
    """How the process logs."""

    json: bool = False
    level: t.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Settings(_Strict):
    """Settings of one entry process."""

    name: str
    domain: str
    region: str
    callers_address: Address
    peers_address: Address
    operators_address: Address
    platform_address: Address
    peers: list[PeerSettings] = []
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    log: LogSettings = msgspec.field(default_factory=LogSettings)


def load_settings(path: str | pathlib.Path) -> Settings:
    """Read and check a settings file; raises BadSettingsError."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise BadSettingsError(f"{path} cannot be read: {exc.strerror}") from exc
    return parse_settings(data)


def parse_settings(data: bytes) -> Settings:
    """Check settings given as JSON; raises BadSettingsError with the path."""
    try:
        return msgspec.json.decode(data, type=Settings)
    except msgspec.DecodeError as exc:
        raise BadSettingsError(str(exc)) from exc


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
