"""The range of sessions that the cluster admitted contains their number, through restarts and file changes.

Members exchange datagrams without I/O while processes are replaced in hot restarts, restarted or read other
cluster files, and datagrams are lost or late.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.cluster.cluster_file import ClusterConfiguration
from larchlatch.cluster.protocol.messages import QuotaReport
from larchlatch.cluster.quota.account import QuotaAccount
from larchlatch.cluster.quota.counts import ClusterUsage, Sample
from larchlatch.cluster.quota.shared_quotas import SharedQuotas
from larchlatch.invariants.observations import QuotaUsageReported
from tests.support.cluster_network import HEARTBEAT_US, SECOND_US, Member, Network, cluster_file

NAMES = "abc"
CLOCKS_MS = 20
STEP_US = HEARTBEAT_US // 4
WARM_UP_STEPS = 100
EVENT_COUNT = 12
DEMAND = {"a": 3, "b": 1, "c": 1}  # requests of each node in a step

window_lengths_ms = st.sampled_from([250, 500, 1000, 1000, 2000])
terms_ms = st.sampled_from([3000, 3000, 4000, 9000])
files = st.builds(
    lambda window_ms, term_ms, floor: cluster_file(
        NAMES, window_ms=window_ms, term_ms=term_ms, floor=floor, clocks_ms=CLOCKS_MS
    ),
    window_lengths_ms,
    terms_ms,
    st.sampled_from([0.25, 0.5, 1.0]),
)


class ChangingCluster(Network):
    """A network whose members are replaced in hot restarts, restart, and read other cluster files.

    Attributes:
        successors: for each node in a hot restart, the process that admits sessions but sends nothing yet.

    """

    def __init__(self, configuration: ClusterConfiguration) -> None:
        super().__init__(configuration, NAMES)
        self.successors: dict[str, Member] = {}

    def _process_that_admits(self, name: str) -> Member:
        return self.successors.get(name, self.members[name])

    def request_sessions(self, name: str, number: int, traffic_class: str = "all") -> None:
        """Request sessions at the process of a node that accepts clients."""
        predecessor = self.members[name]
        self.members[name] = self._process_that_admits(name)
        super().request_sessions(name, number, traffic_class)
        self.members[name] = predecessor

    def begin_hot_restart(self, name: str, configuration: ClusterConfiguration) -> None:
        """Start a successor, which takes over a heartbeat after its start."""
        if name in self.successors:
            return
        successor = Member(name, configuration, self.now, opens=False)
        self.run_steps(HEARTBEAT_US // STEP_US, random.Random(0), lost=0.0)
        successor.state.quotas.take_over(self.now, self.members[name].state.quotas.close(self.now))
        self.successors[name] = successor

    def end_hot_restart(self, name: str) -> None:
        """End the predecessor; the successor gets its address and takes part in the cluster."""
        if name in self.successors:
            self.members[name] = self.successors.pop(name)
            self.members[name].state.open(self.now)

    def abort_hot_restart(self, name: str) -> None:
        """End the successor; the predecessor admits sessions again."""
        if self.successors.pop(name, None) is not None:
            self.members[name].state.quotas.open(self.now)

    def restart(self, name: str, configuration: ClusterConfiguration) -> None:
        """Kill all processes of a node and start a new one."""
        self.successors.pop(name, None)
        self.members[name] = Member(name, configuration, self.now)

    def run_steps(self, number: int, rng: random.Random, lost: float) -> None:
        """Run heartbeats and requests; a part of the datagrams is lost, and half of the others are late."""
        for _ in range(number):
            for name in rng.sample(NAMES, len(NAMES)):
                if self.now // STEP_US % (HEARTBEAT_US // STEP_US) == 0:
                    self.heartbeat(name)
                self.request_sessions(name, DEMAND[name])
            rng.shuffle(self.in_flight)
            for _ in range(len(self.in_flight) // 2 + 1):
                if rng.random() < lost and self.in_flight:
                    self.in_flight.pop()
                self.deliver(0)
            self.now += STEP_US
            self.check_ranges()

    def check_ranges(self) -> None:
        for member in self.members.values():
            usage = member.state.quota_usage
            for quota_range in usage.ranges(self.now):
                self.checker.observe(
                    QuotaUsageReported(self.now, quota_range.least, quota_range.most, usage.span_us)
                )


EVENTS = ("begin", "end", "abort", "restart", "read", "read")


def play_event(cluster: ChangingCluster, event: str, name: str, configuration: ClusterConfiguration) -> None:
    """Let an operator restart a node, or replace its cluster file."""
    match event:
        case "begin":
            cluster.begin_hot_restart(name, configuration)
        case "end":
            cluster.end_hot_restart(name)
        case "abort":
            cluster.abort_hot_restart(name)
        case "restart":
            cluster.restart(name, configuration)
        case _:
            cluster.members[name].read(configuration, cluster.now)


def changed_cluster(seed: int, drawn_files: list[ClusterConfiguration]) -> ChangingCluster:
    """Return a cluster after a warm-up and some events that were drawn by seed."""
    rng = random.Random(seed)
    cluster = ChangingCluster(drawn_files[0])
    cluster.run_steps(WARM_UP_STEPS, rng, lost=0.0)
    for _ in range(EVENT_COUNT):
        play_event(cluster, rng.choice(EVENTS), rng.choice(NAMES), rng.choice(drawn_files))
        cluster.run_steps(rng.choice((1, 2, 10, 40)), rng, lost=rng.choice((0.0, 0.0, 0.3, 1.0)))
    return cluster


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.lists(files, min_size=1, max_size=3), st.integers(0, 10**6))
def test_range_contains_the_admitted_sessions_through_restarts_and_files(
    drawn_files: list[ClusterConfiguration], seed: int
) -> None:
    """Guards against a process or a file whose admissions are in no report and in no gap."""
    cluster = changed_cluster(seed, drawn_files)
    assert cluster.checker.reports > 0
    assert not cluster.checker.wrong_reports


def cluster_after_an_aborted_hot_restart() -> ChangingCluster:
    """Return a cluster in which no datagram left the predecessor while the successor admitted sessions."""
    cluster = ChangingCluster(cluster_file(NAMES, clocks_ms=CLOCKS_MS, floor=1.0))
    rng = random.Random(1)
    cluster.run_steps(400, rng, lost=0.0)
    cluster.begin_hot_restart("a", cluster.members["a"].configuration)
    predecessor = cluster.members["a"]
    while cluster.now < predecessor.state.quotas.accounts["all"].now + 6 * SECOND_US:
        cluster.heartbeat("b")
        cluster.heartbeat("c")
        for _ in range(HEARTBEAT_US // STEP_US):
            cluster.request_sessions("a", DEMAND["a"])
            cluster.now += STEP_US
        cluster.in_flight = [datagram for datagram in cluster.in_flight if datagram.recipient != "a"]
        while cluster.in_flight:
            cluster.deliver(0)
    cluster.abort_hot_restart("a")
    cluster.run_steps(100, rng, lost=0.0)
    return cluster


def test_range_has_room_for_a_successor_that_ended_before_any_report() -> None:
    """The predecessor goes on in its incarnation: its reports must not cover the successor's time."""
    assert not cluster_after_an_aborted_hot_restart().checker.wrong_reports


def test_range_has_room_for_the_process_that_takes_over() -> None:
    """The predecessor's records go on, and took the time of the successor's admissions as reported."""
    cluster = ChangingCluster(cluster_file(NAMES, clocks_ms=CLOCKS_MS, floor=1.0))
    rng = random.Random(1)
    cluster.run_steps(400, rng, lost=0.0)
    cluster.begin_hot_restart("a", cluster.members["a"].configuration)
    cluster.run_steps(150, rng, lost=0.0)
    assert not cluster.checker.wrong_reports
    cluster.end_hot_restart("a")
    cluster.run_steps(400, rng, lost=0.0)
    assert not cluster.checker.wrong_reports
    [usage] = cluster.members["b"].state.quota_usage.ranges(cluster.now)
    assert usage.most - usage.least < 60, "all processes have reported for more than ten windows"


@pytest.mark.parametrize(("term_ms", "window_ms"), [(4000, 1000), (3000, 500)])
def test_file_with_other_terms_keeps_the_number_of_admitted_sessions(term_ms: int, window_ms: int) -> None:
    """A count that begins again in the same process looks like a time without admissions."""
    cluster = ChangingCluster(cluster_file(NAMES, clocks_ms=CLOCKS_MS))
    cluster.run_steps(100, random.Random(1), lost=0.0)
    quotas = cluster.members["a"].state.quotas
    [before] = quotas.statuses(cluster.now)
    changed = cluster_file(NAMES, clocks_ms=CLOCKS_MS, term_ms=term_ms, window_ms=window_ms)
    cluster.members["a"].read(changed, cluster.now)
    [after] = quotas.statuses(cluster.now)
    assert (after.spent, after.refused) == (before.spent, before.refused)
    assert before.spent > 0 and before.refused > 0


def test_quota_that_a_file_removed_and_another_adds_again_keeps_its_count() -> None:
    """Members that have read only the last of the files compare its count with that of the first."""
    cluster = ChangingCluster(cluster_file(NAMES, clocks_ms=CLOCKS_MS))
    cluster.run_steps(100, random.Random(1), lost=0.0)
    member = cluster.members["a"]
    spent = member.state.quotas.accounts["all"].spent
    member.read(cluster_file(NAMES, quotas=(), clocks_ms=CLOCKS_MS), cluster.now)
    member.read(cluster_file(NAMES, clocks_ms=CLOCKS_MS), cluster.now)
    assert member.state.quotas.accounts["all"].spent == spent > 0


def test_range_allows_for_members_that_still_use_a_greater_quota() -> None:
    """A member that has read a smaller quota gets no usable reports from those that have not."""
    cluster = ChangingCluster(cluster_file(NAMES, clocks_ms=CLOCKS_MS))
    rng = random.Random(1)
    cluster.run_steps(WARM_UP_STEPS, rng, lost=0.0)
    smaller = [{"name": "all", "links_per_s": 3, "tariffs": ["all"]}]
    cluster.members["b"].read(cluster_file(NAMES, clocks_ms=CLOCKS_MS, budgets=smaller), cluster.now)
    cluster.run_steps(WARM_UP_STEPS, rng, lost=0.0)
    assert not cluster.checker.wrong_reports


def report_always(quotas: SharedQuotas, now: int) -> list[QuotaReport]:
    return [QuotaReport(account.spent, account.spare(now)) for account in quotas.accounts.values()]


def report_after_handover(quotas: SharedQuotas, now: int) -> list[QuotaReport]:
    return [] if quotas._closed else report_always(quotas, now)


def always_continues(sample: Sample, previous: Sample) -> bool:
    return len(previous.admitted) == len(sample.admitted)


def count_from_zero(quotas: SharedQuotas, *args: object) -> QuotaAccount:
    account = original_updated_account(quotas, *args)  # type: ignore[arg-type]
    account.spent = 0
    return account


original_updated_account = SharedQuotas._updated_account


@pytest.mark.parametrize(
    ("owner", "name", "planted"),
    [
        pytest.param(SharedQuotas, "reports", report_always, id="a closed process reports"),
        pytest.param(SharedQuotas, "_updated_account", count_from_zero, id="a file resets the count"),
        pytest.param(Sample, "continues", always_continues, id="a process continues another one's count"),
        pytest.param(
            ClusterUsage, "_former_files_end_us", lambda usage, wall_us: 0, id="former quotas are forgotten"
        ),
    ],
)
def test_planted_faults_of_the_range_are_found(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str, planted: Callable[..., object]
) -> None:
    """Shows that the property above sees each fault that it guards against."""
    monkeypatch.setattr(owner, name, planted)
    drawn_files = [
        cluster_file(NAMES, clocks_ms=CLOCKS_MS),
        cluster_file(NAMES, clocks_ms=CLOCKS_MS, term_ms=4000),
        cluster_file(NAMES, clocks_ms=CLOCKS_MS, window_ms=250, floor=1.0),
    ]
    assert any(changed_cluster(seed, drawn_files).checker.wrong_reports for seed in range(60))


def test_planted_report_after_an_aborted_hot_restart_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the test of an aborted hot restart finds a process that reports at once."""
    monkeypatch.setattr(SharedQuotas, "reports", report_after_handover)
    assert cluster_after_an_aborted_hot_restart().checker.wrong_reports
