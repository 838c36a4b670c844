"""Elects the order leader: the only instance that sends orders to backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.errors import LeaseLost, PeerError, PlatformError
from guavajunction.gateway import GenerationSize
from guavajunction.membership import Lease, owner
from guavajunction.peers import Links, PeerId

from . import _events as events
from ._messages import (
    AdapterReady,
    AdapterWanted,
    LeaderStatus,
    ResumeAdapterWanted,
)
from ._order_manager import OrderManager
from ._protocols import OrderSender
from ._term import Term, TermParts

LEASE_NAME = "order-author"


class _ReleasedLease(NamedTuple):
    """A lease whose holder announced its release to peers, not through the store."""

    holder: PeerId
    fence: int
    ordered_at: dict[str, float]
    """When each backend server got its last order, on the monotonic clock."""


class OrderLeader:
    """Acquires the order lease and sends orders while it is held.

    Of the instances that can reach the store, only the one that the lease's name hashes
    to tries to acquire the lease. The others send no requests to the store.
    """

    SETTLE_SECONDS = 1.0
    """Delay after the start, in which heartbeats of the other instances arrive."""
    LEADER_TIMEOUT_SECONDS = 1.2
    """Time without a heartbeat, several intervals, after which the leader is considered
    lost."""
    CHECK_SECONDS = 0.3
    """Interval at which the lease and the candidates are checked."""
    ACQUIRE_TIMEOUT_SECONDS = 5.0
    """Timeout of an attempt to acquire the lease. Candidates are then checked again."""
    ORDER_MARGIN_RATIO = 0.45
    """Orders stop when the remaining lease is shorter than this fraction of the minimum
    handover time."""
    REACQUIRE_PAUSE_SECONDS = 5.0
    """Delay after a release before this instance tries to acquire the lease again."""
    ADAPTER_TIMEOUT_SECONDS = 0.4
    """Timeout of a request to the leader for an adapter."""
    ADAPTER_RETRY_SECONDS = 0.15
    """Delay before an adapter that could not be loaded is requested again."""

    def __init__(
        self,
        links: Links,
        lease: Lease,
        sender: OrderSender,
        parts: TermParts,
        clock: Clock,
        *,
        candidates: Callable[[], list[PeerId]],
        min_handover_seconds: float,
    ) -> None:
        """Create a candidate that does not hold the lease.

        Args:
            links: Links to the other instances.
            lease: The order lease.
            sender: Sends orders to backend servers.
            parts: Collaborators of each term.
            clock: Source of time.
            candidates: Returns the instances that can reach the store, including this
                one.
            min_handover_seconds: Minimum time between the last order of one leader and
                the first order of the next one.
        """
        self._links = links
        self._lease = lease
        self._sender = sender
        self._parts = parts
        self._clock = clock
        self._candidates = candidates
        self._min_handover_seconds = min_handover_seconds
        self._term: Term | None = None
        self._leader: PeerId | None = None
        self._leader_seen_at = float("-inf")
        self._leader_status = LeaderStatus()
        self._released_fence = 0
        self._newest_fence = 0
        """Highest fencing number of a term of any instance, this one included."""
        self._reacquire_at = float("-inf")
        self._ordered_at: dict[str, float] = {}
        self._released_lease: _ReleasedLease | None = None
        self._inherited_orders: dict[str, float] = {}
        self._adapter_requests: dict[
            AdapterWanted | ResumeAdapterWanted, asyncio.Task[None]
        ] = {}
        self.stopping = False
        """Whether this instance is shutting down and must not start a term."""
        self.is_cut: Callable[[], bool] = lambda: False
        """Returns whether this instance reaches no backend server."""
        self.hub: Callable[[], PeerId | None] = lambda: None
        """Returns the hub that relays requests to the leader, or None."""
        self.loads_due: dict[str, float] = {}
        """When models that are being loaded are expected, on the monotonic clock."""
        links.handle(AdapterWanted, self._on_adapter_wanted)
        links.handle(ResumeAdapterWanted, self._on_adapter_wanted)

    @property
    def is_leader(self) -> bool:
        """Return whether this instance is the order leader."""
        return self._term is not None

    def status(self) -> LeaderStatus:
        """Return the status to send with this instance's heartbeats."""
        if self._term is None:
            now = self._clock.monotonic()
            ordered = {name: now - at for name, at in self._ordered_at.items()}
            return LeaderStatus(
                released_fence=self._released_fence, seconds_since_order=ordered
            )
        due = self._term.loads_due()
        self._update_loads_due(due)
        ages = self._parts.load_rate_limiter.ages(self._clock.monotonic())
        return LeaderStatus(self._lease.fence, store_loads=ages, loads_due=due)

    def update_status(self, peer: PeerId, status: LeaderStatus) -> None:
        """Apply the status received with another instance's heartbeat.

        That of an earlier term is ignored: a leader that was suspended sends one more.
        """
        now = self._clock.monotonic()
        if max(status.fence, status.released_fence) < self._newest_fence:
            return
        self._newest_fence = max(self._newest_fence, status.fence)
        if status.released_fence:
            ordered_at = {
                name: now - seconds
                for name, seconds in status.seconds_since_order.items()
            }
            self._released_lease = _ReleasedLease(
                peer, status.released_fence, ordered_at
            )
        if not status.fence:
            return
        if status.fence > self._released_fence:
            self._released_fence = 0
        if (
            self._released_lease is not None
            and status.fence > self._released_lease.fence
        ):
            self._released_lease = None
        self._leader = peer
        self._leader_seen_at = now
        self._leader_status = status
        self._parts.load_rate_limiter.restore(status.store_loads, now)
        self._update_loads_due(status.loads_due)

    def latest_status(self) -> tuple[PeerId, LeaderStatus] | None:
        """Return the leader and its last status, or None if there is no leader."""
        if self._term is not None:
            return self._links.me, self.status()
        silence = self._clock.monotonic() - self._leader_seen_at
        if self._leader is None or silence > self.LEADER_TIMEOUT_SECONDS:
            return None
        return self._leader, self._leader_status

    async def run(self) -> None:
        """Acquire the lease whenever this instance should hold it, until cancelled."""
        await self._clock.sleep(self.SETTLE_SECONDS)
        while True:
            if self._may_acquire():
                await self._lead_if_acquired()
            await self._clock.sleep(self.CHECK_SECONDS)

    def request_adapter(
        self, size: GenerationSize, service: str, software_version: str
    ) -> None:
        """Request an adapter that queued requests need, unless a request is pending.

        Args:
            size: Names the model and the adapter.
            service: Service whose backend servers may load it.
            software_version: Version of these backend servers; empty for any.
        """
        refused_by = self._parts.registry.refused_by(size.artifact)
        wanted: AdapterWanted | ResumeAdapterWanted = AdapterWanted(
            service, size.model, size.adapter, refused_by
        )
        if software_version:
            wanted = ResumeAdapterWanted(wanted, software_version)
        if wanted not in self._adapter_requests:
            task = asyncio.create_task(self._request_adapter(wanted))
            self._adapter_requests[wanted] = task
            task.add_done_callback(lambda _: self._adapter_requests.pop(wanted, None))

    async def _request_adapter(
        self, wanted: AdapterWanted | ResumeAdapterWanted
    ) -> None:
        answer = AdapterReady("")
        if self._term is not None:
            answer = await self._load_adapter(self._term, wanted)
        else:
            answer = await self._request_from_peer(self.hub() or self._leader, wanted)
        if not answer.backend:
            await self._clock.sleep(self.ADAPTER_RETRY_SECONDS)
        self._parts.schedule_dispatch()

    async def _request_from_peer(
        self, peer: PeerId | None, wanted: AdapterWanted | ResumeAdapterWanted
    ) -> AdapterReady:
        if peer is None:
            return AdapterReady("")
        try:
            return await self._links.request(
                peer, wanted, AdapterReady, timeout=self.ADAPTER_TIMEOUT_SECONDS
            )
        except PeerError as exc:
            plain = _plain(wanted)
            events.ADAPTER_REFUSED.log(
                model=plain.model, adapter=plain.adapter, reason=exc.message
            )
            return AdapterReady("")

    async def _on_adapter_wanted(
        self, _: PeerId, wanted: AdapterWanted | ResumeAdapterWanted
    ) -> AdapterReady:
        if self._term is not None:
            return await self._load_adapter(self._term, _forwarded(wanted, False))
        if _plain(wanted).forwarded or self.hub() is not None:
            return AdapterReady("")
        return await self._request_from_peer(self._leader, _forwarded(wanted, True))

    async def _load_adapter(
        self, term: Term, wanted: AdapterWanted | ResumeAdapterWanted
    ) -> AdapterReady:
        if isinstance(wanted, ResumeAdapterWanted):
            return await term.adapter(wanted.wanted, wanted.software_version)
        return await term.adapter(wanted)

    def _may_acquire(self) -> bool:
        now = self._clock.monotonic()
        if self.stopping or now < self._reacquire_at:
            return False
        silence = now - self._leader_seen_at
        candidates = self._candidates()
        if self._released_lease is not None:
            candidates = [
                peer for peer in candidates if peer != self._released_lease.holder
            ]
        return (
            silence > self.LEADER_TIMEOUT_SECONDS
            and self._links.me in candidates
            and owner(LEASE_NAME, candidates) == self._links.me
        )

    async def _lead_if_acquired(self) -> None:
        try:
            async with asyncio.timeout(self.ACQUIRE_TIMEOUT_SECONDS):
                await self._acquire()
        except TimeoutError:
            return
        manager = OrderManager(
            self._sender,
            self._links.me.name,
            self._fence,
            self._clock,
            not_before={
                name: at + self._min_handover_seconds
                for name, at in self._inherited_orders.items()
            },
            acquire_send=self._parts.acquire_send,
        )
        self._newest_fence = self._lease.fence
        self._term = Term(self._parts, manager)
        events.TERM_BEGAN.log(fence=self._lease.fence)
        self._released_lease = None
        reason = "cancelled"
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._term.run())
                tasks.create_task(self._watch_lease())
        except* LeaseLost as group:
            reason = _first_failure(group).message
        finally:
            # After a short term, the orders of the leader before are recent, too.
            self._ordered_at = self._inherited_orders | manager.recent_orders(
                self._min_handover_seconds
            )
            self._term = None
            self._released_fence = self._lease.fence
            self._reacquire_at = self._clock.monotonic() + self.REACQUIRE_PAUSE_SECONDS
            events.TERM_ENDED.log(fence=self._lease.fence, reason=reason)
            await self._lease.abandon()

    async def _acquire(self) -> None:
        released = self._released_lease
        self._inherited_orders = {}
        if released is not None:
            try:
                if await self._lease.take_over(released.holder, released.fence):
                    self._inherited_orders = released.ordered_at
                    return
            except PlatformError as exc:
                events.TAKE_OVER_FAILED.log(
                    fence=released.fence,
                    holder=released.holder.name,
                    reason=exc.message,
                )
        await self._lease.acquire()

    async def _watch_lease(self) -> None:
        while True:
            self._fence()
            if self.stopping:
                raise LeaseLost("this instance is shutting down")
            if self.is_cut():
                raise LeaseLost("this instance reaches no backend server")
            await self._clock.sleep(self.CHECK_SECONDS)

    def _fence(self) -> int:
        margin = self._min_handover_seconds * self.ORDER_MARGIN_RATIO
        if not self._lease.held(self._clock.monotonic() + margin):
            raise LeaseLost(f"the lease {LEASE_NAME} is about to expire")
        return self._lease.fence

    def _update_loads_due(self, due: dict[str, float]) -> None:
        now = self._clock.monotonic()
        self.loads_due.clear()
        self.loads_due.update((model, now + seconds) for model, seconds in due.items())


def _first_failure(group: ExceptionGroup[LeaseLost]) -> LeaseLost:
    """Return the first failure in nested exception groups."""
    exc = group.exceptions[0]
    return _first_failure(exc) if isinstance(exc, ExceptionGroup) else exc


def _plain(wanted: AdapterWanted | ResumeAdapterWanted) -> AdapterWanted:
    return wanted.wanted if isinstance(wanted, ResumeAdapterWanted) else wanted


def _forwarded(
    wanted: AdapterWanted | ResumeAdapterWanted, forwarded: bool
) -> AdapterWanted | ResumeAdapterWanted:
    plain = _plain(wanted)._replace(forwarded=forwarded)
    if isinstance(wanted, ResumeAdapterWanted):
        return wanted._replace(wanted=plain)
    return plain
