"""Announces a change to a majority of the voters before it may take effect."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from guavajunction.clock import Clock
from guavajunction.errors import (
    AcceptanceUnknown,
    GuavaError,
    NoMajority,
    PeerError,
    PendingExpired,
    StoreAnswerLost,
)
from guavajunction.peers import Links, PeerId

from ._config import MembershipConfig
from ._messages import Pending, PendingAck, Settled
from ._model import NO_VIEW, View
from ._pending_notes import NoteBook


class Announcement:
    """A change that a majority knows of."""

    def __init__(self, clock: Clock, valid_until: float, view: int) -> None:
        self.view = view
        """Number of the view whose majority knows of the change."""
        self._clock = clock
        self._valid_until = valid_until

    def check(self) -> None:
        """Make sure that the change may still be sent to the store.

        Raises:
            PendingExpired: It is too late; the members may have moved on.
        """
        if self._clock.monotonic() >= self._valid_until:
            raise PendingExpired("the pending change was announced too long ago")


class Announcer:
    """Gets a majority of the voters to hold a note, and ends it afterwards."""

    RETRY_SECONDS = 0.3

    def __init__(
        self,
        links: Links,
        clock: Clock,
        notes: NoteBook,
        view: Callable[[], View | None],
        gone: Callable[[], set[PeerId]],
        wake: Callable[[], None],
        cfg: MembershipConfig,
    ) -> None:
        """Create the announcer of one instance.

        Args:
            links: Links to the voters.
            clock: Source of time.
            notes: The notes that this instance itself holds.
            view: Returns the latest view, None before the first read.
            gone: Returns the voters that certainly no longer serve.
            wake: Called when the store should be read soon.
            cfg: Times.
        """
        self._links = links
        self._clock = clock
        self._notes = notes
        self._view = view
        self._gone = gone
        self._wake = wake
        self._cfg = cfg

    @asynccontextmanager
    async def pending(self, kind: str) -> AsyncIterator[Announcement]:
        """Keep a majority warned of a change while the context is open.

        The change must be sent to the store within the context, `check` called
        right before. Leaving it normally means that the change may have taken
        effect, leaving it by a failure that it has not; `AcceptanceUnknown`,
        `StoreAnswerLost`, `PendingExpired` and cancellation leave the members to
        find out.

        Args:
            kind: What is pending.

        Raises:
            NoMajority: Too few voters acknowledged.
            PendingExpired: The context stayed open for too long.
        """
        note, asked, started = await self._announce(kind)
        valid_until = started + self._cfg.pending_validity
        try:
            async with asyncio.timeout(self._cfg.pending_validity):
                yield Announcement(self._clock, valid_until, note.view)
        except (AcceptanceUnknown, StoreAnswerLost, PendingExpired):
            self._wake()
            raise
        except GuavaError:
            self._settle(note, asked, effect=False)
            raise
        except TimeoutError as exc:
            self._wake()
            raise PendingExpired("the pending change took too long") from exc
        self._settle(note, asked, effect=True)

    async def _announce(self, kind: str) -> tuple[Pending, list[PeerId], float]:
        give_up_at = self._clock.monotonic() + self._cfg.patience
        while True:
            started = self._clock.monotonic()
            view = self._view() or NO_VIEW
            note = Pending(uuid.uuid4().hex, kind, view.number)
            asked = [peer for peer in view.voters if peer != self._links.me]
            if await self._held_by_majority(note, view, asked):
                return note, asked, started
            self._settle(note, asked, effect=False)
            if self._clock.monotonic() >= give_up_at:
                raise NoMajority(f"no majority acknowledged the pending {kind}")
            await self._clock.sleep(self.RETRY_SECONDS * (0.2 + random.random()))

    async def _held_by_majority(
        self, note: Pending, view: View, asked: list[PeerId]
    ) -> bool:
        if not self._notes.hold(note, self._clock.monotonic()):
            return False
        gone = self._gone() & set(view.voters)
        held = {self._links.me} & set(view.voters)
        if _enough(len(held), len(gone - held), view):
            return True
        asks = [self._ask(peer, note) for peer in asked if peer not in gone]
        tasks = [asyncio.ensure_future(ask) for ask in asks]
        try:
            for fut in asyncio.as_completed(tasks):
                peer = await fut
                held |= {peer} if peer else set()
                if _enough(len(held), len(gone - held), view):
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()

    async def _ask(self, peer: PeerId, note: Pending) -> PeerId | None:
        try:
            ack = await self._links.ask(
                peer, note, PendingAck, timeout=self._cfg.ask_timeout
            )
        except PeerError:
            return None
        return peer if ack.held else None

    def _settle(self, note: Pending, asked: list[PeerId], *, effect: bool) -> None:
        self._notes.settle(note.note, self._clock.monotonic(), effect=effect)
        for peer in asked:
            self._links.tell(peer, Settled(note.note, effect))
        if effect:
            self._wake()


def _enough(held: int, gone: int, view: View) -> bool:
    """Return whether no majority of voters can be without a holder of the note.

    Voters that are gone can be in no majority. Those that remain must hold the note
    by more than half, too, or two announcements could both succeed.
    """
    remaining = len(view.voters) - gone
    return held + gone >= view.majority and 2 * held > remaining
