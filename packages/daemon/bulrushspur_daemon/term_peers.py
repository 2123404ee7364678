"""The leader's connections to all other entry processes."""

import dataclasses
import typing as t

import zmq.asyncio

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.membership_log import MembershipLog
from bulrushspur_daemon.peer_sockets import PeerClient, make_peer_client
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import AdviceRequest, Heartbeat, Message, Resign

PEER_TIMEOUT_S: t.Final = 1.0


@dataclasses.dataclass
class TermPeers:
    """Connections of one term, and the process itself as one more lane."""

    context: zmq.asyncio.Context
    name: str
    identity: bytes
    membership_log: MembershipLog
    log: EventLog
    on_local_heartbeat: t.Callable[[Heartbeat], None]
    on_local_advice_request: t.Callable[[AdviceRequest], None]
    on_message: t.Callable[[Message, t.Callable[[Message], t.Any]], None] = (
        lambda message, reply: None
    )
    clients: dict[str, PeerClient] = dataclasses.field(default_factory=dict)

    def update(self) -> None:
        """Connect to the processes that the cell's log names."""
        for name, node in self.membership_log.nodes.items():
            client = self.clients.get(name)
            if name == self.name or (client and client.address == node.peers_address):
                continue
            if client is not None:
                client.close()
            self.clients[name] = make_peer_client(
                self.context,
                name,
                node.peers_address,
                self.identity,
                self._hear,
                self.log,
            )

    def _hear(self, client: PeerClient, message: Message) -> None:
        client.last_message_s = monotonic_s()
        self.on_message(message, client.send)

    def broadcast_heartbeat(self, beat: Heartbeat) -> None:
        """Send a heartbeat to all."""
        self.on_local_heartbeat(beat)
        for client in self.clients.values():
            client.send(beat)

    def resign(self, term: int) -> None:
        """Tell all that the term ends."""
        for client in self.clients.values():
            client.send(Resign(term))

    def lane_names(self) -> list[str]:
        """Name the processes that can call the advice service."""
        now_s = monotonic_s()
        rv = [
            name
            for name, one in self.clients.items()
            if now_s - one.last_message_s < PEER_TIMEOUT_S
        ]
        return [*rv, self.name]

    def send_to(self, name: str, message: AdviceRequest) -> bool:
        """Send to one process; tell whether it is connected."""
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
