"""The listening time of a node, and the thresholds that are measured in it. No I/O."""

from __future__ import annotations

REFERENCE_HEARTBEAT_US = 200_000  # the interval at which the thresholds below hold; others are scaled to it
BASE_SILENCE_US = 1_600_000  # without news for so long a member of a small cluster counts as silent
SILENCE_HEARTBEATS = 8  # the lower bound of the same with longer heartbeat intervals
# Added for each member: a heartbeat carries some twenty records, so in a larger cluster records are older.
SILENCE_PER_MEMBER_US = 90_000
# One advance counts at most so many: a node that was stopped has to listen again before it judges others.
MAX_ADVANCE_HEARTBEATS = 3
SUSPICION_US = 2_400_000  # without direct news for so long a watcher suspects a member: six of its datagrams
SUSPICION_HEARTBEATS = SUSPICION_US // REFERENCE_HEARTBEAT_US
FAN_OUT = 3  # members that each heartbeat is sent to
# In each round of the shuffled order a node sends to each member once; a member without direct news for so
# many rounds no longer counts as heard directly.
DIRECT_ROUNDS = 4


class ListeningClock:
    """Measures the time for which this node could receive messages, by its own heartbeats.

    A node that was stopped could not receive anything, so that time must not count as silence of the other
    members (Lifeguard, Dadgar et al. 2017). All thresholds of the membership are times of this clock.

    Attributes:
        heartbeat_us: interval between two heartbeats, in microseconds.
        member_count: number of other members, with which thresholds grow.
        listened_us: listening time since the start, in microseconds.

    """

    def __init__(self, *, heartbeat_us: int, now_us: int) -> None:
        """Start at zero; `now_us` is the present time of a monotonic clock."""
        self.heartbeat_us = heartbeat_us
        self.member_count = 0
        self.listened_us = 0
        self._advanced_at_us = now_us

    def advance(self, now_us: int) -> None:
        """Add the time since the last call, as far as this node can have been listening."""
        passed_us = max(0, now_us - self._advanced_at_us)
        self.listened_us += min(passed_us, MAX_ADVANCE_HEARTBEATS * self.heartbeat_us)
        self._advanced_at_us = max(self._advanced_at_us, now_us)

    @property
    def silence_us(self) -> int:
        """Return the time without news after which a member counts as silent."""
        for_all_members = SILENCE_PER_MEMBER_US * self.member_count
        scaled = for_all_members * self.heartbeat_us // REFERENCE_HEARTBEAT_US
        return max(BASE_SILENCE_US, SILENCE_HEARTBEATS * self.heartbeat_us, scaled)

    @property
    def needs_watchers(self) -> bool:
        """Return whether the cluster is so large that gossiped records reveal a failed member too late."""
        return self.silence_us > BASE_SILENCE_US

    @property
    def suspicion_us(self) -> int:
        """Return the time without direct news after which a watcher suspects a member."""
        return SUSPICION_US * self.heartbeat_us // REFERENCE_HEARTBEAT_US

    @property
    def direct_since_us(self) -> int:
        """Return the earliest time of a member's last direct news for which it counts as heard directly."""
        round_us = self.heartbeat_us * -(-self.member_count // FAN_OUT)
        return max(0, self.listened_us - max(self.silence_us, DIRECT_ROUNDS * round_us))
