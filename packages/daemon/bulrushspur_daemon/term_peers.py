"""The leader's connections to all other entry processes."""

import dataclasses
import typing as t

import zmq.asyncio

from bulrushspur_daemon.clock import steady_s
from bulrushspur_daemon.membership_log import CellLog
from bulrushspur_daemon.peer_sockets import PeerClient, make_peer_client
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import AskAdvice, Beat, Message, Resign

HEARD_WITHIN_S: t.Final = 1.0


@dataclasses.dataclass
class TermPeers:
    """Connections of one term, and the process itself as one more lane."""

    context: zmq.asyncio.Context
    name: str
    identity: bytes
    cell_log: CellLog
    log: EventLog
    hear_local: t.Callable[[Beat], None]
    ask_local: t.Callable[[AskAdvice], None]
    receive: t.Callable[[Message, t.Callable[[Message], t.Any]], None] = (
        lambda message, reply: None
    )
    clients: dict[str, PeerClient] = dataclasses.field(default_factory=dict)

    def update(self) -> None:
        """Connect to the processes that the cell's log names."""
        for name, node in self.cell_log.nodes.items():
            client = self.clients.get(name)
            if name == self.name or (client and client.address == node.address):
                continue
            if client is not None:
                client.close()
            self.clients[name] = make_peer_client(
                self.context, name, node.address, self.identity, self._hear, self.log
            )

    def _hear(self, client: PeerClient, message: Message) -> None:
        client.heard_s = steady_s()
        self.receive(message, client.send)

    def beat(self, beat: Beat) -> None:
        """Send a heartbeat to all."""
        self.hear_local(beat)
        for client in self.clients.values():
            client.send(beat)

    def resign(self, term: int) -> None:
        """Tell all that the term ends."""
        for client in self.clients.values():
            client.send(Resign(term))

    def lane_names(self) -> list[str]:
        """Name the processes that can call the advice service."""
        now_s = steady_s()
        rv = [
            name
            for name, one in self.clients.items()
            if now_s - one.heard_s < HEARD_WITHIN_S
        ]
        return [*rv, self.name]

    def send_to(self, name: str, message: AskAdvice) -> bool:
        """Send to one process; tell whether it is connected."""
        if name == self.name:
            self.ask_local(message)
            return True
        client = self.clients.get(name)
        return client is not None and client.send(message)

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()
        self.clients.clear()
