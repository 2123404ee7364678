"""Talks to the other entry processes over pyzmq.

Each process binds one ROUTER, on which it only receives, and connects one DEALER to
each peer, on which it only sends. A message that cannot be sent now is dropped: the
protocol repeats what must arrive.
"""

import dataclasses
import typing as t

import zmq
import zmq.asyncio

from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.logs import make_logger

if t.TYPE_CHECKING:
    from bulrushspur_daemon.process import Process

log = make_logger("peers")

QUEUED_MESSAGES: t.Final = 20_000
MESSAGE_BYTES: t.Final = 4 * 1024 * 1024
RECEIVE_BURST: t.Final = 200
# What the framing of a message adds on the wire.
FRAME_BYTES: t.Final = 2


@dataclasses.dataclass
class Peers:
    """The sockets of this process and who they lead to."""

    process: "Process"
    context: zmq.asyncio.Context
    router: zmq.asyncio.Socket
    plain: zmq.Context
    dealers: dict[str, tuple[str, zmq.Socket]] = dataclasses.field(default_factory=dict)
    sent_bytes: int = 0
    received_bytes: int = 0

    def send(self, name: str, message: msg.Message) -> None:
        """Send a message to a peer by name, or drop it."""
        dealer = self._dealer(name)
        if dealer is None:
            self.process.node.metrics.count("peers.unknown")
            return
        me = self.process.node.me
        data = msg.encode(msg.Envelope(msg.PROTOCOL_VERSION, me.name, me.boot, message))
        try:
            dealer.send(data, zmq.NOBLOCK)
            self.sent_bytes += len(data) + FRAME_BYTES
        except zmq.ZMQError:
            self.process.node.metrics.count("peers.dropped")

    def _dealer(self, name: str) -> zmq.Socket | None:
        address = self.process.address_of(name)
        known = self.dealers.get(name)
        if address is None:
            return known[1] if known else None
        if known is not None and known[0] == address:
            return known[1]
        if known is not None:
            known[1].close(linger=0)
        dealer = self.plain.socket(zmq.DEALER)
        dealer.setsockopt(zmq.SNDHWM, QUEUED_MESSAGES)
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.setsockopt(zmq.RECONNECT_IVL, 50)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        dealer.connect(f"tcp://{address}")
        self.dealers[name] = (address, dealer)
        return dealer

    async def run(self) -> None:
        """Receive until cancelled."""
        try:
            while True:
                frames = await self.router.recv_multipart()
                self._take(frames[-1])
        finally:
            self.close()

    def _take(self, data: bytes) -> None:
        self.received_bytes += len(data) + FRAME_BYTES
        envelope = msg.decode(data)
        if envelope is None:
            self.process.node.metrics.count("peers.undecodable")
            return
        sender = msg.Member(envelope.sender, envelope.boot)
        self.process.receive(sender, envelope.message)

    def close(self) -> None:
        """Close all sockets."""
        self.router.close(linger=0)
        for _, dealer in self.dealers.values():
            dealer.close(linger=100)
        self.context.term()
        self.plain.term()


def make_peers(process: "Process") -> Peers:
    """Bind the socket that peers send to."""
    context = zmq.asyncio.Context()
    router = context.socket(zmq.ROUTER)
    router.setsockopt(zmq.MAXMSGSIZE, MESSAGE_BYTES)
    router.setsockopt(zmq.RCVHWM, QUEUED_MESSAGES)
    router.bind(f"tcp://{process.settings.peers_address}")
    return Peers(process, context, router, zmq.Context())
