"""Which upstreams are slow, and which sessions migrate off them."""

from dataclasses import dataclass
from random import Random

from larchlatch.policy.backoff import Backoff
from larchlatch.policy.load import NEARLY_FULL
from larchlatch.policy.selection import UpstreamSelector, is_fit
from larchlatch.policy.types import DeploymentSettings, Session
from larchlatch.policy.upstream import Fleet, Upstream, joint_utilization, mean_utilization

SLOW_US = 2_000_000  # a delay note counts this long: notes come once a second while it lasts
SLOW_SHARE = 0.34  # of the strictest message objective, above which an upstream is slow: notes start there
MAX_LATENCY_RATIO = 4.0  # for an upstream whose messages take so many times the objective
UNEVEN_RATIO = 1.5  # times the mean utilization from which to relieve: others have room for what it loses
ROUND_US = 1_000_000  # between migrations off an upstream: the next note tells what the last ones did
ROUND_SHARE = 0.1  # of an upstream's own sessions in a round: one just over its capacity returns in one


@dataclass(eq=False)
class Migration:
    """Relieves slow upstreams; owns what their records say of slowness."""

    settings: DeploymentSettings
    fleet: Fleet
    selector: UpstreamSelector
    node_backoff: Backoff
    random: Random

    def record_delay(self, now: int, upstream: Upstream, delay_us: int) -> None:
        """Record what a message takes at an upstream now."""
        objective_us = self.settings.message_objective_us
        if objective_us and delay_us > SLOW_SHARE * objective_us:
            self._mark_slow(now, upstream, delay_us / objective_us, SLOW_US)
        else:
            upstream.slow_until = upstream.unresponsive_until = 0

    def record_unresponsive(self, now: int, upstream: Upstream) -> None:
        """Record that no message is answered at an upstream."""
        upstream.unresponsive_until = now + SLOW_US
        self._mark_slow(now, upstream, MAX_LATENCY_RATIO, SLOW_US)

    def check_report(self, now: int, upstream: Upstream) -> None:
        """Mark an upstream slow if its load report shows overload, as it may answer at once all the same."""
        if self.settings.reports_delay:
            return
        # Where all are as full, its sessions would only be handed round; a large one with room takes much.
        reporting = self.selector.load.reporting(now)
        of_others = joint_utilization([other for other in reporting if other is not upstream])
        uneven_to_others = UNEVEN_RATIO * (upstream.utilization if of_others is None else of_others)
        uneven = min(UNEVEN_RATIO * mean_utilization(reporting), max(1.0, uneven_to_others))
        if upstream.utilization > max(NEARLY_FULL, uneven):
            # It has to lose what it is over by, and a little more; then it is looked at again.
            excess = (upstream.utilization - NEARLY_FULL) / ROUND_SHARE
            self._mark_slow(now, upstream, 1 + excess, ROUND_US)

    def _mark_slow(self, now: int, upstream: Upstream, latency_ratio: float, span_us: int) -> None:
        upstream.slow_until = now + span_us
        upstream.latency_ratio = min(MAX_LATENCY_RATIO, max(1.0, latency_ratio))
        self.fleet.look_at = now
        self.selector.load.penalize(now, upstream)
        # Where most are slow, what migrates off one fills the next: sessions have to come in more slowly.
        used = [other for other in self.fleet.upstreams.values() if other.sessions and not other.unreachable]
        if 2 * sum(now < other.slow_until for other in used) > len(used) > 1:
            self.node_backoff.record(now, now, succeeded=False)

    def due(self, now: int) -> list[int]:
        """Return the sessions that migrate now."""
        ready = self.fleet.ready
        vanished = [other for other in ready if other.unreachable and now < other.unresponsive_until]
        # They reset nothing: a session left there is served nothing, and an attempt there waits in vain.
        migrated = [session for upstream in vanished for session in upstream.established()]
        for upstream in vanished:
            upstream.backoff.escalate(now, now, upstream.backoff.longest_us, upstream.backoff.longest_us)
        # Nor do they tell of the others, which their sessions may fill up: those have to be relieved.
        slow = [upstream for upstream in ready if now < upstream.slow_until and upstream not in vanished]
        # A slowdown of everything is not cured by migration, unless strayed sessions cause it.
        strayed_only = 2 * len(slow) > len(ready) - len(vanished)
        for upstream in slow:
            if now >= upstream.migrate_at:
                upstream.migrate_at = now + ROUND_US
                migrated += self._round(now, upstream, strayed_only=strayed_only)
            else:
                self.fleet.look_at = min(self.fleet.look_at, upstream.migrate_at)
        for session in migrated:
            self.fleet.upstreams[session.upstream].remove(session)
        return [session.number for session in migrated]

    def _round(self, now: int, upstream: Upstream, *, strayed_only: bool) -> list[Session]:
        # Whole groups go, the same first on every node; those strayed from both candidates, rank -1, first.
        groups: dict[tuple[int, int], list[Session]] = {}
        for session in upstream.established():
            pair = self.selector.candidates(now, session).pair
            rank = pair.index(upstream) if upstream in pair else -1
            groups.setdefault((rank, self.selector.ring.affinity_key(session)), []).append(session)
        # None in most rounds where a node has few: one from each of hundreds would fill the next upstream.
        quota = int(ROUND_SHARE * upstream.latency_ratio * len(upstream.sessions) + self.random.uniform(0, 1))
        migrated: list[Session] = []
        for (rank, _), members in sorted(groups.items()):
            if quota <= 0 or (rank >= 0 and strayed_only):
                break
            if rank < 0 or self._has_capacity(now, members[0]):
                migrated += members[:quota]
                quota -= len(members)
        return migrated

    def _has_capacity(self, now: int, session: Session) -> bool:
        pair, may_take = self.selector.candidates(now, session).pair, self.selector.slow_start.may_take
        return any(is_fit(now, upstream) and may_take(now, upstream, session) for upstream in pair)
