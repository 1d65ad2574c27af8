"""Time as a node has listened, and the thresholds that are counted in it. No I/O."""

from __future__ import annotations

USUAL_HEARTBEAT_US = 200_000  # the interval for which the thresholds here were measured
# Eight usual heartbeats. With six, some of eight members were misjudged at one datagram in five lost.
BASE_SILENCE_US = 1_600_000
SILENCE_HEARTBEATS = 8  # the same for another heartbeat interval
# Some twenty of the fleet's records travel in a heartbeat. At one datagram in five lost the oldest record of
# all pairs was 0.07 to 0.08 s a member old, from 50 to 200 members (docs/cluster.md).
SILENCE_A_MEMBER_US = 90_000
# Heartbeats that one advance counts at most: a node that was stopped heard nobody, and has to listen first.
MAX_ADVANCE_HEARTBEATS = 3
# A watcher is sent a heartbeat directly every 0.4 s. Six of these: at one datagram in five lost, two watchers
# miss so many at once on no day.
SUSPICION_US = 2_400_000
SUSPICION_HEARTBEATS = SUSPICION_US // USUAL_HEARTBEAT_US
FAN_OUT = 3  # members that a heartbeat goes to: a record reaches all in a few, also with one in five lost
# Rounds of the shuffled order, in each of which a member is sent to once, until it counts as not heard.
DIRECT_ROUNDS = 4


class ListeningClock:
    """Counts the time for which this node could hear others, in its own heartbeats.

    A node that was stopped could not hear: what it has missed is not the others' silence (the thought is
    Lifeguard's, Dadgar et al. 2017). All thresholds are times of this clock.

    Attributes:
        heartbeat_us: interval between two heartbeats.
        member_count: the other members of the fleet, as thresholds grow with it.
        listened_us: what the clock shows, in microseconds since the start.

    """

    def __init__(self, *, heartbeat_us: int, now_us: int) -> None:
        """Start at zero; now_us is of a clock that never runs back."""
        self.heartbeat_us = heartbeat_us
        self.member_count = 0
        self.listened_us = 0
        self._advanced_at_us = now_us

    def advance(self, now_us: int) -> None:
        """Count what has passed since the last call, as far as this node can have listened."""
        passed_us = max(0, now_us - self._advanced_at_us)
        self.listened_us += min(passed_us, MAX_ADVANCE_HEARTBEATS * self.heartbeat_us)
        self._advanced_at_us = max(self._advanced_at_us, now_us)

    @property
    def silence_us(self) -> int:
        """Return after how long without news a member counts as silent."""
        of_all = SILENCE_A_MEMBER_US * self.member_count * self.heartbeat_us // USUAL_HEARTBEAT_US
        return max(BASE_SILENCE_US, SILENCE_HEARTBEATS * self.heartbeat_us, of_all)

    @property
    def needs_watchers(self) -> bool:
        """Return whether the fleet is so large that gossiped records tell a death too late."""
        return self.silence_us > BASE_SILENCE_US

    @property
    def suspicion_us(self) -> int:
        """Return after how long a watcher suspects a member that it does not hear itself."""
        return SUSPICION_US * self.heartbeat_us // USUAL_HEARTBEAT_US

    @property
    def direct_since_us(self) -> int:
        """Return the time since which a member must have been heard itself to be heard directly."""
        round_us = self.heartbeat_us * -(-self.member_count // FAN_OUT)
        return max(0, self.listened_us - max(self.silence_us, DIRECT_ROUNDS * round_us))
