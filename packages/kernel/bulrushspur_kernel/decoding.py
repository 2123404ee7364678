"""Make decoders of data from others, which fail in one way only.

msgspec raises DecodeError for malformed data, but other errors for data that is nested
too deeply or holds a number that Python does not convert. A reader that catches one and
not the others would end with a single record. Numbers that are stored or sent again
have a range: MessagePack has no larger ones.
"""

import typing as t

import msgspec

T = t.TypeVar("T")

# JSON numbers up to this one are exact in all languages.
MAX_COUNT: t.Final = 2**53
# In the year 2109.
MAX_UNIX_MS: t.Final = 2**42

Count = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
# Of a resource, in its own unit.
Amount = t.Annotated[int, msgspec.Meta(ge=0, le=2**31)]
SmallInt = t.Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31)]
UnixMs = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
Milliseconds = t.Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]


def make_json_decoder(type_: type[T]) -> t.Callable[[bytes], T]:
    """Make a decoder of JSON, which raises msgspec.DecodeError and nothing else."""
    return _fail_in_one_way(msgspec.json.Decoder(type_).decode)


def make_msgpack_decoder(type_: t.Any) -> t.Callable[[bytes], t.Any]:
    """Make a decoder of MessagePack, which raises msgspec.DecodeError alone."""
    return _fail_in_one_way(msgspec.msgpack.Decoder(type_).decode)


def _fail_in_one_way(decode: t.Callable[[bytes], T]) -> t.Callable[[bytes], T]:
    def decode_or_fail(data: bytes) -> T:
        try:
            return decode(data)
        except msgspec.DecodeError:
            raise
        except RecursionError as exc:
            raise msgspec.DecodeError("nested too deeply") from exc
        except (ValueError, OverflowError) as exc:
            raise msgspec.DecodeError(str(exc)) from exc

    return decode_or_fail
