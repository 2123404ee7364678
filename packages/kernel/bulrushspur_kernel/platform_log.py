"""Adapter to the platform's log and list of VMs, for the daemon and the client.

Nothing outside this module knows the platform's paths, headers or status codes.
"""

import dataclasses
import typing as t

import msgspec

from bulrushspur_kernel.http_client import (
    LostError,
    NotSentError,
    fetch,
    fetch_answer,
)
from bulrushspur_kernel.records import Entry, Record, decode_record, encode_record
from bulrushspur_kernel.work import Vm

NOT_MODIFIED: t.Final = 304


class LogError(Exception):
    """Tell that the platform did not answer; an append may have taken effect."""


class NotAppendedError(LogError):
    """Tell that an append certainly took no effect."""


@dataclasses.dataclass
class Page:
    """Entries read up to ``reached``; the log holds ``first`` to before ``end``."""

    entries: list[Entry]
    first: int
    reached: int
    end: int


class _Stored(msgspec.Struct):
    offset: int
    data: msgspec.Raw


class _Page(msgspec.Struct):
    first: int
    next: int
    records: list[_Stored]


class _Appended(msgspec.Struct):
    offset: int


_page_decoder = msgspec.json.Decoder(_Page)
_appended_decoder = msgspec.json.Decoder(_Appended)
_vms_decoder = msgspec.json.Decoder(list[Vm])


async def append(address: str, record: Record, wait_s: float) -> int:
    """Append a record and return its offset; raises NotAppendedError or LogError."""
    try:
        status, body = await fetch(
            "POST", address, "/log", encode_record(record), wait_s=wait_s
        )
    except NotSentError as exc:
        raise NotAppendedError(str(exc)) from exc
    except LostError as exc:
        raise LogError(str(exc)) from exc
    if status == 429:
        raise NotAppendedError("too many appends")
    return _decode(_appended_decoder, status, body).offset


async def read_log(address: str, from_offset: int, wait_s: float) -> Page:
    """Read a page of the log; raises LogError."""
    status, body = await _get(address, f"/log?from={from_offset}", wait_s)
    page = _decode(_page_decoder, status, body)
    entries = []
    for stored in page.records:
        record = decode_record(bytes(stored.data))
        if record is not None:
            entries.append(Entry(stored.offset, record))
    reached = page.records[-1].offset + 1 if page.records else page.next
    return Page(entries, page.first, reached, page.next)


@dataclasses.dataclass
class VmList:
    """The list of VMs as it was read, with the tag that the platform gave it."""

    vms: list[Vm]
    tag: str = ""


async def read_vms(address: str, wait_s: float) -> list[Vm]:
    """Read the lagging list of VMs; raises LogError."""
    return (await refresh_vms(address, wait_s, VmList([]))).vms


async def refresh_vms(address: str, wait_s: float, known: VmList) -> VmList:
    """Read the list of VMs, or return ``known`` if it did not change.

    A platform that gives no tag sends the whole list each time. Raises LogError.
    """
    headers = [("if-none-match", known.tag)] if known.tag else []
    try:
        answer = await fetch_answer(
            "GET", address, "/vms", headers=headers, wait_s=wait_s
        )
    except (NotSentError, LostError) as exc:
        raise LogError(str(exc)) from exc
    if answer.status == NOT_MODIFIED and known.tag:
        return known
    vms = _decode(_vms_decoder, answer.status, answer.body)
    return VmList(vms, answer.headers.get("etag", ""))


async def _get(address: str, path: str, wait_s: float) -> tuple[int, bytes]:
    try:
        return await fetch("GET", address, path, wait_s=wait_s)
    except (NotSentError, LostError) as exc:
        raise LogError(str(exc)) from exc


def _decode(decoder: msgspec.json.Decoder, status: int, body: bytes):  # noqa: ANN202
    if status != 200:
        raise LogError(f"the platform answered with status {status}")
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise LogError(f"the platform's answer does not decode: {exc}") from exc
