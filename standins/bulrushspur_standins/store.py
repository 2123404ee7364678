"""Simulate the platform's log store: keyed topics, one partition each.

Serves three requests: append records, read records from an offset on (optionally
waiting for one), and page through the newest record of each key. An append may name the
end offset that it expects, and a producer. A producer's append is refused if its epoch
is lower than the highest one seen or if its sequence number is not the next one. One
that repeats a recent sequence number gets the answer of the first attempt, and its
records are not stored again. A read from an offset whose record has expired is
refused, with the oldest offset that can be read.
"""

import asyncio
import base64
import dataclasses
import random
import struct
import typing as t

from bulrushspur_kernel.http_exchange import Request
from bulrushspur_kernel.http_server import HttpServer
from bulrushspur_standins.serving import Faults, StatusAndBody, json_answer, make_server

MAX_PAGE_ROWS: t.Final = 500
MAX_CACHED_ANSWERS: t.Final = 5


@dataclasses.dataclass
class Record:
    """A stored record: one byte with the length of the key, the key, the value."""

    offset: int
    content: bytes

    @property
    def key(self) -> str:
        """Return the key."""
        return self.content[1 : 1 + self.content[0]].decode()

    @property
    def value(self) -> bytes:
        """Return the value; an empty one deletes the key."""
        return self.content[1 + self.content[0] :]


@dataclasses.dataclass
class Producer:
    """Hold the state of a producer (fenced writer) of a partition."""

    epoch: int = 0
    last_sequence: int | None = None
    cached_answers: dict[int, StatusAndBody] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Partition:
    """Hold a topic's records: those not compacted, and the newest of each key."""

    end_offset: int = 0
    records: list[Record] = dataclasses.field(default_factory=list)
    latest_by_key: dict[str, Record] = dataclasses.field(default_factory=dict)
    producers: dict[str, Producer] = dataclasses.field(default_factory=dict)
    record_added: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def first_offset(self) -> int:
        """Return the oldest offset that can be read."""
        return self.records[0].offset if self.records else self.end_offset


@dataclasses.dataclass
class StoreStandin:
    """Serve the store; ``call_counts`` holds the number of requests by path.

    Each append takes ``append_delay_s`` more than other requests.
    """

    faults: Faults = dataclasses.field(default_factory=Faults)
    rng: random.Random = dataclasses.field(default_factory=lambda: random.Random(1))
    partitions: dict[str, Partition] = dataclasses.field(default_factory=dict)
    call_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    append_delay_s: float = 0.0
    server: HttpServer | None = None

    async def start(self, port: int = 0) -> str:
        """Listen at a port of 127.0.0.1 (0: a free one) and return the address."""
        self.server = make_server(self._handle, self.faults, self.rng)
        await self.server.listen("127.0.0.1", port)
        return f"127.0.0.1:{self.server.port}"

    def partition(self, topic: str) -> Partition:
        """Return the only partition of a topic, made on first use."""
        return self.partitions.setdefault(topic, Partition())

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record as a writer other than entry processes; return its offset."""
        key_bytes = key.encode()
        content = bytes([len(key_bytes)]) + key_bytes + value
        return self._append_records(self.partition(topic), [content])

    def compact(self, topic: str) -> None:
        """Clear the log; the newest record of each key stays readable by page."""
        self.partition(topic).records.clear()

    async def _handle(self, request: Request, body: bytes) -> StatusAndBody:
        path = request.path
        self.call_counts[path] = self.call_counts.get(path, 0) + 1
        partition = self.partition(request.query.get("topic", ""))
        if path == "/-/log-append":
            await asyncio.sleep(self.append_delay_s)
            return self._append(partition, request.query, body)
        if path == "/-/log-read":
            return await self._read(partition, request.query)
        if path == "/-/log-newest":
            return self._read_newest(partition, request.query)
        return json_answer(404)

    def _append(
        self, partition: Partition, query: dict[str, str], body: bytes
    ) -> StatusAndBody:
        producer = None
        if "producer" in query:
            name = query["producer"]
            producer = partition.producers.setdefault(name, Producer())
            early_answer = self._check_producer(producer, query)
            if early_answer is not None:
                return early_answer
        if "at" in query and int(query["at"]) != partition.end_offset:
            return json_answer(412, {"end": partition.end_offset})
        offset = self._append_records(partition, list(_split_contents(body)))
        answer = json_answer(200, {"offset": offset, "end": partition.end_offset})
        if producer is not None:
            sequence = int(query["sequence"])
            producer.last_sequence = sequence
            producer.cached_answers[sequence] = answer
            producer.cached_answers.pop(sequence - MAX_CACHED_ANSWERS, None)
        return answer

    def _check_producer(
        self, producer: Producer, query: dict[str, str]
    ) -> StatusAndBody | None:
        """Return the answer to a fenced, repeated or out-of-order append, else None."""
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        if epoch < producer.epoch:
            return json_answer(409, {"reason": "fenced"})
        if epoch > producer.epoch:
            producer.epoch = epoch
            producer.last_sequence = None
            producer.cached_answers.clear()
            return None
        if sequence in producer.cached_answers:
            return producer.cached_answers[sequence]
        if (
            producer.last_sequence is not None
            and sequence != producer.last_sequence + 1
        ):
            return json_answer(
                409, {"reason": "seq", "sequence": producer.last_sequence + 1}
            )
        return None

    def _append_records(self, partition: Partition, contents: list[bytes]) -> int:
        offset = partition.end_offset
        for content in contents:
            record = Record(partition.end_offset, content)
            partition.end_offset += 1
            partition.records.append(record)
            if record.value:
                partition.latest_by_key[record.key] = record
            else:
                partition.latest_by_key.pop(record.key, None)
        partition.record_added.set()
        partition.record_added = asyncio.Event()
        return offset

    async def _read(self, partition: Partition, query: dict[str, str]) -> StatusAndBody:
        start = int(query["from"])
        wait_s = int(query.get("wait_ms", 0)) / 1000
        if start < partition.first_offset:
            return json_answer(410, {"first": partition.first_offset})
        if start >= partition.end_offset and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await partition.record_added.wait()
            except TimeoutError:
                pass
        records = [record for record in partition.records if record.offset >= start]
        body = struct.pack(">QQ", partition.end_offset, partition.first_offset)
        body += b"".join(
            struct.pack(">I", len(record.content)) + record.content
            for record in records
        )
        return 200, body

    def _read_newest(
        self, partition: Partition, query: dict[str, str]
    ) -> StatusAndBody:
        # The page token is the last key of the previous page; the platform's API
        # names it depends_on.
        last_key = query.get("depends_on", "")
        keys = sorted(key for key in partition.latest_by_key if key > last_key)
        page = keys[:MAX_PAGE_ROWS]
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.latest_by_key[key].value).decode(),
                "offset": partition.latest_by_key[key].offset,
            }
            for key in page
        ]
        more = len(keys) > len(page)
        return json_answer(
            200, {"items": items, "more": more, "end": partition.end_offset}
        )


def _split_contents(body: bytes) -> t.Iterator[bytes]:
    """Yield the records of a body; each has its size in four bytes before it."""
    position = 0
    while position < len(body):
        (size,) = struct.unpack_from(">I", body, position)
        yield body[position + 4 : position + 4 + size]
        position += 4 + size
