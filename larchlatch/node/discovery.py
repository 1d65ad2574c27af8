"""Follows the endpoint list by a watch on its changes, which is opened again with backoff when it ends."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import h11
import structlog

from larchlatch.errors import InvalidInputError
from larchlatch.node.fault_barrier import FaultBarrier
from larchlatch.node.messages import DiscoveryFailed, EndpointsChanged, Post
from larchlatch.node.wire import discovery_client
from larchlatch.node.wire.discovery_client import CallTimeouts, DiscoveryRefusedError, EndpointUpdate, Watch

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.node.metrics import Counters

PATH = "/catalog/members"

# Both kinds of discovery. A change counts as known to this node 6 s after discovery had it and could be
# reached. In the worst case it comes right after a failing call has begun: the next call begins at most
# MAX_CYCLE_S after that one, and needs connect_s. The rest of the 6 s allows for delays in this node.
WATCH_SILENCE_S = 2.6  # a watch sends a keep-alive every 2 s; if silent for longer it counts as broken
MAX_CYCLE_S = 4.0  # from the last progress, or from the start of a call without progress, to the next call

# Discovery that pushes changes: an agent on this machine, which answers at once and serves this node alone.
# What it has counts as known at once, whether or not a watch is open, so a call without an answer is repeated
# soon: answer_s + UNREAD_GRACE_S + MAX_AGENT_PAUSE_S are shorter than the grace period of a drain.
AGENT_TIMEOUTS = CallTimeouts(connect_s=0.12, answer_s=0.12, silence_s=WATCH_SILENCE_S)
MAX_AGENT_PAUSE_S = 0.05  # longest pause before an agent is called again

# Discovery that is polled: one service for all nodes, where calls queue. Pauses double up to MAX_CYCLE_S.
SERVICE_TIMEOUTS = CallTimeouts(connect_s=0.5, answer_s=WATCH_SILENCE_S, silence_s=WATCH_SILENCE_S)
FIRST_SERVICE_PAUSE_S = 0.5  # longest first pause, also before a call of an agent that has refused one

# How a call ends if discovery can't be reached, or breaks off its answer.
CONNECTION_FAILURES = (OSError, anyio.BrokenResourceError, anyio.EndOfStream, h11.RemoteProtocolError)

log = structlog.get_logger()


class DiscoveryCounter(StrEnum):
    """Names of the counters of the discovery client."""

    LIST_FULL = "endpoint_list_full"  # complete lists that were received
    LIST_CHANGE = "endpoint_list_change"  # changes to the list that were received
    LIST_INVALID = "endpoint_list_invalid"  # answers that were no endpoint list
    LIST_WENT_BACK = "endpoint_list_went_back"  # changes with a lower revision than the one before
    ENTRY_INVALID = "endpoint_entry_invalid"  # entries of lists that could not be read
    CALL_FAILED = "discovery_call_failed"  # no connection or answer, a refusal, or a watch that ended


class EndpointSource:
    """An address of discovery with the state of the list that was received from there.

    A call keeps the source that it began with: if the address changes during the call, what is still received
    changes only the state of the former source.

    Attributes:
        address: host and port.
        revision: the revision up to which the list is known.
        needs_full_list: whether the next call has to fetch the complete list before it watches.

    """

    def __init__(self, address: tuple[str, int], *, revision: int, needs_full_list: bool) -> None:
        self.address = address
        self.revision = revision
        self.needs_full_list = needs_full_list


class DiscoveryClient:
    """Follows the endpoint list and posts each update to the balancer actor.

    It begins at once if the deployment settings say that changes are pushed, otherwise once `start` was
    called. From then on it keeps a watch open for as long as the node runs.

    Args:
        address: host and port of discovery.
        revision: the revision of the list that the node already has.
        pushed: whether discovery is an agent that pushes changes; otherwise it is a shared service.
        counters: where calls and updates are counted.
        post: sends a message to the balancer actor.
        uniform: draws a number between two bounds, as `random.Random.uniform`.

    Attributes:
        source: the address that is followed now.
        first_update: set once an update has come from discovery itself.
        refused: whether the last call was answered, with a refusal or with an invalid list.
        last_progress_at: when the last complete object or keep-alive came, or the last call began; in
            seconds of `anyio.current_time`.
        max_pause_s: seconds, the longest pause after the next call that fails at a shared service.

    """

    def __init__(
        self,
        address: tuple[str, int],
        *,
        revision: int,
        pushed: bool,
        counters: Counters,
        post: Post,
        uniform: Callable[[float, float], float],
    ) -> None:
        self.source = EndpointSource(address, revision=revision, needs_full_list=False)
        self.first_update = anyio.Event()
        self.refused = False
        self.last_progress_at = 0.0
        self.max_pause_s = FIRST_SERVICE_PAUSE_S
        self._counters = counters
        self._post = post
        self._uniform = uniform
        self._pushed = pushed
        self._timeouts = AGENT_TIMEOUTS if pushed else SERVICE_TIMEOUTS
        self._failed_calls = 0  # since the last progress
        self._call_scope: anyio.CancelScope | None = None  # of the present call and of the pause after it
        self._started = anyio.Event()
        if pushed:
            self.start()

    @property
    def revision(self) -> int:
        """The revision up to which the list is known."""
        return self.source.revision

    @revision.setter
    def revision(self, revision: int) -> None:
        self.source.revision = revision

    def start(self) -> None:
        """Let `run` begin to call discovery."""
        self._started.set()

    def change_address(self, address: tuple[str, int]) -> None:
        """Follow the list at another address from now on; the present call is cancelled."""
        # Revisions at the new address may be unrelated to those known here, and by changes alone an upstream
        # that the new list lacks would stay. So the complete list is fetched first.
        self.source = EndpointSource(address, revision=0, needs_full_list=True)
        self.max_pause_s = FIRST_SERVICE_PAUSE_S
        if self._call_scope is not None:
            self._call_scope.cancel()

    async def run(self) -> None:
        """Call discovery repeatedly, with a pause after each call, until cancelled."""
        await self._started.wait()
        while True:
            # Only `change_address` cancels this scope, also in the pause, to call the new address at once.
            with anyio.CancelScope() as self._call_scope:
                await self._call(self.source)
                await self._post(DiscoveryFailed())
                await anyio.sleep(self.pause_s(anyio.current_time()))

    def pause_s(self, now: float) -> float:
        """Draw the pause before the next call in seconds, and double the bound of the one after it.

        Args:
            now: seconds of `anyio.current_time`.

        """
        if self._pushed and not self.refused:
            return self._uniform(0, MAX_AGENT_PAUSE_S)
        # All nodes lose a shared service at the same time, and would call it again at the same time.
        pause_s = self._uniform(0, self.max_pause_s)
        self.max_pause_s = min(MAX_CYCLE_S, 2 * self.max_pause_s)
        return max(0.0, min(pause_s, self.last_progress_at + MAX_CYCLE_S - now))

    async def _call(self, source: EndpointSource) -> None:
        """Follow the list by one call until the call ends, and record how it ended."""
        self.last_progress_at, self.refused = anyio.current_time(), False
        with FaultBarrier(self._counters, counter=DiscoveryCounter.CALL_FAILED, event="discovery_call_error"):
            try:
                await self._follow(source)
            except DiscoveryRefusedError as error:
                self.refused = True
                self._record_failure(error)
            except InvalidInputError as error:
                # Discovery could be reached, and would probably answer the same if it were called at once.
                self.refused = True
                self._counters.add(DiscoveryCounter.LIST_INVALID)
                log.warning("endpoint_list_invalid", reason=str(error))
            except CONNECTION_FAILURES as error:
                self._record_failure(error)

    async def _follow(self, source: EndpointSource) -> None:
        """Fetch the complete list if that is necessary, then watch it."""
        if source.needs_full_list:
            update = await discovery_client.fetch_list(source.address, PATH, self._timeouts)
            await self._publish(source, update)
            source.needs_full_list = False
            self._record_progress()
        target = discovery_client.watch_target(PATH, source.revision)
        async with discovery_client.open_get(source.address, target, self._timeouts) as body:
            await self._consume(source, Watch(body, self._timeouts.silence_s))

    async def _consume(self, source: EndpointSource, watch: Watch) -> None:
        """Publish the changes of a watch until the complete list is needed."""
        while True:
            update = await watch.next()
            self._record_progress()
            if update is None:
                continue
            # A line has all changes since the line before, even if the revision jumps. Fetching the list
            # after each jump would be one more call to a shared service, during which the watch is not read.
            if update.endpoints.revision < source.revision and not update.endpoints.complete:
                # Revisions have been reset: changes alone would not tell which known endpoints are gone.
                source.needs_full_list = True
                self._counters.add(DiscoveryCounter.LIST_WENT_BACK)
                return
            await self._publish(source, update)

    async def _publish(self, source: EndpointSource, update: EndpointUpdate) -> None:
        """Send an update to the balancer actor and reset the backoff."""
        endpoints, faults = update
        source.revision, self.max_pause_s = endpoints.revision, FIRST_SERVICE_PAUSE_S
        self._counters.add(DiscoveryCounter.LIST_FULL if endpoints.complete else DiscoveryCounter.LIST_CHANGE)
        if faults:
            self._counters.add(DiscoveryCounter.ENTRY_INVALID, len(faults))
            log.warning("endpoint_entries_invalid", count=len(faults), first=faults[0])
        await self._post(EndpointsChanged(endpoints, from_discovery=True))
        self.first_update.set()

    def _record_progress(self) -> None:
        """Record that a complete object or a keep-alive was received."""
        # A single failed call that is followed by a successful one is not logged.
        if self._failed_calls > 1:
            log.info("discovery_recovered", failed_calls=self._failed_calls)
        self.last_progress_at, self._failed_calls = anyio.current_time(), 0

    def _record_failure(self, error: Exception) -> None:
        """Count a failed call, and log it if the call before did not fail."""
        self._counters.add(DiscoveryCounter.CALL_FAILED)
        # While an agent is silent, several calls a second fail.
        if not self._failed_calls:
            log.info("discovery_call_failed", reason=repr(error))
        self._failed_calls += 1
