"""Makes one instance at a time the author of all orders."""

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
from ._messages import AdapterReady, AdapterWanted, AuthorBeat
from ._order_desk import OrderDesk
from ._protocols import OrderSender
from ._term import Term, TermParts

LEASE_NAME = "order-author"


class _Vacancy(NamedTuple):
    """A lease that its holder has given up without the store."""

    holder: PeerId
    fence: int
    ordered_at: dict[str, float]
    """When each backend server got its latest order, monotonic."""


class OrderAuthor:
    """Holds the lease of orders while no other instance does.

    Only the instance that the lease's name hashes to tries for it, among those that
    see the store, so that the others need not ask the store at all.
    """

    SETTLE_SECONDS = 1.0
    """After the start, until the others have been heard."""
    SILENT_SECONDS = 1.2
    """After the author was last heard; several heartbeats."""
    LOOK_SECONDS = 0.3
    TRY_SECONDS = 5.0
    """Longest wait for the lease before it is looked again who should try."""
    ORDER_MARGIN_PART = 0.45
    """Orders stop when this part of the least time between two authors is left of
    the lease."""
    AGAIN_SECONDS = 5.0
    """After this instance gave the lease up, until it may try again."""
    ASK_SECONDS = 0.4
    """Longest wait for the author's answer about an adapter."""
    ASK_PAUSE_SECONDS = 0.15
    """After an adapter could not be had, until it is asked for again."""

    def __init__(
        self,
        links: Links,
        lease: Lease,
        sender: OrderSender,
        parts: TermParts,
        clock: Clock,
        *,
        candidates: Callable[[], list[PeerId]],
        turn_seconds: float,
    ) -> None:
        """Create an author that holds no lease yet.

        Args:
            links: Links to the other instances.
            lease: The lease of orders.
            sender: Sends orders to backend servers.
            parts: What a term works from.
            clock: Source of time.
            candidates: Returns the instances that see the store, this one included.
            turn_seconds: Least time between the orders of two authors.
        """
        self._links = links
        self._lease = lease
        self._sender = sender
        self._parts = parts
        self._clock = clock
        self._candidates = candidates
        self._turn_seconds = turn_seconds
        self._term: Term | None = None
        self._author: PeerId | None = None
        self._author_at = float("-inf")
        self._author_beat = AuthorBeat()
        self._given_up = 0
        self._again_at = float("-inf")
        self._ordered_at: dict[str, float] = {}
        self._vacancy: _Vacancy | None = None
        self._not_before: dict[str, float] = {}
        self._asking: dict[AdapterWanted, asyncio.Task[None]] = {}
        self.stopping = False
        """Whether this instance is about to leave and must not begin a term."""
        self.hub: Callable[[], PeerId | None] = lambda: None
        """Returns the hub that questions to the author go through, if any."""
        self.loads_due: dict[str, float] = {}
        """When the models that are being loaded are expected, monotonic."""
        links.handle(AdapterWanted, self._on_adapter_wanted)

    @property
    def in_office(self) -> bool:
        """Return whether this instance gives orders now."""
        return self._term is not None

    def status(self) -> AuthorBeat:
        """Return what this instance says in its heartbeat."""
        if self._term is None:
            now = self._clock.monotonic()
            ordered = {name: now - at for name, at in self._ordered_at.items()}
            return AuthorBeat(given_up=self._given_up, ordered_seconds=ordered)
        due = self._term.loads_due()
        self._note_due(due)
        ages = self._parts.ceiling.ages(self._clock.monotonic())
        return AuthorBeat(self._lease.fence, store_loads=ages, loads_due=due)

    def update_status(self, peer: PeerId, beat: AuthorBeat) -> None:
        """Take what another instance says in its heartbeat."""
        now = self._clock.monotonic()
        if beat.given_up:
            ordered_at = {
                name: now - seconds for name, seconds in beat.ordered_seconds.items()
            }
            self._vacancy = _Vacancy(peer, beat.given_up, ordered_at)
        if not beat.fence:
            return
        if beat.fence > self._given_up:
            self._given_up = 0
        if self._vacancy is not None and beat.fence > self._vacancy.fence:
            self._vacancy = None
        self._author = peer
        self._author_at = now
        self._author_beat = beat
        self._parts.ceiling.take_over(beat.store_loads, now)
        self._note_due(beat.loads_due)

    def latest_status(self) -> tuple[PeerId, AuthorBeat] | None:
        """Return the author and what it said last, None if there is none."""
        if self._term is not None:
            return self._links.me, self.status()
        silent = self._clock.monotonic() - self._author_at
        if self._author is None or silent > self.SILENT_SECONDS:
            return None
        return self._author, self._author_beat

    async def run(self) -> None:
        """Try for the lease when it is this instance's turn, until cancelled."""
        await self._clock.sleep(self.SETTLE_SECONDS)
        while True:
            if self._my_turn():
                await self._try_for_lease()
            await self._clock.sleep(self.LOOK_SECONDS)

    def want_adapter(self, size: GenerationSize, service: str) -> None:
        """Ask for an adapter that requests wait for, unless it is being asked for."""
        lacking = self._parts.book.lacking(size.artifact)
        wanted = AdapterWanted(service, size.model, size.adapter, lacking)
        if wanted not in self._asking:
            task = asyncio.create_task(self._ask(wanted))
            self._asking[wanted] = task
            task.add_done_callback(lambda _: self._asking.pop(wanted, None))

    async def _ask(self, wanted: AdapterWanted) -> None:
        answer = AdapterReady("")
        if self._term is not None:
            answer = await self._term.adapter(wanted)
        else:
            answer = await self._ask_peer(self.hub() or self._author, wanted)
        if not answer.backend:
            await self._clock.sleep(self.ASK_PAUSE_SECONDS)
        self._parts.wake()

    async def _ask_peer(
        self, peer: PeerId | None, wanted: AdapterWanted
    ) -> AdapterReady:
        if peer is None:
            return AdapterReady("")
        try:
            return await self._links.ask(
                peer, wanted, AdapterReady, timeout=self.ASK_SECONDS
            )
        except PeerError as exc:
            events.ADAPTER_REFUSED.log(
                model=wanted.model, adapter=wanted.adapter, reason=exc.message
            )
            return AdapterReady("")

    async def _on_adapter_wanted(
        self, _: PeerId, wanted: AdapterWanted
    ) -> AdapterReady:
        if self._term is not None:
            return await self._term.adapter(wanted._replace(passed_on=False))
        if wanted.passed_on or self.hub() is not None:
            return AdapterReady("")
        return await self._ask_peer(self._author, wanted._replace(passed_on=True))

    def _my_turn(self) -> bool:
        now = self._clock.monotonic()
        if self.stopping or now < self._again_at:
            return False
        silent = now - self._author_at
        candidates = self._candidates()
        if self._vacancy is not None:
            candidates = [peer for peer in candidates if peer != self._vacancy.holder]
        return (
            silent > self.SILENT_SECONDS
            and self._links.me in candidates
            and owner(LEASE_NAME, candidates) == self._links.me
        )

    async def _try_for_lease(self) -> None:
        try:
            async with asyncio.timeout(self.TRY_SECONDS):
                await self._acquire()
        except TimeoutError:
            return
        desk = OrderDesk(
            self._sender,
            self._links.me.name,
            self._fence,
            self._clock,
            not_before=self._not_before,
        )
        self._term = Term(self._parts, desk)
        events.AUTHOR_BEGAN.log(fence=self._lease.fence)
        self._vacancy = None
        reason = "cancelled"
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._term.run())
                tasks.create_task(self._watch_lease())
        except* LeaseLost as group:
            reason = _first(group).message
        finally:
            self._ordered_at = desk.ordered_lately(self._turn_seconds)
            self._term = None
            self._given_up = self._lease.fence
            self._again_at = self._clock.monotonic() + self.AGAIN_SECONDS
            events.AUTHOR_ENDED.log(fence=self._lease.fence, reason=reason)
            await self._lease.abandon()

    async def _acquire(self) -> None:
        vacancy = self._vacancy
        self._not_before = {}
        if vacancy is not None:
            try:
                if await self._lease.take_over(vacancy.holder, vacancy.fence):
                    self._not_before = {
                        name: at + self._turn_seconds
                        for name, at in vacancy.ordered_at.items()
                    }
                    return
            except PlatformError as exc:
                events.TAKE_OVER_FAILED.log(
                    fence=vacancy.fence, holder=vacancy.holder.name, reason=exc.message
                )
        await self._lease.acquire()

    async def _watch_lease(self) -> None:
        while True:
            self._fence()
            if self.stopping:
                raise LeaseLost("this instance is about to leave")
            await self._clock.sleep(self.LOOK_SECONDS)

    def _fence(self) -> int:
        margin = self._turn_seconds * self.ORDER_MARGIN_PART
        if not self._lease.held(self._clock.monotonic() + margin):
            raise LeaseLost(f"the lease {LEASE_NAME} runs out")
        return self._lease.fence

    def _note_due(self, due: dict[str, float]) -> None:
        now = self._clock.monotonic()
        self.loads_due.clear()
        self.loads_due.update((model, now + seconds) for model, seconds in due.items())


def _first(group: ExceptionGroup[LeaseLost]) -> LeaseLost:
    """Return the first failure of a group whose tasks have groups of their own."""
    exc = group.exceptions[0]
    return _first(exc) if isinstance(exc, ExceptionGroup) else exc
