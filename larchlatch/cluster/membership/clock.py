"""Measures the listening time of a node, and defines the thresholds that are given in it. No I/O."""

from __future__ import annotations

REFERENCE_HEARTBEAT_US = 200_000  # interval for which the thresholds are given; at others they are scaled
BASE_SILENCE_US = 1_600_000  # without news for so long, a member of a small cluster counts as silent
SILENCE_HEARTBEATS = 8  # lower bound of that time in heartbeats, for intervals above the reference
# The same time for each member of a large cluster: a heartbeat carries only some twenty records, so the more
# members there are, the older are the records that arrive.
SILENCE_PER_MEMBER_US = 90_000
# Upper bound of one advance of the listening clock: a node whose process was stopped has to listen again
# before it declares others silent.
MAX_ADVANCE_HEARTBEATS = 3
SUSPICION_US = 2_400_000  # a watcher suspects a member after so long without a datagram: six are missing
SUSPICION_HEARTBEATS = SUSPICION_US // REFERENCE_HEARTBEAT_US
FAN_OUT = 3  # members that each heartbeat is gossiped to
# In each round of the shuffled order a node sends its record to each member once. A member that sent nothing
# directly for this number of rounds no longer counts as heard directly.
DIRECT_ROUNDS = 4


class ListeningClock:
    """Measures the time for which this node could receive messages, by its own heartbeats.

    A node whose process was stopped could not receive anything, so that time must not count as silence of the
    other members (Lifeguard, Dadgar et al. 2017). All thresholds of the membership are times of this clock.

    Attributes:
        heartbeat_us: interval between two heartbeats, in microseconds.
        member_count: number of other members; the silence threshold grows with it.
        listened_us: listening time since the start, in microseconds.

    """

    def __init__(self, *, heartbeat_us: int, now_us: int) -> None:
        """Start at zero; `now_us` is the current time of a monotonic clock."""
        self.heartbeat_us = heartbeat_us
        self.member_count = 0
        self.listened_us = 0
        self._advanced_at_us = now_us

    def advance(self, now_us: int) -> None:
        """Add the time since the last call, but at most `MAX_ADVANCE_HEARTBEATS` heartbeats."""
        passed_us = max(0, now_us - self._advanced_at_us)
        self.listened_us += min(passed_us, MAX_ADVANCE_HEARTBEATS * self.heartbeat_us)
        self._advanced_at_us = max(self._advanced_at_us, now_us)

    @property
    def silence_us(self) -> int:
        """Return the time without news of a member after which it counts as silent."""
        for_all_members = SILENCE_PER_MEMBER_US * self.member_count
        scaled = for_all_members * self.heartbeat_us // REFERENCE_HEARTBEAT_US
        return max(BASE_SILENCE_US, SILENCE_HEARTBEATS * self.heartbeat_us, scaled)

    @property
    def needs_watchers(self) -> bool:
        """Return whether the cluster is so large that gossiped records reveal a failed member too late."""
        return self.silence_us > BASE_SILENCE_US

    @property
    def suspicion_us(self) -> int:
        """Return the time without datagrams from a member after which its watchers suspect it."""
        return SUSPICION_US * self.heartbeat_us // REFERENCE_HEARTBEAT_US

    @property
    def direct_since_us(self) -> int:
        """Return the listening time since which a member must have sent a datagram to be heard directly."""
        round_us = self.heartbeat_us * -(-self.member_count // FAN_OUT)
        return max(0, self.listened_us - max(self.silence_us, DIRECT_ROUNDS * round_us))
