"""The cluster's actor: its socket, its beat, its keys. Decides nothing; members/ and shared/ do."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING, Any

import anyio
import structlog
from xxhash import xxh3_64_intdigest

from larchlatch.cluster.cluster_file import Fleet, fits_traffic_classes, fleet_of, follows, own_entry
from larchlatch.cluster.election.election import PACER
from larchlatch.cluster.exchange import Carried, Exchange, Shared
from larchlatch.cluster.membership.membership import Change, Members, State
from larchlatch.cluster.protocol.datagrams import MOST_BYTES
from larchlatch.cluster.protocol.signing import Checks, Seal
from larchlatch.errors import InvalidInputError
from larchlatch.node.clock import now_us
from larchlatch.node.messages import EjectionAdvised, SlowStartTokens, UnreachableUpstream

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from pathlib import Path
    from random import Random

    from larchlatch.cluster.slow_start.tokens import Told
    from larchlatch.node.metrics import Counters
    from larchlatch.node.ports import ClusterEvents, TokenRequest

ROOM = 1 << 20  # bytes that may lie unread: a node that is stopped for a while must not lose what is newest
AT_ONCE = 200  # datagrams read before others have their turn: a flood must not keep the node from its links
LEAVING_BEATS = 3  # so often it is said that this node leaves

log = structlog.get_logger()


def steady_us() -> int:
    """Microseconds of a clock that never runs back, and runs on while the machine sleeps: terms end by it."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Cluster:
    def __init__(
        self,
        name: str,
        traffic_classes: Iterable[str],
        path: Path,
        fleet: Fleet,
        seal: Seal,
        counters: Counters,
        chance: Random,
        events: ClusterEvents,
    ) -> None:
        """Of this fleet, read from that file; tariffs: that the node has; seal: its own."""
        self.name = name
        self.traffic_classes = tuple(traffic_classes)
        self.path = path
        self.fleet = fleet
        self.counters = counters
        self.events = events
        wall = time.time_ns() // 1000
        self.members = Members(name, fleet.sites, fleet.beat_us, wall, self.now(), chance)
        shared = Shared.of(
            name, fleet.dealing, fleet.roster, fleet.apart_us, fleet.beat_us, self.now(), chance
        )
        self.shared = shared
        self.budgets, self.counts, self.evidence, self.duties, self.pacing = shared
        self.exchange = Exchange(self.members, shared, fleet.sites, self.keys(), seal, Checks(), counters.add)
        self.upstreams: dict[int, str] = {}  # by the hashes of their names
        self.other_file_told = False
        self.foreign_told = False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, ROOM)
        self.opened()

    def keys(self) -> dict[str, bytes]:
        return {name: peer.key for name, peer in self.fleet.peers.items()}

    def now(self) -> int:
        return steady_us()

    @staticmethod
    def wall() -> int:
        return time.time_ns() // 1000

    async def run(self) -> None:
        """Until cancelled."""
        with self.sock:
            await self.bound()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.listen)
                try:
                    await self.beat()
                finally:
                    self.leave()

    async def bound(self) -> None:
        address, told = self.fleet.peers[self.name].address, False
        while True:
            try:
                self.sock.bind(address)
            except OSError as error:
                # In an upgrade the process before this one has it still. Two of one name must not both speak:
                # each would take the other for an earlier life of its own, and outbid it for ever.
                if not told:
                    log.warning("the cluster's address can't be had yet", why=str(error))
                told = True
                await anyio.sleep(self.members.beat_us / 1e6)
            else:
                self.shared.open(self.now())
                self.opened()
                log.info("cluster", listen=f"{address[0]}:{address[1]}", members=len(self.fleet.peers))
                return

    async def listen(self) -> None:
        while True:
            await anyio.wait_readable(self.sock)
            for _ in range(AT_ONCE):
                try:
                    data, _ = self.sock.recvfrom(MOST_BYTES + 1)
                except (BlockingIOError, InterruptedError):
                    break
                except OSError:
                    self.counters.add("cluster: receive failed")
                    break
                self.counters.add("cluster: bytes in", len(data))
                self.counters.add("cluster: datagram in")
                taken = self.exchange.take(data, self.now(), self.wall())
                self.changed(taken.changes)
                self.ordered(taken.orders)
                self.send(taken.datagrams)
                self.pace(taken.leaves)
            if self.exchange.foreign is not None and not self.foreign_told:
                self.foreign_told = True
                log.warning("datagrams of another version come", version=self.exchange.foreign)
            await anyio.lowlevel.checkpoint()

    def changed(self, changes: list[Change]) -> None:
        for change in changes:
            self.counters.add(f"cluster: member {change.state.value}")
            log.info("member", name=change.name, state=change.state.value)

    def ordered(self, orders: list[Carried]) -> None:
        for order in orders:
            self.counters.add("cluster: order carried out")
            # The pacer's are one a link.
            (log.debug if order.duty == PACER else log.info)("order carried out", **order._asdict())
        for event in self.duties.drained():
            log.info(f"duty {event.what}", duty=event.duty, lease=event.lease, why=event.why)

    async def beat(self) -> None:
        alone = False
        while True:
            self.say()
            if self.members.alone is not alone:
                alone = self.members.alone
                log.warning("no other node is heard" if alone else "other nodes are heard again")
            await anyio.sleep(self.members.beat_us / 1e6)

    def say(self) -> None:
        """One beat."""
        beat = self.exchange.beat(self.now(), self.wall())
        self.changed(beat.changes)
        self.ordered([])
        # Before it is promised to others what the decisions hand over.
        self.pace(beat.leaves)
        self.send(beat.datagrams)
        looks = [self.upstreams[upstream] for upstream in beat.advice.looks]
        failed = [
            UnreachableUpstream(self.upstreams[upstream], witnesses)
            for upstream, witnesses in beat.advice.failed
        ]
        for upstream, witnesses in failed:
            self.counters.add("cluster: host avoided on others' word")
            log.info("host avoided", upstream=upstream, witnesses=witnesses)
        for gone in beat.advice.gone:
            log.info("host not reached", upstream=self.upstreams[gone])
        if looks or failed:
            self.counters.add("cluster: look at a host for others' word", len(looks))
            self.events.advise_ejection(EjectionAdvised(looks, failed))
        other = self.budgets.other
        if other is not self.other_file_told:
            self.other_file_told = other
            log.warning("other nodes go by another cluster file" if other else "all go by this cluster file")

    def send(self, datagrams: list[tuple[str, bytes]]) -> None:
        for name, data in datagrams:
            try:
                self.sock.sendto(data, self.fleet.peers[name].address)
            except OSError:
                self.counters.add("cluster: send failed")
                continue
            self.counters.add("cluster: bytes out", len(data))
            self.counters.add("cluster: datagram out")

    def leave(self) -> None:
        """Said when this node ends by itself: others need not wait for its silence."""
        self.members.leaving = True
        for _ in range(LEAVING_BEATS):
            self.say()

    def resign(self) -> None:
        """This node is about to end: its duties go to others."""
        self.duties.leaving = True

    # What the node asks, and tells.

    def admit(self, traffic_class: str) -> int:
        back_us = self.budgets.admit(self.now(), traffic_class)
        if back_us:
            self.counters.add("cluster: refused by a budget")
        return back_us

    def update_endpoints(self, ready: Iterable[str], *, slow_start_us: int, overload_window_us: int) -> None:
        self.upstreams = {hashed(upstream): upstream for upstream in ready}
        self.pacing.listed(self.now(), self.upstreams, slow_start_us, overload_window_us)
        self.evidence.follow(self.upstreams)

    def observe_reachability(self, upstream: str, *, reached: bool | None) -> None:
        if hashed(upstream) in self.upstreams:
            self.evidence.saw(self.now(), hashed(upstream), reached)

    def request_token(self, session: int, requests: list[TokenRequest]) -> None:
        by_hash = [(hashed(name), want) for name, want in requests]
        taken = self.exchange.sought(self.now(), self.wall(), session, by_hash)
        self.send(taken.datagrams)
        self.ordered(taken.orders)
        self.pace(taken.leaves)

    def pace(self, leaves: list[Told]) -> None:
        # The module goes by another clock than terms do.
        ahead = now_us() - self.now()
        for told in leaves:
            upstream = self.upstreams.get(told.upstream, "")
            tokens = SlowStartTokens(told.until + ahead, upstream, told.session, told.at + ahead)
            if not self.events.receive_tokens(tokens):
                self.pacing.unheard()

    def hand_over(self) -> dict[str, int]:
        self.pacing.close()
        return self.budgets.close(self.now())

    def resume(self) -> None:
        self.budgets.open(self.now())
        self.opened()

    def opened(self) -> None:
        leaves = self.pacing.open(self.now())
        self.pace([leaves] if leaves is not None else [])

    def take_over(self, used: Mapping[str, int]) -> None:
        self.budgets.take_over(self.now(), used)
        self.opened()

    def reload(self) -> None:
        """A new file: members that are gone are forgotten at once, those that stay are kept."""
        try:
            fleet = fleet_of(self.path)
            own = own_entry(fleet, self.name)
            fits_traffic_classes(fleet, self.traffic_classes)
            follows(fleet, self.fleet)
        except InvalidInputError as error:
            self.counters.add("cluster: file refused")
            log.error("cluster file refused", why=str(error))
            return
        self.counters.add("cluster: file read")
        if own != self.fleet.peers[self.name]:
            log.warning("changes that want a restart", keys=[f"nodes: {self.name}"])
            fleet.peers[self.name] = self.fleet.peers[self.name]
        self.fleet = fleet
        self.counts.apart_us = fleet.apart_us
        self.exchange.follow(fleet.sites, self.keys(), fleet.dealing, fleet.roster, fleet.beat_us, self.now())

    def role_rows(self) -> list[dict[str, Any]]:
        """Duty by duty; see docs/operating-cluster.md."""
        return [standing._asdict() for standing in self.duties.told(self.now(), self.members.there)]

    def quota_rows(self) -> list[dict[str, Any]]:
        """Budget by budget; see docs/operating-cluster.md."""
        ranges = self.counts.told(self.wall())
        return [
            {
                **account._asdict(),
                "fleet_least": known.least,
                "fleet_most": known.most,
                "fleet_age_ms": known.age_us // 1000,
            }
            for account, known in zip(self.budgets.accounts(self.now()), ranges, strict=True)
        ]

    def member_rows(self) -> list[dict[str, Any]]:
        """Member by member; see docs/operating-cluster.md."""
        return [
            {
                "member": told.name,
                "site": self.fleet.peers[told.name].site,
                "state": told.state.value,
                "age_ms": told.age_us // 1000 if told.state is not State.UNHEARD else None,
                "direct": told.direct,
                "hears_us": told.hears_us,
                "incarnation": told.incarnation,
            }
            for told in self.members.told()
        ]


def hashed(upstream: str) -> int:
    """By what a host is told of: names are as long as operators like."""
    return xxh3_64_intdigest(upstream.encode())
