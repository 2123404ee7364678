"""Entries that another writer may leave: malformed, huge, or out of range."""

import json
import struct

import msgspec

from bulrushspur_kernel.membership_records import NodeRecord
from bulrushspur_scheduler.progress_records import OccurrenceRecord, ProgressRecord

NESTED = 100_000
ENTRY = {
    "service": "coursework",
    "address": "127.0.0.1:9",
    "zone": "north",
    "state": "ready",
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
    "labels": ["a", "r1"],
}
DEEP_ARRAY = b"[" * NESTED + b"]" * NESTED
DEEP_OBJECT = b'{"a":' * NESTED + b"1" + b"}" * NESTED
# Nothing in MessagePack is nested more deeply in fewer bytes.
DEEP_PACK = b"\x91" * NESTED + b"\x01"
# Of requests and answers.
ODD_BODIES = (
    b"",
    b"7",
    b"\xff",
    DEEP_ARRAY,
    DEEP_OBJECT,
    b'{"unknown":' + DEEP_ARRAY + b"}",
)


def make_entry(**fields):
    return json.dumps({**ENTRY, **fields}).encode()


def add_raw(name, value, entry=None):
    """Add a field whose value is raw JSON to an entry."""
    return (entry or make_entry())[:-1] + b',"%b":%b}' % (name.encode(), value)


def make_numbers():
    """Return numbers that are too large, negative or of another type, as raw JSON."""
    return (b"-1", b"1e400", b"9" * 25, b"9" * 400, b"9" * 5000, b"NaN", b'"1"', b"{}")


def list_odd_entries():
    """Return entries of workers, by what is odd about them."""
    rv = {
        "empty object": b"{}",
        "no object": b"7",
        "no text": b"\xff\x00\xfe",
        "cut": make_entry()[:30],
        "deep": DEEP_ARRAY,
        "deep object": DEEP_OBJECT,
        "deep unknown field": add_raw("unknown", DEEP_ARRAY),
        "deep known field": add_raw("labels", DEEP_ARRAY),
        "unknown state": make_entry(state="sleeping"),
        "unknown service": make_entry(service="none-such"),
        "labels of another type": make_entry(labels=[1, None]),
        "unpaired surrogate": make_entry(zone="\ud800"),
    }
    ports = (
        "",
        "0",
        "-1",
        "65536",
        "99999",
        "1e3",
        "80 ",
        "\u00b2",
        "\u0663",
        "9" * 5000,
    )
    for port in ports:
        rv[f"port {port[:9]}"] = make_entry(address=f"127.0.0.1:{port}")
    for host in ("", " ", "no host", "a\x00b", "a\r\nb", "\u00e9"):
        rv[f"host {host!r}"] = make_entry(address=f"{host}:80")
    for number in make_numbers():
        for field in ("born", "cold_left_ms", "remaining_ms"):
            rv[f"{field} {number[:9].decode()}"] = add_raw(field, number)
        for field in ("cpu", "mem_mb", "gpu"):
            capacity = b'{"cpu":16000,"mem_mb":32768,"%b":%b}' % (
                field.encode(),
                number,
            )
            rv[f"{field} {number[:9].decode()}"] = add_raw("capacity", capacity)
    return rv


def list_odd_packs():
    """Return values that are no records of the product, by what is odd about them."""
    return {
        "deep": DEEP_PACK,
        "no text": b"\x95\xa1\xff\xa1\xff\xa1\xff\xcb" + bytes(8) + b"\xa1\xff",
        "cut": b"\xdd\xff\xff\xff\xff",
        "large number": b"\x92\xcf" + struct.pack(">Q", 2**64 - 1) + b"\xa1a",
        "text": b"odd",
    }


def add_deep_field(record):
    """Add a deeply nested field to an encoded record of fewer than 15 fields."""
    data = msgspec.msgpack.encode(record)
    return bytes([data[0] + 1]) + data[1:] + DEEP_PACK


def list_odd_nodes():
    """Return records of entry processes that can be read in part, by what is odd."""
    node = NodeRecord("odd", "north", "127.0.0.1:9", 1.0, "i")
    addresses = ("", "none", "127.0.0.1:99999", "127.0.0.1:", "a\x00b:1", "*:*")
    rv = {"deep further field": add_deep_field(node)}
    for address in addresses:
        odd = msgspec.structs.replace(node, name=address[:5], peers_address=address)
        rv[f"address {address!r}"] = msgspec.msgpack.encode(odd)
    for cores in (0.0, -1.0, 1e300, float("inf"), float("nan")):
        odd = msgspec.structs.replace(node, cores=cores)
        rv[f"cores {cores}"] = msgspec.msgpack.encode(odd)
    return rv


def list_odd_progress():
    """Return records of the progress of a job with one task, by what is odd."""

    def encode(*fields, **others):
        row = OccurrenceRecord(*fields)
        return msgspec.msgpack.encode(ProgressRecord(0, "a", "q", [row], **others))

    large = 2**64 - 1
    return {
        "deep further field": add_deep_field(ProgressRecord(0, "a", "q", [], [], "r")),
        "large occurrence": encode(large, []),
        "large failed run": encode(0, [], {"0.0": [large]}),
        "large term": encode(
            0, [], {"0.0": [1]}, {}, {}, {}, {"0.0": [("w0", 1, large)]}
        ),
        "large crash count": encode(0, [], {}, {"0.0": (large, large, large)}),
        "large trial": encode(0, [], {}, {}, {"0.0": ("w0", "m", large)}),
        "unknown state": msgspec.msgpack.encode(ProgressRecord(99, "a", "q")),
        "many bits": encode(0, [b"\xff" * 1000] * 3),
    }
