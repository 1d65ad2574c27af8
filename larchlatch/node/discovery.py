"""The list's actor: what the node held first, then a watch on what changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import h11
import structlog

from larchlatch.errors import InvalidInputError
from larchlatch.node.messages import DiscoveryFailed, EndpointsChanged, Post
from larchlatch.node.wire import discovery_client as catalog

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.config.endpoints import EndpointList
    from larchlatch.node.metrics import Counters

PATH = "/catalog/members"
# Where changes are pushed, discovery is an agent on this machine that answers at once and at no cost. What it
# has counts as told, whether or not a watch is open: a host may be drained in the instant a watch breaks, or
# as discovery comes back. A call that it does not answer at once will not be answered: the next one follows
# right away, and AGENT.answer_s + UNREAD_S + AGAIN_S lie within the grace that a drain leaves.
# A watch that falls silent counts as broken then; what it misses, and what is missed after a call that failed
# in another way, counts as told 6 s later: CYCLE_S + connect_s, and what this node is late by.
SILENCE_S = 2.6  # a watch says something whole every 2 s: a moment later it is opened anew
CYCLE_S = 4.0  # from the last word, or the beginning of a call without one, to the next call at the most
AGENT = catalog.Limits(0.12, 0.12, SILENCE_S)
AGAIN_S = 0.05  # the longest pause before an agent is called again: it is this node's own, and costs nobody
# Where it must be asked, it is one service for all nodes: calls wait their turn, and pauses double within
# the cycle.
SHARED = catalog.Limits(0.5, SILENCE_S, SILENCE_S)
SHARED_AGAIN_S = 0.5  # the longest first pause; also after an agent that says no

log = structlog.get_logger()


class Source:
    """Where the list is had, and what has been heard there: a call that is late can touch its own alone."""

    def __init__(self, address: tuple[str, int], revision: int, whole: bool) -> None:
        self.address = address
        self.revision = revision
        self.whole = whole  # the next list is to be the whole one


class DiscoveryClient:
    """Follows the list for as long as the node lives: at once where the settings say that changes are pushed,
    else from when it is told to ask.
    """

    def __init__(
        self,
        address: tuple[str, int],
        revision: int,
        pushed: bool,
        counters: Counters,
        post: Post,
        uniform: Callable[[float, float], float],
    ) -> None:
        self.source = Source(address, revision, False)
        self.counters = counters
        self.post = post
        self.uniform = uniform
        self.pushed = pushed
        self.limits = AGENT if pushed else SHARED
        self.again_s = SHARED_AGAIN_S  # the longest pause after the next call that a shared service fails
        self.refused = False  # the last call was answered, by a no or by nonsense
        self.failures = 0  # calls since the last word
        self.heard_at = 0.0  # when the last whole word came, or the last call began
        self.following: anyio.CancelScope | None = None  # the call that is out, or the pause after it
        self.fresh = anyio.Event()  # the first word from discovery itself has come
        self.wanted = anyio.Event()
        if pushed:
            self.ask()

    @property
    def revision(self) -> int:
        return self.source.revision

    @revision.setter
    def revision(self, revision: int) -> None:
        self.source.revision = revision

    def ask(self) -> None:
        self.wanted.set()

    def follow(self, address: tuple[str, int]) -> None:
        """From now on the list is had at another address."""
        # Versions there need not go on from the ones here: a host that the new list lacks would stay.
        self.source = Source(address, 0, True)
        self.again_s = SHARED_AGAIN_S
        if self.following is not None:
            self.following.cancel()

    async def run(self) -> None:
        await self.wanted.wait()
        while True:
            # Broken off by follow alone, also in the middle of a pause: the new address is called at once.
            with anyio.CancelScope() as self.following:
                await self.called(self.source)
                await self.post(DiscoveryFailed())
                await anyio.sleep(self.pause_s(anyio.current_time()))

    def pause_s(self, now: float) -> float:
        """How long before the next call."""
        if self.pushed and not self.refused:
            return self.uniform(0, AGAIN_S)
        # All nodes lose it together, and would call together for ever: each after a pause of its own.
        pause_s = self.uniform(0, self.again_s)
        self.again_s = min(CYCLE_S, 2 * self.again_s)
        return max(0.0, min(pause_s, self.heard_at + CYCLE_S - now))

    def heard(self) -> None:
        if self.failures > 1:
            log.info("list found", calls=self.failures)
        self.heard_at, self.failures = anyio.current_time(), 0

    async def tell(self, source: Source, told: EndpointList, faults: list[str]) -> None:
        source.revision, self.again_s = told.revision, SHARED_AGAIN_S
        self.counters.add("list whole" if told.whole else "list change")
        if faults:
            self.counters.add("list entry unreadable", len(faults))
            log.warning("list entries unreadable", count=len(faults), first=faults[0])
        await self.post(EndpointsChanged(told, from_discovery=True))
        self.fresh.set()

    async def called(self, source: Source) -> None:
        """Follow a watch until it ends, whatever ends it."""
        self.heard_at, self.refused = anyio.current_time(), False
        try:
            if source.whole:
                await self.tell(source, *await catalog.fetch(source.address, PATH, self.limits))
                source.whole = False
                self.heard()
            target = catalog.watch_target(PATH, source.revision)
            async with catalog.get(source.address, target, self.limits) as body:
                await self.watched(source, catalog.Watch(body, self.limits.silence_s))
        except catalog.Refused as error:
            self.refused = True
            self.lost(error)
        except InvalidInputError as error:
            # Nonsense from discovery is no list: the node works on with the one it has.
            self.refused = True  # it was answered: the next answer is no better for coming at once
            self.counters.add("list unreadable")
            log.warning("list unreadable", why=str(error))
        except (OSError, anyio.BrokenResourceError, anyio.EndOfStream, h11.RemoteProtocolError) as error:
            self.lost(error)
        except Exception:
            self.counters.add("list lost")
            log.exception("list lost")

    def lost(self, error: Exception) -> None:
        self.counters.add("list lost")
        # An agent that is silent is called many times a second: one line tells of it.
        if not self.failures:
            log.info("list lost", why=repr(error))
        self.failures += 1

    async def watched(self, source: Source, watch: catalog.Watch) -> None:
        while True:
            change = await watch.next()
            self.heard()
            if change is None:
                continue
            told, faults = change
            # A line holds all that changed since the one before, whatever versions lie between. A whole
            # list fetched for each jump is one more call on a service that all nodes ask, and while it
            # waits its turn the watch is not read: a drain that has come counts as told.
            if told.revision < source.revision and not told.whole:
                # It runs back: what the new count lacks would never be heard of. Asked for anew.
                source.whole = True
                self.counters.add("list ran back")
                return
            await self.tell(source, told, faults)
