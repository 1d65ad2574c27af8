"""Follows the endpoint list through a watch for its changes, and opens a new watch when one ends."""

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

# Both kinds of discovery. This node is expected to know a change 6 s after discovery had it and could be
# reached. In the worst case the change comes right after the start of a call that fails: the next call starts
# at most MAX_CYCLE_S after the failed one, and connects within connect_s. The rest of the 6 s allows for
# delays in this node.
WATCH_SILENCE_S = 2.6  # a watch sends a keep-alive every 2 s, and counts as broken if silent for this long
MAX_CYCLE_S = 4.0  # from the last progress, or from the start of a call without progress, to the next call

# Discovery that pushes changes: an agent on this machine, which answers at once and serves this node alone.
# The node is expected to know a change as soon as the agent has it, whether or not a watch is open. So a call
# without an answer is repeated soon: the sum of answer_s, UNREAD_GRACE_S and MAX_AGENT_PAUSE_S is less than
# the grace period of a drain.
AGENT_TIMEOUTS = CallTimeouts(connect_s=0.12, answer_s=0.12, silence_s=WATCH_SILENCE_S)
MAX_AGENT_PAUSE_S = 0.05  # the longest pause before an agent is called again

# Discovery that is polled: one service for all nodes, where calls queue. The longest pause doubles with each
# failed call, up to MAX_CYCLE_S.
SERVICE_TIMEOUTS = CallTimeouts(connect_s=0.5, answer_s=WATCH_SILENCE_S, silence_s=WATCH_SILENCE_S)
FIRST_SERVICE_PAUSE_S = 0.5  # the longest first pause, also after a refusal by an agent

# What a call raises if discovery can't be reached, or if its response breaks off.
CONNECTION_FAILURES = (OSError, anyio.BrokenResourceError, anyio.EndOfStream, h11.RemoteProtocolError)

log = structlog.get_logger()


class DiscoveryCounter(StrEnum):
    """Names of the counters of the discovery client."""

    LIST_FULL = "endpoint_list_full"  # complete lists that were received
    LIST_CHANGE = "endpoint_list_change"  # changes to the list that were received
    LIST_INVALID = "endpoint_list_invalid"  # responses that were not an endpoint list
    LIST_WENT_BACK = "endpoint_list_went_back"  # changes with a lower revision than the previous one
    ENTRY_INVALID = "endpoint_entry_invalid"  # invalid entries of lists, which were left out
    CALL_FAILED = "discovery_call_failed"  # no connection, no response, a refusal, or a watch that ended


class EndpointSource:
    """An address of discovery, with the state of the endpoint list that was received from there.

    A call keeps the source with which it began: if the address changes during the call, data that is
    still received changes only the state of the previous source.

    Attributes:
        address: host and port.
        revision: the revision up to which the list is known.
        needs_full_list: whether the next call has to fetch the complete list before it opens a watch.

    """

    def __init__(self, address: tuple[str, int], *, revision: int, needs_full_list: bool) -> None:
        self.address = address
        self.revision = revision
        self.needs_full_list = needs_full_list


class DiscoveryClient:
    """Follows the endpoint list and posts each update to the balancer actor.

    If discovery pushes changes, `run` calls it at once, otherwise when `start` has been called. From then on
    a watch is kept open, and replaced when it ends, for as long as the node runs.

    Args:
        address: host and port of discovery.
        revision: the revision of the list that the node already has.
        pushed: whether discovery is an agent that pushes changes; otherwise it is a shared service.
        counters: the counters of calls and updates.
        post: sends a message to the balancer actor.
        uniform: draws a random number between two bounds, like `random.Random.uniform`.

    Attributes:
        source: the address of discovery that is called now, and the state of its list.
        applied_revision: the revision of the list that the balancer actor has, with which another process
            may continue; 0 if it is from another address.
        first_update: set once the first update has been received from discovery.
        refused: whether discovery answered the last call with a refusal or with an invalid list.
        last_progress_at: when the last complete object or keep-alive was received, or the last call began; in
            seconds of `anyio.current_time`.
        max_pause_s: upper bound, in seconds, of the random pause after the next failed call to a shared
            service, or after the next call that an agent refuses.

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
        self.applied_revision = revision
        self.first_update = anyio.Event()
        self.refused = False
        self.last_progress_at = 0.0
        self.max_pause_s = FIRST_SERVICE_PAUSE_S
        self._counters = counters
        self._post = post
        self._uniform = uniform
        self._pushed = pushed
        self._timeouts = AGENT_TIMEOUTS if pushed else SERVICE_TIMEOUTS
        self._failed_calls = 0  # consecutive, since the last progress
        self._call_scope: anyio.CancelScope | None = None  # the present call and the pause after it
        self._started = anyio.Event()
        if pushed:
            self.start()

    @property
    def revision(self) -> int:
        """The revision up to which the list has been received; the balancer actor may not have it yet."""
        return self.source.revision

    def continue_from(self, revision: int) -> None:
        """Ask for the changes after this revision, up to which the balancer actor has the list."""
        self.source.revision = self.applied_revision = revision

    def record_applied(self, revision: int) -> None:
        """Record that the balancer actor has applied an update of this revision."""
        # Until the complete list of a new address has come, updates are from the former one.
        if not self.source.needs_full_list:
            self.applied_revision = revision

    def start(self) -> None:
        """Let `run` start to call discovery."""
        self._started.set()

    def change_address(self, address: tuple[str, int]) -> None:
        """Follow the list at another address from now on, and cancel the present call."""
        # Revisions at the new address may be unrelated to the known ones, and changes alone would not remove
        # an upstream that the new list lacks. So the complete list is fetched first.
        self.source = EndpointSource(address, revision=0, needs_full_list=True)
        self.applied_revision = 0
        self.max_pause_s = FIRST_SERVICE_PAUSE_S
        if self._call_scope is not None:
            self._call_scope.cancel()

    async def run(self) -> None:
        """Call discovery repeatedly, with a pause after each call, until cancelled."""
        await self._started.wait()
        while True:
            # Only `change_address` cancels this scope, even in the pause, to call the new address at once.
            with anyio.CancelScope() as self._call_scope:
                await self._call(self.source)
                await self._post(DiscoveryFailed())
                await anyio.sleep(self.pause_s(anyio.current_time()))

    def pause_s(self, now: float) -> float:
        """Draw a random pause before the next call, in seconds, and double its upper bound for the next time.

        The upper bound is constant while discovery is an agent that has not refused the last call.

        Args:
            now: the present time in seconds of `anyio.current_time`.

        """
        if self._pushed and not self.refused:
            return self._uniform(0, MAX_AGENT_PAUSE_S)
        # All nodes lose a shared service at the same time, and without a random pause they would all call it
        # again at the same time.
        pause_s = self._uniform(0, self.max_pause_s)
        self.max_pause_s = min(MAX_CYCLE_S, 2 * self.max_pause_s)
        return max(0.0, min(pause_s, self.last_progress_at + MAX_CYCLE_S - now))

    async def _call(self, source: EndpointSource) -> None:
        """Follow the list by one call until it ends, and record how it ended."""
        self.last_progress_at, self.refused = anyio.current_time(), False
        with FaultBarrier(self._counters, counter=DiscoveryCounter.CALL_FAILED, event="discovery_call_error"):
            try:
                await self._follow(source)
            except DiscoveryRefusedError as error:
                self.refused = True
                self._record_failure(error)
            except InvalidInputError as error:
                # Discovery was reached, and would probably give the same answer to an immediate second call.
                self.refused = True
                self._counters.add(DiscoveryCounter.LIST_INVALID)
                log.warning("endpoint_list_invalid", reason=str(error))
            except CONNECTION_FAILURES as error:
                self._record_failure(error)

    async def _follow(self, source: EndpointSource) -> None:
        """Fetch the complete list if that is necessary, then watch it for changes."""
        if source.needs_full_list:
            update = await discovery_client.fetch_list(source.address, PATH, self._timeouts)
            source.needs_full_list = False
            await self._publish(source, update)
            self._record_progress()
        target = discovery_client.watch_target(PATH, source.revision)
        async with discovery_client.open_get(source.address, target, self._timeouts) as response:
            await self._consume(source, Watch(response, self._timeouts.silence_s))

    async def _consume(self, source: EndpointSource, watch: Watch) -> None:
        """Publish the changes of a watch; return when the complete list has to be fetched."""
        while True:
            update = await watch.next()
            self._record_progress()
            if update is None:
                continue
            # Each object has all changes since the previous object, even if revisions are skipped. To fetch
            # the complete list after each gap would cost one more call to a shared service, during which the
            # watch is not read.
            if update.endpoints.revision < source.revision and not update.endpoints.complete:
                # The revisions were reset: changes alone would not show which known endpoints are gone.
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
        # The recovery from a single failed call is not logged.
        if self._failed_calls > 1:
            log.info("discovery_recovered", failed_calls=self._failed_calls)
        self.last_progress_at, self._failed_calls = anyio.current_time(), 0

    def _record_failure(self, error: Exception) -> None:
        """Count a failed call, and log it if it is the first one since the last progress."""
        self._counters.add(DiscoveryCounter.CALL_FAILED)
        # While an agent does not answer, several calls a second fail, and only the first one is logged.
        if not self._failed_calls:
            log.info("discovery_call_failed", reason=repr(error))
        self._failed_calls += 1
