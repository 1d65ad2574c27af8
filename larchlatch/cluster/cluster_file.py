"""Reads and checks the operators' cluster file (TOML): the nodes with their keys, the quotas and the roles.

The `*Table` types hold the content of the file; they alone map its keys to the terms of the code. The checked
content is a `ClusterConfiguration`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any

from msgspec import Meta, field
from xxhash import xxh3_64_intdigest

from larchlatch.cluster.election.electorate import QUOTA_ALLOCATOR, TOKEN_ISSUER, Electorate
from larchlatch.cluster.election.lease_terms import LeaseTerms
from larchlatch.cluster.protocol.signing import KEY_BYTES, PublicKey, parse_key
from larchlatch.cluster.quota.loan_terms import LoanTerms
from larchlatch.cluster.quota.settings import Quota, QuotaSettings
from larchlatch.config.endpoints import parse_address
from larchlatch.config.toml_file import Strict, convert_table, read_toml
from larchlatch.errors import ConfigurationError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

MAX_NAME_BYTES = 32  # each record contains the name of its origin
MAX_ADDRESS_CHARACTERS = 64
MAX_NODES = 1000
MAX_QUOTAS = 8  # every record contains a report on each quota
MIN_ELECTORS = 3
MAX_ELECTORS = 7  # a candidate sends each ballot to all electors
MIN_HEARTBEATS_PER_TERM = 8  # renewal begins at half a term, so that a request can be retried
DIGEST_MASK = 0x7FFFFFFF  # 31 bits take four bytes less in each record than the 64 bits of the hash

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_BYTES)]
Address = Annotated[str, Meta(min_length=1, max_length=MAX_ADDRESS_CHARACTERS)]
TermMs = Annotated[int, Meta(ge=500, le=600_000)]


class NodeTable(Strict, frozen=True):
    """An entry of `[[nodes]]`: the address, public key and site of a node."""

    name: Name
    address: Address
    key: str
    site: str = ""


class QuotaTable(Strict, frozen=True):
    """An entry of `[[budgets]]`: a quota of new sessions of some traffic classes, for the whole cluster."""

    name: Name
    sessions_per_s: Annotated[float, Meta(gt=0, le=1e6)]
    traffic_classes: Annotated[list[str], Meta(min_length=1)]


class RolesTable(Strict, frozen=True):
    """The table `[duties]`: which roles the cluster has, and the electors that choose their holders."""

    electors: Annotated[list[Name], Meta(min_length=MIN_ELECTORS, max_length=MAX_ELECTORS)]
    term_ms: TermMs = 3000
    allocates_quotas: bool = field(name="allot", default=False)
    issues_tokens: bool = field(name="pace", default=False)


class ClusterTable(Strict, frozen=True):
    """The whole cluster file, in the units of the file."""

    nodes: Annotated[list[NodeTable], Meta(min_length=1, max_length=MAX_NODES)]
    heartbeat_ms: Annotated[int, Meta(ge=20, le=10_000)] = field(name="beat_ms", default=200)
    quotas: Annotated[list[QuotaTable], Meta(max_length=MAX_QUOTAS)] = field(
        name="budgets", default_factory=list
    )
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.5
    window_ms: Annotated[int, Meta(ge=100, le=60_000)] = 1000
    term_ms: TermMs = 3000
    skew: Annotated[float, Meta(ge=0, le=0.1)] = 0.01
    max_clock_difference_ms: Annotated[int, Meta(ge=1, le=10_000)] = field(name="clocks_ms", default=200)
    roles: RolesTable | None = field(name="duties", default=None)


class ClusterNode(Strict, frozen=True):
    """The checked entry of one node in the cluster file.

    Attributes:
        name: the node's name.
        address: host and UDP port.
        site: the node's site.
        key: the node's public key.

    """

    name: str
    address: tuple[str, int]
    site: str
    key: PublicKey


class ClusterConfiguration(Strict, frozen=True):
    """The checked content of a cluster file.

    Attributes:
        nodes: all nodes by name, in the order of the file.
        heartbeat_us: interval between two heartbeats.
        quota_settings: the quotas, and how they are divided among the nodes.
        electorate: the roles and their electors.
        max_clock_difference_us: greatest difference between the wall clocks of two nodes.

    """

    nodes: dict[str, ClusterNode]
    heartbeat_us: int
    quota_settings: QuotaSettings
    electorate: Electorate
    max_clock_difference_us: int

    @property
    def sites(self) -> dict[str, str]:
        """Return the site of each node."""
        return {name: node.site for name, node in self.nodes.items()}

    @property
    def keys(self) -> dict[str, PublicKey]:
        """Return the public key of each node."""
        return {name: node.key for name, node in self.nodes.items()}


def read_cluster_file(path: Path) -> ClusterConfiguration:
    """Read and check a cluster file.

    Raises:
        ConfigurationError: the file can't be read or is invalid; the message names the key.

    """
    return parse_cluster(read_toml(path, "cluster"), "cluster")


def parse_cluster(raw: Any, file_kind: str) -> ClusterConfiguration:
    """Check the content of a cluster file.

    Args:
        raw: the content as TOML tables and values.
        file_kind: what error messages call the file.

    Raises:
        ConfigurationError: the content is invalid; the message names the key.

    """
    table = convert_table(raw, ClusterTable, file_kind)
    nodes = _parse_nodes(table.nodes, file_kind)
    quota_settings = _parse_quotas(table, file_kind)
    return ClusterConfiguration(
        nodes=nodes,
        heartbeat_us=table.heartbeat_ms * 1000,
        quota_settings=quota_settings,
        electorate=_parse_roles(table, quota_settings, file_kind),
        max_clock_difference_us=table.max_clock_difference_ms * 1000,
    )


def _parse_nodes(tables: list[NodeTable], file_kind: str) -> dict[str, ClusterNode]:
    """Return the nodes by name; check that no two have the same name, address or public key."""
    nodes: dict[str, ClusterNode] = {}
    for index, table in enumerate(tables):
        node = _parse_node(table, nodes, f"{file_kind}: nodes[{index}]")
        nodes[node.name] = node
    return nodes


def _parse_node(table: NodeTable, earlier_nodes: dict[str, ClusterNode], where: str) -> ClusterNode:
    if table.name in earlier_nodes:
        raise ConfigurationError(f"{where}.name", f"another node has the same name ({table.name})")
    if len(table.name.encode()) > MAX_NAME_BYTES:
        raise ConfigurationError(f"{where}.name", f"the name is longer than {MAX_NAME_BYTES} bytes in UTF-8")
    address = parse_address(table.address, f"{where}.address")
    if not address[1]:
        raise ConfigurationError(
            f"{where}.address", f"other nodes send to this port, so it must not be 0 ({table.address})"
        )
    for other in earlier_nodes.values():
        if other.address == address:
            raise ConfigurationError(
                f"{where}.address", f"{other.name} has the same address ({table.address})"
            )
    key = parse_key(table.key)
    if key is None:
        raise ConfigurationError(f"{where}.key", f"a public key is {KEY_BYTES} bytes in hexadecimal digits")
    if any(key == other.key for other in earlier_nodes.values()):
        raise ConfigurationError(f"{where}.key", "another node has the same public key")
    return ClusterNode(name=table.name, address=address, site=table.site, key=key)


def _parse_quotas(table: ClusterTable, file_kind: str) -> QuotaSettings:
    """Return the quotas, and how they are divided among the nodes."""
    loan_terms = LoanTerms(table.window_ms * 1000, table.term_ms * 1000, table.skew)
    quotas: list[Quota] = []
    for index, quota_table in enumerate(table.quotas):
        quotas.append(_parse_quota(quota_table, quotas, table.window_ms, f"{file_kind}: budgets[{index}]"))
    if quotas and table.heartbeat_ms * MIN_HEARTBEATS_PER_TERM > table.term_ms:
        raise ConfigurationError(
            file_kind,
            f"term_ms: a term must be at least {MIN_HEARTBEATS_PER_TERM} times beat_ms ({table.term_ms})",
        )
    names = tuple(sorted(node.name for node in table.nodes))
    pooled = table.roles is not None and table.roles.allocates_quotas
    text = _quota_digest_text(quotas, names, table.floor, loan_terms, pooled=pooled)
    return QuotaSettings(tuple(quotas), names, table.floor, loan_terms, digest(text), pooled)


def _parse_quota(table: QuotaTable, earlier_quotas: list[Quota], window_ms: int, where: str) -> Quota:
    if any(table.name == quota.name for quota in earlier_quotas):
        raise ConfigurationError(f"{where}.name", f"another quota has the same name ({table.name})")
    quota_by_class = {
        traffic_class: quota.name for quota in earlier_quotas for traffic_class in quota.traffic_classes
    }
    for traffic_class in table.traffic_classes:
        if traffic_class in quota_by_class:
            raise ConfigurationError(
                f"{where}.tariffs",
                f"{traffic_class} belongs to the quota {quota_by_class[traffic_class]} already",
            )
        quota_by_class[traffic_class] = table.name
    sessions_per_window = int(table.sessions_per_s * window_ms / 1000)
    if sessions_per_window < 1:
        raise ConfigurationError(
            f"{where}.links_per_s", f"less than one session per quota window ({table.sessions_per_s})"
        )
    return Quota(table.name, sessions_per_window, tuple(table.traffic_classes))


def _parse_roles(table: ClusterTable, quota_settings: QuotaSettings, file_kind: str) -> Electorate:
    """Return the roles and their electors."""
    roles = table.roles
    if roles is None:
        return Electorate()
    where = f"{file_kind}: duties"
    _check_electors(roles.electors, quota_settings.names, f"{where}.electors")
    if table.heartbeat_ms * MIN_HEARTBEATS_PER_TERM > roles.term_ms:
        raise ConfigurationError(
            f"{where}.term_ms",
            f"a term must be at least {MIN_HEARTBEATS_PER_TERM} times beat_ms ({roles.term_ms})",
        )
    if roles.allocates_quotas and not quota_settings.quotas:
        raise ConfigurationError(f"{where}.allot", "there are no quotas in [[budgets]] to allocate")
    lease_terms = LeaseTerms(roles.term_ms * 1000, table.skew, table.max_clock_difference_ms * 1000)
    role_names = (QUOTA_ALLOCATOR,) * roles.allocates_quotas + (TOKEN_ISSUER,) * roles.issues_tokens
    # Nodes of different versions compare the digest, so the text for a given file must not change.
    text = repr((quota_settings.digest, roles.electors, roles.term_ms, role_names))
    return Electorate(
        tuple(sorted(roles.electors)), quota_settings.names, role_names, lease_terms, digest(text)
    )


def _check_electors(electors: list[str], node_names: tuple[str, ...], where: str) -> None:
    if len(electors) % 2 == 0:
        raise ConfigurationError(
            where, "the number of electors must be odd, so that their votes can't be split evenly"
        )
    for index, name in enumerate(electors):
        if name not in node_names:
            raise ConfigurationError(f"{where}[{index}]", f"not among the nodes ({name})")
        if name in electors[:index]:
            raise ConfigurationError(f"{where}[{index}]", f"named twice ({name})")


def _quota_digest_text(
    quotas: list[Quota], names: tuple[str, ...], floor: float, loan_terms: LoanTerms, *, pooled: bool
) -> str:
    """Return the text whose digest identifies the quotas of a cluster file.

    Nodes of different versions compare the digest, so the text for a given file must not change; it keeps the
    names of the first version.
    """
    rows = [
        f"Limit(name={quota.name!r}, links={quota.sessions!r}, tariffs={quota.traffic_classes!r})"
        for quota in quotas
    ]
    return f"([{', '.join(rows)}], {names!r}, {floor!r}, {tuple(loan_terms)!r}, {pooled!r})"


def digest(text: str) -> int:
    """Return a 31-bit digest of a text; it is never 0, which means that there is no cluster file."""
    return xxh3_64_intdigest(text.encode()) & DIGEST_MASK or 1


def check_traffic_classes(configuration: ClusterConfiguration, traffic_classes: Iterable[str]) -> None:
    """Check that a node's configuration has all traffic classes that the quotas name.

    Raises:
        ConfigurationError: a quota names a traffic class that the node's configuration does not have.

    """
    known = frozenset(traffic_classes)
    for quota in configuration.quota_settings.quotas:
        for traffic_class in quota.traffic_classes:
            if traffic_class not in known:
                raise ConfigurationError(
                    "cluster", f"budgets: {quota.name}: this node has no such traffic class ({traffic_class})"
                )


def check_transition(after: ClusterConfiguration, *, before: ClusterConfiguration) -> None:
    """Check that a running node can change from one cluster file to another.

    If two electorates differ by more than one node, a majority of one and a majority of the other may have no
    elector in common, and two nodes could hold the same role.

    Raises:
        ConfigurationError: more than one elector is replaced.

    """
    old, new = set(before.electorate.electors), set(after.electorate.electors)
    if old and new and (len(new - old) > 1 or len(old - new) > 1):
        changed = ", ".join(sorted(old ^ new))
        raise ConfigurationError(
            "cluster", f"duties.electors: only one elector can be replaced at a time ({changed})"
        )


def own_node(configuration: ClusterConfiguration, name: str) -> ClusterNode:
    """Return the entry of the node with this name.

    Raises:
        ConfigurationError: the file has no entry for this node.

    """
    if name not in configuration.nodes:
        raise ConfigurationError("cluster", f"nodes: this node is not among them ({name})")
    return configuration.nodes[name]
