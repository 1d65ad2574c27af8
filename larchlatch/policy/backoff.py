"""Backoff after failed attempts: for one upstream, or for all attempts of a node.

An upstream in backoff is ejected: it gets no new session until the delay is over, and then one per delay.
"""

from __future__ import annotations

from collections import deque

# Backoff of one upstream.
RECENT_OUTCOMES = 3  # of attempts at one upstream; with three, one failure among them does not eject it
BACKOFF_US = 100_000  # about the time in which a full queue has room again
LONGEST_BACKOFF_US = 6_000_000  # a recovered upstream gets an attempt within this time

# Backoff of an upstream that has reset a session.
RESET_BACKOFF_US = 1_000_000  # accumulated work takes longer to clear than a full queue
RESET_TRIAL_INTERVAL_US = 250_000  # time between two attempts at such an upstream, over all nodes

# Backoff of a node, which counts its attempts at all upstreams.
NODE_RECENT_OUTCOMES = 8  # of attempts at all upstreams
NODE_BACKOFF_US = 20_000
LONGEST_NODE_BACKOFF_US = 1_000_000
NODE_TRIAL_INTERVAL_US = 2_000_000  # time between two sessions at each upstream, over all nodes


class Backoff:
    """Spaces out attempts after failures, and owns the recent outcomes and the delay.

    Attributes:
        recent: Whether each of the last few attempts succeeded.
        initial_us: The first delay after a failure, in microseconds.
        longest_us: The upper bound of the delay, in microseconds.
        delay_us: The present delay, in microseconds; while it is above 0, only one attempt is sent per delay.
        until: When the next attempt may be sent, in microseconds.
        doubled_at: When the delay was last doubled, in microseconds; -1 if it never was.
    """

    def __init__(self, *, recent_outcomes: int, initial_us: int, longest_us: int) -> None:
        self.recent: deque[bool] = deque(maxlen=recent_outcomes)
        self.initial_us = initial_us
        self.longest_us = longest_us
        self.delay_us = 0
        self.until = 0
        self.doubled_at = -1

    @classmethod
    def of_upstream(cls) -> Backoff:
        """Return a new backoff for one upstream."""
        return cls(recent_outcomes=RECENT_OUTCOMES, initial_us=BACKOFF_US, longest_us=LONGEST_BACKOFF_US)

    @classmethod
    def of_node(cls) -> Backoff:
        """Return a new backoff for a node, which spaces out its attempts at all upstreams."""
        return cls(
            recent_outcomes=NODE_RECENT_OUTCOMES,
            initial_us=NODE_BACKOFF_US,
            longest_us=LONGEST_NODE_BACKOFF_US,
        )

    def record(self, now: int, sent_at: int, *, succeeded: bool) -> None:
        """Record the outcome of an attempt, and back off if most of the recent attempts have failed.

        Args:
            now: The present time in microseconds.
            sent_at: When the attempt was sent, in microseconds.
            succeeded: Whether the attempt succeeded.
        """
        self.recent.append(succeeded)
        if succeeded:
            self._shorten(now)
        elif self._most_have_failed():
            self.escalate(now, sent_at, least_us=self.initial_us, longest_us=self.longest_us)

    def escalate(self, now: int, sent_at: int, *, least_us: int, longest_us: int) -> None:
        """Double the delay and start it now.

        A failure of an attempt that was sent before the last doubling does not double the delay again: such
        attempts count as one failure.

        Args:
            now: The present time in microseconds.
            sent_at: When the attempt that failed was sent, in microseconds.
            least_us: The shortest delay, in microseconds.
            longest_us: The longest delay, in microseconds.
        """
        if sent_at >= self.doubled_at:
            self.delay_us = min(longest_us, max(least_us, 2 * self.delay_us))
            self.doubled_at = now
        self.delay_us = max(self.delay_us, least_us)
        self.until = max(self.until, now + self.delay_us)

    def attempt_sent(self, now: int) -> None:
        """Record that an attempt is sent: the next one waits for one delay."""
        self.until = now + self.delay_us

    def reset(self) -> None:
        """Discard all recorded outcomes and end the delay."""
        self.recent.clear()
        self.delay_us = 0
        self.until = 0

    def _shorten(self, now: int) -> None:
        # The delay is halved, not ended: otherwise all sessions that are held back would be sent at once.
        can_halve = self.delay_us >= 2 * self.initial_us
        self.delay_us = self.delay_us // 2 if can_halve else 0
        self.until = min(self.until, now + self.delay_us)

    def _most_have_failed(self) -> bool:
        return 2 * sum(self.recent) < len(self.recent)
