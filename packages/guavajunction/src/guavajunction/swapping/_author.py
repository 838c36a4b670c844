"""Makes one instance at a time the author of all orders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from guavajunction.clock import Clock
from guavajunction.errors import LeaseLost, PeerError
from guavajunction.gateway import GenerationSize
from guavajunction.membership import Lease, owner
from guavajunction.peers import Links, PeerId

from . import _events as events
from ._messages import AdapterReady, AdapterWanted, AuthorBeat
from ._order_desk import OrderDesk
from ._protocols import OrderSender
from ._term import Term, TermParts

LEASE_NAME = "order-author"


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
    ORDER_MARGIN_SECONDS = 1.5
    """Orders stop this long before the lease runs out."""
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
    ) -> None:
        """Create an author that holds no lease yet.

        Args:
            links: Links to the other instances.
            lease: The lease of orders.
            sender: Sends orders to backend servers.
            parts: What a term works from.
            clock: Source of time.
            candidates: Returns the instances that see the store, this one included.
        """
        self._links = links
        self._lease = lease
        self._sender = sender
        self._parts = parts
        self._clock = clock
        self._candidates = candidates
        self._term: Term | None = None
        self._author: PeerId | None = None
        self._author_at = float("-inf")
        self._asking: dict[AdapterWanted, asyncio.Task[None]] = {}
        self.stopping = False
        """Whether this instance is about to leave and must not begin a term."""
        self.loads_due: dict[str, float] = {}
        """When the models that are being loaded are expected, monotonic."""
        links.handle(AdapterWanted, self._on_adapter_wanted)

    def beat(self) -> AuthorBeat:
        """Return what this instance says in its heartbeat."""
        if self._term is None:
            return AuthorBeat()
        due = self._term.loads_due()
        self._note_due(due)
        return AuthorBeat(self._lease.fence, due)

    def hear(self, peer: PeerId, beat: AuthorBeat) -> None:
        """Take what another instance says in its heartbeat."""
        if not beat.fence:
            return
        self._author = peer
        self._author_at = self._clock.monotonic()
        self._note_due(beat.loads_due)

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
        elif self._author is not None:
            try:
                answer = await self._links.ask(
                    self._author, wanted, AdapterReady, timeout=self.ASK_SECONDS
                )
            except PeerError as exc:
                events.ADAPTER_REFUSED.log(
                    model=wanted.model, adapter=wanted.adapter, reason=exc.message
                )
        if not answer.backend:
            await self._clock.sleep(self.ASK_PAUSE_SECONDS)
        self._parts.wake()

    async def _on_adapter_wanted(
        self, _: PeerId, wanted: AdapterWanted
    ) -> AdapterReady:
        if self._term is None:
            return AdapterReady("")
        return await self._term.adapter(wanted)

    def _my_turn(self) -> bool:
        if self.stopping:
            return False
        silent = self._clock.monotonic() - self._author_at
        candidates = self._candidates()
        return (
            silent > self.SILENT_SECONDS
            and self._links.me in candidates
            and owner(LEASE_NAME, candidates) == self._links.me
        )

    async def _try_for_lease(self) -> None:
        try:
            async with asyncio.timeout(self.TRY_SECONDS):
                await self._lease.acquire()
        except TimeoutError:
            return
        desk = OrderDesk(self._sender, self._links.me.name, self._fence, self._clock)
        self._term = Term(self._parts, desk)
        events.AUTHOR_BEGAN.log(fence=self._lease.fence)
        reason = "cancelled"
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._term.run())
                tasks.create_task(self._watch_lease())
        except* LeaseLost as group:
            reason = str(group.exceptions[0])
        finally:
            self._term = None
            events.AUTHOR_ENDED.log(fence=self._lease.fence, reason=reason)

    async def _watch_lease(self) -> None:
        while True:
            self._lease.check()
            if self.stopping:
                raise LeaseLost("this instance is about to leave")
            await self._clock.sleep(self.LOOK_SECONDS)

    def _fence(self) -> int:
        if not self._lease.held(self._clock.monotonic() + self.ORDER_MARGIN_SECONDS):
            raise LeaseLost(f"the lease {LEASE_NAME} runs out")
        return self._lease.fence

    def _note_due(self, due: dict[str, float]) -> None:
        now = self._clock.monotonic()
        self.loads_due.clear()
        self.loads_due.update((model, now + seconds) for model, seconds in due.items())
