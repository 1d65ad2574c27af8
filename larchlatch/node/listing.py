"""The list's actor: what the node held first, then a watch on what changes."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

import anyio
import h11
import structlog

from larchlatch.node.memory.counters import Counters
from larchlatch.node.wire import catalog
from larchlatch.node.words import ListFailed, ListTold, Post
from larchlatch.terms import BadInput

PATH = "/catalog/members"
SILENCE_S = 3.0  # a watch says something every 2 s: a second later it is connected anew
AGAIN_S = 0.5  # the longest first pause before connecting again: a list missed for long sends links astray
LONGEST_AGAIN_S = 4.0  # pauses double up to this: what changes counts as told after 6 s at the latest

log = structlog.get_logger()


class Listing:
    """Told to ask, it watches until the watch breaks off; then it says so, and asks again by itself
    where the settings say that changes are pushed."""

    def __init__(
        self,
        address: tuple[str, int],
        revision: int,
        pushed: bool,
        counters: Counters,
        post: Post,
        uniform: Callable[[float, float], float],
    ) -> None:
        self.address = address
        self.revision = revision
        self.pushed = pushed
        self.counters = counters
        self.post = post
        self.uniform = uniform
        self.again_s = AGAIN_S
        self.whole = False  # the next list is to be the whole one
        self.watching = anyio.CancelScope()
        self.fresh = anyio.Event()  # the first word from discovery itself has come
        self.sender, self.asks = anyio.create_memory_object_stream[None](1)

    def ask(self) -> None:
        with suppress(anyio.WouldBlock):  # one is waiting already
            self.sender.send_nowait(None)

    def follow(self, address: tuple[str, int]) -> None:
        """From now on the list is had at another address."""
        # Versions there need not go on from the ones here: a host that the new list lacks would stay.
        self.address, self.whole = address, True
        self.watching.cancel()
        self.ask()

    async def run(self) -> None:
        if self.pushed:
            self.ask()
        async for _ in self.asks:
            with anyio.CancelScope() as self.watching:
                await self.watched()
            if self.watching.cancelled_caught:
                continue  # by follow, which has asked already
            await self.post(ListFailed())
            if self.pushed:
                # All nodes lose it together, and would ask together for ever: each after a pause of its own.
                await anyio.sleep(self.uniform(0, self.again_s))
                self.again_s = min(LONGEST_AGAIN_S, 2 * self.again_s)
                self.ask()

    async def tell(self, told: catalog.Members) -> None:
        self.revision, self.again_s = told.revision, AGAIN_S
        self.counters.add("list whole" if told.whole else "list change")
        await self.post(ListTold(told, asked=True))
        self.fresh.set()

    async def watched(self) -> None:
        """Follow the watch until it ends, whatever ends it."""
        try:
            if self.whole:
                await self.tell(await catalog.fetch(self.address, PATH, SILENCE_S))
                self.whole = False
            async for told in catalog.watch(self.address, PATH, self.revision, SILENCE_S):
                # A line holds all that changed since the one before, whatever versions lie between. A whole
                # list fetched for each jump is one more call on a service that all nodes ask, and while it
                # waits its turn the watch is not read: a drain that has come counts as told.
                if told.revision < self.revision and not told.whole:
                    # It runs back: what the new count lacks would never be heard of. Asked for anew.
                    self.whole = True
                    self.counters.add("list ran back")
                    return
                await self.tell(told)
        except BadInput as error:
            # Nonsense from discovery is no list: the node works on with the one it has.
            self.counters.add("list unreadable")
            log.warning("list unreadable", why=str(error))
        except (OSError, anyio.BrokenResourceError, anyio.EndOfStream, h11.RemoteProtocolError) as error:
            self.counters.add("list lost")
            log.info("list lost", why=repr(error))
        except Exception:
            self.counters.add("list lost")
            log.exception("list lost")
