"""Settings of an entry process, read from one JSON file."""

import pathlib
import typing as t

import msgspec

from bulrushspur_kernel.errors import BadSettingsError
from bulrushspur_kernel.faults import Fault, make_fault

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


class Bounds(_Strict, frozen=True):
    """Bounds on connections, bodies, queues and times."""

    connections: Whole = 2000
    head_bytes: Whole = 16_384
    body_bytes: Whole = 64 * 1024 * 1024
    buffer_bytes: Whole = 262_144
    buffered_body_bytes: Whole = 64 * 1024 * 1024
    kept_answer_bytes: Whole = 1_048_576
    kept_answers: Whole = 1000
    head_wait_s: Positive = 5.0
    body_wait_s: Positive = 20.0
    idle_wait_s: Positive = 30.0
    worker_connections: Whole = 20
    waiting_requests: Whole = 20_000
    drain_s: Positive = 60.0


class LogSettings(_Strict, frozen=True):
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


PORTS: t.Final = 65_536

_STRUCTS: t.Final = {
    "$": Settings,
    "peers": PeerSettings,
    "bounds": Bounds,
    "log": LogSettings,
}


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
        settings = msgspec.json.decode(data, type=Settings)
    except msgspec.DecodeError as exc:
        raise BadSettingsError(str(make_fault(exc, _STRUCTS))) from exc
    faults = check_settings(settings)
    if faults:
        raise BadSettingsError("\n".join(map(str, faults)))
    return settings


def check_settings(settings: Settings) -> list[Fault]:
    """List what contradicts itself in settings whose fields are each valid."""
    rv = []
    own = ("callers_address", "peers_address", "operators_address")
    listening = {}
    for field in own:
        address = getattr(settings, field)
        if address in listening:
            sentence = f"{address} is {listening[address]} already"
            rv.append(Fault(f"$.{field}", sentence))
        listening.setdefault(address, field)
    for field in (*own, "platform_address"):
        if not 0 < split_address(getattr(settings, field))[1] < PORTS:
            rv.append(Fault(f"$.{field}", f"a port is 1 to {PORTS - 1}"))
    names = set()
    for i, peer in enumerate(settings.peers):
        if peer.name in names:
            rv.append(Fault(f"$.peers[{i}].name", f"{peer.name} stands twice"))
        names.add(peer.name)
    return rv


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
