"""Read and check the settings of an entry process.

The settings come from one JSON file. An invalid file is rejected whole: the
``BadSettingsError`` names the first invalid or unknown field or, if all fields are
valid, each contradiction between them.
"""

import pathlib
import typing as t

import msgspec

from bulrushspur_kernel.decoding import make_json_decoder
from bulrushspur_kernel.errors import BadSettingsError
from bulrushspur_kernel.validation import ValidationIssue, make_validation_issue

Address = t.Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Port = t.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
PositiveFloat = t.Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = t.Annotated[int, msgspec.Meta(ge=1)]


class _StrictStruct(msgspec.Struct, forbid_unknown_fields=True):
    pass


class Bounds(_StrictStruct, frozen=True):
    """Limits of an HTTP server on connections, sizes and times.

    ``buffer_bytes`` applies to the read buffer and to the write buffer of each
    connection. ``drain_s`` is the longest time that requests get to end at shutdown;
    ``grace_s`` of the site may allow them less.
    """

    connections: PositiveInt = 1500
    head_bytes: PositiveInt = 16_384
    body_bytes: PositiveInt = 262_144
    # Of all requests together, until they are answered.
    bodies_bytes: PositiveInt = 8_388_608
    buffer_bytes: PositiveInt = 8192
    head_wait_s: PositiveFloat = 5.0
    body_wait_s: PositiveFloat = 5.0
    idle_wait_s: PositiveFloat = 30.0
    drain_s: PositiveFloat = 4.0


class SiteBounds(_StrictStruct, frozen=True):
    """Timing limits that the site sets for work and leases."""

    # How long a member of a gang waits for the others.
    gang_ms: PositiveInt = 3000
    stop_ms: PositiveInt = 900
    early_ms: PositiveInt = 250
    # Workers shorten longer leases to this.
    lease_most_ms: PositiveInt = 10_000
    # A smaller capacity of a worker counts for so long after it is in the store.
    capacity_notice_ms: PositiveInt = 3000
    # A process that is told to stop is killed after this time.
    grace_s: PositiveFloat = 6.0
    # How long the state of a job that has ended is reported.
    status_s: PositiveFloat = 120.0
    far_factor: PositiveFloat = 2.0
    # Work between two checkpoints of a task that makes checkpoints.
    save_s: PositiveFloat = 1.0


class Sharing(_StrictStruct, frozen=True):
    """What happens where room is short."""

    # 0: the order of waiting work takes no account of past use.
    half_life_s: t.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    # Whether jobs beyond their account's share are rejected that would end too late.
    reject_hopeless: bool = False


class LogSettings(_StrictStruct, frozen=True):
    """Lowest level that is logged, and the limit on lines per second on average."""

    level: t.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    lines_per_s: PositiveFloat = 400.0


class Settings(_StrictStruct):
    """Settings of one entry process."""

    name: str
    domain: str
    callers_address: Address
    ready_address: Address
    peers_address: Address
    store_address: Address
    advice_address: str = ""
    machines_address: str = ""
    operators_address: str = ""
    adapter: str = "bulrushspur_platform"
    interface: t.Literal["platform", "native"] = "platform"
    cores: PositiveFloat = 1.0
    # How fast one of them is, relative to those of other VMs.
    core_speed: PositiveFloat = 1.0
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    site: SiteBounds = msgspec.field(default_factory=SiteBounds)
    sharing: Sharing = msgspec.field(default_factory=Sharing)
    log: LogSettings = msgspec.field(default_factory=LogSettings)


_decode_settings = make_json_decoder(Settings)
_STRUCT_BY_FIELD: t.Final = {
    "$": Settings,
    "bounds": Bounds,
    "site": SiteBounds,
    "sharing": Sharing,
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
    """Parse and check settings given as JSON; raises BadSettingsError."""
    try:
        settings = _decode_settings(data)
    except msgspec.DecodeError as exc:
        raise BadSettingsError(
            str(make_validation_issue(exc, _STRUCT_BY_FIELD))
        ) from exc
    issues = check_settings(settings)
    if issues:
        raise BadSettingsError("\n".join(map(str, issues)))
    return settings


def check_settings(settings: Settings) -> list[ValidationIssue]:
    """List contradictions in settings whose fields are each valid."""
    rv = []
    field_by_address: dict[str, str] = {}
    for field in ("callers_address", "ready_address", "peers_address"):
        address = getattr(settings, field)
        if address in field_by_address:
            sentence = f"{address} is {field_by_address[address]} already"
            rv.append(ValidationIssue(f"$.{field}", sentence))
        field_by_address.setdefault(address, field)
        if not 0 < split_address(address)[1] < 65_536:
            rv.append(ValidationIssue(f"$.{field}", "a port is 1 to 65535"))
    return rv


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raises ValueError if the port is not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
