"""Counts what nodes did during a soak that a node must not do, beyond the rules of sessions."""

from __future__ import annotations

from enum import StrEnum

from larchlatch.node.clock import now_us
from larchlatch.scenario.amounts import SECOND

MAX_DESCRIPTIONS = 20  # violations that are described in words; the others are only counted


class SoakCheck(StrEnum):
    """What is checked; the values are keys of the result."""

    PROCESS_LIVES = "ended"  # no process ends that was not told to
    ADMIN_ANSWERS = "unready"  # the admin API answers, and the node is ready
    OPERATION_SUCCEEDS = "operation"  # drains, reloads, hot restarts and the stop end as the pages say
    NO_UNEXPECTED_ERROR = "error"  # no process logs an exception
    DESCRIPTORS_RELEASED = "descriptors"  # an idle node holds those of its start, and of its probes
    MEMORY_BOUNDED = "memory"  # an idle node uses no more memory than the operating page says


class SoakObserver:
    """Counts and describes violations.

    Attributes:
        violations: Number of violations of each check.
        descriptions: Descriptions of the first violations.

    """

    def __init__(self) -> None:
        self.violations = dict.fromkeys(SoakCheck, 0)
        self.descriptions: list[str] = []

    def report(self, check: SoakCheck, description: str) -> None:
        """Count a violation, and keep its description if there are not too many yet."""
        self.violations[check] += 1
        if len(self.descriptions) < MAX_DESCRIPTIONS:
            self.descriptions.append(f"{now_us() / SECOND:.3f} s: {check}: {description}")
