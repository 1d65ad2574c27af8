"""Detects slow upstreams, and decides which established sessions migrate off them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from larchlatch.policy.health import is_down, is_healthy, is_slow
from larchlatch.policy.load import NEARLY_FULL, with_recent_reports
from larchlatch.policy.upstream import joint_utilization, mean_utilization

if TYPE_CHECKING:
    from random import Random

    from larchlatch.policy.backoff import Backoff
    from larchlatch.policy.selection import UpstreamSelector
    from larchlatch.policy.types import DeploymentSettings, Session
    from larchlatch.policy.upstream import Fleet, Upstream

# Detection of slow upstreams.
SLOW_DURATION_US = 2_000_000  # validity of a reported delay, which is reported once a second while it lasts
SLOW_LATENCY_RATIO = 0.34  # an upstream is slow if its latency exceeds this part of the strictest objective
IMBALANCE_RATIO = 1.5  # an upstream with more than this multiple of the others' utilization may be relieved
MAX_LATENCY_RATIO = 4.0  # ratio of latency to objective above which no more sessions migrate per round

# Migration off a slow upstream.
ROUND_INTERVAL_US = 1_000_000  # long enough for the next report to show the effect of the last round
ROUND_SHARE = 0.1  # share of own sessions that a round moves off an upstream, per unit of latency ratio

MISPLACED = -1  # rank of sessions that are at an upstream outside their candidates


@dataclass(eq=False)
class Migration:
    """Moves sessions off slow upstreams, and owns the fields on slowness in upstream records.

    Attributes:
        settings: The deployment settings.
        fleet: All upstreams.
        selector: Finds the candidates of sessions, and holds the load estimator.
        node_backoff: Spaces out the attempts of this node at all upstreams.
        random: The source of random draws.
    """

    settings: DeploymentSettings
    fleet: Fleet
    selector: UpstreamSelector
    node_backoff: Backoff
    random: Random

    def record_delay(self, now: int, upstream: Upstream, delay_us: int) -> None:
        """Record the present message latency at an upstream."""
        objective_us = self.settings.message_objective_us
        if objective_us and delay_us > SLOW_LATENCY_RATIO * objective_us:
            self._mark_slow(
                now, upstream, latency_ratio=delay_us / objective_us, duration_us=SLOW_DURATION_US
            )
        else:
            upstream.slow_until = 0
            upstream.unresponsive_until = 0

    def record_unresponsive(self, now: int, upstream: Upstream) -> None:
        """Record that an upstream answers no messages on any of its sessions."""
        upstream.unresponsive_until = now + SLOW_DURATION_US
        self._mark_slow(now, upstream, latency_ratio=MAX_LATENCY_RATIO, duration_us=SLOW_DURATION_US)

    def check_report(self, now: int, upstream: Upstream) -> None:
        """Mark an upstream slow by its load report, if its overload does not show in message latencies."""
        if self.settings.reports_delay:
            return
        if upstream.utilization > max(NEARLY_FULL, self._imbalance_threshold(now, upstream)):
            # With this latency ratio, one round takes the excess and a little more off the upstream. The next
            # probe shows whether that was enough.
            excess = (upstream.utilization - NEARLY_FULL) / ROUND_SHARE
            self._mark_slow(now, upstream, latency_ratio=1 + excess, duration_us=ROUND_INTERVAL_US)

    def due(self, now: int) -> list[int]:
        """Return the numbers of the sessions that migrate now, and stop counting them at their upstreams."""
        down = [other for other in self.fleet.ready if is_down(now, other)]
        migrated = self._migrate_off_down(now, down)
        migrated += self._migrate_off_slow(now, down)
        for session in migrated:
            self.fleet.upstreams[session.upstream].remove(session)
        return [session.number for session in migrated]

    def _imbalance_threshold(self, now: int, upstream: Upstream) -> float:
        """Return the utilization above which the other upstreams have capacity for sessions of this one.

        If all upstreams were equally full, sessions would only move in circles. The lower of two thresholds
        holds, as a large upstream may have much free capacity even though the mean utilization is high.
        """
        reporting = with_recent_reports(now, self.fleet.ready)
        others_utilization = joint_utilization([other for other in reporting if other is not upstream])
        others_threshold = IMBALANCE_RATIO * (
            upstream.utilization if others_utilization is None else others_utilization
        )
        mean_threshold = IMBALANCE_RATIO * mean_utilization(reporting)
        return min(mean_threshold, max(1.0, others_threshold))

    def _mark_slow(self, now: int, upstream: Upstream, *, latency_ratio: float, duration_us: int) -> None:
        upstream.slow_until = now + duration_us
        upstream.latency_ratio = min(MAX_LATENCY_RATIO, max(1.0, latency_ratio))
        self.fleet.schedule_check_now(now)
        self.selector.load.penalize(now, upstream)
        if self._most_upstreams_in_use_are_slow(now):
            # Sessions that migrate off one upstream would fill the next, so new sessions have to be admitted
            # more slowly than existing ones end.
            self.node_backoff.record(now, now, succeeded=False)

    def _most_upstreams_in_use_are_slow(self, now: int) -> bool:
        """Return whether this node has sessions at several reachable upstreams and most of these are slow."""
        used = [other for other in self.fleet.upstreams.values() if other.sessions and not other.unreachable]
        slow_count = sum(is_slow(now, other) for other in used)
        return 2 * slow_count > len(used) > 1

    def _migrate_off_down(self, now: int, down: list[Upstream]) -> list[Session]:
        """Return all sessions of upstreams that are down, and eject these upstreams for the longest backoff.

        An upstream that is down resets no session, so sessions left there would never get an answer again.
        """
        migrated = [session for upstream in down for session in upstream.established()]
        for upstream in down:
            longest_us = upstream.backoff.longest_us
            upstream.backoff.escalate(now, now, least_us=longest_us, longest_us=longest_us)
        return migrated

    def _migrate_off_slow(self, now: int, down: list[Upstream]) -> list[Session]:
        """Return the sessions that migrate off slow upstreams in this round.

        Upstreams that are down count neither as slow nor as ready here: their sessions may fill the other
        upstreams, and sessions must still be able to migrate off these.
        """
        ready = self.fleet.ready
        slow = [other for other in ready if is_slow(now, other) and other not in down]
        # If most upstreams are slow, only sessions outside their candidates migrate, as these may be the
        # cause. Migrating others would not help.
        only_misplaced = 2 * len(slow) > len(ready) - len(down)
        migrated: list[Session] = []
        for upstream in slow:
            if now >= upstream.migrate_at:
                upstream.migrate_at = now + ROUND_INTERVAL_US
                migrated += self._select_for_round(now, upstream, only_misplaced=only_misplaced)
            else:
                self.fleet.schedule_check_by(upstream.migrate_at)
        return migrated

    def _select_for_round(self, now: int, upstream: Upstream, *, only_misplaced: bool) -> list[Session]:
        """Return the sessions that one round takes off an upstream, group by group.

        Sessions outside their candidates come first.
        """
        groups = self._groups_by_rank(now, upstream)
        limit = self._round_limit(upstream)
        migrated: list[Session] = []
        for (rank, _), members in sorted(groups.items()):
            if limit <= 0 or (rank != MISPLACED and only_misplaced):
                break
            if rank == MISPLACED or self._candidates_can_take(now, members[0]):
                migrated += members[:limit]
                limit -= len(members)
        return migrated

    def _groups_by_rank(self, now: int, upstream: Upstream) -> dict[tuple[int, int], list[Session]]:
        """Return the sessions established at an upstream, by rank and affinity key.

        The rank is the upstream's index among the session's candidates, or `MISPLACED`. As rounds go through
        these keys in ascending order, the same groups migrate first on every node.
        """
        groups: dict[tuple[int, int], list[Session]] = {}
        for session in upstream.established():
            pair = self.selector.candidates(now, session).pair
            rank = pair.index(upstream) if upstream in pair else MISPLACED
            key = self.selector.ring.affinity_key(session)
            groups.setdefault((rank, key), []).append(session)
        return groups

    def _round_limit(self, upstream: Upstream) -> int:
        """Return how many sessions a round may take off an upstream.

        The number is rounded up or down at random. If it were always rounded up, hundreds of nodes with few
        sessions each would empty the upstream and overload the next one.
        """
        share = ROUND_SHARE * upstream.latency_ratio * len(upstream.sessions)
        return int(share + self.random.uniform(0, 1))

    def _candidates_can_take(self, now: int, session: Session) -> bool:
        """Return whether any candidate of a session is healthy and may take the session."""
        pair = self.selector.candidates(now, session).pair
        slow_start = self.selector.slow_start
        return any(is_healthy(now, other) and slow_start.may_take(now, other, session) for other in pair)
