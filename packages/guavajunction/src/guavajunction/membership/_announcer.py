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
from ._pending_notes import PendingNotes


class Announcement:
    """A pending change that a majority of the voters has acknowledged."""

    def __init__(self, clock: Clock, valid_until: float, view: int) -> None:
        """Create an announcement.

        Args:
            clock: Source of time.
            valid_until: Monotonic time, in seconds, from which `check` fails.
            view: Number of the view whose voters acknowledged the change.
        """
        self.view = view
        """Number of the view whose voters acknowledged the change."""
        self._clock = clock
        self._valid_until = valid_until

    def check(self) -> None:
        """Make sure that the change may still be sent to the store.

        Raises:
            PendingExpired: The announcement has expired. The voters may no longer
                hold the note.
        """
        if self._clock.monotonic() >= self._valid_until:
            raise PendingExpired("the pending change was announced too long ago")


class Announcer:
    """Announces changes and collects a majority of acknowledgements from the voters."""

    RETRY_SECONDS = 0.3
    """Scale of the random pause between attempts, which is 0.2 to 1.2 times as long."""

    def __init__(
        self,
        links: Links,
        clock: Clock,
        notes: PendingNotes,
        view: Callable[[], View | None],
        stopped_voters: Callable[[], set[PeerId]],
        may_hold_note: Callable[[], bool],
        request_poll: Callable[[], None],
        cfg: MembershipConfig,
    ) -> None:
        """Create the announcer of one instance.

        Args:
            links: Links to the voters.
            clock: Source of time.
            notes: Holds this instance's own note as a voter.
            view: Returns the latest view; None before the first read.
            stopped_voters: Returns the voters that can't be part of a majority that
                serves.
            may_hold_note: Returns whether this instance may hold a note as a voter.
            request_poll: Called to have the store read as soon as possible.
            cfg: Timeouts.
        """
        self._links = links
        self._clock = clock
        self._notes = notes
        self._view = view
        self._stopped_voters = stopped_voters
        self._may_hold_note = may_hold_note
        self._request_poll = request_poll
        self._cfg = cfg

    @asynccontextmanager
    async def pending(self, kind: str) -> AsyncIterator[Announcement]:
        """Have a majority of the voters hold a note while the context is open.

        Send the change to the store inside the context, immediately after calling
        `check`. How the context ends determines what happens to the notes:

        - Normal end: the change may have taken effect, and the voters read the store.
        - `AcceptanceUnknown`, `StoreAnswerLost`, `PendingExpired` or cancellation: the
          outcome is unknown. The notes stay until a read of the store that began
          after `settle_bound` has shown the outcome.
        - Any other `GuavaError`: the change has not taken effect, and the voters clear
          their notes.

        Args:
            kind: Kind of the pending change, such as `configuration`.

        Raises:
            NoMajority: Too few voters acknowledged in time.
            PendingExpired: The context stayed open for too long.
        """
        note, voters, started = await self._announce(kind)
        valid_until = started + self._cfg.pending_validity
        try:
            async with asyncio.timeout(self._cfg.pending_validity):
                yield Announcement(self._clock, valid_until, note.view)
        except (AcceptanceUnknown, StoreAnswerLost, PendingExpired):
            self._request_poll()
            raise
        except GuavaError:
            self._settle(note, voters, effect=False)
            raise
        except TimeoutError as exc:
            self._request_poll()
            raise PendingExpired("the pending change took too long") from exc
        self._settle(note, voters, effect=True)

    async def _announce(self, kind: str) -> tuple[Pending, list[PeerId], float]:
        deadline = self._clock.monotonic() + self._cfg.announce_timeout
        while True:
            started = self._clock.monotonic()
            view = self._view() or NO_VIEW
            note = Pending(uuid.uuid4().hex, kind, view.number)
            voters = [peer for peer in view.voters if peer != self._links.me]
            if await self._collect_acks(note, view, voters):
                return note, voters, started
            self._settle(note, voters, effect=False)
            if self._clock.monotonic() >= deadline:
                raise NoMajority(f"no majority acknowledged the pending {kind}")
            await self._clock.sleep(self.RETRY_SECONDS * (0.2 + random.random()))

    async def _collect_acks(
        self, note: Pending, view: View, voters: list[PeerId]
    ) -> bool:
        if not self._notes.hold(note, self._clock.monotonic()):
            return False
        stopped_voters = self._stopped_voters() & set(view.voters)
        holders = (
            {self._links.me} & set(view.voters) if self._may_hold_note() else set()
        )
        if _acks_suffice(len(holders), len(stopped_voters - holders), view):
            return True
        ack_requests = [
            self._request_ack(peer, note)
            for peer in voters
            if peer not in stopped_voters
        ]
        tasks = [asyncio.ensure_future(request) for request in ack_requests]
        try:
            for fut in asyncio.as_completed(tasks):
                peer = await fut
                holders |= {peer} if peer else set()
                if _acks_suffice(len(holders), len(stopped_voters - holders), view):
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()

    async def _request_ack(self, peer: PeerId, note: Pending) -> PeerId | None:
        try:
            ack = await self._links.request(
                peer, note, PendingAck, timeout=self._cfg.ack_timeout
            )
        except PeerError:
            return None
        return peer if ack.held else None

    def _settle(self, note: Pending, voters: list[PeerId], *, effect: bool) -> None:
        self._notes.settle(note.note, self._clock.monotonic(), effect=effect)
        for peer in voters:
            self._links.send(peer, Settled(note.note, effect))
        if effect:
            self._request_poll()


def _acks_suffice(held: int, stopped_voters: int, view: View) -> bool:
    """Return whether every possible majority of voters includes a holder of the note.

    A voter that has stopped can't be part of a majority. In addition, more than half of
    the remaining voters must hold the note. Otherwise two announcements could both
    succeed.

    Args:
        held: Number of voters that hold the note.
        stopped_voters: Number of voters that have stopped and don't hold the note.
        view: The view that names the voters.
    """
    remaining = len(view.voters) - stopped_voters
    return held + stopped_voters >= view.majority and 2 * held > remaining
