"""Tests of the checker of quota safety."""

from __future__ import annotations

from larchlatch.invariants.observations import QuotaUsageReported, SessionAdmitted, SessionRequested
from larchlatch.invariants.quota_safety import QuotaSafety
from larchlatch.scenario.amounts import SECOND


def test_excess_sessions_and_wrong_reports_are_counted() -> None:
    """Guards against a checker that misses sessions beyond the quota, or usage reports that can't be true."""
    checker = QuotaSafety(2.0, SECOND)
    for number in range(3):
        checker.observe(SessionRequested(number * 400_000, str(number)))
        checker.observe(SessionAdmitted(number * 400_000 + 10_000, str(number)))
    assert checker.excess() == 1 and checker.verdict().violations == 1
    for least, most in ((3, 3), (0, 2), (4, 5)):
        checker.observe(QuotaUsageReported(900_000, least, most, SECOND))
    assert checker.wrong_reports == 2 and checker.verdict().violations == 3
