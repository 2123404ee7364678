"""Build an entry process from its parts, and pass messages and events between them.

The settings go in. Every process serves callers, the balancer and operators, follows
the claim log and the configuration, and makes advice calls for the leader. It also
runs a term while the newest claim to lead is its own.
"""

import dataclasses
import os
import typing as t

import zmq.asyncio

import bulrushspur_daemon.native_interface  # noqa: F401 - registers itself
from bulrushspur_daemon.advice_caller import AdviceCaller
from bulrushspur_daemon.claim_log import ClaimLog
from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.config_watch import ConfigWatch
from bulrushspur_daemon.election import Election
from bulrushspur_daemon.gateway import Gateway
from bulrushspur_daemon.leader_client import LeaderClient
from bulrushspur_daemon.node_registry import NodeRegistry
from bulrushspur_daemon.operator_interface import handle_operator_request
from bulrushspur_daemon.peer_sockets import PeerServer, make_peer_server
from bulrushspur_daemon.term import Term, make_term
from bulrushspur_daemon.term_peers import TermPeers
from bulrushspur_kernel.adapter import (
    INTERFACE_POINT,
    Adapter,
    CallerInterface,
    load_adapter,
)
from bulrushspur_kernel.http_exchange import Exchange, Request
from bulrushspur_kernel.http_pool import HttpPool, make_http_pool
from bulrushspur_kernel.http_server import HttpServer
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import (
    AdviceReply,
    AdviceRequest,
    ConfigRecords,
    ConfigRequest,
    Heartbeat,
    Message,
    Reply,
    Resign,
)
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_kernel.plugins import lookup
from bulrushspur_kernel.settings import Settings
from bulrushspur_kernel.store import Store
from bulrushspur_scheduler.cell import TimingLimits

MAX_READY_LEADER_AGE_S: t.Final = 2.5
MAX_READY_LEADER_AGE_NO_STORE_S: t.Final = 0.7
MAX_FRESH_STORE_AGE_S: t.Final = 1.5


@dataclasses.dataclass
class Process:
    """The parts of an entry process; ``term`` is set while it leads."""

    settings: Settings
    adapter: Adapter
    interface: CallerInterface
    store: Store
    log: EventLog
    metrics: Metrics
    context: zmq.asyncio.Context
    config_watch: ConfigWatch
    claim_log: ClaimLog
    node_registry: NodeRegistry
    leader_client: LeaderClient
    gateway: Gateway
    election: Election
    advice_caller: AdviceCaller
    peer_server: PeerServer
    # Lists the worker incarnations that run; None if the platform has no such list.
    incarnations_pool: HttpPool | None = None
    term: Term | None = None
    stopping: bool = False
    servers: list[HttpServer] = dataclasses.field(default_factory=list)

    def handle_new_term(self) -> None:
        """Start a term if the newest claim is our own; end one that it supersedes.

        A process that stops leads, too, but asks for a successor at once: the others
        would wait for its heartbeats.
        """
        if self.term is not None:
            if self.claim_log.term > self.term.number:
                self.term.stop("a later claim was read")
            else:
                return
        if not self.election.holds_newest_claim():
            return
        number = self.claim_log.term
        name = self.settings.name
        peers = TermPeers(
            self.context,
            name,
            f"{name}/{number}/{os.urandom(4).hex()}".encode(),
            self.node_registry,
            self.log,
            self._handle_local_heartbeat,
            self.advice_caller.enqueue_local,
        )
        site = self.settings.site
        timing_limits = TimingLimits(
            gang_start_timeout_s=site.gang_ms / 1000,
            stop_s=site.stop_ms / 1000,
            early_s=site.early_ms / 1000,
            max_lease_s=site.lease_most_ms / 1000,
            far_factor=site.far_factor,
            capacity_notice_s=site.capacity_notice_ms / 1000,
            checkpoint_interval_s=site.save_s,
            status_retention_s=site.status_s,
        )
        self.term = make_term(
            number,
            name,
            self.store,
            self.adapter,
            self.claim_log,
            self.config_watch.current,
            timing_limits,
            peers,
            self.log,
            self.metrics,
            self._clear_term,
            self.incarnations_pool,
            self.settings.sharing,
        )
        self.term.make_config_records = self._make_config_records
        self.term.recovery.refresh_config = self.config_watch.refresh
        self.advice_caller.on_local_reply = self.term.advice_dispatcher.handle_reply
        peers.update()
        self.node_registry.request_read()
        self.term.start()
        if self.stopping:
            self.term.begin_leave()

    def _handle_local_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.leader_client.handle_heartbeat(heartbeat, b"", self.term)

    def _clear_term(self, reason: str) -> None:
        if self.term is not None:
            number = self.term.number
            self.term = None
            self.leader_client.clear_local_leader(number)

    def update_peers(self) -> None:
        """Connect the term to processes that registered or moved since."""
        if self.term is not None:
            self.term.peers.update()

    def apply_config(self, config: t.Any) -> None:
        """Pass a new configuration to the term, if this process leads."""
        if self.term is not None:
            self.term.apply_config(config)

    def handle_message(self, identity: bytes, message: Message) -> None:
        """Handle a message from a leader; ``identity`` addresses it for answers."""
        if isinstance(message, Heartbeat):
            if self.leader_client.handle_heartbeat(message, identity):
                # An empty reply shows the leader that this process can call for advice.
                self.peer_server.send(identity, AdviceReply(0, None))
            if self.term is not None and message.term > self.term.number:
                self.term.stop("a heartbeat of a later term was received")
        elif isinstance(message, Reply):
            self.leader_client.handle_reply(message)
        elif isinstance(message, AdviceRequest):
            self.advice_caller.enqueue(identity, message)
        elif isinstance(message, Resign):
            self.leader_client.handle_resign(message)
        elif isinstance(message, ConfigRecords):
            self.config_watch.apply_records(message.records, message.end_offset)

    def _make_config_records(self) -> ConfigRecords:
        watch = self.config_watch
        return ConfigRecords(watch.list_records(), watch.next_offset or 0)

    def request_config(self) -> None:
        """Request the leader's configuration records, unless this process leads."""
        if self.term is None and self.leader_client.identity:
            self.peer_server.send(self.leader_client.identity, ConfigRequest(0))

    def is_ready(self) -> bool:
        """Return whether this process should get new connections.

        Without an available leader it stays ready for a short time, longer while the
        store answers, because a new leader can then take over. With a leader that is
        isolated it is not ready: only processes elsewhere can accept jobs.
        """
        if self.stopping or self.config_watch.current is None:
            return False
        if self.leader_client.is_available():
            return not self.leader_client.leader_isolated
        max_age_s = (
            MAX_READY_LEADER_AGE_NO_STORE_S
            if self._is_store_lost()
            else MAX_READY_LEADER_AGE_S
        )
        return self.leader_client.heartbeat_age_s() < max_age_s

    def _is_store_lost(self) -> bool:
        """Return whether the latest calls of the store failed, or are long ago."""
        if self.claim_log.store_unavailable:
            return True
        store_age_s = monotonic_s() - self.claim_log.last_store_success_s
        return store_age_s >= MAX_FRESH_STORE_AGE_S

    async def close_connections(self) -> None:
        """Close the connections to the platform and to other processes.

        Nothing may use them any more.
        """
        await self.store.close()
        if self.incarnations_pool is not None:
            await self.incarnations_pool.close()
        self.context.destroy(linger=0)

    async def handle_caller(self, request: Request, exchange: Exchange) -> None:
        """Answer a request of a caller."""
        await self.interface.handle_caller(self.gateway, request, exchange)

    async def handle_ready(self, request: Request, exchange: Exchange) -> None:
        """Answer a health check of the balancer: 200 while ready, else 503."""
        await exchange.send_json(200 if self.is_ready() else 503, b"{}")

    async def handle_operator(self, request: Request, exchange: Exchange) -> None:
        """Answer a request of an operator."""
        await handle_operator_request(self, request, exchange)


def make_process(settings: Settings, log: EventLog, incarnation: str) -> Process:
    """Make a process that does not run yet; needs a running event loop.

    ``incarnation`` is unique to each start of the process.
    """
    adapter = load_adapter(settings.adapter)
    store = adapter.make_store(settings.store_address)
    metrics = Metrics()
    context = zmq.asyncio.Context()
    process: Process
    peer_server = make_peer_server(
        context,
        settings.peers_address,
        lambda identity, message: process.handle_message(identity, message),
        log,
    )
    leader_client = LeaderClient(peer_server.send)
    peer_server.on_disconnect = leader_client.handle_disconnect
    interface = adapter.interface
    if settings.interface == "native":
        interface = lookup(INTERFACE_POINT, "native")
    config_watch = ConfigWatch(store, interface, log)
    leader_client.on_config_version = config_watch.refresh_if_older
    claim_log = ClaimLog(store, log)
    node_registry = NodeRegistry(
        store,
        log,
        lambda: process.term is not None,
        lambda: claim_log.leader is not None,
    )
    election = Election(
        settings.name,
        incarnation,
        claim_log,
        node_registry,
        leader_client,
        log,
        lambda: process.term is not None,
    )
    process = Process(
        settings,
        adapter,
        interface,
        store,
        log,
        metrics,
        context,
        config_watch,
        claim_log,
        node_registry,
        leader_client,
        Gateway(config_watch, leader_client, log, metrics),
        election,
        AdviceCaller(adapter, settings.advice_address, peer_server.send, log, metrics),
        peer_server,
    )
    if settings.machines_address:
        process.incarnations_pool = make_http_pool(settings.machines_address)
    config_watch.request_from_leader = lambda: process.request_config()
    claim_log.on_new_term = lambda: process.handle_new_term()
    claim_log.on_other_record = node_registry.apply_legacy
    node_registry.on_change = lambda: process.update_peers()
    config_watch.listeners.append(lambda config: process.apply_config(config))
    return process
