"""The cluster service of a node: its socket, timers, log and counters.

It decides nothing: `Exchange` says what to send, and the parts of `SharedState` hold what was agreed.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import anyio
import structlog
from xxhash import xxh3_64_intdigest

from larchlatch.cluster import reports
from larchlatch.cluster.cluster_file import (
    ClusterConfiguration,
    check_traffic_classes,
    check_transition,
    own_node,
    read_cluster_file,
)
from larchlatch.cluster.counters import ClusterCounter
from larchlatch.cluster.datagram_socket import DatagramSocket
from larchlatch.cluster.event_log import ClusterEventLog
from larchlatch.cluster.exchange.exchange import Exchange
from larchlatch.cluster.exchange.state import SharedState
from larchlatch.cluster.membership.membership import Membership
from larchlatch.cluster.protocol.signing import Signer, Verifier
from larchlatch.errors import InvalidInputError
from larchlatch.node.clock import now_us
from larchlatch.node.messages import EjectionAdvised, SlowStartTokens, UnreachableUpstream

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from pathlib import Path
    from random import Random

    from larchlatch.cluster.exchange.results import ExchangeResult, ExecutedOrder, OutgoingDatagram
    from larchlatch.cluster.health.observations import EjectionAdvice
    from larchlatch.cluster.slow_start.notices import TokenNotice
    from larchlatch.node.metrics import Counters
    from larchlatch.node.ports import ClusterEvents, TokenRequest

SHUTDOWN_HEARTBEATS = 3  # so often a node that ends says so: one or two of these datagrams may be lost

log = structlog.get_logger()


def steady_us() -> int:
    """Return microseconds of a clock that never runs back, and runs on while the machine sleeps.

    Leases and loans end by it.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class ClusterService:
    """Run one node's part in the cluster, and answer what the node asks of it.

    Attributes:
        configuration: the cluster file by which this node goes.
        membership: the members, as this node knows them.
        state: what the members share.
        exchange: receives datagrams and composes those to send.
        upstreams: name of each upstream in the endpoint list, by the hash that stands for it in datagrams.

    """

    def __init__(
        self,
        name: str,
        traffic_classes: Iterable[str],
        path: Path,
        configuration: ClusterConfiguration,
        signer: Signer,
        node_counters: Counters,
        random: Random,
        balancer: ClusterEvents,
    ) -> None:
        """Prepare the service; `run` starts it.

        Args:
            name: this node's name.
            traffic_classes: names of the traffic classes that this node has.
            path: the cluster file.
            configuration: what was read from it.
            signer: signs with this node's key.
            node_counters: the node's counters.
            random: source of all random choices.
            balancer: is told of ejection advice and of slow-start tokens.

        """
        self.configuration = configuration
        self.upstreams: dict[int, str] = {}
        self._name = name
        self._traffic_classes = tuple(traffic_classes)
        self._path = path
        self._counters = node_counters
        self._balancer = balancer
        self._events = ClusterEventLog(node_counters)
        heartbeat_us, sites = configuration.heartbeat_us, configuration.sites
        # The order of these calls is the order of their random draws.
        self.membership = Membership(
            name, sites, heartbeat_us=heartbeat_us, wall_us=self.wall(), now_us=self.now(), rng=random
        )
        self.state = SharedState.create(
            name,
            configuration.quota_settings,
            configuration.electorate,
            max_clock_difference_us=configuration.max_clock_difference_us,
            heartbeat_us=heartbeat_us,
            now=self.now(),
            random=random,
        )
        self.exchange = Exchange(
            self.membership, self.state, sites, configuration.keys, signer, Verifier(), node_counters.add
        )
        self._socket = DatagramSocket(node_counters)
        self._open_tokens()

    def now(self) -> int:
        """Return monotonic time in microseconds."""
        return steady_us()

    @staticmethod
    def wall() -> int:
        """Return Unix time in microseconds."""
        return time.time_ns() // 1000

    # Running.

    async def run(self) -> None:
        """Take part in the cluster until cancelled."""
        with self._socket:
            await self._bind()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._receive_loop)
                try:
                    await self._heartbeat_loop()
                finally:
                    self._announce_shutdown()

    async def _bind(self) -> None:
        """Bind the socket; wait for as long as another process has the address.

        In a hot restart the predecessor has it still. Two of one name must not both send: each would take
        the other for an earlier incarnation of its own, and outbid it for ever.
        """
        address = self.configuration.nodes[self._name].address
        logged = False
        while True:
            try:
                self._socket.bind(address)
            except OSError as error:
                if not logged:
                    log.warning("cluster_address_unavailable", reason=str(error))
                logged = True
                await anyio.sleep(self.membership.heartbeat_us / 1e6)
            else:
                break
        self.state.open(self.now())
        self._open_tokens()
        members = len(self.configuration.nodes)
        log.info("cluster_joined", listen=f"{address[0]}:{address[1]}", members=members)

    async def _receive_loop(self) -> None:
        while True:
            await self._socket.wait_readable()
            for data in self._socket.read_available():
                self._apply(self.exchange.receive(data, now=self.now(), wall=self.wall()))
            self._events.unknown_version(self.exchange.unknown_version)
            await anyio.lowlevel.checkpoint()

    async def _heartbeat_loop(self) -> None:
        while True:
            self._heartbeat()
            self._events.isolated(now=self.membership.is_alone)
            await anyio.sleep(self.membership.heartbeat_us / 1e6)

    def _heartbeat(self) -> None:
        result = self.exchange.heartbeat(now=self.now(), wall=self.wall())
        self._events.member_changes(result.changes)
        self.log_orders([])
        # The balancer gives up its slow-start windows before that is promised to others.
        self._update_tokens(result.token_updates)
        self._send(result.datagrams)
        self._pass_on_advice(result.advice)
        self._events.files_differ(now=self.state.quotas.any_file_differs)

    def _announce_shutdown(self) -> None:
        """Tell the others that this node ends: they need not wait until it counts as silent."""
        self.membership.is_departing = True
        for _ in range(SHUTDOWN_HEARTBEATS):
            self._heartbeat()

    # What comes of the exchange.

    def _apply(self, result: ExchangeResult) -> None:
        self._events.member_changes(result.changes)
        self.log_orders(result.orders)
        self._send(result.datagrams)
        self._update_tokens(result.token_updates)

    def _send(self, datagrams: list[OutgoingDatagram]) -> None:
        for datagram in datagrams:
            self._socket.send(datagram.data, self.configuration.nodes[datagram.recipient].address)

    def log_orders(self, orders: list[ExecutedOrder]) -> None:
        """Log orders that were carried out here, and what became of this node's own roles since."""
        self._events.orders(orders)
        self._events.role_events(self.state.election.take_events())

    def _update_tokens(self, updates: list[TokenNotice]) -> None:
        # The balancer goes by another clock than leases do.
        ahead_us = now_us() - self.now()
        for update in updates:
            upstream = self.upstreams.get(update.upstream, "")
            tokens = SlowStartTokens(
                update.handed_over_until + ahead_us, upstream, update.session, update.token_ends_at + ahead_us
            )
            if not self._balancer.receive_tokens(tokens):
                self.state.tokens.requester.withdraw()

    def _pass_on_advice(self, advice: EjectionAdvice) -> None:
        probes = [self.upstreams[upstream] for upstream in advice.probes]
        ejections = [
            UnreachableUpstream(self.upstreams[upstream], reporters)
            for upstream, reporters in advice.failures
        ]
        self._events.ejections_advised(ejections)
        self._events.unreachable(self.upstreams[upstream] for upstream in advice.newly_unreachable)
        if probes or ejections:
            self._counters.add(ClusterCounter.PROBES_ADVISED, len(probes))
            self._balancer.advise_ejection(EjectionAdvised(probes, ejections))

    # What the node asks, and tells.

    def resign(self) -> None:
        """Hand this node's roles over: it is about to end."""
        self.state.election.begin_handover()

    def admit(self, traffic_class: str) -> int:
        """Spend one session of the traffic class's quota.

        Returns:
            0 where it is admitted; else the microseconds after which the client may try again.

        """
        retry_after_us = self.state.quotas.admit(self.now(), traffic_class)
        if retry_after_us:
            self._counters.add(ClusterCounter.SESSIONS_OVER_QUOTA)
        return retry_after_us

    def update_endpoints(self, ready: Iterable[str], *, slow_start_us: int, overload_window_us: int) -> None:
        """Take in a new endpoint list.

        Args:
            ready: names of the upstreams that are ready.
            slow_start_us: for how long one of them may still be warming up.
            overload_window_us: length of the overload window.

        """
        self.upstreams = {upstream_hash(upstream): upstream for upstream in ready}
        self.state.tokens.update_upstreams(
            self.now(), self.upstreams, slow_start_us=slow_start_us, window_us=overload_window_us
        )
        self.state.health.set_upstreams(self.upstreams)

    def observe_reachability(self, upstream: str, *, reached: bool | None) -> None:
        """Record whether this node could connect to an upstream; None: a session there broke off."""
        if upstream_hash(upstream) in self.upstreams:
            self.state.health.observe(self.now(), upstream_hash(upstream), reached=reached)

    def request_token(self, session: int, requests: list[TokenRequest]) -> None:
        """Request a slow-start token: the session would go to one of these warming upstreams."""
        candidates = [(upstream_hash(request.upstream), request.candidate) for request in requests]
        self._apply(self.exchange.request_token(session, candidates, now=self.now(), wall=self.wall()))

    # Hot restart.

    def hand_over(self) -> dict[str, int]:
        """Stop admitting sessions: the successor does so from now on.

        Returns:
            What this process has spent of each quota in the last window.

        """
        self.state.tokens.requester.close()
        return self.state.quotas.close(self.now())

    def resume(self) -> None:
        """Admit sessions again: the successor does not take over."""
        self.state.quotas.open(self.now())
        self._open_tokens()

    def take_over(self, used: Mapping[str, int]) -> None:
        """Admit sessions from now on: the predecessor does so no more.

        Args:
            used: what it has spent of each quota in the last window.

        """
        self.state.quotas.take_over(self.now(), used)
        self._open_tokens()

    def _open_tokens(self) -> None:
        """Let this process place sessions on warming upstreams."""
        update = self.state.tokens.requester.open(self.now())
        self._update_tokens([update] if update is not None else [])

    # Configuration.

    def reload(self) -> None:
        """Read the cluster file anew; one that is wrong is rejected and changes nothing."""
        try:
            configuration = read_cluster_file(self._path)
            own = own_node(configuration, self._name)
            check_traffic_classes(configuration, self._traffic_classes)
            check_transition(configuration, before=self.configuration)
        except InvalidInputError as error:
            self._counters.add(ClusterCounter.FILE_REJECTED)
            log.error("cluster_file_rejected", reason=str(error))  # noqa: TRY400  a faulty file wants no trace
            return
        self._counters.add(ClusterCounter.FILE_READ)
        if own != self.configuration.nodes[self._name]:
            log.warning("restart_required", keys=[f"nodes: {self._name}"])
            configuration.nodes[self._name] = self.configuration.nodes[self._name]
        self._apply_configuration(configuration)

    def _apply_configuration(self, configuration: ClusterConfiguration) -> None:
        self.configuration = configuration
        self.state.quota_usage.clock_difference_us = configuration.max_clock_difference_us
        self.exchange.apply_configuration(
            configuration.sites,
            configuration.keys,
            configuration.quota_settings,
            configuration.electorate,
            heartbeat_us=configuration.heartbeat_us,
            now=self.now(),
        )

    # Rows for operators; see docs/operating-cluster.md.

    def role_rows(self) -> list[dict[str, Any]]:
        """Return one row for each role."""
        return reports.role_rows(self.state, self.membership, self.now())

    def quota_rows(self) -> list[dict[str, Any]]:
        """Return one row for each quota."""
        return reports.quota_rows(self.state, now=self.now(), wall=self.wall())

    def member_rows(self) -> list[dict[str, Any]]:
        """Return one row for each other member."""
        return reports.member_rows(self.membership, self.configuration.sites)


def upstream_hash(name: str) -> int:
    """Return what stands for an upstream in datagrams: names are as long as operators like."""
    return xxh3_64_intdigest(name.encode())
