"""Connect entry processes: the leader connects to the bound socket of each other one.

Received messages are decoded and passed to a handler; one that cannot be decoded is
logged and dropped. Messages are sent without waiting: a peer that is not connected, or
whose queue is full, makes the call return False.
"""

import asyncio
import dataclasses
import typing as t

import msgspec
import zmq
import zmq.asyncio

from bulrushspur_kernel import messages
from bulrushspur_kernel.logs import EventLog

HEARTBEAT_INTERVAL_MS: t.Final = 400
HEARTBEAT_TIMEOUT_MS: t.Final = 1200
CONNECT_TIMEOUT_MS: t.Final = 500
MIN_RECONNECT_INTERVAL_MS: t.Final = 50
MAX_RECONNECT_INTERVAL_MS: t.Final = 400
MAX_QUEUED_MESSAGES: t.Final = 20_000

MessageHandler = t.Callable[[t.Any, messages.Message], None]


def _set_options(socket: zmq.asyncio.Socket) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL, MIN_RECONNECT_INTERVAL_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)


@dataclasses.dataclass
class PeerServer:
    """The socket to which leaders connect."""

    socket: zmq.asyncio.Socket
    on_message: MessageHandler
    log: EventLog
    on_disconnect: t.Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Receive messages until cancelled."""
        while True:
            identity, *frames = await self.socket.recv_multipart()
            message = _decode(b"".join(frames), self.log)
            if message is not None:
                _handle(self.on_message, identity, message, self.log)

    async def watch_disconnects(self) -> None:
        """Call ``on_disconnect`` for each broken connection until cancelled."""
        monitor = self.socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        while True:
            await monitor.recv_multipart()
            self.on_disconnect()

    def send(self, identity: bytes, message: messages.Message) -> bool:
        """Send to a leader; return whether the message was queued for it."""
        parts = [identity, messages.encode_message(message)]
        return _send(self.socket, parts)


@dataclasses.dataclass
class PeerClient:
    """The leader's socket to one other process."""

    name: str
    address: str
    socket: zmq.asyncio.Socket
    on_message: MessageHandler
    log: EventLog
    receive_task: asyncio.Task[None] | None = None
    last_message_s: float = 0.0

    async def run(self) -> None:
        """Receive messages until cancelled."""
        while True:
            data = await self.socket.recv()
            message = _decode(data, self.log)
            if message is not None:
                _handle(self.on_message, self, message, self.log)

    def send(self, message: messages.Message) -> bool:
        """Send to the process; return whether the message was queued for it."""
        return self.send_encoded(messages.encode_message(message))

    def send_encoded(self, data: bytes) -> bool:
        """Send a message that is encoded already, as one sent to many processes is."""
        return _send(self.socket, [data])

    def close(self) -> None:
        """Close the socket."""
        if self.receive_task is not None:
            self.receive_task.cancel()
        self.socket.close(linger=0)


def _send(socket: zmq.asyncio.Socket, parts: list[bytes]) -> bool:
    # With NOBLOCK the returned future is already done.
    sent = socket.send_multipart(parts, flags=zmq.NOBLOCK)
    return sent.done() and sent.exception() is None


def _handle(
    on_message: MessageHandler, sender: t.Any, message: messages.Message, log: EventLog
) -> None:
    """Handle a message; one that can't be handled must not end the process."""
    try:
        on_message(sender, message)
    except Exception as exc:
        log.event("peer_message_fault", kind=type(message).__name__, reason=repr(exc))


def _decode(data: bytes, log: EventLog) -> messages.Message | None:
    try:
        return messages.decode_message(data)
    except msgspec.DecodeError as exc:
        log.event("peer_message_unreadable", reason=str(exc))
        return None


def make_peer_server(
    context: zmq.asyncio.Context,
    address: str,
    on_message: MessageHandler,
    log: EventLog,
) -> PeerServer:
    """Bind the socket to which leaders connect."""
    socket = context.socket(zmq.ROUTER)
    _set_options(socket)
    socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
    socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
    socket.bind(f"tcp://{address}")
    return PeerServer(socket, on_message, log)


def make_peer_client(
    context: zmq.asyncio.Context,
    name: str,
    address: str,
    identity: bytes,
    on_message: MessageHandler,
    log: EventLog,
) -> PeerClient:
    """Connect to one other process and start to receive from it."""
    socket = context.socket(zmq.DEALER)
    _set_options(socket)
    socket.setsockopt(zmq.IDENTITY, identity)
    socket.setsockopt(zmq.IMMEDIATE, 1)
    socket.connect(f"tcp://{address}")
    client = PeerClient(name, address, socket, on_message, log)
    client.receive_task = asyncio.create_task(client.run())
    return client
