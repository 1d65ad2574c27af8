"""The operator's file that says who is in the fleet, and with which keys."""

from __future__ import annotations

import os
import secrets
from typing import TYPE_CHECKING, Annotated, Any

from msgspec import Meta, field
from xxhash import xxh3_64_intdigest

from larchlatch.cluster.election.electorate import QUOTA_ALLOCATOR, TOKEN_ISSUER, Electorate
from larchlatch.cluster.election.lease_terms import LeaseTerms
from larchlatch.cluster.protocol.signing import PUBLIC_BYTES, Key, Seal, key_of, seal_of
from larchlatch.cluster.quota.loan_terms import LoanTerms
from larchlatch.cluster.quota.settings import Quota, QuotaSettings
from larchlatch.config.endpoints import address_of
from larchlatch.config.toml_file import Strict, converted, read_toml
from larchlatch.errors import ConfigurationError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

NAME_BYTES = 32  # a record names its origin: long names leave room for fewer records in a datagram
MOST_NODES = 1000
MOST_BUDGETS = 8  # each takes room in every record: with more, fewer records would fit into a datagram
MOST_ELECTORS = 7  # each candidate asks all of them, and all records of theirs tell what they promised
BEATS_A_TERM = 8  # a loan is renewed at half its term: an ask, its answer and one more try have to fit in

Name = Annotated[str, Meta(min_length=1, max_length=NAME_BYTES)]
Address = Annotated[str, Meta(min_length=1, max_length=64)]


class Entry(Strict, frozen=True):
    """One node: where it is reached by the others, and what its records are checked by."""

    name: Name
    address: Address
    key: str
    site: str = ""


class Budget(Strict, frozen=True):
    """New links of these tariffs, of the whole installation."""

    name: Name
    sessions_per_s: Annotated[float, Meta(gt=0, le=1e6)]
    traffic_classes: Annotated[list[str], Meta(min_length=1)]


class Work(Strict, frozen=True):
    """Duties that one node holds at a time."""

    electors: Annotated[list[Name], Meta(min_length=3, max_length=MOST_ELECTORS)]
    term_ms: Annotated[int, Meta(ge=500, le=600_000)] = 3000
    allot: bool = False
    pace: bool = False


class Raw(Strict, frozen=True):
    nodes: Annotated[list[Entry], Meta(min_length=1, max_length=MOST_NODES)]
    beat_ms: Annotated[int, Meta(ge=20, le=10_000)] = 200
    budgets: Annotated[list[Budget], Meta(max_length=MOST_BUDGETS)] = field(default_factory=list)
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.5
    window_ms: Annotated[int, Meta(ge=100, le=60_000)] = 1000
    term_ms: Annotated[int, Meta(ge=500, le=600_000)] = 3000
    skew: Annotated[float, Meta(ge=0, le=0.1)] = 0.01
    clocks_ms: Annotated[int, Meta(ge=1, le=10_000)] = 200
    duties: Work | None = None


class Peer(Strict, frozen=True):
    name: str
    address: tuple[str, int]
    site: str
    key: Key


class Fleet(Strict, frozen=True):
    """A cluster file, read and checked."""

    peers: dict[str, Peer]
    beat_us: int
    dealing: QuotaSettings
    roster: Electorate
    apart_us: int  # by how much wall clocks may differ

    @property
    def sites(self) -> dict[str, str]:
        return {name: peer.site for name, peer in self.peers.items()}


def fleet_from(raw: Any, top: str) -> Fleet:
    read = converted(raw, Raw, top)
    peers: dict[str, Peer] = {}
    taken: dict[tuple[str, int], str] = {}
    for place, entry in enumerate(read.nodes):
        where = f"{top}: nodes[{place}]"
        if entry.name in peers:
            raise ConfigurationError(f"{where}.name", f"there are two of this name ({entry.name})")
        if len(entry.name.encode()) > NAME_BYTES:
            raise ConfigurationError(f"{where}.name", f"longer than {NAME_BYTES} bytes")
        address = address_of(entry.address, f"{where}.address")
        if not address[1]:
            raise ConfigurationError(
                f"{where}.address", f"the others have to know its port ({entry.address})"
            )
        if address in taken:
            raise ConfigurationError(f"{where}.address", f"{taken[address]} has it as well ({entry.address})")
        key = key_of(entry.key)
        if key is None:
            raise ConfigurationError(f"{where}.key", f"not {PUBLIC_BYTES} bytes as hexadecimal digits")
        if any(key == peer.key for peer in peers.values()):
            raise ConfigurationError(f"{where}.key", "another node has it as well")
        peers[entry.name] = Peer(name=entry.name, address=address, site=entry.site, key=key)
        taken[address] = entry.name
    dealing = dealing_of(read, top)
    return Fleet(
        peers=peers,
        beat_us=read.beat_ms * 1000,
        dealing=dealing,
        roster=roster_of(read, dealing, top),
        apart_us=read.clocks_ms * 1000,
    )


def roster_of(read: Raw, dealing: QuotaSettings, top: str) -> Electorate:
    """Who elects, for which duties."""
    work = read.duties
    if work is None:
        return Electorate()
    where = f"{top}: duties"
    if len(work.electors) % 2 == 0:
        raise ConfigurationError(
            f"{where}.electors", "an odd number of them, or half could promise one thing, half another"
        )
    for place, name in enumerate(work.electors):
        if name not in dealing.names:
            raise ConfigurationError(f"{where}.electors[{place}]", f"not among the nodes ({name})")
        if name in work.electors[:place]:
            raise ConfigurationError(f"{where}.electors[{place}]", f"named twice ({name})")
    if read.beat_ms * BEATS_A_TERM > work.term_ms:
        raise ConfigurationError(f"{where}.term_ms", f"less than {BEATS_A_TERM} beats ({work.term_ms})")
    if work.allot and not dealing.quotas:
        raise ConfigurationError(f"{where}.allot", "there are no budgets to deal out")
    tenure = LeaseTerms(work.term_ms * 1000, read.skew, read.clocks_ms * 1000)
    duties = (QUOTA_ALLOCATOR,) * work.allot + (TOKEN_ISSUER,) * work.pace
    mark = digest(repr((dealing.digest, work.electors, work.term_ms, duties)))
    return Electorate(tuple(sorted(work.electors)), dealing.names, duties, tenure, mark)


def dealing_of(read: Raw, top: str) -> QuotaSettings:
    """How the budgets are dealt out."""
    spans = LoanTerms(read.window_ms * 1000, read.term_ms * 1000, read.skew)
    limits: list[Quota] = []
    taken: dict[str, str] = {}
    for place, budget in enumerate(read.budgets):
        where = f"{top}: budgets[{place}]"
        if any(budget.name == limit.name for limit in limits):
            raise ConfigurationError(f"{where}.name", f"there are two of this name ({budget.name})")
        for traffic_class in budget.traffic_classes:
            if traffic_class in taken:
                raise ConfigurationError(
                    f"{where}.tariffs", f"{traffic_class} is in {taken[traffic_class]} as well"
                )
            taken[traffic_class] = budget.name
        sessions = int(budget.sessions_per_s * read.window_ms / 1000)
        if sessions < 1:
            raise ConfigurationError(
                f"{where}.links_per_s", f"less than one link in a window ({budget.sessions_per_s})"
            )
        limits.append(Quota(budget.name, sessions, tuple(budget.traffic_classes)))
    if limits and read.beat_ms * BEATS_A_TERM > read.term_ms:
        raise ConfigurationError(top, f"term_ms: fewer than {BEATS_A_TERM} beats ({read.term_ms})")
    names = tuple(sorted(entry.name for entry in read.nodes))
    allot = read.duties is not None and read.duties.allot
    mark = digest(dealing_text(limits, names, read.floor, spans, allot))
    return QuotaSettings(tuple(limits), names, read.floor, spans, mark, allot)


def dealing_text(
    limits: list[Quota], names: tuple[str, ...], floor: float, spans: LoanTerms, allot: bool
) -> str:
    """Return the text whose digest tells one cluster file from another.

    Nodes of different versions compare the digest: the text must stay the same for the same file.
    """
    rows = [
        f"Limit(name={each.name!r}, links={each.sessions!r}, tariffs={each.traffic_classes!r})"
        for each in limits
    ]
    return f"([{', '.join(rows)}], {names!r}, {floor!r}, {tuple(spans)!r}, {allot!r})"


def digest(text: str) -> int:
    """Return a digest of 31 bits that is never 0: 0 says that there is no file."""
    return xxh3_64_intdigest(text.encode()) & 0x7FFFFFFF or 1


def fleet_of(path: Path) -> Fleet:
    """Who is in the fleet, by this file; BadInput with one line that names the key."""
    return fleet_from(read_toml(path, "cluster"), "cluster")


def fits_traffic_classes(fleet: Fleet, traffic_classes: Iterable[str]) -> None:
    """BadInput where a budget names a tariff that this node does not have."""
    known = frozenset(traffic_classes)
    for limit in fleet.dealing.quotas:
        for traffic_class in limit.traffic_classes:
            if traffic_class not in known:
                raise ConfigurationError(
                    "cluster", f"budgets: {limit.name}: this node has no such tariff ({traffic_class})"
                )


def follows(fleet: Fleet, before: Fleet) -> None:
    """BadInput where a file can't be followed by who goes by the one before."""
    # Danger: majorities of two sets that differ by more share no elector, and each could promise a duty.
    old, new = set(before.roster.electors), set(fleet.roster.electors)
    if old and new and (len(new - old) > 1 or len(old - new) > 1):
        names = ", ".join(sorted(old ^ new))
        raise ConfigurationError(
            "cluster", f"duties.electors: more than one is exchanged at a time ({names})"
        )


def own_entry(fleet: Fleet, name: str) -> Peer:
    """What the file has for this node; BadInput where it has nothing."""
    if name not in fleet.peers:
        raise ConfigurationError("cluster", f"nodes: this node is not among them ({name})")
    return fleet.peers[name]


def own_seal(fleet: Fleet, name: str, secret: str) -> Seal:
    """What this node signs with; BadInput where the file knows it by another key, or not at all."""
    own = own_entry(fleet, name)
    seal = seal_of(secret)
    if seal is None:
        raise ConfigurationError("cluster key", "not 32 bytes as hexadecimal digits")
    if seal.public != own.key:
        raise ConfigurationError("cluster key", f"not the one that the file has for {name}")
    return seal


def secret_of(path: Path) -> str:
    try:
        return path.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        why = error.strerror if isinstance(error, OSError) else "not hexadecimal digits"
        raise ConfigurationError("cluster key", f"can't be read ({why}: {path})") from None


def new_secret(path: Path) -> str:
    """A new secret key in a file of its own that only its owner reads; what the cluster file has for it."""
    secret = secrets.token_hex(32)
    seal = seal_of(secret)
    assert seal is not None
    try:
        with os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as out:
            out.write(secret + "\n")
    except OSError as error:
        raise ConfigurationError("cluster key", f"can't be written ({error.strerror}: {path})") from None
    return seal.public.hex()
