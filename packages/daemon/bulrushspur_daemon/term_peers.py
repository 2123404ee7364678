"""Connect the leader to all other entry processes of the cell.

Node records of the registry go in; heartbeats, resignations and advice requests
go out. The leader's own process is reached by callbacks instead of a socket.
"""

import dataclasses
import typing as t

import zmq
import zmq.asyncio

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.node_registry import NodeRegistry
from bulrushspur_daemon.peer_sockets import PeerClient, make_peer_client
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import (
    AdviceRequest,
    Heartbeat,
    Message,
    Resign,
    encode_message,
)

# Other processes answer each heartbeat.
PEER_TIMEOUT_S: t.Final = 0.6


@dataclasses.dataclass
class TermPeers:
    """Connections of one term; the leader's own process is one more advice lane."""

    context: zmq.asyncio.Context
    name: str
    identity: bytes
    node_registry: NodeRegistry
    log: EventLog
    on_local_heartbeat: t.Callable[[Heartbeat], None]
    on_local_advice_request: t.Callable[[AdviceRequest], None]
    on_message: t.Callable[[Message, t.Callable[[Message], t.Any]], None] = (
        lambda message, reply: None
    )
    clients: dict[str, PeerClient] = dataclasses.field(default_factory=dict)

    def update(self) -> None:
        """Connect to every registered process, at its current address."""
        for name, node in self.node_registry.nodes.items():
            client = self.clients.get(name)
            if name == self.name or (client and client.address == node.peers_address):
                continue
            if client is not None:
                client.close()
                del self.clients[name]
            try:
                self.clients[name] = make_peer_client(
                    self.context,
                    name,
                    node.peers_address,
                    self.identity,
                    self._handle_message,
                    self.log,
                )
            except zmq.ZMQError as exc:
                self.log.event("peer_unusable", peer=name, reason=str(exc))

    def _handle_message(self, client: PeerClient, message: Message) -> None:
        client.last_message_s = monotonic_s()
        self.on_message(message, client.send)

    def broadcast_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Send a heartbeat to all processes, including this one."""
        self.on_local_heartbeat(heartbeat)
        data = encode_message(heartbeat)
        for client in self.clients.values():
            client.send_encoded(data)

    def resign(self, term: int) -> None:
        """Announce to all other processes that the term ends."""
        for client in self.clients.values():
            client.send(Resign(term))

    def lane_names(self) -> list[str]:
        """Return the names of the processes that can call the advice service now."""
        now_s = monotonic_s()
        names = [
            name
            for name, client in self.clients.items()
            if now_s - client.last_message_s < PEER_TIMEOUT_S
        ]
        return [*names, self.name]

    def reaches_majority(self) -> bool:
        """Return whether most processes, this one included, have answered lately."""
        return len(self.lane_names()) * 2 > len(self.clients) + 1

    def send_to(self, name: str, message: AdviceRequest) -> bool:
        """Send to one process; return whether the message was queued for it."""
        if name == self.name:
            self.on_local_advice_request(message)
            return True
        client = self.clients.get(name)
        return client is not None and client.send(message)

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()
        self.clients.clear()
