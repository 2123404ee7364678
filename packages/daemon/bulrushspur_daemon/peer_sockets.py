"""Sockets between entry processes: the leader connects to each of the others."""

import asyncio
import dataclasses
import typing as t

import msgspec
import zmq
import zmq.asyncio

from bulrushspur_kernel import messages
from bulrushspur_kernel.logs import EventLog

HEARTBEAT_MS: t.Final = 400
SILENCE_MS: t.Final = 1200
CONNECT_MS: t.Final = 500
RECONNECT_MS: t.Final = 50
RECONNECT_MOST_MS: t.Final = 400
WAITING_MESSAGES: t.Final = 20_000

Receive = t.Callable[[t.Any, messages.Message], None]


def _set_options(socket: zmq.asyncio.Socket) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, WAITING_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, WAITING_MESSAGES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, SILENCE_MS)
    socket.setsockopt(zmq.HEARTBEAT_TTL, SILENCE_MS)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MOST_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_MS)


@dataclasses.dataclass
class PeerServer:
    """The socket that leaders connect to."""

    socket: zmq.asyncio.Socket
    receive: Receive
    log: EventLog
    on_broken: t.Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Receive until cancelled."""
        while True:
            identity, data = await self.socket.recv_multipart()
            message = _decode(data, self.log)
            if message is not None:
                self.receive(identity, message)

    async def watch(self) -> None:
        """Tell of connections that break until cancelled."""
        monitor = self.socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        while True:
            await monitor.recv_multipart()
            self.on_broken()

    def send(self, identity: bytes, message: messages.Message) -> bool:
        """Send to a leader; tell whether it is connected."""
        parts = [identity, messages.encode(message)]
        return _send(self.socket, parts)


@dataclasses.dataclass
class PeerClient:
    """The leader's socket to one other process."""

    name: str
    address: str
    socket: zmq.asyncio.Socket
    receive: Receive
    log: EventLog
    task: asyncio.Task[None] | None = None
    heard_s: float = 0.0

    async def run(self) -> None:
        """Receive until cancelled."""
        while True:
            data = await self.socket.recv()
            message = _decode(data, self.log)
            if message is not None:
                self.receive(self, message)

    def send(self, message: messages.Message) -> bool:
        """Send to the process; tell whether it is connected."""
        return _send(self.socket, [messages.encode(message)])

    def close(self) -> None:
        """Close the socket."""
        if self.task is not None:
            self.task.cancel()
        self.socket.close(linger=0)


def _send(socket: zmq.asyncio.Socket, parts: list[bytes]) -> bool:
    # With this flag the future is done when it is returned.
    sent = socket.send_multipart(parts, flags=zmq.NOBLOCK)
    return sent.done() and sent.exception() is None


def _decode(data: bytes, log: EventLog) -> messages.Message | None:
    try:
        return messages.decode(data)
    except msgspec.DecodeError as exc:
        log.event("peer_message_unreadable", reason=str(exc))
        return None


def make_peer_server(
    context: zmq.asyncio.Context, address: str, receive: Receive, log: EventLog
) -> PeerServer:
    """Bind the socket that leaders connect to."""
    socket = context.socket(zmq.ROUTER)
    _set_options(socket)
    socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
    socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
    socket.bind(f"tcp://{address}")
    return PeerServer(socket, receive, log)


def make_peer_client(
    context: zmq.asyncio.Context,
    name: str,
    address: str,
    identity: bytes,
    receive: Receive,
    log: EventLog,
) -> PeerClient:
    """Connect to one other process."""
    socket = context.socket(zmq.DEALER)
    _set_options(socket)
    socket.setsockopt(zmq.IDENTITY, identity)
    socket.setsockopt(zmq.IMMEDIATE, 1)
    socket.connect(f"tcp://{address}")
    rv = PeerClient(name, address, socket, receive, log)
    rv.task = asyncio.create_task(rv.run())
    return rv
